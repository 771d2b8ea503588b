"""`scale capacity`: what each role would spend at a topology's sizes, worked out from measured slopes."""

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
    help="Further slopes beside the first, such as those with a feature on; LABEL in place of the file's.",
)
@click.option("--program", multiple=True, metavar="LABEL", help="Only these programs, in this order.")
@click.option(
    "--write", type=click.Path(), metavar="PAGE.md", help="Put the tables between the page's markers."
)
def command(
    slopes: str, topology: str, also: tuple[str, ...], program: tuple[str, ...], write: str | None
) -> int:
    """Prints the capacity tables as Markdown: the same input gives the same text."""
    from ..scale import capacity_page
    from ..scale import topology as topologies

    try:
        fleet = topologies.load(topology)
        found = _programs([("", slopes), *(_labelled(text) for text in also)], program)
        text = capacity_page.tables(found, fleet)
        if write is None:
            click.echo(text, nl=False)
        else:
            _write(write, text)
    except (FileError, capacity_page.PageError) as err:
        raise BadInputError(str(err)) from None
    return 0


def _labelled(text: str) -> tuple[str, str]:
    label, sign, path = text.partition("=")
    return (label, path) if sign else ("", text)


def _programs(files: list[tuple[str, str]], wanted: tuple[str, ...]):
    """The programs of all files in their order. FileError where a label is there twice, or not at all."""
    from ..scale.capacity import Measured

    found: dict[str, Measured] = {}
    for label, path in files:
        result = _read(path, label)
        measured = {s.program for s in result.samples}
        for name in [*(n for n in result.commits if n in measured), *sorted(measured - set(result.commits))]:
            if name in found:
                raise FileError(f"{path}: program {name} is there already: --also LABEL={path}")
            found[name] = Measured(result, name)
    unknown = next((name for name in wanted if name not in found), None)
    if unknown is not None:
        raise FileError(f"--program {unknown}: there are {', '.join(found)}")
    return [found[name] for name in wanted or found]


def _read(path: str, label: str):
    """A file's result, under that label if one is given."""
    import msgspec

    from ..scale import records

    result = records.read(path)
    if not result.samples:
        raise FileError(f"{path}: $.samples: there are none")
    if not label:
        return result
    names = sorted({s.program for s in result.samples})
    if len(names) > 1:
        raise FileError(f"{path}: {len(names)} programs, but one label {label}")
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
