"""`sim`: simulations by seed, on virtual time."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from ..checkers.rules import RULE_NAMES
from ..serialization.errors import FileError
from ..simulation import plan as plans
from ..simulation.plan import Plan
from .errors import BadInputError
from .options import JOBS, SEEDS, seed_range


@click.group("sim")
def command() -> None:
    """Real gateways on a virtual clock and network, with faults by seed and the rules checked at every
    step."""


def _plan(seed: int | None, path: str | None) -> Plan:
    if path is None and seed is None:
        raise BadInputError("sim: give --seed N or --plan FILE")
    if path is None:
        return plans.draw(seed)
    try:
        plan = plans.load(path)
    except FileError as err:
        raise BadInputError(str(err)) from None
    if seed is not None:
        plan.seed = seed
    return plan


def _rules(names: tuple[str, ...]) -> tuple[str, ...]:
    """The rules to look at; all where none is named."""
    for name in names:
        if name not in RULE_NAMES:
            raise BadInputError(f"--rule {name}: no such rule; there are {', '.join(RULE_NAMES)}")
    return names or RULE_NAMES


RULE = click.option("--rule", "rules", multiple=True, metavar="NAME", help="Look at this rule only.")


def _progress(done: int, of: int) -> None:
    """Now and then, beside what the command prints."""
    if done % 50 == 0:
        print(f"{done} of {of}", file=sys.stderr, flush=True)


@command.command("run")
@click.option("--seed", type=click.IntRange(min=0), help="The simulation to play.")
@click.option("--plan", "path", type=click.Path(), help="A plan in YAML in place of the drawn one.")
@click.option(
    "--trace", type=click.Path(dir_okay=False), help="Write a line for all that crosses the network."
)
@click.option("--logs", is_flag=True, help="Print the gateways' logs.")
@RULE
def run(seed: int | None, path: str | None, trace: str | None, logs: bool, rules: tuple[str, ...]) -> int:
    """Plays one simulation; exit 1 where a rule is broken."""
    from ..simulation.run import Run

    plan = _plan(seed, path)
    simulation = Run(plan, keep_trace=trace is not None, rules=_rules(rules))
    result = simulation.play()
    if trace is not None:
        try:
            Path(trace).write_text("\n".join([*simulation.network.trace, ""]), encoding="utf-8")
        except OSError as err:
            raise BadInputError(f"{trace}: {err.strerror}") from None
    if logs:
        sys.stdout.writelines(simulation.logs)
    kinds = ", ".join(f"{k} {n}" for k, n in sorted(result.tally.items()))
    click.echo(
        f"{result.seconds:.1f} virtual seconds, {len(plan.faults)} faults, {result.attempts} tries, "
        f"requests: {kinds}"
    )
    if result.breach is not None:
        click.echo(result.breach.text)
        for line in result.breach.history:
            click.echo(f"  {line}")
    click.echo(result.line())
    return 1 if result.breach is not None else 0


@command.command("plan")
@click.option("--seed", type=click.IntRange(min=0), required=True)
def show(seed: int) -> None:
    """Prints the plan of a seed, in the form that --plan takes."""
    click.echo(plans.dump(plans.draw(seed)), nl=False)


@command.command("sweep")
@SEEDS
@JOBS
@RULE
def sweep(span: str, jobs: int, rules: tuple[str, ...]) -> int:
    """Plays many simulations over many processes; exit 1 where any breaks a rule."""
    from ..simulation.sweep import digest_of, play_all

    chosen, looked_at, began, last = seed_range(span), _rules(rules), time.monotonic(), 0.0
    done, broken = [], []
    for result in play_all(chosen, jobs, looked_at):
        done.append(result)
        if result.breach is not None:
            broken.append(result)
        now = time.monotonic()
        if now - last > 2:
            last = now
            print(f"{len(done)} of {len(chosen)} seeds, {len(broken)} broken", file=sys.stderr, flush=True)
    for result in broken:
        click.echo(f"{result.line()}: {result.breach.text}")
        click.echo(f"  replay: python -m zincstile sim run --seed {result.seed}")
    requests = sum(r.requests for r in done)
    click.echo(
        f"{requests / len(done):.0f} requests, {sum(r.faults for r in done) / len(done):.1f} faults, "
        f"{sum(r.seconds for r in done) / len(done):.1f} virtual seconds and "
        f"{sum(r.steps for r in done) / len(done):.0f} steps a seed"
    )
    click.echo(
        f"sweep seeds={len(done)} ok={len(done) - len(broken)} broken={len(broken)} "
        f"seconds={time.monotonic() - began:.1f} digest={digest_of(done)}"
    )
    return 1 if broken else 0


@command.command("shrink")
@click.option("--seed", type=click.IntRange(min=0))
@click.option("--plan", "path", type=click.Path())
@click.option("--out", required=True, type=click.Path(dir_okay=False), help="Where the smallest plan goes.")
@click.option("--runs", type=click.IntRange(1), default=600, show_default=True, help="Runs at most.")
@RULE
def shrink(seed: int | None, path: str | None, out: str, runs: int, rules: tuple[str, ...]) -> int:
    """Makes a failing plan as small as it still breaks the same rule."""
    from ..simulation.shrink import shrink_plan

    plan = _plan(seed, path)
    found = shrink_plan(plan, runs, lambda text: print(text, file=sys.stderr, flush=True), _rules(rules))
    if found is None:
        raise BadInputError(f"seed {plan.seed}: no rule is broken, there is nothing to shrink")
    try:
        Path(out).write_text(plans.dump(found.plan), encoding="utf-8")
    except OSError as err:
        raise BadInputError(f"{out}: {err.strerror}") from None
    wanted = found.plan.requests if found.plan.only is None else len(found.plan.only)
    click.echo(
        f"{len(plan.faults)} faults and {plan.requests} requests came down to "
        f"{len(found.plan.faults)} and {wanted} in {found.runs} runs"
    )
    click.echo(found.result.line())
    return 0


@command.command("mutants")
@click.option(
    "--seeds",
    "most",
    type=click.IntRange(1),
    default=500,
    show_default=True,
    help="Seeds to try for each at most.",
)
@JOBS
@click.option("--only", multiple=True, help="Names of those to try.")
@click.option("--shared", "of_shared", is_flag=True, help="Those of the shared state.")
@click.option("--place", "of_place", is_flag=True, help="Those of starts and of the choice of zones.")
def mutants(most: int, jobs: int, only: tuple[str, ...], of_shared: bool, of_place: bool) -> int:
    """Breaks the gateway on purpose, one way after another: how many seeds until the right rule names it?"""
    if of_shared or of_place:
        from ..simulation import mutants_place, mutants_shared

        return _mutants_by_checkers(mutants_shared if of_shared else mutants_place, jobs, only)
    from ..simulation import mutants as them

    unknown = set(only) - them.MUTANTS.keys()
    if unknown:
        raise BadInputError(
            f"--only {sorted(unknown)[0]}: no such mutant; there are {', '.join(them.MUTANTS)}"
        )
    missed = 0
    for row in them.try_all(only or tuple(them.MUTANTS), most, jobs):
        missed += row.seeds is None
        click.echo(
            f"{row.name:24} {row.rule or '-':10} "
            f"{'not named in ' + str(most) if row.seeds is None else row.seeds}"
        )
    click.echo(f"mutants={len(only or them.MUTANTS)} missed={missed}")
    return 1 if missed else 0


def _mutants_by_checkers(them: Any, jobs: int, only: tuple[str, ...]) -> int:
    unknown = set(only) - them.MUTANTS.keys()
    if unknown:
        raise BadInputError(
            f"--only {sorted(unknown)[0]}: no such mutant; there are {', '.join(them.MUTANTS)}"
        )
    missed = 0
    for name, said in them.try_all(only or tuple(them.MUTANTS), jobs):
        missed += not said
        click.echo(f"{name:24} {said or 'not named'}")
    click.echo(f"mutants={len(only or them.MUTANTS)} missed={missed}")
    return 1 if missed else 0


@command.command("search")
@click.option("--depth", type=click.IntRange(1, 12), default=5, show_default=True)
@JOBS
def search(depth: int, jobs: int) -> int:
    """Leases between three gateways in every order: messages delivered, lost and doubled, crashes, stops;
    exit 1 where a quota is passed."""
    from ..simulation import search as them

    rows: dict[str, list[them.SearchResult]] = {}
    for found in them.search_all(depth, jobs):
        rows.setdefault(found.opening, []).append(found)
        if found.violation:
            click.echo(f"{found.opening}: {found.violation}")
    for name in them.OPENINGS:
        mine = rows[name]
        click.echo(
            f"{name:36}{sum(f.states for f in mine):10} states"
            f"{sum(f.steps for f in mine):11} steps{max(f.max_overshoot for f in mine):8.2f} units"
            f"{max(f.bound_ratio for f in mine):6.2f} of the bound"
        )
    every = [f for mine in rows.values() for f in mine]
    broken = sum(bool(f.violation) for f in every)
    click.echo(
        f"search depth={depth} states={sum(f.states for f in every)} "
        f"steps={sum(f.steps for f in every)} broken={broken}"
    )
    return 1 if broken else 0


def _played(
    them: Any, chosen: range, *words: Any, title: Callable[[Any], str] = lambda row: f"seed {row.seed}"
) -> tuple[list[Any], int]:
    """Many simulations of a kind, with their table; the rows, and how many of them broke a rule."""
    rows = []
    for row in them.play_all(chosen, *words):
        rows.append(row)
        if row.violation:
            click.echo(f"{title(row)}: {row.violation}")
        _progress(len(rows), len(chosen))
    click.echo(them.table(rows))
    return rows, sum(bool(row.violation) for row in rows)


@command.command("shared")
@SEEDS
@click.option("--gateways", type=click.IntRange(2, 64), default=4, show_default=True)
@click.option("--seconds", type=click.IntRange(4, 60), default=8, show_default=True, help="Of load.")
@click.option("--gossip", is_flag=True, help="By the gossip's shares, which state no bound, in its place.")
@JOBS
def shared(span: str, gateways: int, seconds: int, gossip: bool, jobs: int) -> int:
    """Whole gateways while a part of them hears nothing: what goes out beyond quotas beside the stated bound;
    exit 1 where a rule is broken."""
    from ..simulation import shared_trials as them

    simulations = gateways, 1000 * seconds, gossip, jobs
    rows, broken = _played(
        them, seed_range(span), *simulations, title=lambda row: f"{row.failure} seed {row.seed}"
    )
    click.echo(f"shared simulations={len(rows)} broken={broken}")
    return 1 if broken else 0


@command.command("starts")
@SEEDS
@click.option("--gateways", type=click.IntRange(2, 64), default=8, show_default=True)
@click.option("--plain", is_flag=True, help="As without features.start.")
@JOBS
def starts(span: str, gateways: int, plain: bool, jobs: int) -> int:
    """Whole fleets killed and started anew with a list service that has to be asked: when all are ready,
    what the service and the boxes get; exit 1 where a rule is broken or a gateway is never ready."""
    from ..simulation import starts as them

    rows, broken = _played(them, seed_range(span), gateways, not plain, jobs)
    late = sum(row.ready_s < 0 for row in rows)
    click.echo(f"starts simulations={len(rows)} broken={broken} never_ready={late}")
    return 1 if broken or late else 0


@command.command("places")
@SEEDS
@click.option("--gateways", type=click.IntRange(3, 64), default=9, show_default=True)
@click.option("--plain", is_flag=True, help="As without features.place.")
@JOBS
def places(span: str, gateways: int, plain: bool, jobs: int) -> int:
    """Whole gateways in three zones, one of which is in trouble: what is served, what crosses zones, how
    often the table changes; exit 1 where a rule is broken."""
    from ..simulation import places as them

    rows, broken = _played(them, seed_range(span), gateways, not plain, jobs)
    click.echo(f"places simulations={len(rows)} broken={broken}")
    return 1 if broken else 0


@command.command("place-model")
@click.option(
    "--gateways",
    "sizes",
    multiple=True,
    type=click.IntRange(2, 1000),
    default=(9, 50, 200),
    show_default=True,
)
@click.option("--zones", type=click.IntRange(1, 13), default=12, show_default=True)
@click.option("--regions", type=click.IntRange(1, 13), default=4, show_default=True)
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True)
def place_model(sizes: tuple[int, ...], zones: int, regions: int, seed: int) -> int:
    """A zone is lost and comes back, for any number of gateways, by the pure modules alone; exit 1 where it
    is never left, never got back, or tables differ."""
    from ..simulation import place_model as them

    rows = [them.Model(n, zones, min(regions, zones), seed).play() for n in sizes]
    click.echo(them.table(rows))
    return 1 if any(r.conflicting_generations or min(r.evacuated_s, r.restored_s) < 0 for r in rows) else 0


@command.command("place-search")
@click.option("--depth", type=click.IntRange(1, 8), default=3, show_default=True)
@JOBS
def place_search(depth: int, jobs: int) -> int:
    """Agreement on a table in every order, a few gateways; exit 1 where two hold a term at once, tables
    of one generation differ, or one is not settled on."""
    from ..simulation import place_search as them

    found = list(them.search_all(depth, jobs))
    for one in sorted(found, key=lambda f: f.case):
        click.echo(
            f"{one.case:40}{one.states:10} states{one.steps:11} steps{one.tables:5} tables"
            + (f"  broken: {one.violation}" if one.violation else "")
        )
    broken = sum(bool(one.violation) for one in found)
    click.echo(
        f"place-search depth={depth} states={sum(f.states for f in found)} "
        f"steps={sum(f.steps for f in found)} broken={broken}"
    )
    return 1 if broken else 0


@command.command("start-model")
@click.option(
    "--gateways",
    "sizes",
    multiple=True,
    type=click.IntRange(1, 20_000),
    default=(100, 1000),
    show_default=True,
)
@click.option(
    "--alive",
    type=click.FloatRange(0, 0.95),
    default=0.0,
    show_default=True,
    help="Part that runs and has the list.",
)
@click.option("--lines", type=click.IntRange(1, 5000), default=200, show_default=True, help="Of the list.")
@click.option("--lists-per-s", "per_s", type=click.FloatRange(0.1, 1e6), default=20.0, show_default=True)
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True)
@click.option("--alone", is_flag=True, help="Without lists from peers.")
def start_model(
    sizes: tuple[int, ...], alive: float, lines: int, per_s: float, seed: int, alone: bool
) -> int:
    """A cold start of any number of gateways by the pure modules alone; exit 1 where one is never ready."""
    from ..cold_start.settings import ColdStartSettings
    from ..simulation import start_model as them

    settings = ColdStartSettings(use_peer_lists=not alone)
    rows = [them.Model(n, int(n * alive), lines, per_s, seed, settings=settings).play() for n in sizes]
    click.echo(them.table(rows))
    return 0 if all(r.all_s >= 0 for r in rows) else 1


@command.command("keeper")
@SEEDS
@click.option("--gateways", type=click.IntRange(2, 20), default=3, show_default=True)
@JOBS
def keeper(span: str, gateways: int, jobs: int) -> int:
    """Accounts against a quota service that fails: overshoot beside its bound; exit 1 where one is passed."""
    from ..simulation import trial

    chosen, passed = seed_range(span), 0
    click.echo(
        f"{'failure':14}{'worst units':>12}{'of its bound':>14}{'of a minute':>13}{'sent':>7}"
        f"{'calls/try':>11}"
    )
    for name, rows in trial.run_failures(chosen, gateways, jobs):
        over = [row for row in rows if row.overshoot > row.bound + 1e-6]
        passed += len(over)
        near = max(row.overshoot / max(row.bound, 1e-9) for row in rows)
        click.echo(
            f"{name:14}{max(row.overshoot for row in rows):12.2f}{near:14.2f}"
            f"{100 * max(row.minute_ratio for row in rows):12.2f}%"
            f"{sum(row.served_ratio for row in rows) / len(rows):7.2f}"
            f"{sum(row.calls_per_attempt for row in rows) / len(rows):11.2f}"
        )
        for row in over[:3]:
            click.echo(f"  seed {row.seed}: {row.overshoot:.2f} units, over its bound of {row.bound:.2f}")
    click.echo(f"trials={len(chosen) * len(trial.FAILURES)} over={passed}")
    return 1 if passed else 0
