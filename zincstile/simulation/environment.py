"""What a plan's faults need of a run: `run.Run` on virtual time, `testbed.run.Run` with real processes.

Times are milliseconds from now. Whoever implements this says in its own words how a gateway is killed
or a way is cut; `faults` never asks which of both it is.
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


class Seat(Protocol):
    """A gateway's place in the tier: it stays while processes come and go."""

    number: int
    name: str
    agent: DiscoveryAgent
    skew_ns: int  # of its Unix clock, from the next start on
    starts: int
    moves: int  # of its discovery
    counter: int  # which count keeper it is told of
    stopping: bool  # it got SIGTERM


class Place(Protocol):
    """A guide box, and its line in the list."""

    entry: EndpointEntry
    box: BackendEmulator
    zone: int
    model: BackendModel


class Stage(Protocol):
    """One run."""

    plan: Plan
    checker: Checker
    rng: random.Random  # of faults and stand-ins, in the order of events
    links: NetworkFaults
    seats: list[Any]
    places: dict[str, Any]
    boxes: list[str]  # names in the plan's order; a deploy puts the new one in its place
    roster: EndpointList
    front: ClientLoadBalancer
    shares: dict[tuple[int, str], float]  # how unevenly a customer comes in
    weights: random.Random
    drawn_to: list[dict[str, None]]  # gateways to which all are drawn at present

    def note(self, what: str, where: str) -> None:
        """For the record."""

    def after(self, ms: float, then: Callable[..., None], *args: object) -> None: ...

    # gateways

    def running(self, seat: Any) -> bool: ...

    def start_gateway(self, seat: Any) -> None: ...

    def kill(self, seat: Any) -> None: ...

    def terminate(self, seat: Any) -> None:
        """SIGTERM."""

    def pause(self, seat: Any, ms: float) -> None:
        """It gets no CPU for so long."""

    def reload(self, seat: Any) -> None:
        """SIGHUP, with the file as it is by now."""

    def upgrade(self, seat: Any) -> None: ...

    def move_discovery(self, seat: Any) -> None:
        """Its agent listens at a new address too, which the file names from now on."""

    def rude(self, seat: Any, client: MisbehavingClient) -> None: ...

    # guide boxes

    def box_runs(self, place: Any) -> bool: ...

    def kill_box(self, place: Any) -> None: ...

    def box(self, zone: int, cold: bool, cell: int | None = None, at: Any = None) -> Any:
        """A new one, at another's address where one is given."""

    def box_again(self, old: Any) -> Any:
        """The same one, started again and cold."""

    def accept_box(self, place: Any) -> None:
        """It takes connections again, if it took none."""

    def reset_box(self, place: Any) -> None: ...

    def hush_box(self, place: Any, silent: bool) -> None: ...

    def lag_box(self, place: Any, ms: float) -> None: ...

    def part(self, seat: Any, place: Any, apart: bool) -> None:
        """This gateway and this box reach each other no more, or do again."""

    # the count keeper

    def counter(self, number: int) -> QuotaService: ...

    def start_counter(self, number: int) -> None: ...

    def kill_counter(self, number: int) -> None: ...

    def hush_counter(self, silent: bool) -> None: ...


class RealStage(Stage, Protocol):
    """One run with real processes, whose machines and operators take part too."""

    def reload(self, seat: Any, half: bool = False) -> None:
        """`half`: its file is cut off in the middle."""

    def step_clock(self, seat: Any, seconds: float) -> None:
        """Its machine's wall clock is off by so much from now on."""

    def set_knob(self, seat: Any, name: str, value: float) -> None:
        """A value of the shim of its processes (`field.shim_control.Knob`)."""

    def maintain(self, seat: Any, name: str, out: bool) -> None:
        """An operator's call: the box of that name is taken out, or put back."""
