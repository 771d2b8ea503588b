"""Rule on cold starts: in 3 s all gateways send a just-started backend less than twice what it can do.

Only what notified gateways send counts: discovery is seconds late, and a gateway that takes a backend for a
warm one by no fault of its own breaks no rule. What a backend can do is asked of it, as warm as it is.

Beside the rule in work, `ColdCalls` measures in calls: of the standing test's N calls that a cold backend may
get, only 2 x root of N + 2 more are chance (under 30: 3 x root of N + 3).
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from .rules import RuleLimits

FEW_CALLS: Final = 30  # below it, chance is allowed more
FEW_CALLS_FACTOR: Final = 3  # of the root of N, and added to it (PROTOCOL)
MANY_CALLS_FACTOR: Final = 2
NOTIFIED_SHARE: Final = 2 / 3  # of an overload: where more came from notified gateways, the rule is broken


def max_calls(calls: float) -> float:
    """Calls that a cold backend can do, where the settings allow it so many: the rest is chance."""
    factor = MANY_CALLS_FACTOR if calls >= FEW_CALLS else FEW_CALLS_FACTOR
    return calls + factor * math.sqrt(calls) + factor


class ColdCall(NamedTuple):
    """A call that a cold backend received. `notified`: its gateway knew of the start."""

    at_ns: int
    work_ns: int
    notified: bool


class ColdCalls:
    """All that each cold backend received lately, by whichever gateway, in calls of the mean work so far."""

    def __init__(self, window_ns: int) -> None:
        """Begin with no backend. `peak_ratio`: of the calls that the rule allows; 1 is the limit."""
        self.window_ns = window_ns
        self.peak_ratio = 0.0
        self._calls_seen = 0
        self._work_seen_ns = 0
        self._windows: dict[str, deque[ColdCall]] = {}

    def backend_started(self, backend: str) -> None:
        """A backend has started, cold."""
        self._windows[backend] = deque()

    def call_received(self, work_ns: int) -> None:
        """Any backend received a call, cold or warm: the mean is of all of these."""
        self._calls_seen += 1
        self._work_seen_ns += work_ns

    def cold_call_received(self, backend: str, call: ColdCall, allowed_ns: float) -> None:
        """A cold backend received a call; as warm as it is, it may get so much work in a window."""
        window = self._windows[backend]
        window.append(call)
        while window[0].at_ns <= call.at_ns - self.window_ns:
            window.popleft()
        total_ns = sum(one.work_ns for one in window)
        notified_ns = sum(one.work_ns for one in window if one.notified)
        if notified_ns > NOTIFIED_SHARE * total_ns:
            mean_ns = self._work_seen_ns / self._calls_seen
            limit = max_calls(allowed_ns / mean_ns)
            self.peak_ratio = max(self.peak_ratio, total_ns / mean_ns / limit)


@dataclass(slots=True)
class ColdBackend:
    """A backend that has started cold. `capacity`: work in a nanosecond, as warm as it is."""

    since_ms: int  # its start, as discovery lists it
    capacity: Callable[[], float]
    is_warm: Callable[[], bool]
    window: deque[tuple[int, int]] = field(default_factory=deque)  # time and work of each call
    window_work_ns: int = 0


class ColdStarts:
    """The work that each cold backend received lately of notified gateways."""

    def __init__(self, limits: RuleLimits) -> None:
        """Begin with no cold backend. `peak_ratio`: of the work that the rule allows; 1 is the limit."""
        self.limits = limits
        self.peak_ratio = 0.0
        self.calls = ColdCalls(limits.cold_window_ns)
        self._backends: dict[str, ColdBackend] = {}
        self._notified_ms: dict[tuple[str, str], int] = {}  # by gateway and backend: the start it knows of

    def backend_started(
        self, backend: str, since_ms: int, capacity: Callable[[], float], is_warm: Callable[[], bool]
    ) -> None:
        """A backend has started."""
        self._backends[backend] = ColdBackend(since_ms, capacity, is_warm)
        self.calls.backend_started(backend)

    def gateway_notified(self, gateway: str, backend: str, since_ms: int) -> None:
        """Discovery has written a backend's start to a gateway."""
        self._notified_ms[gateway, backend] = since_ms

    def gateway_started(self, gateway: str) -> None:
        """A process of the gateway starts: it knows nothing yet."""
        for key in [key for key in self._notified_ms if key[0] == gateway]:
            del self._notified_ms[key]

    def call_received(self, now_ns: int, backend: str, gateway: str, work_ns: int) -> int:
        """A backend received a call; nanoseconds of work beyond the limit, 0 or less where the rule holds."""
        self.calls.call_received(work_ns)
        cold = self._backends.get(backend)
        if cold is None or cold.is_warm():
            return 0
        limits = self.limits
        allowed_ns = limits.cold_multiple * cold.capacity() * limits.cold_window_ns
        notified = self._notified_ms.get((gateway, backend)) == cold.since_ms
        self.calls.cold_call_received(backend, ColdCall(now_ns, work_ns, notified), allowed_ns)
        if not notified:
            return 0
        cold.window.append((now_ns, work_ns))
        cold.window_work_ns += work_ns
        while cold.window[0][0] <= now_ns - limits.cold_window_ns:
            cold.window_work_ns -= cold.window.popleft()[1]
        self.peak_ratio = max(self.peak_ratio, cold.window_work_ns / (allowed_ns + limits.cold_slack_ns))
        return int(cold.window_work_ns - allowed_ns - limits.cold_slack_ns)
