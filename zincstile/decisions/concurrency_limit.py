"""The adaptive concurrency limit: how many units may be in flight for each healthy endpoint.

There is no limit until the first sign of overload: late answers, or a burst before any answer has come. From
then on the limit falls while answers are late and rises while they are in time. Above the high-water mark,
the limit at which overload last began, it rises slowly: overload shows with a delay, and congestion costs
more than some idle capacity.
"""

from __future__ import annotations

import math
from typing import Final

from .latency import LatencyModel
from .outlier_detection import OUTLIER_SCORE, OutlierDetector
from .records import Attempt
from .settings import Settings
from .units import SECOND_NS

TICK_NS: Final = SECOND_NS // 10  # period at which limit and budget are updated
RELIABLE_SAMPLES: Final = 10.0  # with this many samples per tick, a tick's mean gets a weight of one half
SAMPLE_MEMORY_S: Final = 0.8  # time constant of the decay of lateness samples
INITIAL_IN_FLIGHT: Final = 10.0  # the first limit: attempts per ready endpoint, over all gateways
MIN_IN_FLIGHT: Final = 1.0  # the lowest limit: attempts per ready endpoint, over all gateways
MAX_DECREASE: Final = 0.3  # largest decrease, as a share of the limit
BUSY_THRESHOLD: Final = 0.77  # the limit rises only while the overload signal is below
MAX_LATENESS: Final = 3.0  # cap on the lateness of one attempt
MAX_TIMEOUT_RATIO: Final = 1.5  # timeouts raise the mean lateness to at most this multiple of that of answers
MIN_USED_SHARE: Final = 0.6  # share of the limit that has to be in use for it to rise
INCREASE: Final = 1.04  # factor per tick
SLOW_INCREASE: Final = 1.01  # factor per tick above the high-water mark
PRIOR_RATE: Final = 1.0  # weight of the mean latency of the fleet in Little's law, in units per second
UNITS_WEIGHT: Final = 0.02  # weight of one request in the mean size of requests; larger for the first ones
# Shortest time between two decreases, as a share of the shortest latency objective: the effect of a decrease
# on lateness shows within it.
DECREASE_OBJECTIVE_SHARE: Final = 0.5


class ConcurrencyLimit:
    """Owns the concurrency limit and the measurements behind it, which are also averaged with the peers'."""

    def __init__(self, settings: Settings, detector: OutlierDetector, latency: LatencyModel) -> None:
        """Starts without a limit."""
        self.detector = detector
        self.latency = latency
        self.limit = math.inf  # units that this gateway may have in flight per healthy endpoint
        self.high_water_mark = math.inf  # limit at which overload last began
        self.rose_since_decrease = True
        self.decreased_ns = 0
        self.min_decrease_interval_ns = DECREASE_OBJECTIVE_SHARE * min(
            c.latency_objective_ns for c in settings.classes
        )
        self.overload_signal = 0.0  # smoothed lateness; above 1 means overload
        # Decaying sums over answers and over timeouts: their lateness, and their number. The lateness of an
        # attempt is its latency divided by the latency that is a sign of overload.
        self.answer_lateness = 0.0
        self.answers = 0.0
        self.timeout_lateness = 0.0
        self.timeouts = 0.0
        self.units_in_flight = 0.0  # smoothed
        self.completed_per_s = 0.0  # units per second
        # The same two by this gateway's own attempts; the others are also averaged with the peers'.
        self.own_units_in_flight = 0.0
        self.own_completed_per_s = 0.0
        self.completed_units = 0.0  # units since the last tick
        self.mean_units = 1.0  # units per request
        self.requests = 0  # number of requests in that mean

    @property
    def samples(self) -> float:
        """Decaying number of attempts whose lateness was recorded."""
        return self.answers + self.timeouts

    def record_request(self, units: float) -> None:
        """Adds the size of a new request to the mean."""
        self.requests += 1
        self.mean_units += max(UNITS_WEIGHT, 1 / self.requests) * (units - self.mean_units)

    def record_latency(self, latency_ns: int, attempt: Attempt, *, timed_out: bool) -> None:
        """Records the lateness of an attempt, except at an outlier, whose latency is no sign of load."""
        excess = self.detector.excess_score(attempt.endpoint, attempt.class_index, attempt.plan_index)
        if excess >= OUTLIER_SCORE:
            return
        lateness = min(MAX_LATENESS, latency_ns / attempt.overload_ns)
        if timed_out:
            self.timeouts += 1
            self.timeout_lateness += lateness
        else:
            self.answers += 1
            self.answer_lateness += lateness

    def decay(self, span_s: float, keep: float, keep_samples: float) -> None:
        """Decays the rate of completed work by `keep` and the lateness samples by `keep_samples`."""
        self.answer_lateness = self.answer_lateness * keep_samples
        self.answers = self.answers * keep_samples
        self.timeout_lateness = self.timeout_lateness * keep_samples
        self.timeouts = self.timeouts * keep_samples
        added_per_s = self.completed_units / span_s * (1 - keep)
        self.completed_per_s = self.completed_per_s * keep + added_per_s
        self.own_completed_per_s = self.own_completed_per_s * keep + added_per_s
        self.completed_units = 0.0

    def update(
        self, now: int, span_s: float, ticks: float, in_flight: list[float], healthy: float, gateways: float
    ) -> None:
        """Adjusts the limit, once per tick.

        `in_flight` has the units of each attempt in flight, `healthy` is the number of healthy endpoints,
        `gateways` the number of gateways that share the capacity of an endpoint.
        """
        units_per_attempt = self.mean_units / gateways  # this gateway's share of one attempt
        unlimited = self.limit == math.inf
        prior_samples = RELIABLE_SAMPLES / ticks
        signal_weight = self.samples / (self.samples + prior_samples)
        self.overload_signal += signal_weight * (self._mean_lateness() - self.overload_signal)
        in_flight_weight = max(
            len(in_flight) / (len(in_flight) + prior_samples), min(1.0, span_s / SAMPLE_MEMORY_S)
        )
        self.units_in_flight += in_flight_weight * (sum(in_flight) - self.units_in_flight)
        self.own_units_in_flight += in_flight_weight * (sum(in_flight) - self.own_units_in_flight)
        first_limit = INITIAL_IN_FLIGHT * units_per_attempt
        min_limit = MIN_IN_FLIGHT * units_per_attempt
        self.limit = max(self.limit, min_limit)  # peers' limits may be lower
        overloaded = self.overload_signal > 1 and now - self.decreased_ns > self.min_decrease_interval_ns
        if overloaded or (unlimited and self.units_in_flight > first_limit * healthy):
            self._decrease(now, first_limit, min_limit, healthy)
        elif (
            self.overload_signal < BUSY_THRESHOLD
            and self.units_in_flight > MIN_USED_SHARE * self.limit * healthy
        ):
            increase = INCREASE if self.limit < self.high_water_mark else SLOW_INCREASE
            self.limit = self.limit * increase**ticks
            self.rose_since_decrease = True

    def budget_per_s(self, healthy: float) -> float:
        """Returns the units per second that keep the limit in flight, by Little's law.

        The latency in that law includes a prior that does not depend on what is sent. Without it, a gateway
        of a large fleet, which has few units in flight, could by chance reject everything.
        """
        prior_latency_s = self.latency.mean_latency_s(self.mean_units)
        latency_s = (self.units_in_flight + PRIOR_RATE * prior_latency_s) / (
            self.completed_per_s + PRIOR_RATE
        )
        return self.limit * healthy / latency_s

    def _decrease(self, now: int, first_limit: float, min_limit: float, healthy: float) -> None:
        unlimited = self.limit == math.inf
        limit = first_limit if unlimited else min(self.limit, self.units_in_flight / healthy)
        if self.rose_since_decrease:
            self.high_water_mark = limit if unlimited else self.limit
        self.rose_since_decrease = False
        decrease = MAX_DECREASE * min(1.0, max(0.0, self.overload_signal - 1))
        self.limit = max(limit * (1 - decrease), min_limit)
        self.decreased_ns = now

    def _mean_lateness(self) -> float:
        """Returns the mean lateness of answers and timeouts.

        Overload makes answers late as well, so timeouts count only in proportion to the lateness of answers:
        timeouts by lost messages, broken paths and hung endpoints are no sign of overload. The proportion is
        not applied once answers have become rare.
        """
        mean = (self.answer_lateness + self.timeout_lateness) / max(self.samples, 1e-9)
        if self.answers > self.timeouts / 4:
            return min(mean, MAX_TIMEOUT_RATIO * self.answer_lateness / self.answers)
        return mean
