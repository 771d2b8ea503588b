"""Records of requests, attempts and customers: plain data and the arithmetic on it, without decisions."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

from .endpoints import Endpoint
from .messages import CustomerUsage, Request
from .settings import CustomerPlan, RequestClass
from .units import NEVER_NS, SECOND_NS

# The kind of connection that an attempt uses; also the index of its error rate in
# `OutlierDetector.connection_errors`.
KEPT_CONNECTION: Final = 0  # reused after it was idle
NEW_CONNECTION: Final = 1
RECENT_CONNECTION: Final = 2  # the endpoint has answered within `forwarding.RECENT_NS`


def hash_id(number: int) -> int:
    """Hashes an identifier to 32 bits, alike at every gateway (Knuth's multiplicative hash)."""
    return number * 2654435761 % 2**32


@dataclass(slots=True)
class Attempt:
    """An attempt in flight: a request that was forwarded to an endpoint, whose outcome is not known yet."""

    endpoint: Endpoint
    sent_ns: int
    expected_ns: float  # usual latency of the fleet for such a request
    units: float
    overload_ns: float  # a latency above this is a sign of overload
    class_index: int
    plan_index: int
    connection: int  # KEPT_CONNECTION, NEW_CONNECTION or RECENT_CONNECTION
    silence_recorded: bool = False  # it was recorded as silent, that is unanswered for too long


@dataclass(slots=True)
class TrafficGroup:
    """The traffic of one class and plan, either inside or over the quota: a leaf of `BudgetTree`."""

    prior_value: float  # value per unit by the settings
    arrived_units: float = 0.0  # since the last tick
    arrival_rate: float = 0.0  # units per second, also averaged with peers'
    sent_units: float = 0.0  # decaying sum
    earned_value: float = 0.0  # decaying sum, with the same time constant as `sent_units`
    admission_rate: float = 1.0  # share of the arriving requests that is admitted
    own_arrival_rate: float = 0.0  # units per second at this gateway alone

    def decay(self, span_s: float, keep: float, keep_earned: float) -> None:
        """Adds the units of the last `span_s` seconds to the arrival rate, and decays the sums.

        `keep` and `keep_earned` are the factors by which the old arrival rate and the sums decay.
        """
        added = self.arrived_units / span_s * (1 - keep)
        self.arrival_rate = self.arrival_rate * keep + added
        self.own_arrival_rate = self.own_arrival_rate * keep + added
        self.arrived_units = 0.0
        self.sent_units = self.sent_units * keep_earned
        self.earned_value = self.earned_value * keep_earned


@dataclass(slots=True)
class PeerUsage:
    """The last report of a peer on a customer, and the last grant of units to that peer."""

    incarnation: int  # identifies the process of the peer
    total: float  # units that the peer sent since its start, modulo `gossip.TOTAL_MODULUS`
    in_flight: int
    received_ns: int
    query_id: int = -1
    granted: float = 0.0  # units
    granted_ns: int = NEVER_NS


@dataclass(slots=True)
class Customer:
    """The quota and ceiling of one customer, as this gateway sees them."""

    key: int
    plan: int
    level: float  # units in the token bucket; may be below 0
    filled_ns: int  # when the token bucket was refilled last
    ceiling_level: float = 0.0  # units in the token bucket of the ceiling
    ceiling_filled_ns: int = 0  # when that bucket was refilled last
    gateway_set_size: int = 1  # gateways that serve the customer
    gateway_set_known: bool = False  # a request has named the gateways that serve the customer
    relayed: bool = False  # the gateway set is too large for direct gossip: a relay is queried instead
    peers: list[int] = field(default_factory=list)  # the other gateways; of a relayed customer, its relays
    relay_answer_ns: int = NEVER_NS  # when a relay answered last
    relay_level: float = 0.0  # the level in that answer
    query_id: int = 0  # the query that the relay answered
    own_recent: float = 0.0  # units that this gateway sent, decaying
    peers_recent: float = 0.0  # units that the peers sent, decaying
    unreported: float = 0.0  # units that this gateway sent since its last report
    total: float = 0.0  # units that this gateway sent since its start, modulo `gossip.TOTAL_MODULUS`
    in_flight: int = 0  # attempts of this gateway
    usage: dict[int, PeerUsage] = field(default_factory=dict)  # last reports, by peer

    def apply_report(
        self, peer: int, incarnation: int, report: CustomerUsage, now: int, modulus: int, flight_ns: int
    ) -> float | None:
        """Returns the units that the peer sent since its last report; None if there is no report to compare.

        Units granted to the peer count as reported. A repeated query cancels its earlier grant first. A
        report that was sent before a grant but arrives after it, within `flight_ns`, has a total without the
        granted units: the difference below 0 is ignored.
        """
        peer_usage = self.usage.get(peer)
        if peer_usage is None or peer_usage.incarnation != incarnation:
            self.usage[peer] = PeerUsage(incarnation, report.total, report.in_flight, now)
            return None
        repeated_grant = (
            peer_usage.granted
            if report.requested_units > 0 and report.query_id == peer_usage.query_id
            else 0.0
        )
        sent = (report.total - peer_usage.total + repeated_grant + modulus / 2) % modulus - modulus / 2
        crossed_grant = now - peer_usage.granted_ns < flight_ns and (
            report.requested_units > 0 or report.query_id != peer_usage.query_id
        )
        if sent < 0 and crossed_grant:
            sent = 0.0
        peer_usage.total = (peer_usage.total - repeated_grant + sent) % modulus
        peer_usage.in_flight = report.in_flight
        peer_usage.received_ns = now
        if repeated_grant:
            peer_usage.granted = 0.0
        return sent - repeated_grant

    def refill(self, now: int, rate: float, capacity: float, memory_s: float) -> None:
        """Refills the token bucket up to `capacity` at `rate` units per second, and decays the recent use."""
        span_s = max(0, now - self.filled_ns) / SECOND_NS
        self.filled_ns = now
        self.level = min(capacity, self.level + rate * span_s)
        keep = math.exp(-span_s / memory_s)
        self.own_recent = self.own_recent * keep
        self.peers_recent = self.peers_recent * keep

    def refill_ceiling(self, now: int, rate: float, capacity: float) -> None:
        """Refills the token bucket of the ceiling up to `capacity` at `rate` units per second."""
        self.ceiling_level = min(
            capacity, self.ceiling_level + rate * (now - self.ceiling_filled_ns) / SECOND_NS
        )
        self.ceiling_filled_ns = now

    def charge(self, units: float, modulus: int) -> None:
        """Takes units that this gateway sends from the bucket; units below 0 are returned to it."""
        self.level = self.level - units
        self.unreported = self.unreported + units
        self.own_recent = self.own_recent + max(0.0, units)
        self.total = (self.total + units) % modulus

    def charge_peer_units(self, units: float, min_level: float) -> None:
        """Takes units that a peer sent from the bucket, which they don't lower below `min_level`."""
        self.peers_recent += max(0.0, units)
        self.level = max(self.level - units, min(self.level, min_level))

    def record_grant(self, peer: int, query: CustomerUsage, now: int, modulus: int) -> None:
        """Takes the granted units from the bucket, and counts them as reported by the peer."""
        peer_usage = self.usage[peer]
        peer_usage.total = (peer_usage.total + query.requested_units) % modulus
        peer_usage.in_flight = peer_usage.in_flight + 1
        peer_usage.query_id = query.query_id
        peer_usage.granted = query.requested_units
        peer_usage.granted_ns = now
        self.level -= query.requested_units

    def in_flight_at_peers(self, since_ns: int) -> int:
        """Returns the number of attempts in flight at peers, by their reports since a time."""
        return sum(
            peer_usage.in_flight for peer_usage in self.usage.values() if peer_usage.received_ns >= since_ns
        )


@dataclass(slots=True)
class PendingRequest:
    """A request without its final answer yet."""

    request: Request
    request_class: RequestClass
    plan: CustomerPlan
    arrived_ns: int
    value_deadline_ns: int  # from this time on, serving the request earns no value
    customer: Customer
    # Random, 0 to 1: the budget admits the request if this is below the admission rate of its group. Drawn
    # once, so that no relay is queried for a request that the budget rejects anyway.
    admission_draw: float = 0.0
    group: TrafficGroup | None = None  # None until the request is admitted or rejected
    inside_quota: bool = False
    relay: int = -1  # the gateway that was queried last
    relay_queries: int = 0
    attempted_endpoints: list[Endpoint] = field(default_factory=list)  # one per attempt, in order
    in_flight: int = 0
    may_have_run_at: Endpoint | None = None  # endpoint of the first attempt that may have run
    may_have_run_ns: int = 0  # when that attempt was sent
    streaming: bool = False  # the answer has begun to arrive
    is_probe: bool = False  # admitted by `BudgetProbe`
    expected_ns: float = 1.0  # usual latency of the fleet for such a request, as of the last attempt
