"""Fetches an endpoint list from peers, which saves a call to the list service.

A gateway without a list repeatedly queries a few random peers. A peer's digest contains the version of its
list, the time since discovery confirmed it, its provenance and the checksum of each bucket. Only buckets that
differ are requested then, each from one peer that has the list, and as many at a time as this gateway can
receive. A bucket is complete when the checksum of its lines is right.
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

LINES_PER_PART: Final = 3.0  # about this many typical lines fit into a part
INTAKE_RATIO: Final = 0.8  # share of the messages that this gateway can receive, for the list exchange
MIN_INTAKE_PER_S: Final = 4.0  # with less, not even one part would fit into a burst
MAX_QUERY_DOUBLINGS: Final = 3  # limits the span between two rounds of queries
WAIT_ANSWERS: Final = 3  # timeout of a request, as a multiple of recent response times
MAX_WAIT_SPANS: Final = 20  # maximum timeout of a request, as a multiple of `retry_interval_ns`
MISSES_PER_TIER: Final = 3  # after this many unanswered requests in a row, other peers are preferred


@dataclass(slots=True)
class PeerListState:
    """The last digest of a peer, and how the peer answers requests."""

    digest: ListDigest
    missed: int = 0  # number of requests in a row that the peer did not answer


class ReceivedPart(NamedTuple):
    """A part of a bucket, and the peer that sent it."""

    sender: int
    part: BucketPart


@dataclass(slots=True)
class PendingBucket:
    """A bucket that was requested from a peer.

    Its parts are kept when it is requested again, as all peers send the same parts.
    """

    peer: int
    requested_ns: int
    parts: dict[int, ReceivedPart] = field(default_factory=dict)  # by index
    progressed: bool = False  # whether a part has arrived since the last request


@dataclass(frozen=True, slots=True)
class FoundList:
    """A complete list from peers, with entries in discovery's format."""

    version: int
    entries: list[dict[str, Any]]
    trust: ListTrust  # PEERS_AGREE or ONE_PEER
    age_ns: int  # time since discovery confirmed the list


class ListSearch:
    """One gateway's search for a list. Calls `send` with each message and its receiver."""

    def __init__(
        self,
        settings: ColdStartSettings,
        peers: list[int],
        intake_per_s: float,
        copy: ListCopy,
        rng: random.Random,
        send: Callable[[int, ListMessage], None],
    ) -> None:
        """`peers` are the indexes of all other gateways; `intake_per_s`: messages that this one can read."""
        self.settings = settings
        self.peers = peers
        self.copy = copy
        self.rng = rng
        self.send = send
        self.active = False
        self.cache_confirmed = False  # whether the newest list of peers equals the cached one
        self.result: FoundList | None = None
        self._taken_result: FoundList | None = None
        self._intake = MessageRateLimit(max(MIN_INTAKE_PER_S, INTAKE_RATIO * intake_per_s))
        self._peer_states: dict[int, PeerListState] = {}
        self._target: ListDigest | None = None  # digest of the list that is being fetched
        self._pending: dict[int, PendingBucket] = {}
        self._partial: dict[int, dict[int, ReceivedPart]] = {}  # by bucket: parts of requests that timed out
        self._complete: dict[int, dict[str, bytes]] = {}  # by bucket: lines by endpoint name
        self._queries = 0  # number of rounds of queries without an answer
        self._next_query_ns = 0
        self._wait_ns = settings.retry_interval_ns  # timeout of requests

    def start(self, now: int) -> None:
        """Starts the search if peer lists are enabled and there are peers."""
        if self.settings.use_peer_lists and self.peers:
            self.active = True
            self._query(now)

    def stop(self) -> None:
        """Stops the search, as discovery has sent a list."""
        self.active = False
        self._pending = {}
        self._partial = {}
        self._complete = {}
        self._target = None

    def take_result(self) -> FoundList | None:
        """Returns a complete list once; None if there is no new one."""
        if self.result is self._taken_result:
            return None
        self._taken_result = self.result
        return self.result

    def update(self, now: int) -> None:
        """Repeats queries and requests that are due; has to be called every few tens of milliseconds."""
        if not self.active:
            return
        self._expire_requests(now)
        peers_agree = self.result is not None and self.result.trust is ListTrust.PEERS_AGREE
        if now >= self._next_query_ns and not peers_agree:
            self._query(now)
        self._request_missing(now)

    def receive_digest(self, now: int, sender: int, digest: ListDigest) -> None:
        """Handles a peer's digest; ignores lists that are too old, empty, or were fetched from peers."""
        if (
            self.active
            and digest.age_ns < self.settings.max_list_age_ns
            and digest.provenance is not Provenance.PEERS
            and digest.entry_count
        ):
            self._peer_states[sender] = PeerListState(digest)
            self._choose_target(now)

    def receive_part(self, now: int, sender: int, part: BucketPart) -> None:
        """Handles a part of a bucket, even if it arrives after its request timed out."""
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
        else:  # damaged, or not the lines of the digest: excludes all peers that sent parts of the bucket
            for received in parts.values():
                self._peer_states.pop(received.sender, None)

    def _query(self, now: int) -> None:
        """Queries some peers, and sets a random time for the next round, with backoff while none answers."""
        for peer in self.rng.sample(self.peers, min(self.settings.query_fan_out, len(self.peers))):
            self.send(peer, ListQuery())
        span_ns = self.settings.retry_interval_ns << min(self._queries, MAX_QUERY_DOUBLINGS)
        if not self._peer_states:
            self._queries += 1
        self._next_query_ns = now + self.settings.retry_interval_ns // 2 + self.rng.randrange(span_ns)

    def _choose_target(self, now: int) -> None:
        """Chooses the list to fetch by provenance, then version, then the number of peers that have it."""
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
        """Keeps the buckets of the previous target and of this gateway's copy that the new target has too."""
        own_checksums = self.copy.checksums()
        self._pending = {}
        self._partial = {}
        self._complete = {
            bucket: lines
            for bucket, lines in self._complete.items()
            if checksum(lines.values()) == digest.checksums[bucket]
        }
        for bucket in range(BUCKETS):
            if own_checksums[bucket] == digest.checksums[bucket]:
                self._complete[bucket] = dict(self.copy.buckets[bucket])

    def _holders(self) -> list[int]:
        """Returns the peers that have the target list."""
        return [
            peer
            for peer, peer_state in self._peer_states.items()
            if self._target is not None and peer_state.digest.identity == self._target.identity
        ]

    def _request_missing(self, now: int) -> None:
        """Requests missing buckets, as many as this gateway can receive."""
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
        requested_buckets = missing[: int(self._intake.available(now) / parts_per_bucket)]
        self._intake.spend(parts_per_bucket * len(requested_buckets))
        requests: dict[int, list[int]] = {}
        peers = self._responsive(peers)
        for bucket in requested_buckets:
            peer = self.rng.choice(peers)
            requests.setdefault(peer, []).append(bucket)
            self._pending[bucket] = PendingBucket(peer, now, self._partial.pop(bucket, {}))
        for peer, buckets in requests.items():
            self.send(peer, BucketRequest(target.version, tuple(buckets)))
        self._finish()

    def _responsive(self, peers: list[int]) -> list[int]:
        """Returns the peers that left the fewest requests unanswered."""
        tiers = {peer: self._peer_states[peer].missed // MISSES_PER_TIER for peer in peers}
        lowest_tier = min(tiers.values())
        return [peer for peer in peers if tiers[peer] == lowest_tier]

    def _expire_requests(self, now: int) -> None:
        progressed: dict[int, bool] = {}  # by peer with overdue requests: whether any part arrived
        for bucket, pending in list(self._pending.items()):
            if now - pending.requested_ns >= self._wait_ns:
                del self._pending[bucket]
                self._partial[bucket] = pending.parts
                progressed[pending.peer] = progressed.get(pending.peer, False) or pending.progressed
        if progressed and not any(progressed.values()):
            # the peers may be overloaded, and repeated requests would add to their load
            self._wait_ns = min(MAX_WAIT_SPANS * self.settings.retry_interval_ns, 2 * self._wait_ns)
        for peer, any_progress in progressed.items():
            peer_state = self._peer_states.get(peer)
            if peer_state is not None:
                peer_state.missed = 0 if any_progress else peer_state.missed + 1

    def _finish(self) -> None:
        """Sets the result when all buckets of the target are complete, and when more peers have the list."""
        target = self._target
        if target is None or len(self._complete) < BUCKETS:
            return
        result = self.result
        if result is not None and result.version >= target.version and result.trust is ListTrust.PEERS_AGREE:
            return
        peers_agree = len(self._holders()) >= min(self.settings.min_agreeing_peers, len(self.peers))
        trust = ListTrust.PEERS_AGREE if peers_agree else ListTrust.ONE_PEER
        if result is not None and (result.version, result.trust) == (target.version, trust):
            return
        lines = [line for bucket in range(BUCKETS) for line in self._complete[bucket].values()]
        entries = [entry for entry in map(decode_entry, lines) if entry is not None]
        self.result = FoundList(target.version, entries, trust, target.age_ns)


def _preference(digests: list[ListDigest]) -> tuple[int, int, int, int]:
    """Returns a list's sort key, greatest for the one to fetch; `digests`: its digests from all peers."""
    nearest = min(digest.provenance for digest in digests)
    youngest_ns = min(digest.age_ns for digest in digests)
    return -nearest, digests[0].version, len(digests), -youngest_ns
