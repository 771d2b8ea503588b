"""Options shared by the scale commands: a topology file, a factor on all sizes, and single sizes."""

from __future__ import annotations

import click

from ..serialization.errors import FileError
from .errors import BadInputError

DEFAULT_TOPOLOGY = "deploy/scale/target.yaml"


def size_options(function):
    """Adds the option for the factor and those that replace single sizes of a topology."""
    for name, type_ in (
        ("requests-per-s", click.FloatRange(0.001, 1e9)),
        ("tenants", click.IntRange(1, 10_000_000)),
        ("routes", click.IntRange(0, 10_000_000)),
        ("services", click.IntRange(1, 10_000_000)),
        ("backends", click.IntRange(1, 10_000_000)),
        ("gateways", click.IntRange(1, 10_000_000)),
    ):
        function = click.option(
            f"--{name}", type=type_, help="Replaces the size in the file; the factor doesn't apply to it."
        )(function)
    return click.option(
        "--factor", default="1", show_default=True, help="Factor for every size, such as 1/16."
    )(function)


def load_fleet(path: str, factor: str, sizes: dict[str, float | None]):
    """Loads a topology, multiplies its sizes by the factor and replaces single sizes.

    Raises BadInputError if the file or a size is invalid."""
    from ..scale import topology

    try:
        loaded = topology.load(path)
    except FileError as err:
        raise BadInputError(str(err)) from None
    try:
        return topology.with_sizes(topology.scaled(loaded, topology.parse_factor(factor)), **sizes)
    except topology.TopologyError as err:
        raise BadInputError(f"{path}: {err}") from None
