"""The decision module with a subset: any of the modules, told of the endpoints alone that this gateway uses.

The whole table stands in `table`; the module below gets changes of the subset's endpoints, and no other.
What it learned of an endpoint that leaves the subset is kept for a while: small changes of a ring come and
go. Its rule on cold endpoints holds as it is: each of the fewer gateways that send to one compares it with
the same fewer endpoints, and the first rate stays each gateway's even part among all (docs/subset.md).
"""

from __future__ import annotations

import math
from dataclasses import replace

from ..decisions.messages import EndpointEntry, EndpointList, EndpointListKind, EndpointState, LogMessage
from ..decisions.policy import FADE_S, FAULTY, FORGOTTEN, Policy
from ..decisions.settings import DeduplicationScope, Idempotency, Settings
from ..decisions.state import NO_DOUBT, Server
from .fleet import Fleet
from .rings import EndpointRings
from .selection import Selection
from .settings import SECOND_NS, ServiceBy, SubsetSettings
from .widening import Health

UNEASY = FAULTY / 2  # doubt below which an endpoint counts as good again
LEFT_MOST = 1024  # endpoints outside of the subset whose evidence is kept
PAIR = 2  # endpoints of a group in which a keyed request may be repeated


def keyed_groups(settings: Settings) -> set[DeduplicationScope]:
    """Groups within which some class's requests may be repeated, and nowhere else."""
    return {c.group for c in settings.classes if c.effect is Idempotency.BY_KEY} - {DeduplicationScope.ALL}


class SubsetPolicy(Policy):
    """The decision module with a subset. `subsetting` puts it before the module that it feeds."""

    subset: SubsetSettings
    zones_named: list[str]  # in the settings' order
    services: list[int]  # a number for each type that the settings name

    def __init__(self, settings: Settings, seed: int, *more: object) -> None:
        self._tier, self.concentration = float(settings.gateways), 1.0
        super().__init__(settings, seed, *more)
        groups = keyed_groups(settings)
        by_cell = DeduplicationScope.CELL in groups and self.subset.service_by is not ServiceBy.GROUP
        self.table = EndpointRings(self.service_of, by_cell=by_cell)
        fleet = Fleet(self.subset, settings.me, settings.gateways, settings.zone, self.zones_named)
        least = max(self.subset.min_endpoints, PAIR) if groups else self.subset.min_endpoints
        self.selection = Selection(self.subset, fleet, self.table, least)
        self.used: dict[int, EndpointEntry] = {}  # as the module below was told of them last
        self.left: dict[int, tuple[int, Server]] = {}  # since when, and the evidence; the oldest first
        self.moved = 0  # endpoints that came in or left, since the start
        self._now = 0

    def service_of(self, entry: EndpointEntry) -> int:
        """The service of an endpoint, by the field that the settings name."""
        if self.subset.service_by is ServiceBy.TYPE:
            known = 0 <= entry.kind < len(self.services)
            return self.services[entry.kind] if known else entry.kind
        return entry.cell if self.subset.service_by is ServiceBy.GROUP else 0

    @property
    def tier(self) -> float:
        """Among how many gateways a budget is shared out: fewer use each of the endpoints."""
        return max(1.0, self._tier / self.concentration)

    @tier.setter
    def tier(self, gateways: float) -> None:
        self._tier = gateways

    # ---- the list

    def on_endpoint_list(self, now: int, event: EndpointList) -> None:
        if event.kind is EndpointListKind.FAILED:
            super().on_endpoint_list(now, event)
            return
        first = not self.used
        if event.kind is EndpointListKind.DELTA:
            named = {entry.id for entry in event.entries}
            services = self.table.apply(event.entries)
        else:
            named = {entry.id for entry in event.entries} | set(self.used)
            services = self.table.replace(event.entries)
        self._pass_on(now, named | self.selection.update(services), event.version)
        if first and self.used:
            self.acts.append(LogMessage(self._line()))

    def _pass_on(self, now: int, named: set[int], version: int) -> None:
        """What the module below has to hear of these endpoints."""
        entries = [e for number in sorted(named) if (e := self._change(now, number)) is not None]
        ready = len(self.selection.members)
        self.concentration = self.table.ready_count / ready if ready else 1.0
        if entries:
            self._now = now
            super().on_endpoint_list(now, EndpointList(EndpointListKind.DELTA, version, entries))

    def _change(self, now: int, number: int) -> EndpointEntry | None:
        """An endpoint's entry as the module below is to have it; None where it has that already."""
        entry, told = self.table.endpoints.get(number), self.used.get(number)
        drains = entry is not None and entry.mode is EndpointState.DRAINING and told is not None
        if entry is not None and (drains or number in self.selection.members):
            self.used[number] = entry
            return entry if entry != told else None
        if told is None:
            return None
        del self.used[number]
        self._keep(now, number)
        return replace(told, mode=EndpointState.REMOVED)

    def _keep(self, now: int, number: int) -> None:
        server = self.servers.get(number)
        if server is None:
            return
        self.moved += 1
        self.left[number] = now, server
        if len(self.left) > LEFT_MOST:
            del self.left[next(iter(self.left))]

    def _add(self, s: Server) -> None:
        """With what was learned before it left the subset, if it is of the same start."""
        since, server = self.left.pop(s.info.id, (0, None))
        if server is None or server.info.started_ns != s.info.started_ns:
            super()._add(s)
            return
        server.info = s.info
        self.servers[s.info.id] = server
        if server.doubt is not NO_DOUBT:
            fade = math.exp(-(self._now - since) / SECOND_NS / FADE_S)
            server.slowness += (1 - fade) * (1 - server.slowness)
            server.doubt = {g: bad * fade for g, bad in server.doubt.items() if bad * fade > FORGOTTEN}
            self.touched[s.info.id] = server

    # ---- trouble

    def _tick(self, now: int) -> None:
        super()._tick(now)
        suspects = [number for number, s in self.touched.items() if s.doubt]
        services = self.selection.review(now, suspects, self._health)
        if services:
            self._pass_on(now, self.selection.update(services), 0)

    def _health(self, number: int) -> Health:
        """By its own doubts, not beside the usual one: all of a subset may fail alike."""
        server = self.servers.get(number)
        if server is None:
            return Health.HEALTHY
        worst = max((server.doubt.get(g, 0.0) for g in range(len(self.set.classes))), default=0.0)
        if worst >= FAULTY:
            return Health.UNHEALTHY
        return Health.RECOVERING if worst >= UNEASY else Health.HEALTHY

    # ---- what is told

    def _line(self) -> str:
        return (
            f"subset {len(self.selection.members)} of {self.table.ready_count} ready endpoints, "
            f"{len(self.selection.slices)} services, {self.selection.widened} slices widened"
        )

    def sight(self) -> dict[str, float]:
        return super().sight() | {
            "endpoints": len(self.table.endpoints),
            "members": len(self.selection.members),
            "widened": self.selection.widened,
            "moved": self.moved,
        }


def subsetting(
    base: type[Policy], subset: SubsetSettings, zones: list[str], services: list[int]
) -> type[Policy]:
    """`base` that uses a subset of the endpoints. `zones`: their names in the settings' order; `services`: a
    number for each type that the settings name, the same at gateways that name other types."""
    settled = {"subset": subset, "zones_named": zones, "services": services}
    return type("SubsettingPolicy", (SubsetPolicy, base), settled)
