"""The state of one run on virtual time: its network, its checker, its settings, and who takes part.

`virtual_backends` adds the backends and other emulated services, `virtual_gateways` the gateways, and `run`
the order of things. Together they are the `environment.Environment` that faults are carried out in.
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

START_NS: Final = 1000 * SECOND_NS  # of virtual time: far from 0, so that no difference of times is below it
UNIX_OFFSET_NS: Final = 1_800_000_000 * SECOND_NS - START_NS  # Unix time less virtual time
LEAD_NS: Final = 700 * MS_NS  # from the start to the first request: gateways have their lists by then
GROUPS: Final = 3  # of backends that share what they know of idempotency keys
ATTEMPT_DELAY_NS: Final = 400 * MS_NS  # from a decision until its attempt has reached a backend, at most
UNLIMITED_LISTS_PER_S: Final = 1e6  # the list service of a plan that states no rate
SMALLEST_SUBSET: Final = (
    2  # endpoints and gateways: scenarios are small, and subsets must differ all the same
)


class VirtualEnvironment:
    """A run's state, from its plan. `keep_trace` keeps a line for everything that crosses the network.

    Random sources are separate by purpose, each seeded with its name and the plan's seed, so that one more
    draw in one of them changes nothing in the others.
    """

    # Made when the run begins:
    clients: Process
    load_balancer: ClientLoadBalancer
    service: ListService

    def __init__(self, plan: Plan, *, keep_trace: bool = False, rules: tuple[str, ...] = RULE_NAMES) -> None:
        self.plan = plan
        self.scheduler = Scheduler(START_NS)
        self.rng = random.Random(f"world {plan.seed}")  # of faults and emulators, in the order of events
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
        self.backends: dict[str, Backend] = {}  # by name; one that started again stands for its older self
        self.backend_names: list[
            str
        ] = []  # names, in the plan's order; a deploy puts the new one in its place
        self.nodes: list[Node] = []
        self.logs: list[str] = []  # the gateways' lines
        self.quota_services: dict[int, tuple[Process, QuotaService]] = {}
        self.began_ns = START_NS + LEAD_NS  # of the first request
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
        """The settings of the features that the plan turns on; None for the others."""
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
        """What the checker holds quotas to; None where the plan's features state no bound."""
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
        """Puts a line into the network's trace and digest."""
        self.network.record(what, where)

    def after(self, ms: float, then: Callable[..., Any], *args: object) -> None:
        """Calls `then` that many milliseconds from now."""
        self.scheduler.call_at(self.scheduler.now_ns + int(ms * MS_NS), then, *args)
