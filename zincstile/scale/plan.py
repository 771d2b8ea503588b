"""The plan file of a scale run: its gateways, its ordinary churn, and the moments of its day.

Pure apart from reading the file. Times are seconds from the moment that all gateways are ready and settled.
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
    noticed_s: Seconds = 1.0  # until discovery begins to tell that the backends are gone
    over_s: Seconds = 1.0  # that it takes for all of them, one change after the other
    name: ClassVar[str] = "zone_lost"

    @property
    def ends_s(self) -> float:
        """Until the last of its backends is told as back."""
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


Moment = Rollout | ZoneLost | GatewaysRestarted


class Real(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Processes by the deploy file's line `run`. What control costs is read from those without load; what is
    asked of the loaded ones costs more, and is told apart by this."""

    loaded: Annotated[int, msgspec.Meta(ge=1, le=250)]
    unloaded: Annotated[int, msgspec.Meta(ge=1, le=250)]


class DayChurn(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What goes on beside the moments."""

    replacements_per_s: Rate  # of backends, each three changes of the endpoint table


class DayPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One run."""

    lasts_s: Annotated[float, msgspec.Meta(gt=0, le=LONGEST_S)]
    real: Real
    churn: DayChurn
    moments: list[Moment]
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
    for number, moment in enumerate(plan.moments):
        place = f"$.moments[{number}]"
        if isinstance(moment, Rollout) and moment.service >= fleet.services.count:
            found.append((f"{place}.service", f"{moment.service}: there are {fleet.services.count}"))
        if isinstance(moment, ZoneLost | GatewaysRestarted) and moment.zone not in fleet.zones:
            found.append((f"{place}.zone", f"{moment.zone}: there are {', '.join(fleet.zones)}"))
        if isinstance(moment, ZoneLost) and moment.for_s < moment.noticed_s + moment.over_s:
            found.append((f"{place}.for_s", "the zone is back before all of it is told as gone"))
        if moment.ends_s > latest_s:
            found.append((f"{place}.at_s", f"ends at {moment.ends_s:g} s; {latest_s:g} s is the latest"))
        found += _overlaps(plan.moments[:number], moment, place)
    return found


def _overlaps(earlier: list[Moment], moment: Moment, place: str) -> list[tuple[str, str]]:
    """Moments may overlap, but not on the same zone: whose restart it was could not be told."""
    zone = getattr(moment, "zone", None)
    return [
        (f"{place}.zone", f"{zone}: an earlier moment still has it at {moment.at_s:g} s")
        for other in earlier
        if zone is not None
        and zone == getattr(other, "zone", None)
        and other.at_s <= moment.ends_s
        and moment.at_s <= other.ends_s
    ]


def text(moment: Moment) -> str:
    """One moment in words."""
    if isinstance(moment, Rollout):
        return f"rollout of service {moment.service} within {moment.over_s:g} s"
    if isinstance(moment, ZoneLost):
        return f"{moment.zone} lost for {moment.for_s:g} s"
    return f"all gateways of {moment.zone} restarted"


def file_name(path: str | Path) -> str:
    """A plan's name in results."""
    return re.sub(r"[^A-Za-z0-9._-]", "-", Path(path).stem)
