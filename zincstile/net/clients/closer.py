"""Ends a client connection without losing what was written to it last.

A close over bytes that are not read yet would be a reset, which may overtake the last answers. So this side
ends its sending first, reads on and discards, until the client closes or has had a while to do so.
"""

from __future__ import annotations

import asyncio

from ..deadlines import DeadlineKey
from ..dispatcher import Dispatcher
from ..reasons import CloseReason
from .answer_queue import AnswerQueue


class ConnectionCloser:
    """How far one client connection is on its way to its end."""

    __slots__ = (
        "draining",
        "end_sent_ns",
        "reading_ended",
        "reason",
        "_answers",
        "_discarded_bytes",
        "_dispatcher",
        "_name",
        "_stall_deadline",
        "_transport",
    )

    def __init__(
        self, dispatcher: Dispatcher, transport: asyncio.Transport, answers: AnswerQueue, name: str
    ) -> None:
        """`name` of the connection, for the log."""
        self._dispatcher = dispatcher
        self._transport = transport
        self._answers = answers
        self._name = name
        self._stall_deadline: DeadlineKey | None = None  # of `abort_if_stalled`
        self._discarded_bytes = 0
        self.reason: CloseReason | None = None  # once this side ends it
        self.draining = False  # the end is sent once what was written has left the process
        self.reading_ended = False  # commands that come from now on are discarded
        self.end_sent_ns = 0  # 0: not yet

    def set_reason(self, reason: CloseReason) -> None:
        """Says why the connection is closed; the first reason holds."""
        self.reason = self.reason or reason

    @property
    def is_lingering(self) -> bool:
        """All is written, the end too; the connection is open for its client alone."""
        return bool(self.end_sent_ns) and not self._transport.get_write_buffer_size()

    def discard(self, size: int) -> None:
        """Counts bytes that came after reading ended; a flood of them ends the connection."""
        self._discarded_bytes += size
        if self._discarded_bytes > self._dispatcher.limits.lingering_close_bytes:
            self.abort(CloseReason.FLOOD)

    def start_draining(self) -> None:
        """Waits for what was written to leave; the protocol's `resume_writing` tells when it has."""
        self.draining = True
        self._transport.set_write_buffer_limits(high=0)
        self.abort_if_stalled(None)

    def stop_draining(self) -> None:
        """Takes the end back: another command has come, and its answer leads to the end again."""
        self.draining = False
        self.reason = None
        self._dispatcher.deadlines.cancel(self._stall_deadline)
        self._transport.set_write_buffer_limits(high=self._dispatcher.limits.unread_answer_bytes)

    def send_end(self) -> bool:
        """Ends this side's sending; False where the connection is closed already, or may not be closed."""
        if self._transport.is_closing() or not self._may_close():
            return False
        self.reading_ended = True
        self.draining = False
        self.end_sent_ns = self._dispatcher.now_ns()
        try:
            self._transport.write_eof()
        except OSError:  # the client has reset it since it was last looked at
            self.abort(CloseReason.CLIENT)
            return False
        return True

    def abort(self, reason: CloseReason) -> None:
        """Closes at once, whatever is on its way.

        Only a client that left, or has to see that a value is truncated, frees the gateway of what it owes.
        """
        if reason in (CloseReason.CLIENT, CloseReason.TRUNCATED) or self._may_close():
            self.set_reason(reason)
            self._transport.abort()

    def abort_if_stalled(self, unsent_bytes: int | None) -> None:
        """Aborts where the client does not close its side, and looks again later where it still reads.

        `unsent_bytes`: what it had not taken at the last look; none at the first.
        """
        if self._transport.is_closing():
            return
        limits = self._dispatcher.limits
        size = self._transport.get_write_buffer_size()
        if unsent_bytes is not None and size >= unsent_bytes and not self._answers.pending:
            self.abort(CloseReason.STALLED)
            return
        wait_ns = limits.client_silence_timeout_ns if size else limits.lingering_close_ns
        deadlines = self._dispatcher.deadlines
        deadlines.cancel(self._stall_deadline)
        at_ns = self._dispatcher.now_ns() + wait_ns
        self._stall_deadline = deadlines.add(at_ns, self.abort_if_stalled, size)
        self._dispatcher.wake()

    def _may_close(self) -> bool:
        """Whether nothing is owed on the connection."""
        now, owed = self._dispatcher.now_ns(), self._answers.count_owed()
        return self._dispatcher.guard.may_close(now, owed, self._name)
