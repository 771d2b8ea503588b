"""The endpoints listed by discovery, and the state kept for each. No decisions are made here.

`EndpointRegistry` owns this state for the life of the process. Scores and latency ratios are handed over to
the next process (`state_transfer`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Final, cast

from .messages import EndpointEntry, EndpointList, EndpointListKind, EndpointState
from .settings import DeduplicationScope
from .units import NEVER_NS, SECOND_NS

# A latency ratio this close to 1 is reset to 1; the jitter of load balancing is a hundred times larger.
NEUTRAL_RATIO_TOLERANCE: Final = 0.001
# Start times closer than this are taken as equal: two processes that convert the same start time to their
# clocks differ by far less.
SAME_START_NS: Final = SECOND_NS
NO_SCORES: Final = cast(dict[int, float], MappingProxyType({}))  # shared by all untracked endpoints


def peer_hash(endpoint_id: int) -> int:
    """Returns the 16 bits that identify an endpoint in messages between gateways."""
    return endpoint_id * 2654435761 % 2**32 >> 16


@dataclass(slots=True, eq=False)
class Endpoint:
    """State of one endpoint. Call `EndpointRegistry.track` before changing its scores or its ratio."""

    entry: EndpointEntry
    latency_ratio: float = 1.0  # smoothed latency, relative to the expected latency of the fleet
    error_scores: dict[int, float] = field(default_factory=lambda: NO_SCORES)
    in_flight: int = 0  # attempts
    last_answer_ns: int = NEVER_NS  # time of the last answer, or of the last request for a new connection
    # The list of warm or of warming endpoints that the endpoint is in; None if it is not ready.
    ready_list: list[Endpoint] | None = field(default=None, repr=False)
    ready_index: int = 0  # its index in `ready_list`
    hash_shadowed: Endpoint | None = field(default=None, repr=False)  # older endpoint with the same hash

    def deduplication_group(self, scope: DeduplicationScope) -> int:
        """Returns a number shared by all endpoints that detect each other's repeats of a keyed request."""
        if scope is DeduplicationScope.ALL:
            return 0
        return self.entry.zone if scope is DeduplicationScope.ZONE else self.entry.cell

    @property
    def hash(self) -> int:
        """Hash of the endpoint's id, as used in messages between gateways."""
        return peer_hash(self.entry.id)

    def join(self, members: list[Endpoint]) -> None:
        """Moves the endpoint from its current list to the end of `members`."""
        self.leave()
        self.ready_list = members
        self.ready_index = len(members)
        members.append(self)

    def leave(self) -> None:
        """Removes the endpoint from its list.

        The last entry takes its place, so that no entry has to be searched or moved up.
        """
        if self.ready_list is None:
            return
        last = self.ready_list.pop()
        if last is not self:
            self.ready_list[self.ready_index] = last
            last.ready_index = self.ready_index
        self.ready_list = None


class ReadyEndpoints(Sequence[Endpoint]):
    """Read-only view of the ready endpoints: the warm ones, then the warming ones."""

    def __init__(self, warm: list[Endpoint], warming: list[Endpoint]) -> None:
        """Creates a view of the two lists."""
        self._warm = warm
        self._warming = warming

    def __len__(self) -> int:
        """Returns the number of ready endpoints."""
        return len(self._warm) + len(self._warming)

    def __iter__(self) -> Iterator[Endpoint]:
        """Iterates over the warm endpoints, then over the warming ones."""
        yield from self._warm
        yield from self._warming

    def __getitem__(self, index: Any) -> Any:
        """Returns the endpoint at an index, or those of a slice."""
        return (self._warm + self._warming)[index]


@dataclass(frozen=True, slots=True)
class InheritedScores:
    """Scores of an endpoint from the previous process of this gateway."""

    started_ns: int  # start time of the endpoint; 0 if it started long ago
    latency_ratio: float
    error_scores: dict[int, float]

    def applies_to(self, entry: EndpointEntry) -> bool:
        """Returns whether the listed endpoint is still the one that was scored, not restarted since."""
        if self.started_ns < 0 or bool(self.started_ns) != bool(entry.started_ns):
            return False
        return abs(self.started_ns - entry.started_ns) < SAME_START_NS


class EndpointRegistry:
    """Owns all listed endpoints by id, and the lists of the warm and the warming ones among the ready."""

    def __init__(self) -> None:
        """Starts empty."""
        self.by_id: dict[int, Endpoint] = {}
        self.warm: list[Endpoint] = []
        self.warming: list[Endpoint] = []  # not warm at the last classification
        self.ready = ReadyEndpoints(self.warm, self.warming)
        self.tracked: dict[int, Endpoint] = {}  # those with scores or a ratio other than 1, by id
        self.by_hash: dict[int, Endpoint] = {}  # ready ones, by the hash used between gateways
        self.inherited: dict[int, InheritedScores] = {}  # by id, until the endpoint is listed
        self.classification_due = False  # the list has changed since the last classification
        # Returns the state of an endpoint that was listed before, if any; set by the subsetting feature.
        self.find_known: Callable[[EndpointEntry], Endpoint | None] | None = None

    def apply(self, event: EndpointList) -> None:
        """Applies an endpoint list or a change of it.

        The cost of a change depends on the number of its entries, not on the number of known endpoints.
        """
        if event.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            listed = {entry.id for entry in event.entries}
            for unlisted in [e for endpoint_id, e in self.by_id.items() if endpoint_id not in listed]:
                self._remove(unlisted)
            self.classification_due = True
        for entry in event.entries:
            self._add_or_update(entry)
        for entry in event.entries:  # an endpoint's last entry is in effect
            endpoint = self.by_id.get(entry.id)
            if endpoint is not None:
                self._place(endpoint)
                self.classification_due = True

    def track(self, endpoint: Endpoint) -> Endpoint:
        """Prepares an endpoint for a change of its scores or ratio; call it before each such change.

        A tick visits tracked endpoints only. An endpoint that is no longer listed may be changed, but is not
        tracked.
        """
        if endpoint.error_scores is NO_SCORES:
            endpoint.error_scores = {}
            if self.by_id.get(endpoint.entry.id) is endpoint:
                self.tracked[endpoint.entry.id] = endpoint
        return endpoint

    def untrack_if_neutral(self, endpoint: Endpoint) -> None:
        """Stops tracking an endpoint whose scores and ratio have returned to their defaults."""
        ratio_is_neutral = abs(endpoint.latency_ratio - 1) < NEUTRAL_RATIO_TOLERANCE
        if not endpoint.error_scores and ratio_is_neutral:
            endpoint.latency_ratio = 1.0
            endpoint.error_scores = NO_SCORES
            self.tracked.pop(endpoint.entry.id, None)

    def promote(self, warmth: list[float]) -> None:
        """Moves warming endpoints that have become warm to the warm list.

        `warmth` has one entry per warming endpoint; the entries of moved endpoints are removed from it.
        """
        for position in range(len(warmth) - 1, -1, -1):
            if warmth[position] >= 1:
                self.warming[position].join(self.warm)
                warmth[position] = warmth[-1]
                warmth.pop()

    def _add_or_update(self, entry: EndpointEntry) -> None:
        known = self.by_id.get(entry.id)
        if known is not None and entry.started_ns == known.entry.started_ns:
            known.entry = entry
            return
        if known is not None:  # the endpoint was restarted: its old scores don't apply
            self._remove(known)
        self._add(entry)

    def _add(self, entry: EndpointEntry) -> None:
        known = self.find_known(entry) if self.find_known is not None else None
        if known is not None:
            self.by_id[entry.id] = known
            if known.error_scores is not NO_SCORES:
                self.tracked[entry.id] = known
            return
        endpoint = self.by_id[entry.id] = Endpoint(entry)
        inherited = self.inherited.pop(entry.id, None)
        if inherited is not None and inherited.applies_to(entry):
            self.track(endpoint)
            endpoint.latency_ratio = inherited.latency_ratio
            endpoint.error_scores.update(inherited.error_scores)

    def _place(self, endpoint: Endpoint) -> None:
        """Adds an endpoint to the ready ones or takes it out, as its state says.

        An endpoint with a known start time counts as warming until the next classification.
        """
        state = endpoint.entry.state
        if state is EndpointState.REMOVED:
            self._remove(endpoint)
        elif state is not EndpointState.READY:
            self._retire(endpoint)
        elif endpoint.ready_list is None:
            endpoint.join(self.warming if endpoint.entry.started_ns else self.warm)
            endpoint.hash_shadowed = self.by_hash.get(endpoint.hash)
            self.by_hash[endpoint.hash] = endpoint

    def _remove(self, endpoint: Endpoint) -> None:
        self._retire(endpoint)
        del self.by_id[endpoint.entry.id]
        self.tracked.pop(endpoint.entry.id, None)

    def _retire(self, endpoint: Endpoint) -> None:
        """Takes an endpoint out of the ready ones."""
        if endpoint.ready_list is None:
            return
        endpoint.leave()
        hash_ = endpoint.hash
        shadowing = self.by_hash[hash_]
        if shadowing is endpoint:
            if endpoint.hash_shadowed is None:
                del self.by_hash[hash_]
            else:
                self.by_hash[hash_] = endpoint.hash_shadowed
        else:
            while shadowing.hash_shadowed is not endpoint:
                shadowing = shadowing.hash_shadowed  # type: ignore[assignment]
            shadowing.hash_shadowed = endpoint.hash_shadowed
        endpoint.hash_shadowed = None
