"""`testbed`: several real gateway processes on loopback, with injected faults."""

from __future__ import annotations

import os
import sys
import tempfile
import time
from pathlib import Path

import click

from ..serialization.errors import FileError
from ..simulation import plan as plans
from ..simulation.plan import Plan
from .errors import BadInputError
from .options import SEEDS, seed_range


@click.group("testbed")
def command() -> None:
    """Plays faults on real gateway processes on loopback, and checks the rules."""


def load(path: str, seed: int | None) -> Plan:
    """Loads a plan. Raises BadInputError if it is invalid or too large for real processes."""
    from ..testbed import places

    try:
        plan = plans.load(path)
    except FileError as err:
        raise BadInputError(str(err)) from None
    for field in ("gateways", "boxes"):
        if getattr(plan, field) > places.MAX_NUMBER:
            raise BadInputError(f"{path}: $.{field}: must be at most {places.MAX_NUMBER}")
    if seed is not None:
        plan.seed = seed
    return plan


def _plan(path: str | None, seed: int | None, gateways: int | None) -> Plan:
    """The plan in a file, or the soak plan of a seed. Raises BadInputError unless exactly one is given."""
    from ..simulation import soak

    if (path is None) == (gateways is None):
        raise BadInputError("testbed run: give either PLAN.yaml, or --soak GATEWAYS with --seed")
    return load(path, seed) if path is not None else soak.draw(1 if seed is None else seed, gateways)


@command.command("run")
@click.argument("plan_file", metavar="PLAN.yaml", type=click.Path(), required=False)
@click.option("--seed", type=click.IntRange(min=0), help="Replaces the seed in the plan.")
@click.option(
    "--soak",
    "gateways",
    type=click.IntRange(2, 64),
    help="Play the soak plan of this many gateways; without PLAN.yaml.",
)
@click.option(
    "--feature",
    "features",
    multiple=True,
    metavar="NAME=FILE",
    help="Feature settings for every gateway: a file under deploy/.",
)
@click.option("--out", type=click.Path(dir_okay=False), help="Write the result as JSON.")
@click.option(
    "--report", "report_path", type=click.Path(dir_okay=False), help="Write a report page with charts."
)
@click.option("--keep", type=click.Path(file_okay=False), help="Keep configurations and logs in this folder.")
def run(
    plan_file: str | None,
    seed: int | None,
    gateways: int | None,
    features: tuple[str, ...],
    out: str | None,
    report_path: str | None,
    keep: str | None,
) -> int:
    """Plays one plan. Exit code 1 if a rule is broken."""
    from ..testbed import report as pages
    from ..testbed import result as results
    from ..testbed import sweep as sweeps
    from ..testbed.places import AddressError
    from ..testbed.run import NotReadyError

    plan = _plan(plan_file, seed, gateways)
    try:
        with tempfile.TemporaryDirectory(prefix="zincstile-testbed-") as folder:
            if keep is not None:
                Path(keep).mkdir(parents=True, exist_ok=True)
            name, files = Path(plan_file or "soak").stem, sweeps.parse_features(features)
            result = sweeps.play_plan(plan, Path(keep or folder), name, files)
        if out is not None:
            results.write(result, Path(out))
        if report_path is not None:
            pages.write([(result.plan, result)], Path(report_path))
    except (FileError, AddressError, NotReadyError) as err:
        raise BadInputError(f"testbed: {err}") from None
    for row in result.plans:
        click.echo(
            f"plan {row.plan}: {row.worst:.2f} units beyond a quota at most, stated {row.bound:.2f}; "
            f"sent {row.sent:.0f}, one all-seeing store {row.best:.0f}"
        )
    for breach in result.breaches:
        click.echo(f"broken rule={breach.rule} t={breach.at_s:.3f}: {breach.text}")
        for line in breach.history:
            click.echo(f"  {line}")
    tally = ", ".join(f"{k} {n}" for k, n in sorted(result.tally.items()))
    click.echo(f"{result.gateways} processes, {result.seconds:.1f} s, {len(result.faults)} faults: {tally}")
    click.echo(result.line())
    return 0 if result.ok else 1


@command.command("sweep")
@SEEDS
@click.option("--gateways", type=click.IntRange(2, 64), default=8, show_default=True)
@click.option("--kind", "kinds", multiple=True, help="Play only this failure; default: all.")
@click.option("--zones", is_flag=True, help="Play failures of zones, with features.place unless --gossip.")
@click.option("--soak", "is_soak", is_flag=True, help="Play two or three failures of any kind at once.")
@click.option(
    "--jobs",
    type=click.IntRange(1, 64),
    default=max(1, (os.cpu_count() or 2) // 4),
    show_default=True,
    help="Runs at the same time.",
)
@click.option("--feature", "features", multiple=True, metavar="NAME=FILE")
@click.option("--gossip", is_flag=True, help="Divide quotas by gossip, which has no stated bound.")
@click.option("--out", type=click.Path(file_okay=False), help="Write each result to this folder.")
def sweep(
    seed_text: str,
    gateways: int,
    kinds: tuple[str, ...],
    zones: bool,
    is_soak: bool,
    jobs: int,
    features: tuple[str, ...],
    gossip: bool,
    out: str | None,
) -> int:
    """Plays many plans drawn from seeds. Exit code 1 if any run breaks a rule."""
    from ..simulation import places, shared, soak
    from ..testbed import result as results
    from ..testbed import sweep as sweeps

    known = (soak.KIND,) if is_soak else places.KINDS if zones else shared.FAILURES
    for kind in kinds:
        if kind not in known:
            raise BadInputError(f"--kind {kind}: no such failure; there are {', '.join(known)}")
    chosen, began, finished = seed_range(seed_text), time.monotonic(), []
    try:
        files = sweeps.parse_features(features)
        if out is not None:
            Path(out).mkdir(parents=True, exist_ok=True)
        for result in sweeps.play_many(chosen, gateways, kinds or known, jobs, files, gossip):
            finished.append(result)
            if out is not None:
                results.write(result, Path(out) / f"{result.plan.replace(' ', '-')}-{result.seed}.json")
            if not result.ok:
                click.echo(f"{result.plan}: {result.line()}: {result.breaches[0].text}")
                for fault in result.faults if is_soak else ():
                    click.echo(f"  {fault}")
            print(f"{len(finished)} of {len(chosen)}", file=sys.stderr, flush=True)
    except FileError as err:
        raise BadInputError(f"testbed: {err}") from None
    click.echo(sweeps.table(finished))
    broken = sum(not r.ok for r in finished)
    click.echo(
        f"testbed sweep runs={len(finished)} ok={len(finished) - broken} broken={broken} "
        f"seconds={time.monotonic() - began:.0f}"
    )
    return 1 if broken else 0


@command.command("start")
@click.option("--gateways", type=click.IntRange(1, 250), default=24, show_default=True)
@click.option(
    "--boxes", type=click.IntRange(1, 250), default=24, show_default=True, help="Endpoints in the list."
)
@click.option("--lists-per-s", "per_s", type=click.FloatRange(0.1, 1e6), default=20.0, show_default=True)
@click.option("--wave", "waves", multiple=True, help="Wave of starts to play; default: all.")
@click.option(
    "--patience",
    type=click.FloatRange(1, 600),
    default=60.0,
    show_default=True,
    help="Seconds until a wave has failed.",
)
@click.option(
    "--slower-after",
    "slows_after_calls",
    type=click.IntRange(0),
    default=0,
    help="Calls after which the service is half as fast.",
)
@click.option("--resets-every", type=click.IntRange(0), default=0, help="Reset every Nth call.")
@click.option(
    "--halves-every",
    "truncates_every",
    type=click.IntRange(0),
    default=0,
    help="Stall in the middle of every Nth answer.",
)
@click.option(
    "--older-every",
    "stale_every",
    type=click.IntRange(0),
    default=0,
    help="Send an older list every Nth time.",
)
@click.option(
    "--places",
    "queue_capacity",
    type=click.IntRange(1),
    default=100_000,
    help="Maximum of waiting callers; further ones get 503.",
)
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True)
@click.option("--feature", "features", multiple=True, metavar="NAME=FILE")
def start(
    gateways: int,
    boxes: int,
    per_s: float,
    waves: tuple[str, ...],
    patience: float,
    seed: int,
    features: tuple[str, ...],
    **behaviour: int,
) -> int:
    """Cold starts of real processes that poll a list service. Exit code 1 if a gateway is late."""
    from ..emulators.list_service import ListServiceBehaviour
    from ..testbed import start as starts
    from ..testbed import sweep as sweeps
    from ..testbed.places import AddressError
    from ..testbed.run import NotReadyError

    for wave in waves:
        if wave not in starts.WAVES:
            raise BadInputError(f"--wave {wave}: no such wave; there are {', '.join(starts.WAVES)}")
    plan = Plan(
        seed=seed, gateways=gateways, boxes=boxes, requests=0, asked=True, lists_per_s=per_s, one_address=True
    )
    try:
        with tempfile.TemporaryDirectory(prefix="zincstile-start-") as folder:
            names = list(waves or starts.WAVES)
            outcomes = starts.play(
                plan,
                Path(folder),
                ListServiceBehaviour(per_s, **behaviour),
                names,
                patience,
                sweeps.parse_features(features),
            )
    except FileError as err:
        raise BadInputError(f"testbed: {err}") from None
    except (AddressError, NotReadyError, OSError) as err:
        raise BadInputError(f"testbed: {err}") from None
    click.echo(starts.table(outcomes))
    return 0 if all(r.ready == r.gateways for r in outcomes) else 1


@command.command("report")
@click.argument("files", metavar="RESULT.json...", nargs=-1, required=True, type=click.Path())
@click.option("--out", required=True, type=click.Path(dir_okay=False), help="Write the page to this file.")
def report(files: tuple[str, ...], out: str) -> int:
    """Writes a report page of one result, or of several side by side."""
    from ..testbed import report as pages
    from ..testbed import result as results

    try:
        pages.write([(Path(f).stem, results.read(f)) for f in files], Path(out))
    except FileError as err:
        raise BadInputError(str(err)) from None
    click.echo(f"{len(files)} results in {out}")
    return 0
