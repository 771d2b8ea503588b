"""Rule on drains: no new attempt at a backend 250 ms after a gateway was notified that it drains or is gone.

A gateway counts as notified once discovery has sent it the status, or once discovery has known the status for
6 s while the gateway ran, whichever is earlier (PROTOCOL, 'Figures'). An attempt begins with its first byte.
"""

from __future__ import annotations

from .rules import RuleLimits


class Drains:
    """When each gateway was notified of each draining backend."""

    def __init__(self, limits: RuleLimits) -> None:
        """Starts without draining backends."""
        self.limits = limits
        self._notified_ns: dict[tuple[str, str], int] = {}  # by gateway and backend
        self._known_ns: dict[str, int] = {}  # by backend: when discovery learned that it drains
        self._started_ns: dict[str, int] = {}  # by gateway

    def endpoint_changed(self, now_ns: int, backend: str, status: str) -> None:
        """Records that discovery has learned of a backend's new status."""
        if status == "Ready":
            self._known_ns.pop(backend, None)
            for key in [key for key in self._notified_ns if key[1] == backend]:
                del self._notified_ns[key]
        else:
            self._known_ns.setdefault(backend, now_ns)

    def gateway_notified(self, now_ns: int, gateway: str, backend: str, status: str) -> None:
        """Records that discovery has sent a backend's status to a gateway."""
        if status == "Ready":
            self._notified_ns.pop((gateway, backend), None)
        else:
            self._notified_ns.setdefault((gateway, backend), now_ns)

    def gateway_started(self, now_ns: int, gateway: str) -> None:
        """Forgets the notifications of the previous process: the new one has not received them."""
        self._started_ns[gateway] = now_ns
        self.gateway_ended(gateway)

    def gateway_ended(self, gateway: str) -> None:
        """Forgets the notifications of the gateway's process."""
        for key in [key for key in self._notified_ns if key[0] == gateway]:
            del self._notified_ns[key]

    def lateness_ns(self, gateway: str, backend: str, first_byte_ns: int) -> int:
        """Returns how long after the grace period an attempt began; at most 0 if the rule holds."""
        notified_ns = self._notified_ns.get((gateway, backend))
        known_ns = self._known_ns.get(backend)
        if known_ns is not None:
            latest_ns = max(known_ns, self._started_ns.get(gateway, 0)) + self.limits.max_notification_ns
            notified_ns = latest_ns if notified_ns is None else min(notified_ns, latest_ns)
        return 0 if notified_ns is None else first_byte_ns - notified_ns - self.limits.drain_grace_ns
