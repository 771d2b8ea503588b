"""What this gateway sees of each zone: its endpoints, and how connections to them end."""

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

# Time constant of the decay of connection counts; shorter than that of error scores, as a zone has to be left
# sooner than an endpoint.
CONNECTION_DECAY_S: Final = 3.0
# Attempts that a ratio of failures is of at least: one failure alone says nothing of a zone.
MIN_WEIGHED_ATTEMPTS: Final = 2.5
# Attempts from which a ratio is known at all: one that connected is enough for some time.
MIN_KNOWN_ATTEMPTS: Final = 0.3
# Latency ratio of an endpoint from which it counts the less the slower it is.
SLOW_LATENCY_RATIO: Final = 1.5
# The ratio of failures where too few connections were tried; goes to the peers as it is.
UNKNOWN_RATIO: Final = -1.0
CONNECTED_RESULTS: Final = (
    AttemptResult.OK,
    AttemptResult.ERROR,
    AttemptResult.REJECTED,
    AttemptResult.MALFORMED,
)


@dataclass(slots=True)
class ConnectionCounts:
    """Attempts to connect to one zone, decaying with time."""

    failed: float = 0.0
    total: float = 0.0

    def record(self, *, failed: bool) -> None:
        """Counts an attempt; one that connected says more of the present than those that failed before."""
        self.failed = self.failed + 1 if failed else self.failed / 2
        self.total += 1

    def decay(self, keep: float) -> None:
        """Keeps this part of the counts."""
        self.failed *= keep
        self.total *= keep

    @property
    def failed_ratio(self) -> float:
        """The part of the attempts that failed; `UNKNOWN_RATIO` where too few were made."""
        if self.total < MIN_KNOWN_ATTEMPTS:
            return UNKNOWN_RATIO
        return self.failed / max(MIN_WEIGHED_ATTEMPTS, self.total)


class ZoneHealth:
    """Owner of the counts of each zone; all lists are by zone index."""

    def __init__(self, parts: DecisionParts, zone_count: int) -> None:
        """Takes the parts of the policy, whose endpoints are counted."""
        self.parts = parts
        self.zone_count = zone_count
        self.connections = [ConnectionCounts() for _ in range(zone_count)]
        self.ready = [0] * zone_count  # endpoints listed as ready
        self.warm = [0.0] * zone_count  # the same, each by its warmth
        self.healthy = [0.0] * zone_count  # those of them that are no outliers, less where they are slow

    def zone_of(self, endpoint: Endpoint) -> int:
        """The zone index of an endpoint; the last one where its zone is in no setting."""
        return min(endpoint.entry.zone, self.zone_count - 1)

    def is_failing(self, zone: int) -> bool:
        """Connections to a zone fail, or most of its endpoints are outliers."""
        return (
            self.connections[zone].failed_ratio >= FAILED_RATIO
            or self.healthy[zone] < (1 - FAILED_RATIO) * self.warm[zone]
        )

    def count_endpoints(self, now: int) -> None:
        """Counts the endpoints of all zones anew."""
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
        """Counts whether an attempt reached its zone; a timeout counts of a silent endpoint counts."""
        connections = self.connections[self.zone_of(attempt.endpoint)]
        if outcome.result is AttemptResult.CONNECT_FAILED:
            connections.record(failed=True)
        elif outcome.result in CONNECTED_RESULTS:
            connections.record(failed=False)
        elif outcome.result is AttemptResult.TIMEOUT and attempt.silence_recorded:
            connections.record(failed=True)

    def on_decayed(self, keep: float) -> None:
        """Decays the counts of connections for the time in which error scores keep this part."""
        time_constants = math.log(1 / keep) if 0 < keep < 1 else 0.0
        connections_keep = math.exp(-time_constants * SCORE_DECAY_S / CONNECTION_DECAY_S)
        for connections in self.connections:
            connections.decay(connections_keep)
