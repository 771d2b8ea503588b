"""Capacity: how many healthy endpoints there are, in warm ones, and which of them are warm."""

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
    """Owner of the number of healthy endpoints. Outliers count for the part of the work that they can do."""

    def __init__(
        self,
        settings: Settings,
        endpoints: EndpointRegistry,
        detector: OutlierDetector,
        limit: ConcurrencyLimit,
        budget: BudgetTree,
        slow_start: SlowStart,
    ) -> None:
        """Takes the parts that it works with."""
        self.settings = settings
        self.endpoints = endpoints
        self.detector = detector
        self.limit = limit
        self.budget = budget
        self.slow_start = slow_start
        self.healthy_endpoints = 1.0  # endpoints, in warm ones
        self.working_endpoints = 1.0  # endpoints that the recent completed work is of
        self.fleet_gateways: float = settings.gateway_count  # among which the capacity is shared out
        self.subset_ratio: float | None = None  # subsetting: endpoints of the table for each one that is used
        # zone failover: called after each classification
        self.on_classified: Callable[[int], None] | None = None

    def warmth(self, now: int, endpoint: Endpoint) -> float:
        """How far an endpoint is warmed up, above 0 to 1."""
        return self.slow_start.warmth(now, endpoint.entry.started_ns)

    @property
    def gateways_per_endpoint(self) -> float:
        """Among how many gateways the endpoints' capacity is shared out: fewer use each of a subset."""
        if self.subset_ratio is None:
            return self.fleet_gateways
        return max(1.0, self.fleet_gateways / self.subset_ratio)

    def decay(self, span_s: float) -> None:
        """Draining endpoints, and what waited at any that were removed, are done with up to the longest
        deadline later: what they do is no work of those that are left."""
        keep = math.exp(-span_s * SECOND_NS / self.settings.max_deadline_ns)
        self.working_endpoints = max(self.healthy_endpoints, self.working_endpoints * keep)

    def classify_if_due(self, now: int) -> None:
        """Nothing is decided on a list that has changed since warm and warming ones were classified."""
        if self.endpoints.classification_due:
            self.endpoints.classification_due = False
            self.classify(now)

    def classify(self, now: int) -> None:
        """Tells warm and warming endpoints apart, counts the healthy ones, and takes the shares anew.

        An endpoint counts for the classes in which it is no outlier, so that the others are not overfilled
        where some jam or hang. It may harm where scores are wrong and capacity lies idle.
        """
        warmths = [self.warmth(now, endpoint) for endpoint in self.endpoints.warming]
        self.endpoints.promote(warmths)
        sent = self.budget.sent_by_class()
        lost = sum(
            self.warmth(now, endpoint) * units
            for endpoint in self.endpoints.tracked.values()
            if endpoint.ready_list is not None
            for index, units in enumerate(sent)
            if self.detector.class_excess_score(endpoint, index) >= OUTLIER_SCORE
        )
        self.healthy_endpoints = max(1.0, len(self.endpoints.warm) + sum(warmths) - lost / sum(sent))
        worked_per_s = self.limit.completed_per_s / max(self.healthy_endpoints, self.working_endpoints)
        self.slow_start.update(warmths, self.healthy_endpoints, worked_per_s, self.budget.admitted_per_s())
        if self.on_classified is not None:
            self.on_classified(now)
