"""Rule on maintenance: from a gateway's confirmation on, it sends the backend nothing new until the end.

It holds over restarts and upgrades of the gateway, whatever discovery lists; the grace is that of the rule
on drains.
"""

from __future__ import annotations

from .rules import RuleLimits


class Maintenance:
    """Which gateway has confirmed the maintenance of which backend, and when."""

    def __init__(self, limits: RuleLimits) -> None:
        """Begin with no backend under maintenance."""
        self.limits = limits
        self._since_ns: dict[tuple[str, str], int] = {}  # by gateway and backend

    def confirmed(self, now_ns: int, gateway: str, backend: str) -> None:
        """The gateway confirmed that it has taken the backend out."""
        self._since_ns.setdefault((gateway, backend), now_ns)

    def ended(self, gateway: str, backend: str) -> None:
        """An operator asked to put the backend back: from here on it may be sent to."""
        self._since_ns.pop((gateway, backend), None)

    def lateness_ns(self, gateway: str, backend: str, first_byte_ns: int) -> int:
        """How long after the grace an attempt began; 0 or less where the rule holds."""
        since_ns = self._since_ns.get((gateway, backend))
        return 0 if since_ns is None else first_byte_ns - since_ns - self.limits.drain_grace_ns
