"""Closes a client connection without losing the last answers.

Closing a socket with unread input sends a reset, which may discard answers that are still in transit. So the
gateway sends its FIN first and then reads and discards input until the client closes or a timeout ends.
"""

from __future__ import annotations

import asyncio

from ..deadlines import DeadlineKey
from ..dispatcher import Dispatcher
from ..reasons import CloseReason
from .answer_queue import AnswerQueue


class ConnectionCloser:
    """The closing state of one client connection."""

    __slots__ = (
        "draining",
        "eof_sent_ns",
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
        """`name` identifies the connection in the log."""
        self._dispatcher = dispatcher
        self._transport = transport
        self._answers = answers
        self._name = name
        self._stall_deadline: DeadlineKey | None = None  # calls `abort_if_stalled`
        self._discarded_bytes = 0
        self.reason: CloseReason | None = None  # set when this side closes it
        self.draining = False  # the FIN is sent once the write buffer is empty
        self.reading_ended = False  # later input is discarded
        self.eof_sent_ns = 0  # 0: FIN not sent

    def set_reason(self, reason: CloseReason) -> None:
        """Records why the connection is closed; the first reason is kept."""
        self.reason = self.reason or reason

    @property
    def is_lingering(self) -> bool:
        """Whether all output and the FIN are sent, so that only the client's close is awaited."""
        return bool(self.eof_sent_ns) and not self._transport.get_write_buffer_size()

    def discard(self, size: int) -> None:
        """Counts discarded input; aborts the connection if there is too much of it."""
        self._discarded_bytes += size
        if self._discarded_bytes > self._dispatcher.limits.lingering_close_bytes:
            self.abort(CloseReason.FLOOD)

    def start_draining(self) -> None:
        """Waits until the write buffer is empty; the transport then calls `resume_writing`."""
        self.draining = True
        self._transport.set_write_buffer_limits(high=0)
        self.abort_if_stalled(None)

    def stop_draining(self) -> None:
        """Postpones the close, as another command was received; its answer starts the close again."""
        self.draining = False
        self.reason = None
        self._dispatcher.deadlines.cancel(self._stall_deadline)
        self._transport.set_write_buffer_limits(high=self._dispatcher.limits.unread_answer_bytes)

    def send_eof(self) -> bool:
        """Sends the FIN; returns False if the connection is closed already or may not be closed."""
        if self._transport.is_closing() or not self._may_close():
            return False
        self.reading_ended = True
        self.draining = False
        self.eof_sent_ns = self._dispatcher.now_ns()
        try:
            self._transport.write_eof()
        except OSError:  # the client has reset it since the last check
            self.abort(CloseReason.CLOSED_BY_CLIENT)
            return False
        return True

    def abort(self, reason: CloseReason) -> None:
        """Closes at once and drops unsent output.

        With unanswered requests, this is allowed only if the client has disconnected or has to notice that a
        value is truncated.
        """
        if reason is CloseReason.TRUNCATED:
            self._check_none_follows()
        elif reason is not CloseReason.CLOSED_BY_CLIENT and not self._may_close():
            return
        self.set_reason(reason)
        self._transport.abort()

    def abort_if_stalled(self, previous_unsent_bytes: int | None) -> None:
        """Aborts if the client neither reads nor closes its side; otherwise checks again later.

        `previous_unsent_bytes` is the size of the write buffer at the last check, None at the first one.
        """
        if self._transport.is_closing():
            return
        limits = self._dispatcher.limits
        unsent_bytes = self._transport.get_write_buffer_size()
        if (
            previous_unsent_bytes is not None
            and unsent_bytes >= previous_unsent_bytes
            and not self._answers.pending
        ):
            self.abort(CloseReason.STALLED)
            return
        wait_ns = limits.client_silence_timeout_ns if unsent_bytes else limits.lingering_close_ns
        deadlines = self._dispatcher.deadlines
        deadlines.cancel(self._stall_deadline)
        at_ns = self._dispatcher.now_ns() + wait_ns
        self._stall_deadline = deadlines.add(at_ns, self.abort_if_stalled, unsent_bytes)
        self._dispatcher.wake()

    def _check_none_follows(self) -> None:
        """Logs a violation if requests follow the truncated value: their answers can't be written."""
        following = self._answers.count_unwritten() - 1
        self._dispatcher.guard.may_close(self._dispatcher.now_ns(), following, self._name)

    def _may_close(self) -> bool:
        """Whether no request is unanswered; a violation is logged."""
        now, unanswered = self._dispatcher.now_ns(), self._answers.count_unanswered()
        return self._dispatcher.guard.may_close(now, unanswered, self._name)
