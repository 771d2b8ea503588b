"""Exchange of endpoint lists with other gateways: passes on the list of this one, and searches for one.

Only what discovery sent is passed on (also by changes since a list that peers agreed on), or what was cached
before the start. What came from peers alone is never passed on, so that a wrong list can't spread, nor
outlive the gateways that had it from discovery. The age of a list travels with it and only grows. A list from
discovery itself ends the search at once.
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

NO_LIST: Final = ListDigest(0, 0, 0, Provenance.PEERS, (0,) * BUCKETS)  # of a gateway with nothing to pass on
MAX_NOTIFIED: Final = 8  # peers that are sent the digest when a list arrives, the last that queried in vain
MIN_OPEN_PEERS: Final = 2  # whose answers say that the fleet serves: one alone may be wrong


class PeerLists:
    """One gateway's part of the exchange.

    Events come in by the methods; messages go out by `take_messages`, and `update` has to be called while a
    list is searched for.
    """

    def __init__(
        self,
        settings: ColdStartSettings,
        gateway_index: int,
        gateway_count: int,
        intake_per_s: float,
        rng: random.Random,
    ) -> None:
        """Takes the gateway's index, how many there are, and the messages that it reads in a second."""
        self.settings = settings
        self.peers = [gateway for gateway in range(gateway_count) if gateway != gateway_index]
        self.copy = ListCopy()
        self.search = ListSearch(settings, self.peers, intake_per_s, self.copy, rng, self._send)
        self.admission_open = False  # of this gateway; sent with each digest
        self._open_peers: dict[int, bool] = {}  # by peer that answered: whether its admission was open then
        self._sending = MessageRateLimit(settings.max_sent_per_s)
        self._waiting_peers: dict[int, None] = {}  # that queried while there was no list
        self._outbox: list[tuple[int, ListMessage]] = []

    # ---- events of this gateway

    def receive_discovery_list(
        self, now: int, version: int, entries: list[dict[str, Any]], *, complete: bool
    ) -> None:
        """Takes discovery's list, or its changes, and ends the search."""
        found = self.search.result
        agreed = found is not None and found.trust is ListTrust.PEERS_AGREE
        if agreed and not complete and not self.copy.count:
            # discovery sent what changed since the list that peers agree on, and so confirmed that list
            self.copy.replace(now, found.version, Provenance.DISCOVERY, found.entries)
        self.search.stop()
        if complete:
            self.copy.replace(now, version, Provenance.DISCOVERY, entries)
        elif self.copy.provenance is Provenance.DISCOVERY or self.copy.count:
            self.copy.apply(now, version, entries)
            self.copy.provenance = Provenance.DISCOVERY
        self._notify_waiting_peers(now)

    def load_cached_list(self, now: int, version: int, entries: list[dict[str, Any]]) -> None:
        """Takes the list of before the start.

        Nobody knows its age: it counts as half of the age at which a list is no longer passed on.
        """
        self.copy.replace(now - self.settings.max_list_age_ns // 2, version, Provenance.CACHED, entries)

    def record_discovery_contact(self, now: int) -> None:
        """Notes that discovery's watch sent something, if only that nothing has changed."""
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
            # the first one counts: later the peer may have opened after this gateway started
            self._open_peers.setdefault(sender, message.admission_open)
            self.search.receive_digest(now, sender, message)
        elif isinstance(message, BucketPart):
            self.search.receive_part(now, sender, message)

    def take_messages(self) -> list[tuple[int, ListMessage]]:
        """Returns the messages to send since the last call, each with the peer it is for."""
        messages = self._outbox
        self._outbox = []
        return messages

    def take_result(self) -> FoundList | None:
        """Returns a complete list from peers, once."""
        return self.search.take_result()

    def fleet_is_serving(self) -> bool:
        """Returns whether all peers that answered serve with open admission, and at least two answered.

        Then this gateway starts into a fleet that serves, and not together with it. Gateways that start say
        that their admission is not open, so that a fleet of which half has just come back is hardly ever
        taken for one that serves.
        """
        enough = min(max(MIN_OPEN_PEERS, self.settings.min_agreeing_peers), len(self.peers))
        return len(self._open_peers) >= enough and all(self._open_peers.values())

    def _send(self, peer: int, message: ListMessage) -> None:
        self._outbox.append((peer, message))

    def _may_send(self, now: int, datagrams: int) -> bool:
        """Guards a gateway that serves against a crowd of those that start."""
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
            return  # another list by now: the peer will query again
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
