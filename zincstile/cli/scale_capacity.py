"""`scale capacity`: resource use of each role at a topology's sizes, computed from measured slopes."""

from __future__ import annotations

from pathlib import Path

import click

from ..serialization.errors import FileError
from .errors import BadInputError


@click.command("capacity")
@click.argument("slopes", metavar="SLOPES.json", type=click.Path())
@click.argument("topology", metavar="TOPOLOGY.yaml", type=click.Path())
@click.option(
    "--also",
    multiple=True,
    metavar="[LABEL=]FILE",
    help="Further slopes, such as those with a feature on; LABEL replaces the label in the file.",
)
@click.option("--program", multiple=True, metavar="LABEL", help="Print only these programs, in this order.")
@click.option(
    "--write", type=click.Path(), metavar="PAGE.md", help="Write the tables between the markers of this page."
)
def command(
    slopes: str, topology: str, also: tuple[str, ...], program: tuple[str, ...], write: str | None
) -> int:
    """Prints the capacity tables as Markdown. The same input always gives the same text."""
    from ..scale import capacity_page
    from ..scale import topology as topologies

    try:
        fleet = topologies.load(topology)
        programs = _programs([("", slopes), *(_labelled(text) for text in also)], program)
        text = capacity_page.tables(programs, fleet)
        if write is None:
            click.echo(text, nl=False)
        else:
            _write(write, text)
    except (FileError, capacity_page.PageError) as err:
        raise BadInputError(str(err)) from None
    return 0


def _labelled(text: str) -> tuple[str, str]:
    label, separator, path = text.partition("=")
    return (label, path) if separator else ("", text)


def _programs(files: list[tuple[str, str]], selected: tuple[str, ...]):
    """The programs of all files, in order. Raises FileError for a duplicate or unknown label."""
    from ..scale.capacity import Measured

    programs: dict[str, Measured] = {}
    for label, path in files:
        result = _read(path, label)
        measured = {s.program for s in result.samples}
        for name in [*(n for n in result.commits if n in measured), *sorted(measured - set(result.commits))]:
            if name in programs:
                raise FileError(
                    f"{path}: duplicate program {name}; give it another label: --also LABEL={path}"
                )
            programs[name] = Measured(result, name)
    unknown = next((name for name in selected if name not in programs), None)
    if unknown is not None:
        raise FileError(f"--program {unknown}: no such program; there are {', '.join(programs)}")
    return [programs[name] for name in selected or programs]


def _read(path: str, label: str):
    """The result of a file, with its program renamed to the label if there is one."""
    import msgspec

    from ..scale import records

    result = records.read(path)
    if not result.samples:
        raise FileError(f"{path}: $.samples: must not be empty")
    if not label:
        return result
    names = sorted({s.program for s in result.samples})
    if len(names) > 1:
        raise FileError(f"{path}: {len(names)} programs can't share the label {label}")
    samples = [msgspec.structs.replace(s, program=label) for s in result.samples]
    commits = {label: result.commits.get(names[0], "")}
    return msgspec.structs.replace(result, samples=samples, commits=commits)


def _write(path: str, text: str) -> None:
    from ..scale import capacity_page

    page = Path(path)
    try:
        page.write_text(capacity_page.replaced(page.read_text("utf-8"), path, text), "utf-8")
    except (OSError, UnicodeDecodeError) as err:
        raise FileError(f"{path}: {getattr(err, 'strerror', None) or 'not UTF-8'}") from None
