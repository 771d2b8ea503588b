"""Simulations of cold starts: gateways are killed and restart, in a wave of a kind that the seed selects.

They have to request the endpoint list from a list service, while clients continue to send and retry. Besides
the rules it measures when all gateways are ready again, the calls to the list service, the units sent to each
ready backend in any tenth of a second after the start, and the requests served relative to a run without
crashes.
"""

from __future__ import annotations

import multiprocessing
import random
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial

import msgspec

from .plan import Fault, Plan
from .run import Run

SECOND = 1_000_000_000
WAVES = (
    "all",
    "tenths",
    "seven-in-ten",
    "down",
    "cold",
    "old lists",
    "slow service",
    "alone",
    "silent peers",
)
CRASH_MS, LOAD_MS = 1500, 9000  # when the gateways are killed; length of the load
TENTH_INTERVAL_MS, SERVICE_DOWN_MS = 150, 3000
WINDOWS_S = (1.0, 2.0, 5.0)  # windows after the last restart, in which served requests are counted


def draw(seed: int, gateways: int, wave: str, start: bool) -> Plan:
    """Draws the plan of a seed, a fleet size and a wave. ValueError if there is no such wave."""
    if wave not in WAVES:
        raise ValueError(f"no such wave: {wave}")
    rng = random.Random(f"starts {seed} {gateways} {wave}")
    all_gateways, restart_ms = list(range(gateways)), rng.randint(200, 500)
    boxes = max(9, gateways * 3 // 2)
    plan = Plan(
        seed=seed,
        gateways=gateways,
        boxes=boxes,
        last_ms=LOAD_MS,
        requests=max(700, 80 * gateways),
        wide=rng.random() < 0.3,
        udp_loss=rng.choice((0.0, 0.03, 0.073)),
        greedy=rng.choice((0.1, 0.3)),
        asked=True,
        start=start,
        known=wave in ("down", "old lists") or rng.random() < 0.3,
        lists_per_s=rng.choice((5.0, 20.0, 100.0)) * gateways / 8,
    )
    faults = [Fault("crash", CRASH_MS, restart_ms, all_gateways)]
    if wave == "tenths":
        faults = [
            Fault("crash", CRASH_MS, restart_ms + TENTH_INTERVAL_MS * (10 * k // gateways), [k])
            for k in all_gateways
        ]
    elif wave == "seven-in-ten":
        faults = [Fault("crash", CRASH_MS, restart_ms, rng.sample(all_gateways, max(1, gateways * 7 // 10)))]
    elif wave == "down":
        faults.append(Fault("discovery_silent", CRASH_MS - 200, SERVICE_DOWN_MS, all_gateways))
    elif wave == "cold":
        faults.append(Fault("box_crash", CRASH_MS, restart_ms, list(range(boxes)), 0.2))
    elif wave == "old lists":
        restarted_boxes = rng.sample(range(boxes), boxes // 3)
        faults += [
            Fault("discovery_late", CRASH_MS - 900, 2500, rng.sample(all_gateways, gateways // 2), 1.5),
            Fault("deploy", CRASH_MS - 800, 500, restarted_boxes, 1.0),
        ]
    elif wave == "slow service":
        plan.lists_per_s = max(1.0, gateways / 4)
    elif wave == "alone":
        faults = [Fault("crash", CRASH_MS, restart_ms, [rng.randrange(gateways)])]
    elif wave == "silent peers":
        faults.append(Fault("peers_cut", CRASH_MS, 4000, all_gateways, 0.0, all_gateways))
    plan.faults = sorted(faults, key=lambda f: (f.at_ms, f.kind))
    return plan


@dataclass(slots=True)
class SimulationResult:
    """Result of one simulation. Times are in seconds from the first restart."""

    wave: str
    seed: int
    violation: str
    ready_s: float  # until all killed gateways are ready; -1: never
    calls: float  # to the list service, per killed gateway
    full_lists: float  # requested from the list service, per killed gateway
    max_units_per_backend: float  # units in any tenth of a second of the first 2 s, mean over the backends
    max_connections_per_backend: int  # new ones in the busiest tenth of a second, mean over the backends
    cold_start_ratio: float  # load of a cold backend relative to the limit of the rule on cold starts
    served_ratios: tuple[float, ...]  # within each of WINDOWS_S, relative to the baseline
    failed: int


class Observer:
    """Records when gateways get ready, units are sent, connections are opened and requests are served."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.ready: dict[str, float] = {}
        self.sent: list[tuple[float, float]] = []
        self.opened: list[float] = []
        self.served: list[float] = []
        forward_attempt, forward_answer = run.checker.attempt_started, run.checker.request_answered

        def record_log_line(node, line: str) -> None:
            if " ready with " in line:
                self.ready[node.name] = self.now_s()

        def record_attempt(gateway: str, box: str, request: bytes, first_ns: int):
            history = run.checker.histories.get(request)
            if history is not None:
                self.sent.append((self.now_s(), history.units))
            return forward_attempt(gateway, box, request, first_ns)

        def record_answer(request: bytes, kind: str, value: bytes) -> None:
            if kind == "served":
                self.served.append(self.now_s())
            forward_answer(request, kind, value)

        def record_connection() -> None:
            self.opened.append(self.now_s())

        run.on_log_line = record_log_line
        run.checker.attempt_started, run.checker.request_answered = record_attempt, record_answer  # type: ignore[method-assign]
        run.on_backend_connection = record_connection

    def now_s(self) -> float:
        return (self.run.scheduler.now_ns - self.run.began_ns) / SECOND


def max_in_window(
    events: list[tuple[float, float]], from_s: float, to_s: float, window_s: float = 0.1
) -> float:
    """Returns the maximum total amount of the events within any window of `window_s`."""
    chosen_events = sorted(e for e in events if from_s <= e[0] < to_s)
    max_total = total = 0.0
    first = 0
    for at, amount in chosen_events:
        total += amount
        while chosen_events[first][0] <= at - window_s:
            total -= chosen_events[first][1]
            first += 1
        max_total = max(max_total, total)
    return max_total


def play(seed: int, gateways: int, start: bool) -> SimulationResult:
    """Runs one simulation with and one without crashes; the seed also selects the wave."""
    wave = WAVES[seed % len(WAVES)]
    plan = draw(seed, gateways, wave, start)
    run = Run(plan)
    observer = Observer(run)
    result = run.play()
    # Plans concentrate requests at the times of faults, so the baseline has faults without effect instead.
    idle_faults = [Fault("peers_loss", f.at_ms, f.for_ms) for f in plan.faults]
    baseline_run = Run(msgspec.structs.replace(plan, faults=idle_faults))
    baseline = Observer(baseline_run)
    baseline_run.play()
    killed = {g for f in plan.faults if f.kind == "crash" for g in f.targets}
    first_restart_s = min((f.at_ms + f.for_ms) / 1000 for f in plan.faults if f.kind == "crash")
    last_restart_s = max((f.at_ms + f.for_ms) / 1000 for f in plan.faults if f.kind == "crash")
    ready_times = [observer.ready.get(f"g{g}", -1.0) for g in killed]
    ready_s = max(ready_times) - first_restart_s if min(ready_times) > CRASH_MS / 1000 else -1.0
    counts, boxes = run.service.counts, plan.boxes
    initial_lists = 0 if plan.known else plan.gateways  # requested at the very first start of the gateways
    served = tuple(
        sum(last_restart_s <= t < last_restart_s + window_s for t in observer.served)
        / max(1, sum(last_restart_s <= t < last_restart_s + window_s for t in baseline.served))
        for window_s in WINDOWS_S
    )
    max_connections = max_in_window([(t, 1.0) for t in observer.opened], first_restart_s, first_restart_s + 2)
    return SimulationResult(
        wave,
        seed,
        f"{result.breach.rule}: {result.breach.text}" if result.breach else "",
        ready_s,
        max(0, counts.calls - plan.gateways) / len(killed),
        max(0, counts.snapshots - initial_lists) / len(killed),
        max_in_window(observer.sent, first_restart_s, first_restart_s + 2) / boxes,
        int(max_connections / boxes * 100) / 100,  # type: ignore[arg-type]
        run.checker.cold_starts.peak_ratio,
        served,
        result.tally.get("failed", 0),
    )


def play_all(seeds: range, gateways: int, start: bool, jobs: int) -> Iterator[SimulationResult]:
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(seeds))) as pool:
        yield from pool.imap_unordered(partial(play, gateways=gateways, start=start), seeds)


def table(results: list[SimulationResult]) -> str:
    """Formats the results with one line per wave."""
    lines = [
        f"{'wave':14}{'worlds':>7}{'broken':>7}{'ready':>7}{'most':>7}{'late':>6}{'calls':>7}"
        f"{'whole':>7}{'units/.1s':>11}{'new/.1s':>9}{'cold':>6}"
        + "".join(f"{f'{s:g} s':>7}" for s in WINDOWS_S)
        + f"{'failed':>8}"
    ]
    for wave in WAVES:
        runs = [r for r in results if r.wave == wave]
        if not runs:
            continue
        ready_times = sorted(r.ready_s for r in runs if r.ready_s >= 0)
        n = len(runs)
        service = "".join(f"{sum(r.served_ratios[k] for r in runs) / n:7.3f}" for k in range(len(WINDOWS_S)))
        lines.append(
            f"{wave:14}{n:7}{sum(bool(r.violation) for r in runs):7}"
            f"{ready_times[len(ready_times) // 2] if ready_times else -1:7.2f}"
            f"{ready_times[-1] if ready_times else -1:7.2f}"
            f"{n - len(ready_times):6}{sum(r.calls for r in runs) / n:7.2f}"
            f"{sum(r.full_lists for r in runs) / n:7.2f}"
            f"{max(r.max_units_per_backend for r in runs):11.2f}"
            f"{max(r.max_connections_per_backend for r in runs):9.2f}"
            f"{max(r.cold_start_ratio for r in runs):6.2f}{service}{sum(r.failed for r in runs):8}"
        )
    return "\n".join(lines)
