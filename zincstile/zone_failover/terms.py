"""Who may propose a table, and which table holds. No I/O, no clock.

A fixed few of the gateways, the same wherever they are asked for (rendezvous hashing), are electors. One
that wants to propose calls a term; an elector gives its voice to one at a time, for `term` from when it
gave it, and to no other before that is over. Who has the voices of more than half of all electors holds
the term until `term` after it *called* (which is before any voice was given), so that at any moment at most
one holds one. What it knows of time is its own clock's spans alone.

Voices are counted by who gave them, for one term and one process. An elector that starts has forgotten what
it promised: it gives no voice for a whole `term`. Each table has a generation: term, proposer, its process,
and a number; a term's tables come from one process alone, so that no two of one generation differ. The
newest generation holds, however late others come. A table that nobody renewed for `hold` ends, and each
gateway goes by its stated part (`module`).

A proposer that was stopped looks at its clock before it proposes: its term is over. What it had sent before
is of an older generation by then, or still the newest: the same for all in either case.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .settings import PlaceSettings


@dataclass(frozen=True, slots=True, order=True)
class Generation:
    """Ordered: a later one is greater."""

    term: int
    number: int
    proposer: int
    process: int


@dataclass(frozen=True, slots=True)
class CallWord:
    """A word: give me your voice for this term."""

    term: int
    process: int


@dataclass(frozen=True, slots=True)
class Voice:
    """A word: for that term (`given`), or I am bound, or know of a later term (`term`)."""

    term: int
    process: int  # of the one that called
    given: bool


@dataclass(frozen=True, slots=True)
class Table:
    """Shares of each zone's traffic by zone, in parts of `flows.PARTS`, and each zone's state. `age_ns`:
    since it was made or renewed."""

    generation: Generation
    shares: tuple[tuple[int, ...], ...]
    states: tuple[int, ...]
    age_ns: int = 0


TermWord = CallWord | Voice | Table


def electors(gateways: int, most: int) -> list[int]:
    """Which gateways choose, the same everywhere; in the order in which they stand for it."""
    return sorted(sorted(range(gateways), key=_mix)[:most], key=_mix)


def _mix(x: int) -> int:
    """SplitMix64 (Steele, Lea, Flood 2014)."""
    x = (x + 1) * 0x9E3779B97F4A7C15 % 2**64
    x = (x ^ x >> 30) * 0xBF58476D1CE4E5B9 % 2**64
    x = (x ^ x >> 27) * 0x94D049BB133111EB % 2**64
    return x ^ x >> 31


@dataclass(slots=True)
class Promise:
    """An elector's voice that is out."""

    term: int
    proposer: int
    process: int
    until_ns: int


@dataclass(slots=True)
class Mine:
    """A term that this gateway called."""

    term: int
    called_ns: int
    voices: dict[int, None] = field(default_factory=dict)
    number: int = 0


class Terms:
    """Of one process of one gateway."""

    def __init__(
        self, settings: PlaceSettings, me: int, gateways: int, process: int, now: int, rng: random.Random
    ) -> None:
        self.settings, self.me, self.process, self.rng = settings, me, process, rng
        self.electors = electors(gateways, settings.electors)
        self.needed = len(self.electors) // 2 + 1
        self.latest = 0  # term that was heard of
        self.promise: Promise | None = None
        self.mute_ns = now + settings.term_ns  # no voice before: what was promised before the start is over
        self.mine: Mine | None = None
        self.renewing: Mine | None = None  # called while the one before it is still held
        self.table: Table | None = None
        self.had_ns = 0  # when the table was made or renewed, by the own clock, at the latest
        self.again_ns = now + rng.randrange(settings.term_ns) + settings.term_ns
        self.words: list[tuple[int, TermWord]] = []

    # ---- proposing

    def holds(self, now: int) -> bool:
        """This gateway is the leader: enough electors gave it their voice, and its term runs."""
        mine = self.mine
        return (
            mine is not None
            and len(mine.voices) >= self.needed
            and now - mine.called_ns < self.settings.term_ns
        )

    def look(self, now: int, heard: set[int]) -> None:
        """Once a beat. Who holds a term renews it in time; else the first elector that is heard calls one
        once no table is renewed any more, the others later."""
        if self.me not in self.electors:
            return
        if self.holds(now):
            if now - self.mine.called_ns >= self.settings.term_ns // 2:
                self._call(now)
            return
        first = next((e for e in self.electors if e == self.me or e in heard), self.me)
        renewed = self.table is not None and now - self.had_ns < 3 * self.settings.beat_ns
        if now >= self.again_ns and not renewed:
            late = self.settings.term_ns // 2 * (first != self.me)
            if late and now < self.again_ns + late:
                return
            self._call(now)

    def _call(self, now: int) -> None:
        held = self.mine if self.holds(now) else None
        self.latest += 1
        mine = Mine(self.latest, now)
        if self._may_promise(now, self.me, self.process, mine.term):
            self.promise = Promise(mine.term, self.me, self.process, now + self.settings.term_ns)
            mine.voices[self.me] = None
        if held is not None:  # goes on with the old one until the new one is given, or it ends
            self.renewing = mine
        else:
            self.mine = mine
        self.again_ns = now + self.settings.term_ns // 2 + self.rng.randrange(self.settings.term_ns)
        self.words += [(e, CallWord(mine.term, self.process)) for e in self.electors if e != self.me]
        self._settle()

    def _settle(self) -> None:
        """A renewal that has the voices takes the old term's place."""
        if self.renewing is not None and len(self.renewing.voices) >= self.needed:
            self.mine, self.renewing = self.renewing, None

    def propose(self, now: int, shares: tuple[tuple[int, ...], ...], states: tuple[int, ...]) -> Table | None:
        """A table of this term; None where this gateway holds none. One equal to the last renews that."""
        if not self.holds(now):
            return None
        mine, last = self.mine, self.table
        if (
            last is None
            or last.generation.term != mine.term
            or last.generation.process != self.process
            or last.generation.proposer != self.me
            or (last.shares, last.states) != (shares, states)
        ):
            mine.number += 1
            last = Table(Generation(mine.term, mine.number, self.me, self.process), shares, states)
        self._take(now, last)
        return last

    # ---- words

    def hear(self, now: int, sender: int, word: TermWord) -> bool:
        """True where a newer table holds by it."""
        if isinstance(word, CallWord):
            self._called(now, sender, word)
        elif isinstance(word, Voice):
            self._voice(now, sender, word)
        elif 0 <= word.age_ns < self.settings.hold_ns:
            return self._take(now, word)
        return False

    def _may_promise(self, now: int, proposer: int, process: int, term: int) -> bool:
        bound = self.promise
        if now < self.mute_ns or self.me not in self.electors:
            return False
        if bound is None or now >= bound.until_ns:
            return bound is None or term > bound.term
        return (bound.proposer, bound.process) == (proposer, process) and term > bound.term

    def _called(self, now: int, sender: int, word: CallWord) -> None:
        if sender not in self.electors:
            return
        given = self._may_promise(now, sender, word.process, word.term)
        if given:
            self.promise = Promise(word.term, sender, word.process, now + self.settings.term_ns)
        self.latest = max(self.latest, word.term)
        self.words.append((sender, Voice(word.term if given else self.latest, word.process, given)))

    def _voice(self, now: int, sender: int, word: Voice) -> None:
        if word.process != self.process or sender not in self.electors:
            return
        self.latest = max(self.latest, word.term)
        for mine in (self.mine, self.renewing):
            if word.given and mine is not None and mine.term == word.term:
                mine.voices[sender] = None  # by who gave it: a double is one
        self._settle()

    def _take(self, now: int, word: Table) -> bool:
        self.latest = max(self.latest, word.generation.term)
        made = now - word.age_ns
        if self.table is not None and word.generation <= self.table.generation:
            if word.generation == self.table.generation:
                self.had_ns = max(self.had_ns, made)
            return False
        self.table, self.had_ns = word, made
        return True

    def current(self, now: int) -> Table | None:
        """The table that holds here; None where none was renewed for too long."""
        if self.table is None or now - self.had_ns >= self.settings.hold_ns:
            return None
        return self.table

    def told(self) -> list[tuple[int, TermWord]]:
        """The messages to send, and to whom, since the last time this was asked."""
        made, self.words = self.words, []
        return made
