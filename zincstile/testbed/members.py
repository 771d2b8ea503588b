"""Members of a run: gateway nodes, and fake backends with their endpoint entries."""

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
    """A gateway with its processes, which may be restarted or replaced."""

    number: int
    name: str
    agent: DiscoveryAgent
    proxy: FaultProxy
    listen: str
    folder: Path
    shim: ShimControl
    discovery: str = ""
    skew_ns: int = 0
    admin_address: str = ""  # the control endpoint of the process that was started last
    starts: int = 0
    moves: int = 0
    quota_service_number: int = 0
    stopping: bool = False
    may_die: bool = False  # a planned fault kills it during a write
    program: Program | None = None
    older: Program | None = None  # during an upgrade: the previous version, still serving
    socket: socket.socket | None = None
    counters: dict[str, float] = field(default_factory=dict)  # sums over ended processes
    latest: dict[str, float] = field(default_factory=dict)  # of the running process
    state: dict[str, float] = field(default_factory=dict)  # the last logged one
    memory_kb: int = 0
    ready_s: float = 0.0

    @property
    def zone(self) -> int:
        """Gateways are assigned to zones round-robin."""
        return self.number % len(traffic.ZONES)


@dataclass(slots=True, eq=False)
class Backend:
    """A fake backend, with its entry in the endpoint list."""

    entry: EndpointEntry
    emulator: BackendEmulator
    proxy: FaultProxy
    zone: int
    model: BackendModel
    number: int
    alive: bool = True
