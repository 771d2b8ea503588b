"""Selects the endpoints that one gateway uses: a slice of each ring, which is wider while it is unhealthy."""

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
    """Endpoint ids of one ring, in its order."""

    regular: tuple[int, ...]
    extra: tuple[int, ...] = ()  # added while regular ones are unhealthy
    partners: tuple[int, ...] = ()  # added so that each cell in the slice has a second endpoint
    max_extra: int = 0

    @property
    def members(self) -> tuple[int, ...]:
        """All endpoint ids of the slice."""
        return (*self.regular, *self.extra, *self.partners)


class Selection:
    """The slices of all services, which depend on the rings and on the health of their endpoints."""

    def __init__(
        self, settings: SubsetSettings, fleet: Fleet, endpoint_rings: EndpointRings, min_endpoints: int
    ) -> None:
        """Starts empty; `min_endpoints` may be greater than in the settings."""
        self.settings = settings
        self.fleet = fleet
        self.endpoint_rings = endpoint_rings
        self.min_endpoints = min_endpoints
        self.slices: dict[int, dict[int, Slice]] = {}  # by service, then by zone
        self.members: dict[int, RingId] = {}  # by endpoint id
        self.widenings: dict[RingId, Widening] = {}

    @property
    def widened(self) -> int:
        """The number of widened slices."""
        return sum(widening.active for widening in self.widenings.values())

    def update(self, services: Iterable[int]) -> set[int]:
        """Selects the slices of these services again. Returns the endpoints that were added or removed."""
        changed: set[int] = set()
        for service in services:
            before = self.slices.pop(service, {})
            after = self._choose(service)
            if after:
                self.slices[service] = after
            old_members = _members(before)
            changed |= old_members ^ _members(after)
            for endpoint_id in old_members:
                ring_id = self.members.get(endpoint_id)
                if ring_id is not None and ring_id.service == service:
                    del self.members[endpoint_id]
            for zone, zone_slice in after.items():
                self.members.update(dict.fromkeys(zone_slice.members, RingId(service, zone)))
        return changed

    def review(self, now: int, suspects: Iterable[int], health: Callable[[int], Health]) -> set[int]:
        """Widens and shrinks slices by the health of their endpoints. Returns the services that change.

        `suspects` are all endpoints that may be unhealthy.
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
        named_zone_count = sum(zone < len(self.fleet.zones) for zone in self.fleet.tiers[tier])
        scale = (
            max(1.0, min(float(self.settings.max_growth), named_zone_count / len(zones))) if zones else 1.0
        )
        return {zone: self._slice(RingId(service, zone), scale) for zone in zones}

    def _zones(self, service: int) -> tuple[int, list[int]]:
        """Returns the first tier in which the service has endpoints, and the zones that have some.

        If all slices of a tier need further zones, the next tier with more zones is used.
        """
        zones_with_endpoints: list[int] = []
        for tier, zones in enumerate(self.fleet.tiers):
            previous = zones_with_endpoints
            zones_with_endpoints = [
                zone for zone in zones if RingId(service, zone) in self.endpoint_rings.rings
            ]
            if len(zones_with_endpoints) > len(previous) and not all(
                self._needs_further_zones(service, zone) for zone in zones_with_endpoints
            ):
                return tier, zones_with_endpoints
        return len(self.fleet.tiers) - 1, zones_with_endpoints

    def _needs_further_zones(self, service: int, zone: int) -> bool:
        widening = self.widenings.get(RingId(service, zone))
        return widening is not None and widening.needs_further_zones

    def _slice(self, ring_id: RingId, scale: float) -> Slice:
        """`scale` enlarges the slice to compensate for zones without endpoints."""
        ring = self.endpoint_rings.rings[ring_id]
        position = self.fleet.position(ring_id.zone)
        total = len(ring)
        regular_size = slice_size(total, self.min_endpoints, self.settings.min_gateways, position.count)
        size = min(total, math.ceil(regular_size * scale))
        max_extra = max(0, min(total, regular_size * self.settings.max_growth) - size)
        widening = self.widenings.get(ring_id)
        extra_count = min(max_extra, widening.extra_count) if widening else 0
        offset = stable_hash(ring_id.service, self.fleet.zone_name(ring_id.zone)) % position.count
        first = first_rank(position.index, position.count, total, offset)
        keys = ring.take(first, size + extra_count)
        endpoint_ids = tuple(map(endpoint_id_of, keys))
        return Slice(endpoint_ids[:size], endpoint_ids[size:], self._partners(ring_id, keys), max_extra)

    def _partners(self, ring_id: RingId, keys: list[int]) -> tuple[int, ...]:
        """Returns a second endpoint for each cell that has only one in the slice, if the ring has any."""
        ring = self.endpoint_rings.rings[ring_id]
        if ring.keys_by_cell is None:
            return ()
        only_keys: dict[int, int | None] = {}  # by cell: the key of its only endpoint; None if it has several
        for key in keys:
            cell = self.endpoint_rings.endpoints[endpoint_id_of(key)].cell
            only_keys[cell] = None if cell in only_keys else key
        pairs = ((key, ring.partner(key, cell)) for cell, key in only_keys.items() if key is not None)
        return tuple(endpoint_id_of(partner) for key, partner in pairs if partner != key)

    # ---- health

    def _review_slice(self, now: int, ring_id: RingId, health: Callable[[int], Health]) -> bool:
        zone_slice = self.slices.get(ring_id.service, {}).get(ring_id.zone)
        ring = self.endpoint_rings.rings.get(ring_id)
        widening = self.widenings.get(ring_id)
        if zone_slice is None or ring is None:
            return self.widenings.pop(ring_id, None) is not None and widening.active
        if widening is None:
            widening = Widening(self.settings.recovery_ns)
        changed = widening.review(
            now,
            [health(endpoint_id) for endpoint_id in zone_slice.regular],
            [health(endpoint_id) for endpoint_id in zone_slice.extra],
            required=min(self.settings.min_usable, len(ring)),
            max_extra=zone_slice.max_extra,
        )
        max_recovery_ns = MAX_RECOVERY_FACTOR * self.settings.recovery_ns
        widening.recovery_ns = min(widening.recovery_ns, max_recovery_ns)
        if widening.is_obsolete(now):
            self.widenings.pop(ring_id, None)
        else:
            self.widenings[ring_id] = widening
        return changed


def _members(slices: dict[int, Slice]) -> set[int]:
    return {endpoint_id for zone_slice in slices.values() for endpoint_id in zone_slice.members}
