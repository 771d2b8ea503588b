"""Accepts connections from a listening socket's queue and hands each to its protocol."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from enum import Enum

from .dispatcher import Dispatcher
from .transient import is_exhaustion


class AcceptResult(Enum):
    """What came of one look into the queue."""

    ACCEPTED = "a connection was accepted"
    QUEUE_EMPTY = "no connection waits"
    FAILED = "this one could not be accepted; others may wait behind it"  # accept(2): try again
    EXHAUSTED = "the machine has no descriptor or memory for it: it stays in the queue"


class Acceptor:
    """Accepts the connections of one listening socket."""

    def __init__(self, dispatcher: Dispatcher, protocol: Callable[[], asyncio.BaseProtocol]) -> None:
        """`protocol` makes the protocol of each connection."""
        self._dispatcher = dispatcher
        self._protocol = protocol
        self._tasks: set[asyncio.Task] = set()
        self.pending = 0  # accepted and not at their protocol yet: they hold descriptors too

    def accept(self, listening: socket.socket) -> AcceptResult:
        """Accepts one connection, if one waits."""
        try:
            connection, _ = listening.accept()
        except BlockingIOError:
            return AcceptResult.QUEUE_EMPTY
        except InterruptedError:
            return AcceptResult.FAILED
        except OSError as err:
            self._dispatcher.log.line_limited("accept", f"failed: {err.strerror}")
            return AcceptResult.EXHAUSTED if is_exhaustion(err) else AcceptResult.FAILED
        connection.setblocking(False)
        self.pending += 1
        task = self._dispatcher.loop.create_task(self._connect(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return AcceptResult.ACCEPTED

    async def _connect(self, connection: socket.socket) -> None:
        try:
            await self._dispatcher.loop.connect_accepted_socket(self._protocol, connection)
        except OSError:
            connection.close()
        finally:
            self.pending -= 1
