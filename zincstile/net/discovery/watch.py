"""One watch: a call to discovery whose answer is the endpoint list, and every change of it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final, NamedTuple, Protocol

from .. import http
from ..config import Address
from ..deadlines import DeadlineKey
from ..dispatcher import Dispatcher
from ..json_objects import JsonObjectParser
from .table import EndpointTable

OK_STATUS: Final = 200
NS_PER_S: Final = 1_000_000_000


class WatchFailure(NamedTuple):
    """Why a watch, or a call for one, has ended."""

    reason: str
    retry_after_ns: int = 0  # as discovery has asked for; 0: it has not
    silent_ns: int = 0  # how long nothing had come when it was given up


class WatchListener(Protocol):
    """Who gets discovery's own lists too: `cold_start.ColdStart`."""

    def list_received(self, version: int, endpoints: list[dict[str, Any]], *, complete: bool) -> None:
        """A list or a change of it, as its JSON has it."""
        ...

    def watch_alive(self) -> None:
        """Discovery has sent something, be it that nothing has changed."""
        ...


class WatchOwner(Protocol):
    """Who opens watches: `watcher.EndpointWatcher`."""

    dispatcher: Dispatcher
    table: EndpointTable
    listener: WatchListener | None

    def on_connected(self, watch: Watch) -> None:
        """The connection is up."""
        ...

    def on_message(self, watch: Watch, message: dict[str, Any]) -> None:
        """A message has come."""
        ...

    def check_pending_call(self, watch: Watch) -> bool:
        """Whether a call without an answer may still be answered; it is looked after then."""
        ...

    def on_silent(self, watch: Watch) -> None:
        """Nothing has come for too long."""
        ...

    def on_lost(self, address: Address, failure: WatchFailure, watch: Watch | None = None) -> None:
        """The watch has ended."""
        ...


class Watch(asyncio.BufferedProtocol):
    """Reads the messages of one watch, and notices when nothing comes any more."""

    __slots__ = (
        "owner",
        "address",
        "transport",
        "requested_ns",
        "_buffer",
        "_lines",
        "_parser",
        "_failure",
        "_deadline",
        "_last_received_ns",
        "_answered",
        "_answered_ns",
    )

    def __init__(self, owner: WatchOwner, address: Address) -> None:
        """A call to discovery at `address` that is not connected yet."""
        self.owner = owner
        self.address = address
        self.transport: asyncio.Transport | None = None
        limits = owner.dispatcher.limits
        self._buffer = memoryview(bytearray(limits.read_bytes))
        self._lines = http.LineReader(limits)
        # A listener gets endpoints as their JSON has them.
        read_endpoint = owner.table.read_early if owner.listener is None else None
        self._parser = JsonObjectParser(limits.table_bytes, read_endpoint)
        self._failure = WatchFailure("it ended")
        self._deadline: DeadlineKey | None = None
        self.requested_ns = owner.dispatcher.now_ns()
        self._last_received_ns = self.requested_ns
        self._answered = False  # something has come
        self._answered_ns = 0  # when that was

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up. Called by asyncio."""
        self.transport = transport  # type: ignore[assignment]
        self.owner.dispatcher.counters.watches += 1
        self.owner.on_connected(self)
        host, port = self.address
        # What was missed since: every line costs discovery work, for each gateway of the fleet. Where that is
        # too old to be sent as changes, the complete list comes.
        version = self.owner.table.version
        self.transport.write(http.get(f"{host}:{port}", f"/v1/endpoints?stream=1&index={version}"))
        self._check_silence(None)

    # ---- silence

    def _check_silence(self, _: object) -> None:
        """Notices a watch that fell silent in time for another call.

        What discovery has sent counts as received after 6 s: drains would be missed.
        """
        dispatcher = self.owner.dispatcher
        limits = dispatcher.limits
        silence_ns = limits.watch_silence_timeout_ns if self._answered else limits.watch_answer_timeout_ns
        if self.silent_ns() >= silence_ns:
            if self._answered or not self.owner.check_pending_call(self):
                self.owner.on_silent(self)
            return
        self._deadline = dispatcher.deadlines.add(self._last_received_ns + silence_ns, self._check_silence)
        dispatcher.wake()

    def extend_wait(self) -> None:
        """The service is there, and its answer may still come: silence counts anew."""
        if not self._answered and not self.transport.is_closing():
            self._last_received_ns = self.owner.dispatcher.now_ns()
            self._check_silence(None)

    def silent_ns(self) -> int:
        """How long nothing has come."""
        return self.owner.dispatcher.now_ns() - self._last_received_ns

    def abort(self, reason: str, silent_ns: int = 0) -> None:
        """Ends the watch."""
        self._failure = self._failure._replace(reason=reason, silent_ns=silent_ns)
        self.transport.abort()

    def abort_if_unanswered(self, reason: str, silent_ns: int = 0) -> None:
        """Ends the watch, unless something has come meanwhile."""
        if not self._answered:
            self.abort(reason, silent_ns)

    def response_time_ns(self) -> int:
        """From the call to the first of its answer."""
        return self._answered_ns - self.requested_ns

    # ---- reading

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer to read into. Called by asyncio."""
        return self._buffer

    def buffer_updated(self, size: int) -> None:
        """So many bytes have come. Called by asyncio."""
        owner = self.owner
        self._last_received_ns = owner.dispatcher.now_ns()
        if self._answered and owner.listener is not None:
            owner.listener.watch_alive()
        if not self._answered:
            self._answered = True
            self._answered_ns = self._last_received_ns
            owner.dispatcher.deadlines.cancel(self._deadline)
            self._check_silence(None)
        self._read(self._lines.feed, bytes(self._buffer[:size]))
        owner.table.record_contact()

    def _read(self, lines: Callable[..., list[bytes]], *data: bytes) -> None:
        try:
            for line in lines(*data):
                if self._lines.status != OK_STATUS:
                    raise http.HttpError(f"status {self._lines.status}")
                for message in self._parser.feed(line):
                    self.owner.on_message(self, message)
            if self._lines.done:
                if self._lines.status != OK_STATUS:  # rejected, with or without a Retry-After
                    self._failure = self._failure._replace(
                        reason=f"status {self._lines.status}",
                        retry_after_ns=self._lines.retry_after_s * NS_PER_S,
                    )
                self.transport.close()
        except (ValueError, KeyError, TypeError, AttributeError, ArithmeticError, RecursionError) as err:
            self._failure = self._failure._replace(reason=f"{type(err).__name__}: {err}")
            self.transport.abort()

    def eof_received(self) -> None:
        """Discovery has ended its side. Called by asyncio; a reset does not come here."""
        self._read(self._lines.feed_eof)  # an answer without a length ends so

    def connection_lost(self, err: Exception | None) -> None:
        """The connection has ended. Called by asyncio."""
        self.owner.dispatcher.deadlines.cancel(self._deadline)
        self.owner.on_lost(self.address, self._failure, self)
