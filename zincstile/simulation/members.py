"""Who takes part in a run on virtual time: gateways' nodes, and backends with their entries in the list."""

from __future__ import annotations

from dataclasses import dataclass

from ..emulators.backend import BackendEmulator, BackendModel
from ..emulators.discovery import DiscoveryAgent, EndpointEntry
from ..net.gateway import Gateway
from ..virtual.host import VirtualHost
from ..virtual.process import Process


@dataclass(slots=True)
class Node:
    """A gateway's node in the tier: its address and its agent stay while processes come and go.

    `process`, `gateway` and `machine` are those that were started last; None before the first start.
    """

    number: int
    name: str
    host: str
    agent: DiscoveryAgent
    discovery: tuple[str, int]  # host and port that the configuration names
    skew_ns: int = 0
    starts: int = 0
    process: Process | None = None
    gateway: Gateway | None = None
    machine: VirtualHost | None = None
    moves: int = 0
    quota_service_number: int = 0
    stopping: bool = False


@dataclass(slots=True)
class Backend:
    """A backend's process, and its entry in discovery's list."""

    entry: EndpointEntry
    process: Process
    emulator: BackendEmulator
    host: str
    port: int
    zone: int
    model: BackendModel
