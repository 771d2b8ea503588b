"""Quotas and ceilings of customers: token buckets, and this gateway's part of each.

A bucket starts full, fills at the plan's rate and holds its burst. Gateways of a customer's set report what
they sent (`gossip`); this gateway's share is its part of the recent total, at least an even part.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from .messages import Request
from .peers import CEILING_SILENCE_NS, MAX_DIRECT_PEERS, SILENCE_NS, PeerTable
from .records import Customer, hash_id
from .settings import CustomerPlan, Settings
from .units import NEVER_NS, SECOND_NS

RELAYS: Final = 3  # of a wide set; a later one stands in for silent ones
REPORT_LAG_S: Final = 0.25  # how old the reports of peers are, with a margin
RECENT_USE_S: Final = 5.0  # time constant of the memory of who sends for a customer
EVEN_PART_S: Final = 1.0  # seconds at the quota's rate that even parts of a ceiling weigh
IDLE_S: Final = 15.0  # a customer whose bucket is full is forgotten after so long
FORGET_S: Final = 120.0  # any other
RELAY_ANSWER_VALID_NS: Final = 120 * SECOND_NS
QUIET_START_NS: Final = SECOND_NS // 4  # without a report of any peer: nothing was sent before the start


class QuotaLedger:
    """Owner of the customers' buckets."""

    def __init__(self, settings: Settings, rng: random.Random, peers: PeerTable) -> None:
        """Takes the parts that it works with."""
        self.settings = settings
        self.rng = rng
        self.peers = peers
        self.customers: dict[int, Customer] = {}
        self.started_ns = 0
        self.traffic_seen = False  # a request, or a report of one, has come
        self.on_first_request: Callable[[Customer], None] | None = (
            None  # leases: called at a customer's first request
        )
        self.ceilings_spent_ns = 0  # when ceilings were last spent before the start, at the latest

    def start(self, now: int) -> None:
        """The gateway starts."""
        self.started_ns = now
        self.ceilings_spent_ns = now

    def record_traffic(self, now: int) -> None:
        """The first request or report of one. What was spent of ceilings before is not known; but where all
        peers have sent a message and none has reported anything for a while, nothing was."""
        if self.traffic_seen:
            return
        all_reachable = len(self.peers.last_message) == self.settings.gateway_count - 1
        quiet = now - self.started_ns >= QUIET_START_NS and all_reachable
        self.traffic_seen = True
        self.ceilings_spent_ns = NEVER_NS if quiet else self.started_ns

    def get_or_create(self, key: int, plan: int, burst: float, now: int) -> Customer:
        """The customer of a key; a new one has a full bucket."""
        if key not in self.customers:
            self.customers[key] = Customer(key, plan, burst, now)
        return self.customers[key]

    def customer_of(self, now: int, request: Request) -> Customer:
        """The customer of a request, with its set of gateways."""
        customer = self.get_or_create(
            request.customer, request.plan, self.settings.plans[request.plan].burst, now
        )
        if not customer.gateway_set_known:
            self._meet(customer, request)
            if self.on_first_request is not None:
                self.on_first_request(customer)
        return customer

    def _meet(self, customer: Customer, request: Request) -> None:
        """A customer's first request here. All of a small set get its usage, the relay of a wide one."""
        settings = self.settings
        plan = settings.plans[customer.plan]
        customer.gateway_set_known = True
        customer.gateway_set_size = min(max(1, request.gateway_set_size), settings.gateway_count)
        customer.ceiling_filled_ns = self.ceilings_spent_ns
        members = [
            (request.first_gateway + k) % settings.gateway_count for k in range(customer.gateway_set_size)
        ]
        # What was spent before held the quota, so that the ceiling has its lead over that at least: else a
        # tier too large for a message of each soon would reject inside the quota for seconds after each
        # start.
        lead = max(0.0, plan.ceiling_burst - plan.burst)
        customer.ceiling_level = (
            lead / customer.gateway_set_size * (plan.over_quota_weight <= plan.over_quota_cost)
        )
        customer.relayed = customer.gateway_set_size > MAX_DIRECT_PEERS + 1 and settings.gossips
        if customer.relayed:
            first = hash_id(request.customer)
            customer.peers = [members[(first + k) % customer.gateway_set_size] for k in range(RELAYS)]
        else:
            customer.peers = [peer for peer in members if peer != settings.gateway_index]
            self.peers.direct.update(dict.fromkeys(customer.peers, True))

    def refill(self, now: int, customer: Customer) -> None:
        """At the whole rate by a relay or while a peer of the customer is reachable, else at the even
        part."""
        peers = self.peers
        if customer.relayed:
            reachable = self.settings.gateway_index in customer.peers
        else:
            reachable = not customer.peers or any(
                now - peers.last_message[p][1] < SILENCE_NS for p in customer.peers if p in peers.last_message
            )
        plan = self.settings.plans[customer.plan]
        part = 1.0 if reachable else 1.0 / customer.gateway_set_size
        # after a relay's answer the own bucket goes on from it
        whole = reachable or now - customer.relay_answer_ns < RELAY_ANSWER_VALID_NS
        capacity = plan.burst if whole else max(plan.burst * part, self.settings.max_request_units)
        customer.refill(now, plan.rate * part, capacity, RECENT_USE_S)

    def admits(self, customer: Customer, units: float) -> bool:
        """The units are inside this gateway's part of the quota, and of the plan's attempts in flight.

        A draw, so that not all gateways of the set send at once when an empty bucket has filled for one.
        """
        plan = self.settings.plans[customer.plan]
        if plan.rate and not self._part_covers(customer, units):
            return False
        return not plan.max_in_flight or not self.at_max_in_flight(customer, plan)

    def _part_covers(self, customer: Customer, units: float) -> bool:
        if customer.relayed:
            share = 1.0
        else:
            recent = customer.own_recent + customer.peers_recent
            share = max(1 / customer.gateway_set_size, (customer.own_recent + units) / (recent + units))
        # what peers have sent by now and not reported yet
        level = customer.level - customer.peers_recent * REPORT_LAG_S / RECENT_USE_S
        if level < units:
            return False
        left = share * (level + customer.unreported) - customer.unreported
        return left >= units * self.rng.random()

    def at_max_in_flight(self, customer: Customer, plan: CustomerPlan) -> bool:
        """As many attempts are in flight, here and by the reports of peers, as the plan allows."""
        since_ns = customer.filled_ns - self.settings.max_deadline_ns
        return customer.in_flight + customer.in_flight_at_peers(since_ns) >= plan.max_in_flight

    def ceiling_part(self, now: int, customer: Customer, plan: CustomerPlan) -> float:
        """This gateway's part of the ceiling, by recent use.

        The parts sum up to one where all know the same, and are even as soon as a peer of the customer is not
        reachable. Views differ for as long as reports travel; the quota, which is lower, then holds what goes
        out. Where more than the quota is admitted nothing does: parts are even there.
        """
        even = 1 / customer.gateway_set_size
        if (
            not plan.ceiling_rate
            or customer.relayed
            or not customer.peers
            or plan.over_quota_weight > plan.over_quota_cost
        ):
            return even
        last_message = self.peers.last_message
        oldest_ns = now - CEILING_SILENCE_NS
        if any(p not in last_message or last_message[p][1] < oldest_ns for p in customer.peers):
            return even
        prior = EVEN_PART_S * plan.rate
        own = customer.own_recent + prior / customer.gateway_set_size
        return own / (customer.own_recent + customer.peers_recent + prior)

    def idle_customers(self, now: int) -> list[int]:
        """Keys of those that may be forgotten, so that customers that come once don't fill the memory."""
        return [key for key, customer in self.customers.items() if self._is_idle(now, customer)]

    def _is_idle(self, now: int, customer: Customer) -> bool:
        """A forgotten customer starts with a full bucket, so the own one has to be full by now."""
        plan = self.settings.plans[customer.plan]
        idle_s = (now - customer.filled_ns) / SECOND_NS
        full = customer.level + plan.rate * idle_s / customer.gateway_set_size >= plan.burst
        return not customer.in_flight and idle_s > (IDLE_S if full and not customer.relayed else FORGET_S)

    def forget(self, keys: list[int]) -> None:
        """Drops these customers."""
        for key in keys:
            del self.customers[key]
