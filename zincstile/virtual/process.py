"""A program on a machine of its own: a process with an event loop on virtual time, and signals."""

from __future__ import annotations

from .base_process import DEFAULT_MAX_DESCRIPTORS, BaseProcess
from .loop import VirtualLoop
from .network import Network


class Process(BaseProcess):
    """A process whose event loop is a `VirtualLoop`."""

    loop: VirtualLoop

    def __init__(
        self,
        network: Network,
        name: str,
        host: str,
        zone: int = 0,
        max_descriptors: int = DEFAULT_MAX_DESCRIPTORS,
        quantum_ns: int = 1,
    ) -> None:
        """Starts a process on the machine with address `host`; it runs only at multiples of `quantum_ns`."""
        super().__init__(network, name, host, zone, max_descriptors, quantum_ns, VirtualLoop)

    def signal(self, number: int) -> None:
        """Sends a signal: calls its handler in the process's loop, or kills the process if it has none."""
        if not self.alive:
            return
        handler = self.loop.signal_handlers.get(number)
        if handler is None:
            self.kill()
        else:
            self.loop.call_soon(handler.callback, *handler.args)
