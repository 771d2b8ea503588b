"""Estimates that gateways share: a row of figures in queries of relays and their answers.

The row: answer lateness and its number, timeout lateness and its number, units in flight, units completed a
second, error rates of kept and new connections, the concurrency limit (0: none), seconds that a unit takes by
class, and, where the budget binds, the arrivals of each group.
"""

from __future__ import annotations

import math
from typing import Final

from .budget_split import BudgetTree
from .concurrency_limit import BUSY_THRESHOLD, ConcurrencyLimit
from .latency import LatencyModel
from .outlier_detection import OutlierDetector
from .units import SECOND_NS

LIMIT_INDEX: Final = 8  # place of the concurrency limit; the times per unit follow it
PEER_WEIGHT: Final = 0.5  # what a peer's figures weigh beside the own ones


class FleetEstimates:
    """The row of figures of this gateway, and how one of a peer is blended in."""

    def __init__(
        self, limit: ConcurrencyLimit, latency: LatencyModel, detector: OutlierDetector, budget: BudgetTree
    ) -> None:
        """Takes the parts that it works with."""
        self.limit = limit
        self.latency = latency
        self.detector = detector
        self.budget = budget

    def own_values(self) -> list[float]:
        """The own row."""
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

    def blend(self, received: list[float]) -> None:
        """A peer's row weighs as the own one: sparse samples of all become one figure in a few exchanges."""
        own = self.own_values()
        required = LIMIT_INDEX + 1 + len(self.latency.unit_ns)
        if len(received) < required or not all(math.isfinite(x) and x >= 0 for x in received):
            return
        mean = [(1 - PEER_WEIGHT) * a + PEER_WEIGHT * b for a, b in zip(own, received, strict=False)]
        if self.limit.limit == math.inf or not received[LIMIT_INDEX]:
            # only who sees overload too takes over a first limit
            overloaded = self.limit.overload_signal > BUSY_THRESHOLD
            mean[LIMIT_INDEX] = received[LIMIT_INDEX] * overloaded or own[LIMIT_INDEX]
        self._take(mean)

    def _take(self, figures: list[float]) -> None:
        """Figures of peers are no answers: they don't end the learning of the calm latency."""
        limit = self.limit
        (
            limit.answer_lateness,
            limit.answers,
            limit.timeout_lateness,
            limit.timeouts,
            limit.units_in_flight,
            limit.completed_per_s,
        ) = figures[:6]
        self.detector.connection_errors[:2] = figures[6:LIMIT_INDEX]
        limit.limit = figures[LIMIT_INDEX] or limit.limit
        groups_from = LIMIT_INDEX + 1 + len(self.latency.unit_ns)
        unit_s = figures[LIMIT_INDEX + 1 : groups_from]
        self.latency.unit_ns = [max(1.0, seconds * SECOND_NS) for seconds in unit_s]
        for group, arrivals in zip(self.budget.groups, figures[groups_from:], strict=False):
            group.arrival_rate = arrivals
