"""Model of zone failover for any number of gateways, zones and regions.

Runs each gateway's `zone_failover.agreement` on virtual time, with messages that are delayed and lost, and
with backends that are just numbers. One zone is lost and returns later. There are no sockets and no requests;
`simulation/places` simulates whole gateways.
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

MIN_DELAY_NS, MAX_DELAY_NS = 1.9 * MS, 30 * MS
# Ready backends of a zone, and its demand and capacity in units a second.
BACKENDS_PER_ZONE, ZONE_DEMAND, ZONE_CAPACITY = 8, 50.0, 100.0
LOSS_START_NS, LOSS_END_NS, END_NS = 12 * SECOND, 30 * SECOND, 50 * SECOND
# In this ratio of its heartbeats a gateway has tried a zone that gets no regular traffic.
PROBE_RATIO = 0.25


@dataclass(slots=True)
class ModelResult:
    """Result for one fleet. Times are in seconds; -1: never."""

    gateways: int
    zones: int
    regions: int
    first_table_s: float  # from the start until all gateways have the same table
    evacuated_s: float  # from the loss until no gateway's table sends to the zone
    agreed_s: float  # from the loss until all have the same table again
    restored_s: float  # from the return until the zone has its full traffic
    sent_per_s: float  # datagrams of one gateway, mean
    max_sent_per_s: int  # of the busiest gateway in its busiest second
    max_received_per_s: int
    bytes_per_s: float
    table_changes: int  # of the routing table
    table_cpu_ms: float  # CPU time to compute one table, mean
    conflicting_generations: int  # generations with two different tables


class Model:
    def __init__(self, gateways: int, zones: int, regions: int, seed: int = 1, loss: float = 0.03) -> None:
        names = [f"z{k}" for k in range(zones)]
        zones_by_region = {f"r{r}": tuple(names[r::regions]) for r in range(regions)}
        inter_region_ns = {
            (f"r{a}", f"r{b}"): 40 * MS * (b - a) for a in range(regions) for b in range(a + 1, regions)
        }
        self.settings = ZoneFailoverSettings(zones_by_region, inter_region_ns)
        self.scheduler, self.rng, self.loss = Scheduler(), random.Random(f"place model {seed}"), loss
        distance = self.settings.distance_matrix(names)
        self.zones, self.regions = zones, regions
        self.agreements = [
            Agreement(self.settings, k, gateways, k % zones, distance, 1 + k, random.Random(f"{seed} {k}"))
            for k in range(gateways)
        ]
        self.zone_lost = False
        self.sent: Counter[tuple[int, int]] = Counter()
        self.received: Counter[tuple[int, int]] = Counter()
        self.bytes = 0
        self.cpu_s, self.proposals = 0.0, 0
        self.tables: dict[object, object] = {}
        self.conflicting_generations = 0

    @property
    def now(self) -> int:
        return self.scheduler.now_ns

    def _send_heartbeat(self, gateway: int) -> None:
        agreement = self.agreements[gateway]
        table, observations = agreement.table(self.now), []
        for zone in range(self.zones):
            used = (
                agreement.own_zone == zone if table is None else table.weights[agreement.own_zone][zone] > 0
            )
            may_probe = table is not None and (
                table.states[zone] == ZoneState.LOST or zone == agreement.own_zone
            )
            observed = used or may_probe and self.rng.random() < PROBE_RATIO
            unreachable = self.zone_lost and zone == 0
            observations.append(
                ZoneObservation(
                    BACKENDS_PER_ZONE,
                    0.0 if unreachable else float(BACKENDS_PER_ZONE),
                    float(unreachable) if observed else -1.0,
                    ZONE_CAPACITY / len(self.agreements),
                )
            )
        zone_gateways = sum(s.own_zone == agreement.own_zone for s in self.agreements)
        is_leader = agreement.terms.is_leader(self.now)
        cpu_before_s = time.process_time()
        agreement.observe(self.now, ZONE_DEMAND / zone_gateways, observations)
        if is_leader:
            self.cpu_s, self.proposals = self.cpu_s + time.process_time() - cpu_before_s, self.proposals + 1
            table = agreement.table(self.now)
            if table is not None and self.tables.setdefault(table.generation, table.weights) != table.weights:
                self.conflicting_generations += 1
        self._send(gateway)
        self.scheduler.call_at(self.now + self.settings.heartbeat_interval_ns, self._send_heartbeat, gateway)

    def _send(self, gateway: int) -> None:
        for recipient, message in self.agreements[gateway].take_messages():
            data = pack(message)
            self.sent[gateway, self.now // SECOND] += 1
            self.bytes += len(data)
            if self.rng.random() >= self.loss:
                self.scheduler.call_at(
                    self.now + int(self.rng.uniform(MIN_DELAY_NS, MAX_DELAY_NS)),
                    self._receive,
                    gateway,
                    recipient,
                    unpack(data),
                )

    def _receive(self, sender: int, recipient: int, message: ZoneMessage) -> None:
        self.received[recipient, self.now // SECOND] += 1
        self.agreements[recipient].receive(self.now, sender, message)
        self._send(recipient)

    def _seconds_until(self, end_ns: int, condition) -> float:
        """Returns the seconds from now until the condition holds; -1 if it does not hold by `end_ns`."""
        begin = self.now
        while self.now < end_ns:
            self.scheduler.run(self.now + 50 * MS)
            if condition():
                return (self.now - begin) / SECOND
        return -1.0

    def _all_agree(self) -> bool:
        tables = [s.table(self.now) for s in self.agreements]
        return None not in tables and len({t.weights for t in tables}) == 1

    def _zone_left(self) -> bool:
        tables = [s.table(self.now) for s in self.agreements]
        return all(t is not None and not any(row[0] for row in t.weights) for t in tables)

    def _zone_restored(self) -> bool:
        tables = [s.table(self.now) for s in self.agreements]
        return all(t is not None and t.weights[0][0] >= 245 for t in tables)

    def play(self) -> ModelResult:
        for k, agreement in enumerate(self.agreements):
            agreement.start(0)
            self.scheduler.call_at(
                self.rng.randrange(self.settings.heartbeat_interval_ns), self._send_heartbeat, k
            )
        first_table_s = self._seconds_until(LOSS_START_NS, self._all_agree)
        self.scheduler.run(LOSS_START_NS)
        self.zone_lost = True
        evacuated_s = self._seconds_until(LOSS_END_NS, self._zone_left)
        agreed_s = self._seconds_until(LOSS_END_NS, self._all_agree)
        self.scheduler.run(LOSS_END_NS)
        self.zone_lost = False
        restored_s = self._seconds_until(END_NS, self._zone_restored)
        seconds = self.now / SECOND
        agreed_s = evacuated_s + agreed_s if agreed_s >= 0 else -1.0
        return ModelResult(
            len(self.agreements),
            self.zones,
            self.regions,
            first_table_s,
            evacuated_s,
            agreed_s,
            restored_s,
            sum(self.sent.values()) / len(self.agreements) / seconds,
            max(self.sent.values()),
            max(self.received.values()),
            self.bytes / len(self.agreements) / seconds,
            max(s.table_changes for s in self.agreements),
            1000 * self.cpu_s / max(1, self.proposals),
            self.conflicting_generations,
        )


def table(results: list[ModelResult]) -> str:
    """Formats the results with one line per fleet."""
    lines = [
        f"{'n':>5}{'zones':>7}{'regions':>9}{'first':>7}{'out':>6}{'one':>6}{'back':>7}{'msg/s':>7}"
        f"{'most':>6}{'heard':>7}{'B/s':>7}{'tables':>8}{'CPU ms':>8}{'differ':>8}"
    ]
    lines += [
        f"{r.gateways:5}{r.zones:7}{r.regions:9}{r.first_table_s:7.2f}{r.evacuated_s:6.2f}{r.agreed_s:6.2f}"
        f"{r.restored_s:7.2f}{r.sent_per_s:7.1f}{r.max_sent_per_s:6}{r.max_received_per_s:7}"
        f"{r.bytes_per_s:7.0f}{r.table_changes:8}{r.table_cpu_ms:8.2f}"
        f"{r.conflicting_generations:8}"
        for r in results
    ]
    return "\n".join(lines)
