"""Retries and hedged requests: whether a request has a further attempt, and its final answer where not.

A budget bounds them: each request that is forwarded earns a part of a retry.
"""

from __future__ import annotations

from typing import Final

from .actions import ActionQueue
from .admission import Admission
from .budget_split import BudgetTree
from .concurrency_limit import BUSY_THRESHOLD, ConcurrencyLimit
from .forwarding import Forwarder
from .messages import AttemptResult, FailRequest, RejectionReason, RejectRequest
from .records import Attempt, PendingRequest
from .requests import RequestTable
from .settings import Idempotency, Settings

NEVER_RAN: Final = (AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)
RETRY_COSTS: Final = {  # of the budget, by the result of the attempt before; 1 where not named
    AttemptResult.REJECTED: 0.0,  # it cost no work there
    AttemptResult.CONNECT_FAILED: 0.0,
    AttemptResult.STALE_CONNECTION: 0.5,
}
HEDGE_COST: Final = 1.0


class Retries:
    """Decides on further attempts. The retry budget is `Admission`'s, which earns it."""

    def __init__(
        self,
        settings: Settings,
        actions: ActionQueue,
        requests: RequestTable,
        limit: ConcurrencyLimit,
        budget: BudgetTree,
        admission: Admission,
        forwarder: Forwarder,
    ) -> None:
        """Takes the parts that it works with."""
        self.settings = settings
        self.actions = actions
        self.requests = requests
        self.limit = limit
        self.budget = budget
        self.admission = admission
        self.forwarder = forwarder

    def hedge(self, now: int, pending: PendingRequest, first: Attempt) -> None:
        """A hedged request beside an attempt that is long silent, as connections and endpoints that fell
        silent hold a request until its deadline. Not under overload, as hedged requests would add to it."""
        overloaded = self.limit.overload_signal > BUSY_THRESHOLD or self.budget.is_limiting
        if pending.in_flight > 1 or not self.settings.hedges or pending.streaming or overloaded:
            return
        before = pending.may_have_run_at
        before_ns = pending.may_have_run_ns
        if before is None:  # it may have run by now
            pending.may_have_run_at = first.endpoint
            pending.may_have_run_ns = first.sent_ns
        if not self.retry(now, pending, HEDGE_COST):
            pending.may_have_run_at = before
            pending.may_have_run_ns = before_ns

    def retry(self, now: int, pending: PendingRequest, cost: float) -> bool:
        """A further attempt, where the class allows one and the retry budget covers its cost."""
        if (
            not self._may_run_again(now, pending)
            or len(pending.attempted_endpoints) >= self.settings.max_attempts
        ):
            return False
        if self.admission.retry_budget < cost or pending.value_deadline_ns - now <= pending.expected_ns / 2:
            return False
        endpoint = self.admission.choose(now, pending)
        if endpoint is None:
            return False
        self.admission.retry_budget -= cost
        self.forwarder.forward(now, pending, endpoint)
        return True

    def retry_or_end(self, now: int, pending: PendingRequest, cost: float) -> None:
        """A further attempt, else the final answer:

        rejected where nothing of it can have run, else failed.
        """
        if self.retry(now, pending, cost):
            return
        request = pending.request
        if pending.may_have_run_at is None or pending.request_class.idempotency is Idempotency.ALWAYS:
            retry_after_ns = self.admission.retry_after_ns(pending)
            self.actions.append(RejectRequest(request.id, retry_after_ns, RejectionReason.NO_RETRY))
        else:
            self.actions.append(FailRequest(request.id))
        self.requests.close(pending)

    @staticmethod
    def _may_run_again(now: int, pending: PendingRequest) -> bool:
        request_class = pending.request_class
        if pending.may_have_run_at is None or request_class.idempotency is Idempotency.ALWAYS:
            return True
        keyed = request_class.idempotency is Idempotency.BY_KEY
        return keyed and now - pending.may_have_run_ns < request_class.deduplication_window_ns
