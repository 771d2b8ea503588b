"""Computes routing weights: the share of each zone's traffic that goes to each zone.

A zone serves its own traffic first, up to its capacity. Traffic beyond that goes to the nearest zones with
free capacity, in proportion to their free capacity if several are equally near. It never uses a zone's
headroom. Demand that exceeds all capacity is not routed: the gateways' budgets reject it by priority weight.
The functions are deterministic, so that all gateways compute the same weights from the same view.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

WEIGHT_TOTAL: Final = 250  # weights that add up to this are all of the traffic; a weight is sent as one byte
NEGLIGIBLE_RATE: Final = 1e-9  # units a second; a smaller remainder is a floating-point rounding error
ROUNDING_MARGIN: Final = 1e-6  # added before a weight is rounded down, against floating-point rounding errors

Matrix = Sequence[Sequence[float]]
Weights = Sequence[Sequence[int]]


@dataclass(frozen=True, slots=True)
class ZoneLoad:
    """Demand, capacity and health of one zone. Rates are in units a second."""

    demand: float  # rate of the requests to the zone's gateways
    capacity: float  # rate that the zone's endpoints can serve; infinite while no bound is known
    healthy_endpoints: float  # number of healthy endpoints, as in `messages.ZoneObservation`
    usable_ratio: float = 1.0  # ratio of the capacity that may be used; below 1 while the zone returns
    accepts_traffic: bool = True  # whether traffic may be routed to the zone
    reachable_from: tuple[bool, ...] = ()  # by zone: whether that zone's gateways reach the endpoints here

    @property
    def usable(self) -> float:
        """The rate that may be routed to the zone, including its headroom."""
        return self.capacity * self.usable_ratio if self.healthy_endpoints > 0 else 0.0


class _Routes:
    """Rates in units a second from zone to zone, filled in step by step by `route`."""

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
        """Routes the remaining demand to zones at this distance, until it is routed or the zones are full."""
        count = len(self.zones)
        for _ in range(count * count):
            offers = [self._offer(origin, ring) for origin in range(count)]
            if not any(map(any, offers)):
                return
            for target in range(count):
                self._accept(target, offers)

    def _offer(self, origin: int, ring: int) -> list[float]:
        """Splits the remaining demand of a zone among the targets at this distance."""
        offer = [0.0] * len(self.zones)
        left = self.zones[origin].demand - sum(self.sent[origin])
        if left <= NEGLIGIBLE_RATE:
            return offer
        targets = [target for target in range(len(self.zones)) if self._may_receive(origin, target, ring)]
        free = {target: self._free(target) for target in targets}
        # in proportion to free capacity if that is known of all targets, otherwise to healthy endpoints
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
        """Accepts the offers to one zone; reduces all by the same ratio if they exceed its free capacity."""
        offered = sum(offer[target] for offer in offers)
        if offered <= 0:
            return
        accepted_ratio = min(1.0, self._free(target) / offered)
        for origin, offer in enumerate(offers):
            self.sent[origin][target] += offer[target] * accepted_ratio
        self.used[target] += offered * accepted_ratio

    def _free(self, target: int) -> float:
        """Returns the capacity of a zone that is free for traffic of other zones."""
        usable = self.zones[target].usable
        if usable == math.inf:
            return math.inf
        return max(0.0, usable * (1 - self.headroom) - self.used[target])


def route(zones: Sequence[ZoneLoad], distance: Sequence[Sequence[int]], headroom: float) -> list[list[float]]:
    """Returns the units a second that each zone (row) sends to each zone (column).

    The sum of a row is at most that zone's demand. `distance` is by zone index, `headroom` a ratio of
    capacity.
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
    """Converts the rates of `route` to weights in parts of WEIGHT_TOTAL.

    If a row adds up to less, the remaining traffic is not routed. Compared with the `previous` weights, at
    most the ratio `step` of a zone's traffic moves, except away from a zone that no longer accepts any.
    Weights are rounded down, so that they never exceed the capacity.
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
    else:  # without demand, any traffic that arrives stays in the zone
        stays = zone.reachable_from[origin] and zone.accepts_traffic
        wanted = [WEIGHT_TOTAL if target == origin and stays else 0 for target in range(len(row))]
    total = sum(wanted)
    if total > WEIGHT_TOTAL - len(row):  # all is routed: adds the rounding difference to the largest weight
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
    """Moves the previous weights towards the wanted ones, by at most `max_step` parts.

    Weights of zones that no longer accept traffic or can no longer be reached move at once.
    """
    current = [
        weight if zone.reachable_from[origin] and zone.accepts_traffic and zone.healthy_endpoints > 0 else 0
        for zone, weight in zip(zones, previous, strict=True)
    ]
    freed = sum(previous) - sum(current)
    increases = [
        max(0, target_weight - weight) for target_weight, weight in zip(wanted, current, strict=True)
    ]
    decreases = [
        max(0, weight - target_weight) for target_weight, weight in zip(wanted, current, strict=True)
    ]
    moved = list(current)
    left = min(sum(increases), max(max_step, freed) if freed else max_step)
    for target in sorted(range(len(moved)), key=lambda target: (target != origin, target)):  # own zone first
        part = min(increases[target], left)
        moved[target] += part
        left -= part
    excess = max(0, sum(moved) - max(sum(wanted), sum(previous) - max_step), sum(moved) - WEIGHT_TOTAL)
    for target in sorted(range(len(moved)), key=lambda target: (target == origin, target)):  # own zone last
        part = min(decreases[target], excess)
        moved[target] -= part
        excess -= part
    return moved
