"""Records of requests, attempts and customers. Plain data and its bookkeeping; nothing is decided here."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

from .endpoints import Endpoint
from .messages import CustomerUsage, Request
from .settings import CustomerPlan, RequestClass
from .units import NEVER_NS, SECOND_NS

# The connection of an attempt; also the index of its error rate in `OutlierDetector.connection_errors`.
KEPT_CONNECTION: Final = 0  # was idle
NEW_CONNECTION: Final = 1
RECENT_CONNECTION: Final = 2  # the endpoint has answered a moment ago


def hash_id(number: int) -> int:
    """Spreads identifiers over 32 bits, alike at every gateway (multiplicative hashing, Knuth)."""
    return number * 2654435761 % 2**32


@dataclass(slots=True)
class Attempt:
    """A request that was forwarded to an endpoint and whose outcome is not known yet."""

    endpoint: Endpoint
    sent_ns: int
    expected_ns: float  # latency that the fleet takes for the like
    units: float
    overload_ns: float  # latency from which it is a sign of overload
    class_index: int
    plan_index: int
    connection: int  # KEPT_CONNECTION, NEW_CONNECTION or RECENT_CONNECTION
    silence_recorded: bool = False  # its silence was counted already


@dataclass(slots=True)
class TrafficGroup:
    """Requests of one class and plan, inside or beyond the quota: the leaves of the budget's tree."""

    prior_value: float  # by the settings: what a unit earns
    arrived_units: float = 0.0  # units since the last tick
    arrival_rate: float = 0.0  # units a second
    sent_units: float = 0.0  # units, decaying
    earned_value: float = 0.0  # value, decaying alike
    admission_rate: float = 1.0  # share of the arrivals that is admitted

    def decay(self, span_s: float, keep: float, keep_earned: float) -> None:
        """Folds the units of the last `span_s` seconds into the rate of arrivals; lets the rest decay."""
        self.arrival_rate = self.arrival_rate * keep + self.arrived_units / span_s * (1 - keep)
        self.arrived_units = 0.0
        self.sent_units = self.sent_units * keep_earned
        self.earned_value = self.earned_value * keep_earned


@dataclass(slots=True)
class PeerUsage:
    """What a peer reported of a customer last, and the last units granted to that peer."""

    incarnation: int  # of the peer's process
    total: float  # units since the peer's start, modulo `gossip.TOTAL_MODULUS`
    in_flight: int
    received_ns: int
    query_id: int = -1
    granted: float = 0.0
    granted_ns: int = NEVER_NS


@dataclass(slots=True)
class Customer:
    """The quota and ceiling of one customer, as this gateway sees them."""

    key: int
    plan: int
    level: float  # units in the token bucket; may be below 0
    filled_ns: int
    ceiling_level: float = 0.0  # units in the bucket of the ceiling
    ceiling_filled_ns: int = 0
    gateway_set_size: int = 1  # gateways of the customer's set
    gateway_set_known: bool = False  # its set of gateways is known
    relayed: bool = False  # its set is too wide to gossip directly: a relay is asked
    peers: list[int] = field(default_factory=list)  # of a relayed customer: the relays, in order
    relay_answer_ns: int = NEVER_NS  # when a relay answered last
    relay_level: float = 0.0  # the level in that answer
    query_id: int = 0  # of the query that it answered
    own_recent: float = 0.0  # own units, decaying
    peers_recent: float = 0.0  # units of the peers, decaying
    unreported: float = 0.0  # own units since the last report
    total: float = 0.0  # own units since the start, modulo `gossip.TOTAL_MODULUS`
    in_flight: int = 0  # own attempts
    usage: dict[int, PeerUsage] = field(default_factory=dict)  # by peer

    def apply_report(
        self, peer: int, incarnation: int, report: CustomerUsage, now: int, modulus: int, flight_ns: int
    ) -> float | None:
        """Units that the peer has sent since its last report, by running totals; None without such a report.

        What was granted counts as reported. A repeated query takes its grant back first; a total from before
        a grant, on its way at the same time (for up to `flight_ns`), brings nothing back.
        """
        known = self.usage.get(peer)
        if known is None or known.incarnation != incarnation:
            self.usage[peer] = PeerUsage(incarnation, report.total, report.in_flight, now)
            return None
        repeated = known.granted if report.requested_units > 0 and report.query_id == known.query_id else 0.0
        used = (report.total - known.total + repeated + modulus / 2) % modulus - modulus / 2
        crossing = now - known.granted_ns < flight_ns and (
            report.requested_units > 0 or report.query_id != known.query_id
        )
        if used < 0 and crossing:
            used = 0.0
        known.total = (known.total - repeated + used) % modulus
        known.in_flight = report.in_flight
        known.received_ns = now
        if repeated:
            known.granted = 0.0
        return used - repeated

    def refill(self, now: int, rate: float, capacity: float, memory_s: float) -> None:
        """Fills the bucket up to `capacity` units at `rate` units a second; recent use decays."""
        span_s = max(0, now - self.filled_ns) / SECOND_NS
        self.filled_ns = now
        self.level = min(capacity, self.level + rate * span_s)
        keep = math.exp(-span_s / memory_s)
        self.own_recent = self.own_recent * keep
        self.peers_recent = self.peers_recent * keep

    def refill_ceiling(self, now: int, rate: float, capacity: float) -> None:
        """Fills the bucket of the ceiling up to `capacity` units at `rate` units a second."""
        self.ceiling_level = min(
            capacity, self.ceiling_level + rate * (now - self.ceiling_filled_ns) / SECOND_NS
        )
        self.ceiling_filled_ns = now

    def charge(self, units: float, modulus: int) -> None:
        """Own units leave the bucket (below 0: they come back)."""
        self.level = self.level - units
        self.unreported = self.unreported + units
        self.own_recent = self.own_recent + max(0.0, units)
        self.total = (self.total + units) % modulus

    def charge_peer_units(self, units: float, least: float) -> None:
        """A peer's units leave the bucket, which goes no lower than `least` by it."""
        self.peers_recent += max(0.0, units)
        self.level = max(self.level - units, min(self.level, least))

    def record_grant(self, peer: int, query: CustomerUsage, now: int, modulus: int) -> None:
        """Counts what the peer will send as reported already."""
        known = self.usage[peer]
        known.total = (known.total + query.requested_units) % modulus
        known.in_flight = known.in_flight + 1
        known.query_id = query.query_id
        known.granted = query.requested_units
        known.granted_ns = now
        self.level -= query.requested_units

    def in_flight_at_peers(self, since_ns: int) -> int:
        """Attempts in flight at peers, by their reports since a time."""
        return sum(p.in_flight for p in self.usage.values() if p.received_ns >= since_ns)


@dataclass(slots=True)
class PendingRequest:
    """A request that still owes its final answer."""

    request: Request
    request_class: RequestClass
    plan: CustomerPlan
    arrived_ns: int
    value_deadline_ns: int  # from then on it can earn nothing
    customer: Customer
    admission_draw: float = 0.0  # against the rate of its group: made once, so that no relay is asked in vain
    group: TrafficGroup | None = None  # None until it is decided on
    inside_quota: bool = False
    relay: int = -1  # the gateway that was asked last
    relay_queries: int = 0
    attempted_endpoints: list[Endpoint] = field(default_factory=list)  # endpoint of each attempt, in order
    in_flight: int = 0
    may_have_run_at: Endpoint | None = None  # endpoint of the first attempt that may have run
    may_have_run_ns: int = 0  # when that attempt was sent
    streaming: bool = False
    expected_ns: float = 1.0  # latency that the fleet took for the like at its last attempt
