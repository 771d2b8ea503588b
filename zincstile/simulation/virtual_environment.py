"""The state of one run on virtual time: its network, checker, settings, and members.

`virtual_backends` adds the backends and other emulated services, `virtual_gateways` the gateways, and `run`
the sequence of the run. Together they implement `environment.Environment` for fault injection.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Coroutine
from typing import Any, Final

from ..checkers.checker import Checker
from ..checkers.quotas import Quotas
from ..checkers.rules import RULE_NAMES
from ..cold_start.settings import ColdStartSettings
from ..emulators.backend import Rack
from ..emulators.clients import ClientLoadBalancer
from ..emulators.discovery import EndpointList
from ..emulators.list_service import ListService, ListServiceBehaviour
from ..emulators.quota_service import QuotaService
from ..leases.settings import LeaseSettings
from ..quota_service.settings import QuotaServiceSettings
from ..subsetting.settings import SubsetSettings
from ..virtual.clock import MS_NS, SECOND_NS, Scheduler
from ..virtual.network import Network, NetworkSettings
from ..virtual.network_faults import NetworkFaults
from ..virtual.process import Process
from ..zone_failover.settings import ZoneFailoverSettings
from . import shared, traffic
from .members import Backend, Node
from .plan import Plan

START_NS: Final = 1000 * SECOND_NS  # of virtual time: far from 0, so that no time difference is negative
UNIX_OFFSET_NS: Final = 1_800_000_000 * SECOND_NS - START_NS  # Unix time less virtual time
LEAD_NS: Final = 700 * MS_NS  # from the start to the first request: by then gateways have endpoint lists
GROUPS: Final = 3  # number of groups of backends that share their store of idempotency keys
ATTEMPT_DELAY_NS: Final = (
    400 * MS_NS
)  # maximum time from a decision to the arrival of its attempt at a backend
UNLIMITED_LISTS_PER_S: Final = 1e6  # the list service of a plan that states no rate
# Endpoints and gateways: scenarios are small, and the subsets of their gateways must still differ.
SMALLEST_SUBSET: Final = 2


class VirtualEnvironment:
    """The state of a run. With `keep_trace` the network records a line for everything that crosses it.

    Each purpose has its own random stream, seeded with its name and the plan's seed, so that an additional
    draw from one stream does not change the others.
    """

    # Created when the run begins:
    clients: Process
    load_balancer: ClientLoadBalancer
    service: ListService

    def __init__(self, plan: Plan, *, keep_trace: bool = False, rules: tuple[str, ...] = RULE_NAMES) -> None:
        self.plan = plan
        self.scheduler = Scheduler(START_NS)
        self.rng = random.Random(
            f"world {plan.seed}"
        )  # for faults and emulators, which draw in the order of events
        self.links = NetworkFaults(random.Random(f"links {plan.seed}"))
        self.network = self._make_network(keep_trace=keep_trace)
        self._read_features(plan)
        self.checker = Checker(
            traffic.rule_limits(),
            lambda: (self.scheduler.steps, self.scheduler.now_ns),
            rules,
            self._stated_quotas(),
        )
        self.endpoint_list = EndpointList(self.checker)
        self.racks = [Rack(traffic.DEDUPLICATION_WINDOW_MS / 1000) for _ in range(GROUPS)]
        self.backends: dict[str, Backend] = {}  # by name; a restarted one replaces its former entry
        # In the plan's order; a deploy replaces the old name by the new one.
        self.backend_names: list[str] = []
        self.nodes: list[Node] = []
        self.logs: list[str] = []  # log lines of the gateways
        self.quota_services: dict[int, tuple[Process, QuotaService]] = {}
        self.began_ns = START_NS + LEAD_NS  # time of the first request
        self.preferred_gateways: list[dict[str, None]] = []
        self.customer_weights: dict[tuple[int, str], float] = {}
        self.weight_rng = random.Random(f"weights {plan.seed}")

    def _make_network(self, *, keep_trace: bool) -> Network:
        plan = self.plan
        settings = NetworkSettings(
            window_bytes=plan.window_bytes,
            max_read_bytes=plan.read_bytes,
            split_ratio=plan.split,
            datagram_loss_ratio=plan.udp_loss,
            datagram_duplicate_ratio=plan.udp_twice,
        )
        network = Network(self.scheduler, random.Random(f"network {plan.seed}"), settings)
        network.faults = self.links
        if keep_trace:
            network.trace = []
        return network

    def _read_features(self, plan: Plan) -> None:
        """Sets the settings of the features that the plan enables; None for the others."""
        self.quota_service_settings = (
            QuotaServiceSettings(clock_skew_ns=1, max_overshoot_ratio=0.08) if plan.quota_service else None
        )
        self.lease_settings = LeaseSettings() if plan.share else None
        self.cold_start_settings = ColdStartSettings(use_peer_lists=True) if plan.start else None
        self.zone_failover_settings = ZoneFailoverSettings() if plan.place else None
        self.subset_settings = (
            SubsetSettings(min_endpoints=SMALLEST_SUBSET, min_gateways=SMALLEST_SUBSET)
            if plan.subset
            else None
        )
        self.list_service_behaviour = ListServiceBehaviour(plan.lists_per_s or UNLIMITED_LISTS_PER_S)

    def _stated_quotas(self) -> Quotas | None:
        """Returns the checker of quotas; None if the plan's features state no bound."""
        if self.lease_settings:
            stated, initial_fill = shared.stated_bounds(self.plan, self.lease_settings)
            return Quotas(stated, 0, initial_fill, START_NS)
        if self.quota_service_settings:
            stated = traffic.stated_bounds(self.plan, self.quota_service_settings)
            return Quotas(stated, ATTEMPT_DELAY_NS)
        return None

    def spawn(self, process: Process, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Runs a coroutine of an emulator in its process."""
        process.loop.create_task(coroutine)

    def note(self, what: str, where: str) -> None:
        """Adds an event to the network's trace and digest."""
        self.network.record(what, where)

    def after(self, ms: float, callback: Callable[..., Any], *args: object) -> None:
        """Calls `callback` that many milliseconds from now."""
        self.scheduler.call_at(self.scheduler.now_ns + int(ms * MS_NS), callback, *args)
