"""`scale`: how cost grows with the size of the fleet."""

from __future__ import annotations

import click

from .scale_capacity import command as capacity
from .scale_fleet import DEFAULT_TOPOLOGY, load_fleet, size_options
from .scale_run import command as run
from .scale_slopes import command as slopes


@click.group("scale")
def command() -> None:
    """How cost grows with the size of the fleet."""


@command.command("topology")
@click.argument("path", metavar="FILE", default=DEFAULT_TOPOLOGY, type=click.Path())
@size_options
def topology(path: str, factor: str, **sizes: float | None) -> int:
    """Checks a topology file and prints its sizes."""
    from ..scale import tables

    click.echo(tables.topology(load_fleet(path, factor, sizes)), nl=False)
    return 0


command.add_command(slopes)
command.add_command(capacity)
command.add_command(run)
