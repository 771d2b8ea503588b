"""The pending answers of one client connection, in the order of its commands."""

from __future__ import annotations

from collections import deque
from typing import Final

from .. import resp
from ..session import Session
from ..value_stream import ValueStream

FAILED_ANSWER: Final = resp.encode_error("failed")


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

    def take_ready(self, *, max_stream_bytes: int) -> list[bytes]:
        """Removes and returns all output that can be written now, in order.

        Of a stream, about `max_stream_bytes` at most are taken; none with 0, for a client that reads slowly.
        Sets `truncated` if the stream was cut off after its first bytes were taken. If it was cut off before,
        the request is answered as failed.
        """
        pending, ready = self.pending, self._ready
        while pending:
            head = pending[0]
            reply = head if type(head) is bytes else head.reply
            if reply is None:
                break
            if type(reply) is not ValueStream:
                ready.append(reply)
            elif reply.truncated and not reply.started:
                reply.discard()
                ready.append(FAILED_ANSWER)
            elif max_stream_bytes <= 0:
                break
            else:
                pending_bytes = reply.pending_bytes
                ready += reply.take(max_stream_bytes)
                max_stream_bytes -= pending_bytes - reply.pending_bytes
                if reply.pending_bytes or not reply.complete:
                    self.truncated = reply.truncated and not reply.pending_bytes
                    break
            if type(head) is not bytes:
                head.reply = None  # a late attempt may still refer to the session
            pending.popleft()
        if ready:
            self._ready = []
        return ready

    @property
    def is_empty(self) -> bool:
        """Whether no answer is pending or waits to be written."""
        return not self.pending and not self._ready

    @property
    def head_stream(self) -> ValueStream | None:
        """The next answer if it is a streamed value."""
        head = self.pending[0] if self.pending else None
        return head.reply if isinstance(head, Session) and type(head.reply) is ValueStream else None

    @property
    def may_be_cut_off(self) -> bool:
        """Whether the next answer is a value that may still end early: nothing may be read behind it."""
        stream = self.head_stream
        return stream is not None and not stream.complete

    @property
    def only_session(self) -> Session | None:
        """The session whose answer is the only pending one."""
        head = self.pending[0] if len(self.pending) == 1 else None
        return head if isinstance(head, Session) else None

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
