"""The gateways of a scale run: which process each belongs to, how processes start and how they end."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path
from typing import Final

from ..checkers.checker import Checker
from ..simulation import traffic
from ..simulation.plan import Plan
from ..testbed import places
from . import estimate
from .configuration import GatewaySpec
from .crowd import GatewayProcess, place_of, write_configuration
from .members import Member
from .plan import DayPlan
from .records import Kind
from .surroundings import DayDiscovery, PeerRelay
from .topology import Topology

STEP_S: Final = 0.05  # between two looks at whether a process has ended
END_TIMEOUT_S: Final = 12.0  # a process that was asked to end may take so long


class DayGateways:
    """All gateways of one run and their processes.

    `blocks`: blocks of loopback addresses reserved for this run. `features`: paths of feature files, by name.
    """

    def __init__(
        self,
        fleet: Topology,
        plan: DayPlan,
        folder: Path,
        features: dict[str, str],
        blocks: list[int],
        discovery: DayDiscovery,
        relay: PeerRelay,
        checker: Checker,
    ) -> None:
        """Writes every configuration; starts nothing."""
        self.members: list[Member] = []
        self.processes: list[GatewayProcess] = []
        self.faults: list[str] = []
        self._fleet = fleet
        self._plan = plan
        self._folder = folder
        self._features = features
        self._blocks = blocks
        self._discovery = discovery
        self._relay = relay
        self._checker = checker
        self._create()

    # ---- configuration

    def _create(self) -> None:
        for number in range(self._fleet.gateways):
            self._relay.add(place_of(self._blocks, number), places.PEERS_PORT)
        real_count = self._plan.real.loaded + self._plan.real.unloaded
        hollow: dict[str, list[Member]] = {zone: [] for zone in self._fleet.zones}
        for number in range(self._fleet.gateways):
            member = self._create_member(number, Kind.REAL if number < real_count else Kind.HOLLOW)
            self.members.append(member)
            if member.kind is Kind.REAL:
                self._add_process(Kind.REAL, [member])
            else:
                hollow[member.zone].append(member)
        size = estimate.hollow_of_process(self._fleet)
        for members in hollow.values():
            for first in range(0, len(members), size):
                self._add_process(Kind.HOLLOW, members[first : first + size])

    def _add_process(self, kind: Kind, members: list[Member]) -> None:
        folder = self._folder / f"{kind.value}-{members[0].number}"
        self.processes.append(GatewayProcess(kind, members, folder))

    def _create_member(self, number: int, kind: Kind) -> Member:
        fleet = self._fleet
        zone_number = number % len(fleet.zones)
        host = place_of(self._blocks, number)
        own_address = f"{host}:{places.PEERS_PORT}"
        spec = GatewaySpec(
            number,
            f"{host}:{places.CLIENTS_PORT}",
            own_address,
            self._discovery.address(number, 0),
            self._relay.addresses(fleet.gateways, number, own_address),
            self._features,
        )
        settings = traffic.settings(Plan(seed=1, gateways=fleet.gateways), number)
        settings |= {"zones": fleet.zones, "zone": zone_number}
        path = self._folder / f"g{number}.json"
        write_configuration(fleet, spec, settings, path)
        loaded = kind is Kind.REAL and number < self._plan.real.loaded
        return Member(number, kind, fleet.zones[zone_number], (host, places.CLIENTS_PORT), path, loaded)

    # ---- processes

    def in_zone(self, zone: str) -> list[GatewayProcess]:
        """The processes of the gateways of one zone."""
        return [process for process in self.processes if process.zone == zone]

    def start(self, process: GatewayProcess) -> None:
        """Starts a process; returns before its gateways listen."""
        for member in process.members:
            if member.loaded:
                self._checker.gateway_started(member.name)
        process.start()

    async def stop(self, process: GatewayProcess, *, at_once: bool) -> None:
        """Ends a process and waits until it has ended: `at_once` by SIGKILL, else by a graceful shutdown."""
        if at_once:
            for member in process.members:
                if member.loaded:
                    self._checker.gateway_ended(member.name)
            process.program.asked_to_end = True
            process.program.signal(signal.SIGKILL)
        else:
            process.program.terminate()
        await self._wait_until_ended(process)
        self._note_ended(process)

    async def _wait_until_ended(self, process: GatewayProcess) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + END_TIMEOUT_S
        while process.alive:
            await asyncio.sleep(STEP_S)
            if loop.time() > until_s:
                self.faults.append(f"{process.members[0].name} did not end within {END_TIMEOUT_S:g} s")
                process.program.kill()
        code = process.program.process.returncode
        if code and code != -signal.SIGKILL:
            self.faults.append(f"{process.members[0].name}: exit {code} after SIGTERM")

    def _note_ended(self, process: GatewayProcess) -> None:
        process.ended(time.time(), self._discovery.sent_indexes, self._discovery.watches_opened)
        for member in process.members:
            self._discovery.restarted(member.number)

    def note_unexpected_ends(self) -> None:
        """Records a fault for each process that ended although nobody asked it to."""
        for process in self.processes:
            if not process.alive and not process.program.asked_to_end:
                process.program.asked_to_end = True
                code = process.program.process.returncode
                self.faults.append(f"{process.members[0].name}: the process ended by itself, exit {code}")
                self._note_ended(process)

    def read_logs(self) -> None:
        """Takes in what all gateways have logged since the last call."""
        for process in self.processes:
            process.read(self._discovery.sent_indexes, self._discovery.watches_opened)

    def resident_bytes(self) -> int:
        """Resident memory of all processes that run."""
        return sum(process.program.memory_kb() for process in self.processes if process.alive) * 1024

    def all_faults(self) -> list[str]:
        """Faults of the processes' ends, then those that the gateways logged."""
        return self.faults + [fault for process in self.processes for fault in process.faults]

    def kill_all(self) -> None:
        """Ends every process at once, without waiting for its gateways."""
        for process in self.processes:
            if process.program is not None:
                process.program.kill()
