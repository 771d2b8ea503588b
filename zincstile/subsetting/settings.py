"""How large a gateway's subset of endpoints is, from which zones it comes, and when it is widened."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from ..decisions.validation import require_above_zero

SECOND_NS: Final = 1_000_000_000


class ServiceBy(Enum):
    """The field of discovery's entries that names an endpoint's service."""

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
    INTERLEAVED = "interleaved"  # gateway g is in zone g modulo the number of zones
    BLOCKS = "blocks"  # the first so many in the first zone, and so on, in even blocks


@dataclass(frozen=True, slots=True)
class SubsetSettings:
    """The settings of one gateway's subset; the same at all gateways of a fleet."""

    service_by: ServiceBy = ServiceBy.NONE
    reach: Reach = Reach.ALL
    regions: dict[str, tuple[str, ...]] = field(default_factory=dict)  # zones by region
    layout: Layout = Layout.UNKNOWN
    min_endpoints: int = 3  # of each service and zone in reach, where there are so many
    min_gateways: int = 4  # that use each endpoint: with 4 or more the load is even within 25%
    min_usable: int = 2  # endpoints of a slice: with fewer it is widened
    max_growth: int = 3  # a slice is at most so many times its regular size
    recovery_ns: int = 5 * SECOND_NS  # its regular endpoints are healthy for so long before it shrinks

    def __post_init__(self) -> None:
        """Raises ValueError, which names the field, where a value can't work."""
        require_above_zero(self, "min_endpoints", "min_gateways", "min_usable", "max_growth", "recovery_ns")
        if self.min_usable > self.min_endpoints:
            raise ValueError(
                f"min_usable: at most min_endpoints ({self.min_endpoints}): a slice would always be widened"
            )
        self._check_regions()
        if self.reach is not Reach.ALL and self.layout is Layout.UNKNOWN:
            raise ValueError(
                f"reach: {self.reach.value}, and layout is unknown: who shares a zone has to be known, "
                "else some would be used by nobody"
            )
        if self.reach is Reach.REGION and not self.regions:
            raise ValueError("reach: region, and no regions are given")

    def _check_regions(self) -> None:
        region_of: dict[str, str] = {}
        for region, zones in self.regions.items():
            for zone in zones:
                if zone in region_of:
                    raise ValueError(f"regions: zone {zone} is in {region_of[zone]} and in {region}")
                region_of[zone] = region

    def region(self, zone: str) -> tuple[str, ...]:
        """The zones of a zone's region; one that is in none is a region of its own."""
        return next((zones for zones in self.regions.values() if zone in zones), (zone,))

    def tiers(self, zone: str, zones: list[str]) -> list[tuple[str, ...]]:
        """Zones that a gateway of `zone` takes endpoints from, then those that it falls back on.

        Each tier contains the ones before it; the last one is all `zones`.
        """
        tiers: list[tuple[str, ...]] = []
        if self.reach is Reach.ZONE:
            tiers.append((zone,))
        if self.reach is not Reach.ALL and self.regions:
            region = self.region(zone)
            tiers.append(tuple(other for other in zones if other in region))
        tiers.append(tuple(zones))
        return [tier for k, tier in enumerate(tiers) if k == 0 or len(tier) > len(tiers[k - 1])]
