"""Counts the healthy endpoints, in equivalents of a warm one, and classifies endpoints as warm or warming."""

from __future__ import annotations

import math
from collections.abc import Callable

from .budget_split import BudgetTree
from .concurrency_limit import ConcurrencyLimit
from .endpoints import Endpoint, EndpointRegistry
from .outlier_detection import OUTLIER_SCORE, OutlierDetector
from .settings import Settings
from .slow_start import SlowStart
from .units import SECOND_NS


class Capacity:
    """Owns the number of healthy endpoints. An outlier counts only for the request classes it serves well."""

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointRegistry,
        detector: OutlierDetector,
        limit: ConcurrencyLimit,
        budget: BudgetTree,
        slow_start: SlowStart,
    ) -> None:
        """Starts from one healthy endpoint and the configured number of gateways."""
        self.settings = settings
        self.endpoints = endpoints
        self.detector = detector
        self.limit = limit
        self.budget = budget
        self.slow_start = slow_start
        self.healthy_endpoints = 1.0  # in equivalents of a warm endpoint
        self.working_endpoints = 1.0  # endpoints that contributed to the recently completed work
        self.fleet_gateways: float = settings.gateway_count  # gateways that share the whole capacity
        # Ready endpoints per endpoint that this gateway uses; set by the subsetting feature.
        self.subset_ratio: float | None = None
        # Called after each classification; set by the zone failover feature.
        self.on_classified: Callable[[int], None] | None = None

    def warmth(self, now: int, endpoint: Endpoint) -> float:
        """Returns how far an endpoint is warmed up, above 0 and at most 1."""
        return self.slow_start.warmth(now, endpoint.entry.started_ns)

    @property
    def sharing_gateways(self) -> float:
        """Number of gateways that share the capacity of one endpoint; with subsets, fewer than all."""
        if self.subset_ratio is None:
            return self.fleet_gateways
        return max(1.0, self.fleet_gateways / self.subset_ratio)

    def decay(self, span_s: float) -> None:
        """Lowers `working_endpoints` towards the number of healthy endpoints.

        Draining and removed endpoints may complete requests until the longest deadline has passed. Counting
        them keeps their work from being attributed to the remaining endpoints.
        """
        keep = math.exp(-span_s * SECOND_NS / self.settings.max_deadline_ns)
        self.working_endpoints = max(self.healthy_endpoints, self.working_endpoints * keep)

    def classify_if_due(self, now: int) -> None:
        """Classifies the endpoints again if the endpoint list has changed since the last classification."""
        if self.endpoints.classification_due:
            self.endpoints.classification_due = False
            self.classify(now)

    def classify(self, now: int) -> None:
        """Separates warm from warming endpoints, counts the healthy ones and updates the slow start shares.

        An endpoint counts only for the classes in which it is not an outlier, so that the others are not
        overloaded while some are congested or hang. The cost is idle capacity where scores are wrong.
        """
        warmths = [self.warmth(now, endpoint) for endpoint in self.endpoints.warming]
        self.endpoints.promote(warmths)
        sent_by_class = self.budget.sent_by_class()
        lost_units = sum(
            self.warmth(now, endpoint) * units
            for endpoint in self.endpoints.tracked.values()
            if endpoint.ready_list is not None
            for index, units in enumerate(sent_by_class)
            if self.detector.class_excess_score(endpoint, index) >= OUTLIER_SCORE
        )
        self.healthy_endpoints = max(
            1.0, len(self.endpoints.warm) + sum(warmths) - lost_units / sum(sent_by_class)
        )
        completed_per_endpoint = self.limit.completed_per_s / max(
            self.healthy_endpoints, self.working_endpoints
        )
        self.slow_start.update(
            warmths, self.healthy_endpoints, completed_per_endpoint, self.budget.admitted_per_s()
        )
        if self.on_classified is not None:
            self.on_classified(now)
