"""Deferred admission: a request may wait, some tens of milliseconds, until the units of its quota are there.

Who holds quotas elsewhere says by `UnitSource` whether a request's units are in hand: the leases of a quota
service (`quota_service`) and those between gateways (`leases`). `DeferredQuotas` is the `QuotaSource` that
has requests wait for them. Plans without a rate are decided on as ever.
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
    """Of a request's units."""

    RESERVED = "in hand, and taken"
    PENDING = "not there; an answer may bring them"
    REFUSED = "beyond the quota, here and now"


class UnitSource(Protocol):
    """Who has the units of customers."""

    def reserve(self, now: int, pending: PendingRequest, *, waited: bool) -> Reservation:
        """Takes the units of a request, in hand or not; `waited`: it has waited for them."""

    def release(self, now: int, customer: Customer, units: float) -> None:
        """What was taken is not sent, or turned out to be less: units come back (below 0: go besides)."""

    def flush(self, now: int) -> None:
        """Requests were looked at: sends what has to be sent."""

    def decided(self, pending: PendingRequest) -> None:
        """A request that was given units, or none, has been decided on."""

    def request_closed(self, pending: PendingRequest) -> None:
        """A request is over."""

    def customers_forgotten(self, keys: list[int]) -> None:
        """These customers were idle and are dropped."""

    def ceiling_part(self, now: int, customer: Customer, plan: CustomerPlan) -> float:
        """This gateway's part of the customer's ceiling."""


class DeferredQuotas:
    """Owner of the requests that wait for their units.

    `wait_ns`: a request waits so long at most. `reports_usage`: what is sent is reported to the peers, as
    ceilings and relays need it. `limits_in_flight`: the plan's limit on attempts in flight goes by the
    peers' reports.
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
        """Takes the parts that it works with."""
        self.parts = parts
        self.source = source
        self.wait_ns = wait_ns
        self.reports_usage = reports_usage
        self.limits_in_flight = limits_in_flight
        self.waiting: dict[int, dict[int, PendingRequest]] = {}  # by customer, then by request

    # ---- the quota source

    def request_units(self, now: int, pending: PendingRequest) -> None:
        """Decides on a request, or has it wait for its units."""
        if not pending.plan.rate:
            self.parts.relayed.request_units(now, pending)
            return
        self.parts.ledger.refill(now, pending.customer)
        if self._at_max_in_flight(pending):
            self._decide(now, pending, inside_quota=False)
        else:
            self._reserve(now, pending)
        self.source.flush(now)

    def timer_fired(self, now: int, request_id: int, pending: PendingRequest | None) -> None:
        """A request has waited long enough."""
        self.parts.relayed.forget_query(request_id)
        if pending is not None and pending.group is None:
            self.request_units(now, pending)

    def spend(self, now: int, customer: Customer, units: float) -> None:
        """Units were sent, or come back."""
        self._report(now, customer, units)
        if units:
            self.source.release(now, customer, -units)

    def ceiling_part(self, now: int, customer: Customer, plan: CustomerPlan) -> float:
        """This gateway's part of the customer's ceiling."""
        return self.source.ceiling_part(now, customer, plan)

    def request_closed(self, pending: PendingRequest) -> None:
        """A request that is over waits for nothing any more."""
        self._stop_waiting(pending)
        self.source.request_closed(pending)

    def customers_forgotten(self, keys: list[int]) -> None:
        """These customers were idle and are dropped."""
        self.source.customers_forgotten(keys)

    # ---- waiting

    def retry_waiting(self, now: int, keys: list[int]) -> None:
        """Something has come for these customers: their waiting requests are looked at again, in order."""
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
