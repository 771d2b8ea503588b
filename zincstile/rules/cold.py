"""Rule on cold starts: what all gateways together send a just-started box in 3 s stays under twice what it
can do at that moment, in work.

Only the sends of gateways that were told of the start count: discovery is seconds late, and who takes a
box for a warm one by no fault of its own breaks no rule. What a box bears is asked of it, as it stands.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from .cases import Figures


class ColdStarts:
    """The work that came to each cold box lately."""

    def __init__(self, figures: Figures) -> None:
        self.figures = figures
        self.capacity: dict[str, Callable[[], float]] = {}  # box: work in a nanosecond by now; whole: warm
        self.warm: dict[str, Callable[[], bool]] = {}
        self.since_ms: dict[str, int] = {}  # box: its start, as discovery tells it
        self.nearest = 0.0  # to the rule, 1 is at it
        self._told: dict[tuple[str, str], int] = {}
        self._window: dict[str, deque[tuple[int, int]]] = {}
        self._sum: dict[str, int] = {}

    def began(self, box: str, since_ms: int, capacity: Callable[[], float], warm: Callable[[], bool]) -> None:
        """A box has started."""
        self.capacity[box], self.warm[box], self.since_ms[box] = capacity, warm, since_ms
        self._window[box], self._sum[box] = deque(), 0

    def told(self, gateway: str, box: str, since_ms: int) -> None:
        self._told[gateway, box] = since_ms

    def forget(self, gateway: str) -> None:
        for key in [k for k in self._told if k[0] == gateway]:
            del self._told[key]

    def take(self, now: int, box: str, gateway: str, work_ns: int) -> int:
        """Work over what the box bears; 0 or less: it bears it."""
        if box not in self.warm or self.warm[box]() or self._told.get((gateway, box)) != self.since_ms[box]:
            return 0
        window = self._window[box]
        window.append((now, work_ns))
        total = self._sum[box] + work_ns
        while window[0][0] <= now - self.figures.cold_window_ns:
            total -= window.popleft()[1]
        self._sum[box] = total
        bears = self.figures.cold_multiple * self.capacity[box]() * self.figures.cold_window_ns
        self.nearest = max(self.nearest, total / (bears + self.figures.cold_slack_ns))
        return int(total - bears - self.figures.cold_slack_ns)
