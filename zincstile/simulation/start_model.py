"""A cold start of any number of gateways by the pure modules alone: `peer_lists`, `readiness` and
`admission_ramp` of `cold_start` on virtual time, with a list service that works off calls one after another.
No sockets and no whole gateways, so that 10,000 fit; `field start` and `simulation/starts` play whole ones.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass
from functools import partial

from ..cold_start.admission_ramp import AdmissionRamp
from ..cold_start.messages import BucketPart, ListMessage
from ..cold_start.peer_lists import PeerLists
from ..cold_start.readiness import ListTrust, Readiness
from ..cold_start.settings import MS, SECOND, ColdStartSettings
from ..virtual.clock import Scheduler

LOOK_NS, NEAR_NS, FAR_NS = 30 * MS, 1.9 * MS, 30 * MS  # looks while seeking; a datagram's way
INTAKE = 60.0
LIST_VERSION = 41


@dataclass(slots=True)
class ModelResult:
    """One start. Seconds from its begin; -1: not within the time."""

    gateways: int
    alive: int
    per_s: float
    half_s: float
    most_s: float  # 99 in 100
    all_s: float
    calls: float  # of the service, for each that started
    whole: int  # whole lists that it told
    in_tenth: int  # calls in the busiest tenth of a second
    heard: int  # datagrams that came to the busiest gateway in its busiest second
    told: int  # datagrams that the busiest gateway sent in its busiest second
    sent: float  # units to each server in the busiest tenth of a second of the first two


class Gateway:
    """One that starts, or one that runs and has the list."""

    def __init__(self, model: Model, number: int, runs: bool) -> None:
        self.model, self.number, self.runs = model, number, runs
        settings = model.settings
        self.rng = random.Random(f"{model.seed} {number}")
        self.lists = PeerLists(settings, number, model.count, INTAKE, self.rng)
        self.lists.admission_open = runs
        self.trust = ListTrust.NONE
        self.called = False
        self.ready_ns = -1
        self.ramp = AdmissionRamp(settings, model.count, 6.0, self.rng)

    def start(self) -> None:
        now = self.model.now
        self.readiness = Readiness(self.model.settings, now)
        self.lists.search.start(now)
        wait = (
            self.model.settings.peer_wait_ns
            + self.rng.randrange(self.model.count * self.model.settings.poll_spread_per_gateway_ns)
            if self.lists.search.active
            else 0
        )
        self.model.at(now + wait, self.call)
        self.look()

    def call(self) -> None:
        """To the list service, for the whole list or for what has changed since the one that is here."""
        if not self.called:
            self.called = True
            self.model.service(self)

    def answered(self) -> None:
        now = self.model.now
        self.lists.receive_discovery_list(now, LIST_VERSION, self.model.entries, complete=True)
        self._has(ListTrust.DISCOVERY)
        self.send()

    def hear(self, sender: int, message: ListMessage) -> None:
        self.lists.receive(self.model.now, sender, message)
        self.after()

    def after(self) -> None:
        found = self.lists.take_result()
        if found is not None and not self.runs:
            self._has(found.trust)
            if found.trust is ListTrust.PEERS_AGREE:
                self.model.at(self.model.now + self.rng.randrange(50 * MS * self.model.count), self.call)
        self.send()

    def look(self) -> None:
        self.lists.search.update(self.model.now)
        self.after()
        if self.trust is ListTrust.ONE_PEER:
            self._say()
        if self.lists.search.active:
            self.model.at(self.model.now + LOOK_NS, self.look)

    def _has(self, trust: ListTrust) -> None:
        self.trust = trust
        self.readiness.record_list(trust)
        self._say()

    def _say(self) -> None:
        if self.ready_ns < 0 and self.readiness.is_ready(self.model.now):
            self.ready_ns = self.model.now
            self.ramp.start(self.model.now)
            self.model.at(self.model.now, self.ask)

    def ask(self) -> None:
        """A client's request; its answer comes in time."""
        model = self.model
        if self.ramp.admits(model.now, model.servers):
            units = self.rng.choice((1.0, 1.0, 2.0, 6.0))
            self.ramp.record_sent(units)
            model.sent[model.now // (100 * MS)] += units
            model.at(model.now + 80 * MS, partial(self.ramp.record_answer, units, in_time=True))
        if model.now < self.ready_ns + 2 * SECOND:
            model.at(model.now + int(self.rng.expovariate(model.per_gateway) * SECOND), self.ask)

    def send(self) -> None:
        for peer, message in self.lists.take_messages():
            self.model.post(self.number, peer, message)


class Model:
    """`alive` of `count` run and have the list; the others start within `apart_s`."""

    def __init__(
        self,
        count: int,
        alive: int,
        lines: int,
        per_s: float,
        seed: int = 1,
        loss: float = 0.03,
        apart_s: float = 0.5,
        settings: ColdStartSettings | None = None,
        asked: float = 2.0,
    ) -> None:
        self.settings = settings or ColdStartSettings(use_peer_lists=True)
        self.count, self.alive, self.per_s, self.seed, self.loss = count, alive, per_s, seed, loss
        self.scheduler, self.rng = Scheduler(), random.Random(f"model {seed}")
        self.entries = [
            {
                "name": f"s-{k:04x}",
                "address": f"10.1.{k // 250}.{k % 250}:6379",
                "zone": "a",
                "type": "std",
                "group": k % 8,
                "status": "Ready",
                "weight": 1.0,
                "since_ms": 0,
            }
            for k in range(lines)
        ]
        self.servers = float(lines)
        self.per_gateway = asked * 20.0 * lines / count / 2.5  # requests a second, over what is borne
        self.calls: list[int] = []
        self.whole = 0
        self.sent: Counter[int] = Counter()
        self.heard: Counter[tuple[int, int]] = Counter()
        self.told: Counter[tuple[int, int]] = Counter()
        self.queue: deque[Gateway] = deque()
        self.gateways = [Gateway(self, k, k < alive) for k in range(count)]

    @property
    def now(self) -> int:
        return self.scheduler.now_ns

    def at(self, at_ns: int, then, *args) -> None:
        self.scheduler.call_at(max(self.now, int(at_ns)), then, *args)

    def post(self, sender: int, to: int, message: ListMessage) -> None:
        self.told[sender, self.now // SECOND] += 1
        if self.rng.random() < self.loss:
            return
        self.at(self.now + self.rng.uniform(NEAR_NS, FAR_NS), self._arrive, sender, to, message)

    def _arrive(self, sender: int, to: int, message: ListMessage) -> None:
        if isinstance(message, BucketPart):
            self.heard[to, self.now // SECOND] += 1
        self.gateways[to].hear(sender, message)

    def service(self, gateway: Gateway) -> None:
        self.calls.append(self.now)
        self.queue.append(gateway)
        if len(self.queue) == 1:
            self._begin()

    def _begin(self) -> None:
        changes = self.queue[0].trust is ListTrust.PEERS_AGREE
        self.whole += not changes
        self.at(self.now + SECOND / self.per_s / (len(self.entries) if changes else 1), self._end)

    def _end(self) -> None:
        self.queue.popleft().answered()
        if self.queue:
            self._begin()

    def play(self, patience_s: float = 120.0, apart_s: float = 0.5) -> ModelResult:
        for one in self.gateways:
            if one.runs:
                one.lists.receive_discovery_list(0, LIST_VERSION, self.entries, complete=True)
            else:
                self.at(self.rng.uniform(0, apart_s) * SECOND, one.start)
        starting = [g for g in self.gateways if not g.runs]
        until = SECOND
        while until < patience_s * SECOND:
            self.scheduler.run(until)
            if all(g.ready_ns >= 0 for g in starting):
                break
            until += SECOND
        ready = sorted(g.ready_ns / SECOND for g in starting if g.ready_ns >= 0)
        tenths = Counter(at // (100 * MS) for at in self.calls)

        def by(part: float) -> float:
            need = max(1, -(-int(len(starting) * part * 1000) // 1000))
            return round(ready[need - 1], 2) if len(ready) >= need else -1.0

        return ModelResult(
            self.count,
            self.alive,
            self.per_s,
            by(0.5),
            by(0.99),
            by(1.0),
            round(len(self.calls) / max(1, len(starting)), 2),
            self.whole,
            max(tenths.values(), default=0),
            max(self.heard.values(), default=0),
            max(self.told.values(), default=0),
            round(max(self.sent.values(), default=0.0) / self.servers, 2),
        )


def table(rows: list[ModelResult]) -> str:
    """One line a start."""
    lines = [
        f"{'n':>6}{'alive':>7}{'lists/s':>9}{'half':>7}{'99%':>7}{'all':>7}{'calls':>7}{'whole':>7}"
        f"{'in 0.1s':>9}{'heard/s':>9}{'told/s':>8}{'units/.1s':>11}"
    ]
    lines += [
        f"{r.gateways:6}{r.alive:7}{r.per_s:9.0f}{r.half_s:7.1f}{r.most_s:7.1f}{r.all_s:7.1f}"
        f"{r.calls:7.2f}{r.whole:7}{r.in_tenth:9}{r.heard:9}{r.told:8}{r.sent:11.2f}"
        for r in rows
    ]
    return "\n".join(lines)
