"""Who takes part in a run: a gateway's place in the tier, and a fake backend with its entry in the list."""

from __future__ import annotations

import socket
from dataclasses import dataclass, field
from pathlib import Path

from ..emulators.backend import BackendEmulator, BackendModel
from ..emulators.discovery import DiscoveryAgent, EndpointEntry
from ..simulation import traffic
from .fault_proxy import FaultProxy
from .programs import Program
from .shim_control import ShimControl


@dataclass(slots=True, eq=False)
class Node:
    """A gateway's place in the tier, and its processes: it stays while they come and go."""

    number: int
    name: str
    agent: DiscoveryAgent
    proxy: FaultProxy
    listen: str
    folder: Path
    shim: ShimControl
    discovery: str = ""
    skew_ns: int = 0
    operators: str = ""  # the control endpoint of the process that was started last
    starts: int = 0
    moves: int = 0
    quota_service_number: int = 0
    stopping: bool = False
    may_die: bool = False  # in the middle of a write, as the plan has it
    program: Program | None = None
    older: Program | None = None  # serves beside the newer one
    socket: socket.socket | None = None
    counters: dict[str, float] = field(default_factory=dict)  # of the processes that are no more
    latest: dict[str, float] = field(default_factory=dict)  # of the one that runs
    believes: dict[str, float] = field(default_factory=dict)
    memory_kb: int = 0
    ready_s: float = 0.0

    @property
    def zone(self) -> int:
        """Gateways go round the zones by their numbers."""
        return self.number % len(traffic.ZONES)


@dataclass(slots=True, eq=False)
class Backend:
    """A fake backend, with its entry in discovery's list."""

    entry: EndpointEntry
    emulator: BackendEmulator
    proxy: FaultProxy
    zone: int
    model: BackendModel
    number: int
    alive: bool = True
