"""`scale run`: a shortened day, with real gateways among many hollow ones."""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

import click

from ..serialization.errors import FileError
from .errors import BadInputError
from .scale_fleet import DEFAULT_TOPOLOGY, load_fleet, size_options

DEFAULT_PLAN = "deploy/scale/day.yaml"
INTERRUPTED_EXIT_CODE = 130


@click.command("run")
@click.argument("path", metavar="[TOPOLOGY]", default=DEFAULT_TOPOLOGY, type=click.Path())
@click.option(
    "--plan", "plan_path", default=DEFAULT_PLAN, show_default=True, type=click.Path(), help="Plan of the day."
)
@size_options
@click.option(
    "--feature",
    "features",
    multiple=True,
    metavar="NAME=FILE",
    help="Feature settings for every gateway: a file under deploy/.",
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
    **sizes: float | None,
) -> int:
    """Plays the events of a plan and evaluates the checks.

    Exit code 1 if a check failed or the gateways did not start. On an interrupt it ends its processes, keeps
    the results so far and exits with 130."""
    from ..scale import day, outcome, report, slopes

    topology = load_fleet(path, factor, sizes)
    try:
        plan, result = prepare(topology, path, plan_path, factor, features)
        if out is not None:
            outcome.write(result, out)  # reports a path that can't be written before the run
    except FileError as err:
        raise BadInputError(str(err)) from None
    with tempfile.TemporaryDirectory(prefix="zincstile-day-", ignore_cleanup_errors=True) as scratch:
        folder = Path(keep or scratch).resolve()
        try:
            folder.mkdir(parents=True, exist_ok=True)
            files = {name: str(slopes.ROOT / file) for name, file in result.features.items()}
            run = day.Day(topology, plan, folder, result, progress, features=files)
            finished = day.play(run)
        except day.NotReadyError as err:
            print(f"zincstile: scale run: {err}", file=sys.stderr)
            return 1
        except OSError as err:
            raise BadInputError(f"{plan_path}: can't be played on this machine: {err}") from None
        finally:
            result.notes += [note for note in [report.loaded_beside_unloaded(result)] if note]
            if out is not None:
                outcome.write(result, out)
    if sys.stderr.isatty():
        print(file=sys.stderr)
    click.echo(report.text(result), nl=False)
    if not finished:
        print("zincstile: interrupted", file=sys.stderr)
        return INTERRUPTED_EXIT_CODE
    return 0 if result.ok else 1


def prepare(topology, path: str, plan_path: str, factor: str, features: tuple[str, ...] = ()):
    """The plan, and the result before anything is measured.

    Raises FileError for an invalid file, BadInputError if the machine is too small for the plan."""
    from ..scale import estimate, outcome, slopes
    from ..scale import plan as plans

    plan = plans.load(plan_path, topology)
    tree = slopes.this_tree()
    chosen_features = [slopes.feature(text, [tree]) for text in features]
    estimated = estimate.estimate(topology, plan)
    reason = estimate.refused(estimated)
    if reason is not None:
        raise BadInputError(f"{path}: {reason}")
    result = outcome.DayResult(
        commit=slopes.commit(slopes.ROOT),
        machine=slopes.machine(),
        started_unix_s=round(time.time(), 3),
        topology=path,
        factor=factor,
        sizes={
            "gateways": topology.gateways,
            "real": plan.real.loaded + plan.real.unloaded,
            "backends": topology.backends,
            "services": topology.services.count,
            "requests_per_s": round(topology.requests_of_gateway() * plan.real.loaded, 1),
        },
        plan=plan_path,
        events=[plans.text(event) for event in plan.events],
        estimated_bytes=estimated.memory_bytes,
        estimated_rest_cores=round(estimated.rest_cores, 2),
        features={feature.name: feature.path for feature in chosen_features},
        processes=estimated.processes,
    )
    return plan, result


def progress(at_s: float, total_s: float, event: str) -> None:
    """Prints the progress on a line that the next call overwrites, on a terminal only."""
    if sys.stderr.isatty():
        print(f"\r{at_s:.0f} of {total_s:.0f} s: {event[:80]:<80}", end="", file=sys.stderr, flush=True)
