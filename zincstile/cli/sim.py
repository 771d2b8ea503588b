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
    """Runs real gateways on a virtual clock and network, with faults drawn from a seed, and checks the rules
    at every step."""


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
    """The rules to check; all if none is named. Raises BadInputError for an unknown name."""
    for name in names:
        if name not in RULE_NAMES:
            raise BadInputError(f"--rule {name}: no such rule; there are {', '.join(RULE_NAMES)}")
    return names or RULE_NAMES


RULE = click.option("--rule", "rules", multiple=True, metavar="NAME", help="Check only this rule.")


def _progress(done: int, total: int) -> None:
    """Prints the progress to stderr once every 50 simulations."""
    if done % 50 == 0:
        print(f"{done} of {total}", file=sys.stderr, flush=True)


@command.command("run")
@click.option("--seed", type=click.IntRange(min=0), help="Seed of the simulation.")
@click.option(
    "--plan", "path", type=click.Path(), help="Plan in YAML, in place of the one drawn from the seed."
)
@click.option(
    "--trace", type=click.Path(dir_okay=False), help="Write a line for each message on the network."
)
@click.option("--logs", is_flag=True, help="Print the gateways' logs.")
@RULE
def run(seed: int | None, path: str | None, trace: str | None, logs: bool, rules: tuple[str, ...]) -> int:
    """Plays one simulation. Exit code 1 if a rule is broken."""
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
    tally = ", ".join(f"{k} {n}" for k, n in sorted(result.tally.items()))
    click.echo(
        f"{result.seconds:.1f} virtual seconds, {len(plan.faults)} faults, {result.attempts} tries, "
        f"requests: {tally}"
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
    """Prints the plan drawn from a seed, in the format of --plan."""
    click.echo(plans.dump(plans.draw(seed)), nl=False)


@command.command("sweep")
@SEEDS
@JOBS
@RULE
def sweep(seed_text: str, jobs: int, rules: tuple[str, ...]) -> int:
    """Plays many simulations in several processes. Exit code 1 if any breaks a rule."""
    from ..simulation.sweep import digest_of, play_all

    chosen, checked_rules, began, last = seed_range(seed_text), _rules(rules), time.monotonic(), 0.0
    done, broken = [], []
    for result in play_all(chosen, jobs, checked_rules):
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
@click.option(
    "--out", required=True, type=click.Path(dir_okay=False), help="Write the smallest plan to this file."
)
@click.option(
    "--runs", type=click.IntRange(1), default=600, show_default=True, help="Maximum number of runs."
)
@RULE
def shrink(seed: int | None, path: str | None, out: str, runs: int, rules: tuple[str, ...]) -> int:
    """Searches for the smallest plan that still breaks the same rule."""
    from ..simulation.shrink import shrink_plan

    plan = _plan(seed, path)
    result = shrink_plan(plan, runs, lambda text: print(text, file=sys.stderr, flush=True), _rules(rules))
    if result is None:
        raise BadInputError(f"seed {plan.seed}: no rule is broken, so there is nothing to shrink")
    try:
        Path(out).write_text(plans.dump(result.plan), encoding="utf-8")
    except OSError as err:
        raise BadInputError(f"{out}: {err.strerror}") from None
    request_count = result.plan.requests if result.plan.only is None else len(result.plan.only)
    click.echo(
        f"{len(plan.faults)} faults and {plan.requests} requests came down to "
        f"{len(result.plan.faults)} and {request_count} in {result.runs} runs"
    )
    click.echo(result.result.line())
    return 0


@command.command("mutants")
@click.option(
    "--seeds",
    "max_seeds",
    type=click.IntRange(1),
    default=500,
    show_default=True,
    help="Maximum number of seeds per mutant.",
)
@JOBS
@click.option("--only", multiple=True, help="Try only this mutant.")
@click.option("--shared", "of_shared", is_flag=True, help="Try the mutants of the shared state.")
@click.option(
    "--place", "of_place", is_flag=True, help="Try the mutants of cold starts and of the choice of zones."
)
def mutants(max_seeds: int, jobs: int, only: tuple[str, ...], of_shared: bool, of_place: bool) -> int:
    """Counts the seeds that it takes until the right rule detects each injected defect of the gateway."""
    if of_shared or of_place:
        from ..simulation import mutants_place, mutants_shared

        return _mutants_by_checkers(mutants_shared if of_shared else mutants_place, jobs, only)
    from ..simulation import mutants as mutant_module

    unknown = set(only) - mutant_module.MUTANTS.keys()
    if unknown:
        raise BadInputError(
            f"--only {sorted(unknown)[0]}: no such mutant; there are {', '.join(mutant_module.MUTANTS)}"
        )
    missed = 0
    for row in mutant_module.try_all(only or tuple(mutant_module.MUTANTS), max_seeds, jobs):
        missed += row.seeds is None
        click.echo(
            f"{row.name:24} {row.rule or '-':10} "
            f"{'not named in ' + str(max_seeds) if row.seeds is None else row.seeds}"
        )
    click.echo(f"mutants={len(only or mutant_module.MUTANTS)} missed={missed}")
    return 1 if missed else 0


def _mutants_by_checkers(mutant_module: Any, jobs: int, only: tuple[str, ...]) -> int:
    unknown = set(only) - mutant_module.MUTANTS.keys()
    if unknown:
        raise BadInputError(
            f"--only {sorted(unknown)[0]}: no such mutant; there are {', '.join(mutant_module.MUTANTS)}"
        )
    missed = 0
    for name, rule in mutant_module.try_all(only or tuple(mutant_module.MUTANTS), jobs):
        missed += not rule
        click.echo(f"{name:24} {rule or 'not named'}")
    click.echo(f"mutants={len(only or mutant_module.MUTANTS)} missed={missed}")
    return 1 if missed else 0


@command.command("search")
@click.option("--depth", type=click.IntRange(1, 12), default=5, show_default=True)
@JOBS
def search(depth: int, jobs: int) -> int:
    """Searches every order of events of leases between three gateways: messages delivered, lost and
    duplicated, crashes, stops. Exit code 1 if a quota is exceeded."""
    from ..simulation import search as simulation

    rows: dict[str, list[simulation.SearchResult]] = {}
    for result in simulation.search_all(depth, jobs):
        rows.setdefault(result.opening, []).append(result)
        if result.violation:
            click.echo(f"{result.opening}: {result.violation}")
    for name in simulation.OPENINGS:
        results = rows[name]
        click.echo(
            f"{name:36}{sum(f.states for f in results):10} states"
            f"{sum(f.steps for f in results):11} steps{max(f.max_overshoot for f in results):8.2f} units"
            f"{max(f.bound_ratio for f in results):6.2f} of the bound"
        )
    all_results = [f for results in rows.values() for f in results]
    broken = sum(bool(f.violation) for f in all_results)
    click.echo(
        f"search depth={depth} states={sum(f.states for f in all_results)} "
        f"steps={sum(f.steps for f in all_results)} broken={broken}"
    )
    return 1 if broken else 0


def _play_all(
    simulation: Any,
    chosen: range,
    *arguments: Any,
    title: Callable[[Any], str] = lambda row: f"seed {row.seed}",
) -> tuple[list[Any], int]:
    """Plays many simulations and prints their table; returns the results and the number that broke a rule."""
    rows = []
    for row in simulation.play_all(chosen, *arguments):
        rows.append(row)
        if row.violation:
            click.echo(f"{title(row)}: {row.violation}")
        _progress(len(rows), len(chosen))
    click.echo(simulation.table(rows))
    return rows, sum(bool(row.violation) for row in rows)


@command.command("shared")
@SEEDS
@click.option("--gateways", type=click.IntRange(2, 64), default=4, show_default=True)
@click.option(
    "--seconds", type=click.IntRange(4, 60), default=8, show_default=True, help="Duration of the load."
)
@click.option("--gossip", is_flag=True, help="Divide quotas by gossip, which has no stated bound.")
@JOBS
def shared(seed_text: str, gateways: int, seconds: int, gossip: bool, jobs: int) -> int:
    """Simulates gateways of which some are cut off from the others, and compares the units beyond each quota
    with the stated bound. Exit code 1 if a rule is broken."""
    from ..simulation import shared_trials as simulation

    simulations = gateways, 1000 * seconds, gossip, jobs
    rows, broken = _play_all(
        simulation, seed_range(seed_text), *simulations, title=lambda row: f"{row.failure} seed {row.seed}"
    )
    click.echo(f"shared simulations={len(rows)} broken={broken}")
    return 1 if broken else 0


@command.command("starts")
@SEEDS
@click.option("--gateways", type=click.IntRange(2, 64), default=8, show_default=True)
@click.option("--plain", is_flag=True, help="Without features.start.")
@JOBS
def starts(seed_text: str, gateways: int, plain: bool, jobs: int) -> int:
    """Simulates restarts of whole fleets that poll a list service: the time until all are ready, and the load
    on the service and the backends. Exit code 1 if a rule is broken or a gateway is never ready."""
    from ..simulation import starts as simulation

    rows, broken = _play_all(simulation, seed_range(seed_text), gateways, not plain, jobs)
    late = sum(row.ready_s < 0 for row in rows)
    click.echo(f"starts simulations={len(rows)} broken={broken} never_ready={late}")
    return 1 if broken or late else 0


@command.command("places")
@SEEDS
@click.option("--gateways", type=click.IntRange(3, 64), default=9, show_default=True)
@click.option("--plain", is_flag=True, help="Without features.place.")
@JOBS
def places(seed_text: str, gateways: int, plain: bool, jobs: int) -> int:
    """Simulates gateways in three zones, one of which fails: the requests served, the traffic between zones
    and the changes of the routing table. Exit code 1 if a rule is broken."""
    from ..simulation import places as simulation

    rows, broken = _play_all(simulation, seed_range(seed_text), gateways, not plain, jobs)
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
    """Models the loss and return of a zone for any number of gateways, without sockets or requests. Exit code
    1 if the zone keeps its traffic, never gets it back, or the routing tables differ."""
    from ..simulation import place_model as simulation

    rows = [simulation.Model(n, zones, min(regions, zones), seed).play() for n in sizes]
    click.echo(simulation.table(rows))
    return 1 if any(r.conflicting_generations or min(r.evacuated_s, r.restored_s) < 0 for r in rows) else 0


@command.command("place-search")
@click.option("--depth", type=click.IntRange(1, 8), default=3, show_default=True)
@JOBS
def place_search(depth: int, jobs: int) -> int:
    """Searches every order of events in the agreement of a few gateways on a routing table. Exit code 1 if
    two gateways lead in one term, tables of one generation differ, or no table is agreed on."""
    from ..simulation import place_search as simulation

    results = list(simulation.search_all(depth, jobs))
    for result in sorted(results, key=lambda f: f.case):
        click.echo(
            f"{result.case:40}{result.states:10} states{result.steps:11} steps{result.tables:5} tables"
            + (f"  broken: {result.violation}" if result.violation else "")
        )
    broken = sum(bool(result.violation) for result in results)
    click.echo(
        f"place-search depth={depth} states={sum(f.states for f in results)} "
        f"steps={sum(f.steps for f in results)} broken={broken}"
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
    help="Part of the gateways that runs already and has the list.",
)
@click.option(
    "--lines", type=click.IntRange(1, 5000), default=200, show_default=True, help="Endpoints in the list."
)
@click.option("--lists-per-s", "per_s", type=click.FloatRange(0.1, 1e6), default=20.0, show_default=True)
@click.option("--seed", type=click.IntRange(min=0), default=1, show_default=True)
@click.option("--alone", is_flag=True, help="Without endpoint lists from peers.")
def start_model(
    sizes: tuple[int, ...], alive: float, lines: int, per_s: float, seed: int, alone: bool
) -> int:
    """Models a cold start of any number of gateways, without sockets or requests. Exit code 1 if one is never
    ready."""
    from ..cold_start.settings import ColdStartSettings
    from ..simulation import start_model as simulation

    settings = ColdStartSettings(use_peer_lists=not alone)
    rows = [simulation.Model(n, int(n * alive), lines, per_s, seed, settings=settings).play() for n in sizes]
    click.echo(simulation.table(rows))
    return 0 if all(r.all_s >= 0 for r in rows) else 1


@command.command("keeper")
@SEEDS
@click.option("--gateways", type=click.IntRange(2, 20), default=3, show_default=True)
@JOBS
def keeper(seed_text: str, gateways: int, jobs: int) -> int:
    """Simulates a failing quota service and compares the overshoot with its bound. Exit code 1 if one is
    exceeded."""
    from ..simulation import trial

    chosen, exceeded = seed_range(seed_text), 0
    click.echo(
        f"{'failure':14}{'worst units':>12}{'of its bound':>14}{'of a minute':>13}{'sent':>7}"
        f"{'calls/try':>11}"
    )
    for name, rows in trial.run_failures(chosen, gateways, jobs):
        exceeding = [row for row in rows if row.overshoot > row.bound + 1e-6]
        exceeded += len(exceeding)
        worst_ratio = max(row.overshoot / max(row.bound, 1e-9) for row in rows)
        click.echo(
            f"{name:14}{max(row.overshoot for row in rows):12.2f}{worst_ratio:14.2f}"
            f"{100 * max(row.minute_ratio for row in rows):12.2f}%"
            f"{sum(row.served_ratio for row in rows) / len(rows):7.2f}"
            f"{sum(row.calls_per_attempt for row in rows) / len(rows):11.2f}"
        )
        for row in exceeding[:3]:
            click.echo(f"  seed {row.seed}: {row.overshoot:.2f} units, over its bound of {row.bound:.2f}")
    click.echo(f"trials={len(chosen) * len(trial.FAILURES)} over={exceeded}")
    return 1 if exceeded else 0
