"""One client connection: reads commands and writes the answers in the same order."""

from __future__ import annotations

import asyncio

from .. import resp
from ..reasons import CloseReason, GatewayRejection
from ..session import Answer, AnswerKind, Session
from ..trace import Step
from ..value_stream import ValueStream
from .answer_queue import FAILED_ANSWER, AnswerQueue
from .call_reader import CallError
from .closer import ConnectionCloser
from .connection_types import ConnectionState, Listener
from .delivery import DeliveryMonitor
from .reading import ReadingControl

SERVED, REJECTED = AnswerKind.SERVED, AnswerKind.REJECTED


class ClientConnection(asyncio.BufferedProtocol):
    """The protocol of one client connection; pauses reading while too many commands are unanswered."""

    __slots__ = (
        "listener",
        "dispatcher",
        "counters",
        "transport",
        "idle_since_ns",
        "command_count",
        "reading",
        "from_inherited_queue",
        "_parser",
        "_answers",
        "_closer",
        "_delivery",
        "_flush_scheduled",
        "_write_buffer_bytes",
        "_writing_paused",
        "_command_began_ns",
        "_last_read_ns",
    )

    def __init__(self, listener: Listener) -> None:
        """`listener` accepted the connection."""
        self.listener = listener
        self.dispatcher = listener.dispatcher
        self.counters = listener.counters
        self.transport: asyncio.Transport | None = None
        self.idle_since_ns = 0
        self.command_count = 0  # complete, valid commands received
        self.reading = ReadingControl(listener.dispatcher, listener.host)
        # Accepted from a queue that no process served for a time. For the first input the system reports only
        # when its last bytes were received, so commands before the last are rejected for their unknown age.
        self.from_inherited_queue = False
        self._parser = resp.CommandParser(self.dispatcher.limits)
        self._answers = AnswerQueue()
        self._closer: ConnectionCloser | None = None  # set by `connection_made`, as the next
        self._delivery: DeliveryMonitor | None = None
        self._flush_scheduled = False
        self._write_buffer_bytes = 0  # the high-water mark of the transport
        self._writing_paused = False  # the client does not read its answers
        self._command_began_ns = 0  # when the incomplete command began; 0: there is none
        self._last_read_ns = 0

    # ---- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop with the connected transport."""
        dispatcher = self.dispatcher
        self.transport = transport  # type: ignore[assignment]
        self._write_buffer_bytes = dispatcher.limits.unread_answer_bytes
        self.transport.set_write_buffer_limits(high=self._write_buffer_bytes)
        self._delivery = DeliveryMonitor(dispatcher, self.transport)
        self._closer = ConnectionCloser(
            dispatcher, self.transport, self._answers, self._delivery, f"connection {id(self)}"
        )
        self.idle_since_ns = dispatcher.now_ns()
        self.counters.clients += 1
        self.listener.on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next input."""
        return self.listener.read_buffer

    def buffer_updated(self, size: int) -> None:
        """Called by the event loop after `size` bytes were read."""
        if self._closer.reading_ended:
            self._closer.discard(size)
            return
        read_buffer, input_age = self.listener.read_buffer, self.reading.input_age
        if not input_age.may_have_waited:
            self._process_input(bytes(read_buffer[:size]))
            return
        input_age.measure(self.transport, more_is_unread=size == len(read_buffer))
        self.from_inherited_queue &= input_age.last_ns > self.dispatcher.limits.process_stall_ns
        self._process_input(bytes(read_buffer[:size]))
        input_age.clear()

    def pause_writing(self) -> None:
        """The client does not read its answers: pauses reading commands, which bounds the memory."""
        self._writing_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """The client has read its answers: resumes reading and pending writes."""
        self._writing_paused = False
        self._update_reading()
        if self._closer.draining or self._answers.head_stream is not None:
            self._schedule_flush()

    def eof_received(self) -> None:
        """The client has disconnected; None lets the transport close itself."""
        return None

    def connection_lost(self, err: Exception | None) -> None:
        """The connection is closed: abandons its unanswered requests."""
        self._closer.reading_ended = True
        reason = self._closer.reason or CloseReason.CLOSED_BY_CLIENT
        self.counters.count_close(reason)
        self.dispatcher.trace.record(self.dispatcher.now_ns(), Step.CLOSED, id(self), reason)
        self.listener.on_disconnected(self)
        for session in self._answers.take_sessions():
            if type(session.reply) is ValueStream:
                session.reply.abandon()
            self.listener.on_request_ended(session)
            self.dispatcher.abandon(session)

    # ---- commands

    def _process_input(self, data: bytes) -> None:
        commands = self._parser.feed(data)
        last_index = len(commands) - 1
        for index, arguments in enumerate(commands):
            self._on_command(arguments, is_last=index == last_index)
        self.from_inherited_queue = False
        self._last_read_ns = self.dispatcher.now_ns()
        if self._parser.idle:
            self._command_began_ns = 0
        else:
            self._command_began_ns = self._command_began_ns or self._last_read_ns
        if self._parser.error:  # the rest of the input can't be parsed
            self.counters.malformed += 1
            self.dispatcher.log.line_limited("malformed", f"command: {self._parser.error}")
            self._close_with_error("Protocol error: " + self._parser.error, CloseReason.MALFORMED)
        self._update_reading()

    def _on_command(self, arguments: list[bytes], *, is_last: bool) -> None:
        """Handles one command. is_last: none follows it in the input that is being processed."""
        if not arguments:
            return
        if len(arguments) == 1 and arguments[0].upper() == b"PING":
            self.counters.pings += 1
            self.command_count += 1
            self._reply(self.listener.ping_answer())
            return
        dispatcher, listener = self.dispatcher, self.listener
        request_id, now = dispatcher.next_request_id(), dispatcher.now_ns()
        try:
            input_age = self.reading.input_age
            age_ns = input_age.last_ns if is_last else input_age.first_ns
            call, request = listener.reader.read(arguments, request_id, now - age_ns)
            problem = listener.request_ids.problem(call.id, idempotent=call.idempotent)
            if problem:
                raise CallError(problem)
        except CallError as err:
            self.counters.malformed += 1
            self._reply(resp.encode_error(str(err)))
            return
        self.command_count += 1
        is_age_unknown = self.from_inherited_queue and not is_last
        reason = GatewayRejection.UNKNOWN_AGE if is_age_unknown else listener.rejection_reason()
        if reason is not None:
            self.counters.rejected += 1
            self.counters.count_rejection(reason)
            self._reply(resp.encode_busy(0))
            return
        listener.last_request_ns = now
        request_class = listener.reader.request_classes[request.class_index]
        session = Session(request_id, call, self, request.deadline_ns, request_class)
        self._answers.pending.append(session)
        listener.request_ids.add(session)
        dispatcher.submit(session, request)

    def _close_with_error(self, problem: str, reason: CloseReason) -> None:
        """Sends a last error and discards further input, so that no reset drops the error."""
        self._closer.reading_ended = True
        self._closer.set_reason(reason)
        self._reply(resp.encode_error(problem))
        if self._answers.pending:  # earlier requests are answered first; reading pauses until then
            self.reading.pause(self.transport)

    def _update_reading(self) -> None:
        """Pauses or resumes reading, depending on unanswered commands and unread answers."""
        answers = self._answers
        pause = (
            self._writing_paused
            or len(answers.pending) > self.dispatcher.limits.max_pipelined
            or answers.may_be_cut_off
        )
        if not self._closer.reading_ended and not self.transport.is_closing():
            self.reading.update(self.transport, pause=pause, value_may_be_cut_off=answers.may_be_cut_off)

    # ---- answers

    def _reply(self, data: bytes) -> None:
        """Queues an answer that needs no session."""
        self._answers.add(data)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self.dispatcher.schedule_flush(self)

    def answer(self, session: Session, answer: Answer) -> None:
        """Accepts the final answer of one of its sessions."""
        self.listener.on_request_ended(session)
        if answer.stream is not None:
            session.reply = answer.stream
            answer.stream.sink = self
            self._update_reading()
        elif answer.kind is SERVED:
            session.reply = resp.encode_bulk_string(answer.value)
        elif answer.kind is REJECTED:
            session.reply = resp.encode_busy(answer.retry_after_ms)
        else:
            session.reply = FAILED_ANSWER
        self._schedule_flush()

    def on_stream_progress(self) -> None:
        """A streamed value has more bytes, or has ended."""
        self._schedule_flush()

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected, even if its FIN follows unread input; if so, aborts."""
        if not self.transport.is_closing() and self.dispatcher.closed_by_peer(self.transport):
            self._closer.abort(CloseReason.CLOSED_BY_CLIENT)
        return self.transport.is_closing()

    def flush(self) -> None:
        """Writes all available output at once.

        If a streamed value is truncated, the connection is aborted so that the client notices it.
        """
        self._flush_scheduled = False
        answers = self._answers
        self._write_ready()
        if answers.truncated:
            self._closer.reading_ended = True
            self._closer.abort(CloseReason.TRUNCATED)
            return
        if not answers.pending:
            self.idle_since_ns = self.dispatcher.now_ns()
            closer, listener = self._closer, self.listener
            closing = closer.reading_ended or listener.closing or listener.standby or closer.draining
            if closing and not self._has_unread_commands():
                self._close_when_written(CloseReason.SHUTDOWN if listener.closing else CloseReason.STANDBY)
                return
        only_session = answers.only_session
        if only_session is not None and only_session.arriving is not None:
            only_session.arriving.forward_value()
        if self.reading.paused:
            self._update_reading()
            self.reading.check_socket(self.transport)

    def _has_unread_commands(self) -> bool:
        """Whether commands came while a value was forwarded, and are not read yet."""
        if self._closer.reading_ended or self.transport.is_closing():
            return False
        return self.reading.paused_for_value and self.dispatcher.readable(self.transport)

    def _write_ready(self) -> None:
        """Writes what is ready; of a stream, as much as the client reads."""
        answers = self._answers
        while True:
            max_stream_bytes = self._limit_write_buffer()
            ready = answers.take_ready(max_stream_bytes=0 if self._writing_paused else max_stream_bytes)
            if not ready or self.transport.is_closing():
                return
            output = ready[0] if len(ready) == 1 else b"".join(ready)
            self._delivery.on_written(len(output))
            self.transport.write(output)
            if answers.head_stream is None or self._writing_paused:
                return

    def _limit_write_buffer(self) -> int:
        """Has as little in the write buffer as is read ahead of a forwarded value; returns that size."""
        limits, stream = self.dispatcher.limits, self._answers.head_stream
        size_bytes = limits.unread_answer_bytes if stream is None else stream.window_bytes(limits)
        if size_bytes != self._write_buffer_bytes and not self._closer.draining:
            self._write_buffer_bytes = size_bytes
            self.transport.set_write_buffer_limits(high=size_bytes)
        return size_bytes

    def is_next(self, session: Session) -> bool:
        """Whether no earlier answer is pending."""
        return bool(self._answers.pending) and self._answers.pending[0] is session

    def is_only(self, session: Session) -> bool:
        """Whether no other answer is pending."""
        return self._answers.only_session is session

    # ---- closing

    def _close_when_written(self, reason: CloseReason) -> None:
        """Closes the connection once the write buffer is empty.

        Until then commands are still read, and they are answered first.
        """
        closer = self._closer
        closer.set_reason(reason)
        if closer.reading_ended:
            self._half_close()
        elif self.transport.get_write_buffer_size():
            closer.start_draining()
        elif closer.draining and self.dispatcher.readable(self.transport):
            closer.stop_draining()
        else:
            self._half_close()

    def _half_close(self) -> None:
        """Sends the FIN and discards input until the client closes its side.

        A client that sent a command after the FIN has to send it on another connection.
        """
        if self._closer.send_eof():
            self.reading.resume(self.transport)

    def check_timeouts(self, now: int) -> None:
        """Closes the connection if a timeout has expired; called periodically by the listener.

        This bounds the cost of clients that send nothing, never complete a command, or stay idle, and the
        work of backends for a client that disconnected while reading was paused.
        """
        if self.reading.paused and self.has_disconnected():
            return
        if self._closer.checks_progress or self.transport.is_closing():
            return
        if self._is_stalled(now):
            self._closer.abort_stalled()
            return
        if self._closer.reading_ended or self._answers.pending:
            return
        if not self._parser.idle:
            self._check_incomplete_command(now)
            return
        standby = self.listener.standby
        if not self._delivery.complete and not standby:
            return
        if now - self.idle_since_ns > self._max_idle_ns(standby=standby):
            reason = CloseReason.IDLE if self.command_count else CloseReason.SILENT
            closed = self.close_if_idle(CloseReason.STANDBY if standby else reason)
            self.counters.standby_closed += closed and standby

    def _is_stalled(self, now: int) -> bool:
        """Whether the client has received nothing more for too long.

        It counts as idle only since it has made its last progress.
        """
        delivery, limits = self._delivery, self.dispatcher.limits
        if delivery.update():
            return False
        self.idle_since_ns = max(self.idle_since_ns, delivery.progress_ns)
        if self.listener.closing or self.listener.standby:
            max_stall_ns = limits.client_silence_timeout_ns
        elif self._answers.head_stream is not None:
            max_stall_ns = limits.forwarding_stall_ns
        else:
            max_stall_ns = limits.client_idle_timeout_ns + limits.client_silence_timeout_ns
        return now - delivery.progress_ns > max_stall_ns and not self._answers.count_unanswered()

    def _check_incomplete_command(self, now: int) -> None:
        limits = self.dispatcher.limits
        stalled = now - self._last_read_ns > limits.command_stall_ns
        silent = not self.command_count and now - self.idle_since_ns > limits.client_silence_timeout_ns
        if stalled or silent or now - self._command_began_ns > limits.command_ns:
            self._close_with_error("a command that does not end", CloseReason.INCOMPLETE)

    def _max_idle_ns(self, *, standby: bool) -> int:
        """Returns the idle timeout."""
        limits = self.dispatcher.limits
        if standby:
            return limits.standby_idle_timeout_ns
        return limits.client_idle_timeout_ns if self.command_count else limits.client_silence_timeout_ns

    def close_if_idle(self, reason: CloseReason) -> bool:
        """Closes the connection if it is idle and has no unread input; returns True if the FIN is sent."""
        if not self.is_idle or self._closer.draining or self.transport.is_closing():
            return False
        if self.dispatcher.readable(self.transport):  # a command was received that is not read yet
            return False
        self._close_when_written(reason)
        return self._closer.reading_ended

    def has_lingered(self, now_ns: int, min_ns: int) -> bool:
        """Whether its FIN was sent more than `min_ns` ago and all output is sent."""
        closer = self._closer
        return (
            closer.is_lingering and now_ns - closer.eof_sent_ns > min_ns and not self.transport.is_closing()
        )

    def evict(self) -> bool:
        """Closes it at once to free its descriptor; returns False if it may not be closed.

        It has been idle, or its FIN was sent, for some time. It is kept while the client still receives
        output, unless that has stalled.
        """
        if not self._delivery.update():
            stalled_ns = self.dispatcher.now_ns() - self._delivery.progress_ns
            if stalled_ns <= self.dispatcher.limits.client_silence_timeout_ns:
                return False
            self._closer.abort_stalled()
            return True
        if not self._closer.is_lingering and not self.close_if_idle(CloseReason.EVICTED):
            return False
        self.transport.close()
        return True

    # ---- state

    @property
    def state(self) -> ConnectionState:
        """The state of the connection, for the log."""
        if self._closer.reading_ended or self._closer.draining:
            return ConnectionState.CLOSING
        if self._answers.pending:
            return ConnectionState.BUSY
        if not self._parser.idle:
            return ConnectionState.INCOMPLETE
        return ConnectionState.IDLE if self.command_count else ConnectionState.SILENT

    @property
    def is_receiving(self) -> bool:
        """Whether the client still receives a value, or other output that was written."""
        return self._answers.head_stream is not None or not self._delivery.update()

    @property
    def is_idle(self) -> bool:
        """Whether nothing is unanswered, unwritten or partly read."""
        return self._answers.is_empty and self._parser.idle and not self._closer.reading_ended
