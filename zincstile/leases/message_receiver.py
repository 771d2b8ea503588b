"""Dispatches messages from peers about leases, slots, suspicions and concurrency budgets."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from ..decisions.settings import Settings
from .concurrency_budget import ConcurrencyBudget, ConcurrencyReport
from .events import SharedMessagesReceived
from .failure_detector import FailureDetector, Suspicion
from .lease_messages import LeaseGrant, LeaseRelease, LeaseRequest
from .leased_units import LeasedUnits
from .slot_messages import SlotGrant, SlotRelease, SlotRequest

# Takes time, event and message; returns the customer for whom units or a slot have arrived.
MessageHandler = Callable[[int, SharedMessagesReceived, Any], int | None]


class MessageReceiver:
    """Passes each message to its handler; counts and drops requests that don't match the settings."""

    def __init__(
        self,
        settings: Settings,
        units: LeasedUnits,
        failure_detector: FailureDetector,
        budget: ConcurrencyBudget,
    ) -> None:
        """Stores the parts that handle the messages."""
        self.settings = settings
        self.units = units
        self.failure_detector = failure_detector
        self.budget = budget
        self.mismatched = 0  # requests that don't match this gateway's settings or accounts
        self.handlers: dict[type, MessageHandler] = {
            LeaseRequest: self._on_lease_request,
            LeaseGrant: self._on_lease_grant,
            LeaseRelease: self._on_lease_release,
            SlotRequest: self._on_slot_request,
            SlotGrant: self._on_slot_grant,
            SlotRelease: self._on_slot_release,
            ConcurrencyReport: self._on_concurrency_report,
            Suspicion: self._on_suspicion,
        }

    def is_from_peer(self, event: SharedMessagesReceived) -> bool:
        """Returns whether the sender is another gateway of this fleet."""
        return 0 <= event.sender < self.settings.gateway_count and event.sender != self.settings.gateway_index

    def receive(self, now: int, event: SharedMessagesReceived) -> list[int]:
        """Handles messages; returns the customers for whom units or slots have arrived, each once."""
        customers: dict[int, None] = {}
        for message in event.messages:
            customer = self.handlers[type(message)](now, event, message)
            if customer is not None:
                customers[customer] = None
        return list(customers)

    # ---- units

    def _on_lease_request(self, now: int, event: SharedMessagesReceived, request: LeaseRequest) -> None:
        if not self._is_valid(request):
            self.mismatched += 1
            return
        account = self.units.quota_account(
            now, request.customer, request.plan, request.set_size, request.first_gateway
        )
        if account.plan != request.plan or not _is_set_of(account.gateways, request):
            self.mismatched += 1  # the customer's account has other gateways or another plan; it is kept
            return
        self.units.leases.lessor.on_request(now, event.sender, event.process, request, account)

    def _on_lease_grant(self, now: int, event: SharedMessagesReceived, grant: LeaseGrant) -> int | None:
        account = self.units.leases.lessee.on_grant(now, event.sender, event.process, grant)
        return None if account is None else account.customer

    def _on_lease_release(self, now: int, event: SharedMessagesReceived, release: LeaseRelease) -> None:
        self.units.leases.lessor.on_release(now, event.sender, event.process, release)

    # ---- slots

    def _on_slot_request(self, now: int, event: SharedMessagesReceived, request: SlotRequest) -> None:
        slots = None
        if self._is_valid(request):
            slots = self.units.slot_account(
                request.customer, request.plan, request.set_size, request.first_gateway
            )
        if slots is None or not _is_set_of(slots.gateways, request):
            self.mismatched += 1
            return
        self.units.slots.on_request(now, event.sender, event.process, request, slots)

    def _on_slot_grant(self, now: int, event: SharedMessagesReceived, grant: SlotGrant) -> int | None:
        granted = self.units.slots.on_grant(now, event.sender, event.process, grant)
        return grant.customer if granted else None

    def _on_slot_release(self, _: int, event: SharedMessagesReceived, release: SlotRelease) -> None:
        self.units.slots.on_release(event.sender, event.process, release)

    # ---- reports

    def _on_concurrency_report(self, now: int, _: SharedMessagesReceived, report: ConcurrencyReport) -> None:
        self.budget.merge(now, report)

    def _on_suspicion(self, now: int, event: SharedMessagesReceived, suspicion: Suspicion) -> None:
        if suspicion.origin == event.sender:
            self.failure_detector.record_observer(now, event.sender, suspicion.zone)
        self.failure_detector.merge(now, suspicion)

    def _is_valid(self, request: LeaseRequest | SlotRequest) -> bool:
        """Returns whether the plan has a quota and the gateways belong to this fleet."""
        settings = self.settings
        return (
            request.plan < len(settings.plans)
            and bool(settings.plans[request.plan].rate)
            and 1 <= request.set_size <= settings.gateway_count
            and request.first_gateway < settings.gateway_count
        )


def _is_set_of(gateways: Iterable[int], request: LeaseRequest | SlotRequest) -> bool:
    """Returns whether an account's gateways are those that the request names."""
    members = list(gateways)
    return len(members) == request.set_size and members[0] == request.first_gateway
