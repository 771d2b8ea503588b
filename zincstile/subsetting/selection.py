"""The endpoints that one gateway uses: a slice of each ring in reach, wider while that is in trouble."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from .fleet import Fleet
from .placement import first_rank, slice_size, stable_hash
from .settings import SubsetSettings
from .table import EndpointTable, Place, number_of
from .widening import MOST_DOUBLED, Health, Widening


class Slice(NamedTuple):
    """Numbers of endpoints of one ring, in its order."""

    usual: tuple[int, ...]
    more: tuple[int, ...] = ()  # while the usual ones are in trouble
    partners: tuple[int, ...] = ()  # so that a cell with an endpoint in the slice has a second one
    bound: int = 0  # how many `more` there may be


class Selection:
    """The slices of all services, from the table alone and from what is in trouble."""

    def __init__(self, settings: SubsetSettings, fleet: Fleet, table: EndpointTable, least: int) -> None:
        self.settings, self.fleet, self.table, self.least = settings, fleet, table, least
        self.slices: dict[int, dict[int, Slice]] = {}  # by service and zone
        self.members: dict[int, Place] = {}  # by endpoint
        self.widenings: dict[Place, Widening] = {}

    def update(self, services: Iterable[int]) -> set[int]:
        """Chooses anew for these services. The endpoints that came in or left."""
        moved: set[int] = set()
        for service in services:
            before = self.slices.pop(service, {})
            after = self._choose(service)
            if after:
                self.slices[service] = after
            moved |= _numbers(before) ^ _numbers(after)
            for number in _numbers(before):
                if self.members.get(number, (service,))[0] == service:
                    self.members.pop(number, None)
            for zone, chosen in after.items():
                self.members.update(
                    dict.fromkeys((*chosen.usual, *chosen.more, *chosen.partners), (service, zone))
                )
        return moved

    def _choose(self, service: int) -> dict[int, Slice]:
        tier, zones = self._zones(service)
        named = sum(z < len(self.fleet.zones) for z in self.fleet.tiers[tier])
        scale = max(1.0, min(float(self.settings.most), named / len(zones))) if zones else 1.0
        return {zone: self._slice(service, zone, scale) for zone in zones}

    def _zones(self, service: int) -> tuple[int, list[int]]:
        """The nearest tier in which the service has endpoints, and its zones that have some; the next one
        with more where no slice of it is enough."""
        rings, found = self.table.rings, []
        for tier, zones in enumerate(self.fleet.tiers):
            before, found = found, [z for z in zones if (service, z) in rings]
            if len(found) > len(before) and not all(self._beyond(service, z) for z in found):
                return tier, found
        return len(self.fleet.tiers) - 1, found

    def _beyond(self, service: int, zone: int) -> bool:
        state = self.widenings.get((service, zone))
        return state is not None and state.beyond

    def _slice(self, service: int, zone: int, scale: float) -> Slice:
        """`scale`: how much larger it is than usual, for zones in reach without an endpoint."""
        ring, seat = self.table.rings[service, zone], self.fleet.seat(zone)
        total = len(ring)
        usual = slice_size(total, self.least, self.settings.holders, seat.count)
        size = min(total, math.ceil(usual * scale))
        state = self.widenings.get((service, zone))
        bound = max(0, min(total, usual * self.settings.most) - size)
        extra = min(bound, state.extra) if state else 0
        offset = stable_hash(service, self.fleet.name(zone)) % seat.count
        keys = ring.take(first_rank(seat.index, seat.count, total, offset), size + extra)
        numbers = tuple(map(number_of, keys))
        return Slice(numbers[:size], numbers[size:], self._partners(service, zone, keys), bound)

    def _partners(self, service: int, zone: int, keys: list[int]) -> tuple[int, ...]:
        """For each cell with one endpoint in the slice a second one, where there is any."""
        ring = self.table.rings[service, zone]
        if ring.cells is None:
            return ()
        alone: dict[int, int | None] = {}
        for key in keys:
            cell = self.table.endpoints[number_of(key)].cell
            alone[cell] = None if cell in alone else key
        found = ((key, ring.partner(key, cell)) for cell, key in alone.items() if key is not None)
        return tuple(number_of(partner) for key, partner in found if partner != key)

    def look(self, now: int, suspects: Iterable[int], health: Callable[[int], Health]) -> set[int]:
        """Widens and shrinks. `suspects`: endpoints that may be in trouble, others need not be asked for. The
        services whose slices change."""
        places = {self.members[n] for n in suspects if n in self.members} | set(self.widenings)
        return {place[0] for place in sorted(places) if self._look_at(now, place, health)}

    def _look_at(self, now: int, place: Place, health: Callable[[int], Health]) -> bool:
        chosen, ring = self.slices.get(place[0], {}).get(place[1]), self.table.rings.get(place)
        state = self.widenings.get(place)
        if chosen is None or ring is None:
            return self.widenings.pop(place, None) is not None and state.active
        usual, more = [[health(n) for n in numbers] for numbers in (chosen.usual, chosen.more)]
        if state is None:
            state = Widening(self.settings.back_ns)
        need = min(self.settings.least_good, len(ring))
        changed = state.look(now, usual, more, need, chosen.bound)
        state.wait_ns = min(state.wait_ns, MOST_DOUBLED * self.settings.back_ns)
        if state.forgotten(now):
            self.widenings.pop(place, None)
        else:
            self.widenings[place] = state
        return changed

    @property
    def widened(self) -> int:
        """Slices that are widened now."""
        return sum(state.active for state in self.widenings.values())


def _numbers(slices: dict[int, Slice]) -> set[int]:
    return {n for s in slices.values() for n in (*s.usual, *s.more, *s.partners)}
