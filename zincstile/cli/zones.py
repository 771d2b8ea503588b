"""`zones`: zones and regions, before anything fails."""

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
    """Zones and regions: where traffic goes, and what would be refused."""


@command.command("plan")
@click.argument("file", metavar="FILE", type=click.Path())
@click.option("--lose", "lost", multiple=True, metavar="ZONE", help="A zone, or a region, that is lost.")
@click.option("--drain", "drained", multiple=True, metavar="ZONE", help="One that is drained.")
def plan(file: str, lost: tuple[str, ...], drained: tuple[str, ...]) -> int:
    """A dry run by the file's own `zones`: where each zone's traffic would go. Exit 1 where some of it has no
    place."""
    try:
        settings, rows = features.read_zone_failover(file), features.read_failover_zones(file)
        names = [r.name for r in rows]
        if not names:
            raise FileError(f"{file}: zones: none given; a dry run needs what each is asked for and bears")
        features.check_zone_failover(file, settings, names)
    except FileError as err:
        raise BadInputError(str(err)) from None
    gone = _zones_of((*lost, *drained), settings, names)
    dead = _zones_of(lost, settings, names)
    views = [
        ZoneLoad(
            r.demand,
            r.room,
            1.0 if r.name not in dead else 0.0,
            accepts_traffic=r.name not in gone,
            usable_ratio=float(r.name not in gone),
            reachable_from=(r.name not in dead,) * len(rows),
        )
        for r in rows
    ]
    made = route(views, settings.distance_matrix(names), settings.headroom)
    refused = sum(_left(row, sent) for row, sent in zip(rows, made, strict=True))
    total = sum(r.demand for r in rows)
    console = Console()
    console.print(_table(rows, made))
    console.print(
        f"{refused:.1f} of {total:.1f} units a second have no place "
        f"({100 * refused / total if total else 0:.1f}%)"
    )
    return 1 if refused > 1e-6 else 0


def _zones_of(words: tuple[str, ...], settings: ZoneFailoverSettings, names: list[str]) -> set[str]:
    """The zones that these words name, each by itself or by its region."""
    found = {zone for word in words for zone in settings.regions.get(word, (word,))}
    for word in found - set(names):
        raise BadInputError(f"place: no zone or region is called {word}; there are {', '.join(names)}")
    return found


def _left(row: ZoneLoadRow, sent: list[float]) -> float:
    """Units a second of a zone that have no place."""
    return max(0.0, row.demand - sum(sent))


def _table(rows: list[ZoneLoadRow], made: list[list[float]]) -> Table:
    """Where each zone's traffic goes, and how much of each zone is used."""
    table = Table(title="units a second from each zone (rows) to each (columns)")
    for head in ("zone", *(r.name for r in rows), "refused"):
        table.add_column(head, justify="left" if head == "zone" else "right")
    for row, sent in zip(rows, made, strict=True):
        left = _left(row, sent)
        cells = (f"{x:.1f}" if x else "-" for x in sent)
        table.add_row(row.name, *cells, f"{left:.1f}" if left > 1e-6 else "-")
    used = [sum(sent[k] for sent in made) / row.room if row.room else 0.0 for k, row in enumerate(rows)]
    table.add_row("used", *(f"{100 * x:.0f}%" for x in used), "", style="dim")
    return table
