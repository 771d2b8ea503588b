"""Estimates that gateways exchange in the queries to relays and in their answers.

They are sent as a list of numbers: the fixed fields of `Estimates` in their order, the seconds that a unit
takes in each class, and, while the budget limits admission, the arrivals of each traffic group.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from .budget_split import BudgetTree
from .concurrency_limit import BUSY_THRESHOLD, INITIAL_IN_FLIGHT, MAX_LATENESS, ConcurrencyLimit
from .latency import MAX_PEER_RATIO, LatencyModel
from .outlier_detection import OutlierDetector
from .units import SECOND_NS

PEER_WEIGHT: Final = 0.5  # weight of a peer's values in the mean with this gateway's own
MAX_PEER_SAMPLES: Final = 1000.0  # of a peer's answers or timeouts
MIN_COMPARED_ARRIVALS: Final = 1.0  # units per second; a lower own rate of arrivals is compared as this one
FIXED_FIELDS: Final = 9  # numbers before the lists


@dataclass(slots=True)
class Estimates:
    """The estimates of one gateway."""

    answer_lateness: float
    answers: float
    timeout_lateness: float
    timeouts: float
    units_in_flight: float
    completed_per_s: float  # units
    kept_connection_errors: float  # error rate
    new_connection_errors: float  # error rate
    limit: float  # units in flight per endpoint; 0: there is no limit
    unit_s: list[float]  # seconds that a unit takes, by class
    arrivals: list[float]  # units per second, by traffic group; empty unless the budget limits admission

    @classmethod
    def from_values(cls, values: list[float], class_count: int) -> Estimates:
        """Returns the estimates in a list of at least `FIXED_FIELDS + class_count` numbers."""
        arrivals_index = FIXED_FIELDS + class_count
        lateness, answers, timeout_lateness, timeouts, in_flight, completed, kept, new, limit = values[
            :FIXED_FIELDS
        ]
        return cls(
            lateness,
            answers,
            timeout_lateness,
            timeouts,
            in_flight,
            completed,
            kept,
            new,
            limit,
            values[FIXED_FIELDS:arrivals_index],
            values[arrivals_index:],
        )

    def to_values(self) -> list[float]:
        """Returns the estimates as a list of numbers."""
        return [
            self.answer_lateness,
            self.answers,
            self.timeout_lateness,
            self.timeouts,
            self.units_in_flight,
            self.completed_per_s,
            self.kept_connection_errors,
            self.new_connection_errors,
            self.limit,
            *self.unit_s,
            *self.arrivals,
        ]


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
        """Returns the estimates of this gateway, in the order in which they are sent."""
        return self._own().to_values()

    def _own(self) -> Estimates:
        limit = self.limit
        kept_errors, new_errors, *_ = self.detector.connection_errors
        arrivals = [group.arrival_rate for group in self.budget.groups] if self.budget.is_limiting else []
        return Estimates(
            limit.answer_lateness,
            limit.answers,
            limit.timeout_lateness,
            limit.timeouts,
            limit.units_in_flight,
            limit.completed_per_s,
            kept_errors,
            new_errors,
            0.0 if limit.limit == math.inf else limit.limit,
            [unit_ns / SECOND_NS for unit_ns in self.latency.unit_ns],
            arrivals,
        )

    def blend(self, peer_values: list[float]) -> None:
        """Replaces each estimate by the mean of this gateway's and a peer's value.

        Sparse samples of many gateways so converge to common estimates within a few exchanges. A list that is
        too short or has invalid values is ignored.
        """
        class_count = len(self.latency.unit_ns)
        if len(peer_values) < FIXED_FIELDS + class_count or not all(0 <= x < math.inf for x in peer_values):
            return
        peer = Estimates.from_values(peer_values, class_count)
        self._bound(peer)
        own = self._own()
        mean = Estimates.from_values(_mean(own.to_values(), peer.to_values()), class_count)
        if not own.limit or not peer.limit:
            # A gateway adopts its first limit from a peer only if it observes overload itself.
            overloaded = self.limit.overload_signal > BUSY_THRESHOLD
            mean.limit = peer.limit * overloaded or own.limit
        self._store(mean)

    def _bound(self, peer: Estimates) -> None:
        """Limits a peer's values to what is plausible beside this gateway's own measurements.

        An estimate that has run away at one gateway would otherwise spread to all others with each exchange.
        """
        limit = self.limit
        peer.answers = min(peer.answers, MAX_PEER_SAMPLES)
        peer.answer_lateness = min(peer.answer_lateness, MAX_LATENESS * peer.answers)
        peer.timeouts = min(peer.timeouts, MAX_PEER_SAMPLES)
        peer.timeout_lateness = min(peer.timeout_lateness, MAX_LATENESS * peer.timeouts)
        typical_units = INITIAL_IN_FLIGHT * limit.mean_units
        max_in_flight = MAX_PEER_RATIO * max(limit.own_units_in_flight, typical_units)
        peer.units_in_flight = min(peer.units_in_flight, max_in_flight)
        max_completed_per_s = MAX_PEER_RATIO * max(limit.own_completed_per_s, typical_units)
        peer.completed_per_s = min(peer.completed_per_s, max_completed_per_s)
        peer.kept_connection_errors = min(peer.kept_connection_errors, 1.0)
        peer.new_connection_errors = min(peer.new_connection_errors, 1.0)

    def _store(self, mean: Estimates) -> None:
        """Stores the estimates.

        The sample counts of the latency model stay as they are: values of peers are no samples, and must not
        end the learning of the unloaded latency.
        """
        limit = self.limit
        limit.answer_lateness = mean.answer_lateness
        limit.answers = mean.answers
        limit.timeout_lateness = mean.timeout_lateness
        limit.timeouts = mean.timeouts
        limit.units_in_flight = mean.units_in_flight
        limit.completed_per_s = mean.completed_per_s
        limit.limit = mean.limit or limit.limit
        self.detector.connection_errors[:2] = mean.kept_connection_errors, mean.new_connection_errors
        self.latency.adopt([seconds * SECOND_NS for seconds in mean.unit_s])
        for group, arrivals in zip(self.budget.groups, mean.arrivals, strict=False):
            own_arrivals = max(group.own_arrival_rate, MIN_COMPARED_ARRIVALS)
            group.arrival_rate = min(arrivals, MAX_PEER_RATIO * own_arrivals)


def _mean(own: Iterable[float], peer: Iterable[float]) -> list[float]:
    return [(1 - PEER_WEIGHT) * a + PEER_WEIGHT * b for a, b in zip(own, peer, strict=False)]
