"""Probes the endpoints while the budget rejects everything, so that no wrong estimate can do so for ever.

Estimates are learned from requests that were served. A budget that admits none would therefore never be
corrected. If nothing is in flight and nothing was sent for a while, one request is admitted all the same.

The while is the shortest latency objective, times the gateways that share an endpoint where these are more
than one: all gateways together send each endpoint at most one such request in that time. It doubles with each
probe that is not served within its objective, up to the longest deadline times the same number, so that an
overloaded endpoint has at most one probe of the fleet to serve.
"""

from __future__ import annotations

from typing import Final

from .capacity import Capacity
from .latency import LatencyModel
from .messages import AttemptOutcome, AttemptResult
from .records import PendingRequest
from .requests import AttemptTable
from .settings import Settings

BACKOFF: Final = 2.0  # factor of the interval after a probe that failed


class BudgetProbe:
    """Owns the interval between probes of this gateway."""

    def __init__(
        self, settings: Settings, attempts: AttemptTable, capacity: Capacity, latency: LatencyModel
    ) -> None:
        """Derives the shortest and the longest interval from the classes."""
        self._attempts = attempts
        self._capacity = capacity
        self._latency = latency
        self._min_interval_ns = float(min(c.latency_objective_ns for c in settings.classes))
        self._max_interval_ns = max(self._min_interval_ns, settings.max_deadline_ns)
        self._interval_ns = self._min_interval_ns

    def is_due(self, now: int) -> bool:
        """Whether a request that the budget rejects is admitted as a probe."""
        waited_ns = now - self._attempts.last_launched_ns
        if self._attempts.in_flight and waited_ns <= self._max_interval_ns:  # later, its outcome is lost
            return False
        gateways_per_endpoint = self._capacity.sharing_gateways / self._capacity.healthy_endpoints
        return waited_ns >= self._interval_ns * max(1.0, gateways_per_endpoint)

    def on_outcome(self, pending: PendingRequest, outcome: AttemptOutcome) -> None:
        """Handles the outcome of a probe; one that was served in time corrects the latency estimates."""
        objective_ns = pending.request_class.latency_objective_ns
        if outcome.result is AttemptResult.OK and outcome.latency_ns <= objective_ns:
            request = pending.request
            self._latency.relearn(request.class_index, outcome.latency_ns, request.units)
            self._interval_ns = self._min_interval_ns
        else:
            self._interval_ns = min(self._max_interval_ns, self._interval_ns * BACKOFF)
