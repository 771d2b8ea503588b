"""The backend servers' side in RESP: their connections, and the attempts on them, one a connection.

An attempt is given up by closing its connection, which so hurts no other request. What has run and what never
did follows from whether the command's last byte was written, and from what came back.
"""

from __future__ import annotations

import asyncio
import errno
import math

from ..decisions.messages import (
    AttemptOutcome,
    AttemptResult,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    EndpointEntry,
    EndpointState,
    ForwardRequest,
    HealthCheckResult,
)
from ..decisions.settings import Settings
from ..simulator.codec import FIELD_NAMES
from . import resp
from .backend_connection import Attempt, BackendConnection, BackendServer
from .deadlines import every
from .dispatcher import Dispatcher
from .reasons import RetryReason
from .session import Answer, Call, Kind, Session, Stream
from .trace import Step
from .transient import is_lack

READ, WRITE = b"CALL.GET", b"CALL.POST"
BUSY = b"BUSY"
DENIALS = (BUSY, b"ERR failed")  # error lines after which the connection serves on
COUNTERS = {
    AttemptResult.OK: "ok",
    AttemptResult.ERROR: "error",
    AttemptResult.REJECTED: "full",
    AttemptResult.TIMEOUT: "timeout",
    AttemptResult.CONNECT_FAILED: "connect_failed",
    AttemptResult.RESET: "reset",
    AttemptResult.CANCELLED: "cancelled",
    AttemptResult.NOT_SENT: "moot",
    AttemptResult.STALE_CONNECTION: "stale",
    AttemptResult.MALFORMED: "spoilt",
}
RETRIES = {
    AttemptResult.CONNECT_FAILED: RetryReason.CONNECT,
    AttemptResult.REJECTED: RetryReason.FULL,
    AttemptResult.NOT_SENT: RetryReason.MOOT,
    AttemptResult.ERROR: RetryReason.ERROR,
    AttemptResult.RESET: RetryReason.BROKEN,
    AttemptResult.STALE_CONNECTION: RetryReason.BROKEN,
    AttemptResult.TIMEOUT: RetryReason.TIMEOUT,
    AttemptResult.MALFORMED: RetryReason.SPOILT,
}  # by how the attempt before ended


class Backends:
    """All backend servers, their pools, and the attempts that are out."""

    def __init__(self, dispatcher: Dispatcher, settings: Settings, buffer: memoryview) -> None:
        self.dispatcher, self.settings, self.buffer = dispatcher, settings, buffer
        self.listed: dict[int, tuple[EndpointEntry, tuple[str, int]]] = {}  # the endpoint table, as last told
        self.servers: dict[int, BackendServer] = {}  # of those listed, the ones that have a connection
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.connections: set[BackendConnection] = set()  # those on their way included
        self.resting: dict[BackendConnection, None] = {}  # of these, in the order in which they came to rest
        self.closing = False
        self._tasks: set[asyncio.Task] = set()
        dispatcher.carry_out[ForwardRequest] = self._send
        dispatcher.carry_out[CancelAttempt] = self._cancel
        dispatcher.carry_out[CheckHealth] = self._probe
        dispatcher.carry_out[CloseIdleConnections] = self._close
        dispatcher.withdraw = self._take_back
        every(dispatcher, dispatcher.limits.idle_ns // 8, self._tend)

    # ---- the server table

    def update(self, entries: list[tuple[EndpointEntry, tuple[str, int]]], whole: bool) -> None:
        """A list, or a change of it. What is not connected to is only noted."""
        if whole:
            told = {b.id for b, _ in entries}
            for number in [k for k in self.listed if k not in told]:
                self._forget(number)
        for entry in entries:
            b, address = entry
            if b.mode is EndpointState.REMOVED:
                self._forget(b.id)
                continue
            self.listed[b.id] = entry
            server = self.servers.get(b.id)
            if server is None:
                continue
            if (server.address, server.started_ns) != (address, b.started_ns):
                self._retire(server)  # another process: the old one's connections lead nowhere
                continue
            server.ready, server.backend = b.mode is EndpointState.READY, b
            if not server.ready:
                self._withdraw(server)

    def _forget(self, number: int) -> None:
        self.listed.pop(number, None)
        server = self.servers.get(number)
        if server is not None:
            self._retire(server)

    def _retire(self, server: BackendServer) -> None:
        """Connections that still carry an attempt end with it."""
        server.ready = False
        del self.servers[server.id]
        self._withdraw(server)

    def _ready_server(self, number: int) -> BackendServer | None:
        """One that may be sent to now; its record is made where there is none."""
        server = self.servers.get(number)
        if server is None:
            entry = self.listed.get(number)
            if entry is None or entry[0].mode is not EndpointState.READY:
                return None
            listed, address = entry
            server = BackendServer(number, address, listed.started_ns, ready=True, backend=listed)
            self.servers[number] = server
        return server if server.ready else None

    def _release(self, server: BackendServer) -> None:
        """Forgets the record of a server without connections, on which no attempt waits either."""
        if not server.connections and self.servers.get(server.id) is server:
            del self.servers[server.id]

    def _withdraw(self, server: BackendServer) -> None:
        """Guards rule 3: what still waits for a connection is not begun once the server drains or is gone,
        nor at a restarted one, which is cold."""
        for attempt in list(server.queued):
            self.finish(attempt, AttemptResult.CONNECT_FAILED)
        self._close_resting(server)

    # ---- actions

    def _send(self, now: int, action: ForwardRequest) -> None:
        session = self.dispatcher.sessions.get(action.request) or self.dispatcher.over.get(action.request)
        if session is None:
            return
        number, session.attempts = session.attempts, session.attempts + 1
        if session.over or session.frontend.gone():
            # Guards against an attempt that the module takes for out for good: the client left, or was
            # answered, in the very turn in which a further attempt was decided on.
            self._report(session, number, action.backend, AttemptResult.NOT_SENT, 0)
            return
        if number:
            self.dispatcher.counters.retried(self._retry_reason(session))
        until_ns = min(action.until_ns, session.give_up_ns)
        self._launch(
            now,
            session,
            number,
            action.backend,
            until_ns,
            min(until_ns, action.by_ns or until_ns),
            action.fresh,
        )

    def _retry_reason(self, session: Session) -> RetryReason:
        """Of a further attempt, which has its number already."""
        before = (session.id, session.attempts - 2)
        if before in self.attempts or session.last_result is None:
            return RetryReason.HEDGE
        return RETRIES.get(session.last_result, RetryReason.HEDGE)

    def _launch(
        self,
        now: int,
        session: Session | None,
        number: int,
        backend: int,
        until_ns: int,
        by_ns: int,
        fresh: bool = False,
    ) -> None:
        server = self._ready_server(backend) if by_ns > now else None
        if server is None:
            self._report(session, number, backend, AttemptResult.NOT_SENT, 0)
            return
        attempt = Attempt(session, number, server, now, until_ns, by_ns)
        if session is not None:
            self.attempts[session.id, number] = attempt
        if fresh and server.resting:  # in place of the one that rested longest, so that they don't add up
            self._end_rest(server.resting[0])
        while not fresh and (connection := server.settled(now)) is not None:
            self._leave_rest(connection)
            if connection.quiet:
                self._carry(connection, attempt, True)
                return
            connection.transport.abort()
        if len(self.connections) >= self.dispatcher.limits.backend_connections and not self._make_room():
            # Guards against running out of descriptors: it was never sent, and is nobody's fault over there.
            self.dispatcher.log.often("full", f"{len(self.connections)} backend connections: no more for now")
            self.finish(attempt, AttemptResult.NOT_SENT)
            self._release(server)
            return
        self._limit(attempt, min(by_ns, now + self.dispatcher.limits.connect_ns))
        self._connect(attempt)

    def _carry(self, connection: BackendConnection, attempt: Attempt, kept: bool = False) -> None:
        """The one place at which an attempt's first byte is written."""
        now, session = self.dispatcher.now_ns(), attempt.session
        if not self.dispatcher.guard.may_send(now, attempt):
            self.finish(attempt, AttemptResult.NOT_SENT)
            self._rest(connection, settled=True)
            return
        if session is not None:
            session.carried.append(attempt)
            self.dispatcher.trace.note(now, Step.SENT, session.call.id, attempt.server.address)
        connection.carry(attempt, kept)
        self._limit(attempt, attempt.until_ns if connection.whole else attempt.by_ns)

    def _limit(self, attempt: Attempt, at_ns: int) -> None:
        self.dispatcher.deadlines.drop(attempt.deadline)
        attempt.deadline = self.dispatcher.deadlines.add(at_ns, self._late, attempt)

    def written(self, attempt: Attempt) -> None:
        """Its last byte has left."""
        if attempt.by_ns < attempt.until_ns:
            self._limit(attempt, attempt.until_ns)
            self.dispatcher.wake()

    def _late(self, attempt: Attempt) -> None:
        """Not whole by now: it never ran, as the rest is never written."""
        attempt.deadline = None
        whole = attempt.begun and attempt.connection is not None and attempt.connection.whole
        self.finish(attempt, AttemptResult.TIMEOUT if whole else AttemptResult.CONNECT_FAILED)

    def _cancel(self, _: int, action: CancelAttempt) -> None:
        attempt = self.attempts.get((action.request, action.attempt))
        if attempt is not None:
            self.finish(attempt, AttemptResult.CANCELLED)

    def _take_back(self, session: Session) -> None:
        """Guards against sending on what has had its final answer, or whose client has left, where the
        settings allow no cancelling: what waits for its connection, or is not written whole, is no attempt
        that could be out, and is never one."""
        for number in range(session.attempts):
            attempt = self.attempts.get((session.id, number))
            if attempt is not None and (attempt.connection is None or not attempt.connection.whole):
                self.finish(attempt, AttemptResult.CANCELLED)

    def _probe(self, now: int, action: CheckHealth) -> None:
        until_ns = now + self.dispatcher.limits.connect_ns
        self._launch(now, None, 0, action.backend, until_ns, until_ns)

    def _close(self, _: int, action: CloseIdleConnections) -> None:
        server = self.servers.get(action.backend)
        if server is not None:
            self._close_resting(server)

    # ---- connections

    def _connect(self, attempt: Attempt) -> None:
        self.dispatcher.counters.connects += 1
        attempt.server.queued[attempt] = None
        connection = BackendConnection(self, attempt.server, attempt)
        self.connections.add(connection)
        attempt.server.connections += 1
        task = self.dispatcher.loop.create_task(self._open(attempt, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, attempt: Attempt, connection: BackendConnection) -> None:
        """One task a new connection, none a request."""
        try:
            async with asyncio.timeout(self.dispatcher.limits.connect_ns / 1e9) as connection.dial:
                await self.dispatcher.loop.create_connection(lambda: connection, *attempt.server.address)
        except (OSError, TimeoutError) as err:
            if connection.transport is None:
                connection.attempt = None
                self.finish(
                    attempt,
                    AttemptResult.NOT_SENT if self._is_own_lack(err) else AttemptResult.CONNECT_FAILED,
                )
                self._drop(connection)

    def _is_own_lack(self, err: Exception) -> bool:
        """Guards servers against being doubted, and doubted by peers too, for what this machine lacks: they
        were never asked."""
        own = is_lack(err) or (isinstance(err, OSError) and err.errno == errno.EADDRNOTAVAIL)
        if own:
            self.dispatcher.log.often("full", f"no connection to backend servers for now: {err}")
        return own

    def connected(self, connection: BackendConnection) -> None:
        attempt, server = connection.attempt, connection.server
        connection.attempt = None
        if connection.dial.expired():  # just now: the dial's task closes it next, whatever it carries
            if attempt in server.queued:
                self.finish(attempt, AttemptResult.CONNECT_FAILED)
            return
        connection.dial.reschedule(None)  # guards against a close beneath whatever is written to it
        if attempt not in server.queued:  # given up meanwhile; the connection serves another
            self._rest(connection, settled=True)
            return
        session = attempt.session
        ended = session is not None and (session.over or session.frontend.gone())  # since the last turn
        if ended or self.dispatcher.now_ns() >= attempt.by_ns:
            self.finish(attempt, AttemptResult.CANCELLED if ended else AttemptResult.CONNECT_FAILED)
            self._rest(connection, settled=True)
            return
        del server.queued[attempt]
        self._carry(connection, attempt)

    def _rest(self, connection: BackendConnection, settled: bool = False) -> None:
        """settled: it has carried nothing, so that nothing can come behind an answer."""
        server = connection.server
        if self.closing or self.servers.get(server.id) is not server or not server.ready:
            connection.transport.close()
            return
        connection.rested_ns = now = self.dispatcher.now_ns()
        connection.settled_ns = now if settled else now + self.dispatcher.limits.settled_ns
        server.resting.append(connection)
        self.resting[connection] = None

    def _leave_rest(self, connection: BackendConnection) -> None:
        connection.server.resting.remove(connection)
        del self.resting[connection]

    def _end_rest(self, connection: BackendConnection) -> None:
        self._leave_rest(connection)
        connection.transport.close()

    def lost(self, connection: BackendConnection) -> None:
        if connection in self.resting:
            self._leave_rest(connection)
        self._drop(connection)

    def _drop(self, connection: BackendConnection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)
            connection.server.connections -= 1
            self._release(connection.server)

    def _close_resting(self, server: BackendServer) -> None:
        for connection in server.resting.copy():
            self._end_rest(connection)

    def _make_room(self) -> bool:
        """Closes the connection that has rested longest at any backend server."""
        oldest = next(iter(self.resting), None)
        if oldest is None:
            return False
        self._end_rest(oldest)
        return True

    def _tend(self) -> None:
        """Closes what has rested long, before the backend server does it beneath a request."""
        now, limits = self.dispatcher.now_ns(), self.dispatcher.limits
        while (oldest := next(iter(self.resting), None)) and now - oldest.rested_ns > limits.idle_ns:
            self._end_rest(oldest)

    def shut(self) -> None:
        self.closing = True
        for connection in list(self.resting):
            self._end_rest(connection)

    # ---- outcomes

    def encode(self, attempt: Attempt) -> bytes:
        if attempt.session is None:
            return resp.command([b"INFO", b"load"])
        call: Call = attempt.session.call
        wait_ms = max(1, (attempt.until_ns - self.dispatcher.now_ns()) // 1_000_000)
        fields = call.fields.copy()
        fields[call.wait_at] = b"d=%d" % wait_ms
        words = [READ if call.repeatable else WRITE, call.customer, call.id, b",".join(fields)]
        if call.body is not None:
            words.append(call.body)
        self.dispatcher.counters.attempts += 1
        return resp.command(words)

    def begun(self, attempt: Attempt) -> None:
        """Guards against an answer that stops halfway, as one does whose length is more than what comes."""
        at = attempt.connection.heard_ns + self.dispatcher.limits.answer_ns
        if at < attempt.until_ns:
            self.dispatcher.deadlines.drop(attempt.deadline)
            attempt.deadline = self.dispatcher.deadlines.add(at, self._cut, attempt)
            self.dispatcher.wake()

    def _cut(self, attempt: Attempt) -> None:
        attempt.deadline = None
        if attempt.connection.heard_ns + self.dispatcher.limits.answer_ns > self.dispatcher.now_ns():
            self._limit(attempt, attempt.until_ns)
            self.begun(attempt)  # it has gone on since
        else:
            self.spoilt(attempt, "it does not go on")

    def spoilt(self, attempt: Attempt, why: str) -> None:
        """It ran. The connection is of no further use."""
        self.dispatcher.log.often("spoilt", f"answer of {attempt.server.address}: {why}")
        self.finish(attempt, AttemptResult.MALFORMED)

    # ---- values passed on as they come

    def stream_begin(self, connection: BackendConnection, attempt: Attempt, size: int, data: bytes) -> None:
        """The answer is served from its first byte on: no other attempt can answer it, and none is made
        again. Its outcome is told to the module once it is whole or cut."""
        session, now, limits = attempt.session, self.dispatcher.now_ns(), self.dispatcher.limits
        self.attempts.pop((session.id, attempt.number), None)
        self.dispatcher.deadlines.drop(attempt.deadline)
        attempt.deadline = None
        stream = Stream(connection)
        connection.stream, connection.left = stream, len(b"$%d\r\n" % size) + size + 2
        connection.last2, connection.tail, connection.tail_parts = b"", None, []
        connection.held = connection.paced = False
        if not self.dispatcher.end(session, Answer(Kind.SERVED, stream=stream)):
            connection.abandon()  # the client left or was answered meanwhile
            return
        self.dispatcher.counters.streamed += 1
        connection.heard_ns = now
        attempt.deadline = self.dispatcher.deadlines.add(now + limits.stream_stall_ns, self._stalled, attempt)
        self.dispatcher.wake()
        self.streaming(connection, data)

    def streaming(self, connection: BackendConnection, data: bytes) -> None:
        stream, limits = connection.stream, self.dispatcher.limits
        connection.heard_ns = self.dispatcher.now_ns()
        if connection.left:
            piece = data[: connection.left]
            data = data[len(piece) :]
            connection.left -= len(piece)
            connection.last2 = (connection.last2 + piece[-2:])[-2:]
            stream.push(piece)
            if connection.left == 0:
                if connection.last2 != resp.CRLF:  # the value's length was not its length
                    self.dispatcher.log.often(
                        "cut", f"a value of {connection.server.address} without its end"
                    )
                    connection.abandon()
                    return
                stream.end(cut=False)
                connection.tail = resp.ReplyParser(limits)
            elif stream.pending > limits.written_bytes:
                connection.hold()
            elif len(piece) < limits.stream_piece_bytes:
                connection.pace(connection.heard_ns + limits.stream_pace_ns)
        if connection.left == 0 and data:
            tail = connection.tail
            connection.tail_parts += tail.feed(data)
            if len(connection.tail_parts) >= 2 or tail.error:
                parts = connection.tail_parts
                clean = len(parts) == 2 and tail.idle and not tail.error
                report = parts[1] if clean and type(parts[1]) is bytes else b""
                self._stream_over(connection, AttemptResult.OK, report)
                if clean and connection.whole:
                    self._rest(connection)
                else:
                    connection.transport.abort()

    def _stalled(self, attempt: Attempt) -> None:
        """Guards against a backend server that falls silent in the middle of a value: cut, as the client can
        tell, once its client's time is over and nothing came for long. What still comes is never cut."""
        attempt.deadline = None
        connection = attempt.connection
        if connection is None or connection.stream is None:
            return
        at = max(connection.heard_ns + self.dispatcher.limits.stream_stall_ns, attempt.session.give_up_ns)
        if at > self.dispatcher.now_ns() or connection.held:
            at = max(at, self.dispatcher.now_ns() + 1)
            attempt.deadline = self.dispatcher.deadlines.add(at, self._stalled, attempt)
            return
        self.dispatcher.log.often("cut", f"a value of {connection.server.address} that does not go on")
        connection.transport.abort()

    def stream_lost(self, connection: BackendConnection) -> None:
        stream = connection.stream
        whole = stream.whole
        if not whole:
            self.dispatcher.counters.streams_cut += 1
            where, short = connection.server.address, connection.left
            self.dispatcher.log.often("cut", f"a value of {where}: {short} bytes short")
            stream.end(cut=True)
        self._stream_over(connection, AttemptResult.OK if whole else AttemptResult.RESET)

    def _stream_over(self, connection: BackendConnection, result: AttemptResult, report: bytes = b"") -> None:
        attempt, connection.attempt, connection.stream = connection.attempt, None, None
        connection.held = False
        if attempt is None:
            return
        attempt.connection = None
        self.dispatcher.deadlines.drop(attempt.deadline)
        attempt.deadline = None
        self._report(
            attempt.session,
            attempt.number,
            attempt.server.id,
            result,
            self.dispatcher.now_ns() - attempt.sent_ns,
            report,
        )

    def answered(
        self, connection: BackendConnection, attempt: Attempt, reply: resp.Reply, alone: bool
    ) -> None:
        found, denial = resp.answer(reply), isinstance(reply, resp.ErrorLine)
        if (
            connection.whole
            and alone
            and (reply.startswith(DENIALS) if denial else found is not None or attempt.session is None)
        ):
            self._rest(connection)
        else:  # what is left to write, or came behind the answer, would confuse the next
            connection.transport.abort()
        attempt.connection = None
        if denial:
            word, _, rest = reply.partition(b" ")
            result = AttemptResult.REJECTED if word == BUSY else AttemptResult.ERROR
            report = rest.rpartition(b" ")[2]
            if result is AttemptResult.ERROR and not rest.startswith(b"failed"):
                self.dispatcher.log.often("backend", f"{attempt.server.address} says {bytes(reply[:80])!r}")
            self.finish(attempt, result, report=report)
        elif attempt.session is None:
            self.finish(attempt, AttemptResult.OK, report=reply if type(reply) is bytes else b"")
        elif found is not None:
            self.finish(attempt, AttemptResult.OK, *found)
        else:
            self.spoilt(attempt, f"not of the form agreed on: {str(reply)[:80]}")

    def finish(
        self, attempt: Attempt, result: AttemptResult, value: bytes = b"", report: bytes = b""
    ) -> None:
        """The one outcome of an attempt. A connection that still carries it is closed."""
        session = attempt.session
        if session is not None and self.attempts.pop((session.id, attempt.number), None) is None:
            return
        self.dispatcher.deadlines.drop(attempt.deadline)
        attempt.deadline = None
        attempt.server.queued.pop(attempt, None)
        if result is AttemptResult.REJECTED:
            attempt.may_have_run = False
        connection, attempt.connection = attempt.connection, None
        if connection is not None and connection.attempt is attempt:
            connection.drop()
        if session is not None and result is AttemptResult.OK:
            self.dispatcher.end(session, Answer(Kind.SERVED, value))
        latency = self.dispatcher.now_ns() - attempt.sent_ns
        self._report(session, attempt.number, attempt.server.id, result, latency, report)

    def _report(
        self,
        session: Session | None,
        number: int,
        backend: int,
        result: AttemptResult,
        latency: int,
        report: bytes = b"",
    ) -> None:
        figures = self._figures(report)
        if session is None:
            self.dispatcher.post(HealthCheckResult(backend, result, latency, figures))
            return
        session.last_result = result
        self.dispatcher.trace.note(self.dispatcher.now_ns(), Step.OUTCOME, session.call.id, result)
        name = COUNTERS[result]
        setattr(self.dispatcher.counters, name, getattr(self.dispatcher.counters, name) + 1)
        self.dispatcher.post(
            AttemptOutcome(session.id, number, backend, result, latency, session.over, 0, 0.0, figures)
        )

    def _figures(self, report: bytes) -> list[float]:
        """In the order of the settings; empty where the report is none. It may carry the names that the
        settings use on the wire, as the decoder of the settings puts them into plain ones."""
        if not report:
            return []
        try:
            pairs = [part.split("=", 1) for part in report.decode().split(",")]
            given = {FIELD_NAMES.get(name, name): value for name, value in pairs}
            figures = [float(given[name]) for name in self.settings.report_fields]
        except (ValueError, KeyError):
            return []
        return figures if all(0 <= x < math.inf for x in figures) else []  # also not where one is nan
