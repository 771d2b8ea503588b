"""Settings of zone failover: regions, distances between them, and the times of a failover."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import Final

from ..decisions.validation import require_above_zero

MS: Final = 1_000_000  # nanoseconds
SECOND: Final = 1_000_000_000  # nanoseconds
MAX_ZONES: Final = 14  # a routing table of more zones does not fit into one datagram
UNIT_NS: Final = {"us": 1000, "ms": MS, "s": SECOND}


def parse_duration(text: str) -> int:
    """Returns a duration such as `40ms` in nanoseconds.

    Raises ValueError where the number or its unit (us, ms, s) is missing.
    """
    found = re.fullmatch(r"(\d+(?:\.\d+)?)\s*(us|ms|s)", text.strip())
    if found is None:
        raise ValueError(f"{text!r}: a time with its unit, as 40ms")
    return int(float(found[1]) * UNIT_NS[found[2]])


@dataclass(frozen=True, slots=True)
class ZoneFailoverSettings:
    """What an operator configures; a field has the name of its key in the file, so that errors name the key.

    Durations are in nanoseconds. The keys of `distances` are pairs of regions, in either order.
    """

    regions: dict[str, tuple[str, ...]] = field(default_factory=dict)
    distances: dict[tuple[str, str], int] = field(default_factory=dict)
    within_ns: int = 1 * MS  # distance between two zones of one region
    headroom: float = (
        0.15  # ratio of a zone's capacity that other zones' traffic leaves free, for the next loss
    )
    spill: float = 0.3  # ratio of a zone's capacity that all others together may use without a routing table
    lost_ns: int = 300 * MS  # a zone whose connections fail for this long is lost
    back_ns: int = 2 * SECOND  # a lost zone is reached for this long before it returns; doubled by each loss
    ramp_ns: int = 500 * MS  # time in which the used ratio of a returning zone doubles, from a tenth
    step: float = 0.25  # ratio of a zone's traffic that may move at once, unless the zone it leaves is lost
    beat_ns: int = 250 * MS  # interval of reports and of routing tables
    term_ns: int = 2 * SECOND  # duration of a leader's term
    hold_ns: int = 4 * SECOND  # a routing table that nobody renewed ends after this long
    electors: int = 9  # gateways that elect the leader, at most

    def __post_init__(self) -> None:
        """Raises ValueError for a field that can't work, and names it."""
        require_above_zero(
            self,
            "within_ns",
            "lost_ns",
            "back_ns",
            "ramp_ns",
            "beat_ns",
            "term_ns",
            "hold_ns",
            "electors",
        )
        self._check_ratios()
        self._check_durations()
        self._check_regions()

    def _check_ratios(self) -> None:
        if not 0 <= self.headroom < 1:
            raise ValueError("headroom: a part from 0 up to 1; at 1 no zone has room for another")
        if not 0 < self.spill <= 1 - self.headroom:
            raise ValueError(
                f"spill: above 0, at most {1 - self.headroom:g}: there is no more room beside the headroom"
            )
        if not 0 < self.step <= 1:
            raise ValueError("step: a part above 0, at most 1")

    def _check_durations(self) -> None:
        if self.hold_ns < 2 * self.beat_ns:
            raise ValueError("hold_ns: at least twice beat_ns: a table would end before it is renewed")
        if self.term_ns < 4 * self.beat_ns:
            raise ValueError("term_ns: at least four times beat_ns: a term would end before it is renewed")

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
        """Returns the region of a zone; a zone that is listed in none is a region of its own."""
        return next((region for region, zones in self.regions.items() if zone in zones), zone)

    def distance(self, origin: str, target: str) -> int:
        """Returns the distance between two zones in nanoseconds.

        Two regions without a configured distance are as far apart as the farthest two that have one.
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

    def matrix(self, zones: list[str]) -> list[list[int]]:
        """Returns the distances in nanoseconds between all these zones, by their indexes."""
        return [[self.distance(origin, target) for target in zones] for origin in zones]
