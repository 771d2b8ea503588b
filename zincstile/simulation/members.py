"""The members of a run on virtual time: nodes of gateways, and backends with their discovery entries."""

from __future__ import annotations

from dataclasses import dataclass

from ..emulators.backend import BackendEmulator, BackendModel
from ..emulators.discovery import DiscoveryAgent, EndpointEntry
from ..net.gateway import Gateway
from ..virtual.host import VirtualHost
from ..virtual.process import Process


@dataclass(slots=True)
class Node:
    """A gateway's node: its address and discovery agent persist over restarts of its process.

    `process`, `gateway` and `machine` belong to the latest start; None before the first one.
    """

    number: int
    name: str
    host: str
    agent: DiscoveryAgent
    discovery: tuple[str, int]  # host and port in its configuration
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
    """A backend's process, and its entry in the endpoint list."""

    entry: EndpointEntry
    process: Process
    emulator: BackendEmulator
    host: str
    port: int
    zone: int
    model: BackendModel
