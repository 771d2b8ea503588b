"""Passes other gateways' suspicions of endpoints to the policy's outlier detection."""

from __future__ import annotations

from typing import Final

from ..decisions.endpoints import Endpoint
from ..decisions.messages import LogMessage
from ..decisions.parts import DecisionParts
from .failure_detector import ALL_CLASSES, FailureDetector

UNREACHABLE_ERROR: Final = 0.99  # a sample with at least this error means no connection or no answer
# The lowest score that the outlier detection keeps. It makes the choice of an endpoint consult all scores.
MARKING_SCORE: Final = 0.011


class SuspectedEndpoints:
    """The `SharedSuspicion` of the leases: collects own samples and provides scores from others' reports."""

    def __init__(self, failure_detector: FailureDetector) -> None:
        """Starts without scores."""
        self.failure_detector = failure_detector
        self.scores: dict[int, dict[int, float]] = {}  # from others' reports, by endpoint hash and group
        self._logged_isolated = False

    def attach(self, parts: DecisionParts) -> None:
        """Stores the parts of the policy, and registers with its outlier detection."""
        self.parts = parts
        parts.detector.shared_suspicion = self

    def record_sample(self, now: int, endpoint_hash: int, group: int, error: float, weight: float) -> None:
        """Records an own sample, which is reported with this gateway as its origin."""
        of_class = group == ALL_CLASSES or group < len(self.parts.settings.classes)
        unreachable = error >= UNREACHABLE_ERROR and of_class
        self.failure_detector.record_attempt(
            now, endpoint_hash, group, error, weight, unreachable=unreachable
        )

    def score(self, endpoint: Endpoint, class_index: int, pair: int) -> float | None:
        """Returns an endpoint's score from others' reports; None if no gateway suspects it."""
        reported = self.scores.get(endpoint.hash)
        if reported is None:
            return None
        return max(reported.get(group, 0.0) for group in (class_index, pair, ALL_CLASSES))

    def tick(self, now: int) -> None:
        """Recomputes the scores, and logs changes of whether this gateway is isolated."""
        endpoints = self.parts.endpoints
        hashes = [endpoint.hash for endpoint in endpoints.ready]
        self.failure_detector.tick(now, hashes)
        self.scores = {}
        if self.failure_detector.received_suspicions:
            groups = range(ALL_CLASSES + 1)
            self.scores = self.failure_detector.suspected_scores(now, hashes, groups)
        for endpoint_hash in self.scores:
            endpoint = endpoints.track(endpoints.by_hash[endpoint_hash])
            endpoint.error_scores.setdefault(0, MARKING_SCORE)
        self._log_isolation()

    def _log_isolation(self) -> None:
        isolated = self.failure_detector.isolated
        if isolated is self._logged_isolated:
            return
        self._logged_isolated = isolated
        state = "is cut off from the back end" if isolated else "reaches the back end again"
        self.parts.actions.append(LogMessage(f"shared this gateway {state}"))
