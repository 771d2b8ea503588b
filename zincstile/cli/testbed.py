"""The command `testbed`: runs of several real processes on loopback, with faults between them."""

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
    """Runs real processes on loopback with faults between them, and checks the rules."""


def load(path: str, seed: int | None) -> Plan:
    """Reads a plan that real processes can play. Raises BadInputError if it is not one."""
    from ..testbed import places

    try:
        plan = plans.load(path)
    except FileError as err:
        raise BadInputError(str(err)) from None
    for name in ("gateways", "boxes"):
        if getattr(plan, name) > places.MAX_NUMBER:
            raise BadInputError(f"{path}: $.{name}: {places.MAX_NUMBER} at most")
    if seed is not None:
        plan.seed = seed
    return plan


def _plan(path: str | None, seed: int | None, gateways: int | None) -> Plan:
    """Returns the plan of a file, or a drawn soak. Raises BadInputError unless exactly one is given."""
    from ..simulation import soak

    if (path is None) == (gateways is None):
        raise BadInputError("testbed run: give either PLAN.yaml or --soak GATEWAYS with --seed")
    return load(path, seed) if path is not None else soak.draw(seed or 1, gateways)


@command.command("run")
@click.argument("plan_file", metavar="PLAN.yaml", type=click.Path(), required=False)
@click.option("--seed", type=click.IntRange(min=0), help="Replaces the seed of the plan.")
@click.option("--soak", "gateways", type=click.IntRange(2, 64), help="Draw a soak with this many gateways.")
@click.option(
    "--feature",
    "features",
    multiple=True,
    metavar="NAME=FILE",
    help="A feature file, as under deploy/, for every gateway.",
)
@click.option("--out", type=click.Path(dir_okay=False), help="Write the result as JSON.")
@click.option("--report", "page", type=click.Path(dir_okay=False), help="Write a page with charts.")
@click.option("--keep", type=click.Path(file_okay=False), help="Keep configurations and logs in this folder.")
def run(
    plan_file: str | None,
    seed: int | None,
    gateways: int | None,
    features: tuple[str, ...],
    out: str | None,
    page: str | None,
    keep: str | None,
) -> int:
    """Plays one plan; exits with 1 if a rule is broken."""
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
            found = sweeps.play_plan(plan, Path(keep or folder), name, files)
        if out is not None:
            results.write(found, Path(out))
        if page is not None:
            pages.write([(found.plan, found)], Path(page))
    except (FileError, AddressError, NotReadyError) as err:
        raise BadInputError(f"testbed: {err}") from None
    for row in found.plans:
        click.echo(
            f"plan {row.plan}: {row.worst:.2f} units beyond a quota at most, stated {row.bound:.2f}; "
            f"sent {row.sent:.0f}, one all-seeing store {row.best:.0f}"
        )
    for breach in found.breaches:
        click.echo(f"broken rule={breach.rule} t={breach.at_s:.3f}: {breach.text}")
        for line in breach.history:
            click.echo(f"  {line}")
    kinds = ", ".join(f"{k} {n}" for k, n in sorted(found.tally.items()))
    click.echo(f"{found.gateways} processes, {found.seconds:.1f} s, {len(found.faults)} faults: {kinds}")
    click.echo(found.line())
    return 0 if found.ok else 1


@command.command("sweep")
@SEEDS
@click.option("--gateways", type=click.IntRange(2, 64), default=8, show_default=True)
@click.option("--kind", "kinds", multiple=True, help="Only these kinds of failure; default: all.")
@click.option("--zones", is_flag=True, help="Failures of zones, with features.place unless --gossip.")
@click.option("--soak", "soaked", is_flag=True, help="Two or three failures of any kinds at once.")
@click.option(
    "--jobs",
    type=click.IntRange(1, 64),
    default=max(1, (os.cpu_count() or 2) // 4),
    show_default=True,
    help="Parallel runs.",
)
@click.option("--feature", "features", multiple=True, metavar="NAME=FILE")
@click.option("--gossip", is_flag=True, help="Use gossip shares, which have no stated bound.")
@click.option("--out", type=click.Path(file_okay=False), help="Write each result into this folder.")
def sweep(
    span: str,
    gateways: int,
    kinds: tuple[str, ...],
    zones: bool,
    soaked: bool,
    jobs: int,
    features: tuple[str, ...],
    gossip: bool,
    out: str | None,
) -> int:
    """Plays many runs with drawn failures; exits with 1 if any breaks a rule."""
    from ..simulation import places, shared, soak
    from ..testbed import result as results
    from ..testbed import sweep as sweeps

    known = (soak.KIND,) if soaked else places.KINDS if zones else shared.FAILURES
    for kind in kinds:
        if kind not in known:
            raise BadInputError(f"--kind {kind}: no such failure; there are {', '.join(known)}")
    chosen, began, done = seed_range(span), time.monotonic(), []
    try:
        files = sweeps.parse_features(features)
        if out is not None:
            Path(out).mkdir(parents=True, exist_ok=True)
        for found in sweeps.play_many(chosen, gateways, kinds or known, jobs, files, gossip):
            done.append(found)
            if out is not None:
                results.write(found, Path(out) / f"{found.plan.replace(' ', '-')}-{found.seed}.json")
            if not found.ok:
                click.echo(f"{found.plan}: {found.line()}: {found.breaches[0].text}")
                for fault in found.faults if soaked else ():
                    click.echo(f"  {fault}")
            print(f"{len(done)} of {len(chosen)}", file=sys.stderr, flush=True)
    except FileError as err:
        raise BadInputError(f"testbed: {err}") from None
    click.echo(sweeps.table(done))
    broken = sum(not r.ok for r in done)
    click.echo(
        f"testbed sweep runs={len(done)} ok={len(done) - broken} broken={broken} "
        f"seconds={time.monotonic() - began:.0f}"
    )
    return 1 if broken else 0


@command.command("start")
@click.option("--gateways", type=click.IntRange(1, 250), default=24, show_default=True)
@click.option(
    "--boxes", type=click.IntRange(1, 250), default=24, show_default=True, help="Backends in the list."
)
@click.option("--lists-per-s", "per_s", type=click.FloatRange(0.1, 1e6), default=20.0, show_default=True)
@click.option("--wave", "waves", multiple=True, help="Only these waves; default: all.")
@click.option(
    "--patience",
    type=click.FloatRange(1, 600),
    default=60.0,
    show_default=True,
    help="Timeout of a wave in seconds.",
)
@click.option(
    "--slower-after",
    "slows_after_calls",
    type=click.IntRange(0),
    default=0,
    help="Halve the speed after this many calls.",
)
@click.option("--resets-every", type=click.IntRange(0), default=0, help="Reset every Nth call.")
@click.option(
    "--halves-every",
    "truncates_every",
    type=click.IntRange(0),
    default=0,
    help="Stall every Nth answer halfway.",
)
@click.option(
    "--older-every",
    "stale_every",
    type=click.IntRange(0),
    default=0,
    help="Serve an older list in every Nth answer.",
)
@click.option(
    "--places",
    "queue_capacity",
    type=click.IntRange(1),
    default=100_000,
    help="Calls that may wait; others get 503.",
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
    **faults: int,
) -> int:
    """Measures cold starts of real processes with a polled list service; exits with 1 if one is late."""
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
            rows = starts.play(
                plan,
                Path(folder),
                ListServiceBehaviour(per_s, **faults),
                names,
                patience,
                sweeps.parse_features(features),
            )
    except FileError as err:
        raise BadInputError(f"testbed: {err}") from None
    except (AddressError, NotReadyError, OSError) as err:
        raise BadInputError(f"testbed: {err}") from None
    click.echo(starts.table(rows))
    return 0 if all(r.ready == r.gateways for r in rows) else 1


@command.command("report")
@click.argument("files", metavar="RESULT.json...", nargs=-1, required=True, type=click.Path())
@click.option("--out", required=True, type=click.Path(dir_okay=False), help="The file of the page.")
def report(files: tuple[str, ...], out: str) -> int:
    """Writes a page on one result, or on several side by side."""
    from ..testbed import report as pages
    from ..testbed import result as results

    try:
        pages.write([(Path(f).stem, results.read(f)) for f in files], Path(out))
    except FileError as err:
        raise BadInputError(str(err)) from None
    click.echo(f"{len(files)} results in {out}")
    return 0
