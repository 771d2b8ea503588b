"""Estimates that gateways exchange: a list of numbers in the queries to relays and in their answers.

In order: the lateness of answers and their number, the lateness of timeouts and their number, units in
flight, units completed per second, the error rates of kept and of new connections, the concurrency limit (0
if there is none), the seconds that a unit takes in each class, and, while the budget limits admission, the
arrivals of each traffic group.
"""

from __future__ import annotations

import math
from typing import Final

from .budget_split import BudgetTree
from .concurrency_limit import BUSY_THRESHOLD, INITIAL_IN_FLIGHT, MAX_LATENESS, ConcurrencyLimit
from .latency import MAX_PEER_RATIO, LatencyModel
from .outlier_detection import OutlierDetector
from .units import SECOND_NS

LIMIT_INDEX: Final = 8  # index of the concurrency limit; the seconds per unit follow it
PEER_WEIGHT: Final = 0.5  # weight of a peer's values in the mean with this gateway's own
MAX_PEER_SAMPLES: Final = 1000.0  # of a peer's answers or timeouts
MIN_COMPARED_ARRIVALS: Final = 1.0  # units per second; a lower own rate of arrivals is compared as this one


class FleetEstimates:
    """Reads the estimates of this gateway and averages them with those of a peer."""

    def __init__(
        self, limit: ConcurrencyLimit, latency: LatencyModel, detector: OutlierDetector, budget: BudgetTree
    ) -> None:
        """Takes the owners of the estimates."""
        self.limit = limit
        self.latency = latency
        self.detector = detector
        self.budget = budget

    def own_values(self) -> list[float]:
        """Returns the estimates of this gateway, in the order given above."""
        limit = self.limit
        arrivals = [group.arrival_rate for group in self.budget.groups] if self.budget.is_limiting else []
        return [
            limit.answer_lateness,
            limit.answers,
            limit.timeout_lateness,
            limit.timeouts,
            limit.units_in_flight,
            limit.completed_per_s,
            *self.detector.connection_errors[:2],
            0.0 if limit.limit == math.inf else limit.limit,
            *(unit_ns / SECOND_NS for unit_ns in self.latency.unit_ns),
            *arrivals,
        ]

    def blend(self, peer_values: list[float]) -> None:
        """Replaces each estimate by the mean of this gateway's and a peer's value.

        Sparse samples of many gateways so converge to common estimates within a few exchanges. A list that is
        too short or has invalid values is ignored.
        """
        own = self.own_values()
        peer_values = list(peer_values)
        min_length = LIMIT_INDEX + 1 + len(self.latency.unit_ns)
        if len(peer_values) < min_length or not all(math.isfinite(x) and x >= 0 for x in peer_values):
            return
        self._bound(peer_values)
        mean = [(1 - PEER_WEIGHT) * a + PEER_WEIGHT * b for a, b in zip(own, peer_values, strict=False)]
        if self.limit.limit == math.inf or not peer_values[LIMIT_INDEX]:
            # A gateway adopts its first limit from a peer only if it observes overload itself.
            overloaded = self.limit.overload_signal > BUSY_THRESHOLD
            mean[LIMIT_INDEX] = peer_values[LIMIT_INDEX] * overloaded or own[LIMIT_INDEX]
        self._store(mean)

    def _bound(self, peer_values: list[float]) -> None:
        """Limits a peer's values to what is plausible beside this gateway's own measurements.

        An estimate that has run away at one gateway would otherwise spread to all others with each exchange.
        """
        limit = self.limit
        for count_index in (1, 3):
            count = min(peer_values[count_index], MAX_PEER_SAMPLES)
            peer_values[count_index] = count
            peer_values[count_index - 1] = min(peer_values[count_index - 1], MAX_LATENESS * count)
        typical_units = INITIAL_IN_FLIGHT * limit.mean_units
        for index, own in ((4, limit.own_units_in_flight), (5, limit.own_completed_per_s)):
            peer_values[index] = min(peer_values[index], MAX_PEER_RATIO * max(own, typical_units))
        for index in (6, 7):
            peer_values[index] = min(peer_values[index], 1.0)  # an error rate

    def _store(self, values: list[float]) -> None:
        """Stores the estimates.

        The sample counts of the latency model stay as they are: values of peers are no samples, and must not
        end the learning of the unloaded latency.
        """
        limit = self.limit
        (
            limit.answer_lateness,
            limit.answers,
            limit.timeout_lateness,
            limit.timeouts,
            limit.units_in_flight,
            limit.completed_per_s,
        ) = values[:6]
        self.detector.connection_errors[:2] = values[6:LIMIT_INDEX]
        limit.limit = values[LIMIT_INDEX] or limit.limit
        arrivals_index = LIMIT_INDEX + 1 + len(self.latency.unit_ns)
        unit_s = values[LIMIT_INDEX + 1 : arrivals_index]
        self.latency.adopt([seconds * SECOND_NS for seconds in unit_s])
        for group, arrivals in zip(self.budget.groups, values[arrivals_index:], strict=False):
            own_arrivals = max(group.own_arrival_rate, MIN_COMPARED_ARRIVALS)
            group.arrival_rate = min(arrivals, MAX_PEER_RATIO * own_arrivals)
