"""The endpoints that one gateway uses: a slice of each ring in reach, wider while that is unhealthy."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from .fleet import Fleet
from .placement import endpoint_id_of, first_rank, slice_size, stable_hash
from .rings import EndpointRings, RingId
from .settings import SubsetSettings
from .widening import MAX_RECOVERY_FACTOR, Health, Widening


class Slice(NamedTuple):
    """Numbers of endpoints of one ring, in its order."""

    regular: tuple[int, ...]
    extra: tuple[int, ...] = ()  # while the regular ones are unhealthy
    partners: tuple[int, ...] = ()  # so that a cell with an endpoint in the slice has a second one
    max_extra: int = 0

    @property
    def members(self) -> tuple[int, ...]:
        """All of its endpoints."""
        return (*self.regular, *self.extra, *self.partners)


class Selection:
    """The slices of all services, from the rings alone and from the health of their endpoints."""

    def __init__(
        self, settings: SubsetSettings, fleet: Fleet, endpoint_rings: EndpointRings, min_endpoints: int
    ) -> None:
        """Starts empty; `min_endpoints` of each service and zone may be more than the settings ask for."""
        self.settings = settings
        self.fleet = fleet
        self.endpoint_rings = endpoint_rings
        self.min_endpoints = min_endpoints
        self.slices: dict[int, dict[int, Slice]] = {}  # by service and zone
        self.members: dict[int, RingId] = {}  # by endpoint
        self.widenings: dict[RingId, Widening] = {}

    @property
    def widened(self) -> int:
        """The number of slices that are widened now."""
        return sum(widening.active for widening in self.widenings.values())

    def update(self, services: Iterable[int]) -> set[int]:
        """Chooses anew for these services. Returns the endpoints that came in or left."""
        moved: set[int] = set()
        for service in services:
            before = self.slices.pop(service, {})
            after = self._choose(service)
            if after:
                self.slices[service] = after
            old_members = _members(before)
            moved |= old_members ^ _members(after)
            for endpoint_id in old_members:
                ring_id = self.members.get(endpoint_id)
                if ring_id is not None and ring_id.service == service:
                    del self.members[endpoint_id]
            for zone, chosen in after.items():
                self.members.update(dict.fromkeys(chosen.members, RingId(service, zone)))
        return moved

    def review(self, now: int, suspects: Iterable[int], health: Callable[[int], Health]) -> set[int]:
        """Widens and shrinks slices by the health of their endpoints. Returns the services that change.

        `suspects`: endpoints that may be unhealthy; the others need not be asked for.
        """
        ring_ids = {self.members[endpoint_id] for endpoint_id in suspects if endpoint_id in self.members}
        return {
            ring_id.service
            for ring_id in sorted(ring_ids | set(self.widenings))
            if self._review_slice(now, ring_id, health)
        }

    # ---- choosing

    def _choose(self, service: int) -> dict[int, Slice]:
        tier, zones = self._zones(service)
        named = sum(zone < len(self.fleet.zones) for zone in self.fleet.tiers[tier])
        scale = max(1.0, min(float(self.settings.max_growth), named / len(zones))) if zones else 1.0
        return {zone: self._slice(RingId(service, zone), scale) for zone in zones}

    def _zones(self, service: int) -> tuple[int, list[int]]:
        """The nearest tier in which the service has endpoints, and its zones that have some.

        Where no slice of it is enough, the next tier with more zones.
        """
        found: list[int] = []
        for tier, zones in enumerate(self.fleet.tiers):
            before = found
            found = [zone for zone in zones if RingId(service, zone) in self.endpoint_rings.rings]
            if len(found) > len(before) and not all(
                self._needs_further_zones(service, zone) for zone in found
            ):
                return tier, found
        return len(self.fleet.tiers) - 1, found

    def _needs_further_zones(self, service: int, zone: int) -> bool:
        widening = self.widenings.get(RingId(service, zone))
        return widening is not None and widening.needs_further_zones

    def _slice(self, ring_id: RingId, scale: float) -> Slice:
        """`scale`: how much larger it is than usual, for zones in reach without an endpoint."""
        ring = self.endpoint_rings.rings[ring_id]
        position = self.fleet.position(ring_id.zone)
        total = len(ring)
        usual = slice_size(total, self.min_endpoints, self.settings.min_gateways, position.count)
        size = min(total, math.ceil(usual * scale))
        max_extra = max(0, min(total, usual * self.settings.max_growth) - size)
        widening = self.widenings.get(ring_id)
        extra_count = min(max_extra, widening.extra_count) if widening else 0
        offset = stable_hash(ring_id.service, self.fleet.zone_name(ring_id.zone)) % position.count
        first = first_rank(position.index, position.count, total, offset)
        keys = ring.take(first, size + extra_count)
        numbers = tuple(map(endpoint_id_of, keys))
        return Slice(numbers[:size], numbers[size:], self._partners(ring_id, keys), max_extra)

    def _partners(self, ring_id: RingId, keys: list[int]) -> tuple[int, ...]:
        """For each cell with one endpoint in the slice a second one, where there is any."""
        ring = self.endpoint_rings.rings[ring_id]
        if ring.keys_by_cell is None:
            return ()
        alone: dict[int, int | None] = {}  # by cell: its only endpoint's key, None where it has more
        for key in keys:
            cell = self.endpoint_rings.endpoints[endpoint_id_of(key)].cell
            alone[cell] = None if cell in alone else key
        found = ((key, ring.partner(key, cell)) for cell, key in alone.items() if key is not None)
        return tuple(endpoint_id_of(partner) for key, partner in found if partner != key)

    # ---- health

    def _review_slice(self, now: int, ring_id: RingId, health: Callable[[int], Health]) -> bool:
        chosen = self.slices.get(ring_id.service, {}).get(ring_id.zone)
        ring = self.endpoint_rings.rings.get(ring_id)
        widening = self.widenings.get(ring_id)
        if chosen is None or ring is None:
            return self.widenings.pop(ring_id, None) is not None and widening.active
        if widening is None:
            widening = Widening(self.settings.recovery_ns)
        changed = widening.review(
            now,
            [health(endpoint_id) for endpoint_id in chosen.regular],
            [health(endpoint_id) for endpoint_id in chosen.extra],
            required=min(self.settings.min_usable, len(ring)),
            max_extra=chosen.max_extra,
        )
        max_recovery_ns = MAX_RECOVERY_FACTOR * self.settings.recovery_ns
        widening.recovery_ns = min(widening.recovery_ns, max_recovery_ns)
        if widening.is_obsolete(now):
            self.widenings.pop(ring_id, None)
        else:
            self.widenings[ring_id] = widening
        return changed


def _members(slices: dict[int, Slice]) -> set[int]:
    return {endpoint_id for chosen in slices.values() for endpoint_id in chosen.members}
