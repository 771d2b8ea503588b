"""`place`: zones and regions, before anything fails."""

from __future__ import annotations

import click
from rich.console import Console
from rich.table import Table

from ..net import features
from ..place.flows import ZoneView, flows
from ..typed_yaml import FileError
from .errors import BadInputError


@click.group("place")
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
        settings, rows = features.place(file), features.place_zones(file)
        names = [r.name for r in rows]
        if not names:
            raise FileError(f"{file}: zones: none given; a dry run needs what each is asked for and bears")
        features.check_place(file, settings, names)
    except FileError as err:
        raise BadInputError(str(err)) from None
    gone = {z for word in (*lost, *drained) for z in settings.regions.get(word, (word,))}
    dead = {z for word in lost for z in settings.regions.get(word, (word,))}
    for word in gone - set(names):
        raise BadInputError(f"place: no zone or region is called {word}; there are {', '.join(names)}")
    views = [
        ZoneView(
            r.demand,
            r.room,
            1.0 if r.name not in dead else 0.0,
            takes=r.name not in gone,
            cap=float(r.name not in gone),
            reach=(r.name not in dead,) * len(rows),
        )
        for r in rows
    ]
    made = flows(views, settings.matrix(names), settings.headroom)
    table = Table(title="units a second from each zone (rows) to each (columns)")
    for head in ("zone", *names, "refused"):
        table.add_column(head, justify="left" if head == "zone" else "right")
    refused = 0.0
    for row, sent in zip(rows, made, strict=True):
        left = max(0.0, row.demand - sum(sent))
        refused += left
        table.add_row(
            row.name, *(f"{x:.1f}" if x else "-" for x in sent), f"{left:.1f}" if left > 1e-6 else "-"
        )
    bears = [sum(m[b] for m in made) / r.room if r.room else 0.0 for b, r in enumerate(rows)]
    table.add_row("used", *(f"{100 * x:.0f}%" for x in bears), "", style="dim")
    console = Console()
    console.print(table)
    total = sum(r.demand for r in rows)
    console.print(
        f"{refused:.1f} of {total:.1f} units a second have no place "
        f"({100 * refused / total if total else 0:.1f}%)"
    )
    return 1 if refused > 1e-6 else 0
