"""Rule on cold starts: what all gateways together send a just-started box in 3 s stays under twice what it
can do at that moment, in work.

Only the sends of gateways that were told of the start count: discovery is seconds late, and who takes a
box for a warm one by no fault of its own breaks no rule. What a box bears is asked of it, as it stands.

Beside the rule, `ColdCalls` measures the sum of what all gateways send in calls: of the standing test's N
calls that a cold box may get, only 2 x root of N + 2 more are chance (under 30: 3 x root of N + 3).
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable

from .cases import Figures

FEW_CALLS = 30  # below it, chance is allowed more
TOLD_SHARE = 2 / 3  # of what makes a box fall: where more came from those that were told, the rule is broken


def most_calls(calls: float) -> float:
    """What a cold box bears in calls, where the settings allow it so many: the rest is chance."""
    factor = 2 if calls >= FEW_CALLS else 3
    return calls + factor * math.sqrt(calls) + factor


class ColdCalls:
    """All that came to each cold box lately, whoever sent it, in calls of the mean work seen so far."""

    def __init__(self, window_ns: int) -> None:
        self.window_ns = window_ns
        self.nearest = 0.0  # to a fall that breaks the rule, 1 is at it
        self._seen, self._work_ns = 0, 0
        self._window: dict[str, deque[tuple[int, int, bool]]] = {}

    def began(self, box: str) -> None:
        self._window[box] = deque()

    def saw(self, work_ns: int) -> None:
        """A call at any box, cold or warm: of these is the mean."""
        self._seen += 1
        self._work_ns += work_ns

    def take(self, now: int, box: str, work_ns: int, told: bool, allowed_ns: float) -> None:
        """A call at a cold one, which is allowed so much work in a window as warm as it is."""
        window = self._window[box]
        window.append((now, work_ns, told))
        while window[0][0] <= now - self.window_ns:
            window.popleft()
        total_ns = sum(work for _, work, _ in window)
        told_ns = sum(work for _, work, told in window if told)
        if told_ns > TOLD_SHARE * total_ns:
            mean_ns = self._work_ns / self._seen
            calls = allowed_ns / mean_ns
            most = most_calls(calls)
            self.nearest = max(self.nearest, total_ns / mean_ns / most)


class ColdStarts:
    """The work that came to each cold box lately."""

    def __init__(self, figures: Figures) -> None:
        self.figures = figures
        self.capacity: dict[str, Callable[[], float]] = {}  # box: work in a nanosecond by now; whole: warm
        self.warm: dict[str, Callable[[], bool]] = {}
        self.since_ms: dict[str, int] = {}  # box: its start, as discovery tells it
        self.nearest = 0.0  # to the rule, 1 is at it
        self.calls = ColdCalls(figures.cold_window_ns)
        self._told: dict[tuple[str, str], int] = {}
        self._window: dict[str, deque[tuple[int, int]]] = {}
        self._sum: dict[str, int] = {}

    def began(self, box: str, since_ms: int, capacity: Callable[[], float], warm: Callable[[], bool]) -> None:
        """A box has started."""
        self.capacity[box], self.warm[box], self.since_ms[box] = capacity, warm, since_ms
        self._window[box], self._sum[box] = deque(), 0
        self.calls.began(box)

    def told(self, gateway: str, box: str, since_ms: int) -> None:
        self._told[gateway, box] = since_ms

    def forget(self, gateway: str) -> None:
        for key in [k for k in self._told if k[0] == gateway]:
            del self._told[key]

    def take(self, now: int, box: str, gateway: str, work_ns: int) -> int:
        """Work over what the box bears; 0 or less: it bears it."""
        self.calls.saw(work_ns)
        if box not in self.warm or self.warm[box]():
            return 0
        bears = self.figures.cold_multiple * self.capacity[box]() * self.figures.cold_window_ns
        told = self._told.get((gateway, box)) == self.since_ms[box]
        self.calls.take(now, box, work_ns, told, bears)
        if not told:
            return 0
        window = self._window[box]
        window.append((now, work_ns))
        total = self._sum[box] + work_ns
        while window[0][0] <= now - self.figures.cold_window_ns:
            total -= window.popleft()[1]
        self._sum[box] = total
        self.nearest = max(self.nearest, total / (bears + self.figures.cold_slack_ns))
        return int(total - bears - self.figures.cold_slack_ns)
