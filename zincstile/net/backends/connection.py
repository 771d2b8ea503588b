"""One connection to a backend: it writes requests, reads answers, and notifies its owner of both."""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

from ...decisions.messages import AttemptResult
from .. import resp
from ..dispatcher import Dispatcher
from ..value_stream import ValueStream
from .attempt import Attempt, Backend

HEAD_BYTES: Final = 16  # of an answer: enough to tell how long its value is


class ConnectorEvents(Protocol):
    """Who waits for a connection to come up: `connecting.Connector`."""

    def on_connected(self, connection: BackendConnection) -> None:
        """The connection is up."""
        ...


class PoolEvents(Protocol):
    """Who counts connections: `pool.ConnectionPool`."""

    def on_connection_lost(self, connection: BackendConnection) -> None:
        """The connection has ended."""
        ...


class StreamEvents(Protocol):
    """Who passes large values on: `streaming.AnswerStreams`."""

    def begin(self, connection: BackendConnection, attempt: Attempt, size: int, data: bytes) -> None:
        """A value of `size` bytes has begun, of which `data` is here."""
        ...

    def push(self, connection: BackendConnection, data: bytes) -> None:
        """More of the answer has come."""
        ...

    def connection_lost(self, connection: BackendConnection) -> None:
        """The connection has ended before the answer."""
        ...


class ConnectionOwner(Protocol):
    """Who handles what a connection writes and reads: `attempts.Attempts`."""

    dispatcher: Dispatcher
    buffer: memoryview  # all connections read into it; each read is taken out of it at once
    connector: ConnectorEvents
    pool: PoolEvents
    streams: StreamEvents

    def on_request_written(self, attempt: Attempt) -> None:
        """The last byte of a request has left, later than the first."""
        ...

    def on_answer_started(self, attempt: Attempt) -> None:
        """The first part of an answer has come."""
        ...

    def on_reply(
        self, connection: BackendConnection, attempt: Attempt, reply: resp.Reply, *, no_trailing_data: bool
    ) -> None:
        """A complete reply has come; `no_trailing_data`: nothing was received after it."""
        ...

    def on_malformed_answer(self, attempt: Attempt, reason: str) -> None:
        """What has come is no answer."""
        ...

    def finish(self, attempt: Attempt, result: AttemptResult) -> None:
        """The attempt has ended without an answer."""
        ...


class BackendConnection(asyncio.BufferedProtocol):
    """Carries one attempt at a time. Without one it is idle in the pool, or about to be closed."""

    __slots__ = (
        "owner",
        "backend",
        "transport",
        "attempt",
        "idle_since_ns",
        "reusable_from_ns",
        "last_received_ns",
        "connect_timeout",
        "stream",
        "bytes_left",
        "last_two_bytes",
        "trailer_parser",
        "trailer",
        "waits_for_client",
        "throttled",
        "_parser",
        "_write_pending",
        "_answer_started",
        "_reused",
        "_streaming_decided",
    )

    def __init__(self, owner: ConnectionOwner, backend: Backend, attempt: Attempt | None) -> None:
        """A connection that is not up yet; `attempt`: the one that waits for it."""
        self.owner = owner
        self.backend = backend
        self.attempt = attempt
        self.transport: asyncio.Transport | None = None
        self.idle_since_ns = 0
        self.reusable_from_ns = 0  # it may carry another attempt from then on
        self.last_received_ns = 0  # when more of the incomplete answer came last
        self.connect_timeout: asyncio.Timeout | None = None  # how long it may take to come up
        self.stream: ValueStream | None = None  # the value that is passed on as it comes
        self.bytes_left = 0  # of it still to come, through the end of its line
        self.last_two_bytes = b""  # of it that came
        self.trailer_parser: resp.ReplyParser | None = None  # of what follows the value
        self.trailer: list[resp.Reply] = []  # the figures and the load report, as far as they came
        self.waits_for_client = False  # not read while the client has not taken what came
        self.throttled = False  # not read for a while, so that small pieces come together
        self._parser = resp.ReplyParser(owner.dispatcher.limits)
        self._write_pending = False  # part of a request has not left this process
        self._answer_started = False  # part of an answer has come
        self._reused = False  # it has carried another attempt before
        self._streaming_decided = False  # whether the answer is passed on as it comes

    # ---- writing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up. Called by asyncio."""
        self.transport = transport  # type: ignore[assignment]
        # With no room in the transport's buffer, `resume_writing` tells when all of a request has left.
        self.transport.set_write_buffer_limits(high=0)
        self.owner.connector.on_connected(self)

    def send(self, attempt: Attempt, request: bytes, *, reused: bool = False) -> None:
        """Writes the request of an attempt; `reused`: the connection has carried another before."""
        self._reused = reused
        self.attempt = attempt
        attempt.connection = self
        attempt.write_started = True
        self._answer_started = self._streaming_decided = False
        self.transport.write(request)
        attempt.may_have_run = not self._write_pending

    @property
    def request_written(self) -> bool:
        """Whether the last byte of the request has left this process."""
        return not self._write_pending

    @property
    def has_no_unread_data(self) -> bool:
        """Whether nothing came since the connection became idle, not even its end.

        What comes late behind an answer must not be taken for the next one's, and a connection that the
        backend has closed must not be used.
        """
        return not self.transport.is_closing() and not self.owner.dispatcher.readable(self.transport)

    def pause_writing(self) -> None:
        """Part of a request has to wait. Called by asyncio."""
        self._write_pending = True

    def resume_writing(self) -> None:
        """The last byte of a request has left. Called by asyncio."""
        self._write_pending = False
        if self.attempt is not None:
            self.attempt.may_have_run = True
            self.owner.on_request_written(self.attempt)

    # ---- reading

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer to read into. Called by asyncio."""
        return self.owner.buffer

    def buffer_updated(self, size: int) -> None:
        """So many bytes have come. Called by asyncio."""
        attempt, parser, owner = self.attempt, self._parser, self.owner
        data = bytes(owner.buffer[:size])
        if self.stream is not None:
            owner.streams.push(self, data)
            return
        if not self._streaming_decided and attempt is not None and attempt.session is not None:
            kept = parser.incomplete_bytes()
            limits = owner.dispatcher.limits
            head = resp.parse_stream_head(kept[:HEAD_BYTES] + data[:HEAD_BYTES], limits.stream_bytes)
            self._streaming_decided = head is None
            if head is not None and head[0]:
                value_bytes, start = head
                self._parser = resp.ReplyParser(limits)
                owner.streams.begin(self, attempt, value_bytes, (kept + data)[start:])
                return
        replies = parser.feed(data)
        if attempt is None:
            owner.dispatcher.log.line_limited("backend", f"{self.backend.address} sent what nobody asked for")
            self.transport.abort()
        elif replies:  # the first is the answer, whatever came behind it
            self.attempt = None
            no_trailing_data = len(replies) == 1 and parser.idle and not parser.error
            owner.on_reply(self, attempt, replies[0], no_trailing_data=no_trailing_data)
        elif parser.error:
            owner.on_malformed_answer(attempt, parser.error)
        else:
            self.last_received_ns = owner.dispatcher.now_ns()
            if not self._answer_started:
                self._answer_started = True
                owner.on_answer_started(attempt)

    # ---- a value that is passed on as it comes

    def begin_stream(self, stream: ValueStream, size_bytes: int) -> None:
        """A value has begun that takes so many bytes, its head and the end of its line included."""
        self.stream = stream
        self.bytes_left = size_bytes
        self.last_two_bytes = b""
        self.trailer_parser = None
        self.trailer = []
        self.waits_for_client = self.throttled = False

    def end_stream(self) -> None:
        """The value and what follows it are read, or never come."""
        self.attempt = None
        self.stream = None
        self.waits_for_client = False

    def wait_for_client(self) -> None:
        """Reads no more until the client has taken what came."""
        if not self.waits_for_client:
            self.waits_for_client = True
            if not self.throttled:
                self.transport.pause_reading()

    def on_taken(self) -> None:
        """The client took what came of the value."""
        if self.waits_for_client:
            self.waits_for_client = False
            self._resume()

    def throttle(self, until_ns: int) -> None:
        """Reads no more until then, so that small pieces gather in the socket: each read costs a batch."""
        if not self.throttled:
            self.throttled = True
            self.transport.pause_reading()
            self.owner.dispatcher.deadlines.add(until_ns, self._end_throttle)

    def _end_throttle(self, _: object) -> None:
        if self.throttled:
            self.throttled = False
            self._resume()

    def _resume(self) -> None:
        if not self.waits_for_client and not self.throttled and not self.transport.is_closing():
            self.transport.resume_reading()

    def abandon(self) -> None:
        """The client left before the value was complete."""
        if not self.transport.is_closing():
            self.transport.abort()

    # ---- the end

    def eof_received(self) -> None:
        """The backend has ended its side: the transport closes. Called by asyncio."""
        return None

    def connection_lost(self, err: Exception | None) -> None:
        """The connection has ended; so does the attempt that it carries. Called by asyncio."""
        if self.stream is not None:
            self.owner.streams.connection_lost(self)
        attempt = self.attempt
        self.attempt = None
        self.owner.pool.on_connection_lost(self)
        if attempt is not None:
            stale = self._reused and self._parser.idle
            broken = AttemptResult.STALE_CONNECTION if stale else AttemptResult.RESET
            self.owner.finish(attempt, broken if self.request_written else AttemptResult.CONNECT_FAILED)

    def drop(self) -> None:
        """Closes the connection without an outcome of the attempt that it carries."""
        self.attempt = None
        self.transport.abort()
