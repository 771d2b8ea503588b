"""This gateway's observations of each zone: its endpoints and its connection failures."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from ..decisions.endpoints import Endpoint
from ..decisions.messages import AttemptOutcome, AttemptResult
from ..decisions.outlier_detection import OUTLIER_SCORE, SCORE_DECAY_S
from ..decisions.parts import DecisionParts
from ..decisions.records import Attempt
from .zone_view import FAILED_RATIO

# Time constant of the decay of connection counts. Shorter than that of error scores, as traffic has to leave
# a failing zone sooner than a failing endpoint.
CONNECTION_DECAY_S: Final = 3.0
# Minimum divisor of the failure ratio, as a single failure is no evidence that the zone fails.
MIN_WEIGHED_ATTEMPTS: Final = 2.5
# The failure ratio is unknown below this decayed count. One attempt keeps it known for some time.
MIN_KNOWN_ATTEMPTS: Final = 0.3
# An endpoint with a higher latency ratio than this counts less, in inverse proportion to it.
SLOW_LATENCY_RATIO: Final = 1.5
# The failure ratio while there are too few attempts. Reports to peers contain this value too.
UNKNOWN_RATIO: Final = -1.0
# Results of attempts that reached the endpoint.
CONNECTED_RESULTS: Final = (
    AttemptResult.OK,
    AttemptResult.ERROR,
    AttemptResult.REJECTED,
    AttemptResult.MALFORMED,
)


@dataclass(slots=True)
class ConnectionCounts:
    """Counts of connection attempts to one zone, which decay with time."""

    failed: float = 0.0
    total: float = 0.0

    def record(self, *, failed: bool) -> None:
        """Counts an attempt; a successful one halves the failures before it, as it is the newer evidence."""
        self.failed = self.failed + 1 if failed else self.failed / 2
        self.total += 1

    def decay(self, keep: float) -> None:
        """Multiplies the counts by `keep`."""
        self.failed *= keep
        self.total *= keep

    @property
    def failed_ratio(self) -> float:
        """The ratio of attempts that failed; `UNKNOWN_RATIO` if there were too few."""
        if self.total < MIN_KNOWN_ATTEMPTS:
            return UNKNOWN_RATIO
        return self.failed / max(MIN_WEIGHED_ATTEMPTS, self.total)


class ZoneHealth:
    """Endpoint and connection counts of each zone. All lists are by zone index."""

    def __init__(self, parts: DecisionParts, zone_count: int) -> None:
        """Counts the endpoints of the policy that `parts` belong to."""
        self.parts = parts
        self.zone_count = zone_count
        self.connections = [ConnectionCounts() for _ in range(zone_count)]
        self.ready = [0] * zone_count  # number of endpoints that discovery lists as ready
        self.warm = [0.0] * zone_count  # the same, weighted by warmth
        self.healthy = [0.0] * zone_count  # of these the ones that are no outliers; slow ones count less

    def zone_of(self, endpoint: Endpoint) -> int:
        """Returns the zone index of an endpoint; the last index if the settings don't name its zone."""
        return min(endpoint.entry.zone, self.zone_count - 1)

    def is_failing(self, zone: int) -> bool:
        """Returns whether connections to a zone fail or most of its endpoints are outliers."""
        return (
            self.connections[zone].failed_ratio >= FAILED_RATIO
            or self.healthy[zone] < (1 - FAILED_RATIO) * self.warm[zone]
        )

    def count_endpoints(self, now: int) -> None:
        """Recounts the endpoints of all zones."""
        detector = self.parts.detector
        classes = range(len(self.parts.settings.classes))
        self.ready = [0] * self.zone_count
        self.warm = [0.0] * self.zone_count
        self.healthy = [0.0] * self.zone_count
        for endpoint in self.parts.endpoints.ready:
            zone = self.zone_of(endpoint)
            excess = min((detector.class_excess_score(endpoint, index) for index in classes), default=0.0)
            warmth = self.parts.capacity.warmth(now, endpoint)
            speed = min(1.0, SLOW_LATENCY_RATIO / max(SLOW_LATENCY_RATIO, endpoint.latency_ratio))
            self.ready[zone] += 1
            self.warm[zone] += warmth
            self.healthy[zone] += warmth * (excess < OUTLIER_SCORE) * speed

    def on_outcome(self, _: int, outcome: AttemptOutcome, attempt: Attempt) -> None:
        """Counts whether an attempt reached its zone. A timeout of a silent endpoint is a failure."""
        connections = self.connections[self.zone_of(attempt.endpoint)]
        if outcome.result is AttemptResult.CONNECT_FAILED:
            connections.record(failed=True)
        elif outcome.result in CONNECTED_RESULTS:
            connections.record(failed=False)
        elif outcome.result is AttemptResult.TIMEOUT and attempt.silence_recorded:
            connections.record(failed=True)

    def on_decayed(self, keep: float) -> None:
        """Decays the connection counts by the time in which error scores decay by the factor `keep`."""
        time_constants = math.log(1 / keep) if 0 < keep < 1 else 0.0
        connections_keep = math.exp(-time_constants * SCORE_DECAY_S / CONNECTION_DECAY_S)
        for connections in self.connections:
            connections.decay(connections_keep)
