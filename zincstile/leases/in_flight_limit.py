"""Keeps this gateway's units in flight within its part of the concurrency budget."""

from __future__ import annotations

import math

from ..decisions.endpoints import Endpoint
from ..decisions.load_balancing import EndpointChooser
from ..decisions.policy import Policy
from ..decisions.records import Attempt, PendingRequest
from .concurrency_budget import ConcurrencyBudget


class InFlightLimit:
    """Counts units in flight, and keeps attempts and the concurrency limit within the budget."""

    def __init__(self, budget: ConcurrencyBudget) -> None:
        """Starts with no units in flight."""
        self.budget = budget
        self.units_in_flight = 0.0

    def attach(self, policy: Policy) -> None:
        """Wraps the policy's choice of an endpoint, and observes its attempts."""
        self.parts = policy.parts
        self._choose_endpoint: EndpointChooser = self.parts.admission.choose
        self.parts.admission.choose = self.choose
        self.parts.attempts.observer = self
        policy.ticker.limit_listeners.append(self.on_limit_updated)

    def launched(self, attempt: Attempt) -> None:
        """Adds the units of an attempt that is being sent."""
        self.units_in_flight += attempt.units

    def settled(self, attempt: Attempt, *, last: bool) -> None:
        """Subtracts the units of an attempt that has ended; after the `last` one none are in flight."""
        self.units_in_flight = 0.0 if last else max(0.0, self.units_in_flight - attempt.units)

    def choose(self, now: int, pending: PendingRequest) -> Endpoint | None:
        """Returns the endpoint of the next attempt; None if it would exceed this gateway's part."""
        ready = len(self.parts.endpoints.ready) * self._dilution()
        limit_units = max(self.budget.limit_units(ready), self.parts.settings.max_request_units)
        if self.units_in_flight + pending.request.units > limit_units:
            return None
        return self._choose_endpoint(now, pending)

    def on_limit_updated(self, _: int) -> None:
        """Caps the concurrency limit at this gateway's part."""
        limit = self.parts.limit
        if limit.limit < math.inf:
            limit.limit = min(limit.limit, self.budget.limit_units(self._dilution()))

    def _dilution(self) -> float:
        """Returns the ratio of all endpoints to those that this gateway uses."""
        dilution = self.parts.capacity.subset_ratio
        return 1.0 if dilution is None else dilution
