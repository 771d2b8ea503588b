"""What operators have asked for: standby or active, and the backend servers under maintenance.

No I/O, no clock. `OperatorState.handle` answers one request of the admin endpoint and says what changes; the
network code carries that out. Maintenance is by the name that discovery gives a backend server (`name` in its
list), the same at every gateway. A name that was never listed gets a 404: maintenance of a misspelled name
would stand for nothing and be trusted.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Container
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, NamedTuple

from .http import Request, Status


class OperatorChange(Enum):
    """What a request changes, for the network code to carry out."""

    NONE = 0
    STANDBY = 1  # PING fails, connections are closed once no answer is owed on them
    ACTIVE = 2  # takes clients again
    MAINTENANCE_ENTER = 3  # the backend server counts as draining, whatever discovery says
    MAINTENANCE_EXIT = 4  # what discovery says of it holds again
    ZONE_DRAIN = 5  # no zone sends there any more, but its own gateways' retries
    ZONE_HOLD = 6  # its state stays as it is
    ZONE_RELEASE = 7  # neither holds any more


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

# Known only where zones are chosen in common.
ZONE_CHANGES: Final = {
    "/place/drain": OperatorChange.ZONE_DRAIN,
    "/place/hold": OperatorChange.ZONE_HOLD,
    "/place/back": OperatorChange.ZONE_RELEASE,
}
ZONE_METHODS: Final = {ZONES_PATH: "GET"} | dict.fromkeys(ZONE_CHANGES, "POST")


@dataclass(frozen=True, slots=True)
class OperatorReply:
    """The answer to one request, and what it changes."""

    status: Status
    text: str
    change: OperatorChange = OperatorChange.NONE
    name: str = ""  # of the backend server or zone that the change is about


class MaintenanceChange(NamedTuple):
    """Names of backend servers whose maintenance changed."""

    entered: set[str]
    exited: set[str]


class InvalidNameError(ValueError):
    """A request's body that is not one name; the text says why."""


@dataclass(slots=True)
class OperatorState:
    """Owns `standby` and `under_maintenance`, from the start of a process to its end.

    Maintenance survives a restart and an upgrade by the hand-over file (`handover`). Standby doesn't: a new
    process is started to take clients.
    """

    standby: bool = False
    under_maintenance: set[str] = field(default_factory=set)
    listed_names: Container[str] = field(
        default_factory=set
    )  # names that discovery gives, or gave not long ago
    zones: Collection[str] = ()  # those that an operator may name; none where zones are not chosen in common
    describe_zones: Callable[[], str] = str  # the routing weights between zones, as text
    version: int = 0  # of `under_maintenance`; counts on across processes, so that the newest wins

    def handle(self, request: Request, *, ready: bool) -> OperatorReply:
        """Answers one request; 404 for an unknown path, 405 for a known path with another method.

        ready: the process takes clients (it listens, and has an endpoint list).
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
        """Answers a request whose body names a zone or a backend server."""
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
        """Enters or exits maintenance; what holds already is answered with a yes, and is no new version."""
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
        """Takes what another process of this gateway was asked for, where it is newer."""
        if version <= self.version:
            return MaintenanceChange(set(), set())
        entered = under_maintenance - self.under_maintenance
        exited = self.under_maintenance - under_maintenance
        self.under_maintenance = set(under_maintenance)
        self.version = version
        return MaintenanceChange(entered, exited)

    def describe(self) -> str:
        """Returns the text of a `/status` that is answered with a yes."""
        if not self.under_maintenance:
            return "active"
        return f"active; maintenance: {' '.join(sorted(self.under_maintenance))}"


def _read_name(body: bytes) -> str:
    """Returns the name that a body holds; raises InvalidNameError where there is none, or more than one."""
    try:
        name = body.decode("ascii").strip()
    except UnicodeDecodeError:
        raise InvalidNameError("an id that is not ASCII") from None
    if not name or any(char.isspace() for char in name):
        raise InvalidNameError("no id, or more than one")
    return name
