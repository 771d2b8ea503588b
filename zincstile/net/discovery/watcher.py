"""Keeping a watch of discovery open: when one is opened, given up, replaced, and opened again."""

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
    """Keeps a watch open from the start on. While there is none, the last list stands."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        table: EndpointTable,
        address: Address,
        on_first_list: Callable[[], None],
        rng: random.Random,
    ) -> None:
        """`rng` is of this gateway alone: a fleet that draws alike calls discovery in step."""
        self.dispatcher = dispatcher
        self.table = table
        self.address = address
        self.on_first_list = on_first_list
        self.rng = rng
        self.has_discovery_list = False  # discovery has sent a list since the start
        self.listener: WatchListener | None = None
        self.current: Watch | None = None  # the last that was opened
        limits = dispatcher.limits
        self._polling = ListPolling(
            rng,
            limits.watch_backoff_ns,
            limits.max_watch_backoff_ns,
            limits.list_call_timeout_ns,
            limits.max_watch_wait_ns,
        )
        self._previous: Watch | None = None  # an older one: it stands until the current one is answered
        self._connecting: asyncio.Task | None = None  # the loop alone would hold it weakly
        self._checks: dict[asyncio.Task, None] = {}  # whether a silent service is there at all
        dispatcher.action_handlers[WatchEndpoints] = (
            lambda now, _: None
        )  # a watch is always open, or being opened

    # ---- the list of before discovery's own

    def begin(self, known: dict[str, Any], *, defer_watch: bool = False) -> None:
        """Starts with the list that the settings know, which may be empty.

        With `defer_watch` the caller opens the watch later. Raises ConfigError if the list is malformed.
        """
        if known.get("endpoints"):
            try:
                self.table.apply_message(known, EndpointListKind.CACHED)
            except READ_ERRORS as err:
                raise ConfigError(f"known: {type(err).__name__} {err}") from None
            if not defer_watch:
                self.open_after_delay()
        else:
            self.dispatcher.post(EndpointList(EndpointListKind.CACHED, 0, []))
            if not defer_watch:
                self.open()

    def apply_peer_list(self, version: int, endpoints: list[dict[str, Any]], *, agreed: bool) -> bool:
        """Takes over a list that peers have sent.

        Not `agreed`: discovery is asked for the complete list all the same. False where discovery's own is
        here already, or the list can't be read.
        """
        if self.has_discovery_list:
            return False
        message = {"index": version, "snapshot": True, "endpoints": endpoints}
        try:
            self.table.apply_message(message, EndpointListKind.CACHED, record_version=True)
        except READ_ERRORS as err:
            self.dispatcher.log.line_limited(
                "start", f"a peer's list can't be read: {type(err).__name__} {err}"
            )
            return False
        if not agreed:
            self.table.version = 0
        return True

    # ---- opening

    def open_after_delay(self) -> None:
        """Opens a watch at a drawn moment: a list is here, and a fleet that asks in step is rejected."""
        wait_ns = self.rng.randint(1, self.dispatcher.limits.first_watch_delay_ns)
        self.dispatcher.deadlines.add(self.dispatcher.now_ns() + wait_ns, self.open, None)
        self.dispatcher.wake()

    def open(self, address: Address | None = None) -> None:
        """Opens a watch; `address`: the one that a retry was meant for, as discovery may have moved since."""
        if address in (None, self.address):
            self._connecting = self.dispatcher.loop.create_task(self._connect(self.address))

    def move(self, address: Address) -> None:
        """Discovery is found elsewhere from now on.

        The table stands, and the old watch is read, until the new one is answered.
        """
        if address != self.address:
            self.address = address
            self.table.version = 0  # another discovery may count in another way
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
        """A watch is connected; the one before stands until this one is answered."""
        if watch.address != self.address:  # moved on while it came up
            watch.transport.abort()
            return
        replaced = self.current
        self.current = watch
        if self._previous is None:
            self._previous = replaced
        elif replaced is not None:  # one without an answer yet stands for nothing
            replaced.transport.abort()

    # ---- silence

    def on_silent(self, watch: Watch) -> None:
        """Opens another watch beside a silent one, which stands until that has come up.

        What discovery has when it returns counts as received at once: a call has to be out then. Where
        discovery is one service that each call costs work, the silent one is given up first.
        """
        patient = self.dispatcher.limits.list_call_timeout_ns
        if patient or watch is not self.current or watch.address != self.address:
            watch.abort("silent", watch.silent_ns())
            return
        self.dispatcher.log.line_limited("watch", "silent: another is opened beside it; the last list stands")
        self.open()

    def check_pending_call(self, watch: Watch) -> bool:
        """Whether a call without an answer is left out.

        Where discovery is one service for the whole fleet, the call's turn may still come: given up and made
        again, it would cost the service twice, and all that wait behind it. So it is checked whether the
        service is there at all, by a connection that asks for nothing.
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
            watch.abort_if_unanswered("silent, and it takes no connection")
            return
        if self._polling.keeps_waiting(self.dispatcher.now_ns() - watch.requested_ns):
            watch.extend_wait()
        else:
            waited_ns = self.dispatcher.now_ns() - watch.requested_ns
            watch.abort_if_unanswered("silent for all of the patience", waited_ns)

    # ---- the end of a watch, and its messages

    def on_lost(self, address: Address, failure: WatchFailure, watch: Watch | None = None) -> None:
        """A watch has ended, or (without one) a call for one could not connect: tries again.

        Each time later, at a moment drawn from all of the wait. Gateways may lose their watches at once:
        asked in step, discovery rejects all of them, and asked again by each of them once a second, it
        never comes to answer.
        """
        if watch is not None and watch is self._previous:
            self._previous = None
        if address != self.address or (watch is not None and watch is not self.current):
            return  # an old watch: another has been opened, or is being opened
        if watch is not None:  # else the one that stands is read on, though the next did not come up
            self.current = None
        self.dispatcher.log.line_limited("watch", f"lost: {failure.reason}; the last list stands")
        wait_ns = self._polling.record_failure(failure.retry_after_ns, failure.silent_ns)
        self.dispatcher.deadlines.add(self.dispatcher.now_ns() + wait_ns, self.open, address)
        self.dispatcher.wake()

    def on_message(self, watch: Watch, message: dict[str, Any]) -> None:
        """A message of a watch. One that was replaced is not read any more."""
        if watch is not self.current and watch is not self._previous:
            return
        kind = EndpointListKind.FULL if message["snapshot"] else EndpointListKind.DELTA
        # An old watch may still be answered after a move, and count in another way.
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
