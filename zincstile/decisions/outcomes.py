"""Outcomes of attempts: updates the estimates, then finishes or retries the request."""

from __future__ import annotations

from collections.abc import Callable

from .admission import Admission
from .concurrency_limit import ConcurrencyLimit
from .latency import LatencyModel
from .messages import AttemptOutcome, AttemptResult
from .outlier_detection import OutlierDetector
from .records import Attempt, PendingRequest
from .requests import AttemptTable, RequestTable
from .retries import NEVER_RAN, RETRY_COSTS, Retries
from .settings import Settings

OutcomeListener = Callable[[int, AttemptOutcome, Attempt], None]


class Outcomes:
    """Handles the outcomes of attempts. It has no state of its own."""

    def __init__(
        self,
        settings: Settings,
        requests: RequestTable,
        attempts: AttemptTable,
        detector: OutlierDetector,
        limit: ConcurrencyLimit,
        latency: LatencyModel,
        admission: Admission,
        retries: Retries,
    ) -> None:
        """Stores the parts that it uses."""
        self.settings = settings
        self.requests = requests
        self.attempts = attempts
        self.detector = detector
        self.limit = limit
        self.latency = latency
        self.admission = admission
        self.retries = retries
        self.listeners: list[OutcomeListener] = []  # features that use outcomes as well

    def on_attempt_outcome(self, now: int, outcome: AttemptOutcome) -> None:
        """Handles the outcome of one attempt."""
        pending = self.requests.pending.get(outcome.request)
        attempt = self.attempts.settle(outcome.request, outcome.attempt, pending)
        if attempt is None:
            return
        self._update_estimates(now, outcome, attempt)
        if pending is None:
            return
        if pending.is_probe:
            self.admission.probe.on_outcome(pending, outcome)
        if pending.plan.max_in_flight:
            self.admission.quotas.spend(now, pending.customer, 0.0)  # reports the attempts in flight
        if outcome.finished:
            if outcome.result is AttemptResult.OK:
                self._record_served(now, pending, outcome)
            self.requests.close(pending)
            return
        if outcome.result not in NEVER_RAN and pending.may_have_run_at is None:
            pending.may_have_run_at = attempt.endpoint
            pending.may_have_run_ns = attempt.sent_ns
        if pending.in_flight == 0:
            self.retries.retry_or_end(now, pending, RETRY_COSTS.get(outcome.result, 1.0))

    def _update_estimates(self, now: int, outcome: AttemptOutcome, attempt: Attempt) -> None:
        self.detector.record_outcome(now, outcome, attempt)
        result = outcome.result
        if result is AttemptResult.OK:
            self.limit.completed_units += attempt.units
        timed_out = result is AttemptResult.TIMEOUT
        if (timed_out or result is AttemptResult.OK) and not attempt.silence_recorded:
            self.limit.record_latency(outcome.latency_ns, attempt, timed_out=timed_out)
        for listener in self.listeners:
            listener(now, outcome, attempt)

    def _record_served(self, now: int, pending: PendingRequest, outcome: AttemptOutcome) -> None:
        """Records the value, the latency and the actual units of a request that was served."""
        request = pending.request
        request_class = pending.request_class
        group = pending.group
        in_time = now - pending.arrived_ns <= request_class.latency_objective_ns
        value_share = 1.0 if in_time else request_class.late_weight
        value_share *= 1.0 if pending.inside_quota else pending.plan.over_quota_weight
        if group is not None:
            group.earned_value += (
                request_class.priority_weight * pending.plan.price * value_share * request.units
            )
        self.latency.learn(request.class_index, outcome.latency_ns, request.units)
        if self.settings.settles_actual_units and outcome.actual_units and pending.inside_quota:
            self.admission.quotas.spend(now, pending.customer, outcome.actual_units - request.units)
