"""Gossip received from peers: usage of customers, error samples, estimates of the fleet."""

from __future__ import annotations

from collections.abc import Callable

from .fleet_estimates import FleetEstimates
from .gossip import TOTAL_MODULUS, Gossip
from .messages import CustomerUsage, ErrorSample, GossipReceived
from .outlier_detection import ANY_CLASS, TIMING_WEIGHT, OutlierDetector
from .peers import PeerTable
from .quotas import QuotaLedger
from .relay_queries import MAX_QUERIES, QUERY_WAIT_NS, RelayedQuotas
from .settings import Settings


class GossipReceiver:
    """Takes in what peers report. It holds no state of its own."""

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
        """Takes the parts that it works with."""
        self.settings = settings
        self.peers = peers
        self.ledger = ledger
        self.gossip = gossip
        self.relayed = relayed
        self.detector = detector
        self.estimates = estimates
        self.on_received: Callable[[int, GossipReceived], None] | None = None  # leases: sees each message

    def on_gossip_received(self, now: int, event: GossipReceived) -> None:
        """One message of a peer; one that doesn't fit the settings is dropped."""
        plans = len(self.settings.plans)
        if event.sender < self.settings.gateway_count and all(usage.plan < plans for usage in event.usages):
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
        if (
            self.detector.shared_suspicion is None
        ):  # else samples come with their origin, by the failure detector
            self._apply_samples(event.error_samples)
        for usage in event.usages:
            self._apply_usage(now, event, usage)
        if event.estimates:
            self.estimates.blend(event.estimates)

    def _report_all(self, peer: int) -> None:
        """A peer has just started and knows nothing yet."""
        usages = [
            self.gossip.usage_of(customer)
            for customer in self.ledger.customers.values()
            if not customer.relayed and peer in customer.peers
        ]
        self.gossip.send(peer, usages)

    def _apply_samples(self, samples: list[ErrorSample]) -> None:
        by_hash = self.detector.endpoints.by_hash
        groups = len(self.detector.baseline)
        for sample in samples:
            endpoint = by_hash.get(sample.endpoint_hash)
            if endpoint is not None and (sample.group < groups or sample.group == ANY_CLASS):
                self.detector.apply_sample(endpoint, sample.group, sample.error, TIMING_WEIGHT)

    def _apply_usage(self, now: int, event: GossipReceived, usage: CustomerUsage) -> None:
        burst = self.settings.plans[usage.plan].burst
        customer = self.ledger.get_or_create(usage.customer, usage.plan, burst, now)
        self.ledger.refill(now, customer)
        if usage.is_answer:
            self.relayed.on_answer(now, usage, customer)
            return
        flight_ns = MAX_QUERIES * QUERY_WAIT_NS
        used = customer.apply_report(event.sender, event.incarnation, usage, now, TOTAL_MODULUS, flight_ns)
        if used is None:
            customer.level = min(customer.level, usage.level)  # no total to count from: its level holds
        else:
            customer.charge_peer_units(
                used, -self.settings.max_request_units * self.settings.settles_actual_units
            )
        if usage.requested_units > 0:
            self.relayed.grant(now, event.sender, usage, customer)
