"""One connection to a backend server, the attempt that it carries, and the server that it leads to.

It reads and writes; what comes of it is told to `Backends` (`net/backend`), which owns all of them.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Protocol

from ..decisions.messages import AttemptResult, EndpointEntry
from . import resp
from .deadlines import Key
from .dispatcher import Dispatcher
from .session import Session, Stream


class Owner(Protocol):
    """What a connection tells of itself: `Backends`, which hears it in this order."""

    dispatcher: Dispatcher
    buffer: memoryview

    def connected(self, connection: BackendConnection) -> None: ...
    def encode(self, attempt: Attempt) -> bytes: ...
    def written(self, attempt: Attempt) -> None: ...
    def begun(self, attempt: Attempt) -> None: ...
    def answered(
        self, connection: BackendConnection, attempt: Attempt, reply: resp.Reply, alone: bool
    ) -> None: ...
    def spoilt(self, attempt: Attempt, why: str) -> None: ...
    def stream_begin(
        self, connection: BackendConnection, attempt: Attempt, size: int, data: bytes
    ) -> None: ...
    def streaming(self, connection: BackendConnection, data: bytes) -> None: ...
    def stream_lost(self, connection: BackendConnection) -> None: ...
    def lost(self, connection: BackendConnection) -> None: ...
    def finish(self, attempt: Attempt, result: AttemptResult) -> None: ...


class Attempt:
    """One sending of a session's call; without a session, a probe."""

    __slots__ = (
        "session",
        "number",
        "server",
        "sent_ns",
        "until_ns",
        "by_ns",
        "deadline",
        "connection",
        "begun",
        "may_have_run",
    )

    def __init__(
        self, session: Session | None, number: int, server: BackendServer, now: int, until_ns: int, by_ns: int
    ) -> None:
        self.session, self.number, self.server = session, number, server
        self.sent_ns, self.until_ns = now, until_ns
        self.by_ns = by_ns  # its last byte is written by then, or never
        self.deadline: Key | None = None
        self.connection: BackendConnection | None = None
        self.begun = False  # its first byte may be on its way
        self.may_have_run = False  # its last byte is written, and it was not turned away


@dataclass(slots=True, eq=False)
class BackendServer:
    """One process that the endpoint table lists, while there is a connection to it."""

    id: int
    address: tuple[str, int]
    started_ns: int
    ready: bool
    resting: list[BackendConnection] = field(default_factory=list)  # the last used comes last
    queued: dict[Attempt, None] = field(default_factory=dict)  # wait for a connection of their own
    connections: int = 0  # those on their way included
    backend: EndpointEntry | None = None  # as it is listed

    def settled(self, now: int) -> BackendConnection | None:
        """The one used last of those on which nothing more can come behind their last answer. Guards
        against taking a second answer, which may come some milliseconds late, for the next request's."""
        for connection in reversed(self.resting):
            if connection.settled_ns <= now:
                return connection
        return None


class BackendConnection(asyncio.BufferedProtocol):
    __slots__ = (
        "pools",
        "server",
        "transport",
        "attempt",
        "rested_ns",
        "settled_ns",
        "heard_ns",
        "_parser",
        "_unwritten",
        "_half",
        "_kept",
        "_decided",
        "stream",
        "left",
        "last2",
        "tail",
        "tail_parts",
        "held",
        "paced",
        "dial",
    )

    def __init__(self, pools: Owner, server: BackendServer, attempt: Attempt | None) -> None:
        self.pools, self.server, self.attempt = pools, server, attempt
        self.transport: asyncio.Transport | None = None
        self.rested_ns = 0
        self.settled_ns = 0  # from when it may carry another attempt
        self.heard_ns = 0  # when the answer that is not whole yet last went on
        self._parser = resp.ReplyParser(pools.dispatcher.limits)
        self._unwritten = False  # part of a command has not left this process
        self._half = False  # part of an answer has come
        self._kept = False  # it has carried another attempt before
        self._decided = False  # whether the answer is passed on as it comes is known
        self.stream: Stream | None = None  # the value that is passed on as it comes
        self.left = 0  # bytes of it still to come, through the end of its line
        self.last2 = b""  # the last two bytes of it that came
        self.tail: resp.ReplyParser | None = None  # what comes behind it: the figures and the load report
        self.tail_parts: list[resp.Reply] = []
        self.held = False  # not read while the client has not taken what came
        self.paced = False  # not read for a while, so that small pieces come together
        self.dial: asyncio.Timeout | None = None  # how long it may take to come up

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(high=0)  # so that the end of each command's writing is told
        self.pools.connected(self)

    def carry(self, attempt: Attempt, kept: bool = False) -> None:
        self._kept = kept
        self.attempt, attempt.connection, attempt.begun = attempt, self, True
        self._half = self._decided = False
        self.transport.write(self.pools.encode(attempt))
        attempt.may_have_run = not self._unwritten

    @property
    def whole(self) -> bool:
        """The command's last byte is written."""
        return not self._unwritten

    @property
    def quiet(self) -> bool:
        """Nothing came since it rests, not even its end. Guards against taking what came late behind an
        answer for the next one's, and against a reset where the backend server has closed it."""
        return not self.transport.is_closing() and not self.pools.dispatcher.readable(self.transport)

    def pause_writing(self) -> None:
        self._unwritten = True

    def resume_writing(self) -> None:
        self._unwritten = False
        if self.attempt is not None:
            self.attempt.may_have_run = True
            self.pools.written(self.attempt)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.pools.buffer

    def buffer_updated(self, size: int) -> None:
        attempt, parser, pools = self.attempt, self._parser, self.pools
        data = bytes(pools.buffer[:size])
        if self.stream is not None:
            pools.streaming(self, data)
            return
        if not self._decided and attempt is not None and attempt.session is not None:
            kept = parser.kept()
            head = resp.stream_head(kept[:16] + data[:16], pools.dispatcher.limits.stream_bytes)
            self._decided = head is None
            if head is not None and head[0]:
                self._parser = resp.ReplyParser(pools.dispatcher.limits)
                pools.stream_begin(self, attempt, head[0], (kept + data)[head[1] :])
                return
        replies = parser.feed(data)
        if attempt is None:
            pools.dispatcher.log.often("backend", f"{self.server.address} sent what nobody asked for")
            self.transport.abort()
        elif replies:  # the first is the answer, whatever came behind it
            self.attempt = None
            pools.answered(self, attempt, replies[0], len(replies) == 1 and parser.idle and not parser.error)
        elif parser.error:
            pools.spoilt(attempt, parser.error)
        else:
            self.heard_ns = pools.dispatcher.now_ns()
            if not self._half:
                self._half = True
                pools.begun(attempt)

    def eof_received(self) -> None:
        return None

    def hold(self) -> None:
        if not self.held:
            self.held = True
            if not self.paced:
                self.transport.pause_reading()

    def more(self) -> None:
        """The client took what came of the value."""
        if self.held:
            self.held = False
            self._resume()

    def pace(self, until_ns: int) -> None:
        """Guards the CPU against a value in many small pieces: each read costs a turn, so what comes is left
        to gather in the socket for a while. The first bytes have gone on by then."""
        if not self.paced:
            self.paced = True
            self.transport.pause_reading()
            self.pools.dispatcher.deadlines.add(until_ns, self._paced)

    def _paced(self, _: object) -> None:
        if self.paced:
            self.paced = False
            self._resume()

    def _resume(self) -> None:
        if not self.held and not self.paced and not self.transport.is_closing():
            self.transport.resume_reading()

    def abandon(self) -> None:
        """The client left before the value was whole."""
        if not self.transport.is_closing():
            self.transport.abort()

    def connection_lost(self, err: Exception | None) -> None:
        if self.stream is not None:
            self.pools.stream_lost(self)
        attempt, self.attempt = self.attempt, None
        self.pools.lost(self)
        if attempt is not None:
            broken = (
                AttemptResult.STALE_CONNECTION if self._kept and self._parser.idle else AttemptResult.RESET
            )
            self.pools.finish(attempt, broken if self.whole else AttemptResult.CONNECT_FAILED)

    def drop(self) -> None:
        self.attempt = None
        self.transport.abort()
