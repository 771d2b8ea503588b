"""Streams a large value from one backend connection to one client connection.

A value that is the only pending answer of its connection is forwarded as it arrives, and only bytes that the
client has not read yet are kept in memory. If other requests wait behind it, the value is buffered until it
is complete, since nothing can be answered on a connection behind a value that was cut off.
"""

from __future__ import annotations

from typing import Protocol

from .limits import Limits
from .value_memory import ForwardingWindow, Reservation


class StreamSource(Protocol):
    """The backend connection from which the value is read."""

    def on_taken(self) -> None:
        """The sink has taken all pushed chunks: more may be read."""
        ...

    def abandon(self) -> None:
        """The client has disconnected: the remaining value is not needed."""
        ...


class StreamSink(Protocol):
    """The client connection to which the value is written."""

    def on_stream_progress(self) -> None:
        """The stream has more bytes to write, or has ended."""
        ...


class ValueStream:
    """The chunks of one value between a source, which pushes them, and a sink, which takes them.

    The source ends the stream: the value is then `complete`, or `truncated` if part of it is missing.
    """

    __slots__ = (
        "_chunks",
        "pending_bytes",
        "complete",
        "truncated",
        "started",
        "reservation",
        "_window",
        "_source",
        "sink",
    )

    def __init__(self, source: StreamSource) -> None:
        """`source` pushes the chunks."""
        self._chunks: list[bytes] = []
        self.pending_bytes = 0  # pushed and not yet taken
        self.complete = False
        self.truncated = False
        self.started = False  # its first chunks were taken
        self.reservation: Reservation | None = None  # of the memory for a value that is buffered
        self._window: ForwardingWindow | None = None  # while the value is forwarded
        self._source = source
        self.sink: StreamSink | None = None  # None until the answer is given to the client connection

    def forward_within(self, window: ForwardingWindow) -> None:
        """The value is forwarded from now on, read ahead of its client by the window at most."""
        if self._window is None:
            self._window = window
            window.open()

    def window_bytes(self, limits: Limits) -> int:
        """Returns how much may be pending, and how much is taken at once."""
        if self._window is None:
            return limits.unread_answer_bytes
        return self._window.size_bytes(limits.forwarded_value_bytes, limits.unread_answer_bytes)

    def _close_window(self) -> None:
        if self._window is not None:
            self._window.close()
            self._window = None

    def push(self, data: bytes) -> None:
        """Appends a chunk."""
        self._chunks.append(data)
        self.pending_bytes += len(data)
        self._notify_sink()

    def end(self, *, truncated: bool) -> None:
        """Ends the stream; later calls change nothing."""
        if not self.complete and not self.truncated:
            self.complete = not truncated
            self.truncated = truncated
            self._notify_sink()

    def take(self, max_bytes: int) -> list[bytes]:
        """Removes and returns the first chunks, up to the one that reaches `max_bytes`."""
        count = taken_bytes = 0
        while count < len(self._chunks) and taken_bytes < max_bytes:
            taken_bytes += len(self._chunks[count])
            count += 1
        chunks, self._chunks = self._chunks[:count], self._chunks[count:]
        self.pending_bytes -= taken_bytes
        self.started = self.started or bool(chunks)
        self.release_taken()
        if not self.complete:
            self._source.on_taken()
        elif not self.pending_bytes:
            self._close_window()
        return chunks

    def release_taken(self) -> None:
        """Returns the reserved memory that no chunk needs any more."""
        if self.reservation is not None:
            self.reservation.shrink(self.pending_bytes)

    def discard(self) -> None:
        """Drops all chunks: nobody will take them."""
        self._chunks = []
        self.pending_bytes = 0
        self.release_taken()
        self._close_window()

    def abandon(self) -> None:
        """The client has disconnected: notifies the source unless the stream has ended."""
        self.discard()
        if not self.complete and not self.truncated:
            self.truncated = True
            self._source.abandon()

    def _notify_sink(self) -> None:
        if self.sink is not None:
            self.sink.on_stream_progress()
