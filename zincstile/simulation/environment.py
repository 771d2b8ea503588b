"""What a plan's faults need of a run: `run.Run` on virtual time, `testbed.run.Run` with real processes.

Times are milliseconds from now. Each says in its own way how a gateway is killed or a path is
cut; `faults` never asks which of both it is.
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
    skew_ns: int  # of its Unix clock, from the next start on
    starts: int
    moves: int  # of its discovery
    quota_service_number: int  # of the one that its configuration names
    stopping: bool  # it got SIGTERM


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
    rng: random.Random  # of faults and emulators, in the order of events
    links: NetworkFaults
    nodes: list[Any]
    backends: dict[str, Any]
    backend_names: list[str]  # names in the plan's order; a deploy puts the new one in its place
    endpoint_list: EndpointList
    load_balancer: ClientLoadBalancer
    customer_weights: dict[tuple[int, str], float]  # how unevenly a customer comes in
    weight_rng: random.Random
    preferred_gateways: list[dict[str, None]]  # gateways to which all are drawn at present

    def note(self, what: str, where: str) -> None:
        """For the record."""

    def after(self, ms: float, then: Callable[..., None], *args: object) -> None:
        """Calls `then` that many milliseconds from now."""

    # gateways

    def is_running(self, node: Any) -> bool:
        """True while a process of it is alive."""

    def start_gateway(self, node: Any) -> None:
        """Starts a process from nothing but its configuration and the last list."""

    def kill(self, node: Any) -> None:
        """SIGKILL."""

    def terminate(self, node: Any) -> None:
        """SIGTERM."""

    def pause(self, node: Any, ms: float) -> None:
        """It gets no CPU for so long."""

    def reload(self, node: Any) -> None:
        """SIGHUP, with the file as it is by now."""

    def upgrade(self, node: Any) -> None:
        """The next version starts beside this one and takes over."""

    def move_discovery(self, node: Any) -> None:
        """Its agent listens at a new address too, which the file names from now on."""

    def connect_misbehaving_client(self, node: Any, client: MisbehavingClient) -> None:
        """A client that keeps to no protocol connects to it."""

    # backends

    def backend_is_running(self, backend: Any) -> bool:
        """True until it is killed."""

    def kill_backend(self, backend: Any) -> None:
        """Its connections break, and it takes no new ones."""

    def add_backend(self, zone: int, cold: bool, group: int | None = None, at: Any = None) -> Any:
        """A new one, at another's address where one is given."""

    def restart_backend(self, old: Any) -> Any:
        """The same one, started again and cold."""

    def resume_listening(self, backend: Any) -> None:
        """It takes connections again, if it took none."""

    def reset_backend(self, backend: Any) -> None:
        """Its connections break; it goes on."""

    def set_backend_unreachable(self, backend: Any, silent: bool) -> None:
        """No gateway reaches it any more, or all do again."""

    def set_backend_delay(self, backend: Any, ms: float) -> None:
        """What passes between it and the gateways is late by so much; 0: no more."""

    def set_partitioned(self, node: Any, backend: Any, apart: bool) -> None:
        """This gateway and this backend reach each other no more, or do again."""

    # quota services

    def quota_service(self, number: int) -> QuotaService:
        """The quota service of that number."""

    def start_quota_service(self, number: int) -> None:
        """Starts a quota service that knows nothing yet."""

    def kill_quota_service(self, number: int) -> None:
        """Its connections break, and it takes no new ones."""

    def set_quota_service_unreachable(self, silent: bool) -> None:
        """No gateway reaches the first quota service any more, or all do again."""


class RealEnvironment(Environment, Protocol):
    """One run with real processes, whose machines and operators take part too."""

    def reload(self, node: Any, half: bool = False) -> None:
        """`half`: its file is cut off in the middle."""

    def step_clock(self, node: Any, seconds: float) -> None:
        """Its machine's wall clock is off by so much from now on."""

    def set_knob(self, node: Any, name: str, value: float) -> None:
        """A value of the shim of its processes (`field.shim_control.Knob`)."""

    def set_maintenance(self, node: Any, name: str, out: bool) -> None:
        """An operator's call: the box of that name is taken out, or put back."""
