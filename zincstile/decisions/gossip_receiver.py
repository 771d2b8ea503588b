"""Applies gossip received from peers: usage of customers, error samples, estimates of the fleet."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import replace
from typing import Final

from .fleet_estimates import FleetEstimates
from .gossip import TOTAL_MODULUS, Gossip
from .messages import CustomerUsage, ErrorSample, GossipReceived
from .outlier_detection import ANY_CLASS, TIMING_WEIGHT, OutlierDetector
from .peers import PeerTable
from .quotas import QuotaLedger
from .records import Customer
from .relay_queries import MAX_QUERIES, QUERY_WAIT_NS, RelayedQuotas
from .settings import CustomerPlan, Settings
from .units import SECOND_NS

MAX_QUOTA_MULTIPLE: Final = 4.0  # what a peer reports is believed up to this multiple of the whole quota


class GossipReceiver:
    """Passes the contents of gossip messages on to their owners; has no state of its own."""

    def __init__(
        self,
        settings: Settings,
        peers: PeerTable,
        ledger: QuotaLedger,
        gossip: Gossip,
        relayed: RelayedQuotas,
        detector: OutlierDetector,
        estimates: FleetEstimates,
    ) -> None:
        """Takes the owners of the state that messages update."""
        self.settings = settings
        self.peers = peers
        self.ledger = ledger
        self.gossip = gossip
        self.relayed = relayed
        self.detector = detector
        self.estimates = estimates
        # Called with each message; set by the leases feature.
        self.on_received: Callable[[int, GossipReceived], None] | None = None

    def on_gossip_received(self, now: int, event: GossipReceived) -> None:
        """Applies a message of a peer, unless it names a gateway or a plan that is not in the settings."""
        plan_count = len(self.settings.plans)
        if event.sender < self.settings.gateway_count and all(
            usage.plan < plan_count for usage in event.usages
        ):
            self._apply(now, event)
        if self.on_received is not None:
            self.on_received(now, event)

    def _apply(self, now: int, event: GossipReceived) -> None:
        new_process = self.peers.record_message(event.sender, event.incarnation, now)
        if event.usages:
            self.ledger.record_traffic(now)
        if new_process and event.sender in self.peers.direct:
            self._report_all(event.sender)
        self.peers.unanswered_ns.pop(event.sender, None)
        # With a shared failure detector, that detector brings the samples of peers.
        if self.detector.shared_suspicion is None:
            self._apply_samples(event.error_samples)
        for usage in event.usages:
            self._apply_usage(now, event, usage)
        if event.estimates:
            self.estimates.blend(event.estimates)

    def _report_all(self, peer: int) -> None:
        """Reports all customers shared with a peer that has just started."""
        usages = [
            self.gossip.usage_of(customer)
            for customer in self.ledger.customers.values()
            if not customer.relayed and peer in customer.peers
        ]
        self.gossip.send(peer, usages)

    def _apply_samples(self, samples: list[ErrorSample]) -> None:
        by_hash = self.detector.endpoints.by_hash
        group_count = len(self.detector.baseline)
        for sample in samples:
            endpoint = by_hash.get(sample.endpoint_hash)
            if endpoint is not None and (sample.group < group_count or sample.group == ANY_CLASS):
                self.detector.apply_sample(endpoint, sample.group, sample.error, TIMING_WEIGHT)

    def _apply_usage(self, now: int, event: GossipReceived, usage: CustomerUsage) -> None:
        plan = self.settings.plans[usage.plan]
        customer = self.ledger.get_or_create(usage.customer, usage.plan, plan.burst, now)
        self.ledger.refill(now, customer)
        level = max(usage.level, -plan.burst)
        if usage.is_answer:
            self.relayed.on_answer(now, replace(usage, level=level), customer)
            return
        max_delay_ns = MAX_QUERIES * QUERY_WAIT_NS
        max_units = self._max_units_since_report(now, event.sender, customer, plan)
        used_units = customer.apply_report(
            event.sender, event.incarnation, usage, now, TOTAL_MODULUS, max_delay_ns
        )
        if used_units is None:
            # The first report of a process has no earlier total to compare with, but a level.
            customer.level = min(customer.level, level)
        else:
            customer.charge_peer_units(
                min(used_units, max_units),
                -self.settings.max_request_units * self.settings.settles_actual_units,
            )
        if usage.requested_units > 0:
            self.relayed.grant(now, event.sender, usage, customer)

    @staticmethod
    def _max_units_since_report(now: int, peer: int, customer: Customer, plan: CustomerPlan) -> float:
        """Returns the most units that a peer can have sent for a customer since its last report.

        A total that is wrong once would otherwise count as use for minutes.
        """
        last_report = customer.usage.get(peer)
        if last_report is None or not plan.rate:
            return math.inf
        span_s = (now - last_report.received_ns) / SECOND_NS
        return MAX_QUOTA_MULTIPLE * (plan.burst + plan.rate * span_s)
