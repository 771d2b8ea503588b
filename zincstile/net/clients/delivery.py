"""How far a client has received what was written to its connection.

A client that reads slowly, but without a pause, makes progress even while the write buffer of the process
stands still: the system takes more of that buffer only once a large part of its own is free. So progress is
what the client's machine has acknowledged.
"""

from __future__ import annotations

import asyncio

from ..dispatcher import Dispatcher


class DeliveryMonitor:
    """Tracks the delivery of the output of one connection, and when it last made progress."""

    __slots__ = ("complete", "progress_ns", "_delivered_bytes", "_dispatcher", "_transport", "_written_bytes")

    def __init__(self, dispatcher: Dispatcher, transport: asyncio.Transport) -> None:
        """Starts without output."""
        self._dispatcher = dispatcher
        self._transport = transport
        self._written_bytes = 0
        self._delivered_bytes = 0  # at the last update
        self.complete = True  # at the last update, and nothing was written since
        self.progress_ns = 0  # when the last progress was seen, or the first write after completion

    def on_written(self, size_bytes: int) -> None:
        """Records output that was handed to the transport."""
        self._written_bytes += size_bytes
        if self.complete:
            self.complete = False
            self.progress_ns = self._dispatcher.now_ns()

    def update(self) -> bool:
        """Looks for progress since the last update; returns True if the client has received all output."""
        if self.complete:
            return True
        undelivered_bytes = self.undelivered_bytes
        delivered_bytes = self._written_bytes - undelivered_bytes
        self.complete = not undelivered_bytes
        if self.complete or delivered_bytes > self._delivered_bytes:
            self.progress_ns = self._dispatcher.now_ns()
        self._delivered_bytes = delivered_bytes
        return self.complete

    @property
    def undelivered_bytes(self) -> int:
        """The output that the process or its system still holds for the client."""
        unsent_bytes = self._transport.get_write_buffer_size()
        return unsent_bytes + self._dispatcher.unacknowledged_bytes(self._transport)
