"""Faults on the paths between named places: plans inject them, the networks ask for them. No I/O, no clock.

A place is a name (`g0`, `s-03`, `discovery`, `keeper`), a path an ordered pair of two, so that it may be cut
in one direction only. Faults add up while they overlap, and each is removed by what `inject` returned.
Virtual time and real processes ask the same object, so that one plan means the same on both.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

NetworkPath = tuple[str, str]  # source and target


@dataclass(frozen=True, slots=True)
class PathFault:
    """What is wrong on one path. Ratios are from 0 to 1."""

    cut: bool = False  # nothing passes, and nobody learns it
    reset: bool = False  # connections break, and new ones are closed at once
    loss_ratio: float = 0.0
    duplicate_ratio: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0  # up to so much more for each datagram by itself: they overtake each other
    datagrams_per_s: float = 0.0  # 0: as many as come

    def __post_init__(self) -> None:
        """Refuse values that can't be with ValueError."""
        if not (0 <= self.loss_ratio <= 1 and 0 <= self.duplicate_ratio <= 1):
            raise ValueError("loss_ratio and duplicate_ratio must be from 0 to 1")
        if min(self.delay_s, self.jitter_s, self.datagrams_per_s) < 0:
            raise ValueError("delay_s, jitter_s and datagrams_per_s must not be negative")


NO_FAULT: Final = PathFault()


def combine(faults: Iterable[PathFault]) -> PathFault:
    """Several faults at once: losses are independent, delays add up, the lowest rate holds."""
    cut = reset = False
    passing = single = 1.0
    delay_s = jitter_s = datagrams_per_s = 0.0
    for fault in faults:
        cut = cut or fault.cut
        reset = reset or fault.reset
        passing *= 1 - fault.loss_ratio
        single *= 1 - fault.duplicate_ratio
        delay_s += fault.delay_s
        jitter_s += fault.jitter_s
        datagrams_per_s = min(
            datagrams_per_s or fault.datagrams_per_s, fault.datagrams_per_s or datagrams_per_s
        )
    return PathFault(cut, reset, 1 - passing, 1 - single, delay_s, jitter_s, datagrams_per_s)


@dataclass(slots=True)
class RateBucket:
    """Datagrams that may still pass on a path with a rate."""

    level: float
    at_s: float


@dataclass(slots=True)
class DatagramCounts:
    """What became of the datagrams on all paths."""

    passed: int = 0
    lost: int = 0
    duplicated: int = 0
    delayed: int = 0


@dataclass(slots=True)
class NetworkFaults:
    """The faults on all paths of one run.

    `on_change` is called with the paths whose faults have changed: open connections have to be told.
    """

    rng: random.Random
    on_change: list[Callable[[list[NetworkPath]], None]] = field(default_factory=list)
    counts: DatagramCounts = field(default_factory=DatagramCounts)
    _injected: dict[NetworkPath, list[PathFault]] = field(default_factory=dict)
    _combined: dict[NetworkPath, PathFault] = field(default_factory=dict)
    _buckets: dict[NetworkPath, RateBucket] = field(default_factory=dict)

    def inject(self, paths: Iterable[NetworkPath], fault: PathFault) -> Callable[[], None]:
        """Put a fault on these paths; call the result to remove it, further calls do nothing."""
        chosen = list(dict.fromkeys(paths))
        for path in chosen:
            self._injected.setdefault(path, []).append(fault)
        self._update(chosen)
        removed = False

        def remove() -> None:
            nonlocal removed
            if removed:
                return
            removed = True
            for path in chosen:
                self._injected[path].remove(fault)
            self._update(chosen)

        return remove

    def _update(self, paths: list[NetworkPath]) -> None:
        for path in paths:
            injected = self._injected.get(path)
            if injected:
                self._combined[path] = combine(injected)
            else:
                self._injected.pop(path, None)
                self._combined.pop(path, None)
                self._buckets.pop(path, None)
        for notify in self.on_change:
            notify(paths)

    def fault_on(self, source: str, target: str) -> PathFault:
        """What is wrong on this path now."""
        return self._combined.get((source, target), NO_FAULT) if self._combined else NO_FAULT

    def copy_delays_s(self, source: str, target: str, now_s: float) -> list[float]:
        """What becomes of one datagram: after how many seconds each copy arrives; none where it is lost."""
        fault = self.fault_on(source, target)
        if fault is NO_FAULT:
            self.counts.passed += 1
            return [0.0]
        if self._is_lost((source, target), fault, now_s):
            self.counts.lost += 1
            return []
        copies = 2 if fault.duplicate_ratio and self.rng.random() < fault.duplicate_ratio else 1
        delays_s = [fault.delay_s + fault.jitter_s * self.rng.random() for _ in range(copies)]
        self.counts.passed += 1
        self.counts.duplicated += copies - 1
        self.counts.delayed += delays_s[0] > 0
        return delays_s

    def _is_lost(self, path: NetworkPath, fault: PathFault, now_s: float) -> bool:
        if fault.cut:
            return True
        if fault.loss_ratio and self.rng.random() < fault.loss_ratio:
            return True
        return not self._passes_rate(path, fault, now_s)

    def _passes_rate(self, path: NetworkPath, fault: PathFault, now_s: float) -> bool:
        per_s = fault.datagrams_per_s
        if not per_s:
            return True
        capacity = max(1.0, per_s)
        bucket = self._buckets.setdefault(path, RateBucket(capacity, now_s))
        bucket.level = min(capacity, bucket.level + per_s * (now_s - bucket.at_s))
        bucket.at_s = now_s
        if bucket.level < 1:
            return False
        bucket.level -= 1
        return True


def paths_between(
    sources: Iterable[str], targets: Iterable[str], direction: str = "both"
) -> list[NetworkPath]:
    """The paths between two groups: `out` from the first to the second, `in` the other way, or `both`."""
    there = [(source, target) for source in sources for target in targets if source != target]
    back = [(target, source) for source, target in there]
    return {"out": there, "in": back, "both": there + back}[direction]
