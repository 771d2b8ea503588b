"""Which gateways have not opened a watch yet at the discovery that their configuration names."""

from __future__ import annotations


class PendingReloads:
    """Follows gateways whose configuration moves between two addresses of discovery, numbered 0 and 1."""

    def __init__(self, first_place: int) -> None:
        """All gateways have their watch open at `first_place`."""
        self._first_place = first_place
        self._open_at: dict[int, int] = {}  # by gateway, once it has moved
        self._since_s: dict[int, float] = {}  # by gateway that still has to move

    def __len__(self) -> int:
        """Returns the number of gateways that still have to move."""
        return len(self._since_s)

    def configured(self, gateway: int, place: int, now_s: float) -> None:
        """The configuration names `place` now.

        A gateway that was held up may find two changes at once: its watch is still open at the place that its
        configuration names again, so that it has nothing to do.
        """
        if self._open_at.get(gateway, self._first_place) == place:
            self._since_s.pop(gateway, None)
        else:
            self._since_s.setdefault(gateway, now_s)

    def watch_opened(self, gateway: int, place: int, configured_place: int, now_s: float) -> float | None:
        """Returns how long the gateway took, in seconds; None if this is not the place that is awaited."""
        self._open_at[gateway] = place
        if place != configured_place or gateway not in self._since_s:
            return None
        return now_s - self._since_s.pop(gateway)
