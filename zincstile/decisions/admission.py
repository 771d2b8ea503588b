"""Admission of one request: quota, ceiling, budget draw, choice of an endpoint; the reason of a rejection."""

from __future__ import annotations

import random
from typing import Final

from .actions import ActionQueue
from .budget_split import BudgetTree
from .collaborators import QuotaSource
from .concurrency_limit import ConcurrencyLimit
from .endpoints import Endpoint
from .forwarding import Forwarder
from .gossip import Gossip
from .load_balancing import EndpointChooser
from .messages import RejectionReason, RejectRequest, Request
from .quotas import QuotaLedger
from .records import Customer, PendingRequest, TrafficGroup
from .requests import RequestTable
from .settings import CustomerPlan, Settings
from .units import SECOND_NS

CEILING_SLACK_SHARE: Final = 0.5  # of the ceiling's slack that is used
RETRIES_PER_REQUEST: Final = 0.1  # retries earned by each request that is forwarded
MAX_RETRY_BUDGET: Final = 4.0  # retries that can be saved up


class Admission:
    """Owner of the retry budget; decides on new requests."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        actions: ActionQueue,
        requests: RequestTable,
        ledger: QuotaLedger,
        budget: BudgetTree,
        limit: ConcurrencyLimit,
        gossip: Gossip,
        forwarder: Forwarder,
        choose: EndpointChooser,
    ) -> None:
        """Takes the parts that it works with."""
        self.settings = settings
        self.rng = rng
        self.actions = actions
        self.requests = requests
        self.ledger = ledger
        self.budget = budget
        self.limit = limit
        self.gossip = gossip
        self.forwarder = forwarder
        self.choose = choose  # features put theirs before it
        self.quotas: QuotaSource  # set by `Policy`: the usual one needs `decide`
        self.retry_budget = MAX_RETRY_BUDGET

    def on_request(self, now: int, request: Request) -> None:
        """A client's request. It is decided on at once, or when its quota is known."""
        self.ledger.record_traffic(now)
        customer = self.ledger.customer_of(now, request)
        request_class = self.settings.classes[request.class_index]
        value_deadline_ns = request.deadline_ns
        if not request_class.late_weight and not request_class.streaming:
            # what can earn nothing more is worth no place in a queue
            value_deadline_ns = min(value_deadline_ns, now + request_class.latency_objective_ns)
        plan = self.settings.plans[request.plan]
        draw = self.rng.random()
        pending = PendingRequest(request, request_class, plan, now, value_deadline_ns, customer, draw)
        self.requests.add(pending)
        self.quotas.request_units(now, pending)

    def decide(self, now: int, pending: PendingRequest, inside_quota: bool, *, counted: bool) -> None:
        """Forwards a request or rejects it. `counted`: its units have left the bucket already."""
        request = pending.request
        customer = pending.customer
        side = self.budget.inside_quota if inside_quota else self.budget.beyond_quota
        group = side[request.class_index][request.plan]
        pending.inside_quota = inside_quota
        pending.group = group
        endpoint, reason = self._admitted_to(now, pending, group)
        if inside_quota and counted != (endpoint is not None):
            # forwarded and not counted yet, or counted and not forwarded
            self.quotas.spend(now, customer, -request.units if counted else request.units)
        if endpoint is None:
            self.actions.append(RejectRequest(request.id, self.retry_after_ns(pending), reason))
            self.requests.close(pending)
            return
        group.sent_units += request.units
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRIES_PER_REQUEST)
        customer.ceiling_level -= request.units
        self.forwarder.forward(now, pending, endpoint)

    def _admitted_to(
        self, now: int, pending: PendingRequest, group: TrafficGroup
    ) -> tuple[Endpoint | None, RejectionReason]:
        """The endpoint of the first attempt; without one, why the request is rejected."""
        units = pending.request.units
        plan = pending.plan
        if self._over_ceiling(now, pending.customer, plan, units):
            return None, RejectionReason.CEILING
        if not pending.inside_quota and plan.over_quota_weight <= plan.over_quota_cost:
            return None, RejectionReason.QUOTA
        group.arrived_units += units
        self.limit.record_request(units)
        if pending.admission_draw >= group.admission_rate:
            return None, RejectionReason.BUDGET
        return self.choose(now, pending), RejectionReason.NO_ENDPOINT

    def _over_ceiling(self, now: int, customer: Customer, plan: CustomerPlan, units: float) -> bool:
        """The units are beyond this gateway's part of the plan's ceiling."""
        part = self.quotas.ceiling_part(now, customer, plan)
        customer.refill_ceiling(now, plan.ceiling_rate * part, plan.ceiling_burst * part)
        if plan.ceiling_rate <= 0:
            return False
        return (
            customer.ceiling_level + CEILING_SLACK_SHARE * plan.ceiling_slack / customer.gateway_set_size
            < units
        )

    def retry_after_ns(self, pending: PendingRequest) -> int:
        """When the client may come again, also where the settings don't count on clients that heed it.

        Beyond the quota once the bucket has filled; inside it after the longest that clients comply with, as
        most spells of overload outlast that.
        """
        longest_ns = self.settings.max_retry_after_ns
        rate = pending.plan.rate
        if pending.inside_quota or not rate:
            return longest_ns
        lack = pending.request.units - pending.customer.level
        return min(longest_ns, max(self.gossip.period_ns, int(SECOND_NS * lack / rate)))
