"""What a process has from its machine: descriptors, sockets, pauses, and its end."""

from __future__ import annotations

import asyncio
import errno
import os
from typing import Any

from .network import Network

OWN_DESCRIPTORS = 8  # descriptors that a Python process with a loop holds before it opens anything


class BaseProcess:
    """A process without its event loop, which `process.Process` adds. It starts when it is made.

    Its end is sudden: what it had planned never happens.
    """

    def __init__(
        self,
        network: Network,
        name: str,
        host: str,
        zone: int = 0,
        descriptors: int = 1 << 20,
        quantum_ns: int = 1,
    ) -> None:
        self.network, self.scheduler, self.name, self.host = network, network.scheduler, name, host
        self.zone, self.descriptors, self.quantum_ns = zone, descriptors, quantum_ns
        self.alive = True
        self.paused_ns = 0  # nothing of it happens before then
        self.opened = self.most_opened = OWN_DESCRIPTORS
        self.endpoints: dict[Any, None] = {}  # `tcp.Endpoint`
        self.listeners: dict[Any, None] = {}  # `tcp_listen.Listener`
        self.datagrams: dict[Any, None] = {}  # `udp.Datagrams`
        self.loop = self._make_loop()
        network.processes[self.name] = self

    def _make_loop(self) -> asyncio.AbstractEventLoop:
        raise NotImplementedError

    def ready_ns(self, at_ns: int) -> int:
        """When it gets to what is ready at that time: it looks once a quantum, and so finds several
        things."""
        quantum = self.quantum_ns
        return -(-at_ns // quantum) * quantum if quantum > 1 else at_ns

    def take_descriptor(self) -> None:
        """OSError with EMFILE where it holds as many as it may."""
        if self.opened >= self.descriptors:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        self.opened += 1
        if self.opened > self.most_opened:
            self.most_opened = self.opened

    def give_descriptor(self) -> None:
        """One that it held is closed."""
        self.opened -= 1

    def pause(self, for_ns: int) -> None:
        """It gets no CPU for so long, while its machine goes on taking what comes."""
        self.paused_ns = max(self.paused_ns, self.scheduler.now_ns + for_ns)

    def kill(self) -> None:
        """Its connections are reset, its addresses refuse, and its machine forgets it."""
        if not self.alive:
            return
        self.alive = False
        self.network.note("killed", self.name)
        for listener in list(self.listeners):
            listener.close()
        for endpoint in list(self.endpoints):
            endpoint.cut()
        for datagrams in list(self.datagrams):
            datagrams.cut()
        if self.network.processes.get(self.name) is self:
            del self.network.processes[self.name]
