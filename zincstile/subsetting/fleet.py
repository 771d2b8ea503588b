"""Which gateways share a zone's endpoints, as far as the settings tell, and this one's index."""

from __future__ import annotations

from typing import NamedTuple

from .settings import Layout, SubsetSettings


class Seat(NamedTuple):
    """This gateway among those that take endpoints of one zone."""

    index: int
    count: int


class Fleet:
    """Gateway `me` of `gateways`, in a zone of those named."""

    def __init__(self, settings: SubsetSettings, me: int, gateways: int, zone: int, zones: list[str]) -> None:
        self.settings, self.me, self.gateways = settings, me, gateways
        self.zones = zones
        name = zones[zone] if zone < len(zones) else "?"
        self.tiers = [tuple(map(self._number, tier)) for tier in settings.tiers(name, zones)]
        if len(zones) not in self.tiers[-1]:  # endpoints whose zone nobody named are in reach of all
            self.tiers[-1] += (len(zones),)
        self.everybody = Seat(me, gateways)
        self._seats: dict[int, Seat] = {z: self._seat(z, name) for z in self.tiers[0]}

    def _number(self, zone: str) -> int:
        return self.zones.index(zone) if zone in self.zones else len(self.zones)

    def name(self, zone: int) -> str:
        """A zone's name; `?` where the settings name none."""
        return self.zones[zone] if zone < len(self.zones) else "?"

    def seat(self, zone: int) -> Seat:
        """Beyond the first tier it depends on each gateway's troubles who shares a zone: all may."""
        return self._seats.get(zone, self.everybody)

    def _seat(self, zone: int, own: str) -> Seat:
        reaching = self.settings.tiers(self.name(zone), self.zones)[0]
        if len(reaching) >= len(self.zones):
            return self.everybody
        sharing = [g for g in range(self.gateways) if self.zones[self.zone_of(g)] in reaching]
        if self.me not in sharing:
            return self.everybody
        return Seat(sharing.index(self.me), len(sharing))

    def zone_of(self, gateway: int) -> int:
        """By the layout that the settings tell."""
        return zone_of(self.settings.layout, gateway, self.gateways, len(self.zones))


def zone_of(layout: Layout, gateway: int, gateways: int, zones: int) -> int:
    """The zone of a gateway by its number."""
    if layout is Layout.BLOCKS:
        return gateway * zones // gateways
    return gateway % zones
