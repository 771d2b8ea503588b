"""What a gateway believes of its keeper, and which peers it takes for counted by the same one.

Every gateway adds 1 to one number, its beat. On one keeper each total is told to one gateway only; so two
gateways that were told the same total are not on the same keeper. A total that falls is that of a keeper
that knows less than it did: a new one. Peers tell each other their latest totals, and whether they trust
their keeper.

A gateway uses only the part of a quota that belongs to itself and to those peers that said within
`heard_ns` that they trust the same keeper. One that trusts none uses its even part, but not before every
peer must have stopped counting it (`quarantine_ns` after its last word of trust). So at no time does
anything of a quota have two owners.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from .settings import SECOND, KeeperSettings

TOLD = 8  # latest totals in a word
REMEMBERED = 64  # of each gateway's


class State(Enum):
    """How far a gateway trusts its quota service."""

    TRUSTED = "trusted"
    SUSPECT = "suspect"  # a beat has no answer yet: nothing is leased, and what was said still holds
    LOST = "lost"
    NEW = "new"  # it knows less than it did: nothing is leased before the next epoch


@dataclass(frozen=True, slots=True)
class Word:
    """What a gateway tells its peers of its keeper. `sent_ns`: by the common clock."""

    sender: int
    sent_ns: int
    trusts: bool
    period: int
    totals: tuple[int, ...]
    beaten_ns: int = 0  # when the last of these came


@dataclass(slots=True)
class _Heard:
    sent_ns: int
    trusts: bool
    since_ns: int  # without a gap on the same keeper since then
    period: int = -1
    totals: deque[int] = field(default_factory=lambda: deque(maxlen=REMEMBERED))

    def totals_apart(self, word: Word) -> bool:
        """No total of the word was told to this peer too."""
        return not any(t in self.totals for t in word.totals)


class View:
    """One gateway's. Starts without a keeper."""

    def __init__(self, settings: KeeperSettings, me: int, now: int) -> None:
        self.settings, self.me = settings, me
        self.state = State.LOST
        self.sound_ns = 0  # no lease before then
        self.changes: list[tuple[int, State]] = []
        self.since_ns = 0  # trusted without a gap since then
        self._said_ns = now  # the last word of trust, or of the process before this one
        self._misses = 0
        self._period, self._total = -1, 0
        self._totals: deque[int] = deque(maxlen=REMEMBERED)
        self._times: deque[int] = deque(maxlen=REMEMBERED)  # when each came
        self._heard: dict[int, _Heard] = {}
        self._apart: dict[int, int] = {}  # peers on another keeper, and until when that stands

    # ---- the keeper

    def beat(self, now: int) -> tuple[str, int]:
        """The name to which 1 is to be added, and its period, which the answer has to bear."""
        period = now // self.settings.period_ns
        return f"zs.beat.{period}", period

    def beaten(self, now: int, period: int, total: float | None) -> None:
        """A beat's answer; None: there was none in time, or none with a number."""
        if total is None or total < 1 or total != int(total):
            self._misses += 1
            if self._misses >= self.settings.missed:
                self._become(now, State.LOST)
            elif self.state is State.TRUSTED:
                self._become(now, State.SUSPECT)
            return
        self._misses = 0
        if period < self._period:
            return  # an answer of the last name, come late
        if period > self._period:
            self._period, self._total = period, 0
            self._forget()
        if total <= self._total:
            self.shrunk(now)
            self._forget()
        elif self.state is not State.NEW or now >= self.sound_ns:
            self._become(now, State.TRUSTED)
        self._total = int(total)
        self._totals.append(int(total))
        self._times.append(now)

    def _forget(self) -> None:
        self._totals.clear()
        self._times.clear()

    def shrunk(self, now: int) -> None:
        """The keeper knows less than it did, by whatever number: it is a new one. The epoch that runs is not
        leased from any more, as what was taken of it is forgotten there."""
        self.sound_ns = (now // self.settings.epoch_ns + 1) * self.settings.epoch_ns
        self._become(now, State.NEW)

    def _become(self, now: int, state: State) -> None:
        if state is not self.state:
            if not self.trusts:
                self.since_ns = now
            self.state = state
            self.changes.append((now, state))

    @property
    def trusts(self) -> bool:
        """It counts as counted by its keeper, to itself and to its peers."""
        return self.state in (State.TRUSTED, State.SUSPECT)

    def may_lease(self, now: int) -> bool:
        """New leases may be taken."""
        return self.state is State.TRUSTED and now >= self.sound_ns

    # ---- peers

    def word(self, now: int) -> Word:
        """To be told to all peers at every beat, and at once when trust ends."""
        if self.trusts:
            self._said_ns = now
        return Word(
            self.me,
            now,
            self.trusts,
            self._period,
            tuple(self._totals)[-TOLD:],
            self._times[-1] if self._times else 0,
        )

    def hear(self, now: int, word: Word) -> None:
        """One that took too long, or is older than what is known, says nothing."""
        known, settings = self._heard.get(word.sender), self.settings
        if not 0 <= now - word.sent_ns + settings.skew_ns <= settings.late_ns + 2 * settings.skew_ns:
            return
        if known is not None and word.sent_ns <= known.sent_ns:
            return
        if self._differs(word):
            self._apart[word.sender] = now + settings.apart_ns
        elif now >= self._apart.get(word.sender, 0):
            for peer, other in self._heard.items():
                if (
                    peer != word.sender
                    and other.period == word.period
                    and now >= self._apart.get(peer, 0)
                    and not other.totals_apart(word)
                ):
                    self._apart[peer] = self._apart[word.sender] = now + settings.apart_ns
        since = now
        if (
            known is not None
            and known.trusts
            and word.sent_ns - known.sent_ns < settings.heard_ns
            and now >= self._apart.get(word.sender, 0)
        ):
            since = known.since_ns
        again = known is not None and known.period == word.period
        totals = known.totals if again else deque(maxlen=REMEMBERED)
        totals.extend(t for t in word.totals if t not in totals)
        self._heard[word.sender] = _Heard(word.sent_ns, word.trusts, since, word.period, totals)

    def _differs(self, word: Word) -> bool:
        """Its totals and the own ones can't come of one keeper: one was told twice, or a later one is less.
        An answer comes within a call's time of its adding."""
        if word.period != self._period or not word.totals or not self._totals:
            return False
        if not set(word.totals).isdisjoint(self._totals):
            return True
        last, slack = word.totals[-1], self.settings.call_ns + self.settings.skew_ns
        return any(
            total > last if at < word.beaten_ns - slack else total < last and at > word.beaten_ns + slack
            for at, total in zip(self._times, self._totals, strict=True)
        )

    def same(self, now: int, peer: int) -> bool:
        """That peer is counted by the same keeper, as far as its last words tell."""
        found = self._heard.get(peer)
        return (
            found is not None
            and found.trusts
            and now - found.sent_ns < self.settings.heard_ns
            and now >= self._apart.get(peer, 0)
        )

    def part(self, now: int, row: list[int]) -> float:
        """The part of a quota of these gateways that belongs to those on this keeper; 0 without one."""
        if not self.trusts:
            return 0.0
        return sum(peer == self.me or self.same(now, peer) for peer in row) / len(row)

    def part_since(self, now: int, row: list[int], since_ns: int) -> float:
        """The same, of those that have been on it without a gap since then: the rest may have sent what this
        keeper never counted."""
        if not self.trusts or self.since_ns > since_ns or self.sound_ns > since_ns:
            return 0.0
        return sum(
            peer == self.me or self.same(now, peer) and self._heard[peer].since_ns <= since_ns for peer in row
        ) / len(row)

    def even_from_ns(self) -> int:
        """From when this gateway may use its even part, if it trusts no keeper till then."""
        return self._said_ns + self.settings.quarantine_ns

    def line(self, now: int) -> str:
        """For the log."""
        heard = sum(self.same(now, peer) for peer in self._heard)
        return (
            f"keeper {self.state.value}, {heard} of {len(self._heard)} peers on it, "
            f"{(now - self._said_ns) / SECOND:.1f} s since the last word of trust"
        )
