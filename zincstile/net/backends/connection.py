"""One connection to a backend: writes requests, reads answers, and notifies its owner of both."""

from __future__ import annotations

import asyncio
from typing import Final, Protocol

from ...decisions.messages import AttemptResult
from .. import resp
from ..dispatcher import Dispatcher
from ..value_stream import ValueStream
from .attempt import Attempt, Backend

HEAD_BYTES: Final = 16  # enough of an answer to parse the length of its value


class ConnectorEvents(Protocol):
    """Is notified when a connection opens; implemented by `connecting.Connector`."""

    def on_connected(self, connection: BackendConnection) -> None:
        """Called when the connection is open."""
        ...


class PoolEvents(Protocol):
    """Keeps track of connections; implemented by `pool.ConnectionPool`."""

    def on_connection_lost(self, connection: BackendConnection) -> None:
        """Called when the connection has closed."""
        ...


class StreamEvents(Protocol):
    """Forwards large values while they arrive; implemented by `streaming.AnswerStreams`."""

    def begin(self, connection: BackendConnection, attempt: Attempt, size: int, data: bytes) -> None:
        """Starts to forward a value of `size` bytes; `data`: its first bytes."""
        ...

    def forward(self, connection: BackendConnection) -> bool:
        """Forwards a value that was buffered so far."""
        ...

    def push(self, connection: BackendConnection, data: bytes) -> None:
        """Called with more data of the answer."""
        ...

    def connection_lost(self, connection: BackendConnection) -> None:
        """Called when the connection closed while a value was forwarded."""
        ...


class ConnectionOwner(Protocol):
    """Handles the events of a connection; implemented by `attempts.Attempts`."""

    dispatcher: Dispatcher
    buffer: memoryview  # shared by all connections; each read is copied out at once
    connector: ConnectorEvents
    pool: PoolEvents
    streams: StreamEvents

    def on_request_written(self, attempt: Attempt) -> None:
        """Called when a request is completely written, if that took more than one write."""
        ...

    def on_answer_started(self, attempt: Attempt) -> None:
        """Called on the first part of an incomplete answer."""
        ...

    def on_reply(
        self, connection: BackendConnection, attempt: Attempt, reply: resp.Reply, *, no_trailing_data: bool
    ) -> None:
        """Called with a complete reply; `no_trailing_data`: nothing was received after it."""
        ...

    def on_malformed_answer(self, attempt: Attempt, reason: str) -> None:
        """Called when the received data is not a valid answer."""
        ...

    def finish(self, attempt: Attempt, result: AttemptResult) -> None:
        """Ends the attempt, which got no answer."""
        ...


class BackendConnection(asyncio.BufferedProtocol):
    """Carries one attempt at a time. Without an attempt it is idle in the pool or about to be closed."""

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
        "waits_for_memory",
        "is_buffering",
        "throttled",
        "ended_by_backend",
        "_parser",
        "_write_pending",
        "_answer_started",
        "_reused",
        "_streaming_decided",
    )

    def __init__(self, owner: ConnectionOwner, backend: Backend, attempt: Attempt | None) -> None:
        """Creates a connection that is not open yet; `attempt` waits for it."""
        self.owner = owner
        self.backend = backend
        self.attempt = attempt
        self.transport: asyncio.Transport | None = None
        self.idle_since_ns = 0
        self.reusable_from_ns = 0  # earliest time for another attempt
        self.last_received_ns = 0  # last data of an incomplete answer
        self.connect_timeout: asyncio.Timeout | None = None  # limits the time to open it
        self.stream: ValueStream | None = None  # the value that is being forwarded
        self.bytes_left = 0  # of the value, with its final CRLF
        self.last_two_bytes = b""  # received so far, to check the final CRLF
        self.trailer_parser: resp.ReplyParser | None = None  # parses what follows the value
        self.trailer: list[resp.Reply] = []  # parts received after the value
        self.waits_for_client = False  # reading is paused until the client has read what was received
        self.waits_for_memory = False  # reading is paused until the value can be buffered
        self.is_buffering = False  # the value is buffered until it is complete
        self.throttled = False  # reading is paused briefly, so that small pieces accumulate
        self.ended_by_backend = False  # by its end of stream or a reset
        self._parser = resp.ReplyParser(owner.dispatcher.limits)
        self._write_pending = False  # part of a request is still in the transport's buffer
        self._answer_started = False  # part of an answer was received
        self._reused = False  # has carried an earlier attempt
        self._streaming_decided = False  # whether to stream the answer is decided

    # ---- writing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the connection is open."""
        self.transport = transport  # type: ignore[assignment]
        # With a limit of 0, asyncio calls `resume_writing` exactly when a request is completely written.
        self.transport.set_write_buffer_limits(high=0)
        self.owner.connector.on_connected(self)

    def send(self, attempt: Attempt, request: bytes, *, reused: bool = False) -> None:
        """Writes the request of an attempt; `reused`: the connection has carried an earlier attempt."""
        self._reused = reused
        self.attempt = attempt
        attempt.connection = self
        attempt.write_started = True
        self._answer_started = self._streaming_decided = False
        self.transport.write(request)
        attempt.sent.may_have_run = not self._write_pending

    @property
    def request_written(self) -> bool:
        """Whether the request was completely written to the socket."""
        return not self._write_pending

    @property
    def has_no_unread_data(self) -> bool:
        """Whether nothing was received since the connection became idle, not even end-of-file.

        Late data after an answer must not be taken for the next answer, and a connection that the backend has
        closed must not be reused.
        """
        return not self.transport.is_closing() and not self.owner.dispatcher.readable(self.transport)

    def pause_writing(self) -> None:
        """Called by asyncio when part of a request could not be written yet."""
        self._write_pending = True

    def resume_writing(self) -> None:
        """Called by asyncio when the rest of a request was written."""
        self._write_pending = False
        if self.attempt is not None:
            self.attempt.sent.may_have_run = True
            self.owner.on_request_written(self.attempt)

    # ---- reading

    def get_buffer(self, sizehint: int) -> memoryview:
        """Called by asyncio for the buffer to read into; of a forwarded value, no more than its window."""
        if self.stream is None or self.is_buffering:
            return self.owner.buffer
        return self.owner.buffer[: self.stream.window_bytes(self.owner.dispatcher.limits)]

    def buffer_updated(self, size: int) -> None:
        """Called by asyncio when `size` bytes were read into the buffer."""
        attempt, parser, owner = self.attempt, self._parser, self.owner
        data = bytes(owner.buffer[:size])
        if self.stream is not None:
            owner.streams.push(self, data)
            return
        if not self._streaming_decided and attempt is not None and attempt.session is not None:
            unparsed = parser.incomplete_bytes()
            limits = owner.dispatcher.limits
            head = resp.parse_stream_head(unparsed[:HEAD_BYTES] + data[:HEAD_BYTES], limits.stream_bytes)
            self._streaming_decided = head is None
            if head is not None and head[0]:
                value_bytes, start = head
                self._parser = resp.ReplyParser(limits)
                owner.streams.begin(self, attempt, value_bytes, (unparsed + data)[start:])
                return
        replies = parser.feed(data)
        if attempt is None:
            owner.dispatcher.log.line_limited(
                "backend", f"{self.backend.address} sent data without a pending request"
            )
            self.transport.abort()
        elif replies:  # the first is the answer; any others are unsolicited
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

    # ---- streamed values

    def begin_stream(self, stream: ValueStream, size_bytes: int) -> None:
        """Starts a streamed value of `size_bytes`, its length line and final CRLF included."""
        self.stream = stream
        self.bytes_left = size_bytes
        self.last_two_bytes = b""
        self.trailer_parser = None
        self.trailer = []
        self.waits_for_client = self.waits_for_memory = self.is_buffering = self.throttled = False

    def end_stream(self) -> None:
        """Ends the streamed value, complete or not."""
        self.attempt = None
        self.stream = None
        self.waits_for_client = False

    def wait_for_memory(self) -> None:
        """Pauses reading until there is memory to buffer the value."""
        self.waits_for_memory = True
        self.transport.pause_reading()

    def end_wait_for_memory(self) -> None:
        """There is memory, or none is needed any more."""
        self.waits_for_memory = False
        self._resume()

    def wait_for_client(self) -> None:
        """Pauses reading until the client has read what was received."""
        if not self.waits_for_client:
            self.waits_for_client = True
            if not self.throttled:
                self.transport.pause_reading()

    def forward_value(self) -> None:
        """The buffered value is the only pending answer of its client: it is forwarded from now on."""
        self.owner.streams.forward(self)

    def on_taken(self) -> None:
        """Called when the client has read what was received of the value."""
        if self.waits_for_client:
            self.waits_for_client = False
            self.last_received_ns = self.owner.dispatcher.now_ns()  # nothing could be received meanwhile
            self._resume()

    def throttle(self, until_ns: int) -> None:
        """Pauses reading until `until_ns`, so that small pieces accumulate: each read costs a batch."""
        if not self.throttled:
            self.throttled = True
            self.transport.pause_reading()
            self.owner.dispatcher.deadlines.add(until_ns, self._end_throttle)

    def _end_throttle(self, _: object) -> None:
        if self.throttled:
            self.throttled = False
            self._resume()

    def _resume(self) -> None:
        paused = self.waits_for_client or self.waits_for_memory or self.throttled
        if not paused and not self.transport.is_closing():
            self.transport.resume_reading()

    def abandon(self) -> None:
        """Closes the connection: the client left before the value was complete."""
        if not self.transport.is_closing():
            self.transport.abort()

    # ---- closing

    def eof_received(self) -> None:
        """Called by asyncio at end-of-file; returning None closes the transport."""
        self.ended_by_backend = True
        return None

    def connection_lost(self, err: Exception | None) -> None:
        """Called by asyncio when the connection has closed; ends the attempt that it carries."""
        self.ended_by_backend = self.ended_by_backend or err is not None
        answer_began = self.stream is not None or not self._parser.idle
        if self.stream is not None:
            self.owner.streams.connection_lost(self)
        attempt = self.attempt
        self.attempt = None
        self.owner.pool.on_connection_lost(self)
        if attempt is not None:
            stale = self._reused and not answer_began
            failure = AttemptResult.STALE_CONNECTION if stale else AttemptResult.RESET
            self.owner.finish(attempt, failure if self.request_written else AttemptResult.CONNECT_FAILED)

    def drop(self) -> None:
        """Closes the connection without reporting an outcome for its attempt."""
        self.attempt = None
        self.transport.abort()
