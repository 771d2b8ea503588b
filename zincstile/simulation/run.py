"""Plays a plan on virtual time, step by step, with the checkers running.

`Run.play` ends at the first broken rule, or when all requests are answered and the gateways have been checked
for leftovers.
"""

from __future__ import annotations

import gc
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from ..checkers.history import Violation
from ..checkers.rules import Rule
from ..emulators.client_requests import PlannedRequest
from ..emulators.clients import ClientLoadBalancer
from ..emulators.discovery import DiscoveryAgent
from ..emulators.list_service import ListService
from ..virtual.clock import MS_NS, LivelockError
from ..virtual.process import Process
from ..virtual.tcp import TcpTransport
from . import faults, traffic
from .leftovers import SERVICE_PORT, in_progress, leftovers
from .members import Node
from .observation import ConnectionEndCrossings, ForwardedCommandObserver, was_read
from .virtual_environment import START_NS
from .virtual_gateways import DISCOVERY_PORT, VirtualGateways

MIN_QUIET_NS: Final = 1000 * MS_NS  # minimum time from the last request or fault to the end of the run
MAX_QUIET_NS: Final = 6500 * MS_NS  # maximum: longer than any deadline, retry and shutdown
QUIET_CHECK_NS: Final = 250 * MS_NS  # interval of the check whether everything is answered
FAILURE_DETECTION_S: Final = (
    0.3,
    1.5,
)  # range of the time until the clients' load balancer detects a dead gateway
QUOTA_SERVICES: Final = 2  # the second is used by the fault `keeper_split`


@dataclass(slots=True)
class Result:
    """The result of one run."""

    seed: int
    steps: int
    seconds: float  # of virtual time
    requests: int
    attempts: int
    faults: int
    digest: str  # of everything that crossed the network
    breach: Violation | None
    tally: dict[str, int] = field(default_factory=dict)  # number of requests by outcome
    nearest: dict[str, float] = field(
        default_factory=dict
    )  # peak ratio to the limit of each rule that has one; 1: at the limit

    def line(self) -> str:
        """Returns the last line that the command prints."""
        if self.breach is not None:
            return f"seed {self.seed} {self.breach.line()}"
        return f"seed {self.seed} ok steps={self.steps} requests={self.requests} digest={self.digest}"


class Run(VirtualGateways):
    """One run of a plan; it can be played once."""

    on_backend_connection: Callable[[], None] | None = (
        None  # called for each connection of a gateway to a backend
    )

    def play(self) -> Result:
        """Builds the environment, plays the plan and returns the result."""
        self._build()
        collects = gc.isenabled()
        # Reference counts free most garbage of a run at once, the collector the rest after it: the times of
        # collections would not depend on the run alone.
        gc.disable()
        try:
            if not self._play_until_quiet():
                self._check_end()
        except LivelockError as err:
            self.checker.report_violation(Rule.PROGRESS, str(err))
        finally:
            if collects:
                gc.enable()
        return self._result()

    # ---- the environment at the start

    def _build(self) -> None:
        """Starts everything. The order here determines that of simultaneous events, and thus the digest."""
        plan = self.plan
        self.network.on_connected = self._connection_opened
        for number in range(plan.boxes):
            backend = self.add_backend(number % len(traffic.ZONES), cold=False)
            self.backend_names.append(backend.entry.name)
            self.endpoint_list.put(backend.entry)
        lists = Process(self.network, "lists", "10.3.0.1", 0)
        self.service = ListService(lists.loop, self.list_service_behaviour)
        for number in range(plan.gateways):
            self.nodes.append(self._make_node(number))
        if plan.quota_service:
            for number in range(QUOTA_SERVICES):
                self.start_quota_service(number)
        for node in self.nodes:
            self.start_gateway(node)
        self._start_clients()
        self._schedule(traffic.planned_requests(plan, self.began_ns / 1e9))

    def _make_node(self, number: int) -> Node:
        """Returns a gateway's node with a running discovery agent."""
        name = f"g{number}"
        host = f"10.0.0.{number + 1}"
        process = Process(self.network, f"agent{number}", host, number % len(traffic.ZONES))
        agent = DiscoveryAgent(process.loop, self.endpoint_list, name, self.checker)
        if self.plan.asked:
            agent.on_request = self.service.receive_call
        self.spawn(process, agent.start(host, DISCOVERY_PORT))
        return Node(number, name, host, agent, (host, DISCOVERY_PORT))

    def _start_clients(self) -> None:
        self.clients = Process(self.network, "clients", "10.9.0.1", 0)
        self.load_balancer = ClientLoadBalancer(
            self.clients.loop,
            random.Random(f"front {self.plan.seed}"),
            self.checker,
            {node.name: (node.host, SERVICE_PORT) for node in self.nodes},
            failure_detection_s=FAILURE_DETECTION_S,
        )
        self.load_balancer.was_read = was_read
        self.load_balancer.weigh_gateways = self._weigh_gateways
        self.clients.loop.call_soon(self.load_balancer.watch_gateways)

    def _schedule(self, requests: list[PlannedRequest]) -> None:
        """Schedules every request and every fault at its time."""
        plan = self.plan
        if plan.crossing and requests:
            crossings = ConnectionEndCrossings(plan, self.clients, self.load_balancer, requests)
            self.network.on_fin_sent = crossings.connection_ended
        for request in requests:
            self.clients.loop.call_at(request.at_s, self.load_balancer.send, request)
        for fault in plan.faults:
            self.scheduler.call_at(self.began_ns + fault.at_ms * MS_NS, faults.begin, self, fault)

    def _weigh_gateways(self, request: PlannedRequest, names: list[str]) -> list[float]:
        return traffic.gateway_weights(self, request, names)

    def _connection_opened(self, opener: TcpTransport, acceptor: TcpTransport) -> None:
        """Observes the commands that a gateway sends on a new connection to a backend."""
        gateway, backend = opener.process.name, acceptor.process.name
        if gateway[0] == "g" and backend in self.backends:
            observer = ForwardedCommandObserver(self.checker, gateway, backend, self.scheduler)
            opener.on_sent = observer.feed
            if self.on_backend_connection is not None:
                self.on_backend_connection()

    # ---- the run and its end

    def _play_until_quiet(self) -> bool:
        """Runs until everything is answered. Returns True if a rule was broken."""
        last_ms = max([self.plan.last_ms, *(fault.at_ms + fault.for_ms for fault in self.plan.faults)])
        last_ns = self.began_ns + last_ms * MS_NS
        until_ns = last_ns + MIN_QUIET_NS
        broken = self.scheduler.run(until_ns, self.checker.check_due)
        while not broken and until_ns < last_ns + MAX_QUIET_NS and not self._quiet():
            until_ns += QUIET_CHECK_NS
            broken = self.scheduler.run(until_ns, self.checker.check_due)
        return broken

    def _quiet(self) -> bool:
        """Returns True when no request is in flight and no gateway is shutting down."""
        if self.load_balancer.in_flight or self.load_balancer.retries_waiting:
            return False
        alive = [node for node in self.nodes if node.process.alive]
        return not any(node.stopping or in_progress(node) for node in alive)

    def _check_end(self) -> None:
        """Checks that the gateways hold nothing of requests answered long ago."""
        for node in self.nodes:
            self.check_process(node)
            if node.process.alive and not node.stopping:
                self.checker.check_resources_released(node.name, leftovers(node, self.scheduler.now_ns))

    def _result(self) -> Result:
        checker = self.checker
        tally: dict[str, int] = {}
        for (_, kind), count in self.load_balancer.outcomes.items():
            tally[kind] = tally.get(kind, 0) + count
        return Result(
            seed=self.plan.seed,
            steps=self.scheduler.steps,
            seconds=(self.scheduler.now_ns - START_NS) / 1e9,
            requests=checker.counts.requests,
            attempts=checker.counts.attempts,
            faults=len(self.plan.faults),
            digest=self.network.digest(),
            breach=checker.violations[0] if checker.violations else None,
            tally=tally,
            nearest={
                "cold": round(checker.cold_starts.peak_ratio, 4),
                "ceiling": round(checker.ceilings.peak_ratio, 4),
                "quota": round(checker.quotas.peak_ratio, 4) if checker.quotas else 0.0,
            },
        )
