"""Settings of zone failover: regions, distances between them, and durations."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Final

from ..decisions.validation import require_above_zero

MS: Final = 1_000_000  # nanoseconds
SECOND: Final = 1_000_000_000  # nanoseconds
MAX_ZONES: Final = 14  # a routing table with more zones does not fit into one datagram
UNIT_NS: Final = {"us": 1000, "ms": MS, "s": SECOND}


def parse_duration(text: str) -> int:
    """Returns a duration such as `40ms` in nanoseconds.

    Raises ValueError if the number or its unit (us, ms, s) is missing.
    """
    match = re.fullmatch(r"(\d+(?:\.\d+)?)\s*(us|ms|s)", text.strip())
    if match is None:
        raise ValueError(f"{text!r}: must be a duration with its unit, such as 40ms")
    return int(float(match[1]) * UNIT_NS[match[2]])


@dataclass(frozen=True, slots=True)
class ZoneFailoverSettings:
    """What an operator configures. Durations are in nanoseconds.

    `net/features` maps the keys of the operators' file to these fields, and the fields in errors to the keys.
    """

    # Zones of each region.
    regions: dict[str, tuple[str, ...]] = field(default_factory=dict)
    # Distance between two regions, by a pair of them in either order.
    distances: dict[tuple[str, str], int] = field(default_factory=dict)
    # Distance between two zones of one region.
    within_ns: int = 1 * MS
    # Ratio of a zone's capacity that traffic of other zones leaves free, as a reserve for the next zone loss.
    headroom: float = 0.15
    # Ratio of a zone's capacity that all other zones together may use while there is no routing table.
    max_spill_ratio: float = 0.3
    # A zone is lost when connections to it have failed for this long.
    loss_detection_ns: int = 300 * MS
    # A lost zone returns when it has been reachable for this long. Doubled by each further recent loss.
    recovery_ns: int = 2 * SECOND
    # Time in which the used ratio of a returning zone's capacity doubles, from a tenth.
    ramp_doubling_ns: int = 500 * MS
    # Maximum ratio of a zone's traffic that one routing table moves, except away from a lost zone.
    max_shift_ratio: float = 0.25
    # Interval at which reports are made and routing tables are proposed.
    heartbeat_interval_ns: int = 250 * MS
    # Duration of a leader's term.
    term_ns: int = 2 * SECOND
    # A routing table that has not been renewed for this long is no longer valid.
    table_lifetime_ns: int = 4 * SECOND
    # Maximum number of gateways that elect the leader.
    max_electors: int = 9

    def __post_init__(self) -> None:
        """Raises ValueError that names the field with an invalid value."""
        require_above_zero(
            self,
            "within_ns",
            "loss_detection_ns",
            "recovery_ns",
            "ramp_doubling_ns",
            "heartbeat_interval_ns",
            "term_ns",
            "table_lifetime_ns",
            "max_electors",
        )
        self._check_ratios()
        self._check_durations()
        self._check_regions()

    def _check_ratios(self) -> None:
        if not 0 <= self.headroom < 1:
            raise ValueError(
                "headroom: must be a ratio from 0 to below 1; at 1 no zone could take traffic of another"
            )
        if not 0 < self.max_spill_ratio <= 1 - self.headroom:
            raise ValueError(
                f"max_spill_ratio: must be above 0 and at most {1 - self.headroom:g}: "
                "there is no more room beside the headroom"
            )
        if not 0 < self.max_shift_ratio <= 1:
            raise ValueError("max_shift_ratio: must be a ratio above 0 and at most 1")

    def _check_durations(self) -> None:
        if self.table_lifetime_ns < 2 * self.heartbeat_interval_ns:
            raise ValueError(
                "table_lifetime_ns: must be at least twice heartbeat_interval_ns: "
                "a table would end before it is renewed"
            )
        if self.term_ns < 4 * self.heartbeat_interval_ns:
            raise ValueError(
                "term_ns: must be at least four times heartbeat_interval_ns: "
                "a term would end before it is renewed"
            )

    def _check_regions(self) -> None:
        region_of: dict[str, str] = {}
        for region, zones in self.regions.items():
            for zone in zones:
                if zone in region_of:
                    raise ValueError(f"regions: zone {zone} is in {region_of[zone]} and in {region}")
                region_of[zone] = region
        for pair in self.distances:
            for region in pair:
                if region not in self.regions:
                    raise ValueError(f"distances: no region is called {region!r}")

    def region(self, zone: str) -> str:
        """Returns the region of a zone; a zone without a configured region forms a region of its own."""
        return next((region for region, zones in self.regions.items() if zone in zones), zone)

    def distance(self, origin: str, target: str) -> int:
        """Returns the distance between two zones in nanoseconds.

        For two regions without a configured distance it is the greatest configured distance.
        """
        if origin == target:
            return 0
        origin_region = self.region(origin)
        target_region = self.region(target)
        if origin_region == target_region:
            return self.within_ns
        farthest = max(self.distances.values(), default=self.within_ns)
        reverse = self.distances.get((target_region, origin_region), farthest)
        return self.distances.get((origin_region, target_region), reverse)

    def distance_matrix(self, zones: list[str]) -> list[list[int]]:
        """Returns the distances in nanoseconds between all zones, by their indexes in `zones`."""
        return [[self.distance(origin, target) for target in zones] for origin in zones]
