"""Routing weights: which part of each zone's traffic goes to which zone, from one view of the zones.

A zone serves its own traffic first, up to its capacity. What it can't serve goes to the nearest zones with
free capacity, in proportion to that where several are equally near, and never uses a zone's headroom. Demand
that is left over is routed nowhere: the gateways' budgets reject it by priority weight. The functions are
deterministic: equal views give equal weights, whichever gateway computes them.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

WEIGHT_TOTAL: Final = 250  # a weight is a whole number of these parts: it travels as one byte
NEGLIGIBLE_RATE: Final = 1e-9  # units a second; what is left below this is a rounding error of floats
ROUNDING_MARGIN: Final = 1e-6  # added before a weight is rounded down, for the same reason

Matrix = Sequence[Sequence[float]]
Weights = Sequence[Sequence[int]]


@dataclass(frozen=True, slots=True)
class ZoneLoad:
    """What is known of one zone. Rates are in units a second."""

    demand: float  # asked of the zone's gateways
    capacity: float  # what the zone's endpoints bear; inf where no bound was seen
    healthy_endpoints: float  # endpoints that serve well
    usable_ratio: float = 1.0  # of the capacity; below 1 while the zone returns
    accepts_traffic: bool = True  # traffic may be routed to it
    reachable_from: tuple[bool, ...] = ()  # by zone: whether that zone's gateways reach its endpoints

    @property
    def usable(self) -> float:
        """Units a second that may be routed to the zone, its headroom included."""
        return self.capacity * self.usable_ratio if self.healthy_endpoints > 0 else 0.0


class _Routes:
    """Units a second routed from zone to zone, while they are being worked out."""

    def __init__(self, zones: Sequence[ZoneLoad], distance: Sequence[Sequence[int]], headroom: float) -> None:
        self.zones = zones
        self.distance = distance
        self.headroom = headroom
        self.sent = [[0.0] * len(zones) for _ in zones]
        self.used = [0.0] * len(zones)

    def keep_local(self) -> None:
        """Routes each zone's traffic to itself, up to its capacity."""
        for index, zone in enumerate(self.zones):
            reachable = zone.reachable_from[index] and zone.healthy_endpoints > 0
            if reachable and (zone.accepts_traffic or zone.usable_ratio > 0):
                local = min(zone.demand, zone.usable if zone.accepts_traffic else 0.0)
                self.sent[index][index] = local
                self.used[index] = local

    def spill_to(self, ring: int) -> None:
        """Routes what is left to the zones at exactly this distance, until all is routed or they are full."""
        count = len(self.zones)
        for _ in range(count * count):
            offers = [self._offer(origin, ring) for origin in range(count)]
            if not any(map(any, offers)):
                return
            for target in range(count):
                self._accept(target, offers)

    def _offer(self, origin: int, ring: int) -> list[float]:
        """What a zone has left, split among the targets at this distance."""
        offer = [0.0] * len(self.zones)
        left = self.zones[origin].demand - sum(self.sent[origin])
        if left <= NEGLIGIBLE_RATE:
            return offer
        targets = [target for target in range(len(self.zones)) if self._may_receive(origin, target, ring)]
        free = {target: self._free(target) for target in targets}
        # by free capacity where that is known of all, else by good endpoints
        known = all(capacity < math.inf for capacity in free.values())
        shares = free if known else {target: self.zones[target].healthy_endpoints for target in targets}
        total = sum(shares.values())
        for target in targets:
            offer[target] = left * shares[target] / total
        return offer

    def _may_receive(self, origin: int, target: int, ring: int) -> bool:
        zone = self.zones[target]
        return (
            target != origin
            and self.distance[origin][target] == ring
            and zone.accepts_traffic
            and zone.reachable_from[origin]
            and zone.healthy_endpoints > 0
            and self._free(target) > NEGLIGIBLE_RATE
        )

    def _accept(self, target: int, offers: list[list[float]]) -> None:
        """Takes the offers to one zone, all in the same proportion where they are more than it has free."""
        offered = sum(offer[target] for offer in offers)
        if offered <= 0:
            return
        accepted_ratio = min(1.0, self._free(target) / offered)
        for origin, offer in enumerate(offers):
            self.sent[origin][target] += offer[target] * accepted_ratio
        self.used[target] += offered * accepted_ratio

    def _free(self, target: int) -> float:
        """Capacity of a zone that is free for other zones' traffic."""
        usable = self.zones[target].usable
        if usable == math.inf:
            return math.inf
        return max(0.0, usable * (1 - self.headroom) - self.used[target])


def route(zones: Sequence[ZoneLoad], distance: Sequence[Sequence[int]], headroom: float) -> list[list[float]]:
    """Returns the units a second that each zone (row) sends to each (column).

    A row's sum is at most that zone's demand. `distance` is by zone index; `headroom` is a ratio of capacity.
    """
    count = len(zones)
    routes = _Routes(zones, distance, headroom)
    routes.keep_local()
    rings = {
        distance[origin][target] for origin in range(count) for target in range(count) if origin != target
    }
    for ring in sorted(rings):
        routes.spill_to(ring)
    return routes.sent


def to_weights(
    sent: Matrix,
    zones: Sequence[ZoneLoad],
    previous: Weights | None = None,
    step: float = 1.0,
) -> list[list[int]]:
    """Returns the units a second of `route` as weights out of WEIGHT_TOTAL.

    A row that sums to less leaves the rest unrouted. Against the `previous` weights, at most `step` (a ratio)
    of a zone's traffic moves, but for traffic to a zone that no longer accepts any. Weights are rounded down,
    so that no capacity is promised that is not there.
    """
    weights = []
    for origin, row in enumerate(sent):
        wanted = _wanted_weights(origin, row, zones)
        if previous is not None and step < 1:
            wanted = _step_towards(wanted, previous[origin], zones, origin, int(WEIGHT_TOTAL * step))
        weights.append(wanted)
    return weights


def _wanted_weights(origin: int, row: Sequence[float], zones: Sequence[ZoneLoad]) -> list[int]:
    zone = zones[origin]
    if zone.demand > NEGLIGIBLE_RATE:
        wanted = [int(WEIGHT_TOTAL * min(1.0, units / zone.demand) + ROUNDING_MARGIN) for units in row]
    else:  # without demand, what would come stays in the zone
        stays = zone.reachable_from[origin] and zone.accepts_traffic
        wanted = [WEIGHT_TOTAL if target == origin and stays else 0 for target in range(len(row))]
    total = sum(wanted)
    if total > WEIGHT_TOTAL - len(row):  # all is routed: the largest weight gets what rounding left over
        largest = max(range(len(row)), key=lambda target: (wanted[target], target == origin, -target))
        wanted[largest] += WEIGHT_TOTAL - total
    return wanted


def _step_towards(
    wanted: list[int],
    previous: Sequence[int],
    zones: Sequence[ZoneLoad],
    origin: int,
    max_step: int,
) -> list[int]:
    """From the previous weights towards the wanted ones, by `max_step` parts.

    The weights of zones that can't be reached any more move at once.
    """
    current = [
        weight if zone.reachable_from[origin] and zone.accepts_traffic and zone.healthy_endpoints > 0 else 0
        for zone, weight in zip(zones, previous, strict=True)
    ]
    freed = sum(previous) - sum(current)
    growth = [max(0, goal - weight) for goal, weight in zip(wanted, current, strict=True)]
    decline = [max(0, weight - goal) for goal, weight in zip(wanted, current, strict=True)]
    moved = list(current)
    left = min(sum(growth), max(max_step, freed) if freed else max_step)
    for target in sorted(range(len(moved)), key=lambda target: (target != origin, target)):  # own zone first
        part = min(growth[target], left)
        moved[target] += part
        left -= part
    excess = max(0, sum(moved) - max(sum(wanted), sum(previous) - max_step), sum(moved) - WEIGHT_TOTAL)
    for target in sorted(range(len(moved)), key=lambda target: (target == origin, target)):  # own zone last
        part = min(decline[target], excess)
        moved[target] -= part
        excess -= part
    return moved
