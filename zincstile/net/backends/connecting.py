"""Opening connections to backends, each for the attempt that waits for it."""

from __future__ import annotations

import asyncio
import errno
from typing import Final, Protocol

from ...decisions.messages import AttemptResult
from ..dispatcher import Dispatcher
from ..transient import is_exhaustion
from .attempt import Attempt
from .connection import BackendConnection, ConnectionOwner
from .pool import ConnectionPool

NS_PER_S: Final = 1e9


class AttemptSender(ConnectionOwner, Protocol):
    """Who sends an attempt on a connection that is up: `attempts.Attempts`."""

    def send(self, connection: BackendConnection, attempt: Attempt, *, reused: bool = False) -> None:
        """Writes the attempt's request."""
        ...


class Connector:
    """Opens connections. One task a new connection, none a request."""

    def __init__(self, dispatcher: Dispatcher, pool: ConnectionPool, sender: AttemptSender) -> None:
        """`sender` gets each connection that is up, and the attempts whose connection failed."""
        self.dispatcher = dispatcher
        self.pool = pool
        self.sender = sender
        self._tasks: set[asyncio.Task] = set()  # the loop alone would hold them weakly

    def connect(self, attempt: Attempt) -> None:
        """Opens a connection to the attempt's backend; the attempt is queued until it is up."""
        self.dispatcher.counters.connects += 1
        attempt.backend.queued[attempt] = None
        connection = BackendConnection(self.sender, attempt.backend, attempt)
        self.pool.add(connection)
        task = self.dispatcher.loop.create_task(self._open(attempt, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, attempt: Attempt, connection: BackendConnection) -> None:
        loop, limits = self.dispatcher.loop, self.dispatcher.limits
        try:
            async with asyncio.timeout(limits.connect_ns / NS_PER_S) as connection.connect_timeout:
                await loop.create_connection(lambda: connection, *attempt.backend.address)
        except (OSError, TimeoutError) as err:
            if connection.transport is None:
                connection.attempt = None
                never_asked = self._is_local_shortage(err)
                result = AttemptResult.NOT_SENT if never_asked else AttemptResult.CONNECT_FAILED
                self.sender.finish(attempt, result)
                self.pool.remove(connection)

    def _is_local_shortage(self, err: Exception) -> bool:
        """Whether this machine lacks something: no backend may be suspected for it, here or at peers."""
        local = is_exhaustion(err) or (isinstance(err, OSError) and err.errno == errno.EADDRNOTAVAIL)
        if local:
            self.dispatcher.log.line_limited("full", f"no connection to backend servers for now: {err}")
        return local

    def on_connected(self, connection: BackendConnection) -> None:
        """A connection is up: it carries its attempt, or becomes idle where that has ended meanwhile."""
        attempt = connection.attempt
        connection.attempt = None
        queued = connection.backend.queued
        if connection.connect_timeout.expired():  # just now: the task closes it next, whatever it carries
            if attempt in queued:
                self.sender.finish(attempt, AttemptResult.CONNECT_FAILED)
            return
        connection.connect_timeout.reschedule(None)  # else it may be closed beneath whatever is written to it
        if attempt not in queued:  # given up meanwhile; the connection serves another
            self.pool.add_idle(connection, unused=True)
            return
        session = attempt.session
        ended = session is not None and (
            session.ended or session.client.has_disconnected()
        )  # since the last batch
        if ended or self.dispatcher.now_ns() >= attempt.write_deadline_ns:
            result = AttemptResult.CANCELLED if ended else AttemptResult.CONNECT_FAILED
            self.sender.finish(attempt, result)
            self.pool.add_idle(connection, unused=True)
            return
        del queued[attempt]
        self.sender.send(connection, attempt)
