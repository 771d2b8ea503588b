"""The options that scale commands share: a fleet from a topology file, a factor, and sizes set apart."""

from __future__ import annotations

import click

from ..serialization.errors import FileError
from .errors import BadInputError

TARGET = "deploy/scale/target.yaml"


def sizes(function):
    """Options that set dimensions of a topology apart from its factor."""
    for name, kind in (
        ("requests-per-s", click.FloatRange(0.001, 1e9)),
        ("tenants", click.IntRange(1, 10_000_000)),
        ("routes", click.IntRange(0, 10_000_000)),
        ("services", click.IntRange(1, 10_000_000)),
        ("backends", click.IntRange(1, 10_000_000)),
        ("gateways", click.IntRange(1, 10_000_000)),
    ):
        function = click.option(f"--{name}", type=kind, help="In place of the file's, after the factor.")(
            function
        )
    return click.option("--factor", default="1", show_default=True, help="Every size by it, such as 1/16.")(
        function
    )


def fleet(path: str, factor: str, given: dict[str, float | None]):
    """The file's topology by the factor and with the sizes given; one line and exit 2 else."""
    from ..scale import topology

    try:
        found = topology.load(path)
    except FileError as err:
        raise BadInputError(str(err)) from None
    try:
        return topology.with_sizes(topology.scaled(found, topology.parse_factor(factor)), **given)
    except topology.TopologyError as err:
        raise BadInputError(f"{path}: {err}") from None
