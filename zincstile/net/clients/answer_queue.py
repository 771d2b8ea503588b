"""The answers that one client connection owes, in the order of the commands."""

from __future__ import annotations

from collections import deque

from ..session import Session
from ..value_stream import ValueStream


class AnswerQueue:
    """Holds each answer back until all before it are written."""

    __slots__ = ("pending", "truncated", "_ready")

    def __init__(self) -> None:
        """Nothing is owed yet."""
        # In the order of the commands: sessions, and answers that needed no session
        self.pending: deque[Session | bytes] = deque()
        self.truncated = False  # the stream at the head can't be completed: nothing can follow it
        self._ready: list[bytes] = []  # to be written before all that is pending

    def add(self, data: bytes) -> None:
        """Adds an answer that needs no session, behind all that is owed."""
        if self.pending:
            self.pending.append(data)
        else:
            self._ready.append(data)

    def take_ready(self, *, streams: bool) -> list[bytes]:
        """Removes what can be written by now and returns it, in order.

        A stream is taken as far as it has come, and not at all without `streams`: its client reads too
        slowly. `truncated` is set where it ends early.
        """
        pending, ready = self.pending, self._ready
        while pending:
            first = pending[0]
            reply = first if type(first) is bytes else first.reply
            if reply is None:
                break
            if type(reply) is not ValueStream:
                ready.append(reply)
            elif not streams:
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
        """Nothing is owed, and all is written."""
        return not self.pending and not self._ready

    @property
    def starts_with_stream(self) -> bool:
        """The next answer is a value that is passed on as it comes."""
        first = self.pending[0] if self.pending else None
        return isinstance(first, Session) and type(first.reply) is ValueStream

    def count_owed(self) -> int:
        """Requests that were read and have no final answer."""
        return sum(isinstance(entry, Session) and not entry.ended for entry in self.pending)

    def take_sessions(self) -> list[Session]:
        """Empties the queue, as the connection is lost; returns the sessions that were in it."""
        pending, self.pending = self.pending, deque()
        return [entry for entry in pending if isinstance(entry, Session)]
