"""Settings of subsetting: size of a subset, the zones it is taken from, and when it is widened."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from ..decisions.validation import require_above_zero

SECOND_NS: Final = 1_000_000_000


class ServiceBy(Enum):
    """The field of discovery's entries that identifies an endpoint's service."""

    TYPE = "type"
    GROUP = "group"
    NONE = "none"  # all endpoints belong to one service


class Reach(Enum):
    """The zones from which a gateway takes the endpoints of a service as long as there are any."""

    ZONE = "zone"
    REGION = "region"
    ALL = "all"


class Layout(Enum):
    """How gateway indexes are assigned to zones, in the order of the settings."""

    UNKNOWN = "unknown"
    INTERLEAVED = "interleaved"  # gateway g is in zone g modulo the number of zones
    BLOCKS = "blocks"  # consecutive gateways are in the same zone, in blocks of equal size


@dataclass(frozen=True, slots=True)
class SubsetSettings:
    """The settings of one gateway's subset; the same at all gateways of a fleet."""

    service_by: ServiceBy = ServiceBy.NONE
    reach: Reach = Reach.ALL
    # Zones of each region.
    regions: dict[str, tuple[str, ...]] = field(default_factory=dict)
    layout: Layout = Layout.UNKNOWN
    # Minimum number of endpoints of a slice, if the service has as many in the zone.
    min_endpoints: int = 3
    # Minimum number of gateways that use each endpoint. With 4 or more, the load is even within 25%.
    min_gateways: int = 4
    # A slice with fewer usable endpoints is widened.
    min_usable: int = 2
    # A widened slice has at most this many times its regular size.
    max_growth: int = 3
    # A widened slice shrinks when its regular endpoints have been healthy for this long.
    recovery_ns: int = 5 * SECOND_NS

    def __post_init__(self) -> None:
        """Raises ValueError that names the field with an invalid value."""
        require_above_zero(self, "min_endpoints", "min_gateways", "min_usable", "max_growth", "recovery_ns")
        if self.min_usable > self.min_endpoints:
            raise ValueError(
                f"min_usable: must be at most min_endpoints ({self.min_endpoints}), "
                "or slices would always be widened"
            )
        self._check_regions()
        if self.reach is not Reach.ALL and self.layout is Layout.UNKNOWN:
            raise ValueError(
                f"reach: {self.reach.value} needs a layout other than unknown: without knowing which "
                "gateways share a zone, some endpoints would be used by no gateway"
            )
        if self.reach is Reach.REGION and not self.regions:
            raise ValueError("reach: region needs regions, and no regions are given")

    def _check_regions(self) -> None:
        region_of: dict[str, str] = {}
        for region, zones in self.regions.items():
            for zone in zones:
                if zone in region_of:
                    raise ValueError(f"regions: zone {zone} is in {region_of[zone]} and in {region}")
                region_of[zone] = region

    def region(self, zone: str) -> tuple[str, ...]:
        """Returns the zones of a zone's region; a zone without a region forms a region of its own."""
        return next((zones for zones in self.regions.values() if zone in zones), (zone,))

    def tiers(self, zone: str, zones: list[str]) -> list[tuple[str, ...]]:
        """Returns the zones that a gateway in `zone` takes endpoints from, then those that it falls back to.

        Each tier contains the previous one; the last tier is all `zones`.
        """
        tiers: list[tuple[str, ...]] = []
        if self.reach is Reach.ZONE:
            tiers.append((zone,))
        if self.reach is not Reach.ALL and self.regions:
            region = self.region(zone)
            tiers.append(tuple(other for other in zones if other in region))
        tiers.append(tuple(zones))
        return [tier for k, tier in enumerate(tiers) if k == 0 or len(tier) > len(tiers[k - 1])]
