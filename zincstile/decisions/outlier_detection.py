"""Outlier detection: error scores of endpoints by request class, and their decay.

Scores range from 0 (good) to 1 (every attempt fails). They are kept by group: a request class, or a class and
a plan together (`Settings.class_plan_index`). Each gateway reports its samples to its peers, so that the
samples of many add up and outweigh those of a gateway with a bad network path. Latency is not reported: all
gateways would send to whichever endpoint they agree is fastest (herding).
"""

from __future__ import annotations

from collections import deque
from typing import Final, Protocol

from .endpoints import Endpoint, EndpointRegistry
from .messages import AttemptOutcome, AttemptResult, ErrorSample
from .records import Attempt
from .settings import Settings
from .units import SECOND_NS

ANY_CLASS: Final = 255  # group of a sample that applies to every class
# Weight of a sample by latency, of a peer's sample, and of one attempt in the error rate of its connection
# type.
TIMING_WEIGHT: Final = 0.2
ERROR_WEIGHT: Final = 0.4  # weight of an error, or of a rejection by the endpoint
CONNECT_FAILURE_WEIGHT: Final = 0.8  # largest weight: a refused connection is the clearest sign of a failure
LATE_RATIO: Final = 3.0  # multiple of the expected latency from which an attempt counts as late
STALE_RATE_WEIGHT: Final = 0.02  # weight of one attempt in the rate of stale connections
MAX_LATENCY_RATIO: Final = 4.0  # cap on the latency of an attempt relative to the expected latency
OUTLIER_SCORE: Final = 0.3  # an endpoint whose score exceeds the baseline by this much is avoided
BASELINE_RANK: Final = 0.25  # the baseline is this quantile of the scores of all ready endpoints
NEGLIGIBLE_SCORE: Final = 0.01  # lower scores are dropped
SCORE_DECAY_S: Final = 8.0  # time constant of scores and latency ratios
CONNECTION_DECAY_S: Final = 30.0  # time constant of connection errors and of the peak rate of endpoints
MAX_REPORTED_SAMPLES: Final = 8  # per message
MAX_REPORTED_AGE_NS: Final = 2 * SECOND_NS  # older samples are not reported

ERRORS: Final = (AttemptResult.ERROR, AttemptResult.RESET)
ANSWERS: Final = (
    AttemptResult.OK,
    AttemptResult.ERROR,
    AttemptResult.REJECTED,
    AttemptResult.MALFORMED,
)
ISOLATED_ERRORS: Final = (  # get the lower weight: a single one is no reason to avoid an endpoint
    AttemptResult.MALFORMED,
    AttemptResult.STALE_CONNECTION,
)


class SharedSuspicion(Protocol):
    """A failure detector shared by the gateways (`leases`), which replaces the reports of single samples."""

    def record_sample(self, now: int, endpoint_hash: int, group: int, error: float, weight: float) -> None:
        """Records a sample of this gateway."""

    def score(self, endpoint: Endpoint, class_index: int, pair: int) -> float | None:
        """Returns the score of an endpoint by the reports of peers; None if no peer suspects it."""


class OutlierDetector:
    """Owns and updates error scores and latency ratios of endpoints, and the error rates of connections."""

    def __init__(self, settings: Settings, endpoints: EndpointRegistry) -> None:
        """Starts without samples."""
        self.settings = settings
        self.endpoints = endpoints
        self.baseline = [0.0] * len(settings.classes) * (1 + len(settings.plans))  # baseline score by group
        self.connection_errors = [0.0, 0.0, 0.0]  # by the connection type of an attempt (`records`)
        self.stale_rate = 0.0  # share of the attempts that failed on a stale connection
        self.own_samples: deque[tuple[int, ErrorSample]] = deque(maxlen=MAX_REPORTED_SAMPLES)
        self.shared_suspicion: SharedSuspicion | None = None

    def decay(self, keep: float) -> None:
        """Decays scores and ratios by the factor `keep` and computes the baseline of each group."""
        scores: list[list[float]] = [[] for _ in self.baseline]
        keep_connection = keep ** (SCORE_DECAY_S / CONNECTION_DECAY_S)
        self.connection_errors = [error * keep_connection for error in self.connection_errors]
        tracked = [e for e in self.endpoints.tracked.values() if e.ready_list is not None]
        for endpoint in tracked:
            # Without this decay, a single late answer would count forever.
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
        rank_offset = int(ready * BASELINE_RANK) - ready
        self.baseline = [
            self._score_at_rank(group_scores, rank_offset + len(group_scores)) for group_scores in scores
        ]

    @staticmethod
    def _score_at_rank(scores: list[float], rank: int) -> float:
        """Returns the score at a rank; 0 for a negative rank, which falls on an endpoint without a score."""
        return sorted(scores)[rank] if 0 <= rank < len(scores) else 0.0

    def record_outcome(self, now: int, outcome: AttemptOutcome, attempt: Attempt) -> None:
        """Updates scores and ratio from the outcome of an attempt of this gateway."""
        endpoint = attempt.endpoint
        result = outcome.result
        if result in ANSWERS:
            endpoint.last_answer_ns = now
        ratio = outcome.latency_ns / attempt.expected_ns
        has_latency = result in (AttemptResult.OK, AttemptResult.TIMEOUT)
        if has_latency or (result is AttemptResult.CANCELLED and ratio > 1):
            self.endpoints.track(endpoint)
            endpoint.latency_ratio += TIMING_WEIGHT * (min(ratio, MAX_LATENCY_RATIO) - endpoint.latency_ratio)
        # A rejection tells about one class and plan at that endpoint only.
        if result is AttemptResult.REJECTED:
            pair = self.settings.class_plan_index(attempt.class_index, attempt.plan_index)
            self.record_sample(now, attempt, pair, 1.0, ERROR_WEIGHT)
        elif result is AttemptResult.CONNECT_FAILED:
            self.record_sample(now, attempt, ANY_CLASS, 1.0, CONNECT_FAILURE_WEIGHT)
        elif result in ERRORS:
            self.record_sample(now, attempt, attempt.class_index, 1.0, ERROR_WEIGHT)
        elif result in ISOLATED_ERRORS:
            self.record_sample(now, attempt, attempt.class_index, 1.0, TIMING_WEIGHT)
        elif has_latency:
            lateness = min(1.0, max(0.0, ratio / LATE_RATIO - 1))
            self.record_sample(now, attempt, attempt.class_index, lateness, TIMING_WEIGHT)
        is_stale = result is AttemptResult.STALE_CONNECTION
        self.stale_rate += STALE_RATE_WEIGHT * (is_stale - self.stale_rate)

    def record_sample(self, now: int, attempt: Attempt, group: int, error: float, weight: float) -> None:
        """Records a sample of this gateway, from 0 (good) to 1, and queues it for the peers."""
        endpoint = attempt.endpoint
        self.apply_sample(endpoint, group, error, weight)
        error_rate = self.connection_errors[attempt.connection]
        self.connection_errors[attempt.connection] = error_rate + TIMING_WEIGHT * (error - error_rate)
        if self.shared_suspicion is None:
            self.own_samples.append((now, ErrorSample(endpoint.hash, group, error)))
        else:
            self.shared_suspicion.record_sample(now, endpoint.hash, group, error, weight)

    def apply_sample(self, endpoint: Endpoint, group: int, error: float, weight: float) -> None:
        """Applies a sample of this gateway or of a peer.

        A sample of `ANY_CLASS` counts for every class. Otherwise each class would have to find out by itself
        that the endpoint accepts no connections.
        """
        for scored_group in range(len(self.settings.classes)) if group == ANY_CLASS else (group,):
            if error or scored_group in endpoint.error_scores:
                scores = self.endpoints.track(endpoint).error_scores
                scores[scored_group] = scores.get(scored_group, 0.0) * (1 - weight) + weight * error

    def excess_score(self, endpoint: Endpoint, class_index: int, plan_index: int) -> float:
        """Returns how far an endpoint's score for a class and plan exceeds the baseline.

        The larger of two counts: that of the class, and that of the class and plan together.
        """
        pair = self.settings.class_plan_index(class_index, plan_index)
        scores = endpoint.error_scores
        excess = max(
            scores.get(class_index, 0.0) - self.baseline[class_index],
            scores.get(pair, 0.0) - self.baseline[pair],
        )
        if self.shared_suspicion is None:
            return excess
        suspicion = self.shared_suspicion.score(endpoint, class_index, pair)
        return excess if suspicion is None else max(excess, suspicion)

    def class_excess_score(self, endpoint: Endpoint, class_index: int) -> float:
        """Returns how far an endpoint's score for a class exceeds the baseline."""
        return endpoint.error_scores.get(class_index, 0.0) - self.baseline[class_index]

    def samples_to_report(self, now: int) -> list[ErrorSample]:
        """Returns the latest samples of this gateway that are recent enough to report."""
        return [sample for at_ns, sample in self.own_samples if now - at_ns < MAX_REPORTED_AGE_NS]
