"""Verdicts of a scale run from what was seen: delays of changes, use over windows, calls to cold backends.

Pure: no I/O and no clock; times are handed in, in seconds of one clock.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf, sqrt
from typing import Final, NamedTuple

WINDOW_S: Final = 60.0  # "over any minute"


class Change(NamedTuple):
    """One change of the endpoint table, and when discovery had it."""

    index: int
    at_s: float


class Seen(NamedTuple):
    """What a gateway had in force at a time."""

    at_s: float
    index: int


class Use(NamedTuple):
    """What a gateway has used since its start."""

    at_s: float
    cpu_s: float
    control_bytes: int
    memory_bytes: float


@dataclass
class Incarnation:
    """One process of a gateway: from when it could be reached until it was ended."""

    up_s: float
    down_s: float = inf
    seen: list[Seen] = field(default_factory=list)
    uses: list[Use] = field(default_factory=list)


@dataclass
class Delays:
    """How changes came into force at one gateway. A delay is an upper bound: until it was seen there."""

    delays_s: list[float] = field(default_factory=list)  # of those seen in force
    late: int = 0  # seen, but after the time allowed
    never: int = 0  # not seen although the time allowed was over
    undecided: int = 0  # the gateway or the run ended before the time allowed was over
    first_missing: int = -1  # index of the first change that is late or never

    @property
    def worst_s(self) -> float:
        """The longest delay; infinite where a change was never seen."""
        return inf if self.never else max(self.delays_s, default=0.0)


def in_force(
    changes: list[Change], incarnations: Iterable[Incarnation], within_s: float, end_s: float
) -> Delays:
    """What became of each change at one gateway. A change before a process could be reached is due from when
    it could be; all such changes come by one whole list, so that the last of them stands for all."""
    found = Delays()
    times = [change.at_s for change in changes]
    for incarnation in incarnations:
        first = bisect_left(times, incarnation.up_s)
        last = bisect_left(times, min(incarnation.down_s, end_s))
        seen = deque(incarnation.seen)
        for change in changes[max(0, first - 1) : last]:
            since_s = max(change.at_s, incarnation.up_s)
            while seen and seen[0].index < change.index:
                seen.popleft()
            _judge(found, change, since_s, seen[0] if seen else None, incarnation, within_s, end_s)
    return found


def _judge(
    found: Delays,
    change: Change,
    since_s: float,
    seen: Seen | None,
    incarnation: Incarnation,
    within_s: float,
    end_s: float,
) -> None:
    if seen is not None:
        delay = max(0.0, seen.at_s - since_s)
        found.delays_s.append(delay)
        if delay <= within_s:
            return
        found.late += 1
    elif min(incarnation.down_s, end_s) <= since_s + within_s:
        found.undecided += 1
        return
    else:
        found.never += 1
    if found.first_missing < 0:
        found.first_missing = change.index


@dataclass
class Peak:
    """The most that a gateway used over any one window; `seconds`: the longest window that was looked at."""

    cpu_share: float = 0.0
    bytes_per_s: float = 0.0
    memory_bytes: float = 0.0
    seconds: float = 0.0


def peak(incarnations: Iterable[Incarnation], window_s: float = WINDOW_S) -> Peak:
    """Over all windows of at least that length; over the whole of a process that lived for less."""
    found = Peak()
    for incarnation in incarnations:
        uses = incarnation.uses
        found.memory_bytes = max([found.memory_bytes, *(use.memory_bytes for use in uses)])
        for first, last in _windows(uses, window_s):
            seconds = last.at_s - first.at_s
            found.seconds = max(found.seconds, min(seconds, window_s))
            found.cpu_share = max(found.cpu_share, (last.cpu_s - first.cpu_s) / seconds)
            found.bytes_per_s = max(found.bytes_per_s, (last.control_bytes - first.control_bytes) / seconds)
    return found


def _windows(uses: list[Use], window_s: float) -> list[tuple[Use, Use]]:
    """From each sample to the first one that is a window later."""
    if len(uses) < 2 or uses[-1].at_s <= uses[0].at_s:
        return []
    if uses[-1].at_s - uses[0].at_s < window_s:
        return [(uses[0], uses[-1])]
    found, until = [], 0
    for first in uses:
        while until < len(uses) and uses[until].at_s - first.at_s < window_s:
            until += 1
        if until == len(uses):
            break
        found.append((first, uses[until]))
    return found


def cold_allowance(calls: float) -> float:
    """What may come for a budget of so many calls: beyond them only chance."""
    return calls + 2 * sqrt(calls) + 2


class ColdBudgets:
    """Calls of all gateways together to each cold backend, over a sliding window."""

    def __init__(self, window_s: float) -> None:
        """`window_s`: the sliding window over which a budget holds."""
        self.window_s = window_s
        self.nearest, self.nearest_backend = 0.0, ""  # calls in a window over what may come; 1: at it
        self.calls = 0  # to cold backends
        self.over: dict[str, tuple[float, int, float]] = {}  # backend: when first, calls, what may come
        self._budget: dict[str, Callable[[float], float | None]] = {}
        self._recent: dict[str, deque[float]] = {}

    def began(self, backend: str, budget: Callable[[float], float | None]) -> None:
        """A cold backend starts. `budget`: calls that it may get in the window that ends at a time; None once
        it is warm."""
        self._budget[backend], self._recent[backend] = budget, deque()

    def take(self, backend: str, at_s: float) -> bool:
        """A call has come; False where it is one too many."""
        budget = self._budget[backend](at_s) if backend in self._budget else None
        if budget is None:
            self._budget.pop(backend, None)
            self._recent.pop(backend, None)
            return True
        recent = self._recent[backend]
        recent.append(at_s)
        while recent[0] <= at_s - self.window_s:
            recent.popleft()
        self.calls += 1
        allowed = cold_allowance(budget)
        if len(recent) / allowed > self.nearest:
            self.nearest, self.nearest_backend = len(recent) / allowed, backend
        if len(recent) > allowed:
            self.over.setdefault(backend, (at_s, len(recent), allowed))
            return False
        return True
