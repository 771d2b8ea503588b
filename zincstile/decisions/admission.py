"""Admission of a request by quota, ceiling and budget, and choice of its first endpoint."""

from __future__ import annotations

import random
from typing import Final

from .actions import ActionQueue
from .budget_probe import BudgetProbe
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

CEILING_SLACK_SHARE: Final = 0.5  # share of a plan's `ceiling_slack` that gateways use
RETRIES_PER_REQUEST: Final = 0.1  # retries that each forwarded request adds to the retry budget
MAX_RETRY_BUDGET: Final = 4.0  # retries


class Admission:
    """Owns the retry budget; admits or rejects new requests."""

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
        probe: BudgetProbe,
        choose: EndpointChooser,
    ) -> None:
        """Stores the parts that it uses."""
        self.settings = settings
        self.rng = rng
        self.actions = actions
        self.requests = requests
        self.ledger = ledger
        self.budget = budget
        self.limit = limit
        self.gossip = gossip
        self.forwarder = forwarder
        self.probe = probe
        self.choose = choose  # features wrap it in their own
        self.quotas: QuotaSource  # set by `DecisionParts.use_quotas`, as the default one needs `decide`
        self.retry_budget = MAX_RETRY_BUDGET

    def on_request(self, now: int, request: Request) -> None:
        """Handles a client's request: admits or rejects it at once, or as soon as its quota is known."""
        self.ledger.record_traffic(now)
        customer = self.ledger.customer_of(now, request)
        request_class = self.settings.classes[request.class_index]
        value_deadline_ns = request.deadline_ns
        if not request_class.late_weight and not request_class.streaming:
            # a request that can't earn any value must not take a place in an endpoint's queue
            value_deadline_ns = min(value_deadline_ns, now + request_class.latency_objective_ns)
        plan = self.settings.plans[request.plan]
        draw = self.rng.random()
        pending = PendingRequest(request, request_class, plan, now, value_deadline_ns, customer, draw)
        self.requests.add(pending)
        self.quotas.request_units(now, pending)

    def decide(self, now: int, pending: PendingRequest, inside_quota: bool, *, counted: bool) -> None:
        """Forwards a request or rejects it. `counted`: its units were taken from the bucket already."""
        request = pending.request
        customer = pending.customer
        groups = self.budget.inside_quota if inside_quota else self.budget.beyond_quota
        group = groups[request.class_index][request.plan]
        pending.inside_quota = inside_quota
        pending.group = group
        endpoint, reason = self._choose_endpoint(now, pending, group)
        if inside_quota and counted != (endpoint is not None):
            # takes the units of a forwarded request that was not counted, or returns those of a rejected one
            self.quotas.spend(now, customer, -request.units if counted else request.units)
        if endpoint is None:
            self.actions.append(RejectRequest(request.id, self.retry_after_ns(pending), reason))
            self.requests.close(pending)
            return
        group.sent_units += request.units
        self.retry_budget = min(MAX_RETRY_BUDGET, self.retry_budget + RETRIES_PER_REQUEST)
        customer.ceiling_level -= request.units
        self.forwarder.forward(now, pending, endpoint)

    def _choose_endpoint(
        self, now: int, pending: PendingRequest, group: TrafficGroup
    ) -> tuple[Endpoint | None, RejectionReason]:
        """Returns the endpoint for the first attempt, or None with the reason for the rejection."""
        units = pending.request.units
        plan = pending.plan
        if self._over_ceiling(now, pending.customer, plan, units):
            return None, RejectionReason.CEILING
        if not pending.inside_quota and plan.over_quota_weight <= plan.over_quota_cost:
            return None, RejectionReason.QUOTA
        group.arrived_units += units
        self.limit.record_request(units)
        if pending.admission_draw >= group.admission_rate:
            if not self.probe.is_due(now):
                return None, RejectionReason.BUDGET
            pending.is_probe = True
        return self.choose(now, pending), RejectionReason.NO_ENDPOINT

    def _over_ceiling(self, now: int, customer: Customer, plan: CustomerPlan, units: float) -> bool:
        """Whether the units exceed this gateway's share of the ceiling."""
        share = self.quotas.ceiling_part(now, customer, plan)
        customer.refill_ceiling(now, plan.ceiling_rate * share, plan.ceiling_burst * share)
        if plan.ceiling_rate <= 0:
            return False
        return (
            customer.ceiling_level + CEILING_SLACK_SHARE * plan.ceiling_slack / customer.gateway_set_size
            < units
        )

    def retry_after_ns(self, pending: PendingRequest) -> int:
        """Returns how long the client should wait before a retry, whether or not clients comply with it.

        Over the quota, this is the time until the bucket has enough units. Inside the quota it is the longest
        time that clients comply with, as most overloads last longer than that.
        """
        max_ns = self.settings.max_retry_after_ns
        rate = pending.plan.rate
        if pending.inside_quota or not rate:
            return max_ns
        missing_units = pending.request.units - pending.customer.level
        return min(max_ns, max(self.gossip.period_ns, int(SECOND_NS * missing_units / rate)))
