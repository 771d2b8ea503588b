"""Model of a cold start of any number of gateways.

Runs only `peer_lists`, `readiness` and `admission_ramp` of `cold_start` on virtual time, with a list service
that handles one call at a time. Without sockets and whole gateways it is fast enough for 10,000 of them;
`field start` and `simulation/starts` run whole gateways.
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

# Time between two updates of the list search, and the delay of a datagram.
SEARCH_INTERVAL_NS, MIN_DELAY_NS, MAX_DELAY_NS = 30 * MS, 1.9 * MS, 30 * MS
INTAKE_PER_S = 60.0
LIST_VERSION = 41


@dataclass(slots=True)
class ModelResult:
    """Result of one start. Times are in seconds from its begin; -1: not within the time limit."""

    gateways: int
    alive: int
    lists_per_s: float
    half_s: float
    p99_s: float  # until 99 % are ready
    all_s: float
    calls_per_gateway: float  # calls to the list service per gateway that starts
    full_lists: int  # full lists that the service sent
    max_calls_per_100ms: int  # calls to the list service in its busiest tenth of a second
    max_received_per_s: int  # datagrams received by the busiest gateway in its busiest second
    max_sent_per_s: int  # datagrams sent by the busiest gateway in its busiest second
    max_units_per_backend: float  # units per backend in the busiest tenth of a second


class Gateway:
    """A simulated gateway. It either starts, or is already running and has the list."""

    def __init__(self, model: Model, number: int, running: bool) -> None:
        self.model, self.number, self.running = model, number, running
        settings = model.settings
        self.rng = random.Random(f"{model.seed} {number}")
        self.lists = PeerLists(settings, number, model.gateway_count, INTAKE_PER_S, self.rng)
        self.lists.admission_open = running
        self.trust = ListTrust.NONE
        self.called = False
        self.ready_ns = -1
        self.ramp = AdmissionRamp(settings, model.gateway_count, 6.0, self.rng)

    def start(self) -> None:
        now = self.model.now
        self.readiness = Readiness(self.model.settings, now)
        self.lists.search.start(now)
        wait = (
            self.model.settings.peer_wait_ns
            + self.rng.randrange(self.model.gateway_count * self.model.settings.poll_spread_per_gateway_ns)
            if self.lists.search.active
            else 0
        )
        self.model.call_at(now + wait, self.call_service)
        self.update_search()

    def call_service(self) -> None:
        """Requests the full list from the list service, or only the changes to the list from peers."""
        if not self.called:
            self.called = True
            self.model.enqueue_call(self)

    def receive_list(self) -> None:
        now = self.model.now
        self.lists.receive_discovery_list(now, LIST_VERSION, self.model.entries, complete=True)
        self._record_trust(ListTrust.DISCOVERY)
        self.send()

    def receive(self, sender: int, message: ListMessage) -> None:
        self.lists.receive(self.model.now, sender, message)
        self.handle_result()

    def handle_result(self) -> None:
        result = self.lists.take_result()
        if result is not None and not self.running:
            self._record_trust(result.trust)
            if result.trust is ListTrust.PEERS_AGREE:
                self.model.call_at(
                    self.model.now + self.rng.randrange(50 * MS * self.model.gateway_count), self.call_service
                )
        self.send()

    def update_search(self) -> None:
        self.lists.search.update(self.model.now)
        self.handle_result()
        if self.trust is ListTrust.ONE_PEER:
            self._check_ready()
        if self.lists.search.active:
            self.model.call_at(self.model.now + SEARCH_INTERVAL_NS, self.update_search)

    def _record_trust(self, trust: ListTrust) -> None:
        self.trust = trust
        self.readiness.record_list(trust)
        self._check_ready()

    def _check_ready(self) -> None:
        if self.ready_ns < 0 and self.readiness.is_ready(self.model.now):
            self.ready_ns = self.model.now
            self.ramp.start(self.model.now)
            self.model.call_at(self.model.now, self.send_request)

    def send_request(self) -> None:
        """Handles a client's request; its answer always arrives in time."""
        model = self.model
        if self.ramp.admits(model.now, model.backends):
            units = self.rng.choice((1.0, 1.0, 2.0, 6.0))
            self.ramp.record_sent(units)
            model.sent_units[model.now // (100 * MS)] += units
            model.call_at(model.now + 80 * MS, partial(self.ramp.record_answer, units, in_time=True))
        if model.now < self.ready_ns + 2 * SECOND:
            model.call_at(
                model.now + int(self.rng.expovariate(model.requests_per_s) * SECOND), self.send_request
            )

    def send(self) -> None:
        for peer, message in self.lists.take_messages():
            self.model.send(self.number, peer, message)


class Model:
    """A fleet of which `alive` gateways already run and have the list, while the others start."""

    def __init__(
        self,
        gateway_count: int,
        alive: int,
        entry_count: int,
        lists_per_s: float,
        seed: int = 1,
        loss: float = 0.03,
        settings: ColdStartSettings | None = None,
        load_ratio: float = 2.0,
    ) -> None:
        self.settings = settings or ColdStartSettings(use_peer_lists=True)
        self.gateway_count, self.alive, self.lists_per_s, self.seed, self.loss = (
            gateway_count,
            alive,
            lists_per_s,
            seed,
            loss,
        )
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
            for k in range(entry_count)
        ]
        self.backends = float(entry_count)
        # Requests a second of each gateway; `load_ratio` times the capacity in total.
        self.requests_per_s = load_ratio * 20.0 * entry_count / gateway_count / 2.5
        self.calls: list[int] = []
        self.full_lists = 0
        self.sent_units: Counter[int] = Counter()
        self.received: Counter[tuple[int, int]] = Counter()
        self.sent_messages: Counter[tuple[int, int]] = Counter()
        self.queue: deque[Gateway] = deque()
        self.gateways = [Gateway(self, k, k < alive) for k in range(gateway_count)]

    @property
    def now(self) -> int:
        return self.scheduler.now_ns

    def call_at(self, at_ns: int, callback, *args) -> None:
        self.scheduler.call_at(max(self.now, int(at_ns)), callback, *args)

    def send(self, sender: int, recipient: int, message: ListMessage) -> None:
        self.sent_messages[sender, self.now // SECOND] += 1
        if self.rng.random() < self.loss:
            return
        self.call_at(
            self.now + self.rng.uniform(MIN_DELAY_NS, MAX_DELAY_NS), self._arrive, sender, recipient, message
        )

    def _arrive(self, sender: int, recipient: int, message: ListMessage) -> None:
        if isinstance(message, BucketPart):
            self.received[recipient, self.now // SECOND] += 1
        self.gateways[recipient].receive(sender, message)

    def enqueue_call(self, gateway: Gateway) -> None:
        self.calls.append(self.now)
        self.queue.append(gateway)
        if len(self.queue) == 1:
            self._begin_call()

    def _begin_call(self) -> None:
        changes_only = self.queue[0].trust is ListTrust.PEERS_AGREE
        self.full_lists += not changes_only
        self.call_at(
            self.now + SECOND / self.lists_per_s / (len(self.entries) if changes_only else 1), self._end_call
        )

    def _end_call(self) -> None:
        self.queue.popleft().receive_list()
        if self.queue:
            self._begin_call()

    def play(self, max_s: float = 120.0, start_spread_s: float = 0.5) -> ModelResult:
        for gateway in self.gateways:
            if gateway.running:
                gateway.lists.receive_discovery_list(0, LIST_VERSION, self.entries, complete=True)
            else:
                self.call_at(self.rng.uniform(0, start_spread_s) * SECOND, gateway.start)
        starting = [g for g in self.gateways if not g.running]
        until_ns = SECOND
        while until_ns < max_s * SECOND:
            self.scheduler.run(until_ns)
            if all(g.ready_ns >= 0 for g in starting):
                break
            until_ns += SECOND
        ready = sorted(g.ready_ns / SECOND for g in starting if g.ready_ns >= 0)
        calls_by_100ms = Counter(at // (100 * MS) for at in self.calls)

        def ready_after_s(ratio: float) -> float:
            needed = max(1, -(-int(len(starting) * ratio * 1000) // 1000))
            return round(ready[needed - 1], 2) if len(ready) >= needed else -1.0

        return ModelResult(
            self.gateway_count,
            self.alive,
            self.lists_per_s,
            ready_after_s(0.5),
            ready_after_s(0.99),
            ready_after_s(1.0),
            round(len(self.calls) / max(1, len(starting)), 2),
            self.full_lists,
            max(calls_by_100ms.values(), default=0),
            max(self.received.values(), default=0),
            max(self.sent_messages.values(), default=0),
            round(max(self.sent_units.values(), default=0.0) / self.backends, 2),
        )


def table(results: list[ModelResult]) -> str:
    """Formats the results with one line per start."""
    lines = [
        f"{'n':>6}{'alive':>7}{'lists/s':>9}{'half':>7}{'99%':>7}{'all':>7}{'calls':>7}{'whole':>7}"
        f"{'in 0.1s':>9}{'heard/s':>9}{'told/s':>8}{'units/.1s':>11}"
    ]
    lines += [
        f"{r.gateways:6}{r.alive:7}{r.lists_per_s:9.0f}{r.half_s:7.1f}{r.p99_s:7.1f}{r.all_s:7.1f}"
        f"{r.calls_per_gateway:7.2f}{r.full_lists:7}{r.max_calls_per_100ms:9}{r.max_received_per_s:9}"
        f"{r.max_sent_per_s:8}{r.max_units_per_backend:11.2f}"
        for r in results
    ]
    return "\n".join(lines)
