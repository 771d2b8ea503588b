"""One client connection: reads its commands and writes the answers in their order."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Protocol

from .. import resp
from ..counters import Counters
from ..dispatcher import Dispatcher
from ..host import Host
from ..reasons import CloseReason, GatewayRejection
from ..session import Answer, AnswerKind, Session
from ..trace import Step
from ..value_stream import ValueStream
from .answer_queue import AnswerQueue
from .call_reader import CallError, CallReader
from .closer import ConnectionCloser

SERVED, REJECTED = AnswerKind.SERVED, AnswerKind.REJECTED


class Listener(Protocol):
    """What a connection needs of the listener that accepted it."""

    dispatcher: Dispatcher
    counters: Counters
    host: Host
    buffer: memoryview  # every connection's reads go into it and are copied out at once
    reader: CallReader
    open_requests: dict[bytes, Session]  # without a final answer, by the id that the client gave
    closing: bool
    standby: bool
    last_request_ns: int

    def ping_answer(self) -> bytes:
        """The answer to PING, as it is written."""
        ...

    def rejection_reason(self) -> GatewayRejection | None:
        """Why no request is taken for now."""
        ...

    def on_request_ended(self, session: Session) -> None:
        """A request was answered or abandoned."""
        ...

    def on_connected(self, client: ClientConnection) -> None:
        """The connection has its transport."""
        ...

    def on_disconnected(self, client: ClientConnection) -> None:
        """The connection is closed."""
        ...


class ConnectionState(Enum):
    """What a connection is doing; the values are the names in the log."""

    BUSY = "busy"  # an answer is owed
    IDLE = "idle"  # between two commands
    SILENT = "silent"  # no command has come yet
    INCOMPLETE = "incomplete"  # a command has come in part
    CLOSING = "closing"


class ClientConnection(asyncio.BufferedProtocol):
    """The protocol of one client. It is read no further while too many of its commands are unanswered."""

    __slots__ = (
        "listener",
        "dispatcher",
        "counters",
        "transport",
        "idle_since_ns",
        "commands",
        "may_have_waited",
        "from_inherited_queue",
        "_parser",
        "_answers",
        "_closer",
        "_flush_scheduled",
        "_writing_paused",
        "_reading_paused",
        "_command_began_ns",
        "_last_read_ns",
        "_waited_ns",
    )

    def __init__(self, listener: Listener) -> None:
        """`listener`: the one that accepted it."""
        self.listener = listener
        self.dispatcher = listener.dispatcher
        self.counters = listener.counters
        self.transport: asyncio.Transport | None = None
        self.idle_since_ns = 0
        self.commands = 0  # complete ones that were well formed
        self.may_have_waited = False  # what is read next, in the socket, as nobody read there
        # Accepted from a queue that no process served. Of what is read first the machine says when the last
        # bytes came: a command before the last is rejected, as nobody knows its age.
        self.from_inherited_queue = False
        self._parser = resp.CommandParser(self.dispatcher.limits)
        self._answers = AnswerQueue()
        self._closer: ConnectionCloser | None = None  # from `connection_made` on
        self._flush_scheduled = False
        self._writing_paused = False  # the client does not read its answers
        self._reading_paused = False
        self._command_began_ns = 0  # when the command that is incomplete began; 0: there is none
        self._last_read_ns = 0
        self._waited_ns = 0  # how long what is being read waited in the socket

    # ---- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The loop has connected the transport."""
        dispatcher = self.dispatcher
        self.transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(high=dispatcher.limits.unread_answer_bytes)
        self._closer = ConnectionCloser(dispatcher, self.transport, self._answers, f"connection {id(self)}")
        self.idle_since_ns = dispatcher.now_ns()
        self.counters.clients += 1
        self.listener.on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where the loop reads to."""
        return self.listener.buffer

    def buffer_updated(self, size: int) -> None:
        """The loop has read so many bytes."""
        if self._closer.reading_ended:
            self._closer.discard(size)
            return
        if self.may_have_waited:
            self.may_have_waited = False
            self._waited_ns = self.listener.host.last_received_age_ns(self.transport)
            self.from_inherited_queue &= self._waited_ns > self.dispatcher.limits.process_stall_ns
        self._read(bytes(self.listener.buffer[:size]))
        self._waited_ns = 0

    def pause_writing(self) -> None:
        """The client does not read its answers: no more commands are read, which bounds the memory."""
        self._writing_paused = True
        self._update_reading()

    def resume_writing(self) -> None:
        """The client has read its answers."""
        self._writing_paused = False
        self._update_reading()
        if self._closer.draining or self._answers.starts_with_stream:
            self._schedule_flush()

    def eof_received(self) -> None:
        """The client has left; None has the transport close itself."""
        return None

    def connection_lost(self, err: Exception | None) -> None:
        """The connection is closed; what it still owed is abandoned."""
        self._closer.reading_ended = True
        reason = self._closer.reason or CloseReason.CLIENT
        self.counters.count_close(reason)
        self.dispatcher.trace.note(self.dispatcher.now_ns(), Step.CLOSED, id(self), reason)
        self.listener.on_disconnected(self)
        for session in self._answers.take_sessions():
            if type(session.reply) is ValueStream:
                session.reply.abandon()
            self.listener.on_request_ended(session)
            self.dispatcher.abandon(session)

    # ---- commands in

    def _read(self, data: bytes) -> None:
        commands = self._parser.feed(data)
        if self.from_inherited_queue:
            self._read_inherited(commands)
        else:
            for arguments in commands:
                self._on_command(arguments)
        self._last_read_ns = self.dispatcher.now_ns()
        if self._parser.idle:
            self._command_began_ns = 0
        else:
            self._command_began_ns = self._command_began_ns or self._last_read_ns
        if self._parser.error:  # nothing after it can be understood
            self.counters.malformed += 1
            self.dispatcher.log.line_limited("malformed", f"command: {self._parser.error}")
            self._fail("Protocol error: " + self._parser.error, CloseReason.MALFORMED)
        self._update_reading()

    def _read_inherited(self, commands: list[list[bytes]]) -> None:
        """Commands of which only the last has an age that is known."""
        last = len(commands) - 1
        for number, arguments in enumerate(commands):
            self._on_command(arguments, of_unknown_age=number < last)
        self.from_inherited_queue = False

    def _on_command(self, arguments: list[bytes], *, of_unknown_age: bool = False) -> None:
        if not arguments:
            return
        if len(arguments) == 1 and arguments[0].upper() == b"PING":
            self.counters.pings += 1
            self.commands += 1
            self._reply(self.listener.ping_answer())
            return
        dispatcher, listener = self.dispatcher, self.listener
        request_id, now = dispatcher.next_request_id(), dispatcher.now_ns()
        try:
            call, request = listener.reader.read(arguments, request_id, now - self._waited_ns)
            if call.id in listener.open_requests:  # backend servers would take it for a repeat of that one
                raise CallError("the id of an open request")
        except CallError as err:
            self.counters.malformed += 1
            self._reply(resp.error(str(err)))
            return
        self.commands += 1
        reason = GatewayRejection.UNKNOWN_AGE if of_unknown_age else listener.rejection_reason()
        if reason is not None:
            self.counters.rejected += 1
            self.counters.count_rejection(reason)
            self._reply(resp.busy(0))
            return
        listener.last_request_ns = now
        request_class = listener.reader.request_classes[request.class_index]
        session = Session(request_id, call, self, request.deadline_ns, request_class)
        self._answers.pending.append(session)
        listener.open_requests[call.id] = session
        dispatcher.submit(session, request)

    def _fail(self, problem: str, reason: CloseReason) -> None:
        """Gives the last answer; all that comes after it is discarded, so that it is not lost by a reset."""
        self._closer.reading_ended = True
        self._closer.set_reason(reason)
        self._reply(resp.error(problem))
        if self._answers.pending:  # these come first; till then it is read no further
            self._reading_paused = True
            self.transport.pause_reading()

    def _update_reading(self) -> None:
        """Pauses or resumes reading, by what is unanswered and unread on the client's side."""
        pause = self._writing_paused or len(self._answers.pending) > self.dispatcher.limits.max_pipelined
        if pause == self._reading_paused or self._closer.reading_ended or self.transport.is_closing():
            return
        self._reading_paused = pause
        if pause:
            self.transport.pause_reading()
        else:
            self.may_have_waited = True
            self.transport.resume_reading()

    # ---- answers out

    def _reply(self, data: bytes) -> None:
        """Gives an answer that needs no session."""
        self._answers.add(data)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self.dispatcher.flush_later(self)

    def answer(self, session: Session, answer: Answer) -> None:
        """Takes the final answer of one of its sessions."""
        self.listener.on_request_ended(session)
        if answer.stream is not None:
            session.reply = answer.stream
            answer.stream.sink = self
        elif answer.kind is SERVED:
            session.reply = resp.bulk(answer.value)
        elif answer.kind is REJECTED:
            session.reply = resp.busy(answer.retry_ms)
        else:
            session.reply = resp.error("failed")
        self._schedule_flush()

    def on_stream_progress(self) -> None:
        """A value that is passed on has more, or its end."""
        self._schedule_flush()

    def has_left(self) -> bool:
        """The client has left; its end may have come with the request, or behind what is not read yet."""
        if not self.transport.is_closing() and self.dispatcher.has_ended(self.transport):
            self._closer.abort(CloseReason.CLIENT)
        return self.transport.is_closing()

    def flush(self) -> None:
        """Writes, in one go, what can be answered by now.

        Where a value that is passed on can't be completed the connection is closed, so that the client can
        tell.
        """
        self._flush_scheduled = False
        answers = self._answers
        ready = answers.take_ready(streams=not self._writing_paused)
        if ready and not self.transport.is_closing():
            self.transport.write(ready[0] if len(ready) == 1 else b"".join(ready))
        if answers.truncated:
            self._closer.reading_ended = True
            self._closer.abort(CloseReason.TRUNCATED)
            return
        if not answers.pending:
            self.idle_since_ns = self.dispatcher.now_ns()
            closer, listener = self._closer, self.listener
            if closer.reading_ended or listener.closing or listener.standby or closer.draining:
                self._end_when_written(CloseReason.STOP if listener.closing else CloseReason.STANDBY)
                return
        if self._reading_paused:
            self._update_reading()

    # ---- the end

    def _end_when_written(self, reason: CloseReason) -> None:
        """Ends the connection, but not while an answer is still on its way out of the process.

        Until then it is read on, and what the client has asked meanwhile is answered first.
        """
        closer = self._closer
        closer.set_reason(reason)
        if closer.reading_ended:
            self._end()
        elif self.transport.get_write_buffer_size():
            closer.start_draining()
        elif closer.draining and self.dispatcher.readable(self.transport):
            closer.stop_draining()
        else:
            self._end()

    def _end(self) -> None:
        """Sends the end, and reads on until the client closes its side: what comes is discarded.

        A command that comes behind the end is the client's to send elsewhere.
        """
        if self._closer.send_end():
            if self._reading_paused:
                self._reading_paused = False
                self.transport.resume_reading()
            self._closer.abort_if_stalled(None)

    def check_timeouts(self, now: int) -> None:
        """Ends the connection where it has taken too long; the listener calls it now and then.

        That bounds what clients cost that send nothing, begin a command and never complete it, or ask once
        and stay; and what backend servers do for one that left while it was not read.
        """
        if self._reading_paused and self.has_left():
            return
        if self._closer.reading_ended or self._answers.pending or self.transport.is_closing():
            return
        if not self._parser.idle:
            self._check_incomplete_command(now)
            return
        standby = self.listener.standby
        if now - self.idle_since_ns > self._most_idle_ns(standby=standby):
            reason = CloseReason.IDLE if self.commands else CloseReason.SILENT
            closed = self.close_if_idle(CloseReason.STANDBY if standby else reason)
            self.counters.standby_closed += closed and standby

    def _check_incomplete_command(self, now: int) -> None:
        limits = self.dispatcher.limits
        stalled = now - self._last_read_ns > limits.command_stall_ns
        silent = not self.commands and now - self.idle_since_ns > limits.client_silence_timeout_ns
        if stalled or silent or now - self._command_began_ns > limits.command_ns:
            self._fail("a command that does not end", CloseReason.INCOMPLETE)

    def _most_idle_ns(self, *, standby: bool) -> int:
        """How long it may be idle."""
        limits = self.dispatcher.limits
        if standby:
            return limits.standby_idle_timeout_ns
        return limits.client_idle_timeout_ns if self.commands else limits.client_silence_timeout_ns

    def close_if_idle(self, reason: CloseReason) -> bool:
        """Ends the connection, unless something is owed on it or has come; True: its end is sent."""
        if not self.is_idle or self._closer.draining or self.transport.is_closing():
            return False
        if self.dispatcher.readable(self.transport):  # a request has come that is not read yet
            return False
        self._end_when_written(reason)
        return self._closer.reading_ended

    def may_be_dropped(self, now_ns: int, least_ns: int) -> bool:
        """Its end was sent longer ago than `least_ns`, and nothing is left to do on it."""
        closer = self._closer
        return (
            closer.is_lingering and now_ns - closer.end_sent_ns > least_ns and not self.transport.is_closing()
        )

    def evict(self) -> bool:
        """Closes it at once, as its descriptor is needed; False where it may not be closed.

        It has been idle for a while, or its end was sent a while ago: what was written to it has arrived.
        """
        if not self._closer.is_lingering and not self.close_if_idle(CloseReason.EVICTED):
            return False
        self.transport.close()
        return True

    # ---- what it is doing

    @property
    def state(self) -> ConnectionState:
        """What it is doing, for the log."""
        if self._closer.reading_ended or self._closer.draining:
            return ConnectionState.CLOSING
        if self._answers.pending:
            return ConnectionState.BUSY
        if not self._parser.idle:
            return ConnectionState.INCOMPLETE
        return ConnectionState.IDLE if self.commands else ConnectionState.SILENT

    @property
    def is_idle(self) -> bool:
        """Nothing is owed, to be written, or half read."""
        return self._answers.is_empty and self._parser.idle and not self._closer.reading_ended
