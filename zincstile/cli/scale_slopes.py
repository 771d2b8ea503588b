"""`scale slopes`: what each dimension of the fleet costs a gateway, measured size by size."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path

import click

from ..serialization.errors import FileError
from .errors import BadInputError

TARGET = "deploy/scale/target.yaml"


@click.command("slopes")
@click.argument("path", metavar="[TOPOLOGY]", default=TARGET, type=click.Path())
@click.option("--dimension", "names", multiple=True, help="What to vary; all six where none is named.")
@click.option("--sizes", help="Sizes in place of the usual five, such as 320,1000,3200; of one dimension.")
@click.option("--repeats", type=click.IntRange(1, 100), default=3, show_default=True)
@click.option(
    "--program", "programs", multiple=True, metavar="LABEL=DIR", help="A measured tree; this one else."
)
@click.option(
    "--kind", "kinds", multiple=True, type=click.Choice(["real", "hollow"]), help="Both where not named."
)
@click.option("--hold", "holds", multiple=True, metavar="DIMENSION=SIZE", help="Size of what is not varied.")
@click.option(
    "--feature", "features", multiple=True, metavar="[LABEL:]NAME=FILE", help="File in the measured tree."
)
@click.option(
    "--seed", type=click.IntRange(min=0), default=1, show_default=True, help="Of the shuffled order."
)
@click.option(
    "--jobs", type=click.IntRange(1, 64), default=3, show_default=True, help="Points beside each other."
)
@click.option("--window", type=click.FloatRange(0.2, 60), default=3.0, show_default=True, help="Seconds.")
@click.option("--mass-failure", is_flag=True, help="Also, over backends: a zone lost at once; takes minutes.")
@click.option("--stroke", is_flag=True, hidden=True)  # the former name of --mass-failure
@click.option("--out", required=True, type=click.Path(dir_okay=False), help="The samples, as JSON.")
@click.option("--charts", type=click.Path(file_okay=False), help="Write charts into this folder.")
def command(path: str, out: str, charts: str | None, **options) -> int:
    """Measures memory, processor time, traffic and delays of gateways, one dimension at a time.

    Exit 1 where some points gave no sample. Interrupted, it keeps what it measured."""
    from ..scale import charts as drawing
    from ..scale import records, slopes

    try:
        settings = read(path, **options)
        result = slopes.describe(settings)
        records.write(
            result, out
        )  # before anything is measured: a path that can't be written is reported now
    except FileError as err:
        raise BadInputError(str(err)) from None
    began, interrupted = time.monotonic(), False
    signal.signal(signal.SIGINT, signal.default_int_handler)

    def measured(done: int, of: int) -> None:
        records.write(result, out)  # what was measured stays, however this ends
        progress(done, of)

    try:
        slopes.run(settings, result, measured)
    except KeyboardInterrupt:
        interrupted = True
    except FileError as err:
        raise BadInputError(str(err)) from None
    try:
        records.write(result, out)
        if charts is not None:
            drawing.draw(result, Path(charts))
    except FileError as err:
        raise BadInputError(str(err)) from None
    show(result, time.monotonic() - began, out)
    if interrupted:
        print("zincstile: interrupted", file=sys.stderr)
        return 130
    return 1 if result.failures else 0


def read(
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
    """The command's options as settings. FileError, or BadInputError, where they can't be used."""
    from ..scale import slopes, topology
    from ..scale.records import Kind

    fleet = topology.load(path)
    dimensions = [dimension("--dimension", name) for name in dict.fromkeys(names)] or list(slopes.SIZES)
    if sizes is not None and len(dimensions) != 1:
        raise BadInputError("--sizes: name the one --dimension that they are of")
    chosen = {d: list(slopes.SIZES[d]) for d in dimensions}
    if sizes is not None:
        chosen[dimensions[0]] = [number("--sizes", text, dimensions[0]) for text in sizes.split(",")]
    held = dict(slopes.HELD)
    for word in holds:
        name, _, size = word.partition("=")
        one = dimension("--hold", name)
        held[one] = number("--hold", size, one)
    trees = [slopes.program(word) for word in programs] or [slopes.this_tree()]
    if len({tree.label for tree in trees}) < len(trees):
        raise BadInputError("--program: a label stands twice")
    return slopes.Settings(
        fleet,
        dimensions,
        chosen,
        trees,
        [Kind(kind) for kind in dict.fromkeys(kinds)] or list(Kind),
        held,
        [slopes.feature(word, trees) for word in features],
        repeats,
        seed,
        jobs,
        window,
        mass_failure or stroke,
    )


def dimension(option: str, name: str):
    """A dimension by its name."""
    from ..scale.records import Dimension

    try:
        return Dimension(name)
    except ValueError:
        raise BadInputError(
            f"{option} {name}: no such dimension; there are {', '.join(d.value for d in Dimension)}"
        ) from None


def number(option: str, text: str, of) -> float:
    """A size of that dimension: counts are whole."""
    from ..scale.records import Dimension

    counted = of in (Dimension.BACKENDS, Dimension.GATEWAYS, Dimension.TENANTS)
    try:
        size = float(text)
    except ValueError:
        size = 0.0
    least = 2 if of is Dimension.GATEWAYS else 1 if counted else 0.001  # a gateway and a peer of it
    if not least <= size <= 65_000 or (counted and size != int(size)):
        raise BadInputError(f"{option} {text}: not a size of {of.value}, from {least:g} up to 65000")
    return size


def progress(done: int, of: int) -> None:
    """A line that is written over, on a terminal only."""
    if sys.stderr.isatty():
        print(f"\r{done} of {of} points", end="" if done < of else "\n", file=sys.stderr, flush=True)


def show(result, seconds: float, out: str) -> None:
    """Tables of medians, and of the laws that the samples show."""
    from ..scale import tables
    from ..scale.records import Dimension

    for program in result.commits:
        for one in Dimension:
            if any(s.dimension is one and s.program == program for s in result.samples):
                click.echo(tables.samples(result, one, program), nl=False)
        click.echo(tables.laws(result, program), nl=False)
    for failure in result.failures:
        click.echo(f"no sample: {failure}")
    click.echo(
        f"scale slopes samples={len(result.samples)} failed={len(result.failures)} "
        f"complete={'yes' if result.complete else 'no'} seconds={seconds:.0f} out={out}"
    )
