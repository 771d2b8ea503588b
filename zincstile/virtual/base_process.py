"""What a process has from its machine: descriptors, sockets, pauses, and its end."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable
from typing import Any, Final, Self

from .network import Network

INITIAL_DESCRIPTORS: Final = 8  # that a Python process with a loop holds before it opens anything
DEFAULT_MAX_DESCRIPTORS: Final = 1 << 20  # none that a run would reach


class BaseProcess:
    """A process whose event loop is made by a function that is handed in; `process.Process` hands in its own.

    It starts when it is made. Its end is sudden: what it had scheduled never happens.
    """

    def __init__(
        self,
        network: Network,
        name: str,
        host: str,
        zone: int,
        max_descriptors: int,
        quantum_ns: int,
        make_loop: Callable[[Self], asyncio.AbstractEventLoop],
    ) -> None:
        """Start a process on a machine of that address; it looks for work once in `quantum_ns`."""
        self.network = network
        self.scheduler = network.scheduler
        self.name = name
        self.host = host
        self.zone = zone
        self.max_descriptors = max_descriptors
        self.quantum_ns = quantum_ns
        self.alive = True
        self.paused_until_ns = 0  # nothing happens in it before then
        self.open_descriptors = INITIAL_DESCRIPTORS
        self.peak_descriptors = INITIAL_DESCRIPTORS
        self.connections: dict[Any, None] = {}  # `tcp.TcpTransport`
        self.listeners: dict[Any, None] = {}  # `tcp_listen.Listener`
        self.datagram_sockets: dict[Any, None] = {}  # `udp.DatagramSocket`
        self.loop = make_loop(self)
        network.processes[self.name] = self

    def next_quantum_ns(self, at_ns: int) -> int:
        """When it gets to what is ready at that time: it looks once in a quantum."""
        quantum_ns = self.quantum_ns
        return -(-at_ns // quantum_ns) * quantum_ns if quantum_ns > 1 else at_ns

    def acquire_descriptor(self) -> None:
        """Count one more open descriptor; OSError with EMFILE where it holds as many as it may."""
        if self.open_descriptors >= self.max_descriptors:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        self.open_descriptors += 1
        if self.open_descriptors > self.peak_descriptors:
            self.peak_descriptors = self.open_descriptors

    def release_descriptor(self) -> None:
        """Count one open descriptor less."""
        self.open_descriptors -= 1

    def pause(self, pause_ns: int) -> None:
        """Give it no CPU for so long, while its machine goes on receiving."""
        self.paused_until_ns = max(self.paused_until_ns, self.scheduler.now_ns + pause_ns)

    def kill(self) -> None:
        """End it at once: its connections are reset, its addresses refuse, and its machine forgets it."""
        if not self.alive:
            return
        self.alive = False
        self.network.record("killed", self.name)
        for listener in list(self.listeners):
            listener.close()
        for connection in list(self.connections):
            connection.reset_by_machine()
        for datagram_socket in list(self.datagram_sockets):
            datagram_socket.unbind()
        if self.network.processes.get(self.name) is self:
            del self.network.processes[self.name]
