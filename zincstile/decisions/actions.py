"""The actions that the decisions have come to while one event is handled."""

from __future__ import annotations

from .messages import SetTimer


class ActionQueue(list):  # type: ignore[type-arg]
    """Actions in the order in which the host has to carry them out."""

    def set_timer(self, at_ns: int, token: int) -> None:
        """Asks the host to ring at a time of the monotonic clock."""
        self.append(SetTimer(at_ns, token))
