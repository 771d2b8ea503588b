"""A large value on its way from one backend connection to one client connection.

Its first bytes go out at once, and no more of it is in memory than the client has not read yet.
"""

from __future__ import annotations

from typing import Protocol


class StreamSource(Protocol):
    """The backend connection that the value is read from."""

    def on_taken(self) -> None:
        """The client's side has taken what was pushed: more may be read."""
        ...

    def abandon(self) -> None:
        """The client has left: the rest of the value is of no use."""
        ...


class StreamSink(Protocol):
    """The client connection that the value is written to."""

    def on_stream_progress(self) -> None:
        """The stream has more to write, or has come to its end."""
        ...


class ValueStream:
    """The pieces of one value between a source, which pushes them, and a sink, which takes them.

    The source marks the end: the value is then `complete`, or `truncated` where its rest can't be had.
    """

    __slots__ = ("_pieces", "pending_bytes", "complete", "truncated", "_source", "sink")

    def __init__(self, source: StreamSource) -> None:
        """`source`: where the pieces come from."""
        self._pieces: list[bytes] = []
        self.pending_bytes = 0  # pushed and not yet taken
        self.complete = False
        self.truncated = False
        self._source = source
        self.sink: StreamSink | None = None  # none until the client connection is known

    def push(self, data: bytes) -> None:
        """Adds a piece behind the ones before it."""
        self._pieces.append(data)
        self.pending_bytes += len(data)
        self._notify_sink()

    def end(self, *, truncated: bool) -> None:
        """Marks the end; the first mark stands."""
        if not self.complete and not self.truncated:
            self.complete = not truncated
            self.truncated = truncated
            self._notify_sink()

    def take(self) -> list[bytes]:
        """Gives the pieces pushed since the last call, for the caller to write."""
        pieces = self._pieces
        self._pieces = []
        self.pending_bytes = 0
        self._source.on_taken()
        return pieces

    def abandon(self) -> None:
        """The client has left: notifies the source, unless the value had ended."""
        if not self.complete and not self.truncated:
            self.truncated = True
            self._source.abandon()

    def _notify_sink(self) -> None:
        if self.sink is not None:
            self.sink.on_stream_progress()
