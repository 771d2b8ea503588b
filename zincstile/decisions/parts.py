"""Creates the parts that make the decisions, and connects them to each other."""

from __future__ import annotations

import random

from .actions import ActionQueue
from .admission import Admission
from .budget_probe import BudgetProbe
from .budget_split import BudgetTree
from .capacity import Capacity
from .collaborators import QuotaSource
from .concurrency_limit import ConcurrencyLimit
from .endpoints import EndpointRegistry
from .fleet_estimates import FleetEstimates
from .forwarding import Forwarder
from .gossip import Gossip
from .gossip_receiver import GossipReceiver
from .latency import LatencyModel
from .load_balancing import LoadBalancer
from .outcomes import Outcomes
from .outlier_detection import OutlierDetector
from .peers import PeerTable
from .quotas import QuotaLedger
from .relay_queries import RelayedQuotas
from .requests import AttemptTable, RequestTable
from .retries import Retries
from .settings import Settings
from .slow_start import SlowStart


class DecisionParts:
    """The parts that make the decisions of one gateway. `seed` seeds the only random number generator."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Creates and connects all parts."""
        self.settings = settings
        self.rng = random.Random(seed)
        incarnation = self.rng.getrandbits(32)
        self.actions = ActionQueue()
        self._make_estimates()
        self._make_tables(incarnation)
        self._make_deciders()
        self.use_quotas(self.relayed_quotas)

    def use_quotas(self, quotas: QuotaSource) -> None:
        """Has quotas enforced by this source from now on."""
        self.admission.quotas = quotas
        self.requests.close_listener = quotas.request_closed
        self.ledger.on_evicted = quotas.customers_forgotten

    def _make_estimates(self) -> None:
        """Creates the estimates of endpoints and of the fleet."""
        settings = self.settings
        self.endpoints = EndpointRegistry()
        self.detector = OutlierDetector(settings, self.endpoints)
        self.latency = LatencyModel(settings)
        self.limit = ConcurrencyLimit(settings, self.detector, self.latency)
        self.budget = BudgetTree(settings)
        self.slow_start = SlowStart(settings)
        self.capacity = Capacity(
            settings, self.endpoints, self.detector, self.limit, self.budget, self.slow_start
        )
        self.estimates = FleetEstimates(self.limit, self.latency, self.detector, self.budget)

    def _make_tables(self, incarnation: int) -> None:
        """Creates the tables of requests, attempts, customers and peers."""
        settings = self.settings
        self.attempts = AttemptTable()
        self.requests = RequestTable(settings, self.actions, self.attempts)
        self.peers = PeerTable(settings)
        self.ledger = QuotaLedger(settings, self.rng, self.peers)
        self.gossip = Gossip(
            settings, incarnation, self.actions, self.peers, self.ledger, self.detector, self.estimates
        )

    def _make_deciders(self) -> None:
        """Creates the parts that decide on requests, each after those that it uses."""
        settings = self.settings
        self.balancer = LoadBalancer(
            settings, self.rng, self.endpoints, self.detector, self.capacity, self.slow_start
        )
        self.forwarder = Forwarder(settings, self.actions, self.latency, self.detector, self.attempts)
        self.probe = BudgetProbe(settings, self.attempts, self.capacity, self.latency)
        self.admission = Admission(
            settings,
            self.rng,
            self.actions,
            self.requests,
            self.ledger,
            self.budget,
            self.limit,
            self.gossip,
            self.forwarder,
            self.probe,
            self.balancer.choose,
        )
        self.relayed_quotas = RelayedQuotas(
            settings,
            self.actions,
            self.peers,
            self.ledger,
            self.gossip,
            self.budget,
            self.requests,
            self.admission.decide,
        )
        self.retries = Retries(
            settings, self.actions, self.requests, self.limit, self.budget, self.admission, self.forwarder
        )
        self.outcomes = Outcomes(
            settings,
            self.requests,
            self.attempts,
            self.detector,
            self.limit,
            self.latency,
            self.admission,
            self.retries,
        )
        self.gossip_receiver = GossipReceiver(
            settings, self.peers, self.ledger, self.gossip, self.relayed_quotas, self.detector, self.estimates
        )
