"""Accepts connections from a listening socket and connects each to a protocol."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from enum import Enum

from .dispatcher import Dispatcher
from .transient import is_exhaustion


class AcceptResult(Enum):
    """The result of one call of accept(2)."""

    ACCEPTED = "a connection was accepted"
    QUEUE_EMPTY = "no connection is queued"
    FAILED = "this connection could not be accepted; others may be queued after it"  # accept(2): try again
    EXHAUSTED = "no descriptor or memory is available; the connection stays in the queue"


class Acceptor:
    """Accepts the connections of one listening socket."""

    def __init__(self, dispatcher: Dispatcher, make_protocol: Callable[[], asyncio.BaseProtocol]) -> None:
        """`make_protocol` is called for each connection."""
        self._dispatcher = dispatcher
        self._make_protocol = make_protocol
        self._tasks: set[asyncio.Task] = set()
        self.pending = 0  # accepted but not connected to a protocol yet; each has a descriptor

    def accept(self, listening_socket: socket.socket) -> AcceptResult:
        """Accepts one connection if one is queued."""
        try:
            connection, _ = listening_socket.accept()
        except BlockingIOError:
            return AcceptResult.QUEUE_EMPTY
        except InterruptedError:
            return AcceptResult.FAILED
        except OSError as err:
            self._dispatcher.log.line_limited("accept", f"failed: {err.strerror}")
            return AcceptResult.EXHAUSTED if is_exhaustion(err) else AcceptResult.FAILED
        connection.setblocking(False)
        self.pending += 1
        task = self._dispatcher.loop.create_task(self._connect_transport(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return AcceptResult.ACCEPTED

    async def _connect_transport(self, connection: socket.socket) -> None:
        try:
            await self._dispatcher.loop.connect_accepted_socket(self._make_protocol, connection)
        except OSError:
            connection.close()
        finally:
            self.pending -= 1
