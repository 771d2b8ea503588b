"""Failure detection of backend endpoints, by own attempts and by suspicions of other gateways.

* Own attempts go first: no suspicion overrules an endpoint that was tried here lately.
* A suspicion of others counts once observers in several zones share it. Gateways of one zone fail together: a
  zone that is cut off takes all endpoints of the others for dead, and all of its gateways say so.
* Suspicions of others never rule out more than a stated part of the endpoints, however many say it.
* A suspicion ends `suspicion_ns` after it was made, wherever it travels: its age goes with it and only grows.
* A gateway for which most endpoints are dead, while the gateways that reach it do not suspect them, takes
  itself for isolated: it keeps its suspicions to itself, and goes on trying.

Merging is commutative and idempotent: of one origin on one endpoint and group, the youngest suspicion holds.
An error score is the share of attempts that failed lately, from 0 to 1.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Final

from .settings import LeaseSettings

SUSPECT_ERROR_SCORE: Final = 0.3  # an endpoint is suspected from here: three in ten attempts failed
MIN_ERROR_SCORE: Final = 0.1  # below, a suspicion of others is no news any more
UNSUSPECTED_RATIO: Final = 0.9  # of SUSPECT_ERROR_SCORE, to which the suspicions too many are lowered
OWN_SAMPLES_VALID_NS: Final = (
    3_000_000_000  # own attempts count for so long: an endpoint may recover meanwhile
)
FORGET_SAMPLES_NS: Final = 10 * OWN_SAMPLES_VALID_NS  # without an attempt for so long, they are dropped
MIN_OWN_SAMPLES: Final = 2  # own attempts by which suspicions of others are ignored: one may be chance
MAX_RELAYED_SUSPICIONS: Final = 6  # in one message, of others: both kinds fit into one datagram
MAX_OWN_SUSPICIONS: Final = 8  # in one message
MAX_DEAD_RATIO: Final = (
    0.5  # of the endpoints that were tried; with more of them dead a gateway may be isolated
)
MIN_TRIED_ENDPOINTS: Final = 3  # by which a gateway can tell whether it is isolated
MAX_CLASSES: Final = 64  # request classes have smaller numbers as groups
ALL_CLASSES: Final = 255  # the group of all request classes


@dataclass(slots=True)
class Suspicion:
    """A message: how attempts of a group at an endpoint failed, as seen by its origin."""

    endpoint: int  # a hash of its name
    group: int  # a request class, a pair of class and plan, or ALL_CLASSES
    error_score: float
    origin: int  # gateway
    zone: int  # of the origin
    age_ns: int


@dataclass(slots=True)
class ReceivedSuspicion:
    """The youngest suspicion of one origin on one endpoint and group."""

    error_score: float
    zone: int  # of the origin
    created_ns: int  # by this gateway's clock


@dataclass(slots=True)
class OwnSamples:
    """This gateway's own attempts of one group at one endpoint."""

    error_score: float = 0.0  # moving average
    last_ns: int = -(10**18)
    count: int = 0  # without a gap of OWN_SAMPLES_VALID_NS
    unreachable: bool = False  # the last one found no connection, or no answer


@dataclass(slots=True)
class Observer:
    """Another gateway that was heard from."""

    zone: int
    last_ns: int


@dataclass(slots=True)
class FailureDetector:
    """What one gateway knows of all endpoints, by itself and from others."""

    settings: LeaseSettings
    gateway: int  # this one
    zone: int  # of this one
    own_samples: dict[tuple[int, int], OwnSamples] = field(default_factory=dict)  # by endpoint and group
    # by endpoint and group, then by origin
    received_suspicions: dict[tuple[int, int], dict[int, ReceivedSuspicion]] = field(default_factory=dict)
    observers: dict[int, Observer] = field(default_factory=dict)  # by gateway
    isolated: bool = False  # this gateway is cut off from the back end

    # ---- what is learnt

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
        """Records an own attempt that has ended; `weight` is its part of the moving average."""
        samples = self.own_samples.setdefault((endpoint, group), OwnSamples())
        if now - samples.last_ns > OWN_SAMPLES_VALID_NS:
            samples.count = 0
        samples.error_score += weight * (error_score - samples.error_score)
        samples.last_ns = now
        samples.count += 1
        samples.unreachable = unreachable

    def record_observer(self, now: int, gateway: int, zone: int) -> None:
        """Records that another gateway was heard from, and its zone."""
        self.observers[gateway] = Observer(zone, now)

    def merge(self, now: int, suspicion: Suspicion) -> bool:
        """Takes a suspicion of another gateway; returns whether it is news, as an own one never is."""
        if suspicion.origin == self.gateway or suspicion.age_ns >= self.settings.suspicion_ns:
            return False
        created_ns = now - suspicion.age_ns
        by_origin = self.received_suspicions.setdefault((suspicion.endpoint, suspicion.group), {})
        known = by_origin.get(suspicion.origin)
        if known is not None and known.created_ns >= created_ns:
            return False
        by_origin[suspicion.origin] = ReceivedSuspicion(suspicion.error_score, suspicion.zone, created_ns)
        return True

    # ---- what follows from it

    def zones_needed(self, now: int) -> int:
        """Returns the zones that have to share a suspicion: no more than are heard from, and at least one."""
        zones = {
            observer.zone
            for observer in self.observers.values()
            if now - observer.last_ns < self.settings.suspicion_ns
        }
        return max(1, min(self.settings.observer_zones, len(zones | {self.zone})))

    def received_error_score(self, now: int, endpoint: int, group: int) -> float:
        """Returns the error score by suspicions of others alone, from 0 to 1.

        It is what the last of the zones that are needed says at least; it falls with the suspicions' age.
        """
        by_origin = self.received_suspicions.get((endpoint, group))
        if not by_origin:
            return 0.0
        scores: dict[int, float] = {}  # by zone, the highest
        for suspicion in by_origin.values():
            rest_ratio = 1 - (now - suspicion.created_ns) / self.settings.suspicion_ns
            if rest_ratio > 0:
                score = suspicion.error_score * rest_ratio
                scores[suspicion.zone] = max(scores.get(suspicion.zone, 0.0), score)
        needed = self.zones_needed(now)
        if len(scores) < needed:
            return 0.0
        return sorted(scores.values(), reverse=True)[needed - 1]

    def recent_samples(self, now: int, endpoint: int, group: int) -> OwnSamples | None:
        """Returns own attempts that go before suspicions of others; None where there are too few."""
        samples = self.own_samples.get((endpoint, group))
        if samples is None or samples.count < MIN_OWN_SAMPLES:
            return None
        return samples if now - samples.last_ns < OWN_SAMPLES_VALID_NS else None

    def suspected_scores(
        self, now: int, endpoints: Iterable[int], groups: Iterable[int]
    ) -> dict[int, dict[int, float]]:
        """Returns error scores by endpoint and group where suspicions of others count, as own attempts lack.

        At most the part of the endpoints that `min_unsuspected_ratio` leaves is suspected, the worst ones.
        """
        chosen = list(endpoints)
        found: dict[int, dict[int, float]] = {}
        for endpoint, group in self.received_suspicions:
            if group in groups and self.recent_samples(now, endpoint, group) is None:
                score = self.received_error_score(now, endpoint, group)
                if score >= MIN_ERROR_SCORE:
                    found.setdefault(endpoint, {})[group] = score
        found = {endpoint: found[endpoint] for endpoint in chosen if endpoint in found}
        worst = {endpoint: max(by_group.values()) for endpoint, by_group in found.items()}
        suspects = [endpoint for endpoint in found if worst[endpoint] >= SUSPECT_ERROR_SCORE]
        suspects.sort(key=lambda endpoint: -worst[endpoint])
        max_suspects = int((1 - self.settings.min_unsuspected_ratio) * len(chosen))
        highest_score = SUSPECT_ERROR_SCORE * UNSUSPECTED_RATIO
        for endpoint in suspects[max_suspects:]:
            found[endpoint] = {group: min(score, highest_score) for group, score in found[endpoint].items()}
        return found

    # ---- time

    def tick(self, now: int, endpoints: Iterable[int]) -> None:
        """Drops what is too old, and decides whether this gateway is isolated."""
        self._drop_old(now)
        self.isolated = self._is_isolated(now, set(endpoints))

    def _drop_old(self, now: int) -> None:
        """Drops suspicions that have ended, and own attempts of long ago."""
        ended_ns = now - self.settings.suspicion_ns
        for key, by_origin in list(self.received_suspicions.items()):
            for origin in [origin for origin, one in by_origin.items() if one.created_ns <= ended_ns]:
                del by_origin[origin]
            if not by_origin:
                del self.received_suspicions[key]
        for key in [key for key, one in self.own_samples.items() if now - one.last_ns > FORGET_SAMPLES_NS]:
            del self.own_samples[key]

    def _is_isolated(self, now: int, endpoints: set[int]) -> bool:
        """Returns whether most endpoints are dead for this gateway alone, and others are there to say so."""
        is_dead: dict[int, bool] = {}  # by endpoint that was tried lately
        for (endpoint, _), samples in self.own_samples.items():
            is_recent = now - samples.last_ns < OWN_SAMPLES_VALID_NS
            if endpoint in endpoints and is_recent and samples.count >= MIN_OWN_SAMPLES:
                failed = samples.unreachable and samples.error_score >= SUSPECT_ERROR_SCORE
                is_dead[endpoint] = is_dead.get(endpoint, False) or failed
        dead = [endpoint for endpoint, failed in is_dead.items() if failed]
        if len(is_dead) < MIN_TRIED_ENDPOINTS or len(dead) <= MAX_DEAD_RATIO * len(is_dead):
            return False
        valid_ns = self.settings.suspicion_ns
        if not any(now - observer.last_ns < valid_ns for observer in self.observers.values()):
            return False
        agreed = sum(self._is_suspected_by_others(now, endpoint) for endpoint in dead)
        return agreed <= len(dead) / 2

    def _is_suspected_by_others(self, now: int, endpoint: int) -> bool:
        """Returns whether other gateways suspect an endpoint, in any class."""
        groups = (*range(MAX_CLASSES), ALL_CLASSES)
        return any(self.received_error_score(now, endpoint, group) >= SUSPECT_ERROR_SCORE for group in groups)

    def suspicions_to_send(self, now: int) -> list[Suspicion]:
        """Returns own suspicions, unless this gateway is isolated, and others'; the youngest of each."""
        own = [] if self.isolated else self._own_suspicions(now)
        relayed = [
            Suspicion(endpoint, group, one.error_score, origin, one.zone, now - one.created_ns)
            for (endpoint, group), by_origin in self.received_suspicions.items()
            for origin, one in by_origin.items()
            if one.error_score >= SUSPECT_ERROR_SCORE
        ]
        own.sort(key=attrgetter("age_ns"))
        relayed.sort(key=attrgetter("age_ns"))
        return own[:MAX_OWN_SUSPICIONS] + relayed[:MAX_RELAYED_SUSPICIONS]

    def _own_suspicions(self, now: int) -> list[Suspicion]:
        """Returns suspicions by own attempts."""
        valid_ns = self.settings.suspicion_ns
        return [
            Suspicion(endpoint, group, one.error_score, self.gateway, self.zone, now - one.last_ns)
            for (endpoint, group), one in self.own_samples.items()
            if one.error_score >= SUSPECT_ERROR_SCORE and now - one.last_ns < valid_ns
        ]
