"""The adaptive concurrency limit: how many units may be in flight for each healthy endpoint.

No limit binds until a first sign of overload: late answers, or a burst before any answer. Then the limit
falls for each late round trip and rises while answers are in time, warily above the high-water mark, where
overload last began: overload shows late, and a jam costs more than what is left idle.
"""

from __future__ import annotations

import math
from typing import Final

from .latency import LatencyModel
from .outlier_detection import OUTLIER_SCORE, OutlierDetector
from .records import Attempt
from .settings import Settings
from .units import SECOND_NS

TICK_NS: Final = SECOND_NS // 10  # period of limit and budget
RELIABLE_SAMPLES: Final = 10.0  # so many in a tick are half believed
SAMPLE_MEMORY_S: Final = 0.8  # time constant of the answers' lateness
INITIAL_IN_FLIGHT: Final = 10.0  # attempts per ready endpoint, by all gateways: the first limit
MIN_IN_FLIGHT: Final = 1.0  # the least limit
MAX_DECREASE: Final = 0.3  # largest cut, as a share of the limit
BUSY_THRESHOLD: Final = 0.77  # of the overload signal: the limit rises below
MAX_LATENESS: Final = 3.0  # most of one attempt, as a multiple of the latency that shows overload
TIMEOUTS_TO_ANSWERS: Final = 1.5  # timeouts count at most so many times what late answers show
USED_SHARE: Final = 0.6  # part of the limit that has to be in use for it to rise
INCREASE: Final = 1.04  # factor a tick
WARY_INCREASE: Final = 1.01  # factor a tick above the high-water mark
PRIOR_RATE: Final = 1.0  # units a second that the usual latency weighs in Little's law
UNITS_WEIGHT: Final = 0.02  # of one request in the mean of units; larger for the first ones
DECREASE_OBJECTIVE_SHARE: Final = 0.5  # late answers show within this part of the shortest objective


class ConcurrencyLimit:
    """Owner of the limit and of what it is derived from; the first figures are blended with those of
    peers."""

    def __init__(self, settings: Settings, detector: OutlierDetector, latency: LatencyModel) -> None:
        """Takes the parts that it works with."""
        self.detector = detector
        self.latency = latency
        self.limit = math.inf  # units in flight per healthy endpoint, of this gateway
        self.high_water_mark = math.inf  # the limit at which overload last began
        self.rose_since_decrease = True  # since the last decrease
        self.decreased_ns = 0
        self.decrease_every_ns = DECREASE_OBJECTIVE_SHARE * min(
            c.latency_objective_ns for c in settings.classes
        )
        self.overload_signal = 0.0  # above 1: overload
        # Sums, decaying: lateness of answers and their number, the same of attempts that timed out.
        self.answer_lateness = 0.0
        self.answers = 0.0
        self.timeout_lateness = 0.0
        self.timeouts = 0.0
        self.units_in_flight = 0.0  # smoothed
        self.completed_per_s = 0.0  # units
        self.completed_units = 0.0  # since the last tick
        self.mean_units = 1.0  # of a request
        self.requests = 0

    @property
    def samples(self) -> float:
        """Attempts whose lateness is remembered, decaying."""
        return self.answers + self.timeouts

    def record_request(self, units: float) -> None:
        """A request was taken into consideration."""
        self.requests += 1
        self.mean_units += max(UNITS_WEIGHT, 1 / self.requests) * (units - self.mean_units)

    def record_latency(self, latency_ns: int, attempt: Attempt, *, timed_out: bool) -> None:
        """The latency of an attempt; those at outliers say nothing of the load."""
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
        """`keep`: factor of the rate of completed work; `keep_samples`: of lateness."""
        self.answer_lateness = self.answer_lateness * keep_samples
        self.answers = self.answers * keep_samples
        self.timeout_lateness = self.timeout_lateness * keep_samples
        self.timeouts = self.timeouts * keep_samples
        self.completed_per_s = self.completed_per_s * keep + self.completed_units / span_s * (1 - keep)
        self.completed_units = 0.0

    def update(
        self, now: int, span_s: float, ticks: float, in_flight: list[float], healthy: float, gateways: float
    ) -> None:
        """Moves the limit, once a tick.

        `in_flight`: units of each attempt; `healthy`: endpoints; `gateways`: among how many their capacity
        is shared out.
        """
        unit = self.mean_units / gateways
        unlimited = self.limit == math.inf
        few = RELIABLE_SAMPLES / ticks
        weight = self.samples / (self.samples + few)
        self.overload_signal += weight * (self._shown_lateness() - self.overload_signal)
        own = max(len(in_flight) / (len(in_flight) + few), min(1.0, span_s / SAMPLE_MEMORY_S))
        self.units_in_flight += own * (sum(in_flight) - self.units_in_flight)
        first_limit = INITIAL_IN_FLIGHT * unit
        overloaded = self.overload_signal > 1 and now - self.decreased_ns > self.decrease_every_ns
        if overloaded or (unlimited and self.units_in_flight > first_limit * healthy):
            self._decrease(now, first_limit, MIN_IN_FLIGHT * unit, healthy)
        elif (
            self.overload_signal < BUSY_THRESHOLD and self.units_in_flight > USED_SHARE * self.limit * healthy
        ):
            increase = INCREASE if self.limit < self.high_water_mark else WARY_INCREASE
            self.limit = self.limit * increase**ticks
            self.rose_since_decrease = True

    def budget_per_s(self, healthy: float) -> float:
        """Units a second that keep so many in flight, by Little's law.

        The prior keeps a large fleet, where a few are in flight by chance, from rejecting all, and does not
        sink with what is sent.
        """
        usual_s = self.latency.mean_latency_s(self.mean_units)
        latency_s = (self.units_in_flight + PRIOR_RATE * usual_s) / (self.completed_per_s + PRIOR_RATE)
        return self.limit * healthy / latency_s

    def _decrease(self, now: int, first_limit: float, least: float, healthy: float) -> None:
        unlimited = self.limit == math.inf
        limit = first_limit if unlimited else min(self.limit, self.units_in_flight / healthy)
        if self.rose_since_decrease:
            self.high_water_mark = limit if unlimited else self.limit
        self.rose_since_decrease = False
        cut = MAX_DECREASE * min(1.0, max(0.0, self.overload_signal - 1))
        self.limit = max(limit * (1 - cut), least)
        self.decreased_ns = now

    def _shown_lateness(self) -> float:
        """The mean lateness.

        Load makes the answers late too, so timeouts count in proportion to them: those of lost messages,
        broken paths and hung endpoints are no load. Not where quick answers get few.
        """
        mean = (self.answer_lateness + self.timeout_lateness) / max(self.samples, 1e-9)
        if self.answers > self.timeouts / 4:
            return min(mean, TIMEOUTS_TO_ANSWERS * self.answer_lateness / self.answers)
        return mean
