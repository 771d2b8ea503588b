"""Accounts of several gateways against a keeper that fails: what all send, beside what each quota gives.

Only `zincstile/quota_service` runs here, on virtual time: calls and words travel late, are lost, or reach the
wrong keeper, while customers ask for far more than their quotas. What was sent is put to the ideal store
(burst, rate): how far it falls below nothing, at any moment, is the overshoot over every window at once.
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
CALM_NS, FAIL_NS, AFTER_NS = 6 * SECOND_NS, 12 * SECOND_NS, 12 * SECOND_NS
HELD_NS = 90 * MS_NS  # a try waits so long for a lease


@dataclass(slots=True)
class Outcome:
    """Of one trial: overshoot and bound of the customer that came nearest to it, and what all cost."""

    failure: str
    seed: int
    overshoot: float
    bound: float
    minute_ratio: float  # overshoot in what the quota gives in a minute
    served_ratio: float  # units sent, in what one gateway that sees every try would have sent
    calls_per_attempt: float
    states: int  # changes of what gateways believe


@dataclass(slots=True)
class Ideal:
    """The store that a quota is."""

    quota: Quota
    level: float
    at_ns: int
    lowest: float = 0.0
    sent: float = 0.0
    best: float = 0.0  # what one gateway that sees every try would have sent
    best_level: float = 0.0
    best_ns: int = 0

    def ask(self, now: int, units: float) -> None:
        quota = self.quota
        self.best_level = min(quota.burst, self.best_level + quota.rate * (now - self.best_ns) / SECOND_NS)
        self.best_ns = now
        if self.best_level >= units:
            self.best_level -= units
            self.best += units

    def take(self, now: int, units: float) -> None:
        quota = self.quota
        self.level = min(quota.burst, self.level + quota.rate * (now - self.at_ns) / SECOND_NS) - units
        self.at_ns, self.sent = now, self.sent + units
        self.lowest = min(self.lowest, self.level)


@dataclass(slots=True)
class Keeper:
    """Numbers by name, where they are kept."""

    totals: dict[str, float] = field(default_factory=dict)

    def add(self, name: str, amount: float) -> float:
        self.totals[name] = self.totals.get(name, 0.0) + amount
        return self.totals[name]


class Seat:
    """A gateway: its view, its accounts, its clock's error."""

    def __init__(self, trial: Trial, number: int) -> None:
        self.trial, self.number = trial, number
        self.skew_ns = int(trial.rng.uniform(-0.5, 0.5) * trial.settings.clock_skew_ns)
        self.start()

    def start(self) -> None:
        now = self.now()
        self.detector = FailureDetector(self.trial.settings, self.number, now)
        self.accounts = Accounts(self.trial.settings, self.detector)
        self.life = self.life + 1 if hasattr(self, "life") else 0
        self.held: list[tuple[int, Account, float, Ideal]] = []
        self.trial.after(
            self.trial.rng.randrange(self.trial.settings.heartbeat_interval_ns), self.beat, self.life
        )

    def now(self) -> int:
        return self.trial.scheduler.now_ns + self.skew_ns

    def beat(self, life: int) -> None:
        if life != self.life:
            return
        trial, detector = self.trial, self.detector
        due = detector.heartbeat_call(self.now())

        def answered(at: int, total: float | None) -> None:
            detector.heartbeat_answered(at, due.counter_number, total)

        trial.call(self, CounterCall(due.name, 1.0, answered))
        message = detector.peer_heartbeat(self.now())
        for other in trial.seats:
            if other is not self:
                trial.send(self, other, message)
        trial.after(trial.settings.heartbeat_interval_ns, self.beat, life)

    def ask(self, key: int, units: float) -> None:
        quota, row, ideal = self.trial.customers[key]
        account = self.accounts.account(key, quota, row, self.now())
        ideal.ask(self.trial.scheduler.now_ns, units)
        if self.accounts.reserve(self.now(), account, units):
            ideal.take(self.trial.scheduler.now_ns, units)
        elif self.accounts.awaits_answer(account):
            self.held.append((self.now() + HELD_NS, account, units, ideal))
        self.flush()

    def flush(self) -> None:
        for call in self.accounts.calls():
            self.trial.call(self, call)

    def answered(self) -> None:
        """What waited is tried again, in its order."""
        now, held = self.now(), self.held
        self.held = []
        for until, account, units, ideal in held:
            if now < until:
                if self.accounts.reserve(now, account, units, waited=True):
                    ideal.take(self.trial.scheduler.now_ns, units)
                elif self.accounts.awaits_answer(account):
                    self.held.append((until, account, units, ideal))
        self.flush()


class Trial:
    """One run of one failure."""

    def __init__(
        self,
        failure: str,
        seed: int,
        gateways: int = 3,
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
        self.keepers = [Keeper()]
        self.loss = self.rng.choice((0.0, 0.03, 0.08))  # of words
        self.calls = self.tries = 0
        self.seats: list[Seat] = []
        self.where = [0] * gateways  # each one's keeper
        self.deaf: dict[tuple[int, int], None] = {}  # pairs whose words pass no more
        self.gone = False
        self.slow = self.lost = 0.0
        spread = min(gateways, 3)
        quotas = quotas or [
            Quota("plus", 6.0, 6.0 * self.rng.choice((1.5, 3, 4)), spread, 3.0),
            Quota("premium", 40.0, 40.0 * self.rng.choice((1.3, 2.3)), spread, 3.0),
        ]
        self.customers: dict[int, tuple[Quota, list[int], Ideal]] = {}
        for key in range(6):
            quota, first = quotas[key % len(quotas)], self.rng.randrange(gateways)
            row = [(first + k) % gateways for k in range(quota.spread)]
            self.customers[key] = quota, row, Ideal(quota, quota.burst, self.began_ns)
        for number in range(gateways):
            self.seats.append(Seat(self, number))

    def after(self, ns: int, then, *args) -> None:
        self.scheduler.call_at(self.scheduler.now_ns + ns, then, *args)

    # ---- what travels

    def call(self, seat: Seat, call: CounterCall) -> None:
        """One call: there and back, or not."""
        self.calls += 1
        rng, life = self.rng, seat.life
        there, back = rng.uniform(0.3, 2) * MS_NS, rng.uniform(0.3, 2) * MS_NS
        if self.slow and rng.random() < self.slow:
            there += rng.uniform(20, 400) * MS_NS
        done = [False]

        def end(total: float | None) -> None:
            if not done[0]:
                done[0] = True
                if seat.life == life:
                    call.on_answer(seat.now(), total)
                    seat.answered()

        def arrive() -> None:
            if self.gone or rng.random() < self.lost / 2:
                return
            total = self.keepers[self.where[seat.number]].add(call.name, call.amount)
            if rng.random() >= self.lost / 2:  # else it was added, and nothing tells
                self.after(int(back), end, total)

        self.after(int(there), arrive)
        self.after(self.settings.call_timeout_ns, end, None)

    def send(self, source: Seat, target: Seat, message: PeerHeartbeat) -> None:
        if (source.number, target.number) in self.deaf or self.rng.random() < self.loss:
            return
        self.after(
            int(self.rng.uniform(1.9, 30) * MS_NS),
            lambda: target.detector.peers.receive(target.now(), message),
        )

    # ---- failures

    def fail(self) -> None:
        rng, count = self.rng, len(self.seats)
        if self.failure == "gone":
            self.gone = True
        elif self.failure == "slow":
            self.slow = rng.uniform(0.1, 0.9)
        elif self.failure == "calls lost":
            self.lost = rng.uniform(0.05, 0.7)
        elif self.failure == "split":
            copy = rng.random() < 0.5
            self.keepers.append(Keeper(dict(self.keepers[0].totals) if copy else {}))
            far = rng.sample(range(count), rng.randint(1, count - 1))
            for number in far:
                self.where[number] = 1
            if rng.random() < 0.7:  # words pass no more either, from one half to the other
                for a in range(count):
                    for b in range(count):
                        if (a in far) != (b in far):
                            self.deaf[a, b] = None
        elif self.failure == "swapped":
            self.keepers[0].totals.clear()
        elif self.failure == "gateway dead":
            seat = self.seats[rng.randrange(count)]
            seat.life += 1
            self.after(rng.randrange(3 * SECOND_NS), seat.start)

    def heal(self) -> None:
        self.gone, self.slow, self.lost = False, 0.0, 0.0
        self.deaf.clear()
        self.where = [0] * len(self.seats)

    def _ask(self, key: int, per_s: float) -> None:
        quota, row, _ = self.customers[key]
        if self.scheduler.now_ns > self.began_ns + CALM_NS + FAIL_NS + AFTER_NS:
            return
        self.tries += 1
        units = self.rng.choice((1.0, 1.0, 2.0, 3.0))
        self.seats[self.rng.choice(row)].ask(key, units)
        rate = per_s * (0.1 if self.rng.random() < 0.002 else 1.0)
        self.after(int(self.rng.expovariate(rate) * SECOND_NS), self._ask, key, per_s)

    def play(self) -> Outcome:
        for key, (quota, _, _) in self.customers.items():
            asked = self.rng.choice((0.6, 1.5, 4.0)) * quota.rate / 1.75
            self.after(int(self.rng.random() * SECOND_NS), self._ask, key, asked)
        self.after(CALM_NS + self.rng.randrange(SECOND_NS), self.fail)
        self.after(CALM_NS + FAIL_NS, self.heal)
        self.scheduler.run(self.began_ns + CALM_NS + FAIL_NS + AFTER_NS + SECOND_NS)
        worst, outcome = -1.0, None
        for quota, _, ideal in self.customers.values():
            bound = next(b for b in overshoot_bounds(quota, self.settings) if b.failure == self.failure)
            over = max(0.0, -ideal.lowest)
            near = over / max(bound.units, 1e-9) if over > 1e-6 else 0.0
            if near > worst:
                worst = near
                outcome = Outcome(
                    self.failure,
                    self.seed,
                    over,
                    bound.units,
                    over / bound.units_per_minute,
                    0.0,
                    self.calls / max(1, self.tries),
                    sum(len(s.detector.state_changes) for s in self.seats),
                )
        ideals = [ideal for _, _, ideal in self.customers.values()]
        outcome.served_ratio = sum(i.sent for i in ideals) / max(1e-9, sum(i.best for i in ideals))
        return outcome


def _play(job: tuple[str, int, int]) -> Outcome:
    return Trial(*job).play()


def run_failures(seeds: range, gateways: int, jobs: int) -> Iterator[tuple[str, list[Outcome]]]:
    """Every failure by every seed, failure by failure."""
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        for name in FAILURES:
            yield name, pool.map(_play, [(name, seed, gateways) for seed in seeds])
