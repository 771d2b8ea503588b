"""The units and slots of customers at one gateway, reserved for requests from the leases."""

from __future__ import annotations

import random
from typing import Final

from ..decisions.deferred_admission import Reservation
from ..decisions.messages import GossipReceived
from ..decisions.parts import DecisionParts
from ..decisions.quota_bounds import Quota, quota_of_plan
from ..decisions.records import Customer, PendingRequest
from ..decisions.settings import CustomerPlan, Settings
from ..decisions.timers import LEASE_RESEND_TOKEN
from ..decisions.units import SECOND_NS
from .codec import SharedMessage
from .covered_plans import covered_plans
from .events import SendSharedMessages
from .lease_manager import LeaseManager
from .quota_account import QuotaAccount
from .settings import LeaseSettings
from .slots import SlotAccount, SlotManager

FORGET_INTERVAL_NS: Final = SECOND_NS  # between two searches for idle accounts: each looks at all of them
IDLE_ACCOUNT_NS: Final = 15 * SECOND_NS  # an account not used for so long may be forgotten
NOT_DUE_NS: Final = -1  # no resend is due


class LeasedUnits:
    """The `UnitSource` of the leases: owner of the accounts of quotas (`leases`) and of slots (`slots`).

    It sends the messages of both. `leases` is there from `start` on, `started` says so.
    """

    leases: LeaseManager

    def __init__(self, settings: Settings, shared: LeaseSettings, process: int, rng: random.Random) -> None:
        """Takes a number that no other process of this gateway had, and the source of random draws."""
        self.settings = settings
        self.shared = shared
        self.process = process
        self.rng = rng
        self.started = False
        self.slots = SlotManager(shared, settings.gateway_index, process, settings.max_deadline_ns, rng)
        self.quotas: dict[tuple[int, int], Quota] = {}  # by plan and spread
        self.covered_plans = covered_plans(settings, shared)
        self.reserved: QuotaAccount | None = None  # of the request that is decided on just now
        self.resend_due_ns = NOT_DUE_NS  # when requests to lessors are looked at, whether to send them again
        self._forgot_ns = 0  # when idle accounts were searched for last

    def attach(self, parts: DecisionParts) -> None:
        """Takes the parts of the policy, and gives its quotas what it knows of customers."""
        self.parts = parts
        parts.gossip.own_level = self.own_units
        parts.ledger.met = self.on_customer_met
        parts.gossip_receiver.received = self.on_gossip_received

    def start(self, now: int) -> None:
        """Opens the accounts: their token buckets fill from now on."""
        self.leases = LeaseManager(self.shared, self.settings.gateway_index, self.process, now, self.rng)
        self.started = True

    # ---- time and messages

    def tick(self, now: int) -> None:
        """Lets expire what has ended."""
        self.leases.tick(now)
        self.slots.tick(now)

    def forget_idle(self, now: int) -> None:
        """Drops idle accounts, now and then."""
        if now - self._forgot_ns >= FORGET_INTERVAL_NS:
            self._forgot_ns = now
            self.leases.forget_idle(now, IDLE_ACCOUNT_NS)

    def flush(self, now: int) -> None:
        """Sends the messages of leases and slots, and those to lessors again that were not answered."""
        if self.leases.lessee.resendable:
            next_ns = self.leases.lessee.resend(now)
            if next_ns is not None and not now < self.resend_due_ns <= next_ns:
                self.resend_due_ns = next_ns
                self.parts.actions.set_timer(next_ns, LEASE_RESEND_TOKEN)
        by_peer: dict[int, list[SharedMessage]] = {}
        for message in (*self.leases.drain_messages(), *self.slots.drain_messages()):
            by_peer.setdefault(message.recipient, []).append(message)
        if self.settings.gossips:
            self.parts.actions += [
                SendSharedMessages(peer, self.process, messages) for peer, messages in by_peer.items()
            ]

    def on_resend_due(self, now: int) -> list[int]:
        """Sends requests to lessors again; returns the customers whose lessors answer too late."""
        self.resend_due_ns = NOT_DUE_NS
        self.flush(now)
        return self.leases.lessee.drain_late_customers()

    # ---- accounts

    def quota_account(self, now: int, customer: int, plan: int, spread: int, first: int) -> QuotaAccount:
        """Returns a customer's account of units; `first`: the first gateway of its `spread`."""
        return self.leases.account(
            now, customer, plan, self._quota(plan, spread), self._gateway_set(spread, first)
        )

    def slot_account(self, customer: int, plan: int, spread: int, first: int) -> SlotAccount | None:
        """Returns a customer's account of slots; None where the plan does not limit attempts in flight."""
        limit = self.settings.plans[plan].max_in_flight
        if not limit:
            return None
        return self.slots.account(customer, plan, limit, self._gateway_set(spread, first))

    def _quota(self, plan: int, spread: int) -> Quota:
        quota = self.quotas.get((plan, spread))
        if quota is None:
            quota = quota_of_plan(self.settings.plans[plan], spread, self.settings.max_request_units)
            self.quotas[plan, spread] = quota
        return quota

    def _gateway_set(self, spread: int, first: int) -> tuple[int, ...]:
        """The gateways of a customer."""
        return tuple((first + offset) % self.settings.gateway_count for offset in range(spread))

    # ---- the unit source

    def reserve(self, now: int, pending: PendingRequest, *, waited: bool) -> Reservation:
        """Takes units and, where the plan has a limit, a slot; the one is not taken without the other."""
        request = pending.request
        customer = pending.customer
        first = request.first_gateway % self.settings.gateway_count
        slots = self.slot_account(customer.key, customer.plan, customer.gateway_set_size, first)
        if slots is not None and not self.slots.has_free(slots, request.deadline_ns):
            return Reservation.PENDING if self.slots.request_slot(now, slots) else Reservation.REFUSED
        account = self.quota_account(now, customer.key, customer.plan, customer.gateway_set_size, first)
        if self.leases.reserve(now, account, request.units):
            self.reserved = account
            if slots is not None:
                self.slots.acquire(slots, request.id, request.deadline_ns)
            self.leases.lessee.request_ahead(now, account)
            return Reservation.RESERVED
        group = self.parts.budget.inside[request.class_index][request.plan]
        over_budget = pending.admission_draw >= group.admission_rate  # rejected with or without the units
        if not over_budget and self.leases.lessee.request_missing(now, account, request.units):
            return Reservation.PENDING
        return Reservation.REFUSED

    def release(self, now: int, customer: Customer, units: float) -> None:
        """Units come back, or (below 0) go besides."""
        if self.reserved is not None:  # the request was rejected in the batch that reserved them
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
        """Nothing to do: leases end by themselves, and idle accounts are forgotten."""

    def ceiling_part(self, now: int, customer: Customer, plan: CustomerPlan) -> float:
        """All of the ceiling where the quota alone holds it; else an even part, whoever is reached."""
        return 1.0 if self.covered_plans[customer.plan] else 1 / customer.gateway_set_size

    # ---- gossip

    def on_customer_met(self, customer: Customer) -> None:
        """The first request of a customer: its ceiling is full where the quota alone holds it."""
        if self.covered_plans[customer.plan]:
            customer.ceiling_level = self.settings.plans[customer.plan].ceiling_burst

    def own_units(self, customer: Customer) -> float | None:
        """The units that gossip reports of a customer: this gateway's own part, for those that lack some."""
        account = self.leases.accounts.get(customer.key)
        return None if account is None else account.own_units

    def on_gossip_received(self, now: int, event: GossipReceived) -> None:
        """What peers report of their parts says from whom units may be leased."""
        for usage in event.usages:
            account = self.leases.accounts.get(usage.customer)
            if account is not None and event.sender < self.settings.gateway_count:
                self.leases.lessee.note_available(now, account, event.sender, usage.level)
