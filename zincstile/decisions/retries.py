"""Retries and hedged requests: whether a request gets another attempt, and its final answer if not.

The retry budget bounds them: each forwarded request adds a fraction of a retry to it.
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
# What a retry takes from the retry budget, by the result of the previous attempt; 1 for all other results.
RETRY_COSTS: Final = {
    AttemptResult.REJECTED: 0.0,  # a rejected request cost the endpoint no work
    AttemptResult.CONNECT_FAILED: 0.0,
    AttemptResult.STALE_CONNECTION: 0.5,
}
HEDGE_COST: Final = 1.0


class Retries:
    """Decides on attempts after the first. The retry budget belongs to `Admission`, which fills it."""

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
        """Stores the parts that it uses."""
        self.settings = settings
        self.actions = actions
        self.requests = requests
        self.limit = limit
        self.budget = budget
        self.admission = admission
        self.forwarder = forwarder

    def hedge(self, now: int, pending: PendingRequest, first: Attempt) -> None:
        """Sends a hedged request beside an attempt that has been unanswered for long.

        Without it, a hung connection or endpoint would hold the request until its deadline. None is sent
        under overload, as hedged requests would add to it.
        """
        overloaded = self.limit.overload_signal > BUSY_THRESHOLD or self.budget.is_limiting
        if pending.in_flight > 1 or not self.settings.hedges or pending.streaming or overloaded:
            return
        earlier = pending.may_have_run_at
        earlier_ns = pending.may_have_run_ns
        if earlier is None:  # the first attempt may have run by now
            pending.may_have_run_at = first.endpoint
            pending.may_have_run_ns = first.sent_ns
        if not self.retry(now, pending, HEDGE_COST):
            pending.may_have_run_at = earlier
            pending.may_have_run_ns = earlier_ns

    def retry(self, now: int, pending: PendingRequest, cost: float) -> bool:
        """Sends another attempt if the class allows one and the retry budget covers its cost.

        Returns whether it was sent.
        """
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
        """Sends another attempt, or else the final answer.

        The answer is a rejection if no attempt can have run or the request may be repeated safely; otherwise
        it is a failure.
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
