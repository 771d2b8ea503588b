"""Checks of what must hold whenever the gateway sends, repeats, closes, becomes ready, or ends.

There is one check for each of these, called by the code that is about to do it. What would break an
invariant is counted, logged with the trace of its request, and left undone where that is still possible. The
decisions are made elsewhere (`decisions.policy`): the checks look at the session alone, so that a fault of a
decision shows here too.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Final

from ..decisions.messages import EndpointEntry
from ..decisions.settings import DeduplicationScope, Idempotency
from .counters import Counters
from .log import Log
from .session import SentAttempt, Session
from .trace import Trace

# By how much the deadline given to a backend server may be after the client's: the process may have been
# stopped for as long between the two (`Limits.process_stall_ns`).
DEADLINE_SLACK_NS: Final = 150_000_000


class Invariant(Enum):
    """What must hold; the values are the names of the counters, without `violated_`."""

    SEND = "send"  # to a server that is ready, for an open request, with no more time than it has
    REPEAT = "repeat"  # what may have run is sent again only as its class allows
    CLOSE = "close"  # nothing is owed on a connection that is closed, nor at the end of the process
    START = "start"  # a process becomes ready only once it has an endpoint list


class InvariantGuard:
    """Checks, counts and logs; one for each gateway."""

    __slots__ = ("_counters", "_log", "_trace", "observer")

    def __init__(self, counters: Counters, log: Log, trace: Trace) -> None:
        """What is violated goes to all three."""
        self._counters = counters
        self._log = log
        self._trace = trace
        self.observer: Callable[[Invariant, str], None] | None = None  # is called for each violation too

    # ---- one check for each thing that is about to be done

    def may_send(self, now: int, attempt: SentAttempt) -> bool:
        """The last look before an attempt's first byte is written; False: it must not go out."""
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

    def may_close(self, now: int, owed: int, where: str) -> bool:
        """Before this side closes a connection; `owed`: requests read on it without their answer."""
        return not owed or self._violated(now, Invariant.CLOSE, where, f"{owed} requests without an answer")

    def may_be_ready(self, now: int, servers: int, *, list_received: bool) -> bool:
        """Before the first yes to PING; `list_received`: from discovery, be it an empty one."""
        return bool(servers or list_received) or self._violated(
            now, Invariant.START, "ready", "no list of servers"
        )

    def may_end(self, now: int, owed: int) -> bool:
        """Before the process ends of its own accord; `owed`: requests without their answer."""
        return not owed or self._violated(now, Invariant.CLOSE, "end", f"{owed} requests without an answer")

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


def _send_problem(attempt: SentAttempt, session: Session) -> str:
    if session.ended:
        return "its request has ended"
    if not attempt.backend.ready:
        return f"{attempt.backend.address} is not ready"
    return "a later deadline than its client's"


def _repeat_problem(now: int, attempt: SentAttempt, session: Session) -> str:
    request_class = session.request_class
    if request_class is None or request_class.idempotency is Idempotency.ALWAYS:
        return ""
    first = next((sent for sent in session.sent_attempts if sent.may_have_run), None)
    if first is None:
        return ""
    if request_class.idempotency is Idempotency.NEVER:
        return f"it may have run at {first.backend.address}"
    if not _same_group(request_class.deduplication_scope, first.backend.entry, attempt.backend.entry):
        return f"out of the group of {first.backend.address}, where it may have run"
    if now - first.sent_ns > request_class.deduplication_window_ns:
        return f"{(now - first.sent_ns) / 1e6:.0f} ms after the first that may have run"
    return ""


def _same_group(group: DeduplicationScope, one: EndpointEntry | None, other: EndpointEntry | None) -> bool:
    """Whether both servers drop a key that the other has run."""
    if one is None or other is None or group is DeduplicationScope.ALL:
        return True
    return one.zone == other.zone if group is DeduplicationScope.ZONE else one.cell == other.cell
