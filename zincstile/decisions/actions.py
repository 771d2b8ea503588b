"""The actions that result from handling one event."""

from __future__ import annotations

from .messages import SetTimer


class ActionQueue(list):  # type: ignore[type-arg]
    """Actions, in the order in which the host must carry them out."""

    def set_timer(self, at_ns: int, token: int) -> None:
        """Adds an action that sets a timer for a time of the monotonic clock."""
        self.append(SetTimer(at_ns, token))
