"""The plan file of a scale run: its gateways, its ordinary churn, and the events of its day.

Pure apart from reading the file. Times are seconds from the time that all gateways are ready and settled.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, ClassVar, Final

import msgspec

from ..serialization import typed_yaml
from ..serialization.errors import FileError
from .topology import Count, Name, Rate, Topology

LONGEST_S: Final = 540.0  # so that a run ends within 10 minutes, its start and end among them
MARGIN_S: Final = 2.0  # beyond the time for a change: it is seen with the next sample

Seconds = Annotated[float, msgspec.Meta(ge=0, le=LONGEST_S)]
Some = Annotated[int, msgspec.Meta(ge=0, le=250)]


class Rollout(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind", tag="rollout"):
    """All backends of one service are replaced, one after the other: each drains, goes, and another starts
    cold under a new name."""

    at_s: Seconds
    service: Annotated[int, msgspec.Meta(ge=0)]  # by rank; 0 has the most backends
    over_s: Seconds  # from the first that drains until the last one does
    drain_s: Seconds = 2.0
    name: ClassVar[str] = "rollout"

    @property
    def ends_s(self) -> float:
        """Until its last change."""
        return self.at_s + self.over_s + self.drain_s


class ZoneLost(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind", tag="zone_lost"):
    """All backends and gateways of a zone die at once; later all are back, the backends cold."""

    at_s: Seconds
    zone: Name
    for_s: Seconds
    noticed_s: Seconds = 1.0  # until discovery begins to announce that the backends are gone
    over_s: Seconds = 1.0  # that it takes for all of them, one change after the other
    name: ClassVar[str] = "zone_lost"

    @property
    def ends_s(self) -> float:
        """Until the last of its backends is announced as back."""
        return self.at_s + self.for_s + self.over_s


class GatewaysRestarted(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind", tag="gateways_restarted"
):
    """All gateways of a zone get SIGTERM at once, and are started again as each has ended."""

    at_s: Seconds
    zone: Name
    name: ClassVar[str] = "gateways_restarted"

    @property
    def ends_s(self) -> float:
        """Its last change: it makes none."""
        return self.at_s


PlannedEvent = Rollout | ZoneLost | GatewaysRestarted


class Real(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Processes by the deploy file's line `run`. What control costs is read from those without load; what is
    asked of the loaded ones costs more, and is kept apart by this."""

    loaded: Annotated[int, msgspec.Meta(ge=1, le=250)]
    unloaded: Annotated[int, msgspec.Meta(ge=1, le=250)]


class DayChurn(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What goes on beside the events."""

    replacements_per_s: Rate  # of backends, each three changes of the endpoint table


class DayPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One run."""

    lasts_s: Annotated[float, msgspec.Meta(gt=0, le=LONGEST_S)]
    real: Real
    churn: DayChurn
    events: list[PlannedEvent] = msgspec.field(name="moments")
    seed: Annotated[int, msgspec.Meta(ge=0)] = 1
    sample_s: Annotated[float, msgspec.Meta(ge=0.1, le=10)] = 2.0
    tenants: Count = 40  # that send to the loaded gateways


def load(path: str | Path, fleet: Topology) -> DayPlan:
    """Reads a file and checks it against the fleet. FileError names file, place and reason."""
    plan = typed_yaml.load(path, DayPlan)
    for place, reason in problems(plan, fleet):
        raise FileError(f"{path}:{typed_yaml.line_of(path, place)}: {place}: {reason}")
    return plan


def problems(plan: DayPlan, fleet: Topology) -> list[tuple[str, str]]:
    """Places and reasons, in the plan's order, where it does not fit itself or the fleet."""
    found = []
    real = plan.real.loaded + plan.real.unloaded
    if real > fleet.gateways:
        found.append(("$.real", f"{real} real gateways, but {fleet.gateways} in all"))
    latest_s = plan.lasts_s - fleet.budgets.in_force_s - plan.sample_s - MARGIN_S
    for number, event in enumerate(plan.events):
        place = f"$.moments[{number}]"
        if isinstance(event, Rollout) and event.service >= fleet.services.count:
            found.append((f"{place}.service", f"{event.service}: there are {fleet.services.count}"))
        if isinstance(event, ZoneLost | GatewaysRestarted) and event.zone not in fleet.zones:
            found.append((f"{place}.zone", f"{event.zone}: there are {', '.join(fleet.zones)}"))
        if isinstance(event, ZoneLost) and event.for_s < event.noticed_s + event.over_s:
            found.append((f"{place}.for_s", "the zone is back before all of it is announced as gone"))
        if event.ends_s > latest_s:
            found.append((f"{place}.at_s", f"ends at {event.ends_s:g} s; {latest_s:g} s is the latest"))
        found += _overlaps(plan.events[:number], event, place)
    return found


def _overlaps(earlier: list[PlannedEvent], event: PlannedEvent, place: str) -> list[tuple[str, str]]:
    """Events may overlap, but not on the same zone: whose restart it was could not be known."""
    zone = getattr(event, "zone", None)
    return [
        (f"{place}.zone", f"{zone}: an earlier event still has it at {event.at_s:g} s")
        for other in earlier
        if zone is not None
        and zone == getattr(other, "zone", None)
        and other.at_s <= event.ends_s
        and event.at_s <= other.ends_s
    ]


def text(event: PlannedEvent) -> str:
    """One event as a phrase."""
    if isinstance(event, Rollout):
        return f"rollout of service {event.service} within {event.over_s:g} s"
    if isinstance(event, ZoneLost):
        return f"{event.zone} lost for {event.for_s:g} s"
    return f"all gateways of {event.zone} restarted"


def file_name(path: str | Path) -> str:
    """A plan's name in results."""
    return re.sub(r"[^A-Za-z0-9._-]", "-", Path(path).stem)
