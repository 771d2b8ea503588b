"""The backend servers' side in RESP: their connections, and the attempts on them, one a connection.

An attempt is given up by closing its connection, which so hurts no other request. What has run and what never
did follows from whether the command's last byte was written, and from what came back.
"""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass, field

from .. import interface as i
from ..wire import FIELD_NAMES
from . import resp
from .deadlines import Key
from .session import Answer, Call, Kind, Session
from .turn import Turn

Result = i.Result
READ, WRITE = b"CALL.GET", b"CALL.POST"
BUSY = b"BUSY"
DENIALS = (BUSY, b"ERR failed")  # error lines after which the connection serves on
COUNTERS = {r: r.name.lower() for r in Result}


class Attempt:
    """One sending of a session's call; without a session, a probe."""

    __slots__ = ("session", "number", "server", "sent_ns", "until_ns", "deadline", "connection", "begun")

    def __init__(self, session: Session | None, number: int, server: BackendServer, now: int,
                 until_ns: int) -> None:
        self.session, self.number, self.server = session, number, server
        self.sent_ns, self.until_ns = now, until_ns
        self.deadline: Key | None = None
        self.connection: BackendConnection | None = None
        self.begun = False  # its first byte may be on its way


@dataclass(slots=True, eq=False)
class BackendServer:
    """One line of the server table, and our connections to it."""

    id: int
    address: tuple[str, int]
    started_ns: int
    ready: bool
    resting: list[BackendConnection] = field(default_factory=list)  # the last used comes last
    queued: dict[Attempt, None] = field(default_factory=dict)  # wait for a connection of their own


class BackendConnection(asyncio.BufferedProtocol):
    __slots__ = ("pools", "server", "transport", "attempt", "rested_ns", "heard_ns", "_parser", "_unwritten",
                 "_half", "_kept")

    def __init__(self, pools: Backends, server: BackendServer, attempt: Attempt | None) -> None:
        self.pools, self.server, self.attempt = pools, server, attempt
        self.transport: asyncio.Transport | None = None
        self.rested_ns = 0
        self.heard_ns = 0  # when the answer that is not whole yet last went on
        self._parser = resp.ReplyParser(pools.turn.limits)
        self._unwritten = False  # part of a command has not left this process
        self._half = False  # part of an answer has come
        self._kept = False  # it has carried another attempt before

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(high=0)  # so that the end of each command's writing is told
        self.pools.connected(self)

    def carry(self, attempt: Attempt, kept: bool = False) -> None:
        self._kept = kept
        self.attempt, attempt.connection, attempt.begun = attempt, self, True
        self._half = False
        self.transport.write(self.pools.encode(attempt))

    @property
    def whole(self) -> bool:
        """The command's last byte is written."""
        return not self._unwritten

    @property
    def quiet(self) -> bool:
        """Nothing came since it rests, not even its end. Guards against taking what came late behind an
        answer for the next one's, and against a reset where the backend server has closed it."""
        return not self.transport.is_closing() and not self.pools.turn.readable(self.transport)

    def pause_writing(self) -> None:
        self._unwritten = True

    def resume_writing(self) -> None:
        self._unwritten = False

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.pools.buffer

    def buffer_updated(self, size: int) -> None:
        attempt, parser, pools = self.attempt, self._parser, self.pools
        replies = parser.feed(bytes(pools.buffer[:size]))
        if attempt is None:
            pools.turn.log.often("backend", f"{self.server.address} sent what nobody asked for")
            self.transport.abort()
        elif replies:  # the first is the answer, whatever came behind it
            self.attempt = None
            pools.answered(self, attempt, replies[0], len(replies) == 1 and parser.idle and not parser.error)
        elif parser.error:
            pools.spoilt(attempt, parser.error)
        else:
            self.heard_ns = pools.turn.now_ns()
            if not self._half:
                self._half = True
                pools.begun(attempt)

    def eof_received(self) -> None:
        return None

    def connection_lost(self, err: Exception | None) -> None:
        attempt, self.attempt = self.attempt, None
        self.pools.lost(self)
        if attempt is not None:
            broken = Result.STALE if self._kept and self._parser.idle else Result.RESET
            self.pools.finish(attempt, broken if self.whole else Result.CONNECT_FAILED)

    def drop(self) -> None:
        self.attempt = None
        self.transport.abort()


class Backends:
    """All backend servers, their pools, and the attempts that are out."""

    def __init__(self, turn: Turn, settings: i.Settings, buffer: memoryview) -> None:
        self.turn, self.settings, self.buffer = turn, settings, buffer
        self.servers: dict[int, BackendServer] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.connections: set[BackendConnection] = set()  # those on their way included
        self.closing = False
        self._tasks: set[asyncio.Task] = set()
        turn.carry_out[i.Send] = self._send
        turn.carry_out[i.Cancel] = self._cancel
        turn.carry_out[i.Probe] = self._probe
        turn.carry_out[i.Close] = self._close
        self._tend(None)

    # ---- the server table

    def update(self, entries: list[tuple[i.Backend, tuple[str, int]]], whole: bool) -> None:
        if whole:
            named = {b.id for b, _ in entries}
            for server in [s for s in self.servers.values() if s.id not in named]:
                self._forget(server)
        for b, address in entries:
            server = self.servers.get(b.id)
            if b.mode is i.Mode.GONE:
                if server is not None:
                    self._forget(server)
                continue
            if server is not None and (server.address, server.started_ns) != (address, b.started_ns):
                self._forget(server)  # another process: the old one's connections lead nowhere
                server = None
            if server is None:
                server = self.servers[b.id] = BackendServer(b.id, address, b.started_ns, True)
            server.ready = b.mode is i.Mode.READY
            if not server.ready:
                self._withdraw(server)

    def _forget(self, server: BackendServer) -> None:
        server.ready = False
        self._withdraw(server)
        del self.servers[server.id]

    def _withdraw(self, server: BackendServer) -> None:
        """Guards rule 3: what still waits for a connection is not begun once the server drains or is gone,
        nor at a restarted one, which is cold."""
        for attempt in list(server.queued):
            self.finish(attempt, Result.CONNECT_FAILED)
        self._close_resting(server)

    # ---- actions

    def _send(self, now: int, action: i.Send) -> None:
        session = self.turn.sessions.get(action.request) or self.turn.over.get(action.request)
        if session is None:
            return
        number, session.attempts = session.attempts, session.attempts + 1
        if session.over:
            # Guards against an attempt that the module takes for out for good: the client left, or was
            # answered, in the very turn in which a further attempt was decided on.
            self._report(session, number, action.backend, Result.MOOT, 0)
            return
        self._launch(now, session, number, action.backend, min(action.until_ns, session.give_up_ns),
                     action.fresh)

    def _launch(self, now: int, session: Session | None, number: int, backend: int, until_ns: int,
                fresh: bool = False) -> None:
        server = self.servers.get(backend)
        if server is None or not server.ready or until_ns <= now:
            self._report(session, number, backend, Result.MOOT, 0)
            return
        attempt = Attempt(session, number, server, now, until_ns)
        if session is not None:
            self.attempts[session.id, number] = attempt
        if fresh and server.resting:  # in place of the one that rested longest, so that they don't add up
            server.resting.pop(0).transport.close()
        while server.resting and not fresh:
            connection = server.resting.pop()
            if connection.quiet:
                self._limit(attempt, until_ns)
                connection.carry(attempt, True)
                return
            connection.transport.abort()
        if len(self.connections) >= self.turn.limits.backend_connections and not self._make_room():
            # Guards against running out of descriptors: it was never sent, and is nobody's fault over there.
            self.turn.log.often("full", f"{len(self.connections)} backend connections: no more for now")
            self.finish(attempt, Result.MOOT)
            return
        self._limit(attempt, min(until_ns, now + self.turn.limits.connect_ns))
        self._connect(attempt)

    def _limit(self, attempt: Attempt, at_ns: int) -> None:
        self.turn.deadlines.drop(attempt.deadline)
        attempt.deadline = self.turn.deadlines.add(at_ns, self._late, attempt)

    def _late(self, attempt: Attempt) -> None:
        """Not whole by now: it never ran, as the rest is never written."""
        attempt.deadline = None
        whole = attempt.begun and attempt.connection is not None and attempt.connection.whole
        self.finish(attempt, Result.TIMEOUT if whole else Result.CONNECT_FAILED)

    def _cancel(self, _: int, action: i.Cancel) -> None:
        attempt = self.attempts.get((action.request, action.attempt))
        if attempt is not None:
            self.finish(attempt, Result.CANCELLED)

    def _probe(self, now: int, action: i.Probe) -> None:
        self._launch(now, None, 0, action.backend, now + self.turn.limits.connect_ns)

    def _close(self, _: int, action: i.Close) -> None:
        server = self.servers.get(action.backend)
        if server is not None:
            self._close_resting(server)

    # ---- connections

    def _connect(self, attempt: Attempt) -> None:
        self.turn.counters.connects += 1
        attempt.server.queued[attempt] = None
        connection = BackendConnection(self, attempt.server, attempt)
        self.connections.add(connection)
        task = self.turn.loop.create_task(self._open(attempt, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, attempt: Attempt, connection: BackendConnection) -> None:
        """One task a new connection, none a request."""
        try:
            async with asyncio.timeout(self.turn.limits.connect_ns / 1e9):
                await self.turn.loop.create_connection(lambda: connection, *attempt.server.address)
        except (OSError, TimeoutError):
            if connection.transport is None:
                self.connections.discard(connection)
                connection.attempt = None
                self.finish(attempt, Result.CONNECT_FAILED)

    def connected(self, connection: BackendConnection) -> None:
        attempt, server = connection.attempt, connection.server
        connection.attempt = None
        if attempt not in server.queued:  # given up meanwhile; the connection serves another
            self._rest(connection)
            return
        del server.queued[attempt]
        self._limit(attempt, attempt.until_ns)
        connection.carry(attempt)

    def _rest(self, connection: BackendConnection) -> None:
        server = connection.server
        if self.closing or self.servers.get(server.id) is not server or not server.ready:
            connection.transport.close()
            return
        connection.rested_ns = self.turn.now_ns()
        server.resting.append(connection)

    def lost(self, connection: BackendConnection) -> None:
        self.connections.discard(connection)
        if connection in connection.server.resting:
            connection.server.resting.remove(connection)

    def _close_resting(self, server: BackendServer) -> None:
        resting, server.resting = server.resting, []
        for connection in resting:
            connection.transport.close()

    def _make_room(self) -> bool:
        """Closes the connection that has rested longest at any backend server."""
        resting = [s.resting[0] for s in self.servers.values() if s.resting]
        if not resting:
            return False
        oldest = min(resting, key=lambda c: c.rested_ns)
        oldest.server.resting.remove(oldest)
        oldest.transport.close()
        return True

    def _tend(self, _: object) -> None:
        """Closes what has rested long, before the backend server does it beneath a request."""
        now, limits = self.turn.now_ns(), self.turn.limits
        for server in self.servers.values():
            while server.resting and now - server.resting[0].rested_ns > limits.idle_ns:
                server.resting.pop(0).transport.close()
        self.turn.deadlines.add(now + limits.idle_ns // 8, self._tend)

    def shut(self) -> None:
        self.closing = True
        for server in self.servers.values():
            self._close_resting(server)

    # ---- outcomes

    def encode(self, attempt: Attempt) -> bytes:
        if attempt.session is None:
            return resp.command([b"INFO", b"load"])
        call: Call = attempt.session.call
        wait_ms = max(1, (attempt.until_ns - self.turn.now_ns()) // 1_000_000)
        fields = call.fields.copy()
        fields[call.wait_at] = b"d=%d" % wait_ms
        words = [READ if call.repeatable else WRITE, call.customer, call.id, b",".join(fields)]
        if call.body is not None:
            words.append(call.body)
        self.turn.counters.attempts += 1
        return resp.command(words)

    def begun(self, attempt: Attempt) -> None:
        """Guards against an answer that stops halfway, as one does whose length is more than what comes."""
        at = attempt.connection.heard_ns + self.turn.limits.answer_ns
        if at < attempt.until_ns:
            self.turn.deadlines.drop(attempt.deadline)
            attempt.deadline = self.turn.deadlines.add(at, self._cut, attempt)
            self.turn.wake()

    def _cut(self, attempt: Attempt) -> None:
        attempt.deadline = None
        if attempt.connection.heard_ns + self.turn.limits.answer_ns > self.turn.now_ns():
            self._limit(attempt, attempt.until_ns)
            self.begun(attempt)  # it has gone on since
        else:
            self.spoilt(attempt, "it does not go on")

    def spoilt(self, attempt: Attempt, why: str) -> None:
        """It ran. The connection is of no further use."""
        self.turn.log.often("spoilt", f"answer of {attempt.server.address}: {why}")
        self.finish(attempt, Result.SPOILT)

    def answered(self, connection: BackendConnection, attempt: Attempt, reply: resp.Reply,
                 alone: bool) -> None:
        found, denial = resp.answer(reply), isinstance(reply, resp.ErrorLine)
        if connection.whole and alone and (
                reply.startswith(DENIALS) if denial else found is not None or attempt.session is None):
            self._rest(connection)
        else:  # what is left to write, or came behind the answer, would confuse the next
            connection.transport.abort()
        attempt.connection = None
        if denial:
            word, _, rest = reply.partition(b" ")
            result = Result.FULL if word == BUSY else Result.ERROR
            report = rest.rpartition(b" ")[2]
            if result is Result.ERROR and not rest.startswith(b"failed"):
                self.turn.log.often("backend", f"{attempt.server.address} says {bytes(reply[:80])!r}")
            self.finish(attempt, result, report=report)
        elif attempt.session is None:
            self.finish(attempt, Result.OK, report=reply if type(reply) is bytes else b"")
        elif found is not None:
            self.finish(attempt, Result.OK, *found)
        else:
            self.spoilt(attempt, f"not of the form agreed on: {str(reply)[:80]}")

    def finish(self, attempt: Attempt, result: Result, value: bytes = b"", report: bytes = b"") -> None:
        """The one outcome of an attempt. A connection that still carries it is closed."""
        session = attempt.session
        if session is not None and self.attempts.pop((session.id, attempt.number), None) is None:
            return
        self.turn.deadlines.drop(attempt.deadline)
        attempt.deadline = None
        attempt.server.queued.pop(attempt, None)
        connection, attempt.connection = attempt.connection, None
        if connection is not None and connection.attempt is attempt:
            connection.drop()
        if session is not None and result is Result.OK:
            self.turn.end(session, Answer(Kind.SERVED, value))
        latency = self.turn.now_ns() - attempt.sent_ns
        self._report(session, attempt.number, attempt.server.id, result, latency, report)

    def _report(self, session: Session | None, number: int, backend: int, result: Result, latency: int,
                report: bytes = b"") -> None:
        figures = self._figures(report)
        if session is None:
            self.turn.post(i.Probed(backend, result, latency, figures))
            return
        name = COUNTERS[result]
        setattr(self.turn.counters, name, getattr(self.turn.counters, name) + 1)
        self.turn.post(i.Outcome(session.id, number, backend, result, latency, session.over, 0, 0.0, figures))

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
