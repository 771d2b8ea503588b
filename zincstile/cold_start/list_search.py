"""Search for an endpoint list that other gateways have, in place of one more list from the service.

A gateway without a list queries a few random peers, again and again. A peer's digest names the version of its
list, how long ago discovery confirmed it, by whom the peer has it, and the checksum of each bucket. Then only
the buckets that differ are requested, each from one peer that has that list, and as many at once as this
gateway's intake of messages has room for. A bucket counts once its lines give its checksum.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, NamedTuple

from .entry_lines import bucket_of, checksum, decode_entry
from .list_copy import ListCopy
from .message_rate import MessageRateLimit
from .messages import BUCKETS, BucketPart, BucketRequest, ListDigest, ListMessage, ListQuery, Provenance
from .readiness import ListTrust
from .settings import ColdStartSettings

LINES_PER_PART: Final = 3.0  # of usual entries, about
INTAKE_RATIO: Final = 0.8  # of this gateway's intake of messages that lists may use
MIN_INTAKE_PER_S: Final = 4.0  # below that not even one part would fit into a burst
MAX_QUERY_DOUBLINGS: Final = 3  # of the span between two queries
WAIT_ANSWERS: Final = 3  # requested lines are waited for so many times what the last ones took
MAX_WAIT_SPANS: Final = 20  # but so many times `again` at most
MISSES_PER_TIER: Final = 3  # requests in a row that a peer does not answer before other peers are preferred


@dataclass(slots=True)
class PeerListState:
    """What a peer says of its list."""

    digest: ListDigest
    missed: int = 0  # requests in a row that it did not answer


class ReceivedPart(NamedTuple):
    """A part of a bucket, and the peer that sent it."""

    sender: int
    part: BucketPart


@dataclass(slots=True)
class PendingBucket:
    """A bucket that was requested.

    Its parts are kept when it is requested again: they are the same whoever sends them.
    """

    peer: int
    requested_ns: int
    parts: dict[int, ReceivedPart] = field(default_factory=dict)  # by index
    progressed: bool = False  # a part has come since the last request


@dataclass(frozen=True, slots=True)
class FoundList:
    """A complete list from peers, with entries as discovery writes them."""

    version: int
    entries: list[dict[str, Any]]
    trust: ListTrust  # PEERS_AGREE or ONE_PEER
    age_ns: int  # since discovery confirmed it


class ListSearch:
    """The search of one gateway. It hands its messages to `send`, each with the peer it is for."""

    def __init__(
        self,
        settings: ColdStartSettings,
        peers: list[int],
        intake_per_s: float,
        copy: ListCopy,
        rng: random.Random,
        send: Callable[[int, ListMessage], None],
    ) -> None:
        """Takes the numbers of all other gateways and the messages that this one reads in a second."""
        self.settings = settings
        self.peers = peers
        self.copy = copy
        self.rng = rng
        self.send = send
        self.active = False
        self.cache_confirmed = False  # the newest list of peers equals the cached copy
        self.result: FoundList | None = None
        self._taken_result: FoundList | None = None
        self._intake = MessageRateLimit(max(MIN_INTAKE_PER_S, INTAKE_RATIO * intake_per_s))
        self._peer_states: dict[int, PeerListState] = {}
        self._target: ListDigest | None = None  # the list that is being fetched
        self._pending: dict[int, PendingBucket] = {}
        self._partial: dict[int, dict[int, ReceivedPart]] = {}  # by bucket: parts of requests that timed out
        self._complete: dict[int, dict[str, bytes]] = {}  # by bucket: lines whose checksum is right
        self._queries = 0  # rounds of queries without an answer so far
        self._next_query_ns = 0
        self._wait_ns = settings.retry_interval_ns  # for requested lines

    def start(self, now: int) -> None:
        """Begins the search, if lists may come from peers and there are any."""
        if self.settings.use_peer_lists and self.peers:
            self.active = True
            self._query(now)

    def stop(self) -> None:
        """Ends the search: discovery itself has sent a list."""
        self.active = False
        self._pending = {}
        self._partial = {}
        self._complete = {}
        self._target = None

    def take_result(self) -> FoundList | None:
        """Returns a complete list that was found, once."""
        if self.result is self._taken_result:
            return None
        self._taken_result = self.result
        return self.result

    def update(self, now: int) -> None:
        """Repeats queries and requests that are due; to be called every few tens of milliseconds."""
        if not self.active:
            return
        self._expire_requests(now)
        agreed = self.result is not None and self.result.trust is ListTrust.PEERS_AGREE
        if now >= self._next_query_ns and not agreed:
            self._query(now)
        self._request_missing(now)

    def receive_digest(self, now: int, sender: int, digest: ListDigest) -> None:
        """Handles a peer's digest; a list that is old, empty, or itself from peers is not used."""
        if (
            self.active
            and digest.age_ns < self.settings.max_list_age_ns
            and digest.provenance is not Provenance.PEERS
            and digest.entry_count
        ):
            self._peer_states[sender] = PeerListState(digest)
            self._choose_target(now)

    def receive_part(self, now: int, sender: int, part: BucketPart) -> None:
        """Handles a part of a bucket, also one that comes after the wait for it was over."""
        target = self._target
        if (
            not self.active
            or target is None
            or part.version != target.version
            or part.bucket in self._complete
            or sender not in self._peer_states
        ):
            return
        pending = self._pending.get(part.bucket)
        parts = self._partial.setdefault(part.bucket, {}) if pending is None else pending.parts
        parts[part.part_index] = ReceivedPart(sender, part)
        if pending is not None and pending.peer == sender:
            pending.progressed = True
            took_ns = now - pending.requested_ns
            self._wait_ns = max(
                self.settings.retry_interval_ns, int((self._wait_ns + WAIT_ANSWERS * took_ns) / 2)
            )
        if len(parts) < part.part_count:
            return
        self._pending.pop(part.bucket, None)
        self._partial.pop(part.bucket, None)
        self._complete_bucket(part, parts, target.checksums[part.bucket])
        self._request_missing(now)

    def _complete_bucket(self, last: BucketPart, parts: dict[int, ReceivedPart], expected: int) -> None:
        lines = {}
        valid = {received.part.part_count for received in parts.values()} == {last.part_count}
        for received in parts.values():
            for line in received.part.lines:
                entry = decode_entry(line)
                valid = valid and entry is not None and bucket_of(entry["name"]) == last.bucket
                if entry is not None:
                    lines[entry["name"]] = line
        if valid and checksum(lines.values()) == expected:
            self._complete[last.bucket] = lines
        else:  # damaged, or a peer's lines don't give its digest: none of these peers is asked again
            for received in parts.values():
                self._peer_states.pop(received.sender, None)

    def _query(self, now: int) -> None:
        """Queries some peers; the next round is at a random moment, later each time nobody answers."""
        for peer in self.rng.sample(self.peers, min(self.settings.query_fan_out, len(self.peers))):
            self.send(peer, ListQuery())
        span_ns = self.settings.retry_interval_ns << min(self._queries, MAX_QUERY_DOUBLINGS)
        if not self._peer_states:
            self._queries += 1
        self._next_query_ns = now + self.settings.retry_interval_ns // 2 + self.rng.randrange(span_ns)

    def _choose_target(self, now: int) -> None:
        """Fetches the newest list, the nearest to discovery first; of equals the one that more peers have."""
        holders: dict[tuple, list[ListDigest]] = {}
        for peer_state in self._peer_states.values():
            holders.setdefault(peer_state.digest.identity, []).append(peer_state.digest)
        digest = min(max(holders.values(), key=_preference), key=lambda digest: digest.age_ns)
        if self._target is None or digest.identity != self._target.identity:
            self._reuse_buckets(digest)
        self._target = digest
        cached = self.copy.provenance is Provenance.CACHED
        if cached and (self.copy.version, self.copy.checksums()) == (digest.version, digest.checksums):
            self.cache_confirmed = True
        self._request_missing(now)

    def _reuse_buckets(self, digest: ListDigest) -> None:
        """Keeps the buckets of the last target and of the own copy that the new target has as well."""
        own = self.copy.checksums()
        self._pending = {}
        self._partial = {}
        self._complete = {
            bucket: lines
            for bucket, lines in self._complete.items()
            if checksum(lines.values()) == digest.checksums[bucket]
        }
        for bucket in range(BUCKETS):
            if own[bucket] == digest.checksums[bucket]:
                self._complete[bucket] = dict(self.copy.buckets[bucket])

    def _holders(self) -> list[int]:
        """Peers that have the target."""
        return [
            peer
            for peer, peer_state in self._peer_states.items()
            if self._target is not None and peer_state.digest.identity == self._target.identity
        ]

    def _request_missing(self, now: int) -> None:
        """Requests missing buckets, as many as the intake has room for."""
        target = self._target
        peers = self._holders()
        if target is None or not peers:
            return
        missing = [
            bucket
            for bucket in range(BUCKETS)
            if bucket not in self._complete and bucket not in self._pending
        ]
        parts_per_bucket = max(1.0, target.entry_count / BUCKETS / LINES_PER_PART)
        chosen = missing[: int(self._intake.available(now) / parts_per_bucket)]
        self._intake.spend(parts_per_bucket * len(chosen))
        requests: dict[int, list[int]] = {}
        peers = self._responsive(peers)
        for bucket in chosen:
            peer = self.rng.choice(peers)
            requests.setdefault(peer, []).append(bucket)
            self._pending[bucket] = PendingBucket(peer, now, self._partial.pop(bucket, {}))
        for peer, buckets in requests.items():
            self.send(peer, BucketRequest(target.version, tuple(buckets)))
        self._finish()

    def _responsive(self, peers: list[int]) -> list[int]:
        """Those of the peers that left the fewest requests unanswered."""
        tiers = {peer: self._peer_states[peer].missed // MISSES_PER_TIER for peer in peers}
        best = min(tiers.values())
        return [peer for peer in peers if tiers[peer] == best]

    def _expire_requests(self, now: int) -> None:
        progressed: dict[int, bool] = {}  # by peer with requests that are overdue: whether any part has come
        for bucket, pending in list(self._pending.items()):
            if now - pending.requested_ns >= self._wait_ns:
                del self._pending[bucket]
                self._partial[bucket] = pending.parts
                progressed[pending.peer] = progressed.get(pending.peer, False) or pending.progressed
        if progressed and not any(progressed.values()):
            # a busy fleet answers late, and requests that are repeated would make it busier
            self._wait_ns = min(MAX_WAIT_SPANS * self.settings.retry_interval_ns, 2 * self._wait_ns)
        for peer, any_part in progressed.items():
            peer_state = self._peer_states.get(peer)
            if peer_state is not None:
                peer_state.missed = 0 if any_part else peer_state.missed + 1

    def _finish(self) -> None:
        """Notes the target as found once all its buckets are complete, again when more peers have it."""
        target = self._target
        if target is None or len(self._complete) < BUCKETS:
            return
        found = self.result
        if found is not None and found.version >= target.version and found.trust is ListTrust.PEERS_AGREE:
            return
        agreed = len(self._holders()) >= min(self.settings.min_agreeing_peers, len(self.peers))
        trust = ListTrust.PEERS_AGREE if agreed else ListTrust.ONE_PEER
        if found is not None and (found.version, found.trust) == (target.version, trust):
            return
        lines = [line for bucket in range(BUCKETS) for line in self._complete[bucket].values()]
        entries = [entry for entry in map(decode_entry, lines) if entry is not None]
        self.result = FoundList(target.version, entries, trust, target.age_ns)


def _preference(digests: list[ListDigest]) -> tuple[int, int, int, int]:
    """The greatest for the list to fetch; all digests are of one list."""
    nearest = min(digest.provenance for digest in digests)
    youngest_ns = min(digest.age_ns for digest in digests)
    return -nearest, digests[0].version, len(digests), -youngest_ns
