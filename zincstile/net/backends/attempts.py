"""Attempts: sends them as the policy decides, enforces their deadlines, and reports one outcome for each."""

from __future__ import annotations

from typing import Final

from ...decisions.messages import (
    AttemptOutcome,
    AttemptResult,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    ForwardRequest,
    HealthCheckResult,
)
from ...decisions.settings import DeduplicationScope, Idempotency, Settings
from .. import resp
from ..dispatcher import Dispatcher
from ..reasons import RetryReason
from ..session import Answer, AnswerKind, Session
from ..trace import Step
from ..value_stream import ValueStream
from .attempt import Attempt
from .connecting import Connector
from .connection import BackendConnection
from .outcomes import RESULT_COUNTERS, RETRY_REASONS, parse_load_report
from .pool import ConnectionPool
from .requests import HEALTH_CHECK, call_command
from .streaming import AnswerStreams

BUSY: Final = b"BUSY"
REUSABLE_ERRORS: Final = (BUSY, b"ERR failed")  # error replies after which the connection is reused


class Attempts:
    """The attempts in flight. A session can have several, each on its own connection.

    Also implements `connection.ConnectionOwner`: backend connections notify it of what they wrote and read.
    """

    def __init__(
        self, dispatcher: Dispatcher, settings: Settings, pool: ConnectionPool, buffer: memoryview
    ) -> None:
        """Registers the handlers of the policy's actions; all connections read into `buffer`."""
        self.dispatcher = dispatcher
        self.settings = settings
        self.pool = pool
        self.buffer = buffer
        self.in_flight: dict[
            tuple[int, int], Attempt
        ] = {}  # by session id and attempt number; without health checks
        self.connector = Connector(dispatcher, pool, self)
        self.streams = AnswerStreams(dispatcher, pool, self)
        pool.on_withdrawn = self._fail_queued
        dispatcher.action_handlers[ForwardRequest] = self.forward
        dispatcher.action_handlers[CancelAttempt] = self.cancel
        dispatcher.action_handlers[CheckHealth] = self._check_health
        dispatcher.action_handlers[CloseIdleConnections] = self._close_idle
        dispatcher.withdraw_unsent = self.withdraw

    # ---- actions of the policy

    def forward(self, now_ns: int, action: ForwardRequest) -> None:
        """Starts an attempt for a request."""
        session = self.dispatcher.sessions.get(action.request) or self.dispatcher.ended_sessions.get(
            action.request
        )
        if session is None:
            return
        number = session.attempts
        session.attempts = number + 1
        if session.ended or session.client.has_disconnected():
            # The client left or was answered in the same batch in which the policy decided on this attempt.
            # Report an outcome anyway, or the policy would count the attempt as in flight for ever.
            self.report(session, number, action.endpoint, AttemptResult.NOT_SENT, 0)
            return
        if session.sent_attempts and not self._may_repeat_at(session, action.endpoint):
            self.report(session, number, action.endpoint, AttemptResult.NOT_SENT, 0)
            return
        if number:
            self.dispatcher.counters.count_retry(self._retry_reason(session))
        until_ns = min(action.give_up_ns, session.deadline_ns)
        write_deadline_ns = min(until_ns, action.write_deadline_ns or until_ns)
        self._launch(
            now_ns,
            session,
            number,
            action.endpoint,
            until_ns,
            write_deadline_ns,
            new_connection=action.new_connection,
        )

    def _may_repeat_at(self, session: Session, backend_id: int) -> bool:
        """Whether a backend deduplicates a request with an idempotency key that may have run elsewhere.

        It is not known to where its process, or the one that may have run the request, may be another one
        than discovery has listed.
        """
        request_class = session.request_class
        if request_class is None or request_class.idempotency is not Idempotency.BY_KEY:
            return True
        if request_class.deduplication_scope is DeduplicationScope.ALL:
            return True
        earlier = [sent for sent in session.sent_attempts if sent.may_have_run]
        backend = self.pool.ready_backend(backend_id) if earlier else None
        if backend is None:
            return True
        known = all(sent.process_known for sent in earlier) and not self.pool.may_be_replaced(backend)
        self.pool.forget_if_unused(backend)
        return known

    def _retry_reason(self, session: Session) -> RetryReason:
        """Returns why the latest attempt of a session, which `session.attempts` already counts, was made."""
        before = (session.id, session.attempts - 2)
        if before in self.in_flight or session.last_result is None:
            return RetryReason.HEDGE
        return RETRY_REASONS.get(session.last_result, RetryReason.HEDGE)

    def cancel(self, _: int, action: CancelAttempt) -> None:
        """Cancels an attempt, unless it has already ended."""
        attempt = self.in_flight.get((action.request, action.attempt))
        if attempt is not None:
            self.finish(attempt, AttemptResult.CANCELLED)

    def withdraw(self, session: Session) -> None:
        """Cancels the attempts of an ended session whose request is not completely written.

        This applies even if the settings do not allow cancelling: such an attempt cannot have run.
        """
        for number in range(session.attempts):
            attempt = self.in_flight.get((session.id, number))
            if attempt is not None and (attempt.connection is None or not attempt.connection.request_written):
                self.finish(attempt, AttemptResult.CANCELLED)

    def _check_health(self, now_ns: int, action: CheckHealth) -> None:
        until_ns = now_ns + self.dispatcher.limits.connect_ns
        self._launch(now_ns, None, 0, action.endpoint, until_ns, until_ns)

    def _close_idle(self, _: int, action: CloseIdleConnections) -> None:
        backend = self.pool.backends.get(action.endpoint)
        if backend is not None:
            self.pool.close_idle_of(backend)

    def _fail_queued(self, attempt: Attempt) -> None:
        self.finish(attempt, AttemptResult.CONNECT_FAILED)

    # ---- sending

    def _launch(
        self,
        now_ns: int,
        session: Session | None,
        number: int,
        backend_id: int,
        until_ns: int,
        write_deadline_ns: int,
        *,
        new_connection: bool = False,
    ) -> None:
        """Starts an attempt on an idle connection; on a new one if none is idle or with `new_connection`."""
        backend = self.pool.ready_backend(backend_id) if write_deadline_ns > now_ns else None
        if backend is None:
            self.report(session, number, backend_id, AttemptResult.NOT_SENT, 0)
            return
        attempt = Attempt(session, number, backend, now_ns, until_ns, write_deadline_ns)
        if session is not None:
            self.in_flight[session.id, number] = attempt
        if not new_connection:
            connection = self.pool.take_reusable(backend, now_ns)
            if connection is not None:
                self.send(connection, attempt, reused=True)
                return
        elif backend.idle:  # the new connection replaces the longest idle one, so that their number stays
            self.pool.close_idle(backend.idle[0])
        count = len(self.pool.connections)
        if count >= self.dispatcher.limits.backend_connections and not self.pool.close_oldest_idle():
            # The connection limit is reached. Nothing was sent, and the backend is not at fault.
            self.dispatcher.log.line_limited(
                "full", f"limit of backend connections reached: {count} open; attempt not sent"
            )
            self.finish(attempt, AttemptResult.NOT_SENT)
            self.pool.forget_if_unused(backend)
            return
        self.set_deadline(attempt, min(write_deadline_ns, now_ns + self.dispatcher.limits.connect_ns))
        self.connector.connect(attempt)

    def send(self, connection: BackendConnection, attempt: Attempt, *, reused: bool = False) -> None:
        """Writes an attempt's request. No other code sends the first byte of a request."""
        dispatcher, session = self.dispatcher, attempt.session
        now_ns = dispatcher.now_ns()
        if not dispatcher.guard.may_send(now_ns, attempt):
            self.finish(attempt, AttemptResult.NOT_SENT)
            self.pool.add_idle(connection, unused=True)
            return
        if session is None:
            request = HEALTH_CHECK
        else:
            attempt.sent.process_known = not self.pool.may_be_replaced(attempt.backend)
            session.sent_attempts.append(attempt.sent)
            dispatcher.trace.record(now_ns, Step.SENT, session.call.id, attempt.backend.address)
            dispatcher.counters.attempts += 1
            request = call_command(session.call, attempt.until_ns - now_ns)
        connection.send(attempt, request, reused=reused)
        self.set_deadline(
            attempt, attempt.until_ns if connection.request_written else attempt.write_deadline_ns
        )

    # ---- deadlines

    def set_deadline(self, attempt: Attempt, at_ns: int) -> None:
        """Sets the deadline of an attempt, replacing the previous one."""
        self.dispatcher.deadlines.cancel(attempt.deadline)
        attempt.deadline = self.dispatcher.deadlines.add(at_ns, self._expire, attempt)

    def _expire(self, attempt: Attempt) -> None:
        """Ends an attempt at its deadline. If its request is not completely written, it never ran."""
        attempt.deadline = None
        connection = attempt.connection
        written = attempt.write_started and connection is not None and connection.request_written
        if written and connection.waits_for_memory:  # this gateway did not read the answer
            self.finish(attempt, AttemptResult.CANCELLED)
            return
        self.finish(attempt, AttemptResult.TIMEOUT if written else AttemptResult.CONNECT_FAILED)

    def on_request_written(self, attempt: Attempt) -> None:
        """Called when the request is completely written, if that took more than one write."""
        if attempt.write_deadline_ns < attempt.until_ns:
            self.set_deadline(attempt, attempt.until_ns)
            self.dispatcher.wake()

    def on_answer_started(self, attempt: Attempt) -> None:
        """Called on the first part of an answer: more has to arrive every `answer_stall_ns`."""
        # Otherwise an answer shorter than its stated length would block the client until its deadline.
        at_ns = attempt.connection.last_received_ns + self.dispatcher.limits.answer_stall_ns
        if at_ns < attempt.until_ns:
            self.dispatcher.deadlines.cancel(attempt.deadline)
            attempt.deadline = self.dispatcher.deadlines.add(at_ns, self._check_answer, attempt)
            self.dispatcher.wake()

    def _check_answer(self, attempt: Attempt) -> None:
        attempt.deadline = None
        answer_ns = self.dispatcher.limits.answer_stall_ns
        if attempt.connection.last_received_ns + answer_ns > self.dispatcher.now_ns():
            self.set_deadline(attempt, attempt.until_ns)
            self.on_answer_started(attempt)  # more data has arrived since
        else:
            self.on_malformed_answer(attempt, "incomplete, and no more data arrived in time")

    # ---- answers and outcomes

    def on_reply(
        self, connection: BackendConnection, attempt: Attempt, reply: resp.Reply, *, no_trailing_data: bool
    ) -> None:
        """Called with a complete reply; `no_trailing_data`: nothing was received after it."""
        is_error = isinstance(reply, resp.ErrorReply)
        if is_error:
            result = None
            reusable = reply.startswith(REUSABLE_ERRORS)
        else:
            result = resp.parse_answer(reply)
            reusable = result is not None or attempt.session is None
        if reusable and no_trailing_data and connection.request_written:
            self.pool.add_idle(connection)
        else:  # unwritten or trailing data would corrupt the next request on this connection
            connection.transport.abort()
        attempt.connection = None
        if is_error:
            self._fail(attempt, reply)
        elif attempt.session is None:
            self.finish(attempt, AttemptResult.OK, load_report=reply if type(reply) is bytes else b"")
        elif result is not None:
            self.finish(attempt, AttemptResult.OK, *result)
        else:
            self.on_malformed_answer(attempt, f"unexpected reply structure: {str(reply)[:80]}")

    def _fail(self, attempt: Attempt, error: bytes) -> None:
        """Ends an attempt with an error reply: `BUSY` or `ERR failed`, followed by the load report."""
        code, _, details = error.partition(b" ")
        result = AttemptResult.REJECTED if code == BUSY else AttemptResult.ERROR
        if result is AttemptResult.ERROR and not details.startswith(b"failed"):
            self.dispatcher.log.line_limited(
                "backend", f"{attempt.backend.address} replied with an unknown error: {bytes(error[:80])!r}"
            )
        self.finish(attempt, result, load_report=details.rpartition(b" ")[2])

    def on_malformed_answer(self, attempt: Attempt, reason: str) -> None:
        """Ends an attempt whose answer is malformed. The request ran; its connection is not reused."""
        self.dispatcher.log.line_limited("answer", f"from {attempt.backend.address} is malformed: {reason}")
        self.finish(attempt, AttemptResult.MALFORMED)

    def finish(
        self,
        attempt: Attempt,
        result: AttemptResult,
        value: bytes = b"",
        load_report: bytes = b"",
        *,
        stream: ValueStream | None = None,
    ) -> None:
        """Ends an attempt with its only outcome, and closes a connection that still carries it.

        With `OK` the client is answered with `value`, or with the complete `stream`. Does nothing if the
        attempt has already ended.
        """
        session = attempt.session
        if session is not None and self.in_flight.pop((session.id, attempt.number), None) is None:
            return
        self.dispatcher.deadlines.cancel(attempt.deadline)
        attempt.deadline = None
        attempt.backend.queued.pop(attempt, None)
        if result is AttemptResult.REJECTED:
            attempt.sent.may_have_run = False
        connection = attempt.connection
        attempt.connection = None
        if connection is not None and connection.attempt is attempt:
            connection.drop()
        if session is not None and result is AttemptResult.OK:
            answered = self.dispatcher.finish(session, Answer(AnswerKind.SERVED, value, stream=stream))
            if stream is not None and not answered:
                stream.discard()
        latency_ns = self.dispatcher.now_ns() - attempt.sent_ns
        self.report(session, attempt.number, attempt.backend.id, result, latency_ns, load_report)

    def report(
        self,
        session: Session | None,
        number: int,
        backend_id: int,
        result: AttemptResult,
        latency_ns: int,
        load_report: bytes = b"",
    ) -> None:
        """Reports an outcome to the policy; without a session, the outcome of a health check."""
        figures = parse_load_report(load_report, self.settings.load_report_fields) if load_report else []
        if session is None:
            self.dispatcher.post(HealthCheckResult(backend_id, result, latency_ns, figures))
            return
        session.last_result = result
        self.dispatcher.trace.record(self.dispatcher.now_ns(), Step.OUTCOME, session.call.id, result)
        counters = self.dispatcher.counters
        name = RESULT_COUNTERS[result]
        setattr(counters, name, getattr(counters, name) + 1)
        outcome = AttemptOutcome(
            session.id, number, backend_id, result, latency_ns, session.ended, 0, 0.0, figures
        )
        self.dispatcher.post(outcome)
