"""Collects events into batches, passes each batch to the policy, and runs the policy's actions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Final, Protocol

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
from .reasons import GatewayRejection
from .session import FAILED, REJECTED, Answer, AnswerKind, Session
from .trace import Step, Trace

POLICY_REJECTIONS: Final = {reason: GatewayRejection[reason.name] for reason in RejectionReason}

ActionHandler = Callable[[int, Any], None]  # arguments: the time of the batch in ns, and the action


class Writer(Protocol):
    """A connection that writes its output at the end of a batch."""

    def flush(self) -> None:
        """Writes the pending output."""
        ...


class Dispatcher:
    """Owns the sessions, the events of the next batch, and the event loop's timer for the deadlines.

    At most one batch runs per iteration of the event loop, and none while nothing happens. A batch calls the
    deadlines that are due, passes the events to the policy in order, runs the policy's actions, and lets
    each connection write its output once.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        policy: Policy,
        limits: Limits,
        counters: Counters,
        log: Log,
        host: Host = HOST,
    ) -> None:
        """`host` provides the clocks and the state of sockets."""
        self.loop = loop
        self.policy = policy
        self.limits = limits
        self.counters = counters
        self.log = log
        # Methods of the host, without an indirect call on the path of a request
        self.now_ns = host.monotonic_ns
        self.readable = host.readable
        self.closed_by_peer = host.peer_has_ended
        self.unacknowledged_bytes = host.unacknowledged_bytes
        self.trace = Trace()
        self.guard = InvariantGuard(counters, log, self.trace)
        self.deadlines = Deadlines()
        self.sessions: dict[int, Session] = {}  # without a final answer, by id
        self.action_handlers: dict[type, ActionHandler] = {
            SetTimer: self._set_timer,
            RejectRequest: self._reject_request,
            FailRequest: self._fail_request,
            LogMessage: self._log_message,
        }
        # Sessions that ended since the end of the last batch; the policy may not know it yet
        self.ended_sessions: dict[int, Session] = {}
        # Called for each of them at the end of the batch; withdraws attempts that are not sent yet
        self.withdraw_unsent: Callable[[Session], None] = lambda session: None
        self._events: list[Event] = []
        self._writers: list[Writer] = []
        self._scheduled = False
        self._loop_timer: asyncio.TimerHandle | None = None
        self._loop_timer_ns = 0
        self._last_request_id = 0

    # ---- called by the connections

    def post(self, event: Event) -> None:
        """Adds an event to the next batch."""
        self._events.append(event)
        if not self._scheduled:
            self.wake()

    def schedule_flush(self, writer: Writer) -> None:
        """Schedules a write of the connection at the end of the next batch."""
        self._writers.append(writer)
        if not self._scheduled:
            self.wake()

    def wake(self) -> None:
        """Schedules a batch unless one is scheduled."""
        if not self._scheduled:
            self._scheduled = True
            self.loop.call_soon(self.run_batch)

    def next_request_id(self) -> int:
        """Returns a request id that is unique in this process."""
        self._last_request_id += 1
        return self._last_request_id

    def submit(self, session: Session, request: Request) -> None:
        """Adds a request; the policy decides on it in the next batch."""
        self.counters.requests += 1
        self.trace.record(self.now_ns(), Step.RECEIVED, session.call.id)
        self.sessions[session.id] = session
        self.post(request)

    def finish(self, session: Session, answer: Answer) -> bool:
        """Gives a session its final answer; returns False if it was answered or abandoned before."""
        if session.ended:
            return False
        session.end()
        self.sessions.pop(session.id, None)
        self.ended_sessions[session.id] = session
        kind = answer.kind
        self.trace.record(self.now_ns(), Step.ANSWERED, session.call.id, kind)
        if kind is AnswerKind.SERVED:
            self.counters.served += 1
        elif kind is AnswerKind.REJECTED:
            self.counters.rejected += 1
        else:
            self.counters.failed += 1
        session.client.answer(session, answer)
        return True

    def abandon(self, session: Session) -> None:
        """Ends a session without an answer, as its client has disconnected."""
        if not session.ended:
            session.end()
            self.sessions.pop(session.id, None)
            self.ended_sessions[session.id] = session
            self.counters.abandoned += 1
            self.trace.record(self.now_ns(), Step.ABANDONED, session.call.id)
            self.post(RequestAbandoned(session.id))

    # ---- the batch

    def run_batch(self) -> None:
        """Runs one batch; the event loop calls it after `wake`."""
        now = self.now_ns()
        self.counters.batches += 1
        for _, _, callback, argument in self.deadlines.pop_due(now):
            try:
                callback(argument)
            except Exception as err:
                self._contain_fault(err, argument)
        events, self._events = self._events, []
        for action in self._decide(now, events):
            try:
                self.action_handlers[type(action)](now, action)
            except Exception as err:
                self._contain_fault(err, action)
        self._scheduled = False
        for session in self.ended_sessions.values():
            try:
                self.withdraw_unsent(session)
            except Exception as err:
                self._contain_fault(err, session)
        self.ended_sessions.clear()
        writers, self._writers = self._writers, []
        for writer in writers:
            try:
                writer.flush()
            except Exception as err:
                self._contain_fault(err, writer)
        if self._events or self._writers:
            self.wake()
        self._arm_loop_timer()

    def _decide(self, now: int, events: list[Event]) -> list[Action]:
        actions: list[Action] = []
        for event in events:
            try:
                actions += self.policy.handle(now, event)
            except Exception as err:
                self._contain_fault(err, event)
                if isinstance(event, TimerFired):  # otherwise a periodic timer would stop for good
                    self.deadlines.add(now + self.limits.backoff_ns, self._fire_timer, event.token)
        return actions

    def _contain_fault(self, err: Exception, subject: object) -> None:
        """Logs an exception and fails the session concerned; other sessions go on."""
        self.counters.faults += 1
        subject_type = type(subject).__name__
        self.log.line_limited(
            "fault", f"{type(err).__name__}: {err} at {_raise_location(err)} while handling {subject_type}"
        )
        session = self._session_of(subject)
        for line in self.trace.describe(self.now_ns(), session.call.id if session else None):
            self.log.line(f"trace {line}")
        if session is not None and self.finish(session, FAILED):
            self.post(RequestAbandoned(session.id))

    def _session_of(self, subject: object) -> Session | None:
        """Returns the open session of an event, an action or the argument of a deadline."""
        if isinstance(subject, Request):
            return self.sessions.get(subject.id)
        session = subject if isinstance(subject, Session) else getattr(subject, "session", None)
        if isinstance(session, Session):
            return self.sessions.get(session.id)
        request_id = getattr(subject, "request", None)
        return self.sessions.get(request_id) if isinstance(request_id, int) else None

    def _arm_loop_timer(self) -> None:
        at_ns = self.deadlines.next_ns
        if at_ns is None or (self._loop_timer is not None and self._loop_timer_ns <= at_ns):
            return
        if self._loop_timer is not None:
            self._loop_timer.cancel()
        self._loop_timer = self.loop.call_at(at_ns / 1e9, self._on_loop_timer)
        self._loop_timer_ns = at_ns

    def _on_loop_timer(self) -> None:
        self._loop_timer = None
        late_ns = self.now_ns() - self._loop_timer_ns
        if late_ns > self.limits.process_stall_ns:
            self.counters.held_up += 1
            self.log.line_limited("late", f"event loop delayed by {late_ns // 1_000_000} ms")
        self.wake()

    # ---- actions that need no connection

    def _set_timer(self, _: int, action: SetTimer) -> None:
        self.deadlines.add(action.at_ns, self._fire_timer, action.token)

    def _fire_timer(self, token: int) -> None:
        self._events.append(TimerFired(token))

    def _reject_request(self, _: int, action: RejectRequest) -> None:
        session = self.sessions.get(action.request)
        if session is not None:
            reason = POLICY_REJECTIONS[action.reason]
            self.counters.count_rejection(reason)
            self.trace.record(self.now_ns(), Step.REJECTED, session.call.id, reason)
            retry_after_ms = -(-action.retry_after_ns // 1_000_000)
            answer = (
                Answer(AnswerKind.REJECTED, retry_after_ms=retry_after_ms) if retry_after_ms else REJECTED
            )
            self.finish(session, answer)

    def _fail_request(self, _: int, action: FailRequest) -> None:
        session = self.sessions.get(action.request)
        if session is not None:
            self.finish(session, FAILED)

    def _log_message(self, _: int, action: LogMessage) -> None:
        self.log.line_limited("module", action.text)


def _raise_location(err: Exception) -> str:
    """Returns the file and line at which an exception was raised."""
    traceback = err.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    return (
        f"{traceback.tb_frame.f_code.co_filename.rpartition('/')[2]}:{traceback.tb_lineno}"
        if traceback
        else "?"
    )
