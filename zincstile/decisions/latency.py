"""Latency of the fleet by request class: the usual latency of a unit, and the latency without load."""

from __future__ import annotations

import math
from typing import Final

from .settings import Settings
from .units import SECOND_NS

SAMPLE_WEIGHT: Final = 0.02  # weight of one attempt; larger for the first ones
UNLOADED_RISE_WEIGHT: Final = 0.0005  # the unloaded latency falls at once but rises slowly, by this weight
MAX_RATIO: Final = 3.0  # cap on the latency of a sample relative to the estimate
MAX_PEER_RATIO: Final = 3.0  # how far peers' estimates may move this gateway's from what it has measured
COMPARABLE_SAMPLES: Final = 10  # from this number on, peers' estimates are compared with what was measured
MIN_UNITS: Final = 0.5  # smaller requests are expected to take as long as one of this size
# A latency is a sign of overload from this multiple of the unloaded latency, or from this share of the
# latency objective if that is less.
OVERLOAD_RATIO: Final = 3.0
OVERLOAD_OBJECTIVE_SHARE: Final = 0.5
INITIAL_DIVISOR: Final = 5  # before the first sample, the largest request takes the objective divided by this


class LatencyModel:
    """Owns the latency of the fleet per unit, in nanoseconds by request class.

    Each update moves an estimate towards a measured latency, never past it: however many requests were sent
    under one estimate, the next one stays within what was measured.
    """

    def __init__(self, settings: Settings) -> None:
        """Starts from an estimate by the latency objectives."""
        divisor = INITIAL_DIVISOR
        self.initial_unit_ns = [
            request_class.latency_objective_ns / divisor / (1 + settings.max_request_units)
            for request_class in settings.classes
        ]
        # No request is served after its deadline, so no estimate above it is plausible.
        self.max_unit_ns = [request_class.deadline_ns / MIN_UNITS for request_class in settings.classes]
        self.unit_ns = list(self.initial_unit_ns)
        self.measured_unit_ns = list(self.initial_unit_ns)  # by the requests of this gateway alone
        self.unloaded_unit_ns = [math.inf] * len(settings.classes)
        self.samples = [0] * len(settings.classes)

    def expected_ns(self, class_index: int, units: float) -> float:
        """Returns the latency that the fleet is expected to have for a request of this size."""
        return self.unit_ns[class_index] * max(units, MIN_UNITS)

    def overload_ns(self, class_index: int, units: float, objective_ns: int) -> float:
        """Returns the latency from which an attempt is a sign of overload."""
        by_ratio_ns = OVERLOAD_RATIO * self.unloaded_unit_ns[class_index] * max(units, MIN_UNITS)
        return min(OVERLOAD_OBJECTIVE_SHARE * objective_ns, by_ratio_ns)

    def learn(self, class_index: int, latency_ns: int, units: float) -> None:
        """Updates the estimates after a request of `units` was served in `latency_ns`."""
        sample_ns = _unit_sample_ns(latency_ns, units)
        weight = max(SAMPLE_WEIGHT, 1 / (1 + self.samples[class_index]))
        for estimates in (self.unit_ns, self.measured_unit_ns):
            estimate_ns = estimates[class_index]
            estimates[class_index] += weight * (min(sample_ns, MAX_RATIO * estimate_ns) - estimate_ns)
        self.samples[class_index] += 1
        if self.samples[class_index] >= 1 / SAMPLE_WEIGHT:
            unit_ns = self.unit_ns[class_index]
            unloaded_ns = min(self.unloaded_unit_ns[class_index], unit_ns)
            self.unloaded_unit_ns[class_index] = unloaded_ns + UNLOADED_RISE_WEIGHT * (unit_ns - unloaded_ns)

    def relearn(self, class_index: int, latency_ns: int, units: float) -> None:
        """Gives up estimates that a request contradicts, which was served while nothing else was in flight.

        Its class is believed no slower than it was, the others no slower than it or their initial estimate.
        """
        sample_ns = _unit_sample_ns(latency_ns, units)
        for index, initial_ns in enumerate(self.initial_unit_ns):
            bound_ns = sample_ns if index == class_index else max(sample_ns, initial_ns)
            self.unit_ns[index] = min(self.unit_ns[index], bound_ns)
            self.measured_unit_ns[index] = min(self.measured_unit_ns[index], bound_ns)

    def adopt(self, unit_ns: list[float]) -> None:
        """Replaces the estimates by means with a peer's, within bounds.

        They stay near what this gateway has measured, so that a peer whose estimate is far off can't spread
        it; where this gateway has measured little, they stay within what a served request can take.
        """
        for index, value_ns in enumerate(unit_ns):
            measured_ns = self.measured_unit_ns[index]
            lower_ns, upper_ns = 1.0, self.max_unit_ns[index]
            if self.samples[index] >= COMPARABLE_SAMPLES:
                lower_ns, upper_ns = measured_ns / MAX_PEER_RATIO, measured_ns * MAX_PEER_RATIO
            self.unit_ns[index] = min(upper_ns, max(1.0, lower_ns, value_ns))

    def restore(self, unit_ns: list[float], unloaded_unit_ns: list[float], samples: list[int]) -> None:
        """Adopts the estimates of an earlier process; those that are not plausible are learned anew."""
        for index, max_ns in enumerate(self.max_unit_ns):
            if unit_ns[index] > max_ns:
                continue
            self.unit_ns[index] = self.measured_unit_ns[index] = unit_ns[index]
            self.unloaded_unit_ns[index] = unloaded_unit_ns[index]
            self.samples[index] = samples[index]

    def mean_latency_s(self, units: float) -> float:
        """Returns the expected latency of a request of this size in seconds, averaged over the classes."""
        return units * sum(self.unit_ns) / len(self.unit_ns) / SECOND_NS


def _unit_sample_ns(latency_ns: int, units: float) -> float:
    """Returns the latency per unit of one request."""
    return max(1.0, latency_ns / max(units, MIN_UNITS))
