"""The pending answers of one client connection, in the order of its commands."""

from __future__ import annotations

from collections import deque

from ..session import Session
from ..value_stream import ValueStream


class AnswerQueue:
    """Keeps each answer until all earlier ones are written."""

    __slots__ = ("pending", "truncated", "_ready")

    def __init__(self) -> None:
        """Starts empty."""
        # Sessions, and answers that need no session, in the order of the commands
        self.pending: deque[Session | bytes] = deque()
        self.truncated = False  # the stream at the head was cut off, so that nothing can follow it
        self._ready: list[bytes] = []  # to be written before anything pending

    def add(self, data: bytes) -> None:
        """Adds an answer that needs no session, after all pending answers."""
        if self.pending:
            self.pending.append(data)
        else:
            self._ready.append(data)

    def take_ready(self, *, include_streams: bool) -> list[bytes]:
        """Removes and returns all output that can be written now, in order.

        Of a stream, the chunks received so far are taken; none without `include_streams`, for a client that
        reads too slowly. Sets `truncated` if the stream was cut off.
        """
        pending, ready = self.pending, self._ready
        while pending:
            head = pending[0]
            reply = head if type(head) is bytes else head.reply
            if reply is None:
                break
            if type(reply) is not ValueStream:
                ready.append(reply)
            elif not include_streams:
                break
            else:
                ready += reply.take()
                if reply.truncated:
                    self.truncated = True
                    break
                if not reply.complete:
                    break
            pending.popleft()
        if ready:
            self._ready = []
        return ready

    @property
    def is_empty(self) -> bool:
        """Whether no answer is pending or waits to be written."""
        return not self.pending and not self._ready

    @property
    def starts_with_stream(self) -> bool:
        """Whether the next answer is a streamed value."""
        head = self.pending[0] if self.pending else None
        return isinstance(head, Session) and type(head.reply) is ValueStream

    def count_unanswered(self) -> int:
        """Returns the number of requests without a final answer."""
        return sum(isinstance(entry, Session) and not entry.ended for entry in self.pending)

    def count_unwritten(self) -> int:
        """Returns the number of requests whose answer is not completely taken."""
        return sum(isinstance(entry, Session) for entry in self.pending)

    def take_sessions(self) -> list[Session]:
        """Empties the queue after the connection is lost and returns its sessions."""
        pending, self.pending = self.pending, deque()
        return [entry for entry in pending if isinstance(entry, Session)]
