"""Reserves units and slots for requests, from this gateway's accounts and leases."""

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

IDLE_SWEEP_INTERVAL_NS: Final = SECOND_NS  # between searches for idle accounts, which scan all of them
IDLE_ACCOUNT_NS: Final = 15 * SECOND_NS  # an account that was not used for this long may be dropped
NO_RESEND_NS: Final = -1  # no resend is scheduled


class LeasedUnits:
    """The `UnitSource` of the leases: owns the accounts of units (`leases`) and of slots (`slots`).

    It also sends the messages of both. `leases` is set by `start`; `started` is True after that.
    """

    leases: LeaseManager

    def __init__(
        self, settings: Settings, lease_settings: LeaseSettings, process: int, rng: random.Random
    ) -> None:
        """Stores settings and `process`, a number that no other process of this gateway has used."""
        self.settings = settings
        self.lease_settings = lease_settings
        self.process = process
        self.rng = rng
        self.started = False
        self.slots = SlotManager(
            lease_settings, settings.gateway_index, process, settings.max_deadline_ns, rng
        )
        self.quotas: dict[tuple[int, int], Quota] = {}  # by plan and spread
        self.covered_plans = covered_plans(settings, lease_settings)
        # account from which units were reserved for the request that is being decided
        self.reserved_account: QuotaAccount | None = None
        self.resend_due_ns = NO_RESEND_NS  # next time to check which requests have to be sent again
        self._last_idle_sweep_ns = 0

    def attach(self, parts: DecisionParts) -> None:
        """Stores the parts of the policy, and registers the callbacks of its gossip and quotas."""
        self.parts = parts
        parts.gossip.reported_level = self.own_units
        parts.ledger.on_first_request = self.on_customer_met
        parts.gossip_receiver.on_received = self.on_gossip_received

    def start(self, now: int) -> None:
        """Creates the lease manager; token buckets fill from now on."""
        self.leases = LeaseManager(
            self.lease_settings, self.settings.gateway_index, self.process, now, self.rng
        )
        self.started = True

    # ---- time and messages

    def tick(self, now: int) -> None:
        """Expires requests and leases of units and slots."""
        self.leases.tick(now)
        self.slots.tick(now)

    def drop_idle_accounts(self, now: int) -> None:
        """Drops idle accounts, if the last sweep was long enough ago."""
        if now - self._last_idle_sweep_ns >= IDLE_SWEEP_INTERVAL_NS:
            self._last_idle_sweep_ns = now
            self.leases.drop_idle_accounts(now, IDLE_ACCOUNT_NS)

    def flush(self, now: int) -> None:
        """Sends the queued messages of leases and slots, and resends unanswered requests that are due."""
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
        """Resends unanswered requests; returns the customers whose lessors are late to answer."""
        self.resend_due_ns = NO_RESEND_NS
        self.flush(now)
        return self.leases.lessee.drain_late_customers()

    # ---- accounts

    def quota_account(self, now: int, customer: int, plan: int, spread: int, first: int) -> QuotaAccount:
        """Returns a customer's account of units; its gateways are `spread` ones starting with `first`."""
        return self.leases.account(
            now, customer, plan, self._quota(plan, spread), self._gateway_set(spread, first)
        )

    def slot_account(self, customer: int, plan: int, spread: int, first: int) -> SlotAccount | None:
        """Returns a customer's account of slots; None if the plan does not limit attempts in flight."""
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
        """Returns the gateways that serve a customer."""
        return tuple((first + offset) % self.settings.gateway_count for offset in range(spread))

    # ---- the unit source

    def reserve(self, now: int, pending: PendingRequest, *, waited: bool) -> Reservation:
        """Reserves units and, if the plan limits attempts in flight, a slot: either both or nothing."""
        request = pending.request
        customer = pending.customer
        first = request.first_gateway % self.settings.gateway_count
        slots = self.slot_account(customer.key, customer.plan, customer.gateway_set_size, first)
        if slots is not None and not self.slots.has_free_slot(slots, request.deadline_ns):
            return Reservation.PENDING if self.slots.request_slot(now, slots) else Reservation.REFUSED
        account = self.quota_account(now, customer.key, customer.plan, customer.gateway_set_size, first)
        if self.leases.reserve(now, account, request.units):
            self.reserved_account = account
            if slots is not None:
                self.slots.acquire(slots, request.id, request.deadline_ns)
            self.leases.lessee.request_ahead(now, account)
            return Reservation.RESERVED
        group = self.parts.budget.inside_quota[request.class_index][request.plan]
        over_budget = (
            pending.admission_draw >= group.admission_rate
        )  # the request is rejected even if it gets the units
        if not over_budget and self.leases.lessee.request_missing(now, account, request.units):
            return Reservation.PENDING
        return Reservation.REFUSED

    def release(self, now: int, customer: Customer, units: float) -> None:
        """Puts reserved units back; a negative number takes more out."""
        if self.reserved_account is not None:  # the request was rejected in the batch that reserved them
            self.leases.cancel_reservation(now, self.reserved_account)
            self.reserved_account = None
        elif customer.key in self.leases.accounts:
            self.leases.charge(now, self.leases.accounts[customer.key], -units)

    def decided(self, pending: PendingRequest) -> None:
        """Makes the reservation final."""
        self.reserved_account = None

    def request_closed(self, pending: PendingRequest) -> None:
        """Frees the slot of a request that is over."""
        self.slots.release(pending.request.id)

    def customers_forgotten(self, keys: list[int]) -> None:
        """Does nothing: leases expire, and idle accounts are dropped by `drop_idle_accounts`."""

    def ceiling_part(self, now: int, customer: Customer, plan: CustomerPlan) -> float:
        """Returns the whole ceiling if the quota alone enforces it, else an equal part for each gateway."""
        return 1.0 if self.covered_plans[customer.plan] else 1 / customer.gateway_set_size

    # ---- gossip

    def on_customer_met(self, customer: Customer) -> None:
        """Handles a customer's first request: fills its ceiling if the quota alone enforces it."""
        if self.covered_plans[customer.plan]:
            customer.ceiling_level = self.settings.plans[customer.plan].ceiling_burst

    def own_units(self, customer: Customer) -> float | None:
        """Returns a customer's units in this gateway's part, which gossip reports to possible lessees."""
        account = self.leases.accounts.get(customer.key)
        return None if account is None else account.own_units

    def on_gossip_received(self, now: int, event: GossipReceived) -> None:
        """Records the units that a peer reports in its parts, as units may be leased from there."""
        for usage in event.usages:
            account = self.leases.accounts.get(usage.customer)
            if account is not None and event.sender < self.settings.gateway_count:
                self.leases.lessee.record_availability(now, account, event.sender, usage.level)
