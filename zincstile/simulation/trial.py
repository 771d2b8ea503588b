"""Trials of quota accounts on several gateways while their quota service fails.

Only `zincstile/quota_service` runs here, on virtual time. Calls and heartbeats are delayed, lost, or reach
the wrong quota service, while customers request far more than their quotas. All units sent are taken from an
ideal token bucket of the quota's rate and burst. The lowest level below 0 that the bucket reaches is the
maximum overshoot over all time windows.
"""

from __future__ import annotations

import multiprocessing
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from ..decisions.quota_bounds import Quota
from ..quota_service.account import Account
from ..quota_service.accounts import Accounts
from ..quota_service.failure_detector import FailureDetector
from ..quota_service.messages import CounterCall, PeerHeartbeat
from ..quota_service.overshoot_bound import overshoot_bounds
from ..quota_service.settings import FAILURES, QuotaServiceSettings
from ..virtual.clock import MS_NS, SECOND_NS, Scheduler

START_NS = 1000 * SECOND_NS
BEFORE_NS, FAILURE_NS, RECOVERY_NS = 6 * SECOND_NS, 12 * SECOND_NS, 12 * SECOND_NS
MAX_WAIT_NS = 90 * MS_NS  # how long a request may wait for a lease


@dataclass(slots=True)
class Outcome:
    """Result of one trial: the customer nearest to its bound, and figures of the whole trial."""

    failure: str
    seed: int
    overshoot: float
    bound: float
    minute_ratio: float  # overshoot as a ratio of the units that the quota allows in a minute
    served_ratio: float  # units sent, relative to those that one gateway which sees every request would send
    calls_per_attempt: float
    state_changes: int  # of all gateways' failure detectors


@dataclass(slots=True)
class CustomerUsage:
    """One customer's units: a bucket for what was sent, and an ideal one that sees every request."""

    quota: Quota
    level: float
    at_ns: int
    lowest_level: float = 0.0
    sent: float = 0.0
    ideal_units: float = 0.0  # admitted by the ideal bucket
    ideal_level: float = 0.0
    ideal_at_ns: int = 0

    def request(self, now: int, units: float) -> None:
        quota = self.quota
        self.ideal_level = min(
            quota.burst, self.ideal_level + quota.rate * (now - self.ideal_at_ns) / SECOND_NS
        )
        self.ideal_at_ns = now
        if self.ideal_level >= units:
            self.ideal_level -= units
            self.ideal_units += units

    def record_sent(self, now: int, units: float) -> None:
        quota = self.quota
        self.level = min(quota.burst, self.level + quota.rate * (now - self.at_ns) / SECOND_NS) - units
        self.at_ns, self.sent = now, self.sent + units
        self.lowest_level = min(self.lowest_level, self.level)


@dataclass(slots=True)
class QuotaService:
    """A quota service: counters by name."""

    totals: dict[str, float] = field(default_factory=dict)

    def add(self, name: str, amount: float) -> float:
        self.totals[name] = self.totals.get(name, 0.0) + amount
        return self.totals[name]


class Gateway:
    """A simulated gateway: its failure detector, its accounts and the error of its clock."""

    def __init__(self, trial: Trial, number: int) -> None:
        self.trial, self.number = trial, number
        self.skew_ns = int(trial.rng.uniform(-0.5, 0.5) * trial.settings.clock_skew_ns)
        self.start()

    def start(self) -> None:
        now = self.now()
        self.detector = FailureDetector(self.trial.settings, self.number, now)
        self.accounts = Accounts(self.trial.settings, self.detector)
        self.incarnation = self.incarnation + 1 if hasattr(self, "incarnation") else 0
        self.waiting: list[tuple[int, Account, float, CustomerUsage]] = []
        self.trial.after(
            self.trial.rng.randrange(self.trial.settings.heartbeat_interval_ns),
            self.send_heartbeats,
            self.incarnation,
        )

    def now(self) -> int:
        return self.trial.scheduler.now_ns + self.skew_ns

    def send_heartbeats(self, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        trial, detector = self.trial, self.detector
        heartbeat = detector.heartbeat_call(self.now())

        def on_heartbeat_answer(at: int, total: float | None) -> None:
            detector.heartbeat_answered(at, heartbeat.counter_number, total)

        trial.call(self, CounterCall(heartbeat.name, 1.0, on_heartbeat_answer))
        message = detector.peer_heartbeat(self.now())
        for peer in trial.gateways:
            if peer is not self:
                trial.send(self, peer, message)
        trial.after(trial.settings.heartbeat_interval_ns, self.send_heartbeats, incarnation)

    def request(self, key: int, units: float) -> None:
        quota, customer_gateways, usage = self.trial.customers[key]
        account = self.accounts.account(key, quota, customer_gateways, self.now())
        usage.request(self.trial.scheduler.now_ns, units)
        if self.accounts.reserve(self.now(), account, units):
            usage.record_sent(self.trial.scheduler.now_ns, units)
        elif self.accounts.awaits_answer(account):
            self.waiting.append((self.now() + MAX_WAIT_NS, account, units, usage))
        self.flush()

    def flush(self) -> None:
        for call in self.accounts.calls():
            self.trial.call(self, call)

    def retry_waiting(self) -> None:
        """Retries the waiting requests in their order, after an answer has arrived."""
        now, waiting = self.now(), self.waiting
        self.waiting = []
        for deadline_ns, account, units, usage in waiting:
            if now < deadline_ns:
                if self.accounts.reserve(now, account, units, waited=True):
                    usage.record_sent(self.trial.scheduler.now_ns, units)
                elif self.accounts.awaits_answer(account):
                    self.waiting.append((deadline_ns, account, units, usage))
        self.flush()


class Trial:
    """One trial of one failure."""

    def __init__(
        self,
        failure: str,
        seed: int,
        gateway_count: int = 3,
        settings: QuotaServiceSettings | None = None,
        quotas: list[Quota] | None = None,
    ) -> None:
        self.rng = random.Random(f"keeper {failure} {seed}")
        self.failure, self.seed = failure, seed
        self.settings = settings or QuotaServiceSettings(
            max_overshoot_ratio=self.rng.choice((0.05, 0.05, 0.25))
        )
        self.scheduler = Scheduler(START_NS + self.rng.randrange(30 * SECOND_NS))
        self.began_ns = self.scheduler.now_ns
        self.services = [QuotaService()]
        self.heartbeat_loss_ratio = self.rng.choice((0.0, 0.03, 0.08))  # of heartbeats between gateways
        self.calls = self.attempts = 0
        self.gateways: list[Gateway] = []
        self.service_of = [0] * gateway_count  # by gateway: index of its quota service
        # Pairs of sender and receiver whose heartbeats are lost.
        self.blocked_pairs: dict[tuple[int, int], None] = {}
        self.unreachable = False
        self.slow_ratio = self.call_loss_ratio = 0.0
        spread = min(gateway_count, 3)
        quotas = quotas or [
            Quota("plus", 6.0, 6.0 * self.rng.choice((1.5, 3, 4)), spread, 3.0),
            Quota("premium", 40.0, 40.0 * self.rng.choice((1.3, 2.3)), spread, 3.0),
        ]
        self.customers: dict[int, tuple[Quota, list[int], CustomerUsage]] = {}
        for key in range(6):
            quota, first_gateway = quotas[key % len(quotas)], self.rng.randrange(gateway_count)
            customer_gateways = [(first_gateway + k) % gateway_count for k in range(quota.spread)]
            self.customers[key] = quota, customer_gateways, CustomerUsage(quota, quota.burst, self.began_ns)
        for number in range(gateway_count):
            self.gateways.append(Gateway(self, number))

    def after(self, ns: int, callback, *args) -> None:
        self.scheduler.call_at(self.scheduler.now_ns + ns, callback, *args)

    # ---- messages

    def call(self, gateway: Gateway, call: CounterCall) -> None:
        """Sends a call to the quota service; the request or the response may be delayed or lost."""
        self.calls += 1
        rng, incarnation = self.rng, gateway.incarnation
        request_ns, response_ns = rng.uniform(0.3, 2) * MS_NS, rng.uniform(0.3, 2) * MS_NS
        if self.slow_ratio and rng.random() < self.slow_ratio:
            request_ns += rng.uniform(20, 400) * MS_NS
        done = [False]

        def finish(total: float | None) -> None:
            if not done[0]:
                done[0] = True
                if gateway.incarnation == incarnation:
                    call.on_answer(gateway.now(), total)
                    gateway.retry_waiting()

        def arrive() -> None:
            if self.unreachable or rng.random() < self.call_loss_ratio / 2:
                return
            total = self.services[self.service_of[gateway.number]].add(call.name, call.amount)
            # Otherwise the amount was added, but the response is lost.
            if rng.random() >= self.call_loss_ratio / 2:
                self.after(int(response_ns), finish, total)

        self.after(int(request_ns), arrive)
        self.after(self.settings.call_timeout_ns, finish, None)

    def send(self, source: Gateway, target: Gateway, message: PeerHeartbeat) -> None:
        if (
            source.number,
            target.number,
        ) in self.blocked_pairs or self.rng.random() < self.heartbeat_loss_ratio:
            return
        self.after(
            int(self.rng.uniform(1.9, 30) * MS_NS),
            lambda: target.detector.peers.receive(target.now(), message),
        )

    # ---- failures

    def begin_failure(self) -> None:
        rng, count = self.rng, len(self.gateways)
        if self.failure == "gone":
            self.unreachable = True
        elif self.failure == "slow":
            self.slow_ratio = rng.uniform(0.1, 0.9)
        elif self.failure == "calls lost":
            self.call_loss_ratio = rng.uniform(0.05, 0.7)
        elif self.failure == "split":
            copies_totals = rng.random() < 0.5
            self.services.append(QuotaService(dict(self.services[0].totals) if copies_totals else {}))
            moved = rng.sample(range(count), rng.randint(1, count - 1))
            for number in moved:
                self.service_of[number] = 1
            if rng.random() < 0.7:  # heartbeats between the two halves are lost too
                for a in range(count):
                    for b in range(count):
                        if (a in moved) != (b in moved):
                            self.blocked_pairs[a, b] = None
        elif self.failure == "swapped":
            self.services[0].totals.clear()
        elif self.failure == "gateway dead":
            gateway = self.gateways[rng.randrange(count)]
            gateway.incarnation += 1
            self.after(rng.randrange(3 * SECOND_NS), gateway.start)

    def end_failure(self) -> None:
        self.unreachable, self.slow_ratio, self.call_loss_ratio = False, 0.0, 0.0
        self.blocked_pairs.clear()
        self.service_of = [0] * len(self.gateways)

    def _request(self, key: int, requests_per_s: float) -> None:
        quota, customer_gateways, _ = self.customers[key]
        if self.scheduler.now_ns > self.began_ns + BEFORE_NS + FAILURE_NS + RECOVERY_NS:
            return
        self.attempts += 1
        units = self.rng.choice((1.0, 1.0, 2.0, 3.0))
        self.gateways[self.rng.choice(customer_gateways)].request(key, units)
        current_per_s = requests_per_s * (0.1 if self.rng.random() < 0.002 else 1.0)
        self.after(int(self.rng.expovariate(current_per_s) * SECOND_NS), self._request, key, requests_per_s)

    def play(self) -> Outcome:
        for key, (quota, _, _) in self.customers.items():
            requests_per_s = self.rng.choice((0.6, 1.5, 4.0)) * quota.rate / 1.75
            self.after(int(self.rng.random() * SECOND_NS), self._request, key, requests_per_s)
        self.after(BEFORE_NS + self.rng.randrange(SECOND_NS), self.begin_failure)
        self.after(BEFORE_NS + FAILURE_NS, self.end_failure)
        self.scheduler.run(self.began_ns + BEFORE_NS + FAILURE_NS + RECOVERY_NS + SECOND_NS)
        max_ratio, outcome = -1.0, None
        for quota, _, usage in self.customers.values():
            bound = next(b for b in overshoot_bounds(quota, self.settings) if b.failure == self.failure)
            overshoot = max(0.0, -usage.lowest_level)
            ratio = overshoot / max(bound.units, 1e-9) if overshoot > 1e-6 else 0.0
            if ratio > max_ratio:
                max_ratio = ratio
                outcome = Outcome(
                    self.failure,
                    self.seed,
                    overshoot,
                    bound.units,
                    overshoot / bound.units_per_minute,
                    0.0,
                    self.calls / max(1, self.attempts),
                    sum(len(s.detector.state_changes) for s in self.gateways),
                )
        usages = [usage for _, _, usage in self.customers.values()]
        outcome.served_ratio = sum(i.sent for i in usages) / max(1e-9, sum(i.ideal_units for i in usages))
        return outcome


def _play(job: tuple[str, int, int]) -> Outcome:
    return Trial(*job).play()


def run_failures(seeds: range, gateway_count: int, jobs: int) -> Iterator[tuple[str, list[Outcome]]]:
    """Runs a trial of every failure with every seed; yields the results of one failure at a time."""
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        for name in FAILURES:
            yield name, pool.map(_play, [(name, seed, gateway_count) for seed in seeds])
