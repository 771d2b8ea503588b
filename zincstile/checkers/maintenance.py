"""Rule on maintenance: once a gateway has confirmed it, no new attempt at the backend until it ends.

The rule holds across restarts and upgrades of the gateway, whatever discovery lists. The grace period is that
of the rule on drains.
"""

from __future__ import annotations

from .rules import RuleLimits


class Maintenance:
    """When each gateway confirmed the maintenance of each backend."""

    def __init__(self, limits: RuleLimits) -> None:
        """Starts without backends under maintenance."""
        self.limits = limits
        self._since_ns: dict[tuple[str, str], int] = {}  # by gateway and backend: when it was confirmed

    def confirmed(self, now_ns: int, gateway: str, backend: str) -> None:
        """Records that the gateway confirmed the maintenance of the backend."""
        self._since_ns.setdefault((gateway, backend), now_ns)

    def ended(self, gateway: str, backend: str) -> None:
        """Records that an operator ended the maintenance: the gateway may send to the backend again."""
        self._since_ns.pop((gateway, backend), None)

    def lateness_ns(self, gateway: str, backend: str, first_byte_ns: int) -> int:
        """Returns how long after the grace period an attempt began; at most 0 if the rule holds."""
        since_ns = self._since_ns.get((gateway, backend))
        return 0 if since_ns is None else first_byte_ns - since_ns - self.limits.drain_grace_ns
