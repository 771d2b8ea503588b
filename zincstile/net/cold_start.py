"""Start of a gateway in a fleet: connects `cold_start` with the peers' datagrams, discovery and readiness.

Exchanges endpoint lists with other gateways, delays the first call to discovery, and determines when this
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

SEARCH_INTERVAL_NS: Final = 30_000_000  # between updates while a list is searched for
IDLE_INTERVAL_NS: Final = 1_000_000_000  # once this gateway has a trusted list and is ready


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
        """`me`: index of this gateway; `gateways`: size of the fleet; `ready`: called once, when it is ready.

        `admission_is_open` returns whether the admission ramp after the start is over.
        """
        self.admission_is_open = admission_is_open
        self.dispatcher = dispatcher
        self.peers = peers
        self.watcher = watcher
        self.settings = settings
        self.rng = random.Random(f"start {seed}")
        self.lists = PeerLists(settings, me, gateways, intake_per_s, self.rng)
        # Without `list_call_timeout_ns` discovery is an agent on this machine, and calls are not queued.
        self.spread_ns = (
            gateways * settings.poll_spread_per_gateway_ns if dispatcher.limits.list_call_timeout_ns else 0
        )
        self.readiness: Readiness | None = None  # set by `begin`
        self._ready: Callable[[], None] | None = ready
        self._watch_opened = False
        self._open_watch_at_ns = 0
        watcher.listener = self
        peers.decoders[codec.MAGIC] = self._receive

    def begin(self, known: dict[str, Any]) -> None:
        """Starts, with the cached list if there is one."""
        now = self.dispatcher.now_ns()
        self.readiness = Readiness(self.settings, now)
        self.watcher.begin(known, defer_watch=True)
        cached = bool(known.get("endpoints"))
        if cached:
            self.lists.load_cached_list(now, int(known["index"]), list(known["endpoints"]))
            self.readiness.record_list(ListTrust.CACHED)
        self.lists.search.start(now)
        if self.lists.search.active:  # a list from peers may save a call, or its time in the queue
            self._open_watch_at_ns = now + self.settings.peer_wait_ns + self.rng.randrange(self.spread_ns + 1)
        else:
            self._open_watch(at_once=not cached)
        self._update(None)

    def list_received(self, version: int, endpoints: list[dict[str, Any]], *, complete: bool) -> None:
        """Applies a list from discovery or a change of it."""
        now = self.dispatcher.now_ns()
        self.lists.receive_discovery_list(now, version, endpoints, complete=complete)
        self.readiness.record_list(ListTrust.DISCOVERY)
        self._report_ready()
        self._send()

    def watch_alive(self) -> None:
        """Records that discovery has sent something."""
        self.lists.record_discovery_contact(self.dispatcher.now_ns())

    def _open_watch(self, *, at_once: bool) -> None:
        """Opens the watch of discovery, unless it was opened before: at once or after a random delay."""
        if self._watch_opened:
            return
        self._watch_opened = True
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
        result = self.lists.take_result()
        if result is None or self.watcher.has_discovery_list:
            return
        copy = self.lists.copy
        if copy.provenance is Provenance.CACHED and result.version < copy.version:
            return
        agreed = result.trust is ListTrust.PEERS_AGREE
        if self.watcher.apply_peer_list(result.version, result.entries, agreed=agreed):
            self._log_search_result(result)
            self.readiness.record_list(result.trust)
            if agreed:
                self._open_watch(at_once=False)
            self._report_ready()

    def _log_search_result(self, result: FoundList) -> None:
        self.dispatcher.log.line(
            f"list of {len(result.entries)} backend servers, version {result.version}, "
            f"{result.trust.value}, confirmed {result.age_ns // 1_000_000} ms ago"
        )

    def _update(self, _: object) -> None:
        now = self.dispatcher.now_ns()
        search = self.lists.search
        search.update(now)
        if search.cache_confirmed:
            self.readiness.record_list(ListTrust.CACHED, cache_confirmed=True)
        self._apply_search_result()
        if not self._watch_opened and now >= self._open_watch_at_ns:
            self._open_watch(at_once=True)
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
