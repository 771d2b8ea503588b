"""What fault injection needs of a run: `run.Run` on virtual time or `testbed.run.Run` with real processes.

Times are in milliseconds from now. Each implementation has its own way to kill a gateway or cut a path;
`faults` does not distinguish them.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from ..checkers.checker import Checker
from ..emulators.backend import BackendEmulator, BackendModel
from ..emulators.clients import ClientLoadBalancer
from ..emulators.discovery import DiscoveryAgent, EndpointEntry, EndpointList
from ..emulators.misbehaving_client import MisbehavingClient
from ..emulators.quota_service import QuotaService
from ..virtual.network_faults import NetworkFaults

if TYPE_CHECKING:
    from .plan import Plan


class Node(Protocol):
    """A gateway's node in the tier: it stays while processes come and go."""

    number: int
    name: str
    agent: DiscoveryAgent
    skew_ns: int  # offset of its Unix clock, effective from the next start
    starts: int
    moves: int  # of its discovery address, so far
    quota_service_number: int  # number of the quota service that its configuration names
    stopping: bool  # it has received SIGTERM


class Backend(Protocol):
    """A backend, and its entry in discovery's list."""

    entry: EndpointEntry
    emulator: BackendEmulator
    zone: int
    model: BackendModel


class Environment(Protocol):
    """One run."""

    plan: Plan
    checker: Checker
    rng: random.Random  # for faults and emulators, which draw in the order of events
    links: NetworkFaults
    nodes: list[Any]
    backends: dict[str, Any]
    backend_names: list[str]  # in the plan's order; a deploy replaces the old name by the new one
    endpoint_list: EndpointList
    load_balancer: ClientLoadBalancer
    customer_weights: dict[tuple[int, str], float]  # distribution of a customer over gateways
    weight_rng: random.Random
    preferred_gateways: list[dict[str, None]]  # gateways that receive all requests at present

    def note(self, what: str, where: str) -> None:
        """Adds an event to the trace of the run."""

    def after(self, ms: float, callback: Callable[..., None], *args: object) -> None:
        """Calls `callback` that many milliseconds from now."""

    # gateways

    def is_running(self, node: Any) -> bool:
        """Returns True while a process of the gateway is alive."""

    def start_gateway(self, node: Any) -> None:
        """Starts a process from its configuration and the cached endpoint list alone."""

    def kill(self, node: Any) -> None:
        """Sends SIGKILL."""

    def terminate(self, node: Any) -> None:
        """Sends SIGTERM."""

    def pause(self, node: Any, ms: float) -> None:
        """Stops the process for this time."""

    def reload(self, node: Any) -> None:
        """Sends SIGHUP; the gateway reads its current configuration file."""

    def upgrade(self, node: Any) -> None:
        """Starts the next version of the program, which takes over from the running process."""

    def move_discovery(self, node: Any) -> None:
        """Makes its agent listen at an additional address, and puts that into the configuration file."""

    def connect_misbehaving_client(self, node: Any, client: MisbehavingClient) -> None:
        """Connects a client that violates the protocol."""

    # backends

    def backend_is_running(self, backend: Any) -> bool:
        """Returns True until the backend is killed."""

    def kill_backend(self, backend: Any) -> None:
        """Breaks all connections and stops listening."""

    def add_backend(self, zone: int, cold: bool, group: int | None = None, at: Any = None) -> Any:
        """Adds a backend, at the address of `at` if given."""

    def restart_backend(self, old: Any) -> Any:
        """Restarts a backend, cold."""

    def resume_listening(self, backend: Any) -> None:
        """Accepts connections again if it had stopped."""

    def reset_backend(self, backend: Any) -> None:
        """Breaks its connections; the backend keeps running."""

    def set_backend_unreachable(self, backend: Any, unreachable: bool) -> None:
        """Cuts the backend off from all gateways, or reconnects it."""

    def set_backend_delay(self, backend: Any, ms: float) -> None:
        """Delays all traffic between the backend and the gateways by this time; 0 ends it."""

    def set_partitioned(self, node: Any, backend: Any, partitioned: bool) -> None:
        """Cuts the path between a gateway and a backend, or restores it."""

    # quota services

    def quota_service(self, number: int) -> QuotaService:
        """Returns the quota service of that number."""

    def start_quota_service(self, number: int) -> None:
        """Starts a quota service with empty state."""

    def kill_quota_service(self, number: int) -> None:
        """Breaks all connections and stops listening."""

    def set_quota_service_unreachable(self, unreachable: bool) -> None:
        """Cuts the first quota service off from all gateways, or reconnects it."""


class RealEnvironment(Environment, Protocol):
    """One run with real processes, with faults of machines and actions of operators."""

    def reload(self, node: Any, half: bool = False) -> None:
        """Sends SIGHUP; with `half`, its configuration file is truncated."""

    def step_clock(self, node: Any, seconds: float) -> None:
        """Sets the offset of the wall clock of its machine."""

    def set_knob(self, node: Any, name: str, value: float) -> None:
        """Sets a value of the shim of its processes (`testbed.shim_control.Knob`)."""

    def set_maintenance(self, node: Any, name: str, out: bool) -> None:
        """Puts the backend of that name into maintenance as an operator does, or ends it."""
