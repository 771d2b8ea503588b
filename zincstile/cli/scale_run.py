"""`scale run`: a day in short, real gateways in a crowd of hollow ones."""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

import click

from ..serialization.errors import FileError
from .errors import BadInputError
from .scale_fleet import TARGET, fleet, sizes

PLAN = "deploy/scale/day.yaml"
INTERRUPTED = 130


@click.command("run")
@click.argument("path", metavar="[TOPOLOGY]", default=TARGET, type=click.Path())
@click.option("--plan", "plan_path", default=PLAN, show_default=True, type=click.Path(), help="The day.")
@sizes
@click.option(
    "--feature",
    "features",
    multiple=True,
    metavar="NAME=FILE",
    help="A file under deploy/ that every gateway is configured with.",
)
@click.option("--out", type=click.Path(dir_okay=False), help="Write the result as JSON.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep configurations and logs in this folder.")
def command(
    path: str,
    plan_path: str,
    factor: str,
    features: tuple[str, ...],
    out: str | None,
    keep: str | None,
    **given: float | None,
) -> int:
    """Plays the events of a plan and judges what was seen.

    Exit 1 where a verdict broke or the gateways did not start. Interrupted, it ends all that it started,
    keeps what it measured and exits with 130."""
    from ..scale import day, outcome, report, slopes

    chosen = fleet(path, factor, given)
    try:
        plan, result = prepare(chosen, path, plan_path, factor, features)
        if out is not None:
            outcome.write(result, out)  # a path that can't be written is reported now
    except FileError as err:
        raise BadInputError(str(err)) from None
    with tempfile.TemporaryDirectory(prefix="zincstile-day-", ignore_cleanup_errors=True) as scratch:
        folder = Path(keep or scratch).resolve()
        try:
            folder.mkdir(parents=True, exist_ok=True)
            files = {name: str(slopes.ROOT / file) for name, file in result.features.items()}
            one = day.Day(chosen, plan, folder, result, progress, features=files)
            finished = day.play(one)
        except day.NotReadyError as err:
            print(f"zincstile: broken: {err}", file=sys.stderr)
            return 1
        except OSError as err:
            raise BadInputError(f"{plan_path}: can't be played here: {err}") from None
        finally:
            result.notes += [note for note in [report.loaded_beside_unloaded(result)] if note]
            if out is not None:
                outcome.write(result, out)
    if sys.stderr.isatty():
        print(file=sys.stderr)
    click.echo(report.text(result), nl=False)
    if not finished:
        print("zincstile: interrupted", file=sys.stderr)
        return INTERRUPTED
    return 0 if result.ok else 1


def prepare(chosen, path: str, plan_path: str, factor: str, features: tuple[str, ...] = ()):
    """The plan, and the result before anything is measured. FileError; BadInputError where it doesn't fit the
    machine."""
    from ..scale import estimate, outcome, slopes
    from ..scale import plan as plans

    plan = plans.load(plan_path, chosen)
    tree = slopes.this_tree()
    named = [slopes.feature(text, [tree]) for text in features]
    needed = estimate.estimate(chosen, plan)
    why = estimate.refused(needed)
    if why is not None:
        raise BadInputError(f"{path}: {why}")
    result = outcome.DayResult(
        commit=slopes.commit(slopes.ROOT),
        machine=slopes.machine(),
        started_unix_s=round(time.time(), 3),
        topology=path,
        factor=factor,
        sizes={
            "gateways": chosen.gateways,
            "real": plan.real.loaded + plan.real.unloaded,
            "backends": chosen.backends,
            "services": chosen.services.count,
            "requests_per_s": round(chosen.requests_of_gateway() * plan.real.loaded, 1),
        },
        plan=plan_path,
        events=[plans.text(event) for event in plan.events],
        estimated_bytes=needed.memory_bytes,
        estimated_rest_cores=round(needed.rest_cores, 2),
        features={one.name: one.path for one in named},
        processes=needed.processes,
    )
    return plan, result


def progress(at_s: float, of_s: float, what: str) -> None:
    """A line that is written over, on a terminal only."""
    if sys.stderr.isatty():
        print(f"\r{at_s:.0f} of {of_s:.0f} s: {what[:80]:<80}", end="", file=sys.stderr, flush=True)
