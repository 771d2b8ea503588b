"""A program on a machine of its own: `base_process` with an event loop and signals."""

from __future__ import annotations

from .base_process import BaseProcess
from .loop import VirtualLoop


class Process(BaseProcess):
    """A process with its event loop."""

    loop: VirtualLoop

    def _make_loop(self) -> VirtualLoop:
        return VirtualLoop(self)

    def signal(self, number: int) -> None:
        """Its handler runs in its loop; without one the signal ends it."""
        if not self.alive:
            return
        found = self.loop.signals.get(number)
        if found is None:
            self.kill()
        else:
            self.loop.call_soon(found[0], *found[1])
