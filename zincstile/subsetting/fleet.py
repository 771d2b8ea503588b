"""The gateways that share a zone's endpoints, as far as known from the settings, and this one's position."""

from __future__ import annotations

from typing import Final, NamedTuple

from .settings import Layout, SubsetSettings

UNNAMED_ZONE: Final = "?"  # stands for a zone that the settings don't name


class FleetPosition(NamedTuple):
    """A gateway's index among the `count` gateways that share a zone's endpoints."""

    index: int
    count: int


class Fleet:
    """The gateways of the fleet, from the perspective of one of them.

    Zones are indexes in the settings' order; the next index stands for all zones that the settings don't
    name.
    """

    def __init__(
        self, settings: SubsetSettings, gateway_index: int, gateway_count: int, zone: int, zones: list[str]
    ) -> None:
        """`zone` is the index of this gateway's zone in `zones`, the names of all zones."""
        self.settings = settings
        self.gateway_index = gateway_index
        self.gateway_count = gateway_count
        self.zones = zones
        own_zone = self.zone_name(zone)
        self.tiers = [tuple(map(self._zone_index, tier)) for tier in settings.tiers(own_zone, zones)]
        if len(zones) not in self.tiers[-1]:  # all gateways reach the endpoints of unnamed zones
            self.tiers[-1] += (len(zones),)
        self.position_in_fleet = FleetPosition(gateway_index, gateway_count)
        self._positions = {near_zone: self._position(near_zone) for near_zone in self.tiers[0]}

    def zone_name(self, zone: int) -> str:
        """Returns a zone's name, or `UNNAMED_ZONE`."""
        return self.zones[zone] if zone < len(self.zones) else UNNAMED_ZONE

    def zone_of(self, gateway_index: int) -> int:
        """Returns a gateway's zone by the layout of the settings."""
        return zone_of(self.settings.layout, gateway_index, self.gateway_count, len(self.zones))

    def position(self, zone: int) -> FleetPosition:
        """Returns this gateway's position among those that may use a zone's endpoints.

        These are all gateways for zones beyond the first tier, as the use of those depends on the health that
        each gateway observes.
        """
        return self._positions.get(zone, self.position_in_fleet)

    def _zone_index(self, name: str) -> int:
        return self.zones.index(name) if name in self.zones else len(self.zones)

    def _position(self, zone: int) -> FleetPosition:
        reaching_zones = self.settings.tiers(self.zone_name(zone), self.zones)[0]
        if len(reaching_zones) >= len(self.zones):
            return self.position_in_fleet
        sharing = [
            peer for peer in range(self.gateway_count) if self.zones[self.zone_of(peer)] in reaching_zones
        ]
        if self.gateway_index not in sharing:
            return self.position_in_fleet
        return FleetPosition(sharing.index(self.gateway_index), len(sharing))


def zone_of(layout: Layout, gateway_index: int, gateway_count: int, zone_count: int) -> int:
    """Returns the zone of a gateway by its index."""
    if layout is Layout.BLOCKS:
        return gateway_index * zone_count // gateway_count
    return gateway_index % zone_count
