"""Which gateways share a zone's endpoints, as far as the settings show, and this one's position there."""

from __future__ import annotations

from typing import Final, NamedTuple

from .settings import Layout, SubsetSettings

UNNAMED_ZONE: Final = "?"  # stands for a zone that the settings don't name


class FleetPosition(NamedTuple):
    """A gateway's index among the `count` gateways that share the endpoints of one zone."""

    index: int
    count: int


class Fleet:
    """All gateways, seen from one of them.

    Zones are numbers in the settings' order; the number of zones stands for all that the settings don't name.
    """

    def __init__(
        self, settings: SubsetSettings, gateway_index: int, gateway_count: int, zone: int, zones: list[str]
    ) -> None:
        """Takes this gateway's number, how many there are, its zone, and the names of all zones."""
        self.settings = settings
        self.gateway_index = gateway_index
        self.gateway_count = gateway_count
        self.zones = zones
        own_zone = self.zone_name(zone)
        self.tiers = [tuple(map(self._zone_number, tier)) for tier in settings.tiers(own_zone, zones)]
        if len(zones) not in self.tiers[-1]:  # endpoints of an unnamed zone are in reach of all
            self.tiers[-1] += (len(zones),)
        self.position_in_fleet = FleetPosition(gateway_index, gateway_count)
        self._positions = {near: self._position(near) for near in self.tiers[0]}

    def zone_name(self, zone: int) -> str:
        """A zone's name, or `UNNAMED_ZONE`."""
        return self.zones[zone] if zone < len(self.zones) else UNNAMED_ZONE

    def zone_of(self, gateway_index: int) -> int:
        """A gateway's zone by the settings' layout."""
        return zone_of(self.settings.layout, gateway_index, self.gateway_count, len(self.zones))

    def position(self, zone: int) -> FleetPosition:
        """This gateway's position among those that may use a zone's endpoints.

        Beyond the first tier that depends on the health that each gateway sees: all may.
        """
        return self._positions.get(zone, self.position_in_fleet)

    def _zone_number(self, name: str) -> int:
        return self.zones.index(name) if name in self.zones else len(self.zones)

    def _position(self, zone: int) -> FleetPosition:
        reaching = self.settings.tiers(self.zone_name(zone), self.zones)[0]
        if len(reaching) >= len(self.zones):
            return self.position_in_fleet
        sharing = [
            other for other in range(self.gateway_count) if self.zones[self.zone_of(other)] in reaching
        ]
        if self.gateway_index not in sharing:
            return self.position_in_fleet
        return FleetPosition(sharing.index(self.gateway_index), len(sharing))


def zone_of(layout: Layout, gateway_index: int, gateway_count: int, zone_count: int) -> int:
    """The zone of a gateway by its number; `gateways` and `zones`: how many there are."""
    if layout is Layout.BLOCKS:
        return gateway_index * zone_count // gateway_count
    return gateway_index % zone_count
