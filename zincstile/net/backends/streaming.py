"""Forwards large values to the client while they arrive from a backend."""

from __future__ import annotations

from typing import Final, Protocol

from ...decisions.messages import AttemptResult
from .. import resp
from ..dispatcher import Dispatcher
from ..session import Answer, AnswerKind, Session
from ..value_memory import ForwardingWindow, ValueMemory
from ..value_stream import ValueStream
from .attempt import Attempt
from .connection import BackendConnection
from .pool import ConnectionPool

TRAILER_PARTS: Final = 2  # parts of an answer after its value: figures and the load report


class AttemptReporter(Protocol):
    """Tracks the attempts in flight and reports their outcomes; implemented by `attempts.Attempts`."""

    in_flight: dict[tuple[int, int], Attempt]

    def report(
        self,
        session: Session | None,
        number: int,
        backend_id: int,
        result: AttemptResult,
        latency_ns: int,
        load_report: bytes = b"",
    ) -> None:
        """Reports the only outcome of an attempt to the policy."""
        ...

    def set_deadline(self, attempt: Attempt, at_ns: int) -> None:
        """Sets the deadline of an attempt, replacing the previous one."""
        ...

    def on_malformed_answer(self, attempt: Attempt, reason: str) -> None:
        """Ends an attempt whose answer is malformed."""
        ...

    def finish(
        self,
        attempt: Attempt,
        result: AttemptResult,
        value: bytes = b"",
        load_report: bytes = b"",
        *,
        stream: ValueStream | None = None,
    ) -> None:
        """Ends an attempt; with `OK` the client is answered with `value` or the complete `stream`."""
        ...


class AnswerStreams:
    """Forwards values, and buffers those behind which other answers of their client's connection wait.

    A value that is forwarded answers its request from its first byte on: no other attempt can answer it, and
    it is not retried. If it is cut off, its client's connection has to be closed. So it is forwarded only
    while it is the only pending answer, and the client connection reads no command until it is complete.
    Other values are buffered. Their attempts remain in flight, with the usual outcomes, until the value is
    complete.
    """

    def __init__(self, dispatcher: Dispatcher, pool: ConnectionPool, reporter: AttemptReporter) -> None:
        """`reporter` gets the outcome of each attempt whose value was forwarded."""
        self.dispatcher = dispatcher
        self.pool = pool
        self.reporter = reporter
        self.memory = ValueMemory()
        self.window = ForwardingWindow()
        self._waiting: dict[BackendConnection, None] = {}  # for memory to buffer their value, longest first

    def begin(self, connection: BackendConnection, attempt: Attempt, size: int, data: bytes) -> None:
        """Starts to answer the client with a value of `size` bytes; `data`: its first bytes."""
        session = attempt.session
        connection.begin_stream(ValueStream(connection), len(b"$%d\r\n" % size) + size + len(resp.CRLF))
        if not session.ended and not session.client.is_only(session):
            self._buffer(connection, attempt)
        elif not self.forward(connection):
            return
        self.push(connection, data)

    def forward(self, connection: BackendConnection) -> bool:
        """Answers the client with the value as it arrives; returns False if the request has ended."""
        attempt, stream = connection.attempt, connection.stream
        if attempt is None:  # the attempt has just ended
            return False
        session = attempt.session
        self._end_buffering(connection)
        self.reporter.in_flight.pop((session.id, attempt.number), None)
        self.dispatcher.deadlines.cancel(attempt.deadline)
        attempt.deadline = None
        if not self.dispatcher.finish(session, Answer(AnswerKind.SERVED, stream=stream)):
            connection.abandon()  # the client left or was already answered
            return False
        stream.forward_within(self.window)
        self.dispatcher.counters.streamed += 1
        now_ns = self.dispatcher.now_ns()
        connection.last_received_ns = now_ns
        stalled_ns = now_ns + self.dispatcher.limits.stream_stall_ns
        attempt.deadline = self.dispatcher.deadlines.add(stalled_ns, self._check_stalled, attempt)
        self.dispatcher.wake()
        return True

    def push(self, connection: BackendConnection, data: bytes) -> None:
        """Adds the next bytes of a value, and parses what follows the value."""
        limits = self.dispatcher.limits
        connection.last_received_ns = self.dispatcher.now_ns()
        if connection.bytes_left:
            stream = connection.stream
            piece = data[: connection.bytes_left]
            data = data[len(piece) :]
            connection.bytes_left -= len(piece)
            connection.last_two_bytes = (connection.last_two_bytes + piece[-2:])[-2:]
            stream.push(piece)
            if connection.is_buffering and connection.attempt.session.ended:
                stream.discard()  # another attempt was faster, or the client left
            if connection.bytes_left == 0:
                if connection.last_two_bytes != resp.CRLF:  # the stated length was wrong
                    self._on_wrong_length(connection)
                    return
                stream.end(truncated=False)
                connection.trailer_parser = resp.ReplyParser(limits)
            elif not connection.is_buffering and stream.pending_bytes > stream.window_bytes(limits):
                self._report_outcome(
                    connection.attempt, AttemptResult.OK
                )  # the client is slow, not the backend
                connection.wait_for_client()
            elif len(piece) < limits.stream_small_piece_bytes:
                connection.throttle(connection.last_received_ns + limits.stream_read_interval_ns)
        if connection.bytes_left == 0 and data:
            self._read_trailer(connection, data)

    def _on_wrong_length(self, connection: BackendConnection) -> None:
        if connection.is_buffering:
            self.reporter.on_malformed_answer(connection.attempt, "no CRLF at the stated length of the value")
            return
        address = connection.backend.address
        self.dispatcher.log.line_limited(
            "cut", f"a value from {address} does not end with CRLF at its stated length"
        )
        connection.abandon()

    def _read_trailer(self, connection: BackendConnection, data: bytes) -> None:
        parser, parts = connection.trailer_parser, connection.trailer
        parts += parser.feed(data)
        if len(parts) < TRAILER_PARTS and not parser.error:
            return
        clean = len(parts) == TRAILER_PARTS and parser.idle and not parser.error
        load_report = parts[1] if clean and type(parts[1]) is bytes else b""
        if not connection.is_buffering:
            self._finish(connection, AttemptResult.OK, load_report)
        elif clean:
            self._finish_buffered(connection, load_report)
        else:
            self.reporter.on_malformed_answer(connection.attempt, "unexpected data after the value")
            return
        if clean and connection.request_written:
            self.pool.add_idle(connection)
        else:
            connection.transport.abort()

    # ---- buffered values

    def _buffer(self, connection: BackendConnection, attempt: Attempt) -> None:
        """Buffers the value until it is complete, or until no other answer of its client is pending."""
        connection.is_buffering = True
        self.dispatcher.counters.buffered += 1
        self.reporter.set_deadline(attempt, attempt.until_ns)  # a large value may pause until then
        self.dispatcher.wake()
        attempt.session.arriving = connection
        if not self._reserve(connection):
            self.dispatcher.counters.buffer_waits += 1
            self.dispatcher.log.line_limited(
                "full", f"{self.memory.reserved_bytes} bytes of large values are buffered: others wait"
            )
            connection.wait_for_memory()
            self._waiting[connection] = None
            if len(self._waiting) == 1:
                self._schedule_reservations()

    def _reserve(self, connection: BackendConnection) -> bool:
        """Reserves memory for the value; returns False if there is not enough."""
        session = connection.attempt.session
        stream = connection.stream
        stream.reservation = self.memory.reserve(
            stream.pending_bytes + connection.bytes_left,
            self.dispatcher.limits.buffered_value_bytes,
            is_head=session.client.is_next(session),
        )
        return stream.reservation is not None

    def _schedule_reservations(self) -> None:
        at_ns = self.dispatcher.now_ns() + self.dispatcher.limits.stream_read_interval_ns
        self.dispatcher.deadlines.add(at_ns, self._reserve_for_waiting)

    def _reserve_for_waiting(self, _: object) -> None:
        """Lets the values go on for which there is memory now."""
        for connection in list(self._waiting):
            attempt = connection.attempt
            if attempt is None or attempt.session.ended or self._reserve(connection):
                del self._waiting[connection]
                connection.end_wait_for_memory()
        if self._waiting:
            self._schedule_reservations()

    def _finish_buffered(self, connection: BackendConnection, load_report: bytes) -> None:
        attempt, stream = connection.attempt, connection.stream
        self._end_buffering(connection)
        connection.end_stream()
        attempt.connection = None
        self.reporter.finish(attempt, AttemptResult.OK, load_report=load_report, stream=stream)

    def _end_buffering(self, connection: BackendConnection) -> None:
        """The value is forwarded from now on, is complete, or has ended early."""
        connection.is_buffering = False
        if self._waiting.pop(connection, 0) is None:
            connection.end_wait_for_memory()
        if connection.stream.reservation is not None:
            connection.stream.release_taken()
        session = connection.attempt.session if connection.attempt is not None else None
        if session is not None and session.arriving is connection:
            session.arriving = None

    # ---- early ends

    def _check_stalled(self, attempt: Attempt) -> None:
        """Cuts off a value that has stalled; the client can tell that it is incomplete.

        This happens only after the client's deadline, and if nothing was received for `stream_stall_ns`. A
        value that still makes progress is never cut off.
        """
        attempt.deadline = None
        connection = attempt.connection
        if connection is None or connection.stream is None:
            return
        now_ns, limits = self.dispatcher.now_ns(), self.dispatcher.limits
        stalled_ns = max(connection.last_received_ns + limits.stream_stall_ns, attempt.session.deadline_ns)
        if stalled_ns > now_ns or connection.waits_for_client:
            next_check_ns = stalled_ns if stalled_ns > now_ns else now_ns + limits.stream_stall_ns
            attempt.deadline = self.dispatcher.deadlines.add(next_check_ns, self._check_stalled, attempt)
            return
        address = connection.backend.address
        self.dispatcher.log.line_limited("cut", f"a value from {address} stalled")
        connection.transport.abort()

    def connection_lost(self, connection: BackendConnection) -> None:
        """Called when the connection has closed; truncates the value if it is incomplete."""
        stream = connection.stream
        if connection.is_buffering:  # its attempt ends as one without an answer
            self._end_buffering(connection)
            stream.discard()
            connection.stream = None
            return
        complete = stream.complete
        if not complete:
            self.dispatcher.counters.streams_truncated += 1
            address, missing = connection.backend.address, connection.bytes_left
            self.dispatcher.log.line_limited(
                "cut", f"a value from {address} is {missing} bytes short: its connection closed"
            )
            stream.end(truncated=True)
        self._finish(connection, AttemptResult.OK if complete else AttemptResult.RESET)

    def _finish(self, connection: BackendConnection, result: AttemptResult, load_report: bytes = b"") -> None:
        attempt = connection.attempt
        connection.end_stream()
        if attempt is None:
            return
        attempt.connection = None
        self.dispatcher.deadlines.cancel(attempt.deadline)
        attempt.deadline = None
        self._report_outcome(attempt, result, load_report)

    def _report_outcome(
        self, attempt: Attempt | None, result: AttemptResult, load_report: bytes = b""
    ) -> None:
        """Reports the only outcome of an attempt whose value was forwarded.

        A client that reads slowly says nothing about the backend: its time must not count as latency, nor as
        an attempt in flight there.
        """
        if attempt is None or attempt.outcome_reported:
            return
        attempt.outcome_reported = True
        latency_ns = self.dispatcher.now_ns() - attempt.sent_ns
        self.reporter.report(
            attempt.session, attempt.number, attempt.backend.id, result, latency_ns, load_report
        )
