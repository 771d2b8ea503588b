"""Checks of invariants before the gateway sends, repeats, closes, becomes ready, or ends.

The code that is about to do one of these calls its check. A violation is counted, logged with the trace of
its request, and prevented where that is still possible. The decisions are made elsewhere
(`decisions.policy`); the checks use the session alone, so that they also detect wrong decisions.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Final

from ..decisions.messages import EndpointEntry
from ..decisions.settings import DeduplicationScope, Idempotency
from .counters import Counters
from .log import Log
from .session import Session, UnsentAttempt
from .trace import Trace

# How far the deadline given to a backend server may be after the client's: between computing the two, the
# process may have been stopped for this long (`Limits.process_stall_ns`).
DEADLINE_SLACK_NS: Final = 150_000_000


class Invariant(Enum):
    """The invariants; the values are the names of their counters without `violated_`."""

    SEND = "send"  # an attempt goes to a ready server, for an open request, within its deadline
    REPEAT = "repeat"  # a request that may have run is sent again only if its class allows it
    CLOSE = "close"  # when a connection or the process ends, all its requests are answered
    START = "start"  # a process becomes ready only once it has an endpoint list


class InvariantGuard:
    """Checks invariants, and counts and logs violations; one for each gateway."""

    __slots__ = ("_counters", "_log", "_trace", "observer")

    def __init__(self, counters: Counters, log: Log, trace: Trace) -> None:
        """Violations are reported to all three."""
        self._counters = counters
        self._log = log
        self._trace = trace
        self.observer: Callable[[Invariant, str], None] | None = None  # called for each violation

    # ---- checks

    def may_send(self, now: int, attempt: UnsentAttempt) -> bool:
        """Checks an attempt before its first byte is written; False: it must not be sent."""
        session = attempt.session
        if session is None:  # a health check: no request depends on it
            return True
        if (
            session.ended
            or not attempt.backend.ready
            or attempt.until_ns > session.deadline_ns + DEADLINE_SLACK_NS
        ):
            return self._violated(now, Invariant.SEND, session.call.id, _send_problem(attempt, session))
        if session.sent_attempts:
            problem = _repeat_problem(now, attempt, session)
            if problem:
                return self._violated(now, Invariant.REPEAT, session.call.id, problem)
        return True

    def may_close(self, now: int, unanswered: int, where: str) -> bool:
        """Checks a connection before this side closes it; `unanswered`: its open requests."""
        return not unanswered or self._violated(
            now, Invariant.CLOSE, where, f"{unanswered} requests without an answer"
        )

    def may_be_ready(self, now: int, servers: int, *, list_received: bool) -> bool:
        """Checks before PING first succeeds; `list_received`: discovery sent a list, even an empty one."""
        return bool(servers or list_received) or self._violated(
            now, Invariant.START, "ready", "no endpoint list"
        )

    def may_end(self, now: int, unanswered: int) -> bool:
        """Checks before the process ends by itself; `unanswered`: the number of open requests."""
        return not unanswered or self._violated(
            now, Invariant.CLOSE, "end", f"{unanswered} requests without an answer"
        )

    # ---- violations

    def _violated(self, now: int, invariant: Invariant, subject: bytes | str, problem: str) -> bool:
        name = f"violated_{invariant.value}"
        setattr(self._counters, name, getattr(self._counters, name) + 1)
        label = subject.decode("latin-1") if isinstance(subject, bytes) else subject
        self._log.line_limited("violated", f"{invariant.value} {label}: {problem}")
        if self.observer is not None:
            self.observer(invariant, f"{label}: {problem}")
        for line in self._trace.describe(now, subject):
            self._log.line(f"trace {line}")
        return False


def _send_problem(attempt: UnsentAttempt, session: Session) -> str:
    if session.ended:
        return "its request has ended"
    if not attempt.backend.ready:
        return f"{attempt.backend.address} is not ready"
    return "its deadline is after its client's deadline"


def _repeat_problem(now: int, attempt: UnsentAttempt, session: Session) -> str:
    request_class = session.request_class
    if request_class is None or request_class.idempotency is Idempotency.ALWAYS:
        return ""
    first = next((sent for sent in session.sent_attempts if sent.may_have_run), None)
    if first is None:
        return ""
    if request_class.idempotency is Idempotency.NEVER:
        return f"it may have run at {first.backend.address}"
    if not _same_group(request_class.deduplication_scope, first.backend.entry, attempt.backend.entry):
        return f"not in the deduplication group of {first.backend.address}, where it may have run"
    if now - first.sent_ns > request_class.deduplication_window_ns:
        return f"{(now - first.sent_ns) / 1e6:.0f} ms after the first attempt that may have run"
    return ""


def _same_group(scope: DeduplicationScope, one: EndpointEntry | None, other: EndpointEntry | None) -> bool:
    """Whether each of both servers deduplicates a request that the other has run."""
    if one is None or other is None or scope is DeduplicationScope.ALL:
        return True
    return one.zone == other.zone if scope is DeduplicationScope.ZONE else one.cell == other.cell
