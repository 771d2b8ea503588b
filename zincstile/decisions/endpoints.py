"""The endpoints that discovery has listed, and what is known of each. Nothing is decided here.

Owner of this state: `EndpointRegistry`. It lives as long as the process; a part goes over to the next process
(`state_transfer`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any, Final, cast

from .messages import EndpointEntry, EndpointList, EndpointListKind, EndpointState
from .settings import DeduplicationScope
from .units import NEVER_NS, SECOND_NS

NEUTRAL_RATIO_TOLERANCE: Final = 0.001  # a latency ratio so near to 1 is 1: a hundredth of a choice's jitter
SAME_START_NS: Final = SECOND_NS  # two processes read one start time with a difference far below this
NO_SCORES: Final = cast(dict[int, float], MappingProxyType({}))  # shared by all endpoints without a score


def peer_hash(endpoint_id: int) -> int:
    """The 16 bits by which gateways speak of an endpoint to each other."""
    return endpoint_id * 2654435761 % 2**32 >> 16


@dataclass(slots=True, eq=False)
class Endpoint:
    """What is known of one backend. `EndpointRegistry.track` comes before a change of scores or ratio."""

    entry: EndpointEntry
    latency_ratio: float = 1.0  # latency over what the fleet takes for the like
    error_scores: dict[int, float] = field(default_factory=lambda: NO_SCORES)
    in_flight: int = 0  # attempts
    last_answer_ns: int = NEVER_NS  # or when a new connection to it was asked for
    ready_list: list[Endpoint] | None = field(
        default=None, repr=False
    )  # the list of ready ones that it is in
    ready_index: int = 0  # its index there
    hash_shadowed: Endpoint | None = field(default=None, repr=False)  # had the same hash before it

    def deduplication_group(self, scope: DeduplicationScope) -> int:
        """Alike for those endpoints that drop each other's repeats of a keyed request."""
        if scope is DeduplicationScope.ALL:
            return 0
        return self.entry.zone if scope is DeduplicationScope.ZONE else self.entry.cell

    @property
    def hash(self) -> int:
        """The hash of the id that peers use."""
        return peer_hash(self.entry.id)

    def join(self, members: list[Endpoint]) -> None:
        """Goes to the end of a list, out of the one that it is in."""
        self.leave()
        self.ready_list = members
        self.ready_index = len(members)
        members.append(self)

    def leave(self) -> None:
        """Leaves its list; the last one there takes its place, so that none is searched or moved up."""
        if self.ready_list is None:
            return
        last = self.ready_list.pop()
        if last is not self:
            self.ready_list[self.ready_index] = last
            last.ready_index = self.ready_index
        self.ready_list = None


class ReadyEndpoints(Sequence[Endpoint]):
    """The ready endpoints, warm ones first, without a list of their own."""

    def __init__(self, warm: list[Endpoint], warming: list[Endpoint]) -> None:
        """Takes the two lists that it is a view of."""
        self._warm = warm
        self._warming = warming

    def __len__(self) -> int:
        """How many are ready."""
        return len(self._warm) + len(self._warming)

    def __iter__(self) -> Iterator[Endpoint]:
        """The warm ones, then those that are warming up."""
        yield from self._warm
        yield from self._warming

    def __getitem__(self, index: Any) -> Any:
        """The one at a place in that order."""
        return (self._warm + self._warming)[index]


@dataclass(frozen=True, slots=True)
class InheritedScores:
    """What an older process of this gateway knew of an endpoint."""

    started_ns: int  # of the endpoint; 0: long ago
    latency_ratio: float
    error_scores: dict[int, float]

    def applies_to(self, entry: EndpointEntry) -> bool:
        """The endpoint was not started anew since."""
        if self.started_ns < 0 or bool(self.started_ns) != bool(entry.started_ns):
            return False
        return abs(self.started_ns - entry.started_ns) < SAME_START_NS


class EndpointRegistry:
    """All endpoints by id, and the ready ones, warm and warming up."""

    def __init__(self) -> None:
        """Starts without any endpoint."""
        self.by_id: dict[int, Endpoint] = {}
        self.warm: list[Endpoint] = []
        self.warming: list[Endpoint] = []  # those that were not warm when this was last looked at
        self.ready = ReadyEndpoints(self.warm, self.warming)
        self.tracked: dict[int, Endpoint] = {}  # those with a score, or a ratio other than 1, by id
        self.by_hash: dict[int, Endpoint] = {}  # ready ones, by the hash that peers use
        self.inherited: dict[int, InheritedScores] = {}  # by id, until the endpoint is listed
        self.classification_due = False  # the list has changed since the last classification
        self.find_known: Callable[[EndpointEntry], Endpoint | None] | None = (
            None  # subsetting: one known before
        )

    def apply(self, event: EndpointList) -> None:
        """Applies a list or a change of it. The work grows with what is listed, not with what is known."""
        if event.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            listed = {entry.id for entry in event.entries}
            for left_out in [e for number, e in self.by_id.items() if number not in listed]:
                self._remove(left_out)
            self.classification_due = True
        for entry in event.entries:
            self._add_or_update(entry)
        for entry in event.entries:  # the last entry of each endpoint holds
            endpoint = self.by_id.get(entry.id)
            if endpoint is not None:
                self._place(endpoint)
                self.classification_due = True

    def track(self, endpoint: Endpoint) -> Endpoint:
        """Has to come before a change of an endpoint's scores or ratio.

        Only endpoints that were touched are walked at a tick. One that is not listed any more is not noted.
        """
        if endpoint.error_scores is NO_SCORES:
            endpoint.error_scores = {}
            if self.by_id.get(endpoint.entry.id) is endpoint:
                self.tracked[endpoint.entry.id] = endpoint
        return endpoint

    def untrack_if_neutral(self, endpoint: Endpoint) -> None:
        """A touched endpoint that is as any other again is touched no more."""
        ratio_is_neutral = abs(endpoint.latency_ratio - 1) < NEUTRAL_RATIO_TOLERANCE
        if not endpoint.error_scores and ratio_is_neutral:
            endpoint.latency_ratio = 1.0
            endpoint.error_scores = NO_SCORES
            self.tracked.pop(endpoint.entry.id, None)

    def promote(self, warmth: list[float]) -> None:
        """Warming endpoints that are warm now go to the warm ones; `warmth` keeps that of the rest, in
        order."""
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
        if known is not None:  # a new process, of which nothing is known yet
            self._remove(known)
        self._add(entry)

    def _add(self, entry: EndpointEntry) -> None:
        recalled = self.find_known(entry) if self.find_known is not None else None
        if recalled is not None:
            self.by_id[entry.id] = recalled
            if recalled.error_scores is not NO_SCORES:
                self.tracked[entry.id] = recalled
            return
        endpoint = self.by_id[entry.id] = Endpoint(entry)
        inherited = self.inherited.pop(entry.id, None)
        if inherited is not None and inherited.applies_to(entry):
            self.track(endpoint)
            endpoint.latency_ratio = inherited.latency_ratio
            endpoint.error_scores.update(inherited.error_scores)

    def _place(self, endpoint: Endpoint) -> None:
        """Among the ready ones or not. One with a known start is warming up until the next classification."""
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
        """It is ready no more."""
        if endpoint.ready_list is None:
            return
        endpoint.leave()
        hash_ = endpoint.hash
        holder = self.by_hash[hash_]
        if holder is endpoint:
            if endpoint.hash_shadowed is None:
                del self.by_hash[hash_]
            else:
                self.by_hash[hash_] = endpoint.hash_shadowed
        else:
            while holder.hash_shadowed is not endpoint:
                holder = holder.hash_shadowed  # type: ignore[assignment]
            holder.hash_shadowed = endpoint.hash_shadowed
        endpoint.hash_shadowed = None
