"""The clients' side in RESP: connections, the commands on them, and answers in the order of the commands."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from .. import resp
from ..counters import Counters
from ..deadlines import Key
from ..dispatcher import Dispatcher
from ..host import Host
from ..reasons import CloseReason, RefusalReason
from ..session import Answer, Kind, Session, Stream
from ..trace import Step
from .call_reader import CallError, CallReader

SERVED, DENIED = Kind.SERVED, Kind.DENIED


class Listener(Protocol):
    """What a connection needs of the listener that accepted it."""

    dispatcher: Dispatcher
    counters: Counters
    host: Host
    buffer: memoryview  # every connection's reads go into it and are copied out at once
    reader: CallReader
    open: dict[bytes, Session]  # requests without a final answer, by the id that the client gave
    ready: bool
    standby: bool
    closing: bool
    over: bool
    heard_ns: int

    def refusal(self) -> RefusalReason | None: ...
    def done(self, session: Session) -> None: ...
    def joined(self, client: ClientConnection) -> None: ...
    def left(self, client: ClientConnection) -> None: ...


class ClientConnection(asyncio.BufferedProtocol):
    """One client. Its commands are answered in order; it is read no further while too much is unanswered."""

    __slots__ = (
        "listener",
        "dispatcher",
        "counters",
        "transport",
        "_parser",
        "_waiting",
        "_out",
        "_dirty",
        "_closing",
        "_full",
        "_paused",
        "_ending",
        "_stall_deadline",
        "_drained",
        "rested_ns",
        "begun_ns",
        "ended_ns",
        "asked",
        "_close_reason",
        "heard_ns",
        "may_have_waited",
        "_waited_ns",
        "_from_old_queue",
    )

    def __init__(self, listener: Listener) -> None:
        self.listener, self.dispatcher, self.counters = (
            listener,
            listener.dispatcher,
            listener.dispatcher.counters,
        )
        self.transport: asyncio.Transport | None = None
        self._parser = resp.CommandParser(listener.dispatcher.limits)
        self._waiting: deque[Session | bytes] = deque()  # in the order of the commands; bytes: answered here
        self._out: list[bytes] = []
        self._dirty = self._closing = self._full = self._paused = False
        self._ending = False  # to be ended as soon as what was written has left; nothing is read until then
        self._stall_deadline: Key | None = None  # the deadline of `_abort_if_stalled`
        self.rested_ns = 0
        self.begun_ns = 0  # when the command that is not whole yet began
        self.ended_ns = 0  # when its end was sent
        self.asked = 0  # whole commands that were none to turn away
        self._drained = 0  # bytes thrown away since the last answer was written
        self._close_reason: CloseReason | None = None  # why it is ended from here, once it is
        self.heard_ns = 0  # when anything last came
        self.may_have_waited = False  # what is read next, as it was not read for a while
        self._waited_ns = 0  # what is being read, before it could be
        self._from_old_queue = False  # taken from one that no process served; of what is read first, the
        # machine tells when the last came: what lies before that is refused, as nobody knows its age

    # ---- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(high=self.dispatcher.limits.written_bytes)
        self.rested_ns = self.dispatcher.now_ns()
        self.counters.clients += 1
        self.listener.joined(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.listener.buffer

    def buffer_updated(self, size: int) -> None:
        if not self._closing:
            if self.may_have_waited:
                self.may_have_waited = False
                self._waited_ns = self.listener.host.unread_ns(self.transport)
                self._from_old_queue &= self._waited_ns > self.dispatcher.limits.held_up_ns
            self._read(bytes(self.listener.buffer[:size]))
            self._waited_ns = 0
            return
        self._drained += size
        if self._drained > self.dispatcher.limits.drained_bytes:
            self._abort(CloseReason.FLOOD)

    def pause_writing(self) -> None:
        """Guards the memory against clients that ask and do not read their answers."""
        self._full = True
        self._throttle()

    def resume_writing(self) -> None:
        self._full = False
        self._throttle()
        if self._ending:
            self._schedule_flush()
        if self._waiting and isinstance(self._waiting[0], Session) and type(self._waiting[0].reply) is Stream:
            self._schedule_flush()  # a value that is passed on goes on

    def eof_received(self) -> None:
        return None  # the client is gone: the transport closes itself

    def connection_lost(self, err: Exception | None) -> None:
        self._closing = True
        reason = self._close_reason or CloseReason.CLIENT
        self.counters.closed(reason)
        self.dispatcher.trace.note(self.dispatcher.now_ns(), Step.CLOSED, id(self), reason)
        self.listener.left(self)
        waiting, self._waiting = self._waiting, deque()
        for session in waiting:
            if isinstance(session, Session):
                if type(session.reply) is Stream:
                    session.reply.abandon()
                self.listener.done(session)
                self.dispatcher.leave(session)

    # ---- commands in

    @property
    def kind(self) -> str:
        """In a word of the log."""
        if self._closing or self._ending:
            return "ending"
        if self._waiting:
            return "asking"
        return "half" if not self._parser.idle else "resting" if self.asked else "silent"

    @property
    def idle(self) -> bool:
        return not self._waiting and not self._out and self._parser.idle and not self._closing

    def _read(self, data: bytes) -> None:
        commands = self._parser.feed(data)
        last = len(commands) - 1
        for number, words in enumerate(commands):
            self._command(words, number < last and self._from_old_queue)
        self._from_old_queue = False
        self.heard_ns = self.dispatcher.now_ns()
        self.begun_ns = 0 if self._parser.idle else self.begun_ns or self.heard_ns
        if self._parser.error:  # nothing after it can be understood
            self.counters.malformed += 1
            self.dispatcher.log.often("malformed", f"command: {self._parser.error}")
            self._give_up("Protocol error: " + self._parser.error, CloseReason.MALFORMED)
        self._throttle()

    def _give_up(self, why: str, reason: CloseReason) -> None:
        """The last answer. What comes after it is thrown away: closing with bytes unread would reset the
        connection, and the client could lose the line that tells why."""
        self._closing = True
        self._close_reason = self._close_reason or reason
        self._reply(resp.error(why))
        if self._waiting:  # what it asked before is still answered; till then it is read no further
            self._paused = True
            self.transport.pause_reading()

    def _command(self, words: list[bytes], of_unknown_age: bool) -> None:
        if not words:
            return
        dispatcher = self.dispatcher
        if len(words) == 1 and words[0].upper() == b"PING":
            self.counters.pings += 1
            self.asked += 1
            listener = self.listener
            self._reply(
                resp.error("standby")
                if listener.standby
                else resp.PONG
                if listener.ready and not listener.over
                else resp.error("not ready")
            )
            return
        number, now = dispatcher.next_id(), self.dispatcher.now_ns()
        try:
            call, request = self.listener.reader.read(words, number, now - self._waited_ns)
            if call.id in self.listener.open:  # guards its session: backend servers would see a second copy
                raise CallError("the id of an open request")
        except CallError as err:
            self.counters.malformed += 1
            self._reply(resp.error(str(err)))
            return
        self.asked += 1
        refusal = RefusalReason.WAITED if of_unknown_age else self.listener.refusal()
        if refusal is not None:
            self.counters.denied += 1
            self.counters.refused(refusal)
            self._reply(resp.busy(0))
            return
        self.listener.heard_ns = now
        spec = self.listener.reader.specs[request.cls]
        session = Session(number, call, self, request.give_up_ns, spec)
        self._waiting.append(session)
        self.listener.open[call.id] = session
        dispatcher.take(session, request)

    def _throttle(self) -> None:
        if self._closing or self.transport.is_closing():
            return
        stop = self._full or len(self._waiting) > self.dispatcher.limits.pipelined
        if stop != self._paused:
            self._paused = stop
            if stop:
                self.transport.pause_reading()
            else:
                self.may_have_waited = True
                self.transport.resume_reading()

    # ---- answers out

    def _reply(self, data: bytes) -> None:
        """An answer that needs no module."""
        if self._waiting:
            self._waiting.append(data)
        else:
            self._out.append(data)
        self._schedule_flush()

    def _schedule_flush(self) -> None:
        if not self._dirty:
            self._dirty = True
            self.dispatcher.write_later(self)

    def answer(self, session: Session, answer: Answer) -> None:
        self.listener.done(session)
        if answer.stream is not None:
            session.reply = answer.stream
            answer.stream.writer = self
        elif answer.kind is SERVED:
            session.reply = resp.bulk(answer.value)
        elif answer.kind is DENIED:
            session.reply = resp.busy(answer.retry_ms)
        else:
            session.reply = resp.error("failed")
        self._schedule_flush()

    def gone(self) -> bool:
        """Guards against sending on what a client left behind: its end may have come with the request, or lie
        behind what is not read yet."""
        if not self.transport.is_closing() and self.dispatcher.ended(self.transport):
            self._abort(CloseReason.CLIENT)
        return self.transport.is_closing()

    def poke(self) -> None:
        """A value that is passed on has more, or its end."""
        self._schedule_flush()

    def flush(self) -> None:
        """Writes once what can be answered by now, in the order of the commands. A value that is passed on
        is written as far as it came, while the client reads; where it was cut, the connection is ended, so
        that the client can tell that it is not whole."""
        self._dirty = False
        waiting, out, cut = self._waiting, self._out, False
        while waiting:
            first = waiting[0]
            reply = first.reply if isinstance(first, Session) else first
            if reply is None:
                break
            if type(reply) is Stream:
                if self._full:
                    break
                out += reply.take()
                if reply.cut:
                    cut = True
                    break
                if not reply.whole:
                    break
            else:
                out.append(reply)
            waiting.popleft()
        if out:
            self._out = []
            if not self.transport.is_closing():
                self.transport.write(out[0] if len(out) == 1 else b"".join(out))
        if cut:
            self._closing = True
            self._abort(CloseReason.CUT)
            return
        if not waiting:
            self.rested_ns = self.dispatcher.now_ns()
            if self._closing or self.listener.closing or self.listener.standby or self._ending:
                self._finish_when_written(CloseReason.STOP if self.listener.closing else CloseReason.STANDBY)
                return
        if self._paused:
            self._throttle()

    def _finish_when_written(self, reason: CloseReason) -> None:
        """Ends the connection, but not while an answer is still on its way out of the process: until then it
        is not read, and what the client has asked meanwhile is answered first. Guards what was read before
        the end was sent."""
        self._close_reason = self._close_reason or reason
        if self._closing:
            self._finish()
        elif self.transport.get_write_buffer_size():
            self._ending = True
            self.transport.set_write_buffer_limits(high=0)  # `resume_writing` once all has left
            self._abort_if_stalled(None)
        elif self._ending and self.dispatcher.readable(self.transport):
            self._ending, self._close_reason = False, None  # the answer to what has come brings it here again
            self.dispatcher.deadlines.drop(self._stall_deadline)
            self.transport.set_write_buffer_limits(high=self.dispatcher.limits.written_bytes)
        else:
            self._finish()

    def _finish(self) -> None:
        """The one way in which a connection is ended from here: no command is read any more, all that is
        owed is written, the client reads the end, and what still comes is thrown away until it ends in its
        turn, or has had a while to. Guards what was written last: a close over bytes unread would be a reset,
        which may overtake it; and a request that came behind the end is nobody's but its client's, which
        sends it elsewhere."""
        if not self.transport.is_closing() and self._may_close():
            self._closing, self._ending = True, False
            self.ended_ns = self.dispatcher.now_ns()
            try:
                self.transport.write_eof()
            except OSError:  # its client has reset it since it was last looked at: nobody is there
                self._abort(CloseReason.CLIENT)
                return
            if self._paused:
                self._paused = False
                self.transport.resume_reading()
            self._abort_if_stalled(None)

    def _may_close(self) -> bool:
        """Nothing is owed on it."""
        owed = sum(isinstance(x, Session) and not x.over for x in self._waiting)
        return self.dispatcher.guard.may_close(self.dispatcher.now_ns(), owed, f"connection {id(self)}")

    def _abort(self, reason: CloseReason) -> None:
        """Closed at once, whatever is on its way. Only a client that left, or has to see that a value is cut,
        frees this gateway of what it owes there."""
        if reason in (CloseReason.CLIENT, CloseReason.CUT) or self._may_close():
            self._close_reason = self._close_reason or reason
            self.transport.abort()

    def _abort_if_stalled(self, left: int | None) -> None:
        """Cuts the connection where the client does not end it. left: bytes that it had not taken yet when
        last looked at; one that goes on taking them is not cut."""
        if self.transport.is_closing():
            return
        limits, size = self.dispatcher.limits, self.transport.get_write_buffer_size()
        if left is not None and size >= left and not self._waiting:
            self._abort(CloseReason.STALLED)
            return
        wait = limits.silent_ns if size else limits.drained_ns
        self.dispatcher.deadlines.drop(self._stall_deadline)
        self._stall_deadline = self.dispatcher.deadlines.add(
            self.dispatcher.now_ns() + wait, self._abort_if_stalled, size
        )
        self.dispatcher.wake()

    def tend(self, now: int) -> None:
        """Guards the descriptors against clients that say nothing, begin a command and never end it, or ask
        once and stay; and the backend servers against the requests of one that left while it was not read."""
        limits = self.dispatcher.limits
        if self._paused and self.gone():
            return
        if self._closing or self._waiting or self.transport.is_closing():
            return
        if not self._parser.idle:
            stalled = now - self.heard_ns > limits.command_stall_ns
            never_asked = not self.asked and now - self.rested_ns > limits.silent_ns
            if stalled or never_asked or now - self.begun_ns > limits.command_ns:
                self._give_up("a command that does not end", CloseReason.INCOMPLETE)
        elif now - self.rested_ns > (
            limits.standby_rest_ns
            if self.listener.standby
            else limits.rest_ns
            if self.asked
            else limits.silent_ns
        ):
            reason = CloseReason.IDLE if self.asked else CloseReason.SILENT
            closed = self.close_if_idle(CloseReason.STANDBY if self.listener.standby else reason)
            self.counters.standby_closed += closed and self.listener.standby

    def close_if_idle(self, reason: CloseReason) -> bool:
        """Ended, unless something is owed on it or has come. True: its end is sent."""
        if (
            not self.idle
            or self._ending
            or self.transport.is_closing()
            or self.dispatcher.readable(self.transport)
        ):
            return False  # guards against closing beneath a request that has come but is not read yet
        self._finish_when_written(reason)
        return self._closing

    @property
    def lingers(self) -> bool:
        """All is written, its end too; it is open for its client alone."""
        return bool(self.ended_ns) and not self.transport.get_write_buffer_size()

    def give_way(self) -> bool:
        """Closed at once, as its descriptor is wanted. It has rested for a while, or its end was sent a while
        ago: what was written to it has arrived."""
        if not self.lingers and not self.close_if_idle(CloseReason.ROOM):
            return False
        self.transport.close()
        return True
