"""Large values that are passed on to the client as they arrive from a backend."""

from __future__ import annotations

from typing import Final, Protocol

from ...decisions.messages import AttemptResult
from .. import resp
from ..dispatcher import Dispatcher
from ..session import Answer, AnswerKind, Session
from ..value_stream import ValueStream
from .attempt import Attempt
from .connection import BackendConnection
from .pool import ConnectionPool

TRAILER_PARTS: Final = 2  # what follows the value in an answer: its figures and the load report


class AttemptReporter(Protocol):
    """Who knows the attempts in flight and reports their outcomes: `attempts.Attempts`."""

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
        """Reports the one outcome of an attempt to the decisions."""
        ...


class AnswerStreams:
    """Passes values on. The outcome of an attempt is reported once its value is complete or cut."""

    def __init__(self, dispatcher: Dispatcher, pool: ConnectionPool, reporter: AttemptReporter) -> None:
        """`reporter` gets the outcome of each attempt whose value was passed on."""
        self.dispatcher = dispatcher
        self.pool = pool
        self.reporter = reporter

    def begin(self, connection: BackendConnection, attempt: Attempt, size: int, data: bytes) -> None:
        """Answers the client with a value of `size` bytes, of which `data` is here.

        The answer is served from its first byte on: no other attempt can answer it, and none is made again.
        """
        session = attempt.session
        now_ns, limits = self.dispatcher.now_ns(), self.dispatcher.limits
        self.reporter.in_flight.pop((session.id, attempt.number), None)
        self.dispatcher.deadlines.cancel(attempt.deadline)
        attempt.deadline = None
        stream = ValueStream(connection)
        connection.begin_stream(stream, len(b"$%d\r\n" % size) + size + len(resp.CRLF))
        if not self.dispatcher.finish(session, Answer(AnswerKind.SERVED, stream=stream)):
            connection.abandon()  # the client left or was answered meanwhile
            return
        self.dispatcher.counters.streamed += 1
        connection.last_received_ns = now_ns
        stalled_ns = now_ns + limits.stream_stall_ns
        attempt.deadline = self.dispatcher.deadlines.add(stalled_ns, self._check_stalled, attempt)
        self.dispatcher.wake()
        self.push(connection, data)

    def push(self, connection: BackendConnection, data: bytes) -> None:
        """Passes on what has come of a value, or reads what follows the value."""
        limits = self.dispatcher.limits
        connection.last_received_ns = self.dispatcher.now_ns()
        if connection.bytes_left:
            stream = connection.stream
            piece = data[: connection.bytes_left]
            data = data[len(piece) :]
            connection.bytes_left -= len(piece)
            connection.last_two_bytes = (connection.last_two_bytes + piece[-2:])[-2:]
            stream.push(piece)
            if connection.bytes_left == 0:
                if connection.last_two_bytes != resp.CRLF:  # the value's length was not its length
                    address = connection.backend.address
                    self.dispatcher.log.line_limited("cut", f"a value of {address} without its end")
                    connection.abandon()
                    return
                stream.end(truncated=False)
                connection.trailer_parser = resp.ReplyParser(limits)
            elif stream.pending_bytes > limits.unread_answer_bytes:
                connection.wait_for_client()
            elif len(piece) < limits.stream_small_piece_bytes:
                connection.throttle(connection.last_received_ns + limits.stream_read_interval_ns)
        if connection.bytes_left == 0 and data:
            self._read_trailer(connection, data)

    def _read_trailer(self, connection: BackendConnection, data: bytes) -> None:
        parser, parts = connection.trailer_parser, connection.trailer
        parts += parser.feed(data)
        if len(parts) < TRAILER_PARTS and not parser.error:
            return
        clean = len(parts) == TRAILER_PARTS and parser.idle and not parser.error
        load_report = parts[1] if clean and type(parts[1]) is bytes else b""
        self._finish(connection, AttemptResult.OK, load_report)
        if clean and connection.request_written:
            self.pool.add_idle(connection)
        else:
            connection.transport.abort()

    def _check_stalled(self, attempt: Attempt) -> None:
        """Cuts a value that stopped in the middle, as the client can tell.

        Only once the client's time is over and nothing came for long: what still comes is never cut.
        """
        attempt.deadline = None
        connection = attempt.connection
        if connection is None or connection.stream is None:
            return
        now_ns, limits = self.dispatcher.now_ns(), self.dispatcher.limits
        stalled_ns = max(connection.last_received_ns + limits.stream_stall_ns, attempt.session.deadline_ns)
        if stalled_ns > now_ns or connection.waits_for_client:
            again_ns = max(stalled_ns, now_ns + 1)
            attempt.deadline = self.dispatcher.deadlines.add(again_ns, self._check_stalled, attempt)
            return
        address = connection.backend.address
        self.dispatcher.log.line_limited("cut", f"a value of {address} that does not go on")
        connection.transport.abort()

    def connection_lost(self, connection: BackendConnection) -> None:
        """The connection has ended; its value is cut where it is not complete."""
        stream = connection.stream
        complete = stream.complete
        if not complete:
            self.dispatcher.counters.streams_truncated += 1
            address, missing = connection.backend.address, connection.bytes_left
            self.dispatcher.log.line_limited("cut", f"a value of {address}: {missing} bytes short")
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
        latency_ns = self.dispatcher.now_ns() - attempt.sent_ns
        self.reporter.report(
            attempt.session, attempt.number, attempt.backend.id, result, latency_ns, load_report
        )
