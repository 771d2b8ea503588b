"""Quotas by gossip: checks units against this gateway's bucket, or against the bucket of a relay.

If many gateways serve a customer, direct reports would never be up to date. Requests of such a customer wait
a few milliseconds for an answer of the customer's relay. `RelayedQuotas` is the default `QuotaSource`.
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

QUERY_WAIT_NS: Final = SECOND_NS // 12  # timeout of a query
MAX_QUERIES: Final = 2  # per request
QUERY_MODULUS: Final = 2**16  # ids of queries are sent modulo this
# An empty bucket at the relay is expected to refill for this gateway by at most this many even shares of the
# rate.
EXPECTED_SHARES: Final = 4.0


class RelayedQuotas:
    """Owns the queries to relays, and the requests that wait for their answers."""

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
        """Starts without queries."""
        self.settings = settings
        self.actions = actions
        self.peers = peers
        self.ledger = ledger
        self.gossip = gossip
        self.budget = budget
        self.requests = requests
        self.decide = decide
        self.waiting: dict[int, PendingRequest] = {}  # requests by the id of their query

    # ---- `QuotaSource`

    def request_units(self, now: int, pending: PendingRequest) -> None:
        """Queries the relay if the customer has one, and again after a timeout; otherwise decides locally.

        No query is sent if its answer could not change the decision. This spares relays queries for customers
        with many requests, and queries during overload.
        """
        request = pending.request
        customer = pending.customer
        out_of_queries = pending.relay_queries == MAX_QUERIES
        if out_of_queries and now - self.peers.last_message.get(pending.relay, (0, 0))[1] > HEARTBEAT_NS:
            self.peers.unanswered_ns[pending.relay] = now
        self.ledger.refill(now, customer)
        age_ns = now - customer.relay_answer_ns
        expected_rate = pending.plan.rate * min(1.0, EXPECTED_SHARES / customer.gateway_set_size)
        is_empty = (
            customer.relayed
            and age_ns < SILENCE_NS
            and customer.relay_level + expected_rate * age_ns / SECOND_NS < request.units
        )
        over_budget = (
            pending.admission_draw
            >= self.budget.inside_quota[request.class_index][request.plan].admission_rate
        )
        decides_locally = is_empty or over_budget or out_of_queries or not customer.relayed
        if decides_locally or not self._query(now, pending):
            self.decide(
                now, pending, not is_empty and self.ledger.admits(customer, request.units), counted=False
            )

    def timer_fired(self, now: int, request_id: int, pending: PendingRequest | None) -> None:
        """Handles the timeout of a query."""
        self.forget_query(request_id)
        if pending is not None and pending.group is None:
            self.request_units(now, pending)

    def spend(self, now: int, customer: Customer, units: float) -> None:
        """Records sent units; below 0, units that come back; 0, a change of the attempts in flight."""
        self.gossip.spend(now, customer, units)

    def ceiling_part(self, now: int, customer: Customer, plan: CustomerPlan) -> float:
        """Returns this gateway's share of the customer's ceiling."""
        return self.ledger.ceiling_part(now, customer, plan)

    def request_closed(self, pending: PendingRequest) -> None:
        """Does nothing: the timer of a pending query cleans up."""

    def customers_forgotten(self, keys: list[int]) -> None:
        """Does nothing: customers have no state here."""

    # ---- queries

    def _query(self, now: int, pending: PendingRequest) -> bool:
        """Sends a query to the customer's relay; returns False if there is no relay or too little time."""
        request = pending.request
        relay = self.peers.relay_of(now, pending.customer)
        is_too_late = request.deadline_ns - now < MAX_QUERIES * QUERY_WAIT_NS
        if relay < 0 or relay == self.settings.gateway_index or is_too_late:
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
        """Removes a query that was not answered in time, and would be kept forever."""
        self.waiting.pop(request_id % QUERY_MODULUS, None)

    def grant(self, now: int, peer: int, query: CustomerUsage, customer: Customer) -> None:
        """Answers a peer's query.

        Granted units leave the bucket at once, so that two gateways that ask together don't both get them.
        """
        is_granted = self.ledger.admits(customer, query.requested_units)
        if is_granted:
            customer.record_grant(peer, query, now, TOTAL_MODULUS)
        requested_units = query.requested_units if is_granted else -query.requested_units
        answer = CustomerUsage(
            query.customer, query.plan, 0.0, customer.level, 0, requested_units, query.query_id, True
        )
        self.gossip.send(peer, [answer], with_estimates=True)

    def on_answer(self, now: int, answer: CustomerUsage, customer: Customer) -> None:
        """Decides on the request that waits for an answer; ignores answers that no request waits for."""
        pending = self.waiting.pop(answer.query_id, None)
        if pending is None or pending.customer is not customer or pending.group is not None:
            return
        if pending.request.id not in self.requests.pending:
            return
        customer.level = answer.level
        customer.relay_level = answer.level
        customer.relay_answer_ns = now
        customer.query_id = answer.query_id
        is_granted = answer.requested_units > 0
        if is_granted:  # the relay has already counted these units
            customer.total = (customer.total + pending.request.units) % TOTAL_MODULUS
        self.decide(now, pending, is_granted, counted=is_granted)
