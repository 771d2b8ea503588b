"""Zones, regions, distances, and the times of failover between them. Times in nanoseconds."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from ..decisions.validation import require_above_zero

MS, SECOND = 1_000_000, 1_000_000_000
MOST_ZONES = 14  # what a datagram with a table holds
UNITS = {"us": 1000, "ms": MS, "s": SECOND}


def span(text: str) -> int:
    """`40ms` in nanoseconds. ValueError where a number or a unit is missing."""
    found = re.fullmatch(r"(\d+(?:\.\d+)?)\s*(us|ms|s)", text.strip())
    if found is None:
        raise ValueError(f"{text!r}: a time with its unit, as 40ms")
    return int(float(found[1]) * UNITS[found[2]])


@dataclass(frozen=True, slots=True)
class PlaceSettings:
    """ValueError names a field that can't work. `distances`: between two regions, by their names in order."""

    regions: dict[str, tuple[str, ...]] = field(default_factory=dict)
    distances: dict[tuple[str, str], int] = field(default_factory=dict)
    within_ns: int = 1 * MS  # between zones of one region
    headroom: float = 0.15  # of what a zone bears, kept free of other zones' traffic, for the next loss
    spill: float = 0.3  # of what a zone bears, that all others together may send it while there is no table
    lost_ns: int = 300 * MS  # a zone whose connections fail for so long is lost
    back_ns: int = 2 * SECOND  # and has to be reached for so long before it returns; doubled after each loss
    ramp_ns: int = 500 * MS  # a returning zone's part doubles in so long, from a tenth
    step: float = 0.25  # of a zone's traffic that moves at once, unless the zone is lost
    beat_ns: int = 250 * MS  # reports and tables
    term_ns: int = 2 * SECOND  # who may propose holds that so long
    hold_ns: int = 4 * SECOND  # a table that nobody renewed ends after so long
    electors: int = 9  # gateways that choose who proposes, at most

    def __post_init__(self) -> None:
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
        if not 0 <= self.headroom < 1:
            raise ValueError("headroom: a part from 0 up to 1; at 1 no zone has room for another")
        if not 0 < self.spill <= 1 - self.headroom:
            raise ValueError(
                f"spill: above 0, at most {1 - self.headroom:g}: there is no more room beside " "the headroom"
            )
        if not 0 < self.step <= 1:
            raise ValueError("step: a part above 0, at most 1")
        if self.hold_ns < 2 * self.beat_ns:
            raise ValueError("hold_ns: at least twice beat_ns: a table would end before it is renewed")
        if self.term_ns < 4 * self.beat_ns:
            raise ValueError("term_ns: at least four times beat_ns: a term would end before it is renewed")
        seen: dict[str, str] = {}
        for region, zones in self.regions.items():
            for zone in zones:
                if zone in seen:
                    raise ValueError(f"regions: zone {zone} is in {seen[zone]} and in {region}")
                seen[zone] = region
        for pair in self.distances:
            for region in pair:
                if region not in self.regions:
                    raise ValueError(f"distances: no region is called {region!r}")

    def region(self, zone: str) -> str:
        """Its region; one that is in none is its own."""
        return next((r for r, zones in self.regions.items() if zone in zones), zone)

    def distance(self, a: str, b: str) -> int:
        """From zone to zone; regions without a word on them are as far as the farthest named ones."""
        if a == b:
            return 0
        one, other = self.region(a), self.region(b)
        if one == other:
            return self.within_ns
        far = max(self.distances.values(), default=self.within_ns)
        return self.distances.get((one, other), self.distances.get((other, one), far))

    def matrix(self, zones: list[str]) -> list[list[int]]:
        """Distances between all these zones, by their numbers."""
        return [[self.distance(a, b) for b in zones] for a in zones]
