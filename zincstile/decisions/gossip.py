"""Gossip: reports of customers' quota usage to the peers, and their schedule.

Usage is reported as running totals, so that the next message makes up for a lost one. The changes of a period
go out in one message per peer; a heartbeat goes to all direct peers every second.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from .actions import ActionQueue
from .fleet_estimates import FleetEstimates
from .messages import CustomerUsage, SendGossip
from .outlier_detection import OutlierDetector
from .peers import MAX_DIRECT_PEERS, NO_RELAY, SILENCE_NS, PeerTable
from .quotas import QuotaLedger
from .records import Customer
from .settings import Settings
from .timers import GOSSIP_TIMER
from .units import SECOND_NS

HEARTBEAT_NS: Final = SECOND_NS
INTAKE_SHARE: Final = 0.8  # share of the messages per second that a peer can take in that reports may use
TOTAL_MODULUS: Final = 2**28  # running totals of units are sent modulo this
LAST_QUERY: Final = -1  # stands for the last query of the customer that a relay answered


class Gossip:
    """Owns the changes of usage that are still to be reported; collects them and sends them to the peers."""

    def __init__(
        self,
        settings: Settings,
        incarnation: int,
        actions: ActionQueue,
        peers: PeerTable,
        ledger: QuotaLedger,
        detector: OutlierDetector,
        estimates: FleetEstimates,
    ) -> None:
        """Derives the reporting period from the number of direct peers and their intake."""
        self.settings = settings
        # Identifies this process, so that peers don't compare its totals with those of an earlier one.
        self.incarnation = incarnation
        self.actions = actions
        self.peers = peers
        self.ledger = ledger
        self.detector = detector
        self.estimates = estimates
        direct_peers = min(MAX_DIRECT_PEERS, settings.gateway_count - 1)
        self.period_ns = int(SECOND_NS * direct_peers / max(1.0, INTAKE_SHARE * settings.gossip_in_per_s))
        self.changed: dict[int, Customer] = {}  # customers to report with the next message
        self.last_tick_ns = 0  # time of the last tick, from which the age of samples is measured
        # Returns the level to report instead of the bucket's, or None; set by the leases feature.
        self.reported_level: Callable[[Customer], float | None] | None = None
        self._flushed_ns = 0
        self._flush_due = False

    def spend(self, now: int, customer: Customer, units: float) -> None:
        """Takes units of this gateway from a customer's bucket and schedules the report of it.

        0 units reports only that the customer's attempts in flight have changed.
        """
        customer.charge(units, TOTAL_MODULUS)
        self.changed[customer.key] = customer
        if not self._flush_due:
            self._flush_due = True
            self.actions.set_timer(max(now, self._flushed_ns + self.period_ns), GOSSIP_TIMER)

    def flush_timer_fired(self, now: int) -> None:
        """Sends the changes of the period that has ended."""
        self._flush_due = False
        self.flush(now)

    def flush(self, now: int, *, heartbeat: bool = False) -> None:
        """Reports changes to the gateways of each customer's set; a heartbeat goes to all direct peers."""
        reports: dict[int, list[CustomerUsage]] = (
            {peer: [] for peer in self.peers.direct} if heartbeat else {}
        )
        for customer in self.changed.values():
            customer.unreported = 0.0
            for peer in self._recipients(now, customer):
                reports.setdefault(peer, []).append(self.usage_of(customer))
        for peer, usages in reports.items():
            self.send(peer, usages)
        self.changed = {}
        self._flushed_ns = now

    def _recipients(self, now: int, customer: Customer) -> list[int]:
        if not customer.relayed:
            return customer.peers
        relay = self.peers.relay_of(now, customer)
        return [] if relay == NO_RELAY else [relay]

    def send(self, peer: int, usages: list[CustomerUsage], *, with_estimates: bool = False) -> None:
        """Sends a message to one peer.

        Queries, their answers and heartbeats without usage also carry the last error samples of this gateway.
        """
        if not self.settings.gossips or peer == self.settings.gateway_index:
            return
        with_samples = with_estimates or not usages
        samples = self.detector.samples_to_report(self.last_tick_ns) if with_samples else []
        estimates = self.estimates.own_values() if with_estimates else []
        self.actions.append(SendGossip(peer, self.incarnation, usages, estimates, samples))

    def usage_of(
        self, customer: Customer, requested_units: float = 0.0, query_id: int = LAST_QUERY
    ) -> CustomerUsage:
        """Returns the usage to report of a customer.

        `requested_units` and `query_id` are set in a query to a relay.
        """
        level = customer.level
        if customer.relayed and customer.filled_ns - customer.relay_answer_ns >= SILENCE_NS:
            # Without a recent answer of the relay, the level here is outdated.
            level = self.settings.plans[customer.plan].burst
        if self.reported_level is not None:
            level_override = self.reported_level(customer)
            level = level if level_override is None else level_override
        reported_query_id = customer.query_id if query_id == LAST_QUERY else query_id
        return CustomerUsage(
            customer.key,
            customer.plan,
            customer.total,
            level,
            customer.in_flight,
            requested_units,
            reported_query_id,
        )
