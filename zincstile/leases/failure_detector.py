"""Failure detection of backend endpoints, from this gateway's own attempts and other gateways' suspicions.

* Own attempts have priority: a suspicion is ignored for an endpoint with recent attempts from here.
* Suspicions of others count only if observers in several zones share them. Gateways of one zone fail
  together: if a zone is cut off, all of its gateways suspect all endpoints in other zones.
* Suspicions of others exclude at most a fixed part of the endpoints, no matter how many gateways share them.
* A suspicion ends `suspicion_ns` after it was made. It carries its age, which only grows as it is relayed.
* A gateway considers itself isolated if most endpoints fail for it, while the gateways that it hears from do
  not suspect these endpoints. It then sends no suspicions of its own, and keeps trying.

Merging is commutative and idempotent: for each origin, endpoint and group, the youngest suspicion counts. An
error score is the moving average of the fraction of attempts that failed, from 0 to 1.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Final

from .settings import LeaseSettings

SUSPECT_ERROR_SCORE: Final = 0.3  # an endpoint is suspected from this score on: three in ten attempts failed
MIN_ERROR_SCORE: Final = 0.1  # lower scores from others' suspicions are ignored
UNSUSPECTED_RATIO: Final = 0.9  # of SUSPECT_ERROR_SCORE: surplus suspicions are lowered to it
# Own attempts are valid for this time, as an endpoint may recover meanwhile.
OWN_SAMPLES_VALID_NS: Final = 3_000_000_000
SAMPLES_EXPIRY_NS: Final = 10 * OWN_SAMPLES_VALID_NS  # own samples are dropped after this time without one
MIN_OWN_SAMPLES: Final = 2  # own attempts needed to ignore others' suspicions: a single one may be chance
MAX_RELAYED_SUSPICIONS: Final = 6  # in one message; with the own suspicions they fit into one datagram
MAX_OWN_SUSPICIONS: Final = 8  # in one message
# If more than this fraction of the endpoints tried is unreachable, a gateway may be isolated.
MAX_UNREACHABLE_RATIO: Final = 0.5
MIN_TRIED_ENDPOINTS: Final = 3  # a gateway that tried fewer can't tell whether it is isolated
MAX_CLASSES: Final = 64  # the groups of single request classes have smaller numbers
ALL_CLASSES: Final = 255  # the group of all request classes


@dataclass(slots=True)
class Suspicion:
    """A message: the error score of an endpoint for a group of requests, as observed by its origin."""

    endpoint: int  # hash of its name
    group: int  # a request class, a pair of class and plan, or ALL_CLASSES
    error_score: float
    origin: int  # the gateway that made the observation
    zone: int  # of the origin
    age_ns: int


@dataclass(slots=True)
class ReceivedSuspicion:
    """The youngest suspicion from one origin about one endpoint and group."""

    error_score: float
    zone: int  # of the origin
    created_ns: int  # on this gateway's clock


@dataclass(slots=True)
class OwnSamples:
    """This gateway's own attempts for one group at one endpoint."""

    error_score: float = 0.0  # moving average
    last_ns: int = -(10**18)
    count: int = 0  # restarts after OWN_SAMPLES_VALID_NS without an attempt
    unreachable: bool = False  # the last attempt got no connection or no answer


@dataclass(slots=True)
class Observer:
    """Another gateway from which a message has arrived."""

    zone: int
    last_ns: int


@dataclass(slots=True)
class FailureDetector:
    """What one gateway knows about all endpoints, from its own attempts and from others."""

    settings: LeaseSettings
    gateway: int  # this gateway
    zone: int  # of this gateway
    own_samples: dict[tuple[int, int], OwnSamples] = field(default_factory=dict)  # by endpoint and group
    # by (endpoint, group), then by origin
    received_suspicions: dict[tuple[int, int], dict[int, ReceivedSuspicion]] = field(default_factory=dict)
    observers: dict[int, Observer] = field(default_factory=dict)  # by gateway
    isolated: bool = False  # this gateway is cut off from the back end

    # ---- input

    def record_attempt(
        self,
        now: int,
        endpoint: int,
        group: int,
        error_score: float,
        weight: float,
        *,
        unreachable: bool = False,
    ) -> None:
        """Records the result of an own attempt; `weight` is its weight in the moving average."""
        samples = self.own_samples.setdefault((endpoint, group), OwnSamples())
        if now - samples.last_ns > OWN_SAMPLES_VALID_NS:
            samples.count = 0
        samples.error_score += weight * (error_score - samples.error_score)
        samples.last_ns = now
        samples.count += 1
        samples.unreachable = unreachable

    def record_observer(self, now: int, gateway: int, zone: int) -> None:
        """Records that a message arrived from another gateway, and its zone."""
        self.observers[gateway] = Observer(zone, now)

    def merge(self, now: int, suspicion: Suspicion) -> bool:
        """Records another gateway's suspicion; returns whether it was new. Own suspicions are ignored."""
        if suspicion.origin == self.gateway or suspicion.age_ns >= self.settings.suspicion_ns:
            return False
        created_ns = now - suspicion.age_ns
        by_origin = self.received_suspicions.setdefault((suspicion.endpoint, suspicion.group), {})
        known = by_origin.get(suspicion.origin)
        if known is not None and known.created_ns >= created_ns:
            return False
        by_origin[suspicion.origin] = ReceivedSuspicion(suspicion.error_score, suspicion.zone, created_ns)
        return True

    # ---- scores

    def zones_needed(self, now: int) -> int:
        """Returns how many zones have to share a suspicion: at most the number of zones heard from."""
        zones = {
            observer.zone
            for observer in self.observers.values()
            if now - observer.last_ns < self.settings.suspicion_ns
        }
        return max(1, min(self.settings.observer_zones, len(zones | {self.zone})))

    def received_error_score(self, now: int, endpoint: int, group: int) -> float:
        """Returns the error score that follows from others' suspicions alone, from 0 to 1.

        With `n` zones needed, it is the highest score that at least `n` zones reach. It falls as the
        suspicions age.
        """
        by_origin = self.received_suspicions.get((endpoint, group))
        if not by_origin:
            return 0.0
        scores: dict[int, float] = {}  # the highest score by zone
        for suspicion in by_origin.values():
            remaining_ratio = 1 - (now - suspicion.created_ns) / self.settings.suspicion_ns
            if remaining_ratio > 0:
                score = suspicion.error_score * remaining_ratio
                scores[suspicion.zone] = max(scores.get(suspicion.zone, 0.0), score)
        needed = self.zones_needed(now)
        if len(scores) < needed:
            return 0.0
        return sorted(scores.values(), reverse=True)[needed - 1]

    def recent_samples(self, now: int, endpoint: int, group: int) -> OwnSamples | None:
        """Returns the own attempts that have priority over others' suspicions; None if there are too few."""
        samples = self.own_samples.get((endpoint, group))
        if samples is None or samples.count < MIN_OWN_SAMPLES:
            return None
        return samples if now - samples.last_ns < OWN_SAMPLES_VALID_NS else None

    def suspected_scores(
        self, now: int, endpoints: Iterable[int], groups: Iterable[int]
    ) -> dict[int, dict[int, float]]:
        """Returns error scores by endpoint and group from others' suspicions, where own attempts are lacking.

        At least `min_unsuspected_ratio` of the endpoints stay unsuspected: if there are too many suspects,
        the scores of all but the worst are lowered.
        """
        known_endpoints = list(endpoints)
        scores: dict[int, dict[int, float]] = {}
        for endpoint, group in self.received_suspicions:
            if group in groups and self.recent_samples(now, endpoint, group) is None:
                score = self.received_error_score(now, endpoint, group)
                if score >= MIN_ERROR_SCORE:
                    scores.setdefault(endpoint, {})[group] = score
        scores = {endpoint: scores[endpoint] for endpoint in known_endpoints if endpoint in scores}
        worst = {endpoint: max(by_group.values()) for endpoint, by_group in scores.items()}
        suspects = [endpoint for endpoint in scores if worst[endpoint] >= SUSPECT_ERROR_SCORE]
        suspects.sort(key=lambda endpoint: -worst[endpoint])
        max_suspects = int((1 - self.settings.min_unsuspected_ratio) * len(known_endpoints))
        max_score = SUSPECT_ERROR_SCORE * UNSUSPECTED_RATIO
        for endpoint in suspects[max_suspects:]:
            scores[endpoint] = {group: min(score, max_score) for group, score in scores[endpoint].items()}
        return scores

    # ---- time

    def tick(self, now: int, endpoints: Iterable[int]) -> None:
        """Drops expired suspicions and samples, and decides whether this gateway is isolated."""
        self._drop_expired(now)
        self.isolated = self._is_isolated(now, set(endpoints))

    def _drop_expired(self, now: int) -> None:
        """Drops suspicions that have ended, and old samples of own attempts."""
        expired_ns = now - self.settings.suspicion_ns
        for key, by_origin in list(self.received_suspicions.items()):
            for origin in [origin for origin, known in by_origin.items() if known.created_ns <= expired_ns]:
                del by_origin[origin]
            if not by_origin:
                del self.received_suspicions[key]
        for key in [key for key, own in self.own_samples.items() if now - own.last_ns > SAMPLES_EXPIRY_NS]:
            del self.own_samples[key]

    def _is_isolated(self, now: int, endpoints: set[int]) -> bool:
        """Returns whether most endpoints are unreachable for this gateway, but not for others.

        Without other gateways to compare with, a gateway never counts as isolated.
        """
        is_unreachable: dict[int, bool] = {}  # by recently tried endpoint
        for (endpoint, _), samples in self.own_samples.items():
            is_recent = now - samples.last_ns < OWN_SAMPLES_VALID_NS
            if endpoint in endpoints and is_recent and samples.count >= MIN_OWN_SAMPLES:
                failed = samples.unreachable and samples.error_score >= SUSPECT_ERROR_SCORE
                is_unreachable[endpoint] = is_unreachable.get(endpoint, False) or failed
        unreachable = [endpoint for endpoint, failed in is_unreachable.items() if failed]
        if len(is_unreachable) < MIN_TRIED_ENDPOINTS or len(unreachable) <= MAX_UNREACHABLE_RATIO * len(
            is_unreachable
        ):
            return False
        valid_ns = self.settings.suspicion_ns
        if not any(now - observer.last_ns < valid_ns for observer in self.observers.values()):
            return False
        agreed = sum(self._is_suspected_by_others(now, endpoint) for endpoint in unreachable)
        return agreed <= len(unreachable) / 2

    def _is_suspected_by_others(self, now: int, endpoint: int) -> bool:
        """Returns whether other gateways suspect an endpoint, for any request class."""
        groups = (*range(MAX_CLASSES), ALL_CLASSES)
        return any(self.received_error_score(now, endpoint, group) >= SUSPECT_ERROR_SCORE for group in groups)

    def suspicions_to_send(self, now: int) -> list[Suspicion]:
        """Returns the youngest suspicions: others', and own ones unless this gateway is isolated."""
        own = [] if self.isolated else self._own_suspicions(now)
        relayed = [
            Suspicion(endpoint, group, known.error_score, origin, known.zone, now - known.created_ns)
            for (endpoint, group), by_origin in self.received_suspicions.items()
            for origin, known in by_origin.items()
            if known.error_score >= SUSPECT_ERROR_SCORE
        ]
        own.sort(key=attrgetter("age_ns"))
        relayed.sort(key=attrgetter("age_ns"))
        return own[:MAX_OWN_SUSPICIONS] + relayed[:MAX_RELAYED_SUSPICIONS]

    def _own_suspicions(self, now: int) -> list[Suspicion]:
        """Returns the suspicions that follow from own attempts."""
        valid_ns = self.settings.suspicion_ns
        return [
            Suspicion(endpoint, group, own.error_score, self.gateway, self.zone, now - own.last_ns)
            for (endpoint, group), own in self.own_samples.items()
            if own.error_score >= SUSPECT_ERROR_SCORE and now - own.last_ns < valid_ns
        ]
