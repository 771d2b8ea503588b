"""Outlier detection: error scores of endpoints by class of request, their decay, and who counts as an
outlier.

Scores go from 0 (good) to 1 (every attempt fails). They are kept by group: a request class, or a class and
plan together (`Settings.class_plan_index`). Own samples are reported to the peers, so that the samples of
many add up and those of one gateway with a bad path are outvoted. Latency is not reported: all would herd
onto whatever endpoint all take for quick.
"""

from __future__ import annotations

from collections import deque
from typing import Final, Protocol

from .endpoints import Endpoint, EndpointRegistry
from .messages import AttemptOutcome, AttemptResult, ErrorSample
from .records import Attempt
from .settings import Settings
from .units import SECOND_NS

ANY_CLASS: Final = 255  # group of a sample that speaks of every class
TIMING_WEIGHT: Final = (
    0.2  # of a sample by latency, of one of a peer, and in averages of one connection's errors
)
ERROR_WEIGHT: Final = 0.4  # of an error, or of a rejection by the endpoint
CONNECT_FAILURE_WEIGHT: Final = 0.8  # nothing is surer than that nobody listens
LATE_RATIO: Final = 3.0  # multiple of the expected latency from which an attempt counts as slow
STALE_RATE_WEIGHT: Final = 0.02  # of one attempt in the rate of stale connections
MAX_LATENCY_RATIO: Final = 4.0  # a longer latency says no more
OUTLIER_SCORE: Final = 0.3  # from this above the baseline an endpoint is avoided
BASELINE_RANK: Final = 0.25  # the baseline is what this part of the fleet does not exceed
NEGLIGIBLE_SCORE: Final = 0.01  # dropped below
SCORE_DECAY_S: Final = 8.0  # time constant of scores and latency ratios
CONNECTION_DECAY_S: Final = 30.0  # time constant of what is known of paths and of the work of endpoints
MAX_REPORTED_SAMPLES: Final = 8  # in one message
MAX_REPORTED_AGE_NS: Final = 2 * SECOND_NS  # older samples are reported no more

ERRORS: Final = (AttemptResult.ERROR, AttemptResult.RESET)
ANSWERS: Final = (
    AttemptResult.OK,
    AttemptResult.ERROR,
    AttemptResult.REJECTED,
    AttemptResult.MALFORMED,
)
ISOLATED_ERRORS: Final = (  # one alone is no reason to avoid an endpoint
    AttemptResult.MALFORMED,
    AttemptResult.STALE_CONNECTION,
)


class SharedSuspicion(Protocol):
    """A failure detector that gateways share (`leases`), in place of the reports of single samples."""

    def record_sample(self, now: int, endpoint_hash: int, group: int, error: float, weight: float) -> None:
        """Takes an own sample in."""

    def score(self, endpoint: Endpoint, class_index: int, pair: int) -> float | None:
        """The score of an endpoint by the reports of others; None where nobody suspects it."""


class OutlierDetector:
    """Owner of error scores and latency ratios of endpoints, and of the error rates of connections."""

    def __init__(self, settings: Settings, endpoints: EndpointRegistry) -> None:
        """Takes the parts that it works with."""
        self.settings = settings
        self.endpoints = endpoints
        self.baseline = [0.0] * len(settings.classes) * (1 + len(settings.plans))  # score by group
        self.connection_errors = [0.0, 0.0, 0.0]  # by the connection of an attempt (`records`)
        self.stale_rate = 0.0  # part of the attempts whose kept connection ended beneath them
        self.own_samples: deque[tuple[int, ErrorSample]] = deque(maxlen=MAX_REPORTED_SAMPLES)
        self.shared_suspicion: SharedSuspicion | None = None

    def decay(self, keep: float) -> None:
        """Scores and ratios decay by a factor; the baseline of each group is taken anew."""
        scores: list[list[float]] = [[] for _ in self.baseline]
        keep_path = keep ** (SCORE_DECAY_S / CONNECTION_DECAY_S)
        self.connection_errors = [error * keep_path for error in self.connection_errors]
        touched = [e for e in self.endpoints.tracked.values() if e.ready_list is not None]
        for endpoint in touched:
            # else one late answer would count for good
            endpoint.latency_ratio += (1 - keep) * (1 - endpoint.latency_ratio)
            endpoint.error_scores = {
                group: score * keep
                for group, score in endpoint.error_scores.items()
                if score > NEGLIGIBLE_SCORE
            }
            for group, score in endpoint.error_scores.items():
                scores[group].append(score)
            self.endpoints.untrack_if_neutral(endpoint)
        ready = len(self.endpoints.ready)
        without_rank = int(ready * BASELINE_RANK) - ready
        self.baseline = [self._ranked(found, without_rank + len(found)) for found in scores]

    @staticmethod
    def _ranked(scores: list[float], rank: int) -> float:
        """The score at a rank, where those without a score come first."""
        return sorted(scores)[rank] if 0 <= rank < len(scores) else 0.0

    def record_outcome(self, now: int, outcome: AttemptOutcome, attempt: Attempt) -> None:
        """Learns from the end of an own attempt."""
        endpoint = attempt.endpoint
        result = outcome.result
        if result in ANSWERS:
            endpoint.last_answer_ns = now
        ratio = outcome.latency_ns / attempt.expected_ns
        timed = result in (AttemptResult.OK, AttemptResult.TIMEOUT)
        if timed or (result is AttemptResult.CANCELLED and ratio > 1):
            self.endpoints.track(endpoint)
            endpoint.latency_ratio += TIMING_WEIGHT * (min(ratio, MAX_LATENCY_RATIO) - endpoint.latency_ratio)
        if (
            result is AttemptResult.REJECTED
        ):  # speaks of one class and plan at that endpoint, not of the fleet
            pair = self.settings.class_plan_index(attempt.class_index, attempt.plan_index)
            self.record_sample(now, attempt, pair, 1.0, ERROR_WEIGHT)
        elif result is AttemptResult.CONNECT_FAILED:
            self.record_sample(now, attempt, ANY_CLASS, 1.0, CONNECT_FAILURE_WEIGHT)
        elif result in ERRORS:
            self.record_sample(now, attempt, attempt.class_index, 1.0, ERROR_WEIGHT)
        elif result in ISOLATED_ERRORS:
            self.record_sample(now, attempt, attempt.class_index, 1.0, TIMING_WEIGHT)
        elif timed:
            lateness = min(1.0, max(0.0, ratio / LATE_RATIO - 1))
            self.record_sample(now, attempt, attempt.class_index, lateness, TIMING_WEIGHT)
        stale = result is AttemptResult.STALE_CONNECTION
        self.stale_rate += STALE_RATE_WEIGHT * (stale - self.stale_rate)

    def record_sample(self, now: int, attempt: Attempt, group: int, error: float, weight: float) -> None:
        """An own sample, 0 (good) to 1; it is reported to the peers with the next message that has room."""
        endpoint = attempt.endpoint
        self.apply_sample(endpoint, group, error, weight)
        known = self.connection_errors[attempt.connection]
        self.connection_errors[attempt.connection] = known + TIMING_WEIGHT * (error - known)
        if self.shared_suspicion is None:
            self.own_samples.append((now, ErrorSample(endpoint.hash, group, error)))
        else:
            self.shared_suspicion.record_sample(now, endpoint.hash, group, error, weight)

    def apply_sample(self, endpoint: Endpoint, group: int, error: float, weight: float) -> None:
        """A sample, own or of a peer.

        One of `ANY_CLASS` counts for each: else every class would have to learn by itself that nobody
        listens there.
        """
        for one in range(len(self.settings.classes)) if group == ANY_CLASS else (group,):
            if error or one in endpoint.error_scores:
                scores = self.endpoints.track(endpoint).error_scores
                scores[one] = scores.get(one, 0.0) * (1 - weight) + weight * error

    def excess_score(self, endpoint: Endpoint, class_index: int, plan_index: int) -> float:
        """The score above the baseline: an endpoint may fail one class, or reject one plan of a class."""
        pair = self.settings.class_plan_index(class_index, plan_index)
        scores = endpoint.error_scores
        own = max(
            scores.get(class_index, 0.0) - self.baseline[class_index],
            scores.get(pair, 0.0) - self.baseline[pair],
        )
        if self.shared_suspicion is None:
            return own
        suspected = self.shared_suspicion.score(endpoint, class_index, pair)
        return own if suspected is None else max(own, suspected)

    def class_excess_score(self, endpoint: Endpoint, class_index: int) -> float:
        """The score of a class above its baseline."""
        return endpoint.error_scores.get(class_index, 0.0) - self.baseline[class_index]

    def samples_to_report(self, now: int) -> list[ErrorSample]:
        """The last own samples that are fresh enough."""
        return [sample for at_ns, sample in self.own_samples if now - at_ns < MAX_REPORTED_AGE_NS]
