"""`scale`: how cost grows with the size of the fleet."""

from __future__ import annotations

import click

from .scale_capacity import command as capacity
from .scale_fleet import TARGET, fleet, sizes
from .scale_run import command as run
from .scale_slopes import command as slopes


@click.group("scale")
def command() -> None:
    """How cost grows with the size of the fleet."""


@command.command("topology")
@click.argument("path", metavar="FILE", default=TARGET, type=click.Path())
@sizes
def show(path: str, factor: str, **given: float | None) -> int:
    """Checks a topology file and prints its sizes."""
    from ..scale import tables

    click.echo(tables.topology(fleet(path, factor, given)), nl=False)
    return 0


command.add_command(slopes)
command.add_command(capacity)
command.add_command(run)
