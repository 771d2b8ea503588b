"""Gossip: what this gateway reports to its peers of customers' quotas, and when.

Usage is reported as running totals, so that the next message makes good a lost one. Changes go out in one
message a period; a heartbeat goes to all direct peers each second.
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
INTAKE_SHARE: Final = 0.8  # part of a peer's intake of messages that may be filled
TOTAL_MODULUS: Final = 2**28  # totals of units are sent modulo this
UNKNOWN_QUERY: Final = -1


class Gossip:
    """Owner of what is still to be reported."""

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
        """Takes the parts that it works with."""
        self.settings = settings
        # names this process, so that peers don't take its totals for older ones
        self.incarnation = incarnation
        self.actions = actions
        self.peers = peers
        self.ledger = ledger
        self.detector = detector
        self.estimates = estimates
        direct = min(MAX_DIRECT_PEERS, settings.gateway_count - 1)
        self.period_ns = int(SECOND_NS * direct / max(1.0, INTAKE_SHARE * settings.gossip_in_per_s))
        self.changed: dict[int, Customer] = {}  # to be reported with the next message
        self.last_tick_ns = 0  # the last tick: against it the age of samples is measured
        self.reported_level: Callable[[Customer], float | None] | None = None  # leases: the level to report
        self._flushed_ns = 0
        self._flush_due = False

    def spend(self, now: int, customer: Customer, units: float) -> None:
        """Own units leave a customer's bucket (0: its attempts in flight have changed), to be reported."""
        customer.charge(units, TOTAL_MODULUS)
        self.changed[customer.key] = customer
        if not self._flush_due:
            self._flush_due = True
            self.actions.set_timer(max(now, self._flushed_ns + self.period_ns), GOSSIP_TIMER)

    def flush_timer_fired(self, now: int) -> None:
        """A period is over."""
        self._flush_due = False
        self.flush(now)

    def flush(self, now: int, *, heartbeat: bool = False) -> None:
        """Reports what has changed to those whom it concerns; a heartbeat goes to all direct peers."""
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
        """A message to one peer. With a query, its answer and a heartbeat go the last own error samples."""
        if not self.settings.gossips or peer == self.settings.gateway_index:
            return
        with_samples = with_estimates or not usages
        samples = self.detector.samples_to_report(self.last_tick_ns) if with_samples else []
        figures = self.estimates.own_values() if with_estimates else []
        self.actions.append(SendGossip(peer, self.incarnation, usages, figures, samples))

    def usage_of(self, customer: Customer, want: float = 0.0, query_id: int = UNKNOWN_QUERY) -> CustomerUsage:
        """What is reported of a customer. `want`: units that a relay is asked for, under a query's id."""
        level = customer.level
        if customer.relayed and customer.filled_ns - customer.relay_answer_ns >= SILENCE_NS:
            level = self.settings.plans[customer.plan].burst  # the own level says nothing
        if self.reported_level is not None:
            own_level = self.reported_level(customer)
            level = level if own_level is None else own_level
        id_ = customer.query_id if query_id == UNKNOWN_QUERY else query_id
        return CustomerUsage(
            customer.key, customer.plan, customer.total, level, customer.in_flight, want, id_
        )
