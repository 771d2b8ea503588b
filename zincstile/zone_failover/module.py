"""The decision module with zones' weights: any of the modules, with the table of flows before its choice of a
server.

The table says which part of this gateway's traffic goes to which zone; each first attempt draws its zone by
that, and the module chooses among that zone's servers as ever. A zone whose connections fail here is left
at once, whatever the table says. Without a table, and for what a zone here can't take, a gateway sends
other zones at most its even part of `spill`: the sum over all gateways stays under that whatever each
believes, so that a part of the fleet that hears nothing can't push a zone over.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from ..decisions.messages import AttemptOutcome, AttemptResult, Started, TimerFired
from ..decisions.policy import FAULTY, Policy
from ..decisions.settings import Idempotency, Settings
from ..decisions.state import Attempt, Live, Server
from .agreement import Agreement
from .messages import ZoneMessage, ZoneObservation
from .routing_weights import WEIGHT_TOTAL
from .settings import SECOND, ZoneFailoverSettings
from .zone_states import ZoneState
from .zone_view import FAILED_RATIO

PLACE = 2**62 + 2  # timer's token that no request has
TRIED_S = 3.0  # a connection that failed, or came up, counts for so long
LEAST_TRIES, ANY_TRIES = 2.5, 0.3  # one failure alone says nothing of a zone; a try that came up does
TRY_PART = 0.5  # of `back`, in which each gateway tries a zone that is left, once
SLOW = 1.5  # times the usual time of a server, from which it counts the less the slower it is


@dataclass(slots=True)
class PlaceTell:
    """An action: a word for one peer."""

    peer: int
    word: ZoneMessage


@dataclass(slots=True)
class PlaceWord:
    """An event: a peer's word."""

    sender: int
    word: ZoneMessage


@dataclass(slots=True)
class ZoneSaid:
    """An event: an operator's word on a zone: drain it, hold it where it is, or neither."""

    zone: int
    drained: bool = False
    held: bool = False


@dataclass(slots=True)
class Tries:
    """Of one zone: connections that failed, and others, fading."""

    failed: float = 0.0
    all: float = 0.0

    def add(self, failed: bool) -> None:
        """A try that came up says more of now than those that failed before it."""
        self.failed, self.all = self.failed + 1 if failed else self.failed / 2, self.all + 1

    @property
    def dead(self) -> float:
        """The share of connections that failed; -1 where too few were tried."""
        return self.failed / max(LEAST_TRIES, self.all) if self.all >= ANY_TRIES else -1.0


@dataclass(slots=True)
class Spill:
    """Units that may be sent to another zone without a table, as a store."""

    level: float = 0.0
    at_ns: int = 0

    def take(self, now: int, rate: float, units: float) -> bool:
        """Takes the units, if the store holds them after filling at this rate."""
        if rate == math.inf:
            return True
        self.level = min(max(units, rate), self.level + rate * (now - self.at_ns) / SECOND)
        self.at_ns = now
        if self.level < units:
            return False
        self.level -= units
        return True


@dataclass(slots=True)
class Counts:
    """Attempts by where they went."""

    near: int = 0
    far: int = 0
    spilled: int = 0
    nowhere: int = 0


class ZonedPolicy(Policy):
    """The decision module with zones' weights. `placed` puts it before the module whose choice it narrows."""

    place: ZoneFailoverSettings
    zone_names: list[str]  # in the settings' order, and one more for all that are in none of them
    zone_count: int
    distance: list[list[int]]  # between zones, by number

    def __init__(self, settings: Settings, seed: int, *more: object) -> None:
        super().__init__(settings, seed, *more)
        self.luck = random.Random(f"place {seed}")
        self.home = min(settings.zone, self.zone_count - 1)
        self.council = Agreement(
            self.place,
            settings.me,
            settings.gateways,
            self.home,
            self.distance,
            self.luck.getrandbits(32),
            self.luck,
        )
        self.tries = [Tries() for _ in self.zone_names]
        self.spills = [Spill() for _ in self.zone_names]
        self.good_in = [0.0] * self.zone_count
        self.warm_in = [0.0] * self.zone_count
        self.ready_in = [0] * self.zone_count
        self.try_ns = [0] * self.zone_count  # when a zone that is left is tried again
        self.barred: list[bool] = []  # zones that a repeat may not go to; empty: none
        self.aim = -1  # zone of the attempt that is chosen just now; -1: any
        self.counted = Counts()

    # ---- what goes by time

    def on_started(self, now: int, event: Started) -> None:
        self.council.start(now)
        super().on_started(now, event)
        self.timer(now + self.luck.randrange(self.place.beat_ns), PLACE)

    def on_timer_fired(self, now: int, event: TimerFired) -> None:
        if event.token != PLACE:
            super().on_timer_fired(now, event)
            return
        self.timer(now + self.place.beat_ns, PLACE)
        self._beat(now)

    def _beat(self, now: int) -> None:
        sights, budget = [], math.inf
        if self.level < math.inf:
            taken_s = max(1e-3, (self.out + 1.0) / (self.done_rate + 1.0))
            budget = self.level * self.good / taken_s
        for z in range(self.zone_count):
            part = self.good_in[z] / self.good if self.good else 0.0
            sights.append(
                ZoneObservation(
                    self.ready_in[z],
                    self.good_in[z],
                    self.tries[z].dead,
                    budget * part if budget < math.inf else math.inf,
                )
            )
        self.council.observe(now, sum(x.arrivals for x in self.leaves), sights)
        self._tell_council()

    def _tell_council(self) -> None:
        told = self.council.take_messages()
        if self.set.peers:
            self.acts += [PlaceTell(peer, word) for peer, word in told]

    def on_place_word(self, now: int, event: PlaceWord) -> None:
        self.council.receive(now, event.sender, event.word)
        self._tell_council()

    def on_zone_said(self, now: int, event: ZoneSaid) -> None:
        self.council.override(event.zone, drained=event.drained, frozen=event.held)

    # ---- what is learnt

    def _sort(self, now: int) -> None:
        super()._sort(now)
        self.good_in = [0.0] * self.zone_count
        self.ready_in = [0] * self.zone_count
        self.warm_in = [0.0] * self.zone_count
        for s in self.ready:
            z = min(s.info.zone, self.zone_count - 1)
            self.ready_in[z] += 1
            doubt = min(
                (s.doubt.get(g, 0.0) - self.usual[g] for g in range(len(self.set.classes))), default=0.0
            )
            warmth = self._warmth(now, s)
            self.warm_in[z] += warmth
            self.good_in[z] += warmth * (doubt < FAULTY) * min(1.0, SLOW / max(SLOW, s.slowness))
        total = sum(self.good_in)
        mine = self.good_in[self.home] + sum(
            self.good_in[z] for z in range(self.zone_count) if z != self.home and self._weights(now)[z] > 0
        )
        if self.cold and 0 < mine < total:  # a cold server's due comes from those that send to its zone
            self.parts = [min(1.0, p * total / mine) for p in self.parts]

    def _fade(self, keep: float) -> None:
        super()._fade(keep)
        span = math.log(1 / keep) if 0 < keep < 1 else 0.0
        for one in self.tries:
            fade = math.exp(-span * 8.0 / TRIED_S)  # `policy.FADE_S` over our own
            one.failed, one.all = one.failed * fade, one.all * fade

    def _learn(self, now: int, e: AttemptOutcome, attempt: Attempt) -> None:
        super()._learn(now, e, attempt)
        zone = min(attempt.server.info.zone, self.zone_count - 1)
        if e.result is AttemptResult.CONNECT_FAILED:
            self.tries[zone].add(True)
        elif e.result in (
            AttemptResult.OK,
            AttemptResult.ERROR,
            AttemptResult.REJECTED,
            AttemptResult.MALFORMED,
        ):
            self.tries[zone].add(False)
        elif e.result is AttemptResult.TIMEOUT and attempt.late:  # silent for long
            self.tries[zone].add(True)

    # ---- the choice

    def _out(self, zone: int) -> bool:
        """A zone fails here: its connections, or most of its servers by all that is known of them."""
        return (
            self.tries[zone].dead >= FAILED_RATIO
            or self.good_in[zone] < (1 - FAILED_RATIO) * self.warm_in[zone]
        )

    def _weights(self, now: int) -> list[float]:
        """Parts of this gateway's traffic by zone. What fails here is left at once."""
        table = self.council.table(now)
        if table is not None:
            row = [x / WEIGHT_TOTAL for x in table.weights[self.home]]
            return [0.0 if self._out(z) else x for z, x in enumerate(row)]
        own = float(self.ready_in[self.home] > 0 and not self._out(self.home))
        return [own if z == self.home else 0.0 for z in range(self.zone_count)]

    def _choose(self, now: int, live: Live) -> Server | None:
        if live.ran is not None and live.tried:  # a repeat: where it may go says its group
            table = self.council.table(now)
            if live.spec.effect is Idempotency.ALWAYS and table is not None:
                self.barred = [s in (ZoneState.LOST, ZoneState.DRAINING) for s in table.states]
            try:
                return super()._choose(now, live)
            finally:
                self.barred = []
        if live.spec.effect is Idempotency.ALWAYS and not live.tried:
            server = self._tried(now, live)
            if server is not None:
                return server
        draw, zone = self.luck.random(), -1
        for z, weight in enumerate(self._weights(now)):
            draw -= weight
            if draw < 0:
                zone = z
                break
        server = self._within(now, live, zone) if zone >= 0 else None
        if server is not None:
            self._went(zone)
            return server
        return self._spilled(now, live, zone)

    def _tried(self, now: int, live: Live) -> Server | None:
        """A zone that is left gets one request now and then that may be repeated elsewhere: else nobody
        would ever know that it is back. Drawn, so that a fleet's tries are apart."""
        table = self.council.table(now)
        for zone in range(self.zone_count):
            state = ZoneState.WELL if table is None else table.states[zone]
            lost = (
                state == ZoneState.LOST
                or state != ZoneState.DRAINING
                and table is not None
                and (zone == self.home and not table.weights[zone][zone])
            )
            if now < self.try_ns[zone] or not self.ready_in[zone] or not (lost or self._out(zone)):
                continue
            self.try_ns[zone] = now + int(self.place.back_ns * TRY_PART * (0.5 + self.luck.random()))
            server = self._within(now, live, zone)
            if server is not None:
                self._went(zone)
                return server
        return None

    def _within(self, now: int, live: Live, zone: int) -> Server | None:
        self.aim = zone
        try:
            return super()._choose(now, live)
        finally:
            self.aim = -1

    def _spilled(self, now: int, live: Live, tried: int) -> Server | None:
        """Nothing by the table: the nearest zones, by this gateway's even part of what they may be sent
        besides. Where the table leaves a part without a place, that part is refused."""
        table = self.council.table(now)
        dead = [z for z in range(self.zone_count) if self._out(z)]
        if table is not None and tried < 0 and not dead:
            self.counted.nowhere += 1
            return None
        states = table.states if table is not None else (0,) * self.zone_count
        for zone in sorted(
            range(self.zone_count), key=lambda z: (self.distance[self.home][z], self.luck.random())
        ):
            if (
                zone == tried
                or zone in dead
                or not self.ready_in[zone]
                or states[zone] in (ZoneState.LOST, ZoneState.DRAINING)
            ):
                continue
            rate = self.place.spill * self._room(zone) / self.set.gateways
            if zone == self.home or self.spills[zone].take(now, rate, live.ask.units):
                server = self._within(now, live, zone)
                if server is not None:
                    self.counted.spilled += zone != self.home
                    self._went(zone)
                    return server
        return None

    def _room(self, zone: int) -> float:
        """What a zone bears, by the fleet's budget as this gateway has it; no bound where none was seen
        yet: the budget's own first bound, in units out, then holds what is sent."""
        if self.level == math.inf:
            return math.inf
        taken_s = max(1e-3, (self.out + 1.0) / (self.done_rate + 1.0))
        return self.level * self.good_in[zone] / taken_s * self.set.gateways

    def _went(self, zone: int) -> None:
        if zone == self.home:
            self.counted.near += 1
        else:
            self.counted.far += 1

    def _may(self, live: Live, s: Server) -> bool:
        zone = min(s.info.zone, self.zone_count - 1)
        if self.aim >= 0 and zone != self.aim or self.barred and self.barred[zone]:
            return False
        return super()._may(live, s)

    def sight(self) -> dict[str, float]:
        c, terms = self.counted, self.council.terms
        term = terms.table.generation.term if terms is not None and terms.table is not None else 0
        return super().sight() | {
            "near": c.near,
            "far": c.far,
            "spilled": c.spilled,
            "nowhere": c.nowhere,
            "tables": self.council.changes,
            "term": term,
        }

    def shown(self, now: int) -> str:
        """The table with its reasons, for operators."""
        table = self.council.table(now)
        head = (
            "no table: each gateway by its stated part"
            if table is None
            else (
                f"table {table.generation.term}.{table.generation.number} by gateway "
                f"{table.generation.leader}, {(now - self.council.terms.table_ns) // 1_000_000} ms old"
            )
        )
        lines = [head]
        for z, name in enumerate(self.zone_names):
            if not self.ready_in[z] and z != self.home:
                continue
            state = ZoneState(table.states[z]).name.lower() if table else "-"
            row = (
                ""
                if table is None
                else " ".join(
                    f"{self.zone_names[b]}:{100 * x / WEIGHT_TOTAL:.0f}%"
                    for b, x in enumerate(table.weights[z])
                    if x
                )
            )
            lines.append(
                f"{name} {state} ready={self.ready_in[z]} good={self.good_in[z]:.1f} "
                f"dead={self.tries[z].dead:.2f} sends {row or 'nothing'}"
            )
        return "\n".join(lines)


def placed(base: type[Policy], place: ZoneFailoverSettings, zones: list[str]) -> type[Policy]:
    """`base` that chooses zones by the fleet's table. `zones`: their names, in the settings' order; a server
    whose zone is in none of them is of one more."""
    names = [*zones, "?"]
    settled = {
        "place": place,
        "zone_names": names,
        "zone_count": len(names),
        "distance": place.matrix(names),
    }
    return type("PlacedPolicy", (ZonedPolicy, base), settled)
