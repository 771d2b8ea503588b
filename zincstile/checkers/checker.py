"""Observes all network traffic of a run, keeps the history of each request, and reports rule violations.

Rules are checked at each event; deadlines are checked by `check_due`, which the run calls after every step.
The run also provides the clock. A violation is recorded once per rule and request.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from .answer_deadlines import AnswerDeadlines
from .ceilings import Ceilings
from .cold_starts import ColdStarts
from .drains import Drains
from .history import Attempt, Location, RequestHistory, RequestState, SentRequest, Violation
from .maintenance import Maintenance
from .quotas import Quotas
from .repeats import Repeats
from .rules import MS_NS, RULE_NAMES, Rule, RuleLimits
from .violations import ViolationLog

NEVER_NS: Final = 2**62  # later than the end of any run
MAX_VALUE_LENGTH: Final = 60  # of a value in an event or violation
MAX_ID_LENGTH: Final = 40  # of an unknown request id in a violation


@dataclass(slots=True)
class CheckerCounts:
    """Counts of the events that the checker observed."""

    requests: int = 0
    answers: int = 0
    attempts: int = 0
    arrivals: int = 0
    notifications: int = 0


class Checker:
    """Checks all rules of one run; an `emulators.observer.Observer` with further methods for the run."""

    def __init__(
        self,
        limits: RuleLimits,
        clock: Callable[[], tuple[int, int]],
        rules: tuple[str, ...] = RULE_NAMES,
        quotas: Quotas | None = None,
    ) -> None:
        """`rules`: those to check. `clock` returns the run's step and its time in nanoseconds."""
        self.limits = limits
        self.histories: dict[bytes, RequestHistory] = {}
        self.ended_gateways: dict[str, None] = {}
        self.locations: dict[str, Location] = {}  # of backends
        self.counts = CheckerCounts()
        self.drains = Drains(limits)
        self.maintenance = Maintenance(limits)
        self.cold_starts = ColdStarts(limits)
        self.ceilings = Ceilings(limits)
        self.quotas = quotas
        self._clock = clock
        self._log = ViolationLog(clock, rules)
        self._repeats = Repeats(limits, self.locations)
        self._deadlines = AnswerDeadlines(limits)
        self._values: dict[bytes, dict[bytes, None]] = {}  # by request: values that backends produced

    @property
    def violations(self) -> list[Violation]:
        """The violations so far, in order of time."""
        return self._log.violations

    def report_violation(self, rule: Rule, text: str, history: RequestHistory | None = None) -> None:
        """Records a violation, by a request or, if `history` is None, by none in particular."""
        self._log.report(rule, text, history)

    def record_event(self, text: str) -> None:
        """Records an event that concerns all requests: a fault, a restart, a changed endpoint list."""
        self._log.record_event(text)

    def forget_request(self, request_id: bytes) -> None:
        """Deletes a request's history, to bound the memory of runs without an end."""
        del self.histories[request_id]
        self._values.pop(request_id, None)

    def _record(self, history: RequestHistory, text: str) -> None:
        history.events.append(self._log.event(text))

    # ---- clients

    def request_sent(self, request: SentRequest) -> None:
        """Starts a request's history, or continues it if the request was not read and is sent again."""
        _, now_ns = self._clock()
        self.counts.requests += 1
        earlier = self.histories.get(request.id)
        if earlier is None and self.quotas is not None:
            self.quotas.request_sent(now_ns, request.plan, request.customer, request.units)
        history = self._begin_history(request, now_ns)
        if earlier is not None:
            history.attempts = earlier.attempts
            history.events = earlier.events
            history.reached_backend = earlier.reached_backend
            history.counted_in_quota = earlier.counted_in_quota
            history.earlier_attempts = len(earlier.attempts)
        self.histories[request.id] = history
        self._record(
            history,
            f"sent to {request.gateway}: {request.request_class} {request.plan} "
            f"units={request.units:g} timeout_ms={request.timeout_ms}",
        )

    def _begin_history(self, request: SentRequest, now_ns: int) -> RequestHistory:
        deadline = self._deadlines.request_sent(request, now_ns)
        return RequestHistory(
            id=request.id,
            request_class=request.request_class,
            plan=request.plan,
            customer=request.customer,
            units=request.units,
            key=request.key,
            gateway=request.gateway,
            connection=request.connection,
            sent_ns=now_ns,
            due_ns=deadline.due_ns,
            expires_ns=deadline.expires_ns,
        )

    def request_answered(self, request_id: bytes, kind: str, value: bytes) -> None:
        """Checks that the answer is the first, is in time, and has a value that a backend produced."""
        history = self.histories[request_id]
        _, now_ns = self._clock()
        self.counts.answers += 1
        self._record(history, f"answered: {kind} {value.decode('latin-1')[:MAX_VALUE_LENGTH]}".rstrip())
        if history.state not in (RequestState.OPEN, RequestState.LATE):
            self.report_violation(
                Rule.ANSWER, f"another answer ({kind}) in the state {history.state}", history
            )
            return
        history.state = RequestState(kind)
        if now_ns > history.due_ns:
            late_ms = (now_ns - history.due_ns) / MS_NS
            self.report_violation(Rule.ANSWER, f"answered {late_ms:.1f} ms late", history)
        if history.state is RequestState.SERVED and value not in self._values.get(request_id, ()):
            text = f"served a value that no backend produced for it: {value[:MAX_VALUE_LENGTH]!r}"
            self.report_violation(Rule.VALUE, text, history)

    def unexpected_answer(self, gateway: str, connection: int, text: str) -> None:
        """Reports an answer without a pending request."""
        message = f"{gateway} sent an answer without a pending request on connection {connection}: {text}"
        self.report_violation(Rule.ANSWER, message)

    def request_dropped(self, request_id: bytes) -> None:
        """Reports that a running gateway closed the connection after it had read the request."""
        history = self.histories[request_id]
        if history.gateway in self.ended_gateways:
            self.request_ended_unanswered(request_id)
            return
        self._record(history, "connection closed")
        if history.state is RequestState.OPEN:
            history.state = RequestState.VOID
            text = f"{history.gateway} closed the connection without an answer"
            self.report_violation(Rule.ANSWER, text, history)

    def request_unread(self, request_id: bytes) -> None:
        """Handles a connection that the gateway closed before it had read the request.

        If an attempt was made, the request was read after all, before or after the close: it was dropped.
        """
        history = self.histories[request_id]
        if history.attempted:
            self.request_dropped(request_id)
            return
        history.unread_at_close = history.gateway not in self.ended_gateways
        self.request_ended_unanswered(request_id)

    def request_ended_unanswered(self, request_id: bytes) -> None:
        """Records that an answer to the request is no longer required."""
        history = self.histories[request_id]
        if history.state is RequestState.OPEN:
            history.state = RequestState.VOID
            self._record(history, "answer no longer required")

    def client_disconnected(self, request_id: bytes) -> None:
        """Records that the client closed the connection."""
        history = self.histories[request_id]
        if history.state is RequestState.OPEN:
            _, history.disconnected_ns = self._clock()
        self.request_ended_unanswered(request_id)

    def waive_answer_deadlines(self, gateway: str) -> None:
        """Waives the deadlines of all unanswered requests to a gateway.

        Its machine accepted connections while no process ran, so that these may be answered late, or never.
        """
        for history in self.histories.values():
            if history.gateway == gateway and history.state in (RequestState.OPEN, RequestState.VOID):
                history.state = RequestState.LATE
                history.due_ns = NEVER_NS

    # ---- attempts

    def attempt_started(
        self, gateway: str, backend: str, request_id: bytes, first_byte_ns: int
    ) -> Attempt | None:
        """Checks an attempt whose first bytes were sent; returns None if no client sent the request."""
        history = self.histories.get(request_id)
        self.counts.attempts += 1
        if history is None:
            text = f"{gateway} sent {backend} a request that no client sent: {request_id[:MAX_ID_LENGTH]!r}"
            self.report_violation(Rule.FOREIGN, text)
            return None
        attempt = Attempt(gateway, backend, first_byte_ns)
        history.attempts.append(attempt)
        self._record(history, f"attempt {len(history.attempts)} started by {gateway} to {backend}")
        self._check_connection_end(history, attempt)
        self._check_backend_available(history, attempt)
        if len(history.attempts) > self.limits.max_attempts:
            self.report_violation(Rule.REPEAT, f"{len(history.attempts)} attempts exceed the limit", history)
        return attempt

    def _check_connection_end(self, history: RequestHistory, attempt: Attempt) -> None:
        """Checks that no attempt begins after the gateway or the client closed the connection."""
        if history.unread_at_close and history.gateway == attempt.gateway:
            text = f"{attempt.gateway} forwarded a request read after it had closed the connection"
            self.report_violation(Rule.ANSWER, text, history)
        if history.disconnected_ns is None:
            return
        late_ns = attempt.first_byte_ns - history.disconnected_ns - self.limits.disconnect_grace_ns
        if late_ns > 0:
            text = (
                f"sent to {attempt.backend} {late_ns / MS_NS:.1f} ms after the grace period of a disconnect"
            )
            self.report_violation(Rule.LEFT, text, history)

    def _check_backend_available(self, history: RequestHistory, attempt: Attempt) -> None:
        """Checks that the backend is not under maintenance, draining or gone."""
        attempt_start = attempt.gateway, attempt.backend, attempt.first_byte_ns
        description = f"{attempt.gateway} sent to {attempt.backend}"
        late_ns = self.maintenance.lateness_ns(*attempt_start)
        if late_ns > 0:
            text = f"{description} {late_ns / MS_NS:.1f} ms after the grace period of a maintenance"
            self.report_violation(Rule.MAINTENANCE, text, history)
        late_ns = self.drains.lateness_ns(*attempt_start)
        if late_ns > 0:
            self.report_violation(
                Rule.DRAIN,
                f"{description} {late_ns / MS_NS:.1f} ms after the grace period of a drain",
                history,
            )

    def attempt_completed(self, request_id: bytes, attempt: Attempt, timeout_ms: int = 0) -> None:
        """Checks an attempt whose last byte was sent: from now on it may have run.

        `timeout_ms`: the client's remaining time that the gateway passed to the backend.
        """
        history = self.histories[request_id]
        remaining_ns = history.expires_ns - attempt.first_byte_ns
        excess_ns = timeout_ms * MS_NS - remaining_ns - self.limits.deadline_slack_ns
        if excess_ns > 0:
            text = f"{attempt.backend} was given {timeout_ms} ms, {excess_ns / MS_NS:.1f} ms over the limit"
            self.report_violation(Rule.DEADLINE, text, history)
        _, attempt.complete_ns = self._clock()
        self._record(history, f"attempt to {attempt.backend} completely sent")
        self._check_quota(history, attempt.complete_ns)
        text = self._repeats.violation(history, attempt)
        if text:
            self.report_violation(Rule.REPEAT, text, history)

    def _check_quota(self, history: RequestHistory, now_ns: int) -> None:
        """Charges a request to its quota once, when its first attempt was completely sent."""
        if self.quotas is None or history.counted_in_quota:
            return
        history.counted_in_quota = True
        excess = self.quotas.request_forwarded(now_ns, history.plan, history.customer, history.units)
        if excess > 0:
            text = f"{history.customer_name} is {excess:.2f} units over the bound of its quota"
            self.report_violation(Rule.QUOTA, text, history)

    # ---- backends

    def add_backend(self, name: str, zone: int, cell: int) -> None:
        """Registers a backend's location by the numbers of its zone and cell."""
        self.locations[name] = Location(zone, cell)

    def attempt_received(
        self, backend: str, request_id: bytes, key: bytes, gateway: str, work_ns: int
    ) -> None:
        """Checks key, ceiling and cold starts for an attempt that has reached its backend."""
        history = self.histories.get(request_id)
        _, now_ns = self._clock()
        self.counts.arrivals += 1
        if history is None:
            return  # reported when the attempt started
        self._record(history, f"received by {backend}")
        if key != history.key:
            self.report_violation(Rule.FOREIGN, f"{backend} received a key other than the client's", history)
        self._check_ceiling(history, now_ns)
        self._check_cold_start(history, now_ns, backend, gateway, work_ns)

    def _check_ceiling(self, history: RequestHistory, now_ns: int) -> None:
        """Charges a request to its ceiling once, when its first attempt is received."""
        if history.reached_backend:
            return
        history.reached_backend = True
        excess = self.ceilings.consume(now_ns, history.plan, history.customer, history.units)
        if excess > 0:
            text = f"{history.customer_name} is {excess:.2f} units over its ceiling and slack"
            self.report_violation(Rule.CEILING, text, history)

    def _check_cold_start(
        self, history: RequestHistory, now_ns: int, backend: str, gateway: str, work_ns: int
    ) -> None:
        previous_ratio = self.cold_starts.calls.peak_ratio
        excess_ns = self.cold_starts.call_received(now_ns, backend, gateway, work_ns)
        if excess_ns > 0:
            text = f"{backend} was sent {excess_ns / MS_NS:.0f} ms of work over its cold start limit"
            self.report_violation(Rule.COLD, text, history)
        ratio = self.cold_starts.calls.peak_ratio
        if ratio > max(1.0, previous_ratio):
            text = f"{backend} was sent {ratio:.2f} times the calls of its cold start limit"
            self.report_violation(Rule.COLD_CALLS, text, history)

    def attempt_rejected(self, backend: str, request_id: bytes) -> None:
        """Marks the latest attempt at the backend as rejected: it did not run."""
        history = self.histories.get(request_id)
        if history is None:
            return
        self._record(history, f"rejected by {backend}")
        for attempt in reversed(history.attempts):
            if attempt.backend == backend and not attempt.rejected:
                attempt.rejected = True
                return

    def value_produced(self, backend: str, request_id: bytes, value: bytes) -> None:
        """Records a value that a backend produced, with which the request may be served."""
        self._values.setdefault(request_id, {})[value] = None

    def protocol_violated(self, receiver: str, gateway: str, reason: str) -> None:
        """Reports that a gateway sent a message that the protocol does not define."""
        self.report_violation(Rule.FOREIGN, f"{gateway} sent {receiver}: {reason}")

    # ---- discovery and gateways

    def endpoint_changed(self, backend: str, status: str, since_ms: int) -> None:
        """Records that discovery has learned of a backend's new status."""
        _, now_ns = self._clock()
        self.record_event(f"{backend} is {status}")
        self.drains.endpoint_changed(now_ns, backend, status)

    def gateway_notified(self, gateway: str, backend: str, status: str, since_ms: int) -> None:
        """Records that discovery has sent a backend's status to a gateway."""
        _, now_ns = self._clock()
        self.counts.notifications += 1
        self.drains.gateway_notified(now_ns, gateway, backend, status)
        self.cold_starts.gateway_notified(gateway, backend, since_ms)

    def gateway_started(self, gateway: str) -> None:
        """Records that a process of the gateway starts."""
        _, now_ns = self._clock()
        self.ended_gateways.pop(gateway, None)
        self.drains.gateway_started(now_ns, gateway)
        self.cold_starts.gateway_started(gateway)
        self.record_event(f"{gateway} started")

    def gateway_paused(self, gateway: str, pause_ns: int) -> None:
        """Extends the deadlines of open and later requests by a pause in which the gateway gets no CPU."""
        _, now_ns = self._clock()
        self._deadlines.gateway_paused(gateway, now_ns + pause_ns)
        for history in self.histories.values():
            if history.gateway == gateway and history.state is RequestState.OPEN:
                self._deadlines.postpone(history, pause_ns)

    def gateway_ended(self, gateway: str) -> None:
        """Records that the gateway was killed or has shut down: its answers are no longer required."""
        self.ended_gateways[gateway] = None
        self.drains.gateway_ended(gateway)
        self.record_event(f"{gateway} ended")

    # ---- deadlines and end of the run

    def check_due(self, now_ns: int) -> bool:
        """Checks the deadlines after a step; returns whether any rule has been violated so far."""
        for history in self._deadlines.pop_overdue(now_ns, self.histories):
            if history.gateway in self.ended_gateways:
                self.request_ended_unanswered(history.id)
            else:
                history.state = RequestState.LATE
                self.report_violation(Rule.ANSWER, "no answer before the deadline", history)
        return bool(self.violations)

    def check_resources_released(self, gateway: str, held_counts: dict[str, int]) -> None:
        """Checks that a gateway without requests holds no resources; `held_counts` gives them by name."""
        leaks = ", ".join(f"{count} {name}" for name, count in held_counts.items() if count)
        if leaks:
            self.report_violation(Rule.RESOURCES, f"{gateway} still holds at the end: {leaks}")

    def check_descriptors(self, gateway: str, peak: int, limit: int) -> None:
        """Checks the peak number of descriptors of a gateway against its limit."""
        if peak > limit:
            self.report_violation(
                Rule.RESOURCES, f"{gateway} held {peak} descriptors, over the limit of {limit}"
            )

    def report_invariant(self, gateway: str, text: str) -> None:
        """Reports an invariant violation that the gateway itself counted (`net.invariants`)."""
        self.report_violation(Rule.INVARIANT, f"{gateway}: {text}")

    def report_fault(self, gateway: str, text: str) -> None:
        """Reports an exception in a gateway, or an unexpected exit of its process."""
        self.report_violation(Rule.RESOURCES, f"{gateway}: exception or unexpected exit: {text}")
