"""How large a gateway's subset of endpoints is, from which zones it comes, and when it is widened."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

MS: Final = 1_000_000
SECOND: Final = 1000 * MS


class ServiceBy(Enum):
    """The field of discovery's entries by which an endpoint's service is known."""

    TYPE = "type"
    GROUP = "group"
    NONE = "none"  # all endpoints are of one service


class Reach(Enum):
    """The zones from which a gateway takes endpoints as long as a service has any there."""

    ZONE = "zone"
    REGION = "region"
    ALL = "all"


class Layout(Enum):
    """How the gateways' numbers are laid out over the zones, in the order of the settings."""

    UNKNOWN = "unknown"
    INTERLEAVED = "interleaved"  # gateway g stands in zone g modulo the number of zones
    BLOCKS = "blocks"  # the first so many in the first zone, and so on, in even blocks


@dataclass(frozen=True, slots=True)
class SubsetSettings:
    """ValueError names a field that can't work."""

    service_by: ServiceBy = ServiceBy.NONE
    reach: Reach = Reach.ALL
    regions: dict[str, tuple[str, ...]] = field(default_factory=dict)
    layout: Layout = Layout.UNKNOWN
    least: int = 3  # endpoints per service and zone in reach, where there are so many
    holders: int = 4  # gateways that use each endpoint, at least: with 4 or more the load is even within 25%
    least_good: int = 2  # usable members of a slice below which it is widened
    most: int = 3  # so many times its usual size is a slice at most
    back_ns: int = (
        5 * SECOND
    )  # its usual members are usable for so long before a slice shrinks; doubled on relapse

    def __post_init__(self) -> None:
        for name in ("least", "holders", "least_good", "most", "back_ns"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be above 0")
        if self.least_good > self.least:
            raise ValueError(f"least_good: at most least ({self.least}): a slice would always be widened")
        seen: dict[str, str] = {}
        for region, zones in self.regions.items():
            for zone in zones:
                if zone in seen:
                    raise ValueError(f"regions: zone {zone} is in {seen[zone]} and in {region}")
                seen[zone] = region
        if self.reach is not Reach.ALL and self.layout is Layout.UNKNOWN:
            raise ValueError(
                f"reach: {self.reach.value}, and layout is unknown: who shares a zone has to be known, "
                "else some would be used by nobody"
            )
        if self.reach is Reach.REGION and not self.regions:
            raise ValueError("reach: region, and no regions are given")

    def region(self, zone: str) -> tuple[str, ...]:
        """The zones of its region; one that is in none is alone."""
        return next((zones for zones in self.regions.values() if zone in zones), (zone,))

    def tiers(self, zone: str, zones: list[str]) -> list[tuple[str, ...]]:
        """Zones that a gateway of `zone` takes endpoints from, and those it falls back on, each tier with
        the ones before it."""
        region = tuple(z for z in zones if z in self.region(zone))
        found: list[tuple[str, ...]] = []
        if self.reach is Reach.ZONE:
            found.append((zone,))
        if self.reach is not Reach.ALL and self.regions:
            found.append(region)
        found.append(tuple(zones))
        return [tier for k, tier in enumerate(found) if k == 0 or len(tier) > len(found[k - 1])]
