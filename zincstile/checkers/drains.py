"""Rule on drains: 250 ms after a gateway was told, nothing new goes to a box that drains or is gone.

Told means written by discovery to that gateway, or known to discovery for 6 s while the gateway ran,
whichever comes first (PROTOCOL, 'Figures'). The time of a send is that of its first byte.
"""

from __future__ import annotations

from .cases import Figures


class Drains:
    """Who was told what, and when."""

    def __init__(self, figures: Figures) -> None:
        self.figures = figures
        self._told: dict[tuple[str, str], int] = {}  # gateway, box: when it was told that it drains
        self._since: dict[str, int] = {}  # box: when discovery knew
        self._up: dict[str, int] = {}  # gateway: its start

    def changed(self, now: int, box: str, status: str) -> None:
        if status == "Ready":
            self._since.pop(box, None)
            for key in [k for k in self._told if k[1] == box]:
                del self._told[key]
        else:
            self._since.setdefault(box, now)

    def told(self, now: int, gateway: str, box: str, status: str) -> None:
        if status == "Ready":
            self._told.pop((gateway, box), None)
        else:
            self._told.setdefault((gateway, box), now)

    def started(self, now: int, gateway: str) -> None:
        self._up[gateway] = now
        self.ended(gateway)

    def ended(self, gateway: str) -> None:
        """A new start knows nothing of what the last was told."""
        for key in [k for k in self._told if k[0] == gateway]:
            del self._told[key]

    def late_ns(self, gateway: str, box: str, first_ns: int) -> int:
        """How long after the grace a send began; 0 or less: it may."""
        at = self._told.get((gateway, box))
        known = self._since.get(box)
        if known is not None:
            latest = max(known, self._up.get(gateway, 0)) + self.figures.told_at_most_ns
            at = latest if at is None else min(at, latest)
        return 0 if at is None else first_ns - at - self.figures.drain_ns
