"""`zones`: dry runs of the routing between zones and regions."""

from __future__ import annotations

import click
from rich.console import Console
from rich.table import Table

from ..net import features
from ..net.features import ZoneLoadRow
from ..serialization.errors import FileError
from ..zone_failover.routing_weights import ZoneLoad, route
from ..zone_failover.settings import ZoneFailoverSettings
from .errors import BadInputError


@click.group("zones")
def command() -> None:
    """Zones and regions: where traffic would be routed, and how much would be refused."""


@command.command("plan")
@click.argument("file", metavar="FILE", type=click.Path())
@click.option("--lose", "lost", multiple=True, metavar="ZONE", help="Zone or region that has failed.")
@click.option("--drain", "drained", multiple=True, metavar="ZONE", help="Zone or region that is drained.")
def plan(file: str, lost: tuple[str, ...], drained: tuple[str, ...]) -> int:
    """Prints where the traffic of each zone in the file would be routed. Exit code 1 if some of it exceeds
    the capacity of the remaining zones."""
    try:
        settings, rows = features.read_zone_failover(file), features.read_failover_zones(file)
        names = [r.name for r in rows]
        if not names:
            raise FileError(
                f"{file}: zones: must not be empty; a dry run needs the demand and the room of each zone"
            )
        features.check_zone_failover(file, settings, names)
    except FileError as err:
        raise BadInputError(str(err)) from None
    excluded = _zones_of((*lost, *drained), settings, names)
    failed = _zones_of(lost, settings, names)
    zone_loads = [
        ZoneLoad(
            r.demand,
            r.room,
            1.0 if r.name not in failed else 0.0,
            accepts_traffic=r.name not in excluded,
            usable_ratio=float(r.name not in excluded),
            reachable_from=(r.name not in failed,) * len(rows),
        )
        for r in rows
    ]
    routed = route(zone_loads, settings.distance_matrix(names), settings.headroom)
    refused = sum(_unrouted_units(row, sent) for row, sent in zip(rows, routed, strict=True))
    total = sum(r.demand for r in rows)
    console = Console()
    console.print(_table(rows, routed))
    console.print(
        f"{refused:.1f} of {total:.1f} units a second have no place "
        f"({100 * refused / total if total else 0:.1f}%)"
    )
    return 1 if refused > 1e-6 else 0


def _zones_of(names: tuple[str, ...], settings: ZoneFailoverSettings, zones: list[str]) -> set[str]:
    """The zones that these names of zones or regions stand for."""
    named = {zone for name in names for zone in settings.regions.get(name, (name,))}
    for name in named - set(zones):
        raise BadInputError(f"zones: no zone or region is called {name}; the zones are {', '.join(zones)}")
    return named


def _unrouted_units(row: ZoneLoadRow, sent: list[float]) -> float:
    """Units per second of a zone that no zone can take."""
    return max(0.0, row.demand - sum(sent))


def _table(rows: list[ZoneLoadRow], routed: list[list[float]]) -> Table:
    """The table of traffic between zones, with the used part of each zone's capacity."""
    table = Table(title="units a second from each zone (rows) to each (columns)")
    for column in ("zone", *(r.name for r in rows), "refused"):
        table.add_column(column, justify="left" if column == "zone" else "right")
    for row, sent in zip(rows, routed, strict=True):
        unrouted = _unrouted_units(row, sent)
        cells = (f"{x:.1f}" if x else "-" for x in sent)
        table.add_row(row.name, *cells, f"{unrouted:.1f}" if unrouted > 1e-6 else "-")
    used = [sum(sent[k] for sent in routed) / row.room if row.room else 0.0 for k, row in enumerate(rows)]
    table.add_row("used", *(f"{100 * x:.0f}%" for x in used), "", style="dim")
    return table
