"""What is wrong between two places at present: plans put it there, the networks ask for it. No I/O, no
clock.

A place is a name (`g0`, `s-03`, `discovery`, `keeper`). Troubles are laid on ordered pairs, so that a
way may be cut in one direction only; they add up while they overlap, and each is taken away by what
`lay` gave. Virtual time and real processes ask the same object, so that one plan means the same on
both.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

Pair = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Trouble:
    """On one way. Times in seconds, shares from 0 to 1; `per_s`: datagrams that pass in a second."""

    cut: bool = False  # nothing passes, nothing is told
    reset: bool = False  # connections break, and new ones are closed at once
    loss: float = 0.0
    twice: float = 0.0
    delay_s: float = 0.0
    shuffle_s: float = 0.0  # up to so much more for each datagram by itself: they overtake each other
    per_s: float = 0.0  # 0: as many as come

    def __post_init__(self) -> None:
        if not (0 <= self.loss <= 1 and 0 <= self.twice <= 1):
            raise ValueError("loss and twice: shares from 0 to 1")
        if min(self.delay_s, self.shuffle_s, self.per_s) < 0:
            raise ValueError("delay_s, shuffle_s and per_s must not be negative")


CLEAR = Trouble()


def joined(troubles: Iterable[Trouble]) -> Trouble:
    """Of several at once: losses are independent, delays add up, the narrowest rate holds."""
    cut = reset = False
    passes, alone, delay, shuffle, rate = 1.0, 1.0, 0.0, 0.0, 0.0
    for t in troubles:
        cut, reset = cut or t.cut, reset or t.reset
        passes, alone = passes * (1 - t.loss), alone * (1 - t.twice)
        delay, shuffle = delay + t.delay_s, shuffle + t.shuffle_s
        rate = min(rate or t.per_s, t.per_s or rate)
    return Trouble(cut, reset, 1 - passes, 1 - alone, delay, shuffle, rate)


@dataclass(slots=True)
class _Store:
    """Datagrams that may still pass on a way with a rate."""

    level: float
    at_s: float


@dataclass(slots=True)
class Links:
    """All ways of one run. `changed` hears which pairs have changed: connections have to be told."""

    rng: random.Random
    changed: list[Callable[[list[Pair]], None]] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=lambda: {"passed": 0, "lost": 0, "twice": 0, "late": 0})
    _laid: dict[Pair, list[Trouble]] = field(default_factory=dict)
    _now: dict[Pair, Trouble] = field(default_factory=dict)
    _stores: dict[Pair, _Store] = field(default_factory=dict)

    def lay(self, pairs: Iterable[Pair], trouble: Trouble) -> Callable[[], None]:
        """Puts it on these ways; what is given takes it away again, once."""
        chosen = list(dict.fromkeys(pairs))
        for pair in chosen:
            self._laid.setdefault(pair, []).append(trouble)
        self._renew(chosen)
        gone: list[bool] = []

        def take_away() -> None:
            if not gone:
                gone.append(True)
                for pair in chosen:
                    self._laid[pair].remove(trouble)
                self._renew(chosen)

        return take_away

    def _renew(self, pairs: list[Pair]) -> None:
        for pair in pairs:
            laid = self._laid.get(pair)
            if laid:
                self._now[pair] = joined(laid)
            else:
                self._laid.pop(pair, None)
                self._now.pop(pair, None)
                self._stores.pop(pair, None)
        for hear in self.changed:
            hear(pairs)

    def way(self, source: str, target: str) -> Trouble:
        """What is wrong on this way now."""
        return self._now.get((source, target), CLEAR) if self._now else CLEAR

    def fates(self, source: str, target: str, now_s: float) -> list[float]:
        """Of one datagram: after how many seconds each copy of it arrives; none: it is lost."""
        trouble = self.way(source, target)
        if trouble is CLEAR:
            self.counts["passed"] += 1
            return [0.0]
        if (
            trouble.cut
            or trouble.loss
            and self.rng.random() < trouble.loss
            or not self._room((source, target), trouble, now_s)
        ):
            self.counts["lost"] += 1
            return []
        copies = 2 if trouble.twice and self.rng.random() < trouble.twice else 1
        found = [trouble.delay_s + trouble.shuffle_s * self.rng.random() for _ in range(copies)]
        self.counts["passed"] += 1
        self.counts["twice"] += copies - 1
        self.counts["late"] += found[0] > 0
        return found

    def _room(self, pair: Pair, trouble: Trouble, now_s: float) -> bool:
        if not trouble.per_s:
            return True
        store = self._stores.setdefault(pair, _Store(max(1.0, trouble.per_s), now_s))
        store.level = min(max(1.0, trouble.per_s), store.level + trouble.per_s * (now_s - store.at_s))
        store.at_s = now_s
        if store.level < 1:
            return False
        store.level -= 1
        return True


def between(ones: Iterable[str], others: Iterable[str], way: str = "both") -> list[Pair]:
    """The ordered pairs of two groups: `out` from the first to the second, `in` the other way, or both."""
    pairs = [(a, b) for a in ones for b in others if a != b]
    back = [(b, a) for a, b in pairs]
    return {"out": pairs, "in": back, "both": pairs + back}[way]
