"""Connections taken from a listening socket's queue, on their way to their protocol. Every door has one."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from .turn import Turn


class Acceptor:
    def __init__(self, turn: Turn, protocol: Callable[[], asyncio.BaseProtocol]) -> None:
        self.turn, self.protocol = turn, protocol
        self.coming = 0  # accepted, and not at their protocol yet: they hold descriptors too
        self._tasks: set[asyncio.Task] = set()

    def take(self, listening: socket.socket) -> bool:
        """Takes one; False where there is none, or none can be had for now."""
        try:
            connection, _ = listening.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False
        except OSError as err:
            self.turn.log.often("accept", f"failed: {err.strerror}")
            return False
        connection.setblocking(False)
        self.coming += 1
        task = self.turn.loop.create_task(self._welcome(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def _welcome(self, connection: socket.socket) -> None:
        try:
            await self.turn.loop.connect_accepted_socket(self.protocol, connection)
        except OSError:
            connection.close()
        finally:
            self.coming -= 1
