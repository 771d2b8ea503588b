"""Worlds of zones: one zone's trouble of a kind, drawn by seed, under load that the others could bear.

What is looked at besides the rules: what is served beside the same world without the trouble, how much
crosses zones before and during it, how soon the zone is left and got back, and how often the table changes.
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
AT_MS, FOR_MS, LAST_MS = 3000, 5000, 15000
ZONES = 3
LEFT, BACK, SPAN_S = 0.05, 0.8, 0.5  # parts of all attempts and of its usual ones: left, back; over so long


def draw(seed: int, gateways: int, kind: str, place: bool) -> tuple[Plan, int]:
    """The plan of a seed, and the zone that is in trouble. ValueError where there is no such kind."""
    if kind not in KINDS:
        raise ValueError(f"no such trouble: {kind}")
    rng = random.Random(f"places {seed} {gateways} {kind}")
    boxes, zone = 4 * gateways, rng.randrange(ZONES)
    there = [k for k in range(boxes) if k % ZONES == zone]
    mine = [g for g in range(gateways) if g % ZONES == zone]
    others = [g for g in range(gateways) if g % ZONES != zone]
    plan = Plan(
        seed=seed,
        gateways=gateways,
        boxes=boxes,
        last_ms=LAST_MS,
        requests=250 * gateways,
        place=place,
        greedy=0.1,
        anchored=False,
        wide=rng.random() < 0.3,
        udp_loss=rng.choice((0.0, 0.03, 0.073)),
    )
    lost = Fault("unreachable", AT_MS, FOR_MS, there)
    made = [lost]
    if kind == "cut off":
        elsewhere = [k for k in range(boxes) if k % ZONES != zone]
        made = [
            Fault("away", AT_MS, FOR_MS, others, 0.0, there),
            Fault("away", AT_MS, FOR_MS, mine, 0.0, elsewhere),
            Fault("peers_cut", AT_MS, FOR_MS, mine, 0.0, others),
        ]
    elif kind == "half see it":
        made = [Fault("away", AT_MS, FOR_MS, rng.sample(range(gateways), gateways // 2), 0.0, there)]
    elif kind == "brown-out":
        made = [Fault("lag", AT_MS, FOR_MS, there, rng.choice((100, 300)))]
    elif kind == "back cold":
        made = [Fault("box_crash", AT_MS, FOR_MS, there, 0.2)]
    elif kind == "flapping":
        made = [Fault("unreachable", AT_MS + 3000 * k, 1500, there) for k in range(4)]
    elif kind == "proposer stopped":
        made.append(Fault("pause", AT_MS + rng.randint(300, 1500), 3000, select_electors(gateways, 9)[:1]))
    elif kind == "one way":
        made.append(Fault("peers_cut", AT_MS, FOR_MS, mine, 0.0, others, rng.choice(("in", "out"))))
    elif kind == "seven in ten killed":
        made += [Fault("crash", AT_MS, 1000, [g]) for g in rng.sample(range(gateways), gateways * 7 // 10)]
    elif kind == "deaf":
        all_ = list(range(gateways))
        made.append(Fault("peers_cut", AT_MS - 500, FOR_MS, all_, 0.0, all_))
    plan.faults = sorted(made, key=lambda f: (f.at_ms, f.kind))
    return plan, zone


@dataclass(slots=True)
class SimulationResult:
    """What came of one world. Parts of attempts; seconds from the begin or end, -1: never."""

    kind: str
    seed: int
    violation: str
    served: float  # in the trouble, beside the same world without it
    failed: int
    calm: float  # that cross zones before it
    trouble: float  # during it
    left_s: float
    back_s: float
    changes: float  # of the table, as a gateway saw them
    cold: float  # nearest to the rule on cold servers


class Watch:
    """What is sent where, and served when."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.sent: list[tuple[float, int, int]] = []  # seconds, zone, the gateway's own
        self.served: list[float] = []
        sent, answered = run.checker.attempt_started, run.checker.request_answered

        def went(gateway: str, box: str, request: bytes, first_ns: int):
            self.sent.append((self.now_s(), run.checker.locations[box][0], int(gateway[1:]) % ZONES))
            return sent(gateway, box, request, first_ns)

        def heard(request: bytes, kind: str, value: bytes) -> None:
            if kind == "served":
                self.served.append(self.now_s())
            answered(request, kind, value)

        run.checker.attempt_started, run.checker.request_answered = went, heard  # type: ignore[method-assign]

    def now_s(self) -> float:
        return (self.run.scheduler.now_ns - self.run.began_ns) / 1e9

    def crossed(self, from_s: float, to_s: float) -> float:
        chosen = [z != home for t, z, home in self.sent if from_s <= t < to_s]
        return sum(chosen) / max(1, len(chosen))

    def part(self, zone: int, at_s: float) -> float:
        """Of the attempts of all in `SPAN_S` from there, that go to the zone, in its even part."""
        chosen = [z == zone for t, z, _ in self.sent if at_s <= t < at_s + SPAN_S]
        return ZONES * sum(chosen) / len(chosen) if chosen else 0.0

    def until(self, zone: int, from_s: float, to_s: float, low: bool) -> float:
        steps = int((to_s - from_s) / 0.05)
        for k in range(steps):
            part = self.part(zone, from_s + 0.05 * k)
            if part <= LEFT * ZONES if low else part >= BACK:
                return 0.05 * k
        return -1.0


def play(seed: int, gateways: int, place: bool) -> SimulationResult:
    """One world and the one without the trouble beside it; kinds go round by the seed."""
    kind = KINDS[seed % len(KINDS)]
    plan, zone = draw(seed, gateways, kind, place)
    run = Run(plan)
    watch = Watch(run)
    result = run.play()
    beside = Watch(Run(msgspec.structs.replace(plan, faults=[])))
    beside.run.play()
    begin, end = AT_MS / 1000, max(f.at_ms + f.for_ms for f in plan.faults) / 1000
    calmly = sum(begin <= t < end for t in beside.served)
    served = sum(begin <= t < end for t in watch.served) / max(1, calmly)
    changes = (
        sum(s.gateway.dispatcher.policy.state_values()["tables"] for s in run.nodes) / gateways
        if place
        else 0.0
    )
    return SimulationResult(
        kind,
        seed,
        f"{result.breach.rule}: {result.breach.text}" if result.breach else "",
        served,
        result.tally.get("failed", 0),
        watch.crossed(0, begin),
        watch.crossed(begin, end),
        watch.until(zone, begin, end, True),
        watch.until(zone, end, LAST_MS / 1000 - SPAN_S, False),
        changes,
        run.checker.cold.peak_ratio,
    )


def play_all(seeds: range, gateways: int, place: bool, jobs: int) -> Iterator[SimulationResult]:
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(seeds))) as pool:
        yield from pool.imap_unordered(partial(play, gateways=gateways, place=place), seeds)


def _middle(values: list[float]) -> tuple[float, float]:
    """Median and worst of those that came about."""
    found = sorted(v for v in values if v >= 0)
    return (found[len(found) // 2], found[-1]) if found else (-1.0, -1.0)


def table(rows: list[SimulationResult]) -> str:
    """One line a kind."""
    lines = [
        f"{'trouble':20}{'worlds':>7}{'broken':>7}{'served':>8}{'least':>7}{'failed':>8}{'calm':>7}"
        f"{'crossed':>9}{'left':>6}{'most':>6}{'back':>6}{'most':>6}{'tables':>8}{'cold':>6}"
    ]
    for kind in KINDS:
        mine = [r for r in rows if r.kind == kind]
        if not mine:
            continue
        n, left, back = len(mine), _middle([r.left_s for r in mine]), _middle([r.back_s for r in mine])
        lines.append(
            f"{kind:20}{n:7}{sum(bool(r.violation) for r in mine):7}{sum(r.served for r in mine) / n:8.3f}"
            f"{min(r.served for r in mine):7.2f}{sum(r.failed for r in mine):8}"
            f"{100 * sum(r.calm for r in mine) / n:6.2f}%{100 * sum(r.trouble for r in mine) / n:8.1f}%"
            f"{left[0]:6.2f}{left[1]:6.2f}{back[0]:6.2f}{back[1]:6.2f}"
            f"{sum(r.changes for r in mine) / n:8.1f}{max(r.cold for r in mine):6.2f}"
        )
    return "\n".join(lines)
