"""Rule on maintenance: from a gateway's yes on, nothing new of it goes to the box, until it is put back.

It holds over restarts and upgrades of the gateway, whatever discovery lists; the grace is that of the rule
on drains.
"""

from __future__ import annotations

from .cases import Figures


class Maintenance:
    """Which gateway has said yes for which box, and when."""

    def __init__(self, figures: Figures) -> None:
        self.figures = figures
        self._since_ns: dict[tuple[str, str], int] = {}

    def entered(self, now: int, gateway: str, box: str) -> None:
        """The gateway said yes to taking the box out."""
        self._since_ns.setdefault((gateway, box), now)

    def put_back(self, gateway: str, box: str) -> None:
        """A call to put it back is made: from here on it may be sent to."""
        self._since_ns.pop((gateway, box), None)

    def late_ns(self, gateway: str, box: str, first_ns: int) -> int:
        """How long after the grace a send began; 0 or less: it may."""
        since_ns = self._since_ns.get((gateway, box))
        return 0 if since_ns is None else first_ns - since_ns - self.figures.drain_ns
