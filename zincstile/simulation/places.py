"""Simulations of zone failover: one zone fails in a way drawn by seed, under a load that the others can take.

Besides the rules it measures the requests served relative to a run without the failure, the ratio of attempts
across zones before and during it, how soon traffic leaves the zone and returns, and how often the routing
table changes.
"""

from __future__ import annotations

import multiprocessing
import random
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial

import msgspec

from ..zone_failover.leader_terms import select_electors
from .plan import Fault, Plan
from .run import Run

KINDS = (
    "loss",
    "cut off",
    "half see it",
    "brown-out",
    "back cold",
    "flapping",
    "proposer stopped",
    "one way",
    "seven in ten killed",
    "deaf",
)
FAILURE_START_MS, FAILURE_MS, LOAD_MS = 3000, 5000, 15000
ZONE_COUNT = 3
# Traffic has left a zone below the first ratio of all attempts. It has returned above the second ratio of
# the zone's even share. Both are measured in a window of the given length.
LEFT_RATIO, RETURNED_RATIO, WINDOW_S = 0.05, 0.8, 0.5


def draw(seed: int, gateways: int, kind: str, place: bool) -> tuple[Plan, int]:
    """Draws the plan of a seed, and the zone that fails. ValueError if there is no such kind of failure."""
    if kind not in KINDS:
        raise ValueError(f"no such zone failure: {kind}")
    rng = random.Random(f"places {seed} {gateways} {kind}")
    boxes, zone = 4 * gateways, rng.randrange(ZONE_COUNT)
    zone_boxes = [k for k in range(boxes) if k % ZONE_COUNT == zone]
    zone_gateways = [g for g in range(gateways) if g % ZONE_COUNT == zone]
    other_gateways = [g for g in range(gateways) if g % ZONE_COUNT != zone]
    plan = Plan(
        seed=seed,
        gateways=gateways,
        boxes=boxes,
        last_ms=LOAD_MS,
        requests=250 * gateways,
        place=place,
        greedy=0.1,
        anchored=False,
        wide=rng.random() < 0.3,
        udp_loss=rng.choice((0.0, 0.03, 0.073)),
    )
    zone_unreachable = Fault("unreachable", FAILURE_START_MS, FAILURE_MS, zone_boxes)
    faults = [zone_unreachable]
    if kind == "cut off":
        other_boxes = [k for k in range(boxes) if k % ZONE_COUNT != zone]
        faults = [
            Fault("away", FAILURE_START_MS, FAILURE_MS, other_gateways, 0.0, zone_boxes),
            Fault("away", FAILURE_START_MS, FAILURE_MS, zone_gateways, 0.0, other_boxes),
            Fault("peers_cut", FAILURE_START_MS, FAILURE_MS, zone_gateways, 0.0, other_gateways),
        ]
    elif kind == "half see it":
        faults = [
            Fault(
                "away",
                FAILURE_START_MS,
                FAILURE_MS,
                rng.sample(range(gateways), gateways // 2),
                0.0,
                zone_boxes,
            )
        ]
    elif kind == "brown-out":
        faults = [Fault("lag", FAILURE_START_MS, FAILURE_MS, zone_boxes, rng.choice((100, 300)))]
    elif kind == "back cold":
        faults = [Fault("box_crash", FAILURE_START_MS, FAILURE_MS, zone_boxes, 0.2)]
    elif kind == "flapping":
        faults = [Fault("unreachable", FAILURE_START_MS + 3000 * k, 1500, zone_boxes) for k in range(4)]
    elif kind == "proposer stopped":
        faults.append(
            Fault("pause", FAILURE_START_MS + rng.randint(300, 1500), 3000, select_electors(gateways, 9)[:1])
        )
    elif kind == "one way":
        faults.append(
            Fault(
                "peers_cut",
                FAILURE_START_MS,
                FAILURE_MS,
                zone_gateways,
                0.0,
                other_gateways,
                rng.choice(("in", "out")),
            )
        )
    elif kind == "seven in ten killed":
        faults += [
            Fault("crash", FAILURE_START_MS, 1000, [g])
            for g in rng.sample(range(gateways), gateways * 7 // 10)
        ]
    elif kind == "deaf":
        all_gateways = list(range(gateways))
        faults.append(Fault("peers_cut", FAILURE_START_MS - 500, FAILURE_MS, all_gateways, 0.0, all_gateways))
    plan.faults = sorted(faults, key=lambda f: (f.at_ms, f.kind))
    return plan, zone


@dataclass(slots=True)
class SimulationResult:
    """Result of one simulation. Times are in seconds from the start or end of the failure; -1: never."""

    kind: str
    seed: int
    violation: str
    served_ratio: float  # requests during the failure, relative to a run without it
    failed: int
    cross_zone_before: float  # ratio of attempts to other zones before the failure
    cross_zone_during: float  # the same during the failure
    left_s: float
    returned_s: float
    table_changes: float  # of the routing table, mean over the gateways
    cold_start_ratio: float  # load of a cold backend relative to the limit of the rule on cold starts


class Observer:
    """Records to which zone attempts are sent, and when requests are served."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.attempts: list[tuple[float, int, int]] = []  # seconds, zone of the backend, zone of the gateway
        self.served: list[float] = []
        forward_attempt, forward_answer = run.checker.attempt_started, run.checker.request_answered

        def record_attempt(gateway: str, box: str, request: bytes, first_ns: int):
            self.attempts.append((self.now_s(), run.checker.locations[box][0], int(gateway[1:]) % ZONE_COUNT))
            return forward_attempt(gateway, box, request, first_ns)

        def record_answer(request: bytes, kind: str, value: bytes) -> None:
            if kind == "served":
                self.served.append(self.now_s())
            forward_answer(request, kind, value)

        run.checker.attempt_started, run.checker.request_answered = record_attempt, record_answer  # type: ignore[method-assign]

    def now_s(self) -> float:
        return (self.run.scheduler.now_ns - self.run.began_ns) / 1e9

    def cross_zone_ratio(self, from_s: float, to_s: float) -> float:
        crossings = [z != own_zone for t, z, own_zone in self.attempts if from_s <= t < to_s]
        return sum(crossings) / max(1, len(crossings))

    def zone_share(self, zone: int, at_s: float) -> float:
        """Returns the zone's ratio of the attempts in a window from `at_s`, relative to an even share."""
        in_zone = [z == zone for t, z, _ in self.attempts if at_s <= t < at_s + WINDOW_S]
        return ZONE_COUNT * sum(in_zone) / len(in_zone) if in_zone else 0.0

    def seconds_until(self, zone: int, from_s: float, to_s: float, leaving: bool) -> float:
        steps = int((to_s - from_s) / 0.05)
        for k in range(steps):
            share = self.zone_share(zone, from_s + 0.05 * k)
            if share <= LEFT_RATIO * ZONE_COUNT if leaving else share >= RETURNED_RATIO:
                return 0.05 * k
        return -1.0


def play(seed: int, gateways: int, place: bool) -> SimulationResult:
    """Runs one simulation with and one without the failure; the seed also selects the kind of failure."""
    kind = KINDS[seed % len(KINDS)]
    plan, zone = draw(seed, gateways, kind, place)
    run = Run(plan)
    observer = Observer(run)
    result = run.play()
    baseline = Observer(Run(msgspec.structs.replace(plan, faults=[])))
    baseline.run.play()
    begin, end = FAILURE_START_MS / 1000, max(f.at_ms + f.for_ms for f in plan.faults) / 1000
    baseline_served = sum(begin <= t < end for t in baseline.served)
    served_ratio = sum(begin <= t < end for t in observer.served) / max(1, baseline_served)
    table_changes = (
        sum(s.gateway.dispatcher.policy.state_values()["tables"] for s in run.nodes) / gateways
        if place
        else 0.0
    )
    return SimulationResult(
        kind,
        seed,
        f"{result.breach.rule}: {result.breach.text}" if result.breach else "",
        served_ratio,
        result.tally.get("failed", 0),
        observer.cross_zone_ratio(0, begin),
        observer.cross_zone_ratio(begin, end),
        observer.seconds_until(zone, begin, end, True),
        observer.seconds_until(zone, end, LOAD_MS / 1000 - WINDOW_S, False),
        table_changes,
        run.checker.cold_starts.peak_ratio,
    )


def play_all(seeds: range, gateways: int, place: bool, jobs: int) -> Iterator[SimulationResult]:
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(seeds))) as pool:
        yield from pool.imap_unordered(partial(play, gateways=gateways, place=place), seeds)


def _median_and_max(values: list[float]) -> tuple[float, float]:
    """Returns the median and the maximum of the values that are not negative; -1 if there are none."""
    valid = sorted(v for v in values if v >= 0)
    return (valid[len(valid) // 2], valid[-1]) if valid else (-1.0, -1.0)


def table(results: list[SimulationResult]) -> str:
    """Formats the results with one line per kind of failure."""
    lines = [
        f"{'trouble':20}{'worlds':>7}{'broken':>7}{'served':>8}{'least':>7}{'failed':>8}{'calm':>7}"
        f"{'crossed':>9}{'left':>6}{'most':>6}{'back':>6}{'most':>6}{'tables':>8}{'cold':>6}"
    ]
    for kind in KINDS:
        runs = [r for r in results if r.kind == kind]
        if not runs:
            continue
        n, left, returned = (
            len(runs),
            _median_and_max([r.left_s for r in runs]),
            _median_and_max([r.returned_s for r in runs]),
        )
        lines.append(
            f"{kind:20}{n:7}{sum(bool(r.violation) for r in runs):7}"
            f"{sum(r.served_ratio for r in runs) / n:8.3f}"
            f"{min(r.served_ratio for r in runs):7.2f}{sum(r.failed for r in runs):8}"
            f"{100 * sum(r.cross_zone_before for r in runs) / n:6.2f}%"
            f"{100 * sum(r.cross_zone_during for r in runs) / n:8.1f}%"
            f"{left[0]:6.2f}{left[1]:6.2f}{returned[0]:6.2f}{returned[1]:6.2f}"
            f"{sum(r.table_changes for r in runs) / n:8.1f}{max(r.cold_start_ratio for r in runs):6.2f}"
        )
    return "\n".join(lines)
