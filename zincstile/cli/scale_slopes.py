"""`scale slopes`: what a gateway costs as each dimension of the fleet grows, measured at several sizes."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path

import click

from ..serialization.errors import FileError
from .errors import BadInputError

DEFAULT_TOPOLOGY = "deploy/scale/target.yaml"


@click.command("slopes")
@click.argument("path", metavar="[TOPOLOGY]", default=DEFAULT_TOPOLOGY, type=click.Path())
@click.option("--dimension", "names", multiple=True, help="Dimension to vary; default: all six.")
@click.option(
    "--sizes", help="Sizes to measure, such as 320,1000,3200; default: five; needs exactly one --dimension."
)
@click.option("--repeats", type=click.IntRange(1, 100), default=3, show_default=True)
@click.option(
    "--program",
    "programs",
    multiple=True,
    metavar="LABEL=DIR",
    help="Source tree to measure; default: this one.",
)
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    type=click.Choice(["real", "hollow"]),
    help="Kind of gateway; default: both.",
)
@click.option(
    "--hold",
    "holds",
    multiple=True,
    metavar="DIMENSION=SIZE",
    help="Size of a dimension while it is not varied.",
)
@click.option(
    "--feature",
    "features",
    multiple=True,
    metavar="[LABEL:]NAME=FILE",
    help="Feature settings: a file in the measured tree.",
)
@click.option(
    "--seed",
    type=click.IntRange(min=0),
    default=1,
    show_default=True,
    help="Seed of the order in which points are measured.",
)
@click.option(
    "--jobs",
    type=click.IntRange(1, 64),
    default=3,
    show_default=True,
    help="Points measured at the same time.",
)
@click.option(
    "--window", type=click.FloatRange(0.2, 60), default=3.0, show_default=True, help="Seconds per sample."
)
@click.option(
    "--mass-failure",
    is_flag=True,
    help="Also measure the loss of a zone at each number of backends; takes minutes.",
)
@click.option("--stroke", is_flag=True, hidden=True)  # the former name of --mass-failure
@click.option("--out", required=True, type=click.Path(dir_okay=False), help="Write the samples as JSON.")
@click.option("--charts", type=click.Path(file_okay=False), help="Write charts into this folder.")
def command(path: str, out: str, charts: str | None, **options) -> int:
    """Measures memory, CPU time, traffic and delays of gateways, one dimension at a time.

    Exit code 1 if a point gave no sample. On an interrupt it keeps the samples so far."""
    from ..scale import charts as chart_files
    from ..scale import records, slopes

    try:
        settings = read_settings(path, **options)
        result = slopes.describe(settings)
        # reports a path that can't be written before the measurements
        records.write(result, out)
    except FileError as err:
        raise BadInputError(str(err)) from None
    began, interrupted = time.monotonic(), False
    signal.signal(signal.SIGINT, signal.default_int_handler)

    def on_point_measured(done: int, total: int) -> None:
        records.write(result, out)  # keeps the samples if the program is killed
        progress(done, total)

    try:
        slopes.run(settings, result, on_point_measured)
    except KeyboardInterrupt:
        interrupted = True
    except FileError as err:
        raise BadInputError(str(err)) from None
    try:
        records.write(result, out)
        if charts is not None:
            chart_files.draw(result, Path(charts))
    except FileError as err:
        raise BadInputError(str(err)) from None
    print_result(result, time.monotonic() - began, out)
    if interrupted:
        print("zincstile: interrupted", file=sys.stderr)
        return 130
    return 1 if result.failures else 0


def read_settings(
    path: str,
    names: tuple[str, ...],
    sizes: str | None,
    repeats: int,
    programs: tuple[str, ...],
    kinds: tuple[str, ...],
    holds: tuple[str, ...],
    features: tuple[str, ...],
    seed: int,
    jobs: int,
    window: float,
    mass_failure: bool,
    stroke: bool,
):
    """The settings from the command's options. Raises FileError or BadInputError for invalid ones."""
    from ..scale import slopes, topology
    from ..scale.records import Kind

    fleet = topology.load(path)
    dimensions = [parse_dimension("--dimension", name) for name in dict.fromkeys(names)] or list(slopes.SIZES)
    if sizes is not None and len(dimensions) != 1:
        raise BadInputError("--sizes: needs exactly one --dimension")
    sizes_by_dimension = {d: list(slopes.SIZES[d]) for d in dimensions}
    if sizes is not None:
        sizes_by_dimension[dimensions[0]] = [
            parse_size("--sizes", text, dimensions[0]) for text in sizes.split(",")
        ]
    held_sizes = dict(slopes.HELD)
    for value in holds:
        name, _, size = value.partition("=")
        held_dimension = parse_dimension("--hold", name)
        held_sizes[held_dimension] = parse_size("--hold", size, held_dimension)
    trees = [slopes.program(value) for value in programs] or [slopes.this_tree()]
    if len({tree.label for tree in trees}) < len(trees):
        raise BadInputError("--program: duplicate label")
    return slopes.Settings(
        fleet,
        dimensions,
        sizes_by_dimension,
        trees,
        [Kind(kind) for kind in dict.fromkeys(kinds)] or list(Kind),
        held_sizes,
        [slopes.feature(value, trees) for value in features],
        repeats,
        seed,
        jobs,
        window,
        mass_failure or stroke,
    )


def parse_dimension(option: str, name: str):
    """The dimension with this name. Raises BadInputError if there is none."""
    from ..scale.records import Dimension

    try:
        return Dimension(name)
    except ValueError:
        raise BadInputError(
            f"{option} {name}: no such dimension; there are {', '.join(d.value for d in Dimension)}"
        ) from None


def parse_size(option: str, text: str, dimension) -> float:
    """The size in `text`, which is an integer if the dimension is a count."""
    from ..scale.records import Dimension

    is_count = dimension in (Dimension.BACKENDS, Dimension.GATEWAYS, Dimension.TENANTS)
    try:
        size = float(text)
    except ValueError:
        size = 0.0
    minimum = 2 if dimension is Dimension.GATEWAYS else 1 if is_count else 0.001  # one gateway and one peer
    if not minimum <= size <= 65_000 or (is_count and size != int(size)):
        raise BadInputError(
            f"{option} {text}: not a size of {dimension.value}; must be from {minimum:g} to 65000"
        )
    return size


def progress(done: int, total: int) -> None:
    """Prints the progress on a line that the next call overwrites, on a terminal only."""
    if sys.stderr.isatty():
        print(f"\r{done} of {total} points", end="" if done < total else "\n", file=sys.stderr, flush=True)


def print_result(result, seconds: float, out: str) -> None:
    """Prints tables of the medians and of the laws fitted to the samples."""
    from ..scale import tables
    from ..scale.records import Dimension

    for program in result.commits:
        for dimension in Dimension:
            if any(s.dimension is dimension and s.program == program for s in result.samples):
                click.echo(tables.samples(result, dimension, program), nl=False)
        click.echo(tables.laws(result, program), nl=False)
    for failure in result.failures:
        click.echo(f"no sample: {failure}")
    click.echo(
        f"scale slopes samples={len(result.samples)} failed={len(result.failures)} "
        f"complete={'yes' if result.complete else 'no'} seconds={seconds:.0f} out={out}"
    )
