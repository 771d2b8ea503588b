"""Observes all that crosses the network, keeps each request's history, and names what breaks a rule.

Clock and step are asked of the run. Rules are checked as things happen; what is due by time is checked by
`check_due`, which the run calls after every step. A violation is recorded once for each rule and request.
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

NEVER_NS: Final = 2**62  # later than any run ends
VALUE_LENGTH: Final = 60  # bytes of a value that a history shows
ID_LENGTH: Final = 40  # bytes of an unknown id that a violation shows


@dataclass(slots=True)
class CheckerCounts:
    """What the checker observed."""

    requests: int = 0
    answers: int = 0
    attempts: int = 0
    arrivals: int = 0
    notifications: int = 0


class Checker:
    """All checkers of one run; an `emulators.observer.Observer`, notified of more by the run itself."""

    def __init__(
        self,
        limits: RuleLimits,
        clock: Callable[[], tuple[int, int]],
        rules: tuple[str, ...] = RULE_NAMES,
        quotas: Quotas | None = None,
    ) -> None:
        """Check these rules. `clock` gives the run's step and its time in nanoseconds."""
        self.limits = limits
        self.histories: dict[bytes, RequestHistory] = {}
        self.ended_gateways: dict[str, None] = {}
        self.locations: dict[str, Location] = {}  # of backends
        self.counts = CheckerCounts()
        self.drains = Drains(limits)
        self.maintenance = Maintenance(limits)
        self.cold = ColdStarts(limits)
        self.ceilings = Ceilings(limits)
        self.quotas = quotas
        self._clock = clock
        self._log = ViolationLog(clock, rules)
        self._repeats = Repeats(limits, self.locations)
        self._deadlines = AnswerDeadlines(limits)
        self._values: dict[bytes, dict[bytes, None]] = {}  # by request: what backends produced for it

    @property
    def violations(self) -> list[Violation]:
        """The violations so far, in their order."""
        return self._log.violations

    def report_violation(self, rule: Rule, text: str, history: RequestHistory | None = None) -> None:
        """Record that a rule is broken, by that request or by none."""
        self._log.report(rule, text, history)

    def record_event(self, text: str) -> None:
        """Record what concerns all requests: a fault, a restart, a change of the list."""
        self._log.record_event(text)

    def forget_request(self, request_id: bytes) -> None:
        """Drop a request's history, for runs that have no end."""
        del self.histories[request_id]
        self._values.pop(request_id, None)

    def _record(self, history: RequestHistory, text: str) -> None:
        history.events.append(self._log.event(text))

    # ---- clients

    def request_sent(self, request: SentRequest) -> None:
        """Begin a request's history, or go on with that of one that was not read and is sent anew."""
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
            f"asked of {request.gateway}: {request.request_class} {request.plan} "
            f"units={request.units:g} d={request.timeout_ms}",
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
        """Check that the answer is the first, in time, and of a value that a backend produced."""
        history = self.histories[request_id]
        _, now_ns = self._clock()
        self.counts.answers += 1
        self._record(history, f"answered: {kind} {value.decode('latin-1')[:VALUE_LENGTH]}".rstrip())
        if history.state not in (RequestState.OPEN, RequestState.LATE):
            self.report_violation(Rule.ANSWER, f"a second answer ({kind} after {history.state})", history)
            return
        history.state = RequestState(kind)
        if now_ns > history.due_ns:
            late_ms = (now_ns - history.due_ns) / MS_NS
            self.report_violation(Rule.ANSWER, f"{late_ms:.1f} ms after its time", history)
        if history.state is RequestState.SERVED and value not in self._values.get(request_id, ()):
            text = f"served with what no backend produced for it: {value[:VALUE_LENGTH]!r}"
            self.report_violation(Rule.VALUE, text, history)

    def unexpected_answer(self, gateway: str, connection: int, text: str) -> None:
        """Report an answer to nothing."""
        message = f"{gateway} answered what nobody asked on connection {connection}: {text}"
        self.report_violation(Rule.ANSWER, message)

    def request_dropped(self, request_id: bytes) -> None:
        """Report that a living gateway closed the connection after it had read the request."""
        history = self.histories[request_id]
        if history.gateway in self.ended_gateways:
            self.request_ended_unanswered(request_id)
            return
        self._record(history, "its connection ended")
        if history.state is RequestState.OPEN:
            history.state = RequestState.VOID
            text = f"{history.gateway} ended the connection without an answer"
            self.report_violation(Rule.ANSWER, text, history)

    def request_unread(self, request_id: bytes) -> None:
        """The connection was closed before the request was read.

        One that was attempted was read all the same, before the close or after it, and is lost.
        """
        history = self.histories[request_id]
        if history.attempted:
            self.request_dropped(request_id)
            return
        history.unread_at_close = history.gateway not in self.ended_gateways
        self.request_ended_unanswered(request_id)

    def request_ended_unanswered(self, request_id: bytes) -> None:
        """No answer is owed any more."""
        history = self.histories[request_id]
        if history.state is RequestState.OPEN:
            history.state = RequestState.VOID
            self._record(history, "nothing owed any more")

    def client_disconnected(self, request_id: bytes) -> None:
        """The client has closed the connection."""
        history = self.histories[request_id]
        if history.state is RequestState.OPEN:
            _, history.disconnected_ns = self._clock()
        self.request_ended_unanswered(request_id)

    def excuse_gateway(self, gateway: str) -> None:
        """The gateway's machine took connections while no process of it ran.

        What was asked meanwhile may be answered late, or never.
        """
        for history in self.histories.values():
            if history.gateway == gateway and history.state in (RequestState.OPEN, RequestState.VOID):
                history.state = RequestState.LATE
                history.due_ns = NEVER_NS

    # ---- attempts

    def attempt_started(
        self, gateway: str, backend: str, request_id: bytes, first_byte_ns: int
    ) -> Attempt | None:
        """Check an attempt whose command's head has left the gateway; None where no client made it."""
        history = self.histories.get(request_id)
        self.counts.attempts += 1
        if history is None:
            text = f"{gateway} sent {backend} a request that no client made: {request_id[:ID_LENGTH]!r}"
            self.report_violation(Rule.FOREIGN, text)
            return None
        attempt = Attempt(gateway, backend, first_byte_ns)
        history.attempts.append(attempt)
        self._record(history, f"attempt {len(history.attempts)} begun by {gateway} to {backend}")
        self._check_connection_end(history, attempt)
        self._check_backend_may_be_sent_to(history, attempt)
        if len(history.attempts) > self.limits.max_attempts:
            self.report_violation(Rule.REPEAT, f"{len(history.attempts)} attempts", history)
        return attempt

    def _check_connection_end(self, history: RequestHistory, attempt: Attempt) -> None:
        """Check that nothing begins once the connection was closed by the gateway or by the client."""
        if history.unread_at_close and history.gateway == attempt.gateway:
            text = f"{attempt.gateway} forwarded what it read after it had ended the connection"
            self.report_violation(Rule.ANSWER, text, history)
        if history.disconnected_ns is None:
            return
        late_ns = attempt.first_byte_ns - history.disconnected_ns - self.limits.disconnect_grace_ns
        if late_ns > 0:
            text = f"sent to {attempt.backend} {late_ns / MS_NS:.1f} ms too late after its client left"
            self.report_violation(Rule.LEFT, text, history)

    def _check_backend_may_be_sent_to(self, history: RequestHistory, attempt: Attempt) -> None:
        """Check that the backend is not under maintenance, draining or gone."""
        where = attempt.gateway, attempt.backend, attempt.first_byte_ns
        sent = f"{attempt.gateway} sent to {attempt.backend}"
        late_ns = self.maintenance.lateness_ns(*where)
        if late_ns > 0:
            text = f"{sent} {late_ns / MS_NS:.1f} ms after the grace of a confirmed maintenance"
            self.report_violation(Rule.MAINTENANCE, text, history)
        late_ns = self.drains.lateness_ns(*where)
        if late_ns > 0:
            self.report_violation(Rule.DRAIN, f"{sent} {late_ns / MS_NS:.1f} ms after the grace", history)

    def attempt_complete(self, request_id: bytes, attempt: Attempt, timeout_ms: int = 0) -> None:
        """Check an attempt whose last byte has left the gateway: from here on it may have run.

        `timeout_ms`: the client's remaining time, as the backend is given it.
        """
        history = self.histories[request_id]
        remaining_ns = history.expires_ns - attempt.first_byte_ns
        excess_ns = timeout_ms * MS_NS - remaining_ns - self.limits.deadline_slack_ns
        if excess_ns > 0:
            text = f"{attempt.backend} was given {timeout_ms} ms, {excess_ns / MS_NS:.1f} ms past the slack"
            self.report_violation(Rule.DEADLINE, text, history)
        _, attempt.complete_ns = self._clock()
        self._record(history, f"attempt to {attempt.backend} complete")
        self._check_quota(history, attempt.complete_ns)
        text = self._repeats.violation(history, attempt)
        if text:
            self.report_violation(Rule.REPEAT, text, history)

    def _check_quota(self, history: RequestHistory, now_ns: int) -> None:
        """Count a request against its quota once, when its first attempt has left."""
        if self.quotas is None or history.counted_in_quota:
            return
        history.counted_in_quota = True
        excess = self.quotas.request_forwarded(now_ns, history.plan, history.customer, history.units)
        if excess > 0:
            text = f"{history.customer_name} is {excess:.2f} units past the stated bound"
            self.report_violation(Rule.QUOTA, text, history)

    # ---- backends

    def add_backend(self, name: str, zone: int, cell: int) -> None:
        """Know where a backend stands, by the numbers of its zone and cell."""
        self.locations[name] = Location(zone, cell)

    def attempt_received(
        self, backend: str, request_id: bytes, key: bytes, gateway: str, work_ns: int
    ) -> None:
        """Check key, ceiling and cold starts at an attempt that has reached its backend."""
        history = self.histories.get(request_id)
        _, now_ns = self._clock()
        self.counts.arrivals += 1
        if history is None:
            return  # reported when it was sent
        self._record(history, f"arrived at {backend}")
        if key != history.key:
            self.report_violation(Rule.FOREIGN, f"the key changed on its way to {backend}", history)
        self._check_ceiling(history, now_ns)
        self._check_cold_start(history, now_ns, backend, gateway, work_ns)

    def _check_ceiling(self, history: RequestHistory, now_ns: int) -> None:
        """Count a request against its ceiling once, when its first attempt arrives."""
        if history.reached_backend:
            return
        history.reached_backend = True
        excess = self.ceilings.consume(now_ns, history.plan, history.customer, history.units)
        if excess > 0:
            text = f"{history.customer_name} is {excess:.2f} units past the slack"
            self.report_violation(Rule.CEILING, text, history)

    def _check_cold_start(
        self, history: RequestHistory, now_ns: int, backend: str, gateway: str, work_ns: int
    ) -> None:
        before = self.cold.calls.peak_ratio
        excess_ns = self.cold.call_received(now_ns, backend, gateway, work_ns)
        if excess_ns > 0:
            text = f"{backend} was sent {excess_ns / MS_NS:.0f} ms of work more than it can do"
            self.report_violation(Rule.COLD, text, history)
        ratio = self.cold.calls.peak_ratio
        if ratio > max(1.0, before):
            text = f"{backend} was sent {ratio:.2f} times the calls that it can do"
            self.report_violation(Rule.COLD_CALLS, text, history)

    def attempt_rejected(self, backend: str, request_id: bytes) -> None:
        """The latest attempt at that backend never ran."""
        history = self.histories.get(request_id)
        if history is None:
            return
        self._record(history, f"rejected by {backend}")
        for attempt in reversed(history.attempts):
            if attempt.backend == backend and not attempt.rejected:
                attempt.rejected = True
                return

    def value_produced(self, backend: str, request_id: bytes, value: bytes) -> None:
        """A backend produced a value with which the request may be served."""
        self._values.setdefault(request_id, {})[value] = None

    def protocol_violated(self, receiver: str, gateway: str, reason: str) -> None:
        """Report that a gateway sent what the protocol does not have."""
        self.report_violation(Rule.FOREIGN, f"{gateway} sent {receiver}: {reason}")

    # ---- discovery and gateways

    def endpoint_changed(self, backend: str, status: str, since_ms: int) -> None:
        """Discovery knows a new status of a backend."""
        _, now_ns = self._clock()
        self.record_event(f"{backend} is {status}")
        self.drains.endpoint_changed(now_ns, backend, status)

    def gateway_notified(self, gateway: str, backend: str, status: str, since_ms: int) -> None:
        """Discovery has written a backend's status to a gateway."""
        _, now_ns = self._clock()
        self.counts.notifications += 1
        self.drains.gateway_notified(now_ns, gateway, backend, status)
        self.cold.gateway_notified(gateway, backend, since_ms)

    def gateway_started(self, gateway: str) -> None:
        """A process of the gateway starts."""
        _, now_ns = self._clock()
        self.ended_gateways.pop(gateway, None)
        self.drains.gateway_started(now_ns, gateway)
        self.cold.gateway_started(gateway)
        self.record_event(f"{gateway} started")

    def gateway_paused(self, gateway: str, pause_ns: int) -> None:
        """The gateway gets no CPU: what it has open, and what comes meanwhile, may be that much later."""
        _, now_ns = self._clock()
        self._deadlines.gateway_paused(gateway, now_ns + pause_ns)
        for history in self.histories.values():
            if history.gateway == gateway and history.state is RequestState.OPEN:
                self._deadlines.postpone(history, pause_ns)

    def gateway_ended(self, gateway: str) -> None:
        """The gateway was killed, or has shut down as it was asked to: from here on it owes nothing."""
        self.ended_gateways[gateway] = None
        self.drains.gateway_ended(gateway)
        self.record_event(f"{gateway} ended")

    # ---- time, and the end

    def check_due(self, now_ns: int) -> bool:
        """Check, after every step, what is due by now. True where a rule is broken."""
        for history in self._deadlines.overdue(now_ns, self.histories):
            if history.gateway in self.ended_gateways:
                self.request_ended_unanswered(history.id)
            else:
                history.state = RequestState.LATE
                self.report_violation(Rule.ANSWER, "no answer in its time", history)
        return bool(self.violations)

    def check_leftovers(self, gateway: str, held: dict[str, int]) -> None:
        """Check that a gateway holds nothing when nothing is asked of it any more; counts by name."""
        found = ", ".join(f"{count} {name}" for name, count in held.items() if count)
        if found:
            self.report_violation(Rule.RESOURCES, f"{gateway} holds at the end: {found}")

    def check_descriptors(self, gateway: str, most: int, limit: int) -> None:
        """Check that a gateway never held more descriptors than it may."""
        if most > limit:
            self.report_violation(Rule.RESOURCES, f"{gateway} held {most} of {limit} descriptors")

    def report_invariant(self, gateway: str, text: str) -> None:
        """Report that the gateway itself counted a broken invariant (`net.invariants`)."""
        self.report_violation(Rule.INVARIANT, f"{gateway}: {text}")

    def report_fault(self, gateway: str, text: str) -> None:
        """Report an exception of a gateway, or an end that nobody asked for."""
        self.report_violation(Rule.RESOURCES, f"{gateway}: exception {text}")
