"""Keeps the scores of endpoints that left the subset, in case they return."""

from __future__ import annotations

import math
from typing import Final, NamedTuple

from ..decisions.endpoints import NO_SCORES, Endpoint
from ..decisions.messages import EndpointEntry
from ..decisions.outlier_detection import NEGLIGIBLE_SCORE, SCORE_DECAY_S
from ..decisions.units import SECOND_NS

MAX_DEPARTED: Final = 1024  # bounds the memory; small changes of a ring exchange only a few endpoints


class DepartedEndpoint(NamedTuple):
    """An endpoint in its state at the time when it left."""

    left_ns: int
    endpoint: Endpoint


class DepartedEndpoints:
    """The endpoints that left most recently, at most `MAX_DEPARTED`."""

    def __init__(self) -> None:
        """Starts empty."""
        self.count = 0  # number of endpoints that left since the start
        self._by_id: dict[int, DepartedEndpoint] = {}  # in the order in which they left

    def add(self, now: int, endpoint_id: int, endpoint: Endpoint) -> None:
        """Keeps an endpoint that leaves; drops the oldest one if there are too many."""
        self.count += 1
        self._by_id[endpoint_id] = DepartedEndpoint(now, endpoint)
        if len(self._by_id) > MAX_DEPARTED:
            del self._by_id[next(iter(self._by_id))]

    def restore(self, now: int, entry: EndpointEntry) -> Endpoint | None:
        """Returns a kept endpoint with decayed scores; None if it is unknown or was restarted since."""
        departed = self._by_id.pop(entry.id, None)
        if departed is None or departed.endpoint.entry.started_ns != entry.started_ns:
            return None
        endpoint = departed.endpoint
        endpoint.entry = entry
        if endpoint.error_scores is not NO_SCORES:
            _decay(endpoint, (now - departed.left_ns) / SECOND_NS)
        return endpoint


def _decay(endpoint: Endpoint, elapsed_s: float) -> None:
    """Decays the latency ratio towards 1 and the error scores towards 0."""
    keep = math.exp(-elapsed_s / SCORE_DECAY_S)
    endpoint.latency_ratio += (1 - keep) * (1 - endpoint.latency_ratio)
    endpoint.error_scores = {
        group: score * keep
        for group, score in endpoint.error_scores.items()
        if score * keep > NEGLIGIBLE_SCORE
    }
