"""What must hold whenever a request is sent, sent again, or its connection closed, and when a process says
that it is ready or ends. One check for each of these acts, made by the code that carries it out.

An act that would break an invariant is counted, told with the trace of its request, and not carried out
where it can still be left undone. The decisions are made elsewhere (`policy`): what is checked here is
kept on the session alone, so that a fault of a decision shows here too.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from ..decisions.messages import EndpointEntry
from ..decisions.settings import DeduplicationScope, Idempotency
from .counters import Counters
from .log import Log
from .session import Sending, Session
from .trace import Trace

DEADLINE_SLACK_NS = 150_000_000  # by which the time told to a server may be over what the client has left


class Invariant(Enum):
    """By its counter's name, without `violated_`."""

    SEND = "send"  # to a server that is ready, for a request that is open, with no more time than it has
    REPEAT = "repeat"  # what may have run goes out again only as its class allows
    CLOSE = "close"  # nothing is owed on a connection that is closed, nor at the end of the process
    START = "start"  # a process says that it is ready only once it has a list of servers


class InvariantGuard:
    """Counts violations and tells them. One for each gateway."""

    __slots__ = ("_counters", "_log", "_trace", "observer")

    def __init__(self, counters: Counters, log: Log, trace: Trace) -> None:
        self._counters, self._log, self._trace = counters, log, trace
        self.observer: Callable[[Invariant, str], None] | None = None  # hears of each violation too

    # ---- the acts

    def may_send(self, now: int, attempt: Sending) -> bool:
        """The last look before an attempt's first byte is written. False: it must not go out."""
        session = attempt.session
        if session is None:  # a probe owes nobody anything
            return True
        if (
            session.over
            or not attempt.backend.ready
            or attempt.until_ns > session.give_up_ns + DEADLINE_SLACK_NS
        ):
            return self._violated(now, Invariant.SEND, session.call.id, _send_problem(attempt, session))
        if session.carried:
            why = _repeat_problem(now, attempt, session)
            if why:
                return self._violated(now, Invariant.REPEAT, session.call.id, why)
        return True

    def may_close(self, now: int, owed: int, where: str) -> bool:
        """Before a connection is ended from here. `owed`: requests read on it without their answer."""
        return not owed or self._violated(now, Invariant.CLOSE, where, f"{owed} requests without an answer")

    def may_be_ready(self, now: int, servers: int, told: bool) -> bool:
        """Before the first yes to PING: a list is here, be it an empty one that discovery told."""
        return bool(servers or told) or self._violated(now, Invariant.START, "ready", "no list of servers")

    def may_end(self, now: int, owed: int) -> bool:
        """Before the process ends of itself."""
        return not owed or self._violated(now, Invariant.CLOSE, "end", f"{owed} requests without an answer")

    # ---- telling

    def _violated(self, now: int, invariant: Invariant, subject: bytes | str, why: str) -> bool:
        name = f"violated_{invariant.value}"
        setattr(self._counters, name, getattr(self._counters, name) + 1)
        about = subject.decode("latin-1") if isinstance(subject, bytes) else subject
        self._log.often("violated", f"{invariant.value} {about}: {why}")
        if self.observer is not None:
            self.observer(invariant, f"{about}: {why}")
        for line in self._trace.tell(now, subject):
            self._log.line(f"trace {line}")
        return False


def _send_problem(attempt: Sending, session: Session) -> str:
    if session.over:
        return "its request is over"
    if not attempt.backend.ready:
        return f"{attempt.backend.address} is not to be sent to"
    return "a longer time than its client has left"


def _repeat_problem(now: int, attempt: Sending, session: Session) -> str:
    spec = session.spec
    if spec is None or spec.effect is Idempotency.ALWAYS:
        return ""
    first = next((one for one in session.carried if one.may_have_run), None)
    if first is None:
        return ""
    if spec.effect is Idempotency.NEVER:
        return f"it may have run at {first.backend.address}"
    if not _same_group(spec.group, first.backend.entry, attempt.backend.entry):
        return f"out of the group of {first.backend.address}, where it may have run"
    if now - first.sent_ns > spec.window_ns:
        return f"{(now - first.sent_ns) / 1e6:.0f} ms after the first that may have run"
    return ""


def _same_group(group: DeduplicationScope, one: EndpointEntry | None, other: EndpointEntry | None) -> bool:
    """Both drop each other's repeats of a key."""
    if one is None or other is None or group is DeduplicationScope.ALL:
        return True
    return one.zone == other.zone if group is DeduplicationScope.ZONE else one.cell == other.cell
