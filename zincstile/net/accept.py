"""Connections taken from a listening socket's queue, on their way to their protocol. Every door has one."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from enum import Enum

from .dispatcher import Dispatcher
from .transient import is_lack


class Taken(Enum):
    """What came of one look into the queue."""

    ONE = "a connection was taken"
    NONE = "the queue is empty"
    FAILED = "this one could not be had; others may wait behind it"  # accept(2): try again
    LACK = "the machine has no descriptor or memory for one: it waits on"


class Acceptor:
    """Takes connections for one listening socket."""

    def __init__(self, dispatcher: Dispatcher, protocol: Callable[[], asyncio.BaseProtocol]) -> None:
        self.dispatcher, self.protocol = dispatcher, protocol
        self.coming = 0  # accepted, and not at their protocol yet: they hold descriptors too
        self._tasks: set[asyncio.Task] = set()

    def take(self, listening: socket.socket) -> Taken:
        """Takes one."""
        try:
            connection, _ = listening.accept()
        except BlockingIOError:
            return Taken.NONE
        except InterruptedError:
            return Taken.FAILED
        except OSError as err:
            self.dispatcher.log.often("accept", f"failed: {err.strerror}")
            return Taken.LACK if is_lack(err) else Taken.FAILED
        connection.setblocking(False)
        self.coming += 1
        task = self.dispatcher.loop.create_task(self._welcome(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return Taken.ONE

    async def _welcome(self, connection: socket.socket) -> None:
        try:
            await self.dispatcher.loop.connect_accepted_socket(self.protocol, connection)
        except OSError:
            connection.close()
        finally:
            self.coming -= 1
