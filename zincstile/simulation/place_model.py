"""Zones chosen in common by any number of gateways, zones and regions: `zone_failover.agreement` of each on
virtual time, with words that are late and lost, and servers that are no more than figures. A zone is lost,
then comes back. No sockets and no requests; `simulation/places` plays whole gateways.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from dataclasses import dataclass

from ..virtual.clock import Scheduler
from ..zone_failover.agreement import Agreement
from ..zone_failover.codec import pack, unpack
from ..zone_failover.messages import ZoneMessage, ZoneObservation
from ..zone_failover.settings import MS, SECOND, ZoneFailoverSettings
from ..zone_failover.zone_states import ZoneState

NEAR_NS, FAR_NS = 1.9 * MS, 30 * MS
SERVERS, DEMAND, ROOM = 8, 50.0, 100.0  # of a zone: ready servers; units a second asked, and borne
LOSS_NS, BACK_NS, END_NS = 12 * SECOND, 30 * SECOND, 50 * SECOND
TRIED = 0.25  # of its beats, in which a gateway tries a zone that is left


@dataclass(slots=True)
class ModelResult:
    """One fleet. Seconds; -1: never."""

    gateways: int
    zones: int
    regions: int
    first_s: float  # from the start to one table at all
    evacuated_s: float  # from the loss until nobody's table sends there
    one_s: float  # until all have one table again
    restored_s: float  # from the return until the zone has its whole traffic
    sent: float  # datagrams of a gateway in a second, mean
    most_sent: int  # of the busiest in its busiest second
    most_heard: int
    bytes_: float
    changes: int  # of the table
    table_ms: float  # CPU of one table, mean
    conflicting_generations: int  # generations of which two tables differ


class Model:
    def __init__(self, gateways: int, zones: int, regions: int, seed: int = 1, loss: float = 0.03) -> None:
        names = [f"z{k}" for k in range(zones)]
        grouped = {f"r{r}": tuple(names[r::regions]) for r in range(regions)}
        far = {(f"r{a}", f"r{b}"): 40 * MS * (b - a) for a in range(regions) for b in range(a + 1, regions)}
        self.settings = ZoneFailoverSettings(grouped, far)
        self.scheduler, self.rng, self.loss = Scheduler(), random.Random(f"place model {seed}"), loss
        distance = self.settings.distance_matrix(names)
        self.zones, self.regions = zones, regions
        self.seats = [
            Agreement(self.settings, k, gateways, k % zones, distance, 1 + k, random.Random(f"{seed} {k}"))
            for k in range(gateways)
        ]
        self.dead = False
        self.sent: Counter[tuple[int, int]] = Counter()
        self.heard: Counter[tuple[int, int]] = Counter()
        self.bytes = 0
        self.cpu_s, self.proposed = 0.0, 0
        self.tables: dict[object, object] = {}
        self.conflicting_generations = 0

    @property
    def now(self) -> int:
        return self.scheduler.now_ns

    def _beat(self, k: int) -> None:
        seat = self.seats[k]
        table, sights = seat.table(self.now), []
        for z in range(self.zones):
            uses = seat.own_zone == z if table is None else table.weights[seat.own_zone][z] > 0
            left = table is not None and (table.states[z] == ZoneState.LOST or z == seat.own_zone)
            tried = uses or left and self.rng.random() < TRIED
            lost = self.dead and z == 0
            sights.append(
                ZoneObservation(
                    SERVERS,
                    0.0 if lost else float(SERVERS),
                    float(lost) if tried else -1.0,
                    ROOM / len(self.seats),
                )
            )
        members = sum(s.own_zone == seat.own_zone for s in self.seats)
        held = seat.terms.is_leader(self.now)
        before = time.process_time()
        seat.observe(self.now, DEMAND / members, sights)
        if held:
            self.cpu_s, self.proposed = self.cpu_s + time.process_time() - before, self.proposed + 1
            table = seat.table(self.now)
            if table is not None and self.tables.setdefault(table.generation, table.weights) != table.weights:
                self.conflicting_generations += 1
        self._send(k)
        self.scheduler.call_at(self.now + self.settings.heartbeat_interval_ns, self._beat, k)

    def _send(self, k: int) -> None:
        for to, message in self.seats[k].take_messages():
            data = pack(message)
            self.sent[k, self.now // SECOND] += 1
            self.bytes += len(data)
            if self.rng.random() >= self.loss:
                self.scheduler.call_at(
                    self.now + int(self.rng.uniform(NEAR_NS, FAR_NS)), self._hear, k, to, unpack(data)
                )

    def _hear(self, sender: int, to: int, message: ZoneMessage) -> None:
        self.heard[to, self.now // SECOND] += 1
        self.seats[to].receive(self.now, sender, message)
        self._send(to)

    def _until(self, end_ns: int, so) -> float:
        """Seconds from now until that is so; -1: not by then."""
        begin = self.now
        while self.now < end_ns:
            self.scheduler.run(self.now + 50 * MS)
            if so():
                return (self.now - begin) / SECOND
        return -1.0

    def _one(self) -> bool:
        found = [s.table(self.now) for s in self.seats]
        return None not in found and len({t.weights for t in found}) == 1

    def _left(self) -> bool:
        found = [s.table(self.now) for s in self.seats]
        return all(t is not None and not any(row[0] for row in t.weights) for t in found)

    def _whole(self) -> bool:
        found = [s.table(self.now) for s in self.seats]
        return all(t is not None and t.weights[0][0] >= 245 for t in found)

    def play(self) -> ModelResult:
        for k, seat in enumerate(self.seats):
            seat.start(0)
            self.scheduler.call_at(self.rng.randrange(self.settings.heartbeat_interval_ns), self._beat, k)
        first = self._until(LOSS_NS, self._one)
        self.scheduler.run(LOSS_NS)
        self.dead = True
        out = self._until(BACK_NS, self._left)
        one = self._until(BACK_NS, self._one)
        self.scheduler.run(BACK_NS)
        self.dead = False
        back = self._until(END_NS, self._whole)
        seconds = self.now / SECOND
        one = out + one if one >= 0 else -1.0
        return ModelResult(
            len(self.seats),
            self.zones,
            self.regions,
            first,
            out,
            one,
            back,
            sum(self.sent.values()) / len(self.seats) / seconds,
            max(self.sent.values()),
            max(self.heard.values()),
            self.bytes / len(self.seats) / seconds,
            max(s.table_changes for s in self.seats),
            1000 * self.cpu_s / max(1, self.proposed),
            self.conflicting_generations,
        )


def table(rows: list[ModelResult]) -> str:
    """One line a fleet."""
    lines = [
        f"{'n':>5}{'zones':>7}{'regions':>9}{'first':>7}{'out':>6}{'one':>6}{'back':>7}{'msg/s':>7}"
        f"{'most':>6}{'heard':>7}{'B/s':>7}{'tables':>8}{'CPU ms':>8}{'differ':>8}"
    ]
    lines += [
        f"{r.gateways:5}{r.zones:7}{r.regions:9}{r.first_s:7.2f}{r.evacuated_s:6.2f}{r.one_s:6.2f}"
        f"{r.restored_s:7.2f}{r.sent:7.1f}{r.most_sent:6}{r.most_heard:7}{r.bytes_:7.0f}{r.changes:8}{r.table_ms:8.2f}"
        f"{r.conflicting_generations:8}"
        for r in rows
    ]
    return "\n".join(lines)
