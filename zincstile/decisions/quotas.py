"""Quotas and ceilings of customers: token buckets, and this gateway's share of each.

A bucket starts full, fills at the plan's rate and has the plan's burst as its capacity. The gateways that
serve a customer report to each other what they sent (`gossip`). The share of a gateway is its part of the
recent total, but at least an even share.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Final

from .messages import Request
from .peers import CEILING_SILENCE_NS, MAX_DIRECT_PEERS, SILENCE_NS, PeerTable
from .records import Customer, hash_id
from .settings import CustomerPlan, Settings
from .units import NEVER_NS, SECOND_NS

RELAY_COUNT: Final = 3  # relays of a wide set, in order: a later one replaces silent ones
REPORT_LAG_S: Final = 0.25  # upper estimate of the age of peers' reports
RECENT_USE_S: Final = 5.0  # time constant of the decay of recent usage
EVEN_SHARE_S: Final = 1.0  # weight of even shares of a ceiling, in seconds of use at the rate of the quota
FULL_BUCKET_IDLE_S: Final = 15.0  # an idle customer with a full bucket is forgotten after this time
IDLE_S: Final = 120.0  # any other idle customer is forgotten after this time
RELAY_ANSWER_VALID_NS: Final = 120 * SECOND_NS
# Bounds the memory under ever new customers: the oldest new ones are forgotten first. A customer is new until
# it is seen again this long after its first request or report.
MAX_NEW_CUSTOMERS: Final = 4096
MAX_ESTABLISHED_CUSTOMERS: Final = 16384
NEW_CUSTOMER_NS: Final = SECOND_NS
# If all peers have sent messages but no usage for this long after the start, nothing was sent before it.
QUIET_START_NS: Final = SECOND_NS // 4


class QuotaLedger:
    """Owns the token buckets of the customers."""

    def __init__(self, settings: Settings, rng: random.Random, peers: PeerTable) -> None:
        """Starts without customers."""
        self.settings = settings
        self.rng = rng
        self.peers = peers
        self.customers: dict[int, Customer] = {}
        self.new_since_ns: dict[int, int] = {}  # by key, when new customers were first seen; the oldest first
        # Called with customers that are forgotten to make room for others; set with the quota source.
        self.on_evicted: Callable[[list[int]], None] | None = None
        self.started_ns = 0
        self.traffic_seen = False  # whether a request or a report of usage has arrived
        # Called at a customer's first request; set by the leases feature.
        self.on_first_request: Callable[[Customer], None] | None = None
        self.ceilings_spent_ns = 0  # latest time before the start at which a ceiling may have been used

    def start(self, now: int) -> None:
        """Records the start of the gateway."""
        self.started_ns = now
        self.ceilings_spent_ns = now

    def record_traffic(self, now: int) -> None:
        """Notes a request or a report of usage; the first one sets the time from which new ceilings fill.

        The use of ceilings before the start is not known, so they fill from the time of the start. But if all
        peers have sent messages and none has reported usage for a while, nothing was used and they are full.
        """
        if self.traffic_seen:
            return
        all_reachable = len(self.peers.last_message) == self.settings.gateway_count - 1
        was_quiet = now - self.started_ns >= QUIET_START_NS and all_reachable
        self.traffic_seen = True
        self.ceilings_spent_ns = NEVER_NS if was_quiet else self.started_ns

    def get_or_create(self, key: int, plan: int, burst: float, now: int) -> Customer:
        """Returns the customer with a key; a new one gets a full bucket."""
        customer = self.customers.get(key)
        if customer is None:
            customer = self.customers[key] = Customer(key, plan, burst, now)
            self.new_since_ns[key] = now
            if len(self.new_since_ns) > MAX_NEW_CUSTOMERS:
                self._evict_one(self.new_since_ns)
        elif key in self.new_since_ns and now - self.new_since_ns[key] >= NEW_CUSTOMER_NS:
            del self.new_since_ns[key]
            if len(self.customers) - len(self.new_since_ns) > MAX_ESTABLISHED_CUSTOMERS:
                self._evict_one(k for k in self.customers if k not in self.new_since_ns)
        return customer

    def _evict_one(self, keys: Iterable[int]) -> None:
        """Forgets the first of these customers that has no attempt in flight."""
        evicted = next((key for key in keys if not self.customers[key].in_flight), None)
        if evicted is None:
            return
        self.forget([evicted])
        if self.on_evicted is not None:
            self.on_evicted([evicted])

    def customer_of(self, now: int, request: Request) -> Customer:
        """Returns the customer of a request, whose set of gateways is known from then on."""
        customer = self.get_or_create(
            request.customer, request.plan, self.settings.plans[request.plan].burst, now
        )
        if not customer.gateway_set_known:
            self._initialize(customer, request)
            if self.on_first_request is not None:
                self.on_first_request(customer)
        return customer

    def _initialize(self, customer: Customer, request: Request) -> None:
        """Sets up a customer at its first request.

        Usage is reported to all gateways of a small set, but only to the relay of a wide one.
        """
        settings = self.settings
        plan = settings.plans[customer.plan]
        customer.gateway_set_known = True
        customer.gateway_set_size = min(max(1, request.gateway_set_size), settings.gateway_count)
        customer.ceiling_filled_ns = self.ceilings_spent_ns
        gateways = [
            (request.first_gateway + k) % settings.gateway_count for k in range(customer.gateway_set_size)
        ]
        # Use before the start was within the quota, so that at least the difference of both bursts is left of
        # the ceiling. With an empty ceiling, a tier too large to hear from all gateways soon would reject
        # requests inside the quota for seconds after each start.
        headroom = max(0.0, plan.ceiling_burst - plan.burst)
        customer.ceiling_level = (
            headroom / customer.gateway_set_size * (plan.over_quota_weight <= plan.over_quota_cost)
        )
        customer.relayed = customer.gateway_set_size > MAX_DIRECT_PEERS + 1 and settings.gossips
        if customer.relayed:
            first = hash_id(request.customer)
            customer.peers = [gateways[(first + k) % customer.gateway_set_size] for k in range(RELAY_COUNT)]
        else:
            customer.peers = [peer for peer in gateways if peer != settings.gateway_index]
            self.peers.direct.update(dict.fromkeys(customer.peers, True))

    def refill(self, now: int, customer: Customer) -> None:
        """Refills a customer's bucket.

        The rate is the whole rate at a relay and while a peer of the customer is reachable, otherwise an even
        share of it.
        """
        peers = self.peers
        if customer.relayed:
            reachable = self.settings.gateway_index in customer.peers
        else:
            reachable = not customer.peers or any(
                now - peers.last_message[p][1] < SILENCE_NS for p in customer.peers if p in peers.last_message
            )
        plan = self.settings.plans[customer.plan]
        share = 1.0 if reachable else 1.0 / customer.gateway_set_size
        # A relay's answer sets the level here; the bucket keeps its whole capacity for a while after it.
        has_full_capacity = reachable or now - customer.relay_answer_ns < RELAY_ANSWER_VALID_NS
        capacity = (
            plan.burst if has_full_capacity else max(plan.burst * share, self.settings.max_request_units)
        )
        customer.refill(now, plan.rate * share, capacity, RECENT_USE_S)

    def admits(self, customer: Customer, units: float) -> bool:
        """Returns whether this gateway's share of the quota covers the units, and an attempt may start.

        The check of the share is randomized. Otherwise all gateways of the set would send at once when an
        empty bucket has refilled for a single request.
        """
        plan = self.settings.plans[customer.plan]
        if plan.rate and not self._share_covers(customer, units):
            return False
        return not plan.max_in_flight or not self.at_max_in_flight(customer, plan)

    def _share_covers(self, customer: Customer, units: float) -> bool:
        if customer.relayed:
            share = 1.0
        else:
            recent = customer.own_recent + customer.peers_recent
            share = max(1 / customer.gateway_set_size, (customer.own_recent + units) / (recent + units))
        # Less an estimate of what peers have sent but not reported yet.
        level = customer.level - customer.peers_recent * REPORT_LAG_S / RECENT_USE_S
        if level < units:
            return False
        available = share * (level + customer.unreported) - customer.unreported
        return available >= units * self.rng.random()

    def at_max_in_flight(self, customer: Customer, plan: CustomerPlan) -> bool:
        """Returns whether this gateway and its peers have as many attempts in flight as the plan allows."""
        since_ns = customer.filled_ns - self.settings.max_deadline_ns
        return customer.in_flight + customer.in_flight_at_peers(since_ns) >= plan.max_in_flight

    def ceiling_part(self, now: int, customer: Customer, plan: CustomerPlan) -> float:
        """Returns this gateway's share of the ceiling, 0 to 1, by recent use.

        The shares of all gateways add up to 1 if they have the same information. They are even while a peer
        of the customer is not reachable. While reports are on their way the shares may add up to more than 1;
        the quota, which is lower, then limits what is sent. Plans that admit more than the quota have no such
        limit, so their shares are always even.
        """
        even_share = 1 / customer.gateway_set_size
        if (
            not plan.ceiling_rate
            or customer.relayed
            or not customer.peers
            or plan.over_quota_weight > plan.over_quota_cost
        ):
            return even_share
        last_message = self.peers.last_message
        oldest_ns = now - CEILING_SILENCE_NS
        if any(p not in last_message or last_message[p][1] < oldest_ns for p in customer.peers):
            return even_share
        prior_use = EVEN_SHARE_S * plan.rate
        own_use = customer.own_recent + prior_use / customer.gateway_set_size
        return own_use / (customer.own_recent + customer.peers_recent + prior_use)

    def idle_customers(self, now: int) -> list[int]:
        """Returns the keys of customers that may be forgotten.

        Forgetting them keeps customers that come only once from filling the memory.
        """
        return [key for key, customer in self.customers.items() if self._is_idle(now, customer)]

    def _is_idle(self, now: int, customer: Customer) -> bool:
        """Returns whether a customer may be forgotten.

        A forgotten customer starts again with a full bucket, so its bucket should be full by now. Customers
        whose bucket is not full, and those with a relay, are kept for longer.
        """
        plan = self.settings.plans[customer.plan]
        idle_s = (now - customer.filled_ns) / SECOND_NS
        is_full = customer.level + plan.rate * idle_s / customer.gateway_set_size >= plan.burst
        return not customer.in_flight and idle_s > (
            FULL_BUCKET_IDLE_S if is_full and not customer.relayed else IDLE_S
        )

    def forget(self, keys: list[int]) -> None:
        """Removes customers."""
        for key in keys:
            del self.customers[key]
            self.new_since_ns.pop(key, None)
