"""State set by operators: standby or active, and the backend servers under maintenance.

No I/O, no clock. `OperatorState.handle` answers one admin request and returns the change, which the network
code applies. Maintenance goes by the name of a backend server in discovery's list (`name`), which is the same
at every gateway. A name that was never listed gets a 404: otherwise an operator who misspelled a name would
believe that the server is under maintenance.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Container
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, NamedTuple

from .http import Request, Status


class OperatorChange(Enum):
    """The change that a request makes, applied by the network code."""

    NONE = 0
    STANDBY = 1  # PING fails; client connections are closed once no answer is pending on them
    ACTIVE = 2  # accepts clients again
    MAINTENANCE_ENTER = 3  # the backend server counts as draining, whatever discovery reports
    MAINTENANCE_EXIT = 4  # the state that discovery reports applies again
    ZONE_DRAIN = 5  # the zone gets no more requests, except retries of its own gateways
    ZONE_HOLD = 6  # the state of the zone is frozen
    ZONE_RELEASE = 7  # ends a drain or a hold


STATUS_PATH: Final = "/status"
STANDBY_PATH: Final = "/standby"
ACTIVE_PATH: Final = "/active"
MAINTENANCE_ENTER_PATH: Final = "/maintenance/enter"
MAINTENANCE_EXIT_PATH: Final = "/maintenance/exit"
ZONES_PATH: Final = "/place"

METHODS: Final = {
    STATUS_PATH: "GET",
    STANDBY_PATH: "POST",
    ACTIVE_PATH: "POST",
    MAINTENANCE_ENTER_PATH: "POST",
    MAINTENANCE_EXIT_PATH: "POST",
}

# Available only with zone failover, where the gateways choose zones together.
ZONE_CHANGES: Final = {
    "/place/drain": OperatorChange.ZONE_DRAIN,
    "/place/hold": OperatorChange.ZONE_HOLD,
    "/place/back": OperatorChange.ZONE_RELEASE,
}
ZONE_METHODS: Final = {ZONES_PATH: "GET"} | dict.fromkeys(ZONE_CHANGES, "POST")


@dataclass(frozen=True, slots=True)
class OperatorReply:
    """The response to one request, and the change that it makes."""

    status: Status
    text: str
    change: OperatorChange = OperatorChange.NONE
    name: str = ""  # of the backend server or zone that changes


class MaintenanceChange(NamedTuple):
    """Names of backend servers whose maintenance changed."""

    entered: set[str]
    exited: set[str]


class InvalidNameError(ValueError):
    """The request body is not exactly one name; the message says why."""


@dataclass(slots=True)
class OperatorState:
    """Owns `standby` and `under_maintenance`, for the lifetime of a process.

    Maintenance survives restarts and upgrades through the hand-over file (`handover`). Standby doesn't: a new
    process is started to accept clients.
    """

    standby: bool = False
    under_maintenance: set[str] = field(default_factory=set)
    # In the endpoint list of discovery now, or until recently.
    listed_names: Container[str] = field(default_factory=set)
    zones: Collection[str] = ()  # that operators may name; empty without zone failover
    describe_zones: Callable[[], str] = str  # describes the routing weights between zones
    version: int = 0  # of `under_maintenance`; carried on by the next process, so that the highest wins

    def handle(self, request: Request, *, ready: bool) -> OperatorReply:
        """Answers one request; 404 for an unknown path, 405 for a known path with another method.

        ready: whether the process accepts clients (it listens and has an endpoint list).
        """
        path = request.path.split("?", 1)[0]
        methods = METHODS | ZONE_METHODS if self.zones else METHODS
        method = methods.get(path)
        if method is None:
            return OperatorReply(Status.NOT_FOUND, "no such call")
        if request.method != method:
            return OperatorReply(Status.METHOD_NOT_ALLOWED, f"{path} takes {method}")
        if path == STATUS_PATH:
            return self._status(ready=ready)
        if path == ZONES_PATH:
            return OperatorReply(Status.OK, self.describe_zones())
        if path == STANDBY_PATH:
            self.standby = True
            return OperatorReply(Status.OK, "standby", OperatorChange.STANDBY)
        if path == ACTIVE_PATH:
            self.standby = False
            return OperatorReply(Status.OK, "active", OperatorChange.ACTIVE)
        return self._change_named(path, request.body)

    def _status(self, *, ready: bool) -> OperatorReply:
        if not ready:
            return OperatorReply(Status.SERVICE_UNAVAILABLE, "starting")
        if self.standby:
            return OperatorReply(Status.SERVICE_UNAVAILABLE, "standby")
        return OperatorReply(Status.OK, self.describe())

    def _change_named(self, path: str, body: bytes) -> OperatorReply:
        """Handles a request whose body names a zone or a backend server."""
        try:
            name = _read_name(body)
        except InvalidNameError as err:
            return OperatorReply(Status.BAD_REQUEST, str(err))
        if path in ZONE_CHANGES:
            return self._change_zone(path, name)
        return self._change_maintenance(name, enter=path == MAINTENANCE_ENTER_PATH)

    def _change_zone(self, path: str, name: str) -> OperatorReply:
        if name not in self.zones:
            return OperatorReply(Status.NOT_FOUND, f"no zone is called {name}")
        verb = path.rpartition("/")[2]
        return OperatorReply(Status.OK, f"{name} {verb}", ZONE_CHANGES[path], name)

    def _change_maintenance(self, name: str, *, enter: bool) -> OperatorReply:
        """Enters or exits maintenance; a repeated request succeeds and leaves the version as it is."""
        if name not in self.listed_names and name not in self.under_maintenance:
            return OperatorReply(Status.NOT_FOUND, f"{name} was never listed")
        if enter != (name in self.under_maintenance):
            self.version += 1
        if enter:
            self.under_maintenance.add(name)
            return OperatorReply(
                Status.OK, f"{name} under maintenance", OperatorChange.MAINTENANCE_ENTER, name
            )
        self.under_maintenance.discard(name)
        return OperatorReply(Status.OK, f"{name} back", OperatorChange.MAINTENANCE_EXIT, name)

    def adopt(self, under_maintenance: set[str], version: int) -> MaintenanceChange:
        """Adopts the maintenance state of another process of this gateway if its version is higher."""
        if version <= self.version:
            return MaintenanceChange(set(), set())
        entered = under_maintenance - self.under_maintenance
        exited = self.under_maintenance - under_maintenance
        self.under_maintenance = set(under_maintenance)
        self.version = version
        return MaintenanceChange(entered, exited)

    def describe(self) -> str:
        """Returns the response body of a successful `/status`."""
        if not self.under_maintenance:
            return "active"
        return f"active; maintenance: {' '.join(sorted(self.under_maintenance))}"


def _read_name(body: bytes) -> str:
    """Returns the name in a request body; raises InvalidNameError unless it is exactly one ASCII name."""
    try:
        name = body.decode("ascii").strip()
    except UnicodeDecodeError:
        raise InvalidNameError("an id that is not ASCII") from None
    if not name or any(char.isspace() for char in name):
        raise InvalidNameError("no id, or more than one")
    return name
