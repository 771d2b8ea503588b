"""A start beside other gateways: connects `cold_start` with the peers' datagrams, discovery and readiness.

It exchanges endpoint lists with other gateways, delays the first call to discovery, and says when this
gateway is ready.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Final

from ..cold_start import codec
from ..cold_start.events import FleetIsServing
from ..cold_start.list_search import FoundList
from ..cold_start.messages import Provenance
from ..cold_start.peer_lists import PeerLists
from ..cold_start.readiness import ListTrust, Readiness
from ..cold_start.settings import ColdStartSettings
from .discovery.watcher import EndpointWatcher
from .dispatcher import Dispatcher
from .peers import HANDLED, Peers

SEARCH_INTERVAL_NS: Final = 30_000_000  # between two updates while a list is searched for
IDLE_INTERVAL_NS: Final = 1_000_000_000  # once a trusted list is there and this gateway is ready


class ColdStart:
    """The start of one process."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        peers: Peers,
        watcher: EndpointWatcher,
        settings: ColdStartSettings,
        me: int,
        gateways: int,
        intake_per_s: float,
        seed: int,
        ready: Callable[[], None],
        admission_is_open: Callable[[], bool],
    ) -> None:
        """Takes the parts of the gateway; `ready` is called once, when it may answer that it is ready.
        `admission_is_open`: this gateway has no pace of a start any more."""
        self.admission_is_open = admission_is_open
        self.dispatcher = dispatcher
        self.peers = peers
        self.watcher = watcher
        self.settings = settings
        self.rng = random.Random(f"start {seed}")
        self.lists = PeerLists(settings, me, gateways, intake_per_s, self.rng)
        # without a patience there is no queue at the list service, as discovery is on this machine
        self.spread_ns = (
            gateways * settings.poll_spread_per_gateway_ns if dispatcher.limits.list_call_timeout_ns else 0
        )
        self.readiness: Readiness | None = None  # from `begin` on
        self._ready: Callable[[], None] | None = ready
        self._polled = False
        self._poll_ns = 0
        watcher.listener = self
        peers.decoders[codec.MAGIC] = self._receive

    def begin(self, known: dict[str, Any]) -> None:
        """Starts, with the list that was cached before the start, or without one."""
        now = self.dispatcher.now_ns()
        self.readiness = Readiness(self.settings, now)
        self.watcher.begin(known, defer_watch=True)
        cached = bool(known.get("endpoints"))
        if cached:
            self.lists.load_cached_list(now, int(known["index"]), list(known["endpoints"]))
            self.readiness.record_list(ListTrust.CACHED)
        self.lists.search.start(now)
        if self.lists.search.active:  # a list from peers may save one from the service, or the queue for it
            self._poll_ns = now + self.settings.peer_wait_ns + self.rng.randrange(self.spread_ns + 1)
        else:
            self._poll(at_once=not cached)
        self._update(None)

    def list_received(self, version: int, endpoints: list[dict[str, Any]], *, complete: bool) -> None:
        """Takes discovery's list, or its changes."""
        now = self.dispatcher.now_ns()
        self.lists.receive_discovery_list(now, version, endpoints, complete=complete)
        self.readiness.record_list(ListTrust.DISCOVERY)
        self._report_ready()
        self._send()

    def watch_alive(self) -> None:
        """Notes that discovery's watch sent something."""
        self.lists.record_discovery_contact(self.dispatcher.now_ns())

    def _poll(self, *, at_once: bool) -> None:
        """Opens the watch of discovery, once: at once or at a random moment."""
        if self._polled:
            return
        self._polled = True
        if at_once:
            self.watcher.open()
        else:
            self.watcher.open_after_delay()

    def _receive(self, sender: int, data: bytes) -> object | None:
        message = codec.unpack(data)
        if message is None:
            return None
        self.lists.admission_open = self.admission_is_open()
        self.lists.receive(self.dispatcher.now_ns(), sender, message)
        if not self.lists.admission_open and self.lists.fleet_is_serving():
            self.dispatcher.post(FleetIsServing())
        self._apply_search_result()
        self._send()
        return HANDLED

    def _apply_search_result(self) -> None:
        """Uses a complete list from peers, if it is not older than the cached one."""
        found = self.lists.take_result()
        if found is None or self.watcher.has_discovery_list:
            return
        copy = self.lists.copy
        if copy.provenance is Provenance.CACHED and found.version < copy.version:
            return
        agreed = found.trust is ListTrust.PEERS_AGREE
        if self.watcher.apply_peer_list(found.version, found.entries, agreed=agreed):
            self._log_search_result(found)
            self.readiness.record_list(found.trust)
            if agreed:
                self._poll(at_once=False)
            self._report_ready()

    def _log_search_result(self, found: FoundList) -> None:
        self.dispatcher.log.line(
            f"list of {len(found.entries)} backend servers, version {found.version}, "
            f"{found.trust.value}, confirmed {found.age_ns // 1_000_000} ms ago"
        )

    def _update(self, _: object) -> None:
        now = self.dispatcher.now_ns()
        search = self.lists.search
        search.update(now)
        if search.cache_confirmed:
            self.readiness.record_list(ListTrust.CACHED, cache_confirmed=True)
        self._apply_search_result()
        if not self._polled and now >= self._poll_ns:
            self._poll(at_once=True)
        self._report_ready()
        self._send()
        if search.active or self._ready is not None:
            trusted = self.readiness.trust in (ListTrust.PEERS_AGREE, ListTrust.DISCOVERY)
            idle = self._ready is None and trusted
            interval_ns = IDLE_INTERVAL_NS if idle else SEARCH_INTERVAL_NS
            self.dispatcher.deadlines.add(now + interval_ns, self._update)
            self.dispatcher.wake()

    def _report_ready(self) -> None:
        if self._ready is not None and self.readiness.is_ready(self.dispatcher.now_ns()):
            ready = self._ready
            self._ready = None
            ready()

    def _send(self) -> None:
        for peer, message in self.lists.take_messages():
            self.peers.send(peer, codec.pack(message))
