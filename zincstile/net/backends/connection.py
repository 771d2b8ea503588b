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

    def connected(self, connection: BackendConnection) -> None:
        """The connection is up."""
        ...


class PoolEvents(Protocol):
    """Who counts connections: `pool.ConnectionPool`."""

    def lost(self, connection: BackendConnection) -> None:
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

    def written(self, attempt: Attempt) -> None:
        """The last byte of a request has left, later than the first."""
        ...

    def answer_begun(self, attempt: Attempt) -> None:
        """The first part of an answer has come."""
        ...

    def answered(
        self, connection: BackendConnection, attempt: Attempt, reply: resp.Reply, *, alone: bool
    ) -> None:
        """A complete reply has come; `alone`: nothing came behind it."""
        ...

    def malformed(self, attempt: Attempt, why: str) -> None:
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
        "held",
        "paced",
        "_parser",
        "_unwritten",
        "_answer_begun",
        "_reused",
        "_form_known",
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
        self.held = False  # not read while the client has not taken what came
        self.paced = False  # not read for a while, so that small pieces come together
        self._parser = resp.ReplyParser(owner.dispatcher.limits)
        self._unwritten = False  # part of a request has not left this process
        self._answer_begun = False  # part of an answer has come
        self._reused = False  # it has carried another attempt before
        self._form_known = False  # whether the answer is passed on as it comes

    # ---- writing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up. Called by asyncio."""
        self.transport = transport  # type: ignore[assignment]
        # With no room in the transport's buffer, `resume_writing` tells when all of a request has left.
        self.transport.set_write_buffer_limits(high=0)
        self.owner.connector.connected(self)

    def carry(self, attempt: Attempt, request: bytes, *, reused: bool = False) -> None:
        """Writes the request of an attempt; `reused`: the connection has carried another before."""
        self._reused = reused
        self.attempt = attempt
        attempt.connection = self
        attempt.begun = True
        self._answer_begun = self._form_known = False
        self.transport.write(request)
        attempt.may_have_run = not self._unwritten

    @property
    def request_written(self) -> bool:
        """Whether the last byte of the request has left this process."""
        return not self._unwritten

    @property
    def nothing_received(self) -> bool:
        """Whether nothing came since the connection became idle, not even its end.

        What comes late behind an answer must not be taken for the next one's, and a connection that the
        backend has closed must not be used.
        """
        return not self.transport.is_closing() and not self.owner.dispatcher.readable(self.transport)

    def pause_writing(self) -> None:
        """Part of a request has to wait. Called by asyncio."""
        self._unwritten = True

    def resume_writing(self) -> None:
        """The last byte of a request has left. Called by asyncio."""
        self._unwritten = False
        if self.attempt is not None:
            self.attempt.may_have_run = True
            self.owner.written(self.attempt)

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
        if not self._form_known and attempt is not None and attempt.session is not None:
            kept = parser.incomplete()
            limits = owner.dispatcher.limits
            head = resp.stream_head(kept[:HEAD_BYTES] + data[:HEAD_BYTES], limits.stream_bytes)
            self._form_known = head is None
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
            alone = len(replies) == 1 and parser.idle and not parser.error
            owner.answered(self, attempt, replies[0], alone=alone)
        elif parser.error:
            owner.malformed(attempt, parser.error)
        else:
            self.last_received_ns = owner.dispatcher.now_ns()
            if not self._answer_begun:
                self._answer_begun = True
                owner.answer_begun(attempt)

    # ---- a value that is passed on as it comes

    def begin_stream(self, stream: ValueStream, size_bytes: int) -> None:
        """A value has begun that takes so many bytes, its head and the end of its line included."""
        self.stream = stream
        self.bytes_left = size_bytes
        self.last_two_bytes = b""
        self.trailer_parser = None
        self.trailer = []
        self.held = self.paced = False

    def end_stream(self) -> None:
        """The value and what follows it are read, or never come."""
        self.attempt = None
        self.stream = None
        self.held = False

    def hold(self) -> None:
        """Reads no more until the client has taken what came."""
        if not self.held:
            self.held = True
            if not self.paced:
                self.transport.pause_reading()

    def on_taken(self) -> None:
        """The client took what came of the value."""
        if self.held:
            self.held = False
            self._resume()

    def pace(self, until_ns: int) -> None:
        """Reads no more until then, so that small pieces gather in the socket: each read costs a batch."""
        if not self.paced:
            self.paced = True
            self.transport.pause_reading()
            self.owner.dispatcher.deadlines.add(until_ns, self._end_pace)

    def _end_pace(self, _: object) -> None:
        if self.paced:
            self.paced = False
            self._resume()

    def _resume(self) -> None:
        if not self.held and not self.paced and not self.transport.is_closing():
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
        self.owner.pool.lost(self)
        if attempt is not None:
            stale = self._reused and self._parser.idle
            broken = AttemptResult.STALE_CONNECTION if stale else AttemptResult.RESET
            self.owner.finish(attempt, broken if self.request_written else AttemptResult.CONNECT_FAILED)

    def drop(self) -> None:
        """Closes the connection without an outcome of the attempt that it carries."""
        self.attempt = None
        self.transport.abort()
