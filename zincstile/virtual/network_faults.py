"""Faults on the paths between named participants, injected by plans and queried by the networks.

A participant is a name (`g0`, `s-03`, `discovery`, `keeper`). A path is an ordered pair of names, so that it
can be cut in one direction only. Overlapping faults add up; each is removed by the function that `inject`
returned for it. The virtual network and the testbed, which runs real processes, query the same class, so that
a plan means the same on both. The module does no I/O and reads no clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Final

NetworkPath = tuple[str, str]  # source and target


@dataclass(frozen=True, slots=True)
class PathFault:
    """A fault on one path. Ratios are from 0 to 1."""

    cut: bool = False  # traffic is dropped silently
    reset: bool = False  # open connections are reset, and new ones are closed at once
    loss_ratio: float = 0.0
    duplicate_ratio: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0  # maximum random addition per datagram, so that datagrams are reordered
    datagrams_per_s: float = 0.0  # 0: unlimited

    def __post_init__(self) -> None:
        """Raises ValueError if a value is out of its range."""
        if not (0 <= self.loss_ratio <= 1 and 0 <= self.duplicate_ratio <= 1):
            raise ValueError("loss_ratio and duplicate_ratio must be from 0 to 1")
        if min(self.delay_s, self.jitter_s, self.datagrams_per_s) < 0:
            raise ValueError("delay_s, jitter_s and datagrams_per_s must not be negative")


NO_FAULT: Final = PathFault()


def combine(faults: Iterable[PathFault]) -> PathFault:
    """Combines faults: losses and duplicates are independent, delays add up, the lowest rate applies."""
    cut = reset = False
    delivery_ratio = single_copy_ratio = 1.0
    delay_s = jitter_s = datagrams_per_s = 0.0
    for fault in faults:
        cut = cut or fault.cut
        reset = reset or fault.reset
        delivery_ratio *= 1 - fault.loss_ratio
        single_copy_ratio *= 1 - fault.duplicate_ratio
        delay_s += fault.delay_s
        jitter_s += fault.jitter_s
        datagrams_per_s = min(
            datagrams_per_s or fault.datagrams_per_s, fault.datagrams_per_s or datagrams_per_s
        )
    return PathFault(
        cut, reset, 1 - delivery_ratio, 1 - single_copy_ratio, delay_s, jitter_s, datagrams_per_s
    )


@dataclass(slots=True)
class TokenBucket:
    """A token bucket of datagrams that may pass on a path with a rate limit."""

    tokens: float
    updated_s: float


@dataclass(slots=True)
class DatagramCounts:
    """Counts of datagrams on all paths, by outcome."""

    passed: int = 0
    lost: int = 0
    duplicated: int = 0
    delayed: int = 0


@dataclass(slots=True)
class NetworkFaults:
    """The faults on all paths of one run.

    The functions in `on_change` are called with the paths whose faults have changed, so that open connections
    can apply them.
    """

    rng: random.Random
    on_change: list[Callable[[list[NetworkPath]], None]] = field(default_factory=list)
    counts: DatagramCounts = field(default_factory=DatagramCounts)
    _injected: dict[NetworkPath, list[PathFault]] = field(default_factory=dict)
    _combined: dict[NetworkPath, PathFault] = field(default_factory=dict)
    _buckets: dict[NetworkPath, TokenBucket] = field(default_factory=dict)

    def inject(self, paths: Iterable[NetworkPath], fault: PathFault) -> Callable[[], None]:
        """Adds a fault to these paths; returns a function that removes it (later calls do nothing)."""
        faulty_paths = list(dict.fromkeys(paths))
        for path in faulty_paths:
            self._injected.setdefault(path, []).append(fault)
        self._update(faulty_paths)
        removed = False

        def remove() -> None:
            nonlocal removed
            if removed:
                return
            removed = True
            for path in faulty_paths:
                self._injected[path].remove(fault)
            self._update(faulty_paths)

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
        """Returns the combined fault on this path at present."""
        return self._combined.get((source, target), NO_FAULT) if self._combined else NO_FAULT

    def copy_delays_s(self, source: str, target: str, now_s: float) -> list[float]:
        """Returns the delay in seconds of each copy of one datagram; empty if it is lost."""
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
        bucket = self._buckets.setdefault(path, TokenBucket(capacity, now_s))
        bucket.tokens = min(capacity, bucket.tokens + per_s * (now_s - bucket.updated_s))
        bucket.updated_s = now_s
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True


def paths_between(
    sources: Iterable[str], targets: Iterable[str], direction: str = "both"
) -> list[NetworkPath]:
    """Returns the paths between two groups.

    `direction` is `out` (from the first to the second), `in` (the other way) or `both`.
    """
    forward = [(source, target) for source in sources for target in targets if source != target]
    reverse = [(target, source) for source, target in forward]
    return {"out": forward, "in": reverse, "both": forward + reverse}[direction]
