"""The gateways of a run on virtual time: their configuration, start, signals and end.

They run the program's own code: `net.gateway.Gateway` with its decisions, started in the same way as by
`python -m zincstile`, each in a virtual process of its own.
"""

from __future__ import annotations

import random
import signal
from collections.abc import Callable
from typing import Any, Final

from ..emulators.misbehaving_client import MisbehavingClient
from ..net import config
from ..net.gateway import Gateway
from ..virtual.clock import MS_NS
from ..virtual.host import VirtualHost
from ..virtual.process import Process
from . import traffic
from .leftovers import SERVICE_PORT
from .members import Node
from .virtual_backends import QUOTA_SERVICE_PORT, VirtualBackends, quota_service_host
from .virtual_environment import UNIX_OFFSET_NS

DISCOVERY_PORT: Final = 8500  # of an agent's first address; each move uses the next port
PEER_PORT: Final = 7946
FAULT_LOG_MARK: Final = " fault "  # precedes an error that the gateway survived in its log line


class VirtualGateways(VirtualBackends):
    """Starts and stops gateways and injects faults into them."""

    on_log_line: Callable[[Node, str], None] | None = None  # called for each line of a gateway's log

    # ---- configuration

    def config(self, node: Node) -> config.Config:
        """Returns a gateway's configuration, with the features' settings that would come from their files."""
        loaded = config.read(self.table(node), {})
        loaded.leases = self.lease_settings
        loaded.cold_start = self.cold_start_settings
        loaded.zone_failover = self.zone_failover_settings
        loaded.subset = self.subset_settings
        if self.quota_service_settings is not None:
            loaded.quota_service = self.quota_service_settings
            loaded.quota_service_address = (quota_service_host(node.quota_service_number), QUOTA_SERVICE_PORT)
        return loaded

    def table(self, node: Node) -> dict[str, Any]:
        """Returns the current content of a gateway's configuration file."""
        seed = random.Random(f"{node.name} {self.plan.seed} {node.starts}").getrandbits(64)
        return traffic.configuration(
            self.plan,
            node.number,
            f"{node.host}:{SERVICE_PORT}",
            "{}:{}".format(*node.discovery),
            [f"{other.host}:{PEER_PORT}" for other in self.nodes],
            seed,
            node.agent.snapshot() if self.plan.known else {},
        )

    # ---- start and end

    def start_gateway(self, node: Node) -> None:
        """Starts a process as the platform does: from its configuration and cached endpoint list alone."""
        node.starts += 1
        node.stopping = False
        process = Process(
            self.network,
            node.name,
            node.host,
            node.number % len(traffic.ZONES),
            max_descriptors=self.plan.sockets,
            quantum_ns=self.plan.quantum_us * 1000,
        )
        virtual_host = VirtualHost(process, lambda: self.config(node), UNIX_OFFSET_NS + node.skew_ns)
        virtual_host.log = lambda line: self._log(node, line)
        self.checker.gateway_started(node.name)
        self.network.record("start", node.name)
        gateway = Gateway(self.config(node), process.loop, virtual_host)
        gateway.dispatcher.guard.observer = lambda which, text: self.checker.report_invariant(
            node.name, f"{which.value} {text}"
        )
        node.process = process
        node.gateway = gateway
        node.machine = virtual_host
        task = process.loop.create_task(gateway.lifecycle.run())
        task.add_done_callback(lambda _: self._ended(node, process))

    def is_running(self, node: Node) -> bool:
        """Returns True while its process is alive."""
        return node.process.alive

    def kill(self, node: Node) -> None:
        """Kills the process as by SIGKILL."""
        if node.process.alive:
            self.check_process(node)
            self.checker.gateway_ended(node.name)
            node.process.kill()

    def terminate(self, node: Node) -> None:
        """Sends SIGTERM, at most once."""
        if node.process.alive and not node.stopping:
            node.stopping = True
            self.checker.record_event(f"{node.name} gets SIGTERM")
            node.process.signal(signal.SIGTERM)

    def check_process(self, node: Node) -> None:
        """Checks the peak number of open descriptors of a process, and the errors of its event loop."""
        self.checker.check_descriptors(node.name, node.process.peak_descriptors, self.plan.sockets)
        for fault in node.process.loop.unhandled_errors:
            self.checker.report_fault(node.name, fault)

    def _ended(self, node: Node, process: Process) -> None:
        """Handles the exit of a gateway by itself after SIGTERM.

        The checker isn't told that the gateway died: requests that it accepted and didn't answer
        count as lost.
        """
        if process.alive:
            self.checker.record_event(f"{node.name} ended by itself")
            self.network.record("ended", node.name)
            self.check_process(node)
            process.kill()

    def _log(self, node: Node, line: str) -> None:
        if self.on_log_line is not None:
            self.on_log_line(node, line)
        self.logs.append(line)
        if FAULT_LOG_MARK in line:
            self.checker.report_fault(node.name, line.split(FAULT_LOG_MARK, 1)[1].strip())

    # ---- other events

    def pause(self, node: Node, ms: float) -> None:
        """Stops the process for this time."""
        node.process.pause(int(ms * MS_NS))
        self.checker.gateway_paused(node.name, int(ms * MS_NS))

    def reload(self, node: Node) -> None:
        """Sends SIGHUP; the gateway reads its current configuration file."""
        node.process.signal(signal.SIGHUP)

    def move_discovery(self, node: Node) -> None:
        """Makes its agent listen at an additional address, and puts that into the configuration file."""
        node.discovery = node.host, DISCOVERY_PORT + node.moves
        node.agent.loop.create_task(node.agent.start(*node.discovery))

    def connect_misbehaving_client(self, node: Node, client: MisbehavingClient) -> None:
        """Connects a client that violates the protocol."""
        self.spawn(self.clients, self._connect(node.host, client))

    async def _connect(self, host: str, client: MisbehavingClient) -> None:
        try:
            await self.clients.loop.create_connection(lambda: client, host, SERVICE_PORT)
        except OSError:
            return  # that gateway is down

    def upgrade(self, node: Node) -> None:
        """Does nothing: only runs with real processes support upgrades (`plan.REAL_PROCESS_KINDS`)."""
