"""What gateways tell of zones, merged: of one gateway the newest word of its newest process holds, in any
order and however often it comes. From that the view that a table is worked out from.

With many gateways nobody hears all of them all the time: each tells as seldom as the proposer's intake
allows, and what is missing is taken to be like what was heard, zone by zone.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .flows import ZoneView
from .settings import SECOND, PlaceSettings
from .states import State, Zone

FRESH = 4  # beats for which a word counts
DEAD = 0.5  # part of a zone's servers whose connections fail, from which it is not reached
SAYS = 0.5  # part of the gateways of a zone that have to find so
LOST = 0.5  # part of those heard, of all zones, by which a zone is lost
EASED = 1.1  # a short zone is well again once it bears so much more than it is asked for
HOLD = 16  # the first bit of zones that are held, in an operator's word; those below are drained


@dataclass(frozen=True, slots=True)
class Sight:
    """Of one zone, by one gateway: servers listed as ready, good ones (a cold one counts by its warmth), part
    of those tried lately whose connections failed (below 0: none was tried), and what the zone bears by this
    gateway's budget alone, in units a second (inf: no bound)."""

    ready: int
    good: float
    dead: float
    room: float


@dataclass(frozen=True, slots=True)
class Report:
    """A word: what a gateway sees. `demand`: units a second that are asked of it. `said`: zones that an
    operator drained or holds, by a bit each, and the number of that word, which grows."""

    origin: int
    process: int
    number: int
    zone: int
    demand: float
    sights: tuple[Sight, ...]
    said: int = 0
    said_number: int = 0


@dataclass(slots=True)
class Known:
    """The last report of a gateway, and when it came."""

    report: Report
    at_ns: int


@dataclass(slots=True)
class View:
    """Of one gateway, on all. `zones`: how many there are."""

    settings: PlaceSettings
    gateways: int
    zones: int
    known: dict[int, Known] = field(default_factory=dict)
    ended: dict[int, int] = field(default_factory=dict)  # origin: a process that was followed by another
    members: dict[int, int] = field(default_factory=dict)  # origin: its zone, ever heard
    said: int = 0
    said_number: int = 0
    apart: dict[tuple[int, int], int] = field(default_factory=dict)  # a zone's gateways and a zone that they
    # don't reach: since when they do again, -1 while they don't

    @property
    def fresh_ns(self) -> int:
        """A report counts for so long."""
        return max(SECOND, FRESH * self.settings.beat_ns, FRESH * self.every_ns)

    @property
    def every_ns(self) -> int:
        """How often each gateway reports: what all send to one stays within a fraction of an intake."""
        return max(self.settings.beat_ns, self.gateways * SECOND // 30)

    def hear(self, now: int, word: Report) -> bool:
        """False where it says nothing new, or can't be."""
        if (
            not 0 <= word.origin < self.gateways
            or not 0 <= word.zone < self.zones
            or len(word.sights) != self.zones
        ):
            return False
        if word.said_number > self.said_number:
            self.said, self.said_number = word.said, word.said_number
        known = self.known.get(word.origin)
        if known is not None:
            if word.process == known.report.process and word.number <= known.report.number:
                return False
            if word.process != known.report.process:
                if self.ended.get(word.origin) == word.process:
                    return False
                self.ended[word.origin] = known.report.process
        self.known[word.origin] = Known(word, now)
        self.members[word.origin] = word.zone
        return True

    def heard(self, now: int) -> set[int]:
        """The gateways whose last report still counts."""
        return {o for o, k in self.known.items() if now - k.at_ns < self.fresh_ns}

    def _fresh(self, now: int) -> list[Report]:
        return [k.report for k in self.known.values() if now - k.at_ns < self.fresh_ns]

    def look(self, now: int, states: list[Zone]) -> list[ZoneView]:
        """All zones as they stand, with each one's state looked at."""
        reports, found = self._fresh(now), []
        tried = _tried(reports, self.zones)
        self._part(now, tried)
        for z in range(self.zones):
            mine = [r for r in reports if r.zone == z]
            members = sum(m == z for m in self.members.values())
            demand = sum(r.demand for r in mine) * (members / len(mine) if mine else 0.0)
            sights = [r.sights[z] for r in reports]
            bound = [s.room for s in sights if s.room < math.inf]
            room = sum(bound) / len(bound) * self.gateways if len(bound) * 2 > len(reports) else math.inf
            good = sorted(s.good for s in sights)[len(sights) // 2] if sights else 0.0
            all_, dead = (sum(tried[a][z][k] for a in range(self.zones)) for k in (0, 1))
            reached = None if not all_ else dead < LOST * all_
            state = states[z].look(
                now,
                reached,
                demand > room,
                demand * EASED <= room,
                bool(self.said >> z & 1),
                bool(self.said >> z + HOLD & 1),
            )
            if state is State.RETURNING and room == math.inf:
                room = max(demand, sum(r.demand for r in reports) / self.zones)  # finite, for a part of it
            found.append(
                ZoneView(
                    demand,
                    room,
                    max(good, 1e-3) if any(s.ready for s in sights) else 0.0,
                    states[z].part(now),
                    state not in (State.LOST, State.DRAINING),
                    tuple((a, z) not in self.apart for a in range(self.zones)),
                )
            )
        return found

    def _part(self, now: int, tried: list[list[list[int]]]) -> None:
        """Which zones' gateways reach which zone. Guards against a table that goes to and fro: who is sent
        elsewhere tries no more and says nothing, which is no word that all is well. Back only by tries that
        came up for `back`."""
        for a, row in enumerate(tried):
            for z, (all_, dead) in enumerate(row):
                if all_ and dead >= SAYS * all_:
                    self.apart[a, z] = -1
                elif all_ and (a, z) in self.apart:
                    since = self.apart[a, z]
                    self.apart[a, z] = now if since < 0 else since
                    if 0 <= since <= now - self.settings.back_ns:
                        del self.apart[a, z]


def _tried(reports: list[Report], zones: int) -> list[list[list[int]]]:
    """For each zone's gateways and each zone: how many of them tried it lately, how many found it dead."""
    found = [[[0, 0] for _ in range(zones)] for _ in range(zones)]
    for r in reports:
        for z, sight in enumerate(r.sights):
            if sight.dead >= 0:
                found[r.zone][z][0] += 1
                found[r.zone][z][1] += sight.dead >= DEAD
    return found
