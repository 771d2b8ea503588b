"""The loop's turn: what is ready is gathered, handed to the module in one go, and its word is carried out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from ..decisions.messages import (
    Action,
    Event,
    FailRequest,
    LogMessage,
    RejectionReason,
    RejectRequest,
    Request,
    RequestAbandoned,
    SetTimer,
    TimerFired,
)
from ..decisions.policy import Policy
from .counters import Counters
from .deadlines import Deadlines
from .host import HOST, Host
from .invariants import InvariantGuard
from .limits import Limits
from .log import Log
from .reasons import RefusalReason
from .session import DENIED, FAILED, Answer, Kind, Session
from .trace import Step, Trace

REFUSALS = {why: RefusalReason[why.name] for why in RejectionReason}


class Writer(Protocol):
    """A connection that has something to write at the end of the turn."""

    def flush(self) -> None: ...


class Dispatcher:
    """Holds the sessions, the events of the next turn, and the one alarm for the deadlines."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        policy: Policy,
        limits: Limits,
        counters: Counters,
        log: Log,
        host: Host = HOST,
    ) -> None:
        self.loop, self.policy, self.limits, self.counters, self.log = loop, policy, limits, counters, log
        self.now_ns, self.readable = host.monotonic_ns, host.readable  # for all that are handed the turn
        self.ended = host.ended
        self.trace = Trace()
        self.guard = InvariantGuard(counters, log, self.trace)
        self.deadlines = Deadlines()
        self.sessions: dict[int, Session] = {}
        self.carry_out: dict[type, Callable[[int, Any], None]] = {
            SetTimer: self._set_timer,
            RejectRequest: self._deny,
            FailRequest: self._fail,
            LogMessage: self._note,
        }
        self.over: dict[int, Session] = {}  # ended since the last turn's end: the module may not know it yet
        self.withdraw: Callable[[Session], None] = lambda session: None  # what of one that ended is not sent
        self._events: list[Event] = []
        self._writers: list[Writer] = []
        self._scheduled = False
        self._alarm: asyncio.TimerHandle | None = None
        self._alarm_ns = 0
        self._number = 0

    # ---- what the connections use

    def post(self, event: Event) -> None:
        self._events.append(event)
        self.wake()

    def write_later(self, writer: Writer) -> None:
        self._writers.append(writer)
        self.wake()

    def wake(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self.loop.call_soon(self.run)

    def next_id(self) -> int:
        self._number += 1
        return self._number

    def take(self, session: Session, request: Request) -> None:
        self.counters.requests += 1
        self.trace.note(self.now_ns(), Step.COME, session.call.id)
        self.sessions[session.id] = session
        self.post(request)

    def end(self, session: Session, answer: Answer) -> bool:
        """The one final answer; False where it has had one."""
        if session.over:
            return False
        session.over = True
        self.sessions.pop(session.id, None)
        self.over[session.id] = session
        self.trace.note(self.now_ns(), Step.ANSWERED, session.call.id, answer.kind)
        if answer.kind is Kind.SERVED:
            self.counters.served += 1
        elif answer.kind is Kind.DENIED:
            self.counters.denied += 1
        else:
            self.counters.failed += 1
        session.frontend.answer(session, answer)
        return True

    def leave(self, session: Session) -> None:
        """The client is gone: nothing is owed any more."""
        if not session.over:
            session.over = True
            self.sessions.pop(session.id, None)
            self.over[session.id] = session
            self.counters.left += 1
            self.trace.note(self.now_ns(), Step.LEFT, session.call.id)
            self.post(RequestAbandoned(session.id))

    # ---- the turn

    def run(self) -> None:
        now = self.now_ns()
        self.counters.turns += 1
        for _, _, then, about in self.deadlines.sweep(now):
            try:
                then(about)
            except Exception as err:
                self._fault(err, about)
        events, self._events = self._events, []
        for action in self._decide(now, events):
            try:
                self.carry_out[type(action)](now, action)
            except Exception as err:
                self._fault(err, action)
        self._scheduled = False
        for session in self.over.values():
            try:
                self.withdraw(session)
            except Exception as err:
                self._fault(err, session)
        self.over.clear()
        writers, self._writers = self._writers, []
        for writer in writers:
            try:
                writer.flush()
            except Exception as err:
                self._fault(err, writer)
        if self._events or self._writers:
            self.wake()
        self._set_alarm()

    def _decide(self, now: int, events: list[Event]) -> list[Action]:
        actions: list[Action] = []
        for event in events:
            try:
                actions += self.policy.handle(now, event)
            except Exception as err:
                self._fault(err, event)
                if isinstance(event, TimerFired):  # guards what the module does by a chain of timers
                    self.deadlines.add(now + self.limits.backoff_ns, self._timer, event.token)
        return actions

    def _fault(self, err: Exception, about: object) -> None:
        """Guards the process against a fault in one session's handling: that session fails, no other."""
        self.counters.faults += 1
        at = err.__traceback__
        while at is not None and at.tb_next is not None:
            at = at.tb_next
        where = f"{at.tb_frame.f_code.co_filename.rpartition('/')[2]}:{at.tb_lineno}" if at else "?"
        self.log.often("fault", f"{type(err).__name__}: {err} at {where} in {type(about).__name__}")
        session = self._session_of(about)
        for line in self.trace.tell(self.now_ns(), session.call.id if session else None):
            self.log.line(f"trace {line}")
        if session is not None and self.end(session, FAILED):
            self.post(RequestAbandoned(session.id))

    def _session_of(self, about: object) -> Session | None:
        """The open request that an event, an action or a deadline was about."""
        if isinstance(about, Request):
            return self.sessions.get(about.id)
        session = about if isinstance(about, Session) else getattr(about, "session", None)
        if isinstance(session, Session):
            return self.sessions.get(session.id)
        number = getattr(about, "request", None)
        return self.sessions.get(number) if isinstance(number, int) else None

    def _set_alarm(self) -> None:
        at = self.deadlines.next_ns
        if at is None or (self._alarm is not None and self._alarm_ns <= at):
            return
        if self._alarm is not None:
            self._alarm.cancel()
        self._alarm, self._alarm_ns = self.loop.call_at(at / 1e9, self._ring), at

    def _ring(self) -> None:
        self._alarm = None
        late_ns = self.now_ns() - self._alarm_ns
        if late_ns > self.limits.held_up_ns:
            self.counters.held_up += 1
            self.log.often("late", f"held up for {late_ns // 1_000_000} ms")
        self.wake()

    # ---- actions that need no connection

    def _set_timer(self, _: int, action: SetTimer) -> None:
        self.deadlines.add(action.at_ns, self._timer, action.token)

    def _timer(self, token: int) -> None:
        self._events.append(TimerFired(token))

    def _deny(self, _: int, action: RejectRequest) -> None:
        session = self.sessions.get(action.request)
        if session is not None:
            reason = REFUSALS[action.why]
            self.counters.refused(reason)
            self.trace.note(self.now_ns(), Step.REFUSED, session.call.id, reason)
            ms = -(-action.retry_in_ns // 1_000_000)
            self.end(session, Answer(Kind.DENIED, retry_ms=ms) if ms else DENIED)

    def _fail(self, _: int, action: FailRequest) -> None:
        session = self.sessions.get(action.request)
        if session is not None:
            self.end(session, FAILED)

    def _note(self, _: int, action: LogMessage) -> None:
        self.log.often("module", action.text)
