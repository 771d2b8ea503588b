"""The start beside other gateways: words on the list of backend servers over the peers' datagrams, the moment
of the first call to discovery, and when this gateway says that it is ready. `start` decides.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from ..cold_start import words
from ..cold_start.lists import KNOWN, Lists
from ..cold_start.policy import Running
from ..cold_start.ready import Readiness, Right
from ..cold_start.settings import StartSettings
from .discovery.watcher import EndpointWatcher
from .dispatcher import Dispatcher
from .peers import HANDLED, Peers

LOOK_NS, REST_NS = 30_000_000, 1_000_000_000  # how often it is looked at what is sought; once it is found


class Starter:
    """Of one process. `ready` is called once, when it may say yes."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        peers: Peers,
        watcher: EndpointWatcher,
        settings: StartSettings,
        me: int,
        gateways: int,
        intake_per_s: float,
        seed: int,
        ready: Callable[[], None],
    ) -> None:
        self.dispatcher, self.peers, self.watcher, self.settings, self._ready = (
            dispatcher,
            peers,
            watcher,
            settings,
            ready,
        )
        self.rng = random.Random(f"start {seed}")
        self.lists = Lists(settings, me, gateways, intake_per_s, self.rng)
        self.apart_ns = gateways * settings.each_ns if dispatcher.limits.table_patience_ns else 0
        self.readiness: Readiness | None = None
        self._opened = False
        self._open_ns = 0
        watcher.listener = self
        peers.decoders[words.MAGIC] = self._heard

    def begin(self, known: dict[str, Any]) -> None:
        """With the list of before the start, or none."""
        now = self.dispatcher.now_ns()
        self.readiness = Readiness(self.settings, now)
        self.watcher.begin(known, hold=True)
        has = bool(known.get("endpoints"))
        if has:
            self.lists.known(now, int(known["index"]), list(known["endpoints"]))
            self.readiness.has(Right.KNOWN)
        self.lists.seek(now)
        if self.lists.seeking:  # a peer's word may save a whole list, or the gateway's waiting in its line
            self._open_ns = now + self.settings.wait_ns + (self.rng.randrange(self.apart_ns + 1))
        else:
            self._open(has)
        self._look(None)

    def _open(self, soon: bool) -> None:
        if not self._opened:
            self._opened = True
            if soon:
                self.watcher.open_soon()
            else:
                self.watcher.open()

    def list_received(self, version: int, endpoints: list[dict[str, Any]], *, complete: bool) -> None:
        """Discovery's own list, or a change of it."""
        now = self.dispatcher.now_ns()
        self.lists.told_by_discovery(now, version, endpoints, complete)
        self.readiness.has(Right.TOLD)
        self._say()
        self._send()

    def watch_alive(self) -> None:
        """Discovery has sent something, be it that nothing has changed."""
        self.lists.alive(self.dispatcher.now_ns())

    def _heard(self, sender: int, data: bytes) -> object | None:
        word = words.unpack(data)
        if word is None:
            return None
        self.lists.open = self.dispatcher.policy.opening is None  # type: ignore[attr-defined]
        self.lists.hear(self.dispatcher.now_ns(), sender, word)
        if not self.lists.open and self.lists.running():
            self.dispatcher.post(Running())
        self._take()
        self._send()
        return HANDLED

    def _take(self) -> None:
        """A list of peers' that is whole. Only where it is younger than the one that is here."""
        found = self.lists.take_found()
        if found is None or self.watcher.has_received:
            return
        if self.lists.book.rank == KNOWN and found.version < self.lists.book.version:
            return
        sure = found.right is Right.AGREED
        if self.watcher.take_peers_list(found.version, found.entries, agreed=sure):
            self.dispatcher.log.line(
                f"list of {len(found.entries)} backend servers, version {found.version}, "
                f"{found.right.value}, confirmed {found.age_ns // 1_000_000} ms ago"
            )
            self.readiness.has(found.right)
            if sure:
                self._open(soon=True)
            self._say()

    def _look(self, _: object) -> None:
        now = self.dispatcher.now_ns()
        self.lists.look(now)
        if self.lists.confirmed:
            self.readiness.has(Right.KNOWN, confirmed=True)
        self._take()
        if not self._opened and now >= self._open_ns:
            self._open(soon=False)
        self._say()
        self._send()
        if self.lists.seeking or self._ready is not None:
            found = self._ready is None and self.readiness.right in (Right.AGREED, Right.TOLD)
            self.dispatcher.deadlines.add(now + (REST_NS if found else LOOK_NS), self._look)
            self.dispatcher.wake()

    def _say(self) -> None:
        if self._ready is not None and self.readiness.ready(self.dispatcher.now_ns()):
            ready, self._ready = self._ready, None
            ready()

    def _send(self) -> None:
        for peer, word in self.lists.told():
            self.peers.send(peer, words.pack(word))
