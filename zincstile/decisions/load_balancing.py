"""Load balancing: which endpoint an attempt goes to.

A warming endpoint by a draw, its due; else the best of some candidates by attempts in flight, latency, error
score, zone and a little chance.
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

CANDIDATES: Final = 10  # endpoints compared; all where there are at most twice as many
IGNORED_EXCESS: Final = 0.1  # least excess of an error score that counts
OTHER_ZONE_PENALTY: Final = 0.3  # factor above 1
JITTER: Final = 0.1  # factor above 1, at most
OUTLIER_PENALTY: Final = 1e6  # times the excess of an outlier: only where there is no other

EndpointChooser = Callable[
    [int, PendingRequest], Endpoint | None
]  # time, request -> endpoint; None: there is none


class LoadBalancer:
    """Chooses endpoints. It holds no state of its own but what narrows the choice."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        endpoints: EndpointRegistry,
        detector: OutlierDetector,
        capacity: Capacity,
        slow_start: SlowStart,
    ) -> None:
        """Takes the parts that it works with."""
        self.settings = settings
        self.rng = rng
        self.endpoints = endpoints
        self.detector = detector
        self.capacity = capacity
        self.slow_start = slow_start
        self.is_eligible: Callable[[Endpoint], bool] | None = (
            None  # zone failover: endpoints of the zone at hand
        )

    def choose(self, now: int, pending: PendingRequest) -> Endpoint | None:
        """The endpoint of the next attempt; None where no ready one may be used."""
        self.capacity.classify_if_due(now)
        best, best_score, done = self._choose_warming(now, pending)
        return best if done else self._choose_warm(pending, best, best_score)

    def _choose_warming(self, now: int, pending: PendingRequest) -> tuple[Endpoint | None, float, bool]:
        """A warming endpoint by a draw, its due (then the choice is done), or one that is compared with the
        warm ones, up to its most; with its score."""
        slow_start = self.slow_start
        warming = self.endpoints.warming
        draw = self.rng.random()
        if not warming:
            return None, math.inf, False
        due = slow_start.cumulative_shares[-1] if slow_start.cumulative_shares else 1.0
        beyond_due = draw >= due and slow_start.max_share_multiple > 1
        position = bisect(
            slow_start.cumulative_shares,
            (draw - due) / (slow_start.max_share_multiple - 1) if beyond_due else draw,
        )
        if position >= len(warming):
            return None, math.inf, False
        endpoint = warming[position]
        request = pending.request
        if not self.may_use(pending, endpoint):
            return None, math.inf, False
        if self.detector.excess_score(endpoint, request.class_index, request.plan) >= OUTLIER_SCORE:
            return None, math.inf, False
        if not beyond_due:
            return endpoint, 0.0, True
        score = (endpoint.in_flight + 1) * endpoint.latency_ratio / self.capacity.warmth(now, endpoint)
        return endpoint, score, False

    def _choose_warm(
        self, pending: PendingRequest, best: Endpoint | None, best_score: float
    ) -> Endpoint | None:
        """The best of the warm candidates, if it is better than the best so far."""
        request = pending.request
        detector = self.detector
        random_ = self.rng.random
        own_zone = self.settings.zone
        pair = self.settings.class_plan_index(request.class_index, request.plan)
        unscored = -min(detector.baseline[request.class_index], detector.baseline[pair])
        candidates = self.endpoints.warm
        if len(candidates) > 2 * CANDIDATES:
            candidates = self.rng.sample(candidates, CANDIDATES)
        for endpoint in candidates:
            excess = unscored
            if endpoint.error_scores:
                excess = detector.excess_score(endpoint, request.class_index, request.plan)
            score = (endpoint.in_flight + 1) * endpoint.latency_ratio
            score = score * (1 + 2 * max(0.0, excess - IGNORED_EXCESS))
            zone_penalty = OTHER_ZONE_PENALTY if endpoint.entry.zone != own_zone else 0.0
            score *= 1 + JITTER * random_() + zone_penalty
            if excess >= OUTLIER_SCORE:
                score += OUTLIER_PENALTY * excess
            if score < best_score and self.may_use(pending, endpoint):
                best = endpoint
                best_score = score
        return best

    def may_use(self, pending: PendingRequest, endpoint: Endpoint) -> bool:
        """Each endpoint once; a keyed request that may have run stays where its repeats are dropped."""
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
