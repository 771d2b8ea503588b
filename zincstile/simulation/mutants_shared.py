"""Deliberate faults of the shared state: each must be named by one of its checkers.

Checkers are the search over small cases, worlds in which messages do not reach a part of the fleet, a trial
of suspicions in which one zone lies, and a trial of the concurrency budget. A fault that none of them names
is a hole in the checkers.
"""

from __future__ import annotations

import multiprocessing
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from ..leases.concurrency_budget import ConcurrencyBudget, ConcurrencyReport, KnownReport
from ..leases.failure_detector import ALL_CLASSES, SUSPECT_ERROR_SCORE, FailureDetector, Suspicion
from ..leases.lease_manager import LeaseManager
from ..leases.lease_messages import LeaseRequest
from ..leases.lease_records import PendingRequest
from ..leases.lessee import Lessee
from ..leases.lessor import Lessor
from ..leases.quota_account import QuotaAccount
from ..leases.running_clock import RunningClock
from ..leases.settings import MILLISECOND_NS, SECOND_NS, LeaseSettings
from . import search, shared, shared_trials
from .mutation import Undo, replace_attribute

DEPTH = 4
WORLDS, GATEWAYS = 39, 4


def _both_hold() -> Undo:
    """The lessor keeps in its token bucket what it lends."""
    old = Lessor.on_request

    def on_request(self, now, sender, process, request, account):
        before = account.own_units
        old(self, now, sender, process, request, account)
        account.own_units = max(account.own_units, min(before, account.capacity_units))

    return replace_attribute(Lessor, "on_request", on_request)


def _wrong_clock() -> Undo:
    """The lessee counts a lease's time from the moment it came, and not from its own request."""
    old = Lessee.on_grant

    def on_grant(self, now, sender, process, grant):
        account = self.state.accounts.get(grant.customer)
        pending = account.pending.get(grant.request_id) if account else None
        if pending is not None:
            pending.requested_ns = now + self.state.settings.lease_ns
        return old(self, now, sender, process, grant)

    return replace_attribute(Lessee, "on_grant", on_grant)


def _speaks_for_its_past() -> Undo:
    """A process that starts takes the answers to the one before it for its own, and releases its leases."""
    old = Lessee.on_grant

    def on_grant(self, now, sender, process, grant):
        account = self.state.accounts.get(grant.customer)
        if (
            account is not None
            and grant.request_id not in account.pending
            and grant.process != self.state.process
        ):
            request = LeaseRequest(
                sender, account.customer, account.plan, 1, 0, grant.request_id, grant.units, 0.0, 0
            )
            account.pending[grant.request_id] = PendingRequest(request, now, now)
            grant.process = self.state.process
        return old(self, now, sender, process, grant)

    return replace_attribute(Lessee, "on_grant", on_grant)


def _counted_twice() -> Undo:
    """An answer that comes twice is two leases."""
    old = Lessee.on_grant

    def on_grant(self, now, sender, process, grant):
        account = self.state.accounts.get(grant.customer)
        pending = account.pending.get(grant.request_id) if account else None
        found = old(self, now, sender, process, grant)
        if pending is not None:
            account.pending[grant.request_id] = pending
        return found

    return replace_attribute(Lessee, "on_grant", on_grant)


def _closed_twice() -> Undo:
    """What is released is taken each time that it comes."""

    def end_grant(self, granted):
        self.leased_out_units = max(0.0, self.leased_out_units - granted.units)

    return replace_attribute(QuotaAccount, "end_grant", end_grant)


def _never_ends() -> Undo:
    """A lessee goes on using a lease after its end."""
    return replace_attribute(QuotaAccount, "drop_expired_leases", lambda self, now: None)


def _no_cap() -> Undo:
    """A token bucket holds more than its part."""

    def refill(self, running_ns):
        self.own_units += self.rate_per_s * (running_ns - self.filled_ns) / SECOND_NS
        self.filled_ns = running_ns

    return replace_attribute(QuotaAccount, "refill", refill)


def _sleep_earns() -> Undo:
    """A token bucket fills by the time that passed, also while its process was stopped."""

    def observe(self, now):
        self.running_ns += max(0, now - self.observed_ns) if self.observed_ns >= 0 else 0
        self.observed_ns = max(now, self.observed_ns)
        return self.running_ns

    return replace_attribute(RunningClock, "observe", observe)


def _out_forgotten() -> Undo:
    """The lessor's token bucket fills up again while its lease runs."""

    def refill(self, running_ns):
        gained = self.rate_per_s * (running_ns - self.filled_ns) / SECOND_NS
        self.own_units = min(self.capacity_units, self.own_units + 4 * gained)
        self.filled_ns = running_ns

    return replace_attribute(QuotaAccount, "refill", refill)


def _starts_full() -> Undo:
    """A start that knows no past opens with a full token bucket, and with all of the quota."""
    old = LeaseManager.account

    def account(self, now, customer, plan, quota, gateways):
        new = customer not in self.accounts
        found = old(self, now, customer, plan, quota, gateways)
        if new:
            found.own_units = found.capacity_units = quota.burst
        return found

    return replace_attribute(LeaseManager, "account", account)


def _no_witness() -> Undo:
    """The suspicions of one zone are enough."""
    return replace_attribute(FailureDetector, "zones_needed", lambda self, now: 1)


def _words_first() -> Undo:
    """Suspicions of others go before own attempts."""
    return replace_attribute(FailureDetector, "recent_samples", lambda self, now, endpoint, group: None)


def _no_end() -> Undo:
    """Suspicions do not age."""
    old = FailureDetector.merge

    def merge(self, now, suspicion):
        suspicion.age_ns = 0
        return old(self, now, suspicion)

    return replace_attribute(FailureDetector, "merge", merge)


def _all_ruled_out() -> Undo:
    """Suspicions of others may rule out every endpoint."""
    old = FailureDetector.suspected_scores

    def suspected_scores(self, now, endpoints, groups):
        return {
            endpoint: {
                group: max(score, self.received_error_score(now, endpoint, group))
                for group, score in by_group.items()
            }
            for endpoint, by_group in old(self, now, endpoints, groups).items()
        }

    return replace_attribute(FailureDetector, "suspected_scores", suspected_scores)


def _old_level_speaks() -> Undo:
    """A report of a process that was followed by another counts."""

    def merge(self, now, report):
        self.known_reports[report.origin] = KnownReport(
            report.incarnation,
            report.sequence,
            report.units_in_flight,
            report.wanted_units,
            now - report.age_ns,
        )
        return True

    return replace_attribute(ConcurrencyBudget, "merge", merge)


def _takes_all() -> Undo:
    """A gateway that hears of no other takes over the parts of all, at once."""

    def tick(self, now):
        self.factor = self.gateway_count / self.live_gateways(now)
        return self.factor

    return replace_attribute(ConcurrencyBudget, "tick", tick)


# ---- checkers


def check_by_search(_: int) -> str:
    """Every opening, to the depth; the short ways first, the long ones from openings that are far on."""
    for depth in range(2, DEPTH + 1):
        for name in search.OPENINGS if depth < DEPTH else reversed(search.OPENINGS):
            found = search.search(depth, name)
            if found.violation:
                return f"search: {found.violation}"
    return ""


def check_by_simulations(seed: int) -> str:
    """Worlds in which a part hears nothing."""
    for one in range(seed, seed + WORLDS):
        row = shared_trials.play(one, GATEWAYS, shared.LOAD_MS, False)
        if row.violation:
            return f"{row.failure} seed {one}: {row.violation}"
    return ""


def check_suspicions(seed: int) -> str:
    """A gateway for which all servers are well gets suspicions of one zone's gateways, cut off; then two
    zones agree on some; then no more suspicions come."""
    rng, settings = random.Random(f"judging {seed}"), LeaseSettings()
    for _ in range(200):
        detector = FailureDetector(settings, 0, 0)
        servers = list(range(1, rng.randint(4, 13)))
        now = 10 * SECOND_NS
        for peer in range(1, 7):
            detector.record_observer(now, peer, peer % 3)
        liars = rng.choice((1, 2))
        lies = [
            Suspicion(s, ALL_CLASSES, 1.0, peer, peer % 3, rng.randrange(500) * MILLISECOND_NS)
            for s in servers
            for peer in range(1, 7)
            if peer % 3 == liars
        ]
        rng.shuffle(lies)
        for suspicion in lies:
            detector.merge(now, suspicion)
        if detector.suspected_scores(now, servers, range(256)):
            return "suspicions: one zone alone ruled endpoints out"
        seen = rng.choice(servers)
        for _ in range(3):
            detector.record_attempt(now, seen, ALL_CLASSES, 0.0, 0.4)
        shared_by_zones = [
            Suspicion(s, ALL_CLASSES, 1.0, peer, peer % 3, rng.randrange(900) * MILLISECOND_NS)
            for s in servers
            for peer in range(1, 7)
        ]
        rng.shuffle(shared_by_zones)
        for suspicion in shared_by_zones:
            detector.merge(now, suspicion)
        found = detector.suspected_scores(now, servers, range(256))
        out = [s for s, by in found.items() if max(by.values()) >= SUSPECT_ERROR_SCORE]
        if seen in out:
            return "suspicions: those of others went before own attempts"
        if len(out) > (1 - settings.min_unsuspected_ratio) * len(servers):
            return f"suspicions: those of others ruled out {len(out)} of {len(servers)}"
        if not out and len(servers) > 3:
            return "suspicions: what two zones agree on did not count"
        late = Suspicion(servers[0], ALL_CLASSES, 1.0, 3, 0, settings.suspicion_ns)
        detector.merge(now, late)
        now += settings.suspicion_ns
        detector.merge(now, Suspicion(servers[0], ALL_CLASSES, 1.0, 4, 1, settings.suspicion_ns))
        detector.merge(
            now, Suspicion(servers[0], ALL_CLASSES, 1.0, 5, 2, settings.suspicion_ns + MILLISECOND_NS)
        )
        detector.tick(now, servers)
        if detector.suspected_scores(now, servers, range(256)):
            return "suspicions: they did not end"
    return ""


def check_concurrency_budget(seed: int) -> str:
    """Gateways in two sides of any sizes, killed, stopped and restarted: the sum of what all may have out."""
    rng = random.Random(f"levels {seed}")
    for _ in range(60):
        count = rng.randint(2, 12)
        all_ = [ConcurrencyBudget(k, count, 1000 + k, 40.0) for k in range(count)]
        sides, now, ready = [rng.randrange(rng.randint(1, 3)) for _ in range(count)], 0, 10.0
        doomed, dead, past = rng.sample(range(count), count * 7 // 10), set[int](), list[ConcurrencyReport]()
        newest: dict[tuple[int, int, int], int] = {}  # who knows of whom: the newest process
        asleep = {k: rng.randint(20, 60) for k in range(count) if rng.random() < 0.3}
        for step in range(140):
            now += 100 * MILLISECOND_NS
            for k, one in enumerate(all_):
                if k in dead or 0 < asleep.get(k, 0) - step < 15:
                    continue
                one.tick(now)
                reports = one.reports_to_send(now, 1.0, 1.0, rng)
                past.append(reports[0])
                for other in one.draw_recipients(rng):
                    if sides[other] == sides[k] and other not in dead:
                        for report in reports:
                            all_[other].merge(now, replace(report))
                if rng.random() < 0.05:  # an old report comes late
                    old = rng.choice(past)
                    all_[k].merge(
                        now, ConcurrencyReport(old.origin, old.incarnation, old.sequence, 9e3, 9e3, 0)
                    )
            if step == 30:
                dead.update(doomed)
            if step == 70:
                for k in list(dead)[:2]:
                    dead.discard(k)
                    all_[k] = ConcurrencyBudget(k, count, 2000 + k, 40.0)
            alive = [x for k, x in enumerate(all_) if k not in dead]
            total = sum(x.limit_units(ready) for x in alive)
            stated = alive[0].total_limit_units(ready)
            if total > stated + 1e-6:
                return f"concurrency budget: {total:.1f} units in flight, {stated:.1f} stated"
            for one in alive:
                for origin, known in one.known_reports.items():
                    if known.incarnation < newest.get((one.gateway, one.incarnation, origin), 0):
                        return "concurrency budget: an old report counted again"
                    newest[one.gateway, one.incarnation, origin] = known.incarnation
    return ""


@dataclass(slots=True)
class Mutant:
    """A fault, and the checkers that may name it, in this order."""

    put: Callable[[], Undo]
    checkers: tuple[Callable[[int], str], ...]


MUTANTS: dict[str, Mutant] = {
    "loan-both-hold": Mutant(_both_hold, (check_by_simulations, check_by_search)),
    "expiry-by-wrong-clock": Mutant(_wrong_clock, (check_by_search, check_by_simulations)),
    "speaks-for-its-past": Mutant(_speaks_for_its_past, (check_by_search, check_by_simulations)),
    "word-counted-twice": Mutant(_counted_twice, (check_by_search, check_by_simulations)),
    "closed-twice": Mutant(_closed_twice, (check_by_search, check_by_simulations)),
    "loan-never-ends": Mutant(_never_ends, (check_by_search, check_by_simulations)),
    "store-without-end": Mutant(_no_cap, (check_by_search, check_by_simulations)),
    "sleep-earns": Mutant(_sleep_earns, (check_by_search, check_by_simulations)),
    "out-forgotten": Mutant(_out_forgotten, (check_by_search, check_by_simulations)),
    "starts-full": Mutant(_starts_full, (check_by_simulations,)),
    "no-witness": Mutant(_no_witness, (check_suspicions,)),
    "words-before-own": Mutant(_words_first, (check_suspicions,)),
    "words-never-end": Mutant(_no_end, (check_suspicions,)),
    "all-ruled-out": Mutant(_all_ruled_out, (check_suspicions,)),
    "old-level-speaks": Mutant(_old_level_speaks, (check_concurrency_budget,)),
    "takes-all-at-once": Mutant(_takes_all, (check_concurrency_budget,)),
}


def find(name: str) -> tuple[str, str]:
    """The mutant's name, and what named it; empty: nothing did."""
    mutant = MUTANTS[name]
    undo = mutant.put()
    try:
        for checker in mutant.checkers:
            said = checker(1)
            if said:
                return name, said
    finally:
        undo()
    return name, ""


def try_all(names: tuple[str, ...], jobs: int) -> Iterator[tuple[str, str]]:
    """In the order of the names."""
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(names)), maxtasksperchild=1) as pool:
        yield from pool.imap(find, names, chunksize=1)
