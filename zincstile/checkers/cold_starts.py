"""Rule on cold starts: in 3 s all gateways together send a just-started backend at most twice its capacity.

Only calls of notified gateways count: discovery lags by seconds, and a gateway that has not been notified of
the start can't know that the backend is cold. The backend itself reports its current capacity.

`ColdCalls` measures the same in calls: where the standing test allows a cold backend N calls, up to
2 x sqrt(N) + 2 further calls count as random variation (with N below 30: 3 x sqrt(N) + 3).
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from .rules import RuleLimits

FEW_CALLS: Final = 30  # below it, the allowance for random variation is larger
FEW_CALLS_FACTOR: Final = 3  # times the root of N, and added to it once more (PROTOCOL)
MANY_CALLS_FACTOR: Final = 2
MIN_NOTIFIED_SHARE: Final = 2 / 3  # of the work; the rule applies if notified gateways sent more than this


def max_calls(calls: float) -> float:
    """Returns the limit for a number of allowed calls: the calls plus an allowance for random variation."""
    factor = MANY_CALLS_FACTOR if calls >= FEW_CALLS else FEW_CALLS_FACTOR
    return calls + factor * math.sqrt(calls) + factor


class ColdCall(NamedTuple):
    """A call that a cold backend received. `notified`: the gateway had been notified of the start."""

    at_ns: int
    work_ns: int
    notified: bool


class ColdCalls:
    """Calls that each cold backend received in the window from all gateways, in calls of mean work."""

    def __init__(self, window_ns: int) -> None:
        """Starts without backends. `peak_ratio`: highest ratio of calls to the limit so far."""
        self.window_ns = window_ns
        self.peak_ratio = 0.0
        self._total_calls = 0
        self._total_work_ns = 0
        self._windows: dict[str, deque[ColdCall]] = {}

    def backend_started(self, backend: str) -> None:
        """Records that a backend has started and is cold."""
        self._windows[backend] = deque()

    def call_received(self, work_ns: int) -> None:
        """Counts a call at any backend, cold or warm, in the mean work of a call."""
        self._total_calls += 1
        self._total_work_ns += work_ns

    def cold_call_received(self, backend: str, call: ColdCall, allowed_ns: float) -> None:
        """Records a call at a cold backend, which may now receive `allowed_ns` of work per window."""
        window = self._windows[backend]
        window.append(call)
        while window[0].at_ns <= call.at_ns - self.window_ns:
            window.popleft()
        total_ns = sum(received.work_ns for received in window)
        notified_ns = sum(received.work_ns for received in window if received.notified)
        if notified_ns > MIN_NOTIFIED_SHARE * total_ns:
            mean_ns = self._total_work_ns / self._total_calls
            limit = max_calls(allowed_ns / mean_ns)
            self.peak_ratio = max(self.peak_ratio, total_ns / mean_ns / limit)


@dataclass(slots=True)
class ColdBackend:
    """A backend that started cold. `capacity` returns its work per nanosecond at its present warmth."""

    since_ms: int  # time of its start in the endpoint list of discovery
    capacity: Callable[[], float]
    is_warm: Callable[[], bool]
    window: deque[tuple[int, int]] = field(default_factory=deque)  # time and work of each call
    window_work_ns: int = 0


class ColdStarts:
    """The work that each cold backend received from notified gateways in the window."""

    def __init__(self, limits: RuleLimits) -> None:
        """Starts without backends. `peak_ratio`: highest ratio of work to the limit so far."""
        self.limits = limits
        self.peak_ratio = 0.0
        self.calls = ColdCalls(limits.cold_window_ns)
        self._backends: dict[str, ColdBackend] = {}
        self._notified_ms: dict[tuple[str, str], int] = {}  # by gateway and backend: the start last sent

    def backend_started(
        self, backend: str, since_ms: int, capacity: Callable[[], float], is_warm: Callable[[], bool]
    ) -> None:
        """Records that a backend has started."""
        self._backends[backend] = ColdBackend(since_ms, capacity, is_warm)
        self.calls.backend_started(backend)

    def gateway_notified(self, gateway: str, backend: str, since_ms: int) -> None:
        """Records that discovery has sent a backend's start time to a gateway."""
        self._notified_ms[gateway, backend] = since_ms

    def gateway_started(self, gateway: str) -> None:
        """Forgets the notifications of the gateway's previous process."""
        for key in [key for key in self._notified_ms if key[0] == gateway]:
            del self._notified_ms[key]

    def call_received(self, now_ns: int, backend: str, gateway: str, work_ns: int) -> int:
        """Records a call; returns the nanoseconds of work beyond the limit, at most 0 if the rule holds."""
        self.calls.call_received(work_ns)
        cold_backend = self._backends.get(backend)
        if cold_backend is None or cold_backend.is_warm():
            return 0
        limits = self.limits
        allowed_ns = limits.cold_multiple * cold_backend.capacity() * limits.cold_window_ns
        notified = self._notified_ms.get((gateway, backend)) == cold_backend.since_ms
        self.calls.cold_call_received(backend, ColdCall(now_ns, work_ns, notified), allowed_ns)
        if not notified:
            return 0
        cold_backend.window.append((now_ns, work_ns))
        cold_backend.window_work_ns += work_ns
        while cold_backend.window[0][0] <= now_ns - limits.cold_window_ns:
            cold_backend.window_work_ns -= cold_backend.window.popleft()[1]
        self.peak_ratio = max(
            self.peak_ratio, cold_backend.window_work_ns / (allowed_ns + limits.cold_slack_ns)
        )
        return int(cold_backend.window_work_ns - allowed_ns - limits.cold_slack_ns)
