"""Closes a client connection without losing the last answers.

Closing a socket with unread input sends a reset, which may discard answers that are still in transit. So the
gateway sends its FIN first and then reads and discards input until the client closes or a timeout ends.
"""

from __future__ import annotations

import asyncio
from typing import Final

from ..deadlines import DeadlineKey
from ..dispatcher import Dispatcher
from ..reasons import CloseReason
from .answer_queue import AnswerQueue
from .delivery import DeliveryMonitor

NS_PER_MS: Final = 1_000_000


class ConnectionCloser:
    """The closing state of one client connection."""

    __slots__ = (
        "draining",
        "eof_sent_ns",
        "reading_ended",
        "reason",
        "_answers",
        "_delivery",
        "_discarded_bytes",
        "_dispatcher",
        "_name",
        "_progress_check",
        "_transport",
        "_waiting_since_ns",
    )

    def __init__(
        self,
        dispatcher: Dispatcher,
        transport: asyncio.Transport,
        answers: AnswerQueue,
        delivery: DeliveryMonitor,
        name: str,
    ) -> None:
        """`name` identifies the connection in the log."""
        self._dispatcher = dispatcher
        self._transport = transport
        self._answers = answers
        self._delivery = delivery
        self._name = name
        self._progress_check: DeadlineKey | None = None  # calls `check_progress`
        self._waiting_since_ns = 0  # since when the client is expected to read, or to close its side
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
        return bool(self.eof_sent_ns) and self._delivery.update()

    @property
    def checks_progress(self) -> bool:
        """Whether the close has begun, so that `check_progress` bounds how long it takes."""
        return self.draining or bool(self.eof_sent_ns)

    def discard(self, size: int) -> None:
        """Counts discarded input; aborts the connection if there is too much of it."""
        self._discarded_bytes += size
        if self._discarded_bytes > self._dispatcher.limits.lingering_close_bytes:
            self.abort(CloseReason.FLOOD)

    def start_draining(self) -> None:
        """Waits until the write buffer is empty; the transport then calls `resume_writing`."""
        self.draining = True
        self._transport.set_write_buffer_limits(high=0)
        self._wait_for_client()

    def stop_draining(self) -> None:
        """Postpones the close, as another command was received; its answer starts the close again."""
        self.draining = False
        self.reason = None
        self._dispatcher.deadlines.cancel(self._progress_check)
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
        self._wait_for_client()
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

    def abort_stalled(self) -> None:
        """Aborts, as the client has received nothing more of the output for too long."""
        stalled_ms = (self._dispatcher.now_ns() - self._delivery.progress_ns) // NS_PER_MS
        self._dispatcher.log.line_limited(
            "stalled",
            f"{self._name}: {self._delivery.undelivered_bytes} bytes not delivered, "
            f"no progress for {stalled_ms} ms",
        )
        self.abort(CloseReason.STALLED)

    def _wait_for_client(self) -> None:
        """Starts to check whether the client reads the output, or closes its side after it."""
        self._waiting_since_ns = self._dispatcher.now_ns()
        self._delivery.update()
        self._schedule_progress_check()

    def _schedule_progress_check(self) -> None:
        deadlines = self._dispatcher.deadlines
        deadlines.cancel(self._progress_check)
        at_ns = self._dispatcher.now_ns() + self._dispatcher.limits.lingering_close_ns
        self._progress_check = deadlines.add(at_ns, self.check_progress)
        self._dispatcher.wake()

    def check_progress(self, _: object = None) -> None:
        """Aborts if the client makes no progress with the output, or does not close its side after it."""
        if self._transport.is_closing():
            return
        limits = self._dispatcher.limits
        delivered = self._delivery.update()
        since_ns = max(self._waiting_since_ns, self._delivery.progress_ns)
        waited_ns = self._dispatcher.now_ns() - since_ns
        max_wait_ns = limits.lingering_close_ns if delivered else limits.client_silence_timeout_ns
        if waited_ns < max_wait_ns or self._answers.pending:
            self._schedule_progress_check()
        elif delivered:
            self.abort(CloseReason.STALLED)
        else:
            self.abort_stalled()

    def _check_none_follows(self) -> None:
        """Logs a violation if requests follow the truncated value: their answers can't be written."""
        following = self._answers.count_unwritten() - 1
        self._dispatcher.guard.may_close(self._dispatcher.now_ns(), following, self._name)

    def _may_close(self) -> bool:
        """Whether no request is unanswered; a violation is logged."""
        now, unanswered = self._dispatcher.now_ns(), self._answers.count_unanswered()
        return self._dispatcher.guard.may_close(now, unanswered, self._name)
