"""Latency of the fleet by request class:

what a unit usually takes, and what it takes when nothing is busy.
"""

from __future__ import annotations

import math
from typing import Final

from .settings import Settings
from .units import SECOND_NS

SAMPLE_WEIGHT: Final = 0.02  # of one attempt; larger for the first ones
CALM_RISE_WEIGHT: Final = 0.0005  # the calm latency follows down at once and up slowly
MAX_RATIO: Final = 3.0  # a longer latency says no more
MIN_UNITS: Final = 0.5  # a smaller request takes as long as this
OVERLOAD_RATIO: Final = 3.0  # multiple of the calm latency that is a sign of overload
OVERLOAD_OBJECTIVE_SHARE: Final = 0.5  # or this part of the latency objective, whichever is less
FIRST_GUESS_DIVISOR: Final = 5  # a unit takes this part of the objective until something was seen


class LatencyModel:
    """Owner of the latencies that the fleet takes for a unit, in nanoseconds by class."""

    def __init__(self, settings: Settings) -> None:
        """Starts with a guess from the latency objectives."""
        guess = FIRST_GUESS_DIVISOR
        self.unit_ns = [
            c.latency_objective_ns / guess / (1 + settings.max_request_units) for c in settings.classes
        ]
        self.unloaded_unit_ns = [math.inf] * len(settings.classes)
        self.samples = [0] * len(settings.classes)

    def expected_ns(self, class_index: int, units: float) -> float:
        """What the fleet takes for a request of so many units."""
        return self.unit_ns[class_index] * max(units, MIN_UNITS)

    def overload_ns(self, class_index: int, units: float, objective_ns: int) -> float:
        """The latency from which an attempt is a sign of overload."""
        calm_ns = OVERLOAD_RATIO * self.unloaded_unit_ns[class_index] * max(units, MIN_UNITS)
        return min(OVERLOAD_OBJECTIVE_SHARE * objective_ns, calm_ns)

    def learn(self, class_index: int, latency_ns: int, expected_ns: float) -> None:
        """A request was served in `latency_ns` where `expected_ns` were expected."""
        ratio = min(MAX_RATIO, latency_ns / expected_ns)
        weight = max(SAMPLE_WEIGHT, 1 / (1 + self.samples[class_index]))
        self.unit_ns[class_index] *= 1 + weight * (ratio - 1)
        self.samples[class_index] += 1
        if self.samples[class_index] >= 1 / SAMPLE_WEIGHT:
            unit_ns = self.unit_ns[class_index]
            calm_ns = min(self.unloaded_unit_ns[class_index], unit_ns)
            self.unloaded_unit_ns[class_index] = calm_ns + CALM_RISE_WEIGHT * (unit_ns - calm_ns)

    def mean_latency_s(self, units: float) -> float:
        """Seconds that so many units take, in the mean of the classes."""
        return units * sum(self.unit_ns) / len(self.unit_ns) / SECOND_NS
