"""A process without its event loop: descriptors, sockets, pauses and termination."""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable
from typing import Any, Final, Self

from .network import Network

# Descriptors that a Python process with an event loop has open before it opens any of its own.
INITIAL_DESCRIPTORS: Final = 8
DEFAULT_MAX_DESCRIPTORS: Final = 1 << 20  # more than any run opens: effectively unlimited


class BaseProcess:
    """A process whose event loop is created by a factory; `process.Process` passes its own factory.

    The process runs from its creation. It ends abruptly: its scheduled calls are never made.
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
        """Starts a process on the machine with address `host`; it runs only at multiples of `quantum_ns`."""
        self.network = network
        self.scheduler = network.scheduler
        self.name = name
        self.host = host
        self.zone = zone
        self.max_descriptors = max_descriptors
        self.quantum_ns = quantum_ns
        self.alive = True
        self.paused_until_ns = 0  # none of its calls is made before then
        self.open_descriptors = INITIAL_DESCRIPTORS
        self.peak_descriptors = INITIAL_DESCRIPTORS
        self.connections: dict[Any, None] = {}  # `tcp.TcpTransport`
        self.listeners: dict[Any, None] = {}  # `tcp_listen.Listener`
        self.datagram_sockets: dict[Any, None] = {}  # `udp.DatagramSocket`
        self.loop = make_loop(self)
        network.processes[self.name] = self

    def next_quantum_ns(self, at_ns: int) -> int:
        """Returns when the process handles an event at `at_ns`: the next multiple of its quantum."""
        quantum_ns = self.quantum_ns
        return -(-at_ns // quantum_ns) * quantum_ns if quantum_ns > 1 else at_ns

    def acquire_descriptor(self) -> None:
        """Counts one more open descriptor; raises OSError with EMFILE at the limit."""
        if self.open_descriptors >= self.max_descriptors:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
        self.open_descriptors += 1
        if self.open_descriptors > self.peak_descriptors:
            self.peak_descriptors = self.open_descriptors

    def release_descriptor(self) -> None:
        """Counts one open descriptor less."""
        self.open_descriptors -= 1

    def pause(self, pause_ns: int) -> None:
        """Gives the process no CPU for `pause_ns`; its machine still receives network traffic."""
        self.paused_until_ns = max(self.paused_until_ns, self.scheduler.now_ns + pause_ns)

    def kill(self) -> None:
        """Ends the process at once: resets its connections and closes its listeners and UDP sockets."""
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
