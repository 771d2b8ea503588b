"""Latency of the fleet by request class: the usual latency of a unit, and the latency without load."""

from __future__ import annotations

import math
from typing import Final

from .settings import Settings
from .units import SECOND_NS

SAMPLE_WEIGHT: Final = 0.02  # weight of one attempt; larger for the first ones
UNLOADED_RISE_WEIGHT: Final = 0.0005  # the unloaded latency falls at once but rises slowly, by this weight
MAX_RATIO: Final = 3.0  # cap on the latency of a sample relative to the expected latency
MIN_UNITS: Final = 0.5  # smaller requests are expected to take as long as one of this size
# A latency is a sign of overload from this multiple of the unloaded latency, or from this share of the
# latency objective if that is less.
OVERLOAD_RATIO: Final = 3.0
OVERLOAD_OBJECTIVE_SHARE: Final = 0.5
INITIAL_DIVISOR: Final = 5  # before the first sample, the largest request takes the objective divided by this


class LatencyModel:
    """Owns the latency of the fleet per unit, in nanoseconds by request class."""

    def __init__(self, settings: Settings) -> None:
        """Starts from an estimate by the latency objectives."""
        divisor = INITIAL_DIVISOR
        self.unit_ns = [
            request_class.latency_objective_ns / divisor / (1 + settings.max_request_units)
            for request_class in settings.classes
        ]
        self.unloaded_unit_ns = [math.inf] * len(settings.classes)
        self.samples = [0] * len(settings.classes)

    def expected_ns(self, class_index: int, units: float) -> float:
        """Returns the latency that the fleet is expected to have for a request of this size."""
        return self.unit_ns[class_index] * max(units, MIN_UNITS)

    def overload_ns(self, class_index: int, units: float, objective_ns: int) -> float:
        """Returns the latency from which an attempt is a sign of overload."""
        by_ratio_ns = OVERLOAD_RATIO * self.unloaded_unit_ns[class_index] * max(units, MIN_UNITS)
        return min(OVERLOAD_OBJECTIVE_SHARE * objective_ns, by_ratio_ns)

    def learn(self, class_index: int, latency_ns: int, expected_ns: float) -> None:
        """Updates the estimates after a request that took `latency_ns` instead of `expected_ns`."""
        ratio = min(MAX_RATIO, latency_ns / expected_ns)
        weight = max(SAMPLE_WEIGHT, 1 / (1 + self.samples[class_index]))
        self.unit_ns[class_index] *= 1 + weight * (ratio - 1)
        self.samples[class_index] += 1
        if self.samples[class_index] >= 1 / SAMPLE_WEIGHT:
            unit_ns = self.unit_ns[class_index]
            unloaded_ns = min(self.unloaded_unit_ns[class_index], unit_ns)
            self.unloaded_unit_ns[class_index] = unloaded_ns + UNLOADED_RISE_WEIGHT * (unit_ns - unloaded_ns)

    def mean_latency_s(self, units: float) -> float:
        """Returns the expected latency of a request of this size in seconds, averaged over the classes."""
        return units * sum(self.unit_ns) / len(self.unit_ns) / SECOND_NS
