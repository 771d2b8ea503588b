"""Many runs of drawn failures with real processes, several in parallel."""

from __future__ import annotations

import multiprocessing
import tempfile
from collections.abc import Iterator
from functools import partial
from pathlib import Path

from ..net import features as features_files
from ..serialization.errors import FileError
from ..simulation import places, shared, soak, traffic
from ..simulation.plan import Plan
from . import run
from .places import AddressError
from .programs import ROOT
from .result import RunResult, ViolationRow


def parse_features(arguments: tuple[str, ...]) -> dict[str, str]:
    """Returns the files by feature name from `NAME=FILE` arguments. Raises FileError for a malformed argument
    or a missing file."""
    found = {}
    for argument in arguments:
        name, equals, path = argument.partition("=")
        if not equals or not name or not Path(path).is_file():
            raise FileError(f"--feature {argument}: not NAME=FILE with an existing file")
        found[name] = str(Path(path).resolve())
    return found


def play_plan(plan: Plan, folder: Path, name: str, files: dict[str, str]) -> RunResult:
    """Plays a plan, with the quota bounds that its features state. Raises FileError, AddressError or
    NotReadyError."""
    files = dict(files)
    if plan.share and "shared" not in files:
        files["shared"] = str(ROOT / "deploy" / "shared.yaml")
    for feature in ("place", "start"):
        if getattr(plan, feature) and feature not in files:
            files[feature] = str(ROOT / "deploy" / f"{feature}.yaml")
    if plan.quota_service and "keeper" not in files:
        path = folder / "keeper.yaml"
        path.write_text("keeper: {skew_ms: 0, most_overshoot: 0.08}\n")
        files["keeper"] = str(path)
    stated: dict[str, tuple[float, float, float]] = {}
    initial_ratio: dict[str, float] = {}
    if "shared" in files:
        stated, initial_ratio = shared.stated_bounds(plan, features_files.read_leases(files["shared"])[0])
    elif "keeper" in files:
        stated = traffic.stated_bounds(plan, features_files.read_quota_service(files["keeper"])[0])
    return run.play(plan, folder, name=name, features=files, stated=stated, initial_ratio=initial_ratio)


def draw_plan(seed: int, gateways: int, kind: str, gossip: bool) -> Plan:
    """Draws a plan with a failure of the shared state, a failure of a zone, or several failures at once."""
    if kind == soak.KIND:
        return soak.draw(seed, gateways)
    if kind in places.KINDS:
        return places.draw(seed, gateways, kind, not gossip)[0]
    plan = shared.draw(seed, gateways, kind)
    plan.share = not gossip
    return plan


def _play_drawn(
    gateways: int, kinds: tuple[str, ...], files: dict[str, str], gossip: bool, seed: int
) -> RunResult:
    kind = kinds[seed % len(kinds)]
    plan = draw_plan(seed, gateways, kind, gossip)
    try:
        with tempfile.TemporaryDirectory(prefix="zincstile-field-") as folder:
            return play_plan(plan, Path(folder), kind, files)
    except (AddressError, run.NotReadyError) as err:  # reported as a failed run
        return RunResult(
            plan=kind,
            seed=seed,
            gateways=gateways,
            boxes=plan.boxes,
            faults=[],
            seconds=0.0,
            ok=False,
            requests=0,
            attempts=0,
            tally={},
            plans=[],
            nearest={},
            rows=[],
            breaches=[ViolationRow("start", 0.0, "-", str(err))],
            latency_ms={},
            links={},
            series=[],
            events=[],
        )


def play_many(
    seeds: range,
    gateways: int,
    kinds: tuple[str, ...],
    jobs: int,
    files: dict[str, str],
    gossip: bool = False,
) -> Iterator[RunResult]:
    """Yields results in the order in which runs end. The seed selects the kind of failure, round-robin."""
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(seeds)), maxtasksperchild=8) as pool:
        yield from pool.imap_unordered(partial(_play_drawn, gateways, kinds, files, gossip), seeds)


def _cpu(rows: list[RunResult]) -> float:
    """Returns CPU milliseconds per request, including the start of the processes."""
    counters = [x.counters for r in rows for x in r.rows]
    requests = sum(c.get("requests", 0.0) for c in counters)
    return sum(c.get("cpu_ms", 0.0) for c in counters) / max(1.0, requests)


def table(done: list[RunResult]) -> str:
    """Returns a text table with a line for each kind of failure."""
    lines = [
        f"{'failure':14}{'runs':>5}{'broken':>8}{'worst units':>13}{'of its bound':>14}"
        f"{'goodput':>9}{'least':>7}{'msg/s':>7}{'CPU ms':>8}"
    ]
    for kind in dict.fromkeys(r.plan for r in done):
        rows = [r for r in done if r.plan == kind]
        plans = [p for r in rows for p in r.plans]
        worst = max((p.worst for p in plans), default=0.0)
        near = max((p.worst / p.bound for p in plans if p.bound), default=0.0)
        sent, best = sum(p.sent for p in plans), sum(p.best for p in plans)
        rate = [x.datagrams / max(0.1, r.seconds) for r in rows for x in r.rows]
        least = min((r.goodput for r in rows), default=0.0)
        lines.append(
            f"{kind:14}{len(rows):5}{sum(not r.ok for r in rows):8}{worst:13.2f}{near:14.2f}"
            f"{sent / best if best else 1.0:9.3f}{least:7.2f}"
            f"{sum(rate) / max(1, len(rate)):7.1f}{_cpu(rows):8.2f}"
        )
    return "\n".join(lines)
