"""Request ids that clients may not use again, as their request is open or may have run."""

from __future__ import annotations

from typing import Final, Protocol

from ..session import SentAttempt, Session

MAX_ENDED_IDS: Final = 4096  # the oldest are forgotten beyond this


class OtherProcess(Protocol):
    """Knows the ids of another process of this gateway, which may run beside this one during an upgrade."""

    def publish(self, request_id: bytes) -> None:
        """Announces an id that this process has accepted."""
        ...

    def has_accepted(self, request_id: bytes) -> bool:
        """Whether the other process has announced this id."""
        ...


class RequestIds:
    """The ids of open requests, and of ended ones that may have run and must not run twice.

    A client that left, or whose answer failed, may come again under the same id, also on another connection.
    """

    __slots__ = ("open", "other_process", "_ended")

    def __init__(self) -> None:
        """Starts without ids."""
        self.open: dict[bytes, Session] = {}  # without a final answer
        self.other_process: OtherProcess | None = None
        self._ended: dict[bytes, list[SentAttempt]] = {}  # non-idempotent ones, the oldest first

    def problem(self, request_id: bytes, *, idempotent: bool) -> str:
        """Returns why a request with this id can't be accepted; empty if it can."""
        if request_id in self.open:  # backends would take it for a retry of that request
            return "the id of an open request"
        if idempotent:
            return ""
        attempts = self._ended.get(request_id, ())
        if any(attempt.may_have_run for attempt in attempts):
            return "the id of a request that may have run"
        if self.other_process is not None and self.other_process.has_accepted(request_id):
            return "the id of a request at the other process of an upgrade"
        return ""

    def add(self, session: Session) -> None:
        """Adds the id of an accepted request."""
        self.open[session.call.id] = session
        if self.other_process is not None and not session.call.idempotent:
            self.other_process.publish(session.call.id)

    def end(self, session: Session) -> None:
        """The request was answered or abandoned. Does nothing if it had ended before."""
        request_id = session.call.id
        if self.open.get(request_id) is not session:
            return
        del self.open[request_id]
        if session.call.idempotent or not session.sent_attempts:
            return
        self._ended.pop(request_id, None)
        self._ended[request_id] = session.sent_attempts
        if len(self._ended) > MAX_ENDED_IDS:
            del self._ended[next(iter(self._ended))]

    def non_idempotent(self) -> list[bytes]:
        """Returns all ids that must not be accepted by another process either."""
        open_ids = [request_id for request_id, session in self.open.items() if not session.call.idempotent]
        return [*self._ended, *open_ids]
