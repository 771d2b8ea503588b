"""What one gateway says and hears of zones: reports, terms, tables. No I/O, no clock; words come in by `hear`
and go out by `told`. The decision module (`module`) and the model of any number (`worlds/place_model`) are
built on it.
"""

from __future__ import annotations

import random

from .flows import flows, shares
from .settings import PlaceSettings
from .states import State, Zone
from .terms import Table, Terms
from .view import DEAD, HOLD, Report, Sight, View
from .words import Word

FAN = 2  # others that hear each report besides the one who proposes
EACH_NS = 5_000_000  # a table is renewed to all in so long for each gateway


class Council:
    """Of one process of one gateway. `distance`: between zones, by number."""

    def __init__(
        self,
        settings: PlaceSettings,
        me: int,
        gateways: int,
        zone: int,
        distance: list[list[int]],
        process: int,
        rng: random.Random,
    ) -> None:
        self.settings, self.me, self.gateways, self.zone = settings, me, gateways, zone
        self.distance, self.process, self.rng = distance, process, rng
        self.view = View(settings, gateways, len(distance))
        self.states = [Zone(settings) for _ in distance]
        self.terms: Terms | None = None
        self.others = [k for k in range(gateways) if k != me]
        self.changes = 0  # of the table, by its shares
        self._number = 0
        self._told_ns = 0
        self._dead = [False] * len(distance)  # zones, as they were found last
        self._words: list[tuple[int, Word]] = []

    def start(self, now: int) -> None:
        """Begins to take part in elections; the first report comes at a drawn moment."""
        self.terms = Terms(self.settings, self.me, self.gateways, self.process, now, self.rng)
        self._told_ns = now - self.rng.randrange(self.view.every_ns)  # else all report in step

    def table(self, now: int) -> Table | None:
        """The table that holds here."""
        return self.terms.current(now) if self.terms is not None else None

    def beat(self, now: int, demand: float, sights: list[Sight]) -> None:
        """Once in `beat`: what this gateway is asked for and sees."""
        self._number += 1
        dead = [was if s.dead < 0 else s.dead >= DEAD for s, was in zip(sights, self._dead, strict=True)]
        table = self.table(now)
        news = [
            z
            for z, is_ in enumerate(dead)
            if is_ and not self._dead[z] and (table is None or table.states[z] != State.LOST)
        ]
        if news:  # a zone fails that the fleet does not know of: soon, and apart from those that see the same
            self._told_ns = now - self.rng.randrange(
                self.view.every_ns - self.view.every_ns // len(sights), self.view.every_ns + 1
            )
        self._dead = dead
        report = Report(
            self.me,
            self.process,
            self._number,
            self.zone,
            demand,
            tuple(sights),
            self.view.said,
            self.view.said_number,
        )
        self.view.hear(now, report)
        self.terms.look(now, self.view.heard(now))
        if self.terms.holds(now):
            self._propose(now)
        if now - self._told_ns < self.view.every_ns:
            return
        self._told_ns = now - self.rng.randrange(self.view.every_ns // 4)
        to = set(self.rng.sample(self.others, min(FAN, len(self.others))))
        if table is None:
            to.update(self.rng.sample(self.terms.electors, min(FAN, len(self.terms.electors))))
        elif not self.terms.holds(now):
            to.add(table.generation.proposer)
        self._words += [(peer, report) for peer in to if peer != self.me]

    def _propose(self, now: int) -> None:
        """What holds from here on, to all where it is new; what only is renewed, to some each time: a fleet's
        datagrams at one stroke would fill the way."""
        views = self.view.look(now, self.states)
        last = self.terms.table
        before = last.shares if last is not None and len(last.shares) == len(views) else None
        made = shares(flows(views, self.distance, self.settings.headroom), views, before, self.settings.step)
        table = self.terms.propose(now, tuple(map(tuple, made)), tuple(int(z.state) for z in self.states))
        if table is None:
            return
        self.changes += last is None or last.shares != table.shares
        beat, whole = self.settings.beat_ns, max(1, len(self.others) * EACH_NS)
        some = max(1, -(-len(self.others) * beat // max(beat, whole)))
        chosen = self.rng.sample(self.others, min(len(self.others), some)) if table is last else self.others
        self._words += [(peer, table) for peer in chosen]

    def hear(self, now: int, sender: int, word: Word) -> None:
        """A peer's word. A table of another number of zones is of another configuration, and nothing."""
        if not 0 <= sender < self.gateways or sender == self.me or self.terms is None:
            return
        if isinstance(word, Report):
            if word.origin == sender:
                self.view.hear(now, word)
        elif isinstance(word, Table):
            last = self.terms.table
            if len(word.shares) == len(self.distance) and self.terms.hear(now, sender, word):
                self.changes += last is None or last.shares != word.shares
                self._adopt(now, word)
        else:
            self.terms.hear(now, sender, word)

    def _adopt(self, now: int, table: Table) -> None:
        """Who does not propose keeps the states as they are told, so that the next proposer goes on from
        them."""
        for zone, told in zip(self.states, table.states, strict=True):
            if int(zone.state) != told and told in State._value2member_map_:
                zone.state, zone.since_ns, zone.against_ns = State(told), now, -1
                if told == State.LOST:
                    zone.losses, zone.lost_ns = zone.losses + 1, now

    def said(self, zone: int, drained: bool, held: bool) -> None:
        """An operator's word on a zone. It is told with the reports, so that every proposer goes by it."""
        bits = self.view.said & ~(1 << zone | 1 << zone + HOLD)
        self.view.said = bits | drained << zone | held << zone + HOLD
        self.view.said_number += 1
        self._told_ns = 0

    def told(self) -> list[tuple[int, Word]]:
        """The words to send, and to whom, since the last time this was asked."""
        made, self._words = self._words, []
        return made + (self.terms.told() if self.terms is not None else [])
