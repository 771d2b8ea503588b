"""One run of a plan with real processes, with the same faults as on virtual time.

The run waits for conditions, not for fixed times that a busy machine may miss: all gateways answer PING, no
request is in flight, all processes have ended.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any, Final

from ..checkers.quotas import Quotas
from ..checkers.rules import Rule
from ..emulators.clients import ClientLoadBalancer
from ..emulators.discovery import DiscoveryAgent
from ..simulation import faults, traffic
from ..simulation.plan import Plan
from ..virtual.network_faults import paths_between
from . import places
from .datagrams import Datagrams
from .emulated import EmulatedServices
from .fault_proxy import FaultProxy
from .gateways import EXIT_TIMEOUT_S, GatewayProcesses
from .members import Node
from .operators import Operators
from .programs import Program
from .result import RunResult
from .shim_control import Knob, ShimControl
from .summary import summary
from .testbed import POLL_S

READY_S: Final = 60.0  # for all gateways to get ready, with many processes on one machine
SETTLE_S: Final = 0.8  # for the first heartbeats before the load begins
END_S: Final = 20.0  # after the last request or fault, for the remaining answers
SAMPLE_S: Final = 0.5  # between two samples of the processes
RESTART_S: Final = 10.0  # for a restarted process to get ready


class NotReadyError(RuntimeError):
    """The gateways did not start; the text has the end of their logs."""


def shim_seed(seed: int, number: int) -> float:
    """Returns the seed of one gateway's shim, from the plan's seed."""
    return float(seed * 1000 + number)


class Run(EmulatedServices, GatewayProcesses, Operators):
    """`environment.Environment` with real processes: the run from its first process to its last."""

    async def play(self) -> RunResult:
        """Plays the plan. Raises NotReadyError if gateways don't start, OSError if a socket fails to open."""
        self.loop = asyncio.get_running_loop()
        self.loop.set_exception_handler(self.report_loop_error)
        with places.reserve_block() as self.block:
            try:
                await self.build()
                await self._wait_until_ready()
                await self._play_load()
                await self._end_gateways()
            finally:
                self.clean_up()
        return summary(self)

    async def build(self, start: bool = True) -> None:
        """Creates all services, nodes and clients; with `start` starts the gateways too."""
        plan = self.plan
        self.datagrams = Datagrams(self.loop, self.links, self.block, self.names)
        if self.base.loss_ratio or self.base.duplicate_ratio:
            self.links.inject(paths_between(self.names, self.names), self.base)
        await self._build_backends()
        for number in range(2 if plan.quota_service else 0):
            self.start_quota_service(number)
        for number, name in enumerate(self.names):
            self.nodes.append(await self._make_node(number, name))
        self.load_balancer = self._make_clients()
        self.probe.died_as_planned = self.died_as_planned
        await self.wait_for(lambda: all(c.port for _, c in self.quota_services.values()), READY_S)
        self.first_start_s = time.monotonic()
        self.checker.quotas = Quotas(self.stated, 0, self.initial_ratio, time.monotonic_ns())
        for node in self.nodes if start else ():
            self.start_gateway(node)

    async def _build_backends(self) -> None:
        """Starts the plan's backends one after another, so that each listens before discovery lists it."""
        for k in range(self.plan.boxes):
            place = self.add_backend(k % len(traffic.ZONES), cold=False)
            await self.wait_for(lambda place=place: place.proxy.port, READY_S)
            self.backend_names.append(place.entry.name)
            self.endpoint_list.put(place.entry)

    async def _make_node(self, number: int, name: str) -> Node:
        """Creates a gateway's node: its discovery, its folder and, for upgrades, its listening socket."""
        proxy = FaultProxy(self.loop, self.links, "discovery", places.DISCOVERY, 0, self.names)
        agent = DiscoveryAgent(proxy, self.endpoint_list, name, self.probe)  # type: ignore[arg-type]
        agent.transform_entry = lambda entry: self.entry_for(entry, number)
        await agent.start("")
        folder = self.folder / name
        (folder / "tmp").mkdir(parents=True, exist_ok=True)
        node = Node(
            number=number,
            name=name,
            agent=agent,
            proxy=proxy,
            listen=f"{places.gateway_address(self.block, number)}:{places.CLIENTS_PORT}",
            folder=folder,
            shim=ShimControl(folder / "shim"),
            discovery=proxy.address(number),
        )
        node.shim.set(Knob.SEED, shim_seed(self.plan.seed, number))
        if number in self.upgraded_gateways:
            node.socket = self.open_listening_socket(node)
        return node

    def _make_clients(self) -> ClientLoadBalancer:
        """Creates the clients, which use every gateway."""
        front = ClientLoadBalancer(
            self.loop,
            random.Random(f"front {self.plan.seed}"),
            self.probe,
            {s.name: (places.gateway_address(self.block, s.number), places.CLIENTS_PORT) for s in self.nodes},
            failure_detection_s=(0.3, 1.5),
        )
        front.weigh_gateways = self.weigh_gateways
        front.was_read = lambda transport, request: self.probe.was_forwarded(request.sent.id)
        return front

    async def _wait_until_ready(self) -> None:
        """Waits until every gateway answers PING. Raises NotReadyError if one does not in time."""
        self.load_balancer.watch_gateways()
        await self.wait_for(
            lambda: all(self.load_balancer.healthy.values()) or not all(s.program.alive for s in self.nodes),
            READY_S,
        )
        down = [n for n, up in self.load_balancer.healthy.items() if not up]
        if down:
            tail = [f"{n}: {(self.folder / n / 'log').read_text()[-400:].strip()}" for n in down[:3]]
            raise NotReadyError(
                f"{len(down)} of {len(self.names)} gateways did not start; " + " | ".join(tail)
            )
        for node in self.nodes:
            node.ready_s = self.load_balancer.first_healthy_s[node.name] - self.first_start_s
        await asyncio.sleep(SETTLE_S)  # the first heartbeats pass

    async def _play_load(self) -> None:
        """Plays requests and faults at their times, and checks until all requests are answered."""
        plan = self.plan
        self.probe.measure_loop_delay(self.loop)
        self.began_s = start = self.loop.time() + 0.1
        for want in traffic.planned_requests(plan, start):
            self.loop.call_at(want.at_s, self.load_balancer.send, want)
        for fault in plan.faults:
            self.loop.call_at(start + fault.at_ms / 1000, self._begin_fault, fault)
        last = max([plan.last_ms, *(f.at_ms + f.for_ms for f in plan.faults)]) / 1000
        sampled = 0.0
        until = start + last + END_S
        while self.loop.time() < until:
            await asyncio.sleep(POLL_S)
            now = self.loop.time()
            self.checker.check_due(time.monotonic_ns())
            self.check_exits()
            if now - sampled > SAMPLE_S:
                sampled = now
                self._sample_processes()
            if now > start + last + 0.2 and self._all_answered():
                break
        self.lasted_s = self.loop.time() - start

    def _all_answered(self) -> bool:
        """Returns whether no request is in flight or to be retried, and no older version still serves."""
        return (
            not self.load_balancer.in_flight
            and not self.load_balancer.retries_waiting
            and all(node.older is None for node in self.nodes)
        )

    def _begin_fault(self, fault: Any) -> None:
        """Records and begins a fault of the plan."""
        text = f"{fault.kind} {' '.join(map(str, fault.targets))}".strip()
        self.events.append((round(self.loop.time() - self.began_s, 3), f"{text} for {fault.for_ms} ms"))
        faults.begin(self, fault)  # type: ignore[arg-type]

    def _sample_processes(self) -> None:
        """Reads the logs and the memory of all gateways, and requests their counters with SIGUSR1."""
        for node in self.nodes:
            self.read_log(node)
            if node.program is not None and node.program.listening and node.program.alive:
                node.program.signal(signal.SIGUSR1)
                node.memory_kb = max(node.memory_kb, node.program.memory_kb())

    async def _end_gateways(self) -> None:
        """Ends every process; each has to exit in time and without a fault."""
        left = self.load_balancer.in_flight
        await self._check_ready()
        self.ending = True
        for node in self.nodes:
            if node.program is not None:
                node.program.signal(signal.SIGCONT)
                node.program.terminate()
        await self.wait_for(
            lambda: not any(s.program and s.program.alive for s in self.nodes), EXIT_TIMEOUT_S
        )
        for node in self.nodes:
            self.read_log(node)
            if node.program is not None:
                self._check_end(node, node.program)
        if left:
            self.checker.report_violation(Rule.ANSWER, f"{left} requests were never answered")

    async def _check_ready(self) -> None:
        """Checks that each running gateway answers PING, at the latest within the time for a restart."""
        await self.wait_for(lambda: not self._not_ready(), RESTART_S)
        for name in self._not_ready():
            self.checker.report_violation(
                Rule.READY, f"{name} runs but did not get ready within {RESTART_S:g} s"
            )

    def _not_ready(self) -> list[str]:
        running = [s for s in self.nodes if self.is_running(s) and not s.stopping]
        return [s.name for s in running if not self.load_balancer.healthy[s.name]]

    def _check_end(self, node: Node, program: Program) -> None:
        """Checks that the process exited in time, with a proper code, and counted no fault."""
        code = program.process.returncode
        if program.alive:
            self.checker.report_violation(
                Rule.RESOURCES, f"{node.name} did not end within {EXIT_TIMEOUT_S:g} s of SIGTERM"
            )
        elif code and code != -signal.SIGKILL and (program.listening or code != -signal.SIGTERM):
            self.checker.report_fault(node.name, f"exit {code}")
        if node.latest.get("faults"):
            self.checker.report_fault(node.name, f"{node.latest['faults']:g} faults counted")

    def clean_up(self) -> None:
        """Stops everything that was started here, whatever the outcome."""
        for node in self.nodes:
            self._clean_up_gateway(node)
        for place in self.backends.values():
            place.proxy.close()
        for _, proxy in self.quota_services.values():
            proxy.close()
        if hasattr(self, "datagrams"):
            self.datagrams.close()
        if hasattr(self, "load_balancer"):
            self.load_balancer.close()
        self.cancel_tasks()

    def _clean_up_gateway(self, node: Node) -> None:
        for program in (node.older, node.program):
            if program is not None:
                program.kill()
        for server in node.agent.servers:
            server.close()
        node.proxy.close()
        if node.socket is not None:
            node.socket.close()
        node.shim.close()


def play(plan: Plan, folder: Path, **options: Any) -> RunResult:
    """Plays one run; `options`: those of `Testbed`. Raises AddressError if the system is not Linux."""
    if sys.platform != "linux":
        raise places.AddressError("runs of the testbed need the loopback interface of Linux")
    return asyncio.run(Run(plan, folder, **options).play())
