"""Keeps a watch of discovery open: opens, aborts, replaces and reopens it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any, Final

from ...cold_start.list_polling import ListPolling
from ...decisions.messages import EndpointList, EndpointListKind, WatchEndpoints
from ..config import Address, ConfigError
from ..dispatcher import Dispatcher
from .table import EndpointTable
from .watch import Watch, WatchFailure, WatchListener

NS_PER_S: Final = 1e9
READ_ERRORS: Final = (ValueError, KeyError, TypeError, AttributeError)


class EndpointWatcher:
    """Keeps a watch open from the start on. While there is none, the latest list stays in use."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        table: EndpointTable,
        address: Address,
        on_first_list: Callable[[], None],
        rng: random.Random,
    ) -> None:
        """`rng` must be seeded per gateway: otherwise all gateways would call discovery at the same time."""
        self.dispatcher = dispatcher
        self.table = table
        self.address = address
        self.on_first_list = on_first_list
        self.rng = rng
        self.has_discovery_list = False  # whether discovery has sent a list since the start
        self.listener: WatchListener | None = None
        self.current: Watch | None = None  # the latest one
        limits = dispatcher.limits
        self._polling = ListPolling(
            rng,
            limits.watch_backoff_ns,
            limits.max_watch_backoff_ns,
            limits.list_call_timeout_ns,
            limits.max_watch_wait_ns,
        )
        self._previous: Watch | None = None  # kept until the current one is answered
        self._connecting: asyncio.Task | None = None  # the event loop keeps only weak references
        self._checks: dict[asyncio.Task, None] = {}  # running checks of silent services
        # Nothing to do: a watch is always open or being opened.
        dispatcher.action_handlers[WatchEndpoints] = lambda now, _: None

    # ---- the list before the first one from discovery

    def begin(self, known: dict[str, Any], *, defer_watch: bool = False) -> None:
        """Starts with the list from the configuration, which may be empty.

        With `defer_watch` the caller opens the watch later. Raises ConfigError if the list is malformed.
        """
        if known.get("endpoints"):
            try:
                self.table.apply_message(known, EndpointListKind.CACHED)
            except READ_ERRORS as err:
                raise ConfigError(f"known: malformed endpoint list: {type(err).__name__}: {err}") from None
            if not defer_watch:
                self.open_after_delay()
        else:
            self.dispatcher.post(EndpointList(EndpointListKind.CACHED, 0, []))
            if not defer_watch:
                self.open()

    def apply_peer_list(self, version: int, endpoints: list[dict[str, Any]], *, agreed: bool) -> bool:
        """Applies a list that peers have sent.

        Unless `agreed`, the complete list is still requested from discovery. Returns False if discovery has
        already sent a list, or if the peers' list is malformed.
        """
        if self.has_discovery_list:
            return False
        message = {"index": version, "snapshot": True, "endpoints": endpoints}
        try:
            self.table.apply_message(message, EndpointListKind.CACHED, record_version=True)
        except READ_ERRORS as err:
            self.dispatcher.log.line_limited(
                "start", f"list from peers is malformed: {type(err).__name__}: {err}"
            )
            return False
        if not agreed:
            self.table.version = 0
        return True

    # ---- opening

    def open_after_delay(self) -> None:
        """Opens a watch after a random delay, as discovery rejects a fleet that calls all at once."""
        wait_ns = self.rng.randint(1, self.dispatcher.limits.first_watch_delay_ns)
        self.dispatcher.deadlines.add(self.dispatcher.now_ns() + wait_ns, self.open, None)
        self.dispatcher.wake()

    def open(self, address: Address | None = None) -> None:
        """Opens a watch; does nothing if discovery has moved from the `address` of a scheduled retry."""
        if address in (None, self.address):
            self._connecting = self.dispatcher.loop.create_task(self._connect(self.address))

    def move(self, address: Address) -> None:
        """Changes the address of discovery.

        The table stays in use and the old watch is read until the new one is answered.
        """
        if address != self.address:
            self.address = address
            self.table.version = 0  # another discovery may use other version numbers
            self._polling.reset_backoff()
            self.open()

    async def _connect(self, address: Address) -> None:
        loop, timeout_s = self.dispatcher.loop, self.dispatcher.limits.max_backoff_ns / NS_PER_S
        try:
            async with asyncio.timeout(timeout_s):
                await loop.create_connection(lambda: Watch(self, address), *address)
        except (OSError, TimeoutError) as err:
            self.on_lost(address, WatchFailure(f"can't connect: {err or type(err).__name__}"))

    def on_connected(self, watch: Watch) -> None:
        """Called when a watch is connected; the previous one is kept until this one is answered."""
        if watch.address != self.address:  # discovery moved while it was being connected
            watch.transport.abort()
            return
        replaced = self.current
        self.current = watch
        if self._previous is None:
            self._previous = replaced
        elif replaced is not None:  # not answered yet, so of no use
            replaced.transport.abort()

    # ---- silence

    def on_silent(self, watch: Watch) -> None:
        """Opens a second watch beside a silent one, which is kept until the second is answered.

        When discovery recovers, its changes have to arrive at once, so a call must be pending at all times.
        If discovery is one service that does work for each call, the silent watch is aborted first.
        """
        call_is_costly = self.dispatcher.limits.list_call_timeout_ns
        if call_is_costly or watch is not self.current or watch.address != self.address:
            watch.abort("silent", watch.silent_ns())
            return
        self.dispatcher.log.line_limited(
            "watch", "silent: opening a second one; the latest list stays in use"
        )
        self.open()

    def check_pending_call(self, watch: Watch) -> bool:
        """Returns whether to keep an unanswered call; if so, starts to check that the service is alive.

        If discovery is one service for the whole fleet, the call may be queued there: a repeated call would
        double its work and delay all callers behind it. The check only opens a connection, without a request.
        """
        if not self.dispatcher.limits.list_call_timeout_ns or watch is not self.current:
            return False
        task = self.dispatcher.loop.create_task(self._check_service(watch))
        self._checks[task] = None
        task.add_done_callback(lambda done: self._checks.pop(done, None))
        return True

    async def _check_service(self, watch: Watch) -> None:
        loop, timeout_s = self.dispatcher.loop, self.dispatcher.limits.max_backoff_ns / NS_PER_S
        try:
            async with asyncio.timeout(timeout_s):
                transport, _ = await loop.create_connection(asyncio.Protocol, *watch.address)
            transport.abort()
        except (OSError, TimeoutError):
            watch.abort_if_unanswered("silent, and discovery accepts no connection")
            return
        if self._polling.keeps_waiting(self.dispatcher.now_ns() - watch.requested_ns):
            watch.extend_wait()
        else:
            waited_ns = self.dispatcher.now_ns() - watch.requested_ns
            watch.abort_if_unanswered("no answer within the timeout", waited_ns)

    # ---- failures and messages

    def on_lost(self, address: Address, failure: WatchFailure, watch: Watch | None = None) -> None:
        """Schedules a retry after a watch has ended or, without `watch`, after a failed connect.

        The backoff grows and is drawn at random from its whole span. All gateways may lose their watches at
        the same time: discovery would reject simultaneous calls, and could never answer if each gateway
        retried once a second.
        """
        if watch is not None and watch is self._previous:
            self._previous = None
        if address != self.address or (watch is not None and watch is not self.current):
            return  # an old watch: another one is open or being opened
        if watch is not None:  # otherwise the current watch, if any, stays open
            self.current = None
        self.dispatcher.log.line_limited("watch", f"lost: {failure.reason}; the latest list stays in use")
        wait_ns = self._polling.record_failure(failure.retry_after_ns, failure.silent_ns)
        self.dispatcher.deadlines.add(self.dispatcher.now_ns() + wait_ns, self.open, address)
        self.dispatcher.wake()

    def on_message(self, watch: Watch, message: dict[str, Any]) -> None:
        """Called with a message; ignores those of a watch that was replaced."""
        if watch is not self.current and watch is not self._previous:
            return
        kind = EndpointListKind.FULL if message["snapshot"] else EndpointListKind.DELTA
        # After a move the old watch may still send messages, whose versions belong to the old address.
        self.table.apply_message(message, kind, record_version=watch.address == self.address)
        if self.listener is not None:
            complete = bool(message["snapshot"])
            self.listener.list_received(self.table.version, message["endpoints"], complete=complete)
        if watch is self.current:
            self._polling.record_answer(watch.response_time_ns())
            if self._previous is not None:
                replaced = self._previous
                self._previous = None
                replaced.transport.abort()
        if not self.has_discovery_list:
            self.has_discovery_list = True
            self.on_first_list()
