"""Mutants: deliberate faults in the state that gateways share. Each must be detected by one of its checkers.

The checkers are the exhaustive search over a small model, simulations of failures between gateways, a test
of suspicions where the gateways of one zone are wrong, and a test of the concurrency budget. A mutant that
none of them detects shows a gap in the checkers.
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
SIMULATION_COUNT, GATEWAYS = 39, 4


def _keep_leased_units() -> Undo:
    """The lessor keeps the units that it leases in its token bucket."""
    old = Lessor.on_request

    def on_request(self, now, sender, process, request, account):
        before = account.own_units
        old(self, now, sender, process, request, account)
        account.own_units = max(account.own_units, min(before, account.capacity_units))

    return replace_attribute(Lessor, "on_request", on_request)


def _count_lease_from_arrival() -> Undo:
    """The lessee counts a lease's time from the grant's arrival, and not from its own request."""
    old = Lessee.on_grant

    def on_grant(self, now, sender, process, grant):
        account = self.state.accounts.get(grant.customer)
        pending = account.pending.get(grant.request_id) if account else None
        if pending is not None:
            pending.requested_ns = now + self.state.settings.lease_ns
        return old(self, now, sender, process, grant)

    return replace_attribute(Lessee, "on_grant", on_grant)


def _accept_grants_to_predecessor() -> Undo:
    """A process takes grants to its predecessor for its own, and so releases the predecessor's leases."""
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


def _count_repeated_grants() -> Undo:
    """A grant that is received twice counts as two leases."""
    old = Lessee.on_grant

    def on_grant(self, now, sender, process, grant):
        account = self.state.accounts.get(grant.customer)
        pending = account.pending.get(grant.request_id) if account else None
        result = old(self, now, sender, process, grant)
        if pending is not None:
            account.pending[grant.request_id] = pending
        return result

    return replace_attribute(Lessee, "on_grant", on_grant)


def _apply_repeated_releases() -> Undo:
    """A release that is received twice is applied twice."""

    def end_grant(self, granted):
        self.leased_out_units = max(0.0, self.leased_out_units - granted.units)

    return replace_attribute(QuotaAccount, "end_grant", end_grant)


def _use_expired_leases() -> Undo:
    """A lessee continues to use a lease after its end."""
    return replace_attribute(QuotaAccount, "drop_expired_leases", lambda self, now: None)


def _fill_beyond_capacity() -> Undo:
    """A token bucket fills beyond its capacity."""

    def refill(self, running_ns):
        self.own_units += self.rate_per_s * (running_ns - self.filled_ns) / SECOND_NS
        self.filled_ns = running_ns

    return replace_attribute(QuotaAccount, "refill", refill)


def _fill_while_suspended() -> Undo:
    """A token bucket also fills while its process is suspended."""

    def observe(self, now):
        self.running_ns += max(0, now - self.observed_ns) if self.observed_ns >= 0 else 0
        self.observed_ns = max(now, self.observed_ns)
        return self.running_ns

    return replace_attribute(RunningClock, "observe", observe)


def _refill_leased_units() -> Undo:
    """The lessor's token bucket fills up to its full capacity during the lease, at four times its rate."""

    def refill(self, running_ns):
        gained = self.rate_per_s * (running_ns - self.filled_ns) / SECOND_NS
        self.own_units = min(self.capacity_units, self.own_units + 4 * gained)
        self.filled_ns = running_ns

    return replace_attribute(QuotaAccount, "refill", refill)


def _start_full() -> Undo:
    """A gateway starts with a full token bucket of the whole quota."""
    old = LeaseManager.account

    def account(self, now, customer, plan, quota, gateways):
        is_new = customer not in self.accounts
        quota_account = old(self, now, customer, plan, quota, gateways)
        if is_new:
            quota_account.own_units = quota_account.capacity_units = quota.burst
        return quota_account

    return replace_attribute(LeaseManager, "account", account)


def _accept_single_zone() -> Undo:
    """Suspicions from a single zone are sufficient."""
    return replace_attribute(FailureDetector, "zones_needed", lambda self, now: 1)


def _ignore_own_attempts() -> Undo:
    """Suspicions of others have priority over own attempts."""
    return replace_attribute(FailureDetector, "recent_samples", lambda self, now, endpoint, group: None)


def _never_expire_suspicions() -> Undo:
    """Suspicions do not expire."""
    old = FailureDetector.merge

    def merge(self, now, suspicion):
        suspicion.age_ns = 0
        return old(self, now, suspicion)

    return replace_attribute(FailureDetector, "merge", merge)


def _suspect_all_endpoints() -> Undo:
    """Suspicions of others may exclude every endpoint."""
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


def _accept_old_reports() -> Undo:
    """A report of a process counts even after its successor has reported."""

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


def _take_over_at_once() -> Undo:
    """A gateway takes over the parts of all silent gateways at once, and without a maximum."""

    def tick(self, now):
        self.factor = self.gateway_count / self.live_gateways(now)
        return self.factor

    return replace_attribute(ConcurrencyBudget, "tick", tick)


# ---- checkers


def check_by_search(_: int) -> str:
    """Searches from every opening, with small depths first; at the full depth in the reverse order."""
    for depth in range(2, DEPTH + 1):
        for name in search.OPENINGS if depth < DEPTH else reversed(search.OPENINGS):
            result = search.search(depth, name)
            if result.violation:
                return f"search: {result.violation}"
    return ""


def check_by_simulations(seed: int) -> str:
    """Runs simulations of failures between gateways."""
    for simulation_seed in range(seed, seed + SIMULATION_COUNT):
        result = shared_trials.play(simulation_seed, GATEWAYS, shared.LOAD_MS, False)
        if result.violation:
            return f"{result.failure} seed {simulation_seed}: {result.violation}"
    return ""


def check_suspicions(seed: int) -> str:
    """Sends a gateway suspicions of all endpoints from one zone, then from all zones, then expired ones."""
    rng, settings = random.Random(f"judging {seed}"), LeaseSettings()
    for _ in range(200):
        detector = FailureDetector(settings, 0, 0)
        endpoints = list(range(1, rng.randint(4, 13)))
        now = 10 * SECOND_NS
        for peer in range(1, 7):
            detector.record_observer(now, peer, peer % 3)
        wrong_zone = rng.choice((1, 2))
        wrong_suspicions = [
            Suspicion(s, ALL_CLASSES, 1.0, peer, peer % 3, rng.randrange(500) * MILLISECOND_NS)
            for s in endpoints
            for peer in range(1, 7)
            if peer % 3 == wrong_zone
        ]
        rng.shuffle(wrong_suspicions)
        for suspicion in wrong_suspicions:
            detector.merge(now, suspicion)
        if detector.suspected_scores(now, endpoints, range(256)):
            return "suspicions: one zone alone excluded endpoints"
        tried_endpoint = rng.choice(endpoints)
        for _ in range(3):
            detector.record_attempt(now, tried_endpoint, ALL_CLASSES, 0.0, 0.4)
        suspicions_of_all_zones = [
            Suspicion(s, ALL_CLASSES, 1.0, peer, peer % 3, rng.randrange(900) * MILLISECOND_NS)
            for s in endpoints
            for peer in range(1, 7)
        ]
        rng.shuffle(suspicions_of_all_zones)
        for suspicion in suspicions_of_all_zones:
            detector.merge(now, suspicion)
        result = detector.suspected_scores(now, endpoints, range(256))
        excluded = [s for s, by in result.items() if max(by.values()) >= SUSPECT_ERROR_SCORE]
        if tried_endpoint in excluded:
            return "suspicions: those of others had priority over own attempts"
        if len(excluded) > (1 - settings.min_unsuspected_ratio) * len(endpoints):
            return f"suspicions: those of others excluded {len(excluded)} of {len(endpoints)} endpoints"
        if not excluded and len(endpoints) > 3:
            return "suspicions: those shared by two zones did not count"
        expired = Suspicion(endpoints[0], ALL_CLASSES, 1.0, 3, 0, settings.suspicion_ns)
        detector.merge(now, expired)
        now += settings.suspicion_ns
        detector.merge(now, Suspicion(endpoints[0], ALL_CLASSES, 1.0, 4, 1, settings.suspicion_ns))
        detector.merge(
            now, Suspicion(endpoints[0], ALL_CLASSES, 1.0, 5, 2, settings.suspicion_ns + MILLISECOND_NS)
        )
        detector.tick(now, endpoints)
        if detector.suspected_scores(now, endpoints, range(256)):
            return "suspicions: they did not expire"
    return ""


def check_concurrency_budget(seed: int) -> str:
    """Checks the sum of all gateways' limits while they are partitioned, killed, suspended and restarted."""
    rng = random.Random(f"levels {seed}")
    for _ in range(60):
        count = rng.randint(2, 12)
        budgets = [ConcurrencyBudget(k, count, 1000 + k, 40.0) for k in range(count)]
        side_of, now, ready = [rng.randrange(rng.randint(1, 3)) for _ in range(count)], 0, 10.0
        crashing, crashed, sent_reports = (
            rng.sample(range(count), count * 7 // 10),
            set[int](),
            list[ConcurrencyReport](),
        )
        # By gateway, its incarnation and the origin: the latest known incarnation of the origin.
        latest_incarnations: dict[tuple[int, int, int], int] = {}
        suspended_from = {k: rng.randint(20, 60) for k in range(count) if rng.random() < 0.3}
        for step in range(140):
            now += 100 * MILLISECOND_NS
            for k, budget in enumerate(budgets):
                if k in crashed or 0 < suspended_from.get(k, 0) - step < 15:
                    continue
                budget.tick(now)
                reports = budget.reports_to_send(now, 1.0, 1.0, rng)
                sent_reports.append(reports[0])
                for other in budget.draw_recipients(rng):
                    if side_of[other] == side_of[k] and other not in crashed:
                        for report in reports:
                            budgets[other].merge(now, replace(report))
                if rng.random() < 0.05:  # a delayed old report arrives
                    old = rng.choice(sent_reports)
                    budgets[k].merge(
                        now, ConcurrencyReport(old.origin, old.incarnation, old.sequence, 9e3, 9e3, 0)
                    )
            if step == 30:
                crashed.update(crashing)
            if step == 70:
                for k in list(crashed)[:2]:
                    crashed.discard(k)
                    budgets[k] = ConcurrencyBudget(k, count, 2000 + k, 40.0)
            alive = [x for k, x in enumerate(budgets) if k not in crashed]
            total = sum(x.limit_units(ready) for x in alive)
            stated = alive[0].total_limit_units(ready)
            if total > stated + 1e-6:
                return f"concurrency budget: limits of {total:.1f} units in total, {stated:.1f} stated"
            for budget in alive:
                for origin, known in budget.known_reports.items():
                    if known.incarnation < latest_incarnations.get(
                        (budget.gateway, budget.incarnation, origin), 0
                    ):
                        return "concurrency budget: a report of an earlier incarnation was accepted"
                    latest_incarnations[budget.gateway, budget.incarnation, origin] = known.incarnation
    return ""


@dataclass(slots=True)
class Mutant:
    """A deliberate fault, and the checkers that may detect it, in the order in which they run."""

    inject: Callable[[], Undo]
    checkers: tuple[Callable[[int], str], ...]


MUTANTS: dict[str, Mutant] = {
    "loan-both-hold": Mutant(_keep_leased_units, (check_by_simulations, check_by_search)),
    "expiry-by-wrong-clock": Mutant(_count_lease_from_arrival, (check_by_search, check_by_simulations)),
    "speaks-for-its-past": Mutant(_accept_grants_to_predecessor, (check_by_search, check_by_simulations)),
    "word-counted-twice": Mutant(_count_repeated_grants, (check_by_search, check_by_simulations)),
    "closed-twice": Mutant(_apply_repeated_releases, (check_by_search, check_by_simulations)),
    "loan-never-ends": Mutant(_use_expired_leases, (check_by_search, check_by_simulations)),
    "store-without-end": Mutant(_fill_beyond_capacity, (check_by_search, check_by_simulations)),
    "sleep-earns": Mutant(_fill_while_suspended, (check_by_search, check_by_simulations)),
    "out-forgotten": Mutant(_refill_leased_units, (check_by_search, check_by_simulations)),
    "starts-full": Mutant(_start_full, (check_by_simulations,)),
    "no-witness": Mutant(_accept_single_zone, (check_suspicions,)),
    "words-before-own": Mutant(_ignore_own_attempts, (check_suspicions,)),
    "words-never-end": Mutant(_never_expire_suspicions, (check_suspicions,)),
    "all-ruled-out": Mutant(_suspect_all_endpoints, (check_suspicions,)),
    "old-level-speaks": Mutant(_accept_old_reports, (check_concurrency_budget,)),
    "takes-all-at-once": Mutant(_take_over_at_once, (check_concurrency_budget,)),
}


def find(name: str) -> tuple[str, str]:
    """Returns the mutant's name, and the finding of the checker that detected it; empty if none did."""
    mutant = MUTANTS[name]
    undo = mutant.inject()
    try:
        for checker in mutant.checkers:
            finding = checker(1)
            if finding:
                return name, finding
    finally:
        undo()
    return name, ""


def try_all(names: tuple[str, ...], jobs: int) -> Iterator[tuple[str, str]]:
    """Runs the checkers on each mutant in parallel; yields the findings in the order of `names`."""
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(names)), maxtasksperchild=1) as pool:
        yield from pool.imap(find, names, chunksize=1)
