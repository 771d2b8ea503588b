"""A list of backend servers from gateways that have one, in place of another whole list of the service.

Who starts without a list asks a few peers, drawn anew each time, which one they have: a digest names the
version, how long ago discovery confirmed it, by whom they have it, and a sum for each of 32 buckets of lines.
Then only buckets whose lines are missing are asked for, each of one peer that told of that list, as many at
once as the own intake of messages has room for. A bucket counts once its lines give its sum.

Only what discovery said (also by changes since a list that peers agreed on), or what was known before the
start, is told on: never what a peer alone said, so that a wrong one can't travel, nor outlive the
gateways that had it from discovery. An age travels with it and only grows. A list that discovery told this
process itself ends the search in one step.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from .ready import Right
from .settings import SECOND, StartSettings
from .words import BUCKETS, RANKS, Digest, Lines, Want, What, Word, bucket, entry, line, parted

TOLD, KNOWN, PEERS = range(RANKS)  # by whom a list is had
NONE = Digest(0, 0, 0, PEERS, (0,) * BUCKETS)  # of a gateway without a list
PER_DATAGRAM = 3.0  # lines in one, about
INTAKE = 0.8  # of the intake of messages that lines may fill
SPAN_S = 0.25  # so much of it may come in one go
DOUBLINGS = 3  # of the span between two asks
ROUNDS, WAIT_MOST = 3, 20  # a wait is so many times what the last lines took; and `again`, at most
MISSES = 3  # asks in a row that a peer leaves unanswered before others go first
ASKERS = 8  # that are told at once when a list has come, of those that asked for one before


@dataclass(slots=True)
class Book:
    """The list that this gateway has, as it can be told. `entries` in discovery's words, by name."""

    version: int = 0
    rank: int = PEERS
    heard_ns: int = 0  # when discovery confirmed it last, as far as is known
    lines: list[dict[str, bytes]] = field(default_factory=lambda: [{} for _ in range(BUCKETS)])
    whole: bool = False  # every entry could be put into a line

    @property
    def count(self) -> int:
        """Lines of the list."""
        return sum(len(b) for b in self.lines)

    def begin(self, now: int, version: int, rank: int, entries: Iterable[dict[str, Any]]) -> None:
        """A whole list."""
        self.lines = [{} for _ in range(BUCKETS)]
        self.rank, self.whole = rank, True
        self.change(now, version, entries)

    def change(self, now: int, version: int, entries: Iterable[dict[str, Any]]) -> None:
        """Lines of discovery's that are new or have changed."""
        self.version, self.heard_ns = version, now
        for one in entries:
            name = str(one.get("name", ""))
            home = self.lines[bucket(name)]
            if one.get("status") == "Gone":
                home.pop(name, None)
                continue
            told = line(one)
            self.whole = self.whole and told is not None
            home[name] = told or b""

    def sums(self) -> tuple[int, ...]:
        """A checksum for each bucket."""
        return tuple(total(b.values()) for b in self.lines)

    def digest(self, now: int) -> Digest | None:
        """None where there is nothing that may be told on."""
        if not self.whole or not self.count or self.rank == PEERS:
            return None
        age_ns = max(0, now - self.heard_ns)
        return Digest(self.version, min(65535, self.count), age_ns, self.rank, self.sums())


def total(lines: Iterable[bytes]) -> int:
    """Of a bucket, in any order."""
    found = 0
    for one in lines:
        found = (found + zlib.crc32(one) * (1 + zlib.adler32(one))) % 2**32
    return found


@dataclass(slots=True)
class Heard:
    """What a peer told of its list."""

    digest: Digest
    missed: int = 0


@dataclass(slots=True)
class Asked:
    """A bucket that is on its way. Parts that came stay when it is asked for again: they are the same whoever
    tells them."""

    peer: int
    at_ns: int
    parts: dict[int, tuple[int, Lines]] = field(default_factory=dict)  # by whom
    came: bool = False  # something, since it was asked for last


@dataclass(frozen=True, slots=True)
class Found:
    """A list that is whole. `right`: AGREED or LONE."""

    version: int
    entries: list[dict[str, Any]]
    right: Right
    age_ns: int


class Lists:
    """Of one gateway: tells of its own list, and seeks one where it has none. Feed it events; `told` gives
    the words to send, `timer_ns` when it has to be looked at again."""

    def __init__(
        self, settings: StartSettings, me: int, gateways: int, intake_per_s: float, rng: random.Random
    ) -> None:
        self.settings, self.me, self.rng = settings, me, rng
        self.others = [g for g in range(gateways) if g != me]
        self.intake_per_s = max(4.0, INTAKE * intake_per_s)
        self.book = Book()
        self.seeking = False
        self.open = False  # admission here: told with each answer
        self.answers: dict[int, bool] = {}  # peers that were heard, and whether theirs was open
        self.confirmed = False  # a peer's newest list is the one that was known here
        self.found: Found | None = None
        self.counts = {"asked": 0, "told": 0, "refused": 0, "spoilt": 0}
        self._words: list[tuple[int, Word]] = []
        self._heard: dict[int, Heard] = {}
        self._asked: dict[int, Asked] = {}
        self._partly: dict[int, dict[int, tuple[int, Lines]]] = {}  # bucket: parts that came before
        self._have: dict[int, dict[str, bytes]] = {}  # bucket: its lines, summed up and right
        self._target: Digest | None = None
        self._tries = 0
        self._next_ns = 0
        self._room, self._room_ns = settings.told_per_s * SPAN_S, 0  # datagrams that may be told
        self._open, self._open_ns = self.intake_per_s * SPAN_S, 0  # and asked for
        self._askers: dict[int, None] = {}
        self._given: Found | None = None
        self._wait_ns = settings.again_ns  # for lines that were asked for

    # ---- what the gateway tells it

    def seek(self, now: int) -> None:
        """There is no list here, or only one of before the start."""
        if self.settings.peers and self.others:
            self.seeking, self._open_ns = True, now
            self._ask(now)

    def told_by_discovery(self, now: int, version: int, entries: list[dict[str, Any]], whole: bool) -> None:
        """Its word prevails in one step: nothing is sought any more."""
        self.seeking = False
        if not whole and not self.book.count and self.found is not None and self.found.right is Right.AGREED:
            # it told what changed since the list that peers agree on: so that is its own word as well
            self.book.begin(now, self.found.version, TOLD, self.found.entries)
        self._asked, self._partly, self._have, self._target = {}, {}, {}, None
        if whole:
            self.book.begin(now, version, TOLD, entries)
        elif self.book.rank == TOLD or self.book.count:
            self.book.change(now, version, entries)
            self.book.rank = TOLD
        digest = self.book.digest(now)
        for peer in list(self._askers)[-ASKERS:] if digest is not None else ():
            if self._may_tell(now, 1):
                self._words.append((peer, digest))
        self._askers = {}

    def known(self, now: int, version: int, entries: list[dict[str, Any]]) -> None:
        """The list of before the start. Nobody knows how old: as old as may still be told."""
        self.book.begin(now - self.settings.oldest_ns // 2, version, KNOWN, entries)

    def alive(self, now: int) -> None:
        """Discovery's watch said something, if only that nothing has changed."""
        if self.book.rank == TOLD:
            self.book.heard_ns = now

    # ---- words

    def hear(self, now: int, sender: int, word: Word) -> None:
        """A peer's message."""
        if isinstance(word, What):
            digest = self.book.digest(now)
            if digest is None or digest.age_ns >= self.settings.oldest_ns:
                self._askers[sender] = None
                digest = NONE
            if self._may_tell(now, 1):
                self._words.append((sender, replace(digest, open=self.open)))
        elif isinstance(word, Want):
            self._wanted(now, sender, word)
        elif isinstance(word, Digest):
            self.answers.setdefault(sender, word.open)  # its first word: later it may have opened beside this
            if self.seeking and word.age_ns < self.settings.oldest_ns and word.rank != PEERS and word.count:
                self._heard[sender] = Heard(word)
                self._aim(now)
        elif self.seeking:
            self._lines(now, sender, word)

    def running(self) -> bool:
        """Whoever answered runs with open admission, two at least: this gateway starts into a fleet that
        serves, and not together with it. Those that start say that they are not open, so that a fleet of
        which half has just come back is hardly ever taken for one."""
        enough = min(max(2, self.settings.agree), len(self.others))
        return len(self.answers) >= enough and all(self.answers.values())

    def _may_tell(self, now: int, datagrams: int) -> bool:
        """Guards a gateway that serves against a crowd of those that start."""
        per_s = self.settings.told_per_s
        self._room = min(per_s * SPAN_S, self._room + per_s * (now - self._room_ns) / SECOND)
        self._room_ns = now
        if self._room < datagrams:
            self.counts["refused"] += 1
            return False
        self._room -= datagrams
        return True

    def _wanted(self, now: int, sender: int, word: Want) -> None:
        if word.version != self.book.version or self.book.digest(now) is None:
            return  # another list by now: it will ask anew
        for number in word.buckets:
            words = parted(word.version, number, list(self.book.lines[number].values()))
            if not self._may_tell(now, len(words)):
                return
            self._words += [(sender, w) for w in words]
            self.counts["told"] += len(words)

    # ---- seeking

    def _ask(self, now: int) -> None:
        """Of some peers which list they have: at once, then at drawn moments, each time later."""
        chosen = self.rng.sample(self.others, min(self.settings.fan, len(self.others)))
        self._words += [(peer, What()) for peer in chosen]
        self.counts["asked"] += len(chosen)
        span = self.settings.again_ns << min(self._tries, DOUBLINGS)
        self._tries += not self._heard
        self._next_ns = now + self.settings.again_ns // 2 + self.rng.randrange(span)

    def _aim(self, now: int) -> None:
        """At the newest list that was told of, the one nearest to discovery first. Of two lists of one
        version, the one that more tell of."""
        tellers: dict[tuple, list[Digest]] = {}
        for heard in self._heard.values():
            tellers.setdefault(heard.digest.same, []).append(heard.digest)
        best = max(
            tellers.values(),
            key=lambda of: (-min(d.rank for d in of), of[0].version, len(of), -min(d.age_ns for d in of)),
        )
        digest = min(best, key=lambda d: d.age_ns)
        if self._target is None or digest.same != self._target.same:
            sums = self.book.sums()
            self._asked, self._partly = {}, {}
            self._have = {b: x for b, x in self._have.items() if total(x.values()) == digest.sums[b]}
            for b in range(BUCKETS):  # lines of the own old list that are the same need not be told
                if sums[b] == digest.sums[b]:
                    self._have[b] = dict(self.book.lines[b])
        self._target = digest
        if self.book.rank == KNOWN and (self.book.version, self.book.sums()) == (digest.version, digest.sums):
            self.confirmed = True
        self._want(now)

    def _tellers(self) -> list[int]:
        return [
            p
            for p, h in self._heard.items()
            if self._target is not None and h.digest.same == self._target.same
        ]

    def _want(self, now: int) -> None:
        """Buckets that are missing, as many as the intake has room for."""
        target, peers = self._target, self._tellers()
        if target is None or not peers:
            return
        missing = [b for b in range(BUCKETS) if b not in self._have and b not in self._asked]
        self._open = min(
            self.intake_per_s * SPAN_S, self._open + self.intake_per_s * (now - self._open_ns) / SECOND
        )
        self._open_ns = now
        per_bucket = max(1.0, target.count / BUCKETS / PER_DATAGRAM)
        chosen = missing[: int(self._open / per_bucket)]
        self._open -= per_bucket * len(chosen)
        least = min(self._heard[p].missed // MISSES for p in peers)  # who was silent lately is asked last
        peers = [p for p in peers if self._heard[p].missed // MISSES == least]
        by: dict[int, list[int]] = {}
        for number in chosen:
            peer = self.rng.choice(peers)
            by.setdefault(peer, []).append(number)
            self._asked[number] = Asked(peer, now, self._partly.pop(number, {}))
        for peer, numbers in by.items():
            self._words.append((peer, Want(target.version, tuple(numbers))))
            self.counts["asked"] += 1
        self._done(now)

    def _lines(self, now: int, sender: int, word: Lines) -> None:
        """Late ones too: what a busy fleet's peers told after the wait for it was over is as good."""
        asked, target = self._asked.get(word.bucket), self._target
        if (
            target is None
            or word.version != target.version
            or word.bucket in self._have
            or sender not in self._heard
        ):
            return
        parts = self._partly.setdefault(word.bucket, {}) if asked is None else asked.parts
        parts[word.part] = sender, word
        if asked is not None and asked.peer == sender:
            asked.came = True
            took = now - asked.at_ns
            self._wait_ns = max(self.settings.again_ns, int((self._wait_ns + ROUNDS * took) / 2))
        if len(parts) < word.parts:
            return
        self._asked.pop(word.bucket, None)
        self._partly.pop(word.bucket, None)
        lines, good = {}, {p.parts for _, p in parts.values()} == {word.parts}
        for _, part in parts.values():
            for data in part.lines:
                found = entry(data)
                good = good and found is not None and bucket(found["name"]) == word.bucket
                if found is not None:
                    lines[found["name"]] = data
        if good and total(lines.values()) == target.sums[word.bucket]:
            self._have[word.bucket] = lines
        else:  # damaged, or of a peer that says one thing and tells another: none of these is asked again
            self.counts["spoilt"] += 1
            for teller, _ in parts.values():
                self._heard.pop(teller, None)
        self._want(now)

    def _done(self, now: int) -> None:
        target = self._target
        if (
            target is None
            or len(self._have) < BUCKETS
            or self.found is not None
            and self.found.version >= target.version
            and self.found.right is Right.AGREED
        ):
            return
        agreed = len(self._tellers()) >= min(self.settings.agree, len(self.others))
        right = Right.AGREED if agreed else Right.LONE
        if self.found is not None and (self.found.version, self.found.right) == (target.version, right):
            return
        lines = [data for b in range(BUCKETS) for data in self._have[b].values()]
        entries = [x for x in map(entry, lines) if x is not None]
        self.found = Found(target.version, entries, right, target.age_ns)

    def take_found(self) -> Found | None:
        """A list that is whole, once."""
        if self.found is self._given:
            return None
        self._given = self.found
        return self.found

    # ---- time

    def look(self, now: int) -> None:
        """What goes by time while a list is sought."""
        if not self.seeking:
            return
        late: dict[int, bool] = {}  # peers whose word was due, and whether anything of it came
        for number, asked in list(self._asked.items()):
            if now - asked.at_ns >= self._wait_ns:
                del self._asked[number]
                self._partly[number] = asked.parts
                late[asked.peer] = late.get(asked.peer, False) or asked.came
        if late and not any(late.values()):  # the longer, the busier the fleet is: asked again it is busier
            self._wait_ns = min(WAIT_MOST * self.settings.again_ns, 2 * self._wait_ns)
        for peer, came in late.items():
            heard = self._heard.get(peer)
            if heard is not None:
                heard.missed = 0 if came else heard.missed + 1
        if now >= self._next_ns and (self.found is None or self.found.right is not Right.AGREED):
            self._ask(now)
        self._want(now)

    def told(self) -> list[tuple[int, Word]]:
        """The words to send, and to whom, since the last time this was asked."""
        made, self._words = self._words, []
        return made
