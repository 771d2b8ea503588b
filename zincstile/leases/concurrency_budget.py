"""Budgets: what all gateways together have out at the back end, with a stated most.

Each gateway's part of the most is even. Where others are silent, those that are heard may take over
their parts, up to a factor: the sum over any sides of a partition is then at most the factor times the
most, since a side of `k` out of `n` gateways holds `k / n` of it, times at most the factor. So nobody
has to know whether the silent ones are dead or cut off.

Who is there is told by words that travel through all (each gateway tells some others what it knows),
with origin, process and number: of one origin the newest number of its newest process holds, in any
order and however often it comes. A part is taken over only once its owner is unheard for `silence`, by
steps; it is given back at once. Who was asleep knows nothing of the others, and begins with its own
part.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .settings import MS, SECOND

SILENCE_NS = 2 * SECOND  # unheard for so long: its part may be taken over
SLOW_NS = 30 * MS  # and for so long for each gateway: words need the longer to come round
STEP_S = 0.5  # in which the factor doubles at most
ASLEEP_NS = 500 * MS  # a gap of this process from which it knows nothing of the others
FAN = 3  # others that are told in one beat
TOLD = 10  # gateways of which one message tells
MOST_FACTOR = 3.4  # of parts that are taken over: three in ten gateways carry all
FORGET_NS = 60 * SECOND


@dataclass(slots=True)
class LevelWord:
    """A word: what a gateway has out and would have, in units, and how old that is."""

    origin: int
    life: int
    number: int
    out: float
    wants: float
    age_ns: int


@dataclass(slots=True)
class Known:
    """Of another gateway."""

    life: int
    number: int
    out: float
    wants: float
    made_ns: int


@dataclass(slots=True)
class Levels:
    """Of one gateway among `gateways`; `most` is what all may have out for each ready server, in units."""

    me: int
    gateways: int
    life: int  # of this process: a number that grows with each start, and past any that is still told of
    most: float
    known: dict[int, Known] = field(default_factory=dict)
    factor: float = 1.0
    number: int = 0
    last_ns: int = -1
    began_ns: int = -1
    awake_ns: int = -1  # since when this process runs without a gap

    @property
    def silence_ns(self) -> int:
        """A gateway that was not heard of for so long counts as silent."""
        return max(SILENCE_NS, self.gateways * SLOW_NS)

    def merge(self, now: int, word: LevelWord) -> bool:
        """False where it says nothing new. A process that was followed by another never counts again, however
        late its words come: lives only grow. Who hears of a later life of its own than the one it has (its
        machine's clock began anew) goes past that."""
        if not 0 <= word.origin < self.gateways or word.age_ns > FORGET_NS:
            return False
        if word.origin == self.me:
            if (word.life, word.number) > (self.life, self.number):
                self.life = word.life + 1
            return False
        known = self.known.get(word.origin)
        if known is not None and (word.life, word.number) <= (known.life, known.number):
            return False
        self.known[word.origin] = Known(word.life, word.number, word.out, word.wants, now - word.age_ns)
        return True

    def alive(self, now: int) -> int:
        """Gateways that were heard of lately, this one among them."""
        return 1 + sum(now - k.made_ns < self.silence_ns for k in self.known.values())

    def look(self, now: int) -> float:
        """Once a beat: the factor on this gateway's part. It falls at once and rises by steps."""
        if self.last_ns < 0 or now - self.last_ns > ASLEEP_NS:
            self.awake_ns, self.factor = now, 1.0
        span, self.last_ns = (now - self.last_ns) / SECOND if self.last_ns >= 0 else 0.0, now
        for origin in [o for o, k in self.known.items() if now - k.made_ns > FORGET_NS]:
            del self.known[origin]
        wanted = min(MOST_FACTOR, self.gateways / self.alive(now))
        if now - self.awake_ns < self.silence_ns:
            wanted = 1.0
        self.factor = min(wanted, self.factor * 2 ** (span / STEP_S))
        return self.factor

    def part(self, ready: float) -> float:
        """Units that this gateway may have out, at most."""
        return self.most * ready * self.factor / self.gateways

    def stated(self, ready: float) -> float:
        """Units that all gateways together have out at most, under any partition."""
        return self.most * ready * min(MOST_FACTOR, self.gateways)

    def tell(self, now: int, out: float, wants: float, rng: random.Random) -> list[LevelWord]:
        """Of itself, and of some others, the youngest first."""
        self.number += 1
        own = LevelWord(self.me, self.life, self.number, out, wants, 0)
        young = [
            LevelWord(o, k.life, k.number, k.out, k.wants, now - k.made_ns)
            for o, k in self.known.items()
            if now - k.made_ns < self.silence_ns
        ]
        rng.shuffle(young)
        young.sort(key=lambda w: w.age_ns // (self.silence_ns // 8))
        return [own, *young[:TOLD]]

    def partners(self, rng: random.Random) -> list[int]:
        """Who is told this time: drawn anew each time, so that no part of the fleet is left out."""
        others = [k for k in range(self.gateways) if k != self.me]
        return rng.sample(others, min(FAN, len(others)))
