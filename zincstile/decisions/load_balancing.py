"""Load balancing: chooses the endpoint of an attempt.

A random draw gives each warming endpoint its slow start share of the attempts. All other attempts go to the
best of some candidates, by attempts in flight, latency, error score, zone and a small random jitter.
"""

from __future__ import annotations

import math
import random
from bisect import bisect
from collections.abc import Callable
from typing import Final

from .capacity import Capacity
from .endpoints import Endpoint, EndpointRegistry
from .outlier_detection import OUTLIER_SCORE, OutlierDetector
from .records import PendingRequest
from .settings import DeduplicationScope, Idempotency, Settings
from .slow_start import SlowStart

CANDIDATES: Final = 10  # endpoints compared per attempt; all of them if there are at most twice as many
IGNORED_EXCESS: Final = 0.1  # an error score up to this far above the baseline has no effect
OTHER_ZONE_PENALTY: Final = 0.3  # added to the factor of the score of an endpoint in another zone
JITTER: Final = 0.1  # upper end of the random addition to the factor of a score
OUTLIER_PENALTY: Final = (
    1e6  # times the excess score: an outlier is chosen only if there is no other endpoint
)

# Takes the time and the request; returns the endpoint, or None if there is none to use.
EndpointChooser = Callable[[int, PendingRequest], Endpoint | None]


class LoadBalancer:
    """Chooses endpoints. Its only state is the filter that a feature may set."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        endpoints: EndpointRegistry,
        detector: OutlierDetector,
        capacity: Capacity,
        slow_start: SlowStart,
    ) -> None:
        """Starts without a filter."""
        self.settings = settings
        self.rng = rng
        self.endpoints = endpoints
        self.detector = detector
        self.capacity = capacity
        self.slow_start = slow_start
        # Returns whether an endpoint may be used for the attempt at hand; set by the zone failover feature.
        self.is_eligible: Callable[[Endpoint], bool] | None = None

    def choose(self, now: int, pending: PendingRequest) -> Endpoint | None:
        """Returns the endpoint for the next attempt, or None if no ready endpoint may be used."""
        self.capacity.classify_if_due(now)
        best, best_score, is_final = self._choose_warming(now, pending)
        return best if is_final else self._choose_warm(pending, best, best_score)

    def _choose_warming(self, now: int, pending: PendingRequest) -> tuple[Endpoint | None, float, bool]:
        """Draws a warming endpoint: returns it with its score, and whether the choice is final.

        An endpoint drawn for its slow start share is final. Beyond that share, up to the largest one allowed,
        it is compared with the warm endpoints.
        """
        slow_start = self.slow_start
        warming = self.endpoints.warming
        draw = self.rng.random()
        if not warming:
            return None, math.inf, False
        total_share = slow_start.cumulative_shares[-1] if slow_start.cumulative_shares else 1.0
        beyond_share = draw >= total_share and slow_start.max_share_multiple > 1
        position = bisect(
            slow_start.cumulative_shares,
            (draw - total_share) / (slow_start.max_share_multiple - 1) if beyond_share else draw,
        )
        if position >= len(warming):
            return None, math.inf, False
        endpoint = warming[position]
        request = pending.request
        if not self.may_use(pending, endpoint):
            return None, math.inf, False
        if self.detector.excess_score(endpoint, request.class_index, request.plan) >= OUTLIER_SCORE:
            return None, math.inf, False
        if not beyond_share:
            return endpoint, 0.0, True
        score = (endpoint.in_flight + 1) * endpoint.latency_ratio / self.capacity.warmth(now, endpoint)
        return endpoint, score, False

    def _choose_warm(
        self, pending: PendingRequest, best: Endpoint | None, best_score: float
    ) -> Endpoint | None:
        """Returns the best of the warm candidates and the best endpoint so far."""
        request = pending.request
        detector = self.detector
        draw = self.rng.random
        own_zone = self.settings.zone
        group = self.settings.class_plan_index(request.class_index, request.plan)
        excess_without_scores = -min(detector.baseline[request.class_index], detector.baseline[group])
        candidates = self.endpoints.warm
        if len(candidates) > 2 * CANDIDATES:
            candidates = self.rng.sample(candidates, CANDIDATES)
        for endpoint in candidates:
            excess = excess_without_scores
            if endpoint.error_scores:
                excess = detector.excess_score(endpoint, request.class_index, request.plan)
            score = (endpoint.in_flight + 1) * endpoint.latency_ratio
            score = score * (1 + 2 * max(0.0, excess - IGNORED_EXCESS))
            zone_penalty = OTHER_ZONE_PENALTY if endpoint.entry.zone != own_zone else 0.0
            score *= 1 + JITTER * draw() + zone_penalty
            if excess >= OUTLIER_SCORE:
                score += OUTLIER_PENALTY * excess
            if score < best_score and self.may_use(pending, endpoint):
                best = endpoint
                best_score = score
        return best

    def may_use(self, pending: PendingRequest, endpoint: Endpoint) -> bool:
        """Returns whether a request may be sent to an endpoint.

        It is sent to each endpoint at most once. A request with an idempotency key that may have run goes
        only to endpoints that detect its repetition.
        """
        if self.is_eligible is not None and not self.is_eligible(endpoint):
            return False
        if endpoint in pending.attempted_endpoints:
            return False
        first = pending.may_have_run_at
        if first is None:
            return True
        keyed = pending.request_class.idempotency is Idempotency.BY_KEY
        scope = pending.request_class.deduplication_scope if keyed else DeduplicationScope.ALL
        return endpoint.deduplication_group(scope) == first.deduplication_group(scope)
