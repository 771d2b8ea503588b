"""The feature `shared`: state that gateways share is held within stated bounds.

Quotas by leases (`lease_manager`), failure detection by observers (`failure_detector`), and a stated most
for what all gateways have in flight (`concurrency_budget`), in place of the gossip's parts, its sum of
samples and the limit's free rise. All else is as ever: budget, draws, choice of endpoint, attempts. The
gossip goes on beside it, for ceilings and limits on attempts in flight.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from typing import Final

from ..decisions.deferred_admission import DeferredQuotas, Reservation
from ..decisions.endpoints import Endpoint
from ..decisions.load_balancing import EndpointChooser
from ..decisions.messages import GossipReceived, LogMessage
from ..decisions.policy import Policy
from ..decisions.quota_bounds import ROUNDING_TOLERANCE, Quota, quota_of_plan
from ..decisions.records import Attempt, Customer, PendingRequest
from ..decisions.settings import CustomerPlan, Settings
from ..decisions.timers import LEASE_HEARTBEAT_TOKEN, LEASE_RESEND_TOKEN
from ..decisions.units import SECOND_NS
from .codec import SharedMessage
from .concurrency_budget import ConcurrencyBudget, ConcurrencyReport
from .events import SendSharedMessages, SharedMessagesReceived
from .failure_detector import ALL_CLASSES, FailureDetector, Suspicion
from .lease_manager import LeaseManager
from .lease_messages import LeaseGrant, LeaseRelease, LeaseRequest
from .overshoot_bound import overshoot_bounds
from .quota_account import QuotaAccount
from .settings import MILLISECOND_NS, LeaseSettings
from .slot_messages import SlotGrant, SlotRelease, SlotRequest
from .slots import SlotAccount, SlotManager

SPREAD_NS: Final = 500 * MILLISECOND_NS  # how often suspicions and budgets are sent to some others
SWEEP_NS: Final = SECOND_NS  # how often customers are looked over
IDLE_NS: Final = 15 * SECOND_NS  # a customer not asked for so long may go
INCARNATION_UNIT_NS: Final = 10 * MILLISECOND_NS  # a process's incarnation is numbered by its start, in this
DEAD_SCORE: Final = 0.99  # of a sample that found no connection, or no answer
MARKED_SCORE: Final = (
    0.011  # a score that is just kept: the choice then asks for all that is known of an endpoint
)
NEVER_RESEND_NS: Final = -1


def covered_plans(settings: Settings, shared: LeaseSettings) -> list[bool]:
    """For each plan:

    its quota holds what goes out under the ceiling, whatever fails, as it is lower by more than what may go
    out beyond it.
    """
    return [_is_covered(plan, settings, shared) for plan in settings.plans]


def _is_covered(plan: CustomerPlan, settings: Settings, shared: LeaseSettings) -> bool:
    if not plan.rate or plan.over_quota_weight > plan.over_quota_cost or plan.ceiling_rate < plan.rate:
        return False
    quotas = [
        quota_of_plan(plan, spread, settings.max_request_units)
        for spread in range(1, settings.gateway_count + 1)
    ]
    return all(
        bound.units <= quota.most + ROUNDING_TOLERANCE
        for quota in quotas
        for bound in overshoot_bounds(quota, shared)
        if bound.failure in shared.tolerated_failures
    )


class LeasesFeature:
    """Owner of the leases, slots, suspicions and budgets of this gateway. `shared`: times and sizes."""

    def __init__(self, settings: Settings, seed: int, shared: LeaseSettings) -> None:
        """Takes the settings; it joins a policy by `attach`."""
        self.settings = settings
        self.shared = shared
        self.rng = random.Random(f"shared {seed}")
        self.process = self.rng.getrandbits(32)
        self.quotas: dict[tuple[int, int], Quota] = {}  # by plan and spread
        self.covered = covered_plans(settings, shared)
        self.failure_detector = FailureDetector(shared, settings.gateway_index, settings.zone)
        self.budget = ConcurrencyBudget(
            settings.gateway_index, settings.gateway_count, 0, shared.units_per_endpoint
        )
        self.suspected: dict[int, dict[int, float]] = {}  # endpoint's hash: scores by reports alone
        self.units_in_flight = 0.0
        self.resend_ns = NEVER_RESEND_NS  # when queries are looked at, whether to send them again
        self.reserved: QuotaAccount | None = None  # of the request that is decided on just now
        self.leases: LeaseManager | None = None
        self.slots = SlotManager(shared, settings.gateway_index, self.process, settings.longest_ns, self.rng)
        self.strange = 0  # queries that don't fit what is known here
        self._reported_trouble = False
        self._spread_ns = 0
        self._sweep_ns = 0

    # ---- the feature

    def attach(self, policy: Policy) -> None:
        """Holds quotas, judges endpoints and bounds what is in flight from now on."""
        self.parts = policy.parts
        self.deferred = DeferredQuotas(
            self.parts, self, self.shared.answer_timeout_ns, reports_usage=False, limits_in_flight=False
        )
        self.parts.use_quotas(self.deferred)
        self._choose: EndpointChooser = self.parts.admission.choose
        self.parts.admission.choose = self.choose
        self.parts.attempts.observer = self
        self.parts.detector.shared = self
        self.parts.gossip.own_level = self.own_level
        self.parts.ledger.met = self.on_customer_met
        self.parts.receiver.received = self.on_gossip_received
        policy.ticker.limited.append(self.on_limit_updated)
        policy.timers[LEASE_HEARTBEAT_TOKEN] = self._heartbeat
        policy.timers[LEASE_RESEND_TOKEN] = self._resend
        policy.handlers[SharedMessagesReceived] = self.on_messages_received

    def before_start(self, now: int) -> None:
        """Builds what needs the start time."""
        self.leases = LeaseManager(self.shared, self.settings.gateway_index, self.process, now, self.rng)
        # a machine's clock goes on over its processes' starts
        self.budget.incarnation = now // INCARNATION_UNIT_NS % 2**32

    def started(self, now: int) -> None:
        """The first heartbeat."""
        self._heartbeat(now)

    def state_inherited(self, now: int) -> None:
        """Leases are not inherited."""

    def figures(self) -> dict[str, float]:
        """The leases, the factor of the budgets, gateways alive, suspected endpoints, own trouble."""
        ticked_ns = self.parts.gossip.ticked_ns
        leases = self.leases.snapshot(ticked_ns) if self.leases else {}
        return leases | {
            "factor": round(self.budget.factor, 2),
            "alive": self.budget.live_gateways(ticked_ns),
            "accused": len(self.suspected),
            "trouble": int(self.failure_detector.isolated),
        }

    # ---- what goes by time

    def _heartbeat(self, now: int) -> None:
        self.leases.tick(now)
        self.slots.tick(now)
        self.parts.capacity.fleet_gateways = self.settings.gateway_count / self.budget.tick(now)
        self._look_at_endpoints(now)
        if now - self._sweep_ns >= SWEEP_NS:
            self._sweep_ns = now
            self.leases.forget_idle(now, IDLE_NS)
        if now - self._spread_ns >= SPREAD_NS:
            self._spread_ns = now + self.rng.randrange(self.shared.tick_interval_ns)
            self._spread(now)
        self.flush(now)
        self.parts.actions.set_timer(now + self.shared.tick_interval_ns, LEASE_HEARTBEAT_TOKEN)

    def _look_at_endpoints(self, now: int) -> None:
        endpoints = self.parts.endpoints
        hashes = [endpoint.hash for endpoint in endpoints.ready]
        self.failure_detector.tick(now, hashes)
        self.suspected = {}
        if self.failure_detector.received:
            groups = range(ALL_CLASSES + 1)
            self.suspected = self.failure_detector.suspected(now, hashes, groups)
        for hash_ in self.suspected:
            endpoints.touch(endpoints.by_hash[hash_]).error_scores.setdefault(0, MARKED_SCORE)
        if self.failure_detector.isolated is self._reported_trouble:
            return
        self._reported_trouble = self.failure_detector.isolated
        text = (
            "shared this gateway is cut off from the back end"
            if self._reported_trouble
            else "shared this gateway reaches the back end again"
        )
        self.parts.actions.append(LogMessage(text))

    def _spread(self, now: int) -> None:
        """Suspicions and budgets go to some others."""
        wanted_per_s = self.parts.budget.arrivals
        messages = [
            *self.failure_detector.suspicions_to_send(now),
            *self.budget.reports_to_send(now, self.units_in_flight, wanted_per_s, self.rng),
        ]
        for peer in self.budget.draw_recipients(self.rng) if self.settings.gossips else ():
            self.parts.actions.append(SendSharedMessages(peer, self.process, messages))

    def _resend(self, now: int) -> None:
        self.resend_ns = NEVER_RESEND_NS
        self.flush(now)
        self.deferred.retry_waiting(now, self.leases.lessee.drain_late_customers())

    # ---- messages

    def on_messages_received(self, now: int, event: SharedMessagesReceived) -> None:
        """Each kind goes to where it belongs; what doesn't fit is counted and dropped."""
        if not 0 <= event.sender < self.settings.gateway_count or event.sender == self.settings.gateway_index:
            return
        customers: dict[int, None] = {}  # for whom something has come, in order
        for message in event.messages:
            customer = self._on_message(now, event, message)
            if customer is not None:
                customers[customer] = None
        self.deferred.retry_waiting(now, [key for key in customers if key in self.deferred.waiting])
        self.flush(now)

    def _on_message(self, now: int, event: SharedMessagesReceived, message: SharedMessage) -> int | None:
        """The customer for whom a lease or slot was granted; None for any other message."""
        sender = event.sender
        if isinstance(message, LeaseGrant):
            account = self.leases.lessee.on_grant(now, sender, event.process, message)
            return None if account is None else account.customer
        if isinstance(message, SlotGrant):
            granted = self.slots.on_grant(now, sender, event.process, message)
            return message.customer if granted else None
        if isinstance(message, LeaseRequest | SlotRequest):
            self._on_query(now, event, message)
        elif isinstance(message, SlotRelease):
            self.slots.on_release(sender, event.process, message)
        elif isinstance(message, LeaseRelease):
            self.leases.lessor.on_release(now, sender, event.process, message)
        elif isinstance(message, ConcurrencyReport):
            self.budget.merge(now, message)
        else:
            self._on_suspicion(now, sender, message)
        return None

    def _on_suspicion(self, now: int, sender: int, suspicion: Suspicion) -> None:
        if suspicion.origin == sender:
            self.failure_detector.record_observer(now, sender, suspicion.zone)
        self.failure_detector.merge(now, suspicion)

    def _on_query(self, now: int, event: SharedMessagesReceived, query: LeaseRequest | SlotRequest) -> None:
        settings = self.settings
        if (
            query.plan >= len(settings.plans)
            or not settings.plans[query.plan].rate
            or not 1 <= query.set_size <= settings.gateway_count
            or query.first_gateway >= settings.gateway_count
        ):
            self.strange += 1
            return
        if isinstance(query, SlotRequest):
            self._on_slot_query(now, event, query)
            return
        account = self._quota_account(now, query.customer, query.plan, query.set_size, query.first_gateway)
        if account.plan != query.plan or not _is_row(account.gateways, query):
            self.strange += 1  # one customer with two sets: the first one holds
            return
        self.leases.lessor.on_request(now, event.sender, event.process, query, account)

    def _on_slot_query(self, now: int, event: SharedMessagesReceived, query: SlotRequest) -> None:
        slots = self._slot_account(query.customer, query.plan, query.set_size, query.first_gateway)
        if slots is None or not _is_row(slots.gateways, query):
            self.strange += 1
            return
        self.slots.on_request(now, event.sender, event.process, query, slots)

    def flush(self, now: int) -> None:
        """Sends what leases and slots have to say."""
        if self.leases.lessee.resendable:
            soonest = self.leases.lessee.resend(now)
            if soonest is not None and not now < self.resend_ns <= soonest:
                self.resend_ns = soonest
                self.parts.actions.set_timer(soonest, LEASE_RESEND_TOKEN)
        by_peer: dict[int, list[SharedMessage]] = {}
        for word in (*self.leases.drain_messages(), *self.slots.drain_messages()):
            by_peer.setdefault(word.recipient, []).append(word)
        if self.settings.gossips:
            self.parts.actions += [
                SendSharedMessages(peer, self.process, words) for peer, words in by_peer.items()
            ]

    # ---- units of quotas

    def _quota(self, plan: int, spread: int) -> Quota:
        found = self.quotas.get((plan, spread))
        if found is None:
            found = quota_of_plan(self.settings.plans[plan], spread, self.settings.max_request_units)
            self.quotas[plan, spread] = found
        return found

    def _row(self, spread: int, first: int) -> tuple[int, ...]:
        """The gateways of a customer's set."""
        return tuple((first + k) % self.settings.gateway_count for k in range(spread))

    def _quota_account(self, now: int, key: int, plan: int, spread: int, first: int) -> QuotaAccount:
        return self.leases.account(now, key, plan, self._quota(plan, spread), self._row(spread, first))

    def _slot_account(self, key: int, plan: int, spread: int, first: int) -> SlotAccount | None:
        """None where the plan has no limit on attempts in flight."""
        limit = self.settings.plans[plan].max_in_flight
        if not limit:
            return None
        return self.slots.account(key, plan, limit, self._row(spread, first))

    def reserve(self, now: int, pending: PendingRequest, *, waited: bool) -> Reservation:
        """Takes units and, where the plan has a limit, a slot; the one is not taken without the other."""
        request = pending.request
        customer = pending.customer
        first = request.first % self.settings.gateway_count
        slots = self._slot_account(customer.key, customer.plan, customer.spread, first)
        if slots is not None and not self.slots.has_free(slots, request.deadline_ns):
            return Reservation.PENDING if self.slots.request_slot(now, slots) else Reservation.REFUSED
        account = self._quota_account(now, customer.key, customer.plan, customer.spread, first)
        if self.leases.reserve(now, account, request.units):
            self.reserved = account
            if slots is not None:
                self.slots.acquire(slots, request.id, request.deadline_ns)
            self.leases.lessee.request_ahead(now, account)
            return Reservation.RESERVED
        group = self.parts.budget.inside[request.class_index][request.plan]
        over_budget = pending.draw >= group.rate  # no answer could help
        if not over_budget and self.leases.lessee.request_missing(now, account, request.units):
            return Reservation.PENDING
        return Reservation.REFUSED

    def release(self, now: int, customer: Customer, units: float) -> None:
        """Units come back, or go besides."""
        if self.reserved is not None:  # decided against in the same batch
            self.leases.cancel_reservation(now, self.reserved)
            self.reserved = None
        elif customer.key in self.leases.accounts:
            self.leases.charge(now, self.leases.accounts[customer.key], -units)

    def decided(self, pending: PendingRequest) -> None:
        """What was reserved is spent."""
        self.reserved = None

    def request_closed(self, pending: PendingRequest) -> None:
        """The slot of a request that is over is free again."""
        self.slots.release(pending.request.id)

    def customers_forgotten(self, keys: list[int]) -> None:
        """Leases end by themselves."""

    def ceiling_part(self, now: int, customer: Customer, plan: CustomerPlan) -> float:
        """All of it where the quota alone holds it; else an even part, whoever is heard."""
        return 1.0 if self.covered[customer.plan] else 1 / customer.spread

    def on_customer_met(self, customer: Customer) -> None:
        """The first request of a customer: its ceiling is full where the quota alone holds it."""
        if self.covered[customer.plan]:
            customer.ceiling = self.settings.plans[customer.plan].ceiling_burst

    def own_level(self, customer: Customer) -> float | None:
        """The level that is reported is what this gateway's own part holds: a hint for those that borrow."""
        account = self.leases.accounts.get(customer.key)
        return None if account is None else account.own_units

    def on_gossip_received(self, now: int, event: GossipReceived) -> None:
        """Levels of peers are hints, from whom to borrow."""
        for usage in event.usages:
            account = self.leases.accounts.get(usage.customer)
            if account is not None and event.sender < self.settings.gateway_count:
                self.leases.lessee.note_available(now, account, event.sender, usage.level)

    # ---- suspicion of endpoints

    def record_sample(self, now: int, endpoint_hash: int, group: int, error: float, weight: float) -> None:
        """An own sample; it is reported with its origin."""
        of_class = group == ALL_CLASSES or group < len(self.settings.classes)
        unreachable = error >= DEAD_SCORE and of_class
        self.failure_detector.record_attempt(
            now, endpoint_hash, group, error, weight, unreachable=unreachable
        )

    def score(self, endpoint: Endpoint, class_index: int, pair: int) -> float | None:
        """The score of an endpoint by the reports of others."""
        reported = self.suspected.get(endpoint.hash)
        if reported is None:
            return None
        return max(reported.get(group, 0.0) for group in (class_index, pair, ALL_CLASSES))

    # ---- budgets

    def launched(self, attempt: Attempt) -> None:
        """Counts the units in flight."""
        self.units_in_flight += attempt.units

    def settled(self, attempt: Attempt, *, last: bool) -> None:
        """Counts the units in flight; without any attempt there are none."""
        self.units_in_flight = 0.0 if last else max(0.0, self.units_in_flight - attempt.units)

    def choose(self, now: int, pending: PendingRequest) -> Endpoint | None:
        """No attempt beyond this gateway's part of what all may have in flight."""
        most = max(
            self.budget.limit_units(len(self.parts.endpoints.ready) * self._dilution()),
            self.settings.max_request_units,
        )
        if self.units_in_flight + pending.request.units > most:
            return None
        return self._choose(now, pending)

    def on_limit_updated(self, _: int) -> None:
        """The limit rises no further than this gateway's part of what all may have in flight."""
        limit = self.parts.limit
        if limit.limit < math.inf:
            limit.limit = min(limit.limit, self.budget.limit_units(self._dilution()))

    def _dilution(self) -> float:
        """Endpoints of the whole table for each one that this gateway uses."""
        dilution = self.parts.capacity.dilution
        return 1.0 if dilution is None else dilution


def _is_row(row: Iterable[int], query: LeaseRequest | SlotRequest) -> bool:
    """The gateways of an account are those that a query names."""
    members = list(row)
    return len(members) == query.set_size and members[0] == query.first_gateway
