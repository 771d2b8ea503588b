"""Exchange of endpoint lists with peers: sends them this gateway's list, and searches for one.

Only a list from discovery or from before the start is sent to peers. A list from peers is sent only after
discovery sent its changes since that list, which confirms it. Otherwise a wrong list could spread, and
outlive the gateways that had it from discovery. The age of a list is sent with it and never decreases. A list
from discovery stops the search at once.
"""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any, Final

from .codec import split_bucket
from .list_copy import ListCopy
from .list_search import FoundList, ListSearch
from .message_rate import MessageRateLimit
from .messages import BUCKETS, BucketPart, BucketRequest, ListDigest, ListMessage, ListQuery, Provenance
from .readiness import ListTrust
from .settings import ColdStartSettings

# Digest of a gateway without a list that it may pass on.
NO_LIST: Final = ListDigest(0, 0, 0, Provenance.PEERS, (0,) * BUCKETS)
# When a list arrives, at most this many of the peers that queried before get its digest, the latest ones.
MAX_NOTIFIED: Final = 8
# Minimum number of answers that show that the fleet is serving, as a single one may be wrong.
MIN_OPEN_PEERS: Final = 2


class PeerLists:
    """One gateway's participation in the exchange.

    Outgoing messages are fetched by `take_messages`. `search.update` has to be called during a search.
    """

    def __init__(
        self,
        settings: ColdStartSettings,
        gateway_index: int,
        gateway_count: int,
        intake_per_s: float,
        rng: random.Random,
    ) -> None:
        """`intake_per_s` is the number of messages that this gateway can receive in a second."""
        self.settings = settings
        self.peers = [gateway for gateway in range(gateway_count) if gateway != gateway_index]
        self.copy = ListCopy()
        self.search = ListSearch(settings, self.peers, intake_per_s, self.copy, rng, self._send)
        self.admission_open = False  # whether this gateway's admission is open; sent with each digest
        self._open_peers: dict[int, bool] = {}  # by peer: whether its admission was open in its first answer
        self._sending = MessageRateLimit(settings.max_sent_per_s)
        self._waiting_peers: dict[int, None] = {}  # peers that queried while there was no list
        self._outbox: list[tuple[int, ListMessage]] = []

    # ---- events of this gateway

    def receive_discovery_list(
        self, now: int, version: int, entries: list[dict[str, Any]], *, complete: bool
    ) -> None:
        """Applies discovery's list or its changes, and stops the search."""
        result = self.search.result
        peers_agree = result is not None and result.trust is ListTrust.PEERS_AGREE
        if peers_agree and not complete and not self.copy.count:
            # discovery sent the changes since the list that peers agree on, which confirms that list
            self.copy.replace(now, result.version, Provenance.DISCOVERY, result.entries)
        self.search.stop()
        if complete:
            self.copy.replace(now, version, Provenance.DISCOVERY, entries)
        elif self.copy.provenance is Provenance.DISCOVERY or self.copy.count:
            self.copy.apply(now, version, entries)
            self.copy.provenance = Provenance.DISCOVERY
        self._notify_waiting_peers(now)

    def load_cached_list(self, now: int, version: int, entries: list[dict[str, Any]]) -> None:
        """Takes the list from before the start.

        Its age is unknown and set to half of the age up to which a list is sent to peers.
        """
        self.copy.replace(now - self.settings.max_list_age_ns // 2, version, Provenance.CACHED, entries)

    def record_discovery_contact(self, now: int) -> None:
        """Records that discovery's watch is alive, which confirms a list from discovery."""
        if self.copy.provenance is Provenance.DISCOVERY:
            self.copy.confirmed_ns = now

    # ---- messages

    def receive(self, now: int, sender: int, message: ListMessage) -> None:
        """Handles a peer's message."""
        if isinstance(message, ListQuery):
            self._answer_query(now, sender)
        elif isinstance(message, BucketRequest):
            self._answer_request(now, sender, message)
        elif isinstance(message, ListDigest):
            # only the first digest counts: a peer that started at the same time may open its admission later
            self._open_peers.setdefault(sender, message.admission_open)
            self.search.receive_digest(now, sender, message)
        elif isinstance(message, BucketPart):
            self.search.receive_part(now, sender, message)

    def take_messages(self) -> list[tuple[int, ListMessage]]:
        """Returns the messages to send that were added since the last call, each with its receiver."""
        messages = self._outbox
        self._outbox = []
        return messages

    def take_result(self) -> FoundList | None:
        """Returns a complete list from peers once; None if there is no new one."""
        return self.search.take_result()

    def fleet_is_serving(self) -> bool:
        """Returns whether enough peers answered and the admission of all of them is open.

        Then only this gateway starts, and not the whole fleet. Starting gateways answer that their admission
        is not open, so it is very unlikely that this is true while half of the fleet restarts.
        """
        min_answers = min(max(MIN_OPEN_PEERS, self.settings.min_agreeing_peers), len(self.peers))
        return len(self._open_peers) >= min_answers and all(self._open_peers.values())

    def _send(self, peer: int, message: ListMessage) -> None:
        self._outbox.append((peer, message))

    def _may_send(self, now: int, datagrams: int) -> bool:
        """Limits the datagrams to starting peers, as many gateways may start at the same time."""
        if self._sending.available(now) < datagrams:
            return False
        self._sending.spend(datagrams)
        return True

    def _answer_query(self, now: int, sender: int) -> None:
        digest = self.copy.digest(now)
        if digest is None or digest.age_ns >= self.settings.max_list_age_ns:
            self._waiting_peers[sender] = None
            digest = NO_LIST
        if self._may_send(now, 1):
            self._send(sender, replace(digest, admission_open=self.admission_open))

    def _answer_request(self, now: int, sender: int, request: BucketRequest) -> None:
        if request.version != self.copy.version or self.copy.digest(now) is None:
            return  # the list has changed: the peer will query again
        for bucket in request.buckets:
            parts = split_bucket(request.version, bucket, self.copy.buckets[bucket].values())
            if not self._may_send(now, len(parts)):
                return
            for part in parts:
                self._send(sender, part)

    def _notify_waiting_peers(self, now: int) -> None:
        digest = self.copy.digest(now)
        if digest is not None:
            for peer in list(self._waiting_peers)[-MAX_NOTIFIED:]:
                if self._may_send(now, 1):
                    self._send(peer, digest)
        self._waiting_peers = {}
