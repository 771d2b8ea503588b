"""What operators have said: standby or active, and the backend servers under maintenance. No I/O, no clock.

`Operator.call` answers one call of the control door and says what changes; the network code carries that
out. Maintenance is by the name that discovery gives a backend server (`name` in its list), the same at every
gateway. A name that was never listed gets a no (404): a ban on a typo would stand for nothing and be trusted.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Container
from dataclasses import dataclass, field
from enum import Enum

from .http import Call


class Change(Enum):
    NONE = 0
    STANDBY = 1  # PING says no, connections are closed once nothing is owed on them
    ACTIVE = 2  # takes clients again
    BAN = 3  # the backend server counts as draining, whatever discovery says
    UNBAN = 4  # discovery's word holds again for it
    ZONE_DRAIN = 5  # no zone sends there any more, but its own gateways' repeats
    ZONE_HOLD = 6  # its state stays as it is
    ZONE_BACK = 7  # neither holds any more


ZONE_CALLS = {
    "/place/drain": Change.ZONE_DRAIN,
    "/place/hold": Change.ZONE_HOLD,
    "/place/back": Change.ZONE_BACK,
}


@dataclass(frozen=True, slots=True)
class Reply:
    status: int
    text: str
    change: Change = Change.NONE
    name: str = ""


@dataclass(slots=True)
class Operator:
    """The state that survives an upgrade (see `handover`): `standby` is not handed over, since a new process
    is started to take clients."""

    standby: bool = False
    banned: set[str] = field(default_factory=set)
    listed: Container[str] = field(default_factory=set)  # names that discovery gives, or gave not long ago
    zones: Collection[str] = ()  # those that an operator may name; none where zones are not chosen in common
    table: Callable[[], str] = str  # the table of flows, in words
    version: int = 0  # of `banned`; counts on across processes, so that the newest word wins

    def call(self, c: Call, ready: bool) -> Reply:
        """ready: the process takes clients (listening, with a server table). 405 for a known path with
        another method, 404 for an unknown path."""
        routes = {
            "/status": "GET",
            "/standby": "POST",
            "/active": "POST",
            "/maintenance/enter": "POST",
            "/maintenance/exit": "POST",
        }
        path = c.path.split("?", 1)[0]
        if self.zones:
            routes |= {"/place": "GET"} | dict.fromkeys(ZONE_CALLS, "POST")
        if path not in routes:
            return Reply(404, "no such call")
        if c.method != routes[path]:
            return Reply(405, f"{path} takes {routes[path]}")
        if path == "/status":
            if not ready:
                return Reply(503, "starting")
            return Reply(503, "standby") if self.standby else Reply(200, self.describe())
        if path == "/place":
            return Reply(200, self.table())
        if path == "/standby":
            self.standby = True
            return Reply(200, "standby", Change.STANDBY)
        if path == "/active":
            self.standby = False
            return Reply(200, "active", Change.ACTIVE)
        try:
            name = c.body.decode("ascii").strip()
        except UnicodeDecodeError:
            return Reply(400, "an id that is not ASCII")
        if not name or any(ch.isspace() for ch in name):
            return Reply(400, "no id, or more than one")
        if path in ZONE_CALLS:
            if name not in self.zones:
                return Reply(404, f"no zone is called {name}")
            return Reply(200, f"{name} {path.rpartition('/')[2]}", ZONE_CALLS[path], name)
        if name not in self.listed and name not in self.banned:
            return Reply(404, f"{name} was never listed")
        if path == "/maintenance/enter":
            if name not in self.banned:
                self.banned.add(name)
                self.version += 1
            return Reply(200, f"{name} under maintenance", Change.BAN, name)
        if name in self.banned:
            self.banned.discard(name)
            self.version += 1
        return Reply(200, f"{name} back", Change.UNBAN, name)

    def adopt(self, banned: set[str], version: int) -> tuple[set[str], set[str]]:
        """What another process of this gateway said, where it is newer: (names banned, names let back)."""
        if version <= self.version:
            return set(), set()
        newly, back = banned - self.banned, self.banned - banned
        self.banned, self.version = set(banned), version
        return newly, back

    def describe(self) -> str:
        return "active" + (f"; maintenance: {' '.join(sorted(self.banned))}" if self.banned else "")
