"""Deferred admission: a request may wait some tens of milliseconds for the units of its quota.

A `UnitSource` holds the units that this gateway may use: those leased from a quota service (`quota_service`)
or from other gateways (`leases`). `DeferredQuotas` is the `QuotaSource` that has requests wait for them.
Requests of plans without a quota rate don't wait.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from .messages import Request
from .parts import DecisionParts
from .records import Customer, PendingRequest
from .settings import CustomerPlan
from .timers import QUOTA_TIMER, TIMER_KINDS


class Reservation(Enum):
    """The result of reserving a request's units."""

    RESERVED = "the units were available and are reserved"
    PENDING = "the units are not available yet; an answer may bring them"
    REFUSED = "the request is over the quota"


class UnitSource(Protocol):
    """Holds the units that this gateway may use, by customer."""

    def reserve(self, now: int, pending: PendingRequest, *, waited: bool) -> Reservation:
        """Reserves the units of a request. `waited`: the request has waited for them already."""

    def release(self, now: int, customer: Customer, units: float) -> None:
        """Returns reserved units that were not used; below 0, takes units that were used in addition."""

    def flush(self, now: int) -> None:
        """Sends the messages that are due, after one or more reservations."""

    def decided(self, pending: PendingRequest) -> None:
        """Called when a request was admitted or rejected."""

    def request_closed(self, pending: PendingRequest) -> None:
        """Called when a request is over."""

    def customers_forgotten(self, keys: list[int]) -> None:
        """Called when the records of these customers, which were idle, are dropped."""

    def ceiling_part(self, now: int, customer: Customer, plan: CustomerPlan) -> float:
        """Returns this gateway's share of the customer's ceiling."""


class DeferredQuotas:
    """Owns the requests that wait for their units.

    `wait_ns`: the longest that a request waits. `reports_usage`: whether sent units are reported to the
    peers, for the ceilings and relays. `limits_in_flight`: whether the plan's limit on attempts in flight is
    enforced by the peers' reports.
    """

    def __init__(
        self,
        parts: DecisionParts,
        source: UnitSource,
        wait_ns: int,
        *,
        reports_usage: bool,
        limits_in_flight: bool,
    ) -> None:
        """Stores the parts that it uses."""
        self.parts = parts
        self.source = source
        self.wait_ns = wait_ns
        self.reports_usage = reports_usage
        self.limits_in_flight = limits_in_flight
        self.waiting: dict[int, dict[int, PendingRequest]] = {}  # by customer, then by request

    # ---- implementation of `QuotaSource`

    def request_units(self, now: int, pending: PendingRequest) -> None:
        """Admits or rejects a request, or has it wait for its units."""
        if not pending.plan.rate:
            self.parts.relayed_quotas.request_units(now, pending)
            return
        self.parts.ledger.refill(now, pending.customer)
        if self._at_max_in_flight(pending):
            self._decide(now, pending, inside_quota=False)
        else:
            self._reserve(now, pending)
        self.source.flush(now)

    def timer_fired(self, now: int, request_id: int, pending: PendingRequest | None) -> None:
        """Admits or rejects a request whose wait has ended."""
        self.parts.relayed_quotas.forget_query(request_id)
        if pending is not None and pending.group is None:
            self.request_units(now, pending)

    def spend(self, now: int, customer: Customer, units: float) -> None:
        """Records units that were sent, or (below 0) returned."""
        self._report(now, customer, units)
        if units:
            self.source.release(now, customer, -units)

    def ceiling_part(self, now: int, customer: Customer, plan: CustomerPlan) -> float:
        """Returns this gateway's share of the customer's ceiling."""
        return self.source.ceiling_part(now, customer, plan)

    def request_closed(self, pending: PendingRequest) -> None:
        """Ends the wait of a request that is over."""
        self._stop_waiting(pending)
        self.source.request_closed(pending)

    def customers_forgotten(self, keys: list[int]) -> None:
        """Called when the records of these customers, which were idle, are dropped."""
        self.source.customers_forgotten(keys)

    # ---- waiting

    def retry_waiting(self, now: int, keys: list[int]) -> None:
        """Tries the waiting requests of these customers again, in order, as units may have arrived."""
        for key in keys:
            for pending in list(self.waiting.get(key, {}).values()):
                if pending.request.id in self.parts.requests.pending and pending.group is None:
                    self.request_units(now, pending)

    def _reserve(self, now: int, pending: PendingRequest) -> None:
        request = pending.request
        customer = pending.customer
        waited = request.id in self.waiting.get(customer.key, {})
        reservation = self.source.reserve(now, pending, waited=waited)
        if reservation is Reservation.RESERVED:
            self._report(now, customer, request.units)
            self._decide(now, pending, inside_quota=True)
        elif reservation is Reservation.PENDING and now - pending.arrived_ns < self.wait_ns:
            if not waited:
                self._wait(pending, request)
        else:
            self._decide(now, pending, inside_quota=False)

    def _wait(self, pending: PendingRequest, request: Request) -> None:
        self.waiting.setdefault(pending.customer.key, {})[request.id] = pending
        token = request.id * TIMER_KINDS + QUOTA_TIMER
        self.parts.actions.set_timer(pending.arrived_ns + self.wait_ns, token)

    def _stop_waiting(self, pending: PendingRequest) -> None:
        waiting = self.waiting.get(pending.customer.key)
        if waiting is not None:
            waiting.pop(pending.request.id, None)
            if not waiting:
                del self.waiting[pending.customer.key]

    def _decide(self, now: int, pending: PendingRequest, *, inside_quota: bool) -> None:
        self._stop_waiting(pending)
        self.parts.admission.decide(now, pending, inside_quota, counted=inside_quota)
        self.source.decided(pending)

    def _report(self, now: int, customer: Customer, units: float) -> None:
        if self.reports_usage:
            self.parts.gossip.spend(now, customer, units)

    def _at_max_in_flight(self, pending: PendingRequest) -> bool:
        if not self.limits_in_flight or not pending.plan.max_in_flight:
            return False
        return self.parts.ledger.at_max_in_flight(pending.customer, pending.plan)
