"""Quotas by gossip: whether the units of a request are inside the quota, by the own bucket or by a relay's.

Where a customer's set of gateways is wide no report is fresh: the request waits for the answer of the
customer's relay, some milliseconds. `RelayedQuotas` is the usual `QuotaSource`.
"""

from __future__ import annotations

from typing import Final

from .actions import ActionQueue
from .budget_split import BudgetTree
from .collaborators import Decide
from .gossip import HEARTBEAT_NS, TOTAL_MODULUS, Gossip
from .messages import CustomerUsage
from .peers import SILENCE_NS, PeerTable
from .quotas import QuotaLedger
from .records import Customer, PendingRequest
from .requests import RequestTable
from .settings import CustomerPlan, Settings
from .timers import QUOTA_TIMER, TIMER_KINDS
from .units import SECOND_NS

QUERY_WAIT_NS: Final = SECOND_NS // 12  # for a relay's answer
MAX_QUERIES: Final = 2  # of one request
QUERY_MODULUS: Final = 2**16  # ids of queries are sent modulo this
HOPED_PARTS: Final = 4.0  # even parts of the refill that an empty bucket is hoped to hold


class RelayedQuotas:
    """Owner of the queries that wait for a relay's answer."""

    def __init__(
        self,
        settings: Settings,
        actions: ActionQueue,
        peers: PeerTable,
        ledger: QuotaLedger,
        gossip: Gossip,
        budget: BudgetTree,
        requests: RequestTable,
        decide: Decide,
    ) -> None:
        """Takes the parts that it works with."""
        self.settings = settings
        self.actions = actions
        self.peers = peers
        self.ledger = ledger
        self.gossip = gossip
        self.budget = budget
        self.requests = requests
        self.decide = decide
        self.waiting: dict[int, PendingRequest] = {}  # by the id of the query

    # ---- the quota source

    def request_units(self, now: int, pending: PendingRequest) -> None:
        """Asks the relay where the set is wide, after a loss again; else the last report decides.

        Not where no answer could help, which spares a relay's intake customers of many requests, and jams.
        """
        request = pending.request
        customer = pending.customer
        lost = pending.relay_queries == MAX_QUERIES
        if lost and now - self.peers.last_message.get(pending.relay, (0, 0))[1] > HEARTBEAT_NS:
            self.peers.unanswered_ns[pending.relay] = now
        self.ledger.refill(now, customer)
        age_ns = now - customer.relay_answer_ns
        hoped_rate = pending.plan.rate * min(1.0, HOPED_PARTS / customer.gateway_set_size)
        empty = (
            customer.relayed
            and age_ns < SILENCE_NS
            and customer.relay_level + hoped_rate * age_ns / SECOND_NS < request.units
        )
        over_budget = (
            pending.admission_draw
            >= self.budget.inside_quota[request.class_index][request.plan].admission_rate
        )
        no_use = empty or over_budget or lost or not customer.relayed
        if no_use or not self._query(now, pending):
            self.decide(
                now, pending, not empty and self.ledger.admits(customer, request.units), counted=False
            )

    def timer_fired(self, now: int, request_id: int, pending: PendingRequest | None) -> None:
        """No answer came in time."""
        self.forget_query(request_id)
        if pending is not None and pending.group is None:
            self.request_units(now, pending)

    def spend(self, now: int, customer: Customer, units: float) -> None:
        """Units were sent (below 0: were not); 0: attempts in flight have changed."""
        self.gossip.spend(now, customer, units)

    def ceiling_part(self, now: int, customer: Customer, plan: CustomerPlan) -> float:
        """This gateway's part of the customer's ceiling."""
        return self.ledger.ceiling_part(now, customer, plan)

    def request_closed(self, pending: PendingRequest) -> None:
        """Nothing to do: a query that is out ends by its timer."""

    def customers_forgotten(self, keys: list[int]) -> None:
        """Nothing is kept of customers but their buckets."""

    # ---- queries

    def _query(self, now: int, pending: PendingRequest) -> bool:
        """Asks the customer's relay; False where there is none, or no time."""
        request = pending.request
        relay = self.peers.relay_of(now, pending.customer)
        too_late = request.deadline_ns - now < MAX_QUERIES * QUERY_WAIT_NS
        if relay < 0 or relay == self.settings.gateway_index or too_late:
            return False
        query_id = request.id % QUERY_MODULUS
        pending.relay = relay
        pending.relay_queries += 1
        self.waiting[query_id] = pending
        usage = self.gossip.usage_of(pending.customer, request.units, query_id)
        self.gossip.send(relay, [usage], with_estimates=True)
        self.actions.set_timer(now + QUERY_WAIT_NS, request.id * TIMER_KINDS + QUOTA_TIMER)
        return True

    def forget_query(self, request_id: int) -> None:
        """A query that nobody answered would be kept for good."""
        self.waiting.pop(request_id % QUERY_MODULUS, None)

    def grant(self, now: int, peer: int, query: CustomerUsage, customer: Customer) -> None:
        """Answers a peer's query.

        What is granted leaves the bucket at once, so that two that ask together get it once.
        """
        granted = self.ledger.admits(customer, query.requested_units)
        if granted:
            customer.record_grant(peer, query, now, TOTAL_MODULUS)
        want = query.requested_units if granted else -query.requested_units
        answer = CustomerUsage(query.customer, query.plan, 0.0, customer.level, 0, want, query.query_id, True)
        self.gossip.send(peer, [answer], with_estimates=True)

    def on_answer(self, now: int, answer: CustomerUsage, customer: Customer) -> None:
        """A relay's answer to a query; it is dropped where the request does not wait for it any more."""
        pending = self.waiting.pop(answer.query_id, None)
        if pending is None or pending.customer is not customer or pending.group is not None:
            return
        if pending.request.id not in self.requests.pending:
            return
        customer.level = answer.level
        customer.relay_level = answer.level
        customer.relay_answer_ns = now
        customer.query_id = answer.query_id
        granted = answer.requested_units > 0
        if granted:  # the relay has counted it already
            customer.total = (customer.total + pending.request.units) % TOTAL_MODULUS
        self.decide(now, pending, granted, counted=granted)
