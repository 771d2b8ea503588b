"""Worlds of starts: gateways that are killed and come back, with a list service that has to be asked, while
clients go on asking and trying again. One wave of a kind, drawn by seed.

What is looked at besides the rules: when all are ready again, what the list service was asked, how much
was sent to each ready server in any tenth of a second after the start, and how much is served beside the
same world in which nobody is killed.
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
AT_MS, LAST_MS = 1500, 9000  # when they are killed; the load
TENTH_MS, DOWN_MS = 150, 3000
SPANS_S = (1.0, 2.0, 5.0)  # after all are back, in which service is counted


def draw(seed: int, gateways: int, wave: str, start: bool) -> Plan:
    """The plan of a seed, a size and a wave. ValueError where there is no such wave."""
    if wave not in WAVES:
        raise ValueError(f"no such wave: {wave}")
    rng = random.Random(f"starts {seed} {gateways} {wave}")
    all_, back = list(range(gateways)), rng.randint(200, 500)
    boxes = max(9, gateways * 3 // 2)
    plan = Plan(
        seed=seed,
        gateways=gateways,
        boxes=boxes,
        last_ms=LAST_MS,
        requests=max(700, 80 * gateways),
        wide=rng.random() < 0.3,
        udp_loss=rng.choice((0.0, 0.03, 0.073)),
        greedy=rng.choice((0.1, 0.3)),
        asked=True,
        start=start,
        known=wave in ("down", "old lists") or rng.random() < 0.3,
        lists_per_s=rng.choice((5.0, 20.0, 100.0)) * gateways / 8,
    )
    made = [Fault("crash", AT_MS, back, all_)]
    if wave == "tenths":
        made = [Fault("crash", AT_MS, back + TENTH_MS * (10 * k // gateways), [k]) for k in all_]
    elif wave == "seven-in-ten":
        made = [Fault("crash", AT_MS, back, rng.sample(all_, max(1, gateways * 7 // 10)))]
    elif wave == "down":
        made.append(Fault("discovery_silent", AT_MS - 200, DOWN_MS, all_))
    elif wave == "cold":
        made.append(Fault("box_crash", AT_MS, back, list(range(boxes)), 0.2))
    elif wave == "old lists":
        third = rng.sample(range(boxes), boxes // 3)
        made += [
            Fault("discovery_late", AT_MS - 900, 2500, rng.sample(all_, gateways // 2), 1.5),
            Fault("deploy", AT_MS - 800, 500, third, 1.0),
        ]
    elif wave == "slow service":
        plan.lists_per_s = max(1.0, gateways / 4)
    elif wave == "alone":
        made = [Fault("crash", AT_MS, back, [rng.randrange(gateways)])]
    elif wave == "silent peers":
        made.append(Fault("peers_cut", AT_MS, 4000, all_, 0.0, all_))
    plan.faults = sorted(made, key=lambda f: (f.at_ms, f.kind))
    return plan


@dataclass(slots=True)
class SimulationResult:
    """What came of one world. Seconds from the moment at which the first came back."""

    wave: str
    seed: int
    violation: str
    ready_s: float  # all that were killed; -1: never
    calls: float  # of the list service, for each that was killed
    whole: float  # whole lists
    most: float  # units to one ready server in any tenth of a second, mean over the servers, in the first 2 s
    opened: int  # new connections in the busiest tenth of a second, for each server
    cold: float  # nearest to the rule on cold servers
    served: tuple[float, ...]  # within SPANS_S, beside the calm world
    failed: int


class Watch:
    """Hears when gateways are ready, and what is sent and served when."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.ready: dict[str, float] = {}
        self.sent: list[tuple[float, float]] = []
        self.opened: list[float] = []
        self.served: list[float] = []
        sent, answered = run.checker.attempt_started, run.checker.request_answered

        def hear(node, line: str) -> None:
            if " ready with " in line:
                self.ready[node.name] = self.now_s()

        def went(gateway: str, box: str, request: bytes, first_ns: int):
            case = run.checker.histories.get(request)
            if case is not None:
                self.sent.append((self.now_s(), case.units))
            return sent(gateway, box, request, first_ns)

        def heard(request: bytes, kind: str, value: bytes) -> None:
            if kind == "served":
                self.served.append(self.now_s())
            answered(request, kind, value)

        def opened() -> None:
            self.opened.append(self.now_s())

        run.on_log_line = hear
        run.checker.attempt_started, run.checker.request_answered = went, heard  # type: ignore[method-assign]
        run.on_backend_connection = opened

    def now_s(self) -> float:
        return (self.run.scheduler.now_ns - self.run.began_ns) / SECOND


def most_in(events: list[tuple[float, float]], from_s: float, to_s: float, span_s: float = 0.1) -> float:
    """The most that falls into any span."""
    chosen = sorted(e for e in events if from_s <= e[0] < to_s)
    most = total = 0.0
    first = 0
    for at, amount in chosen:
        total += amount
        while chosen[first][0] <= at - span_s:
            total -= chosen[first][1]
            first += 1
        most = max(most, total)
    return most


def play(seed: int, gateways: int, start: bool) -> SimulationResult:
    """One world and the calm one beside it; waves go round by the seed."""
    wave = WAVES[seed % len(WAVES)]
    plan = draw(seed, gateways, wave, start)
    run = Run(plan)
    watch = Watch(run)
    result = run.play()
    # requests gather at the instants of faults: in the calm world faults that do nothing stand there
    idle = [Fault("peers_loss", f.at_ms, f.for_ms) for f in plan.faults]
    calm = Run(msgspec.structs.replace(plan, faults=idle))
    beside = Watch(calm)
    calm.play()
    killed = {g for f in plan.faults if f.kind == "crash" for g in f.who}
    back = min((f.at_ms + f.for_ms) / 1000 for f in plan.faults if f.kind == "crash")
    last = max((f.at_ms + f.for_ms) / 1000 for f in plan.faults if f.kind == "crash")
    times = [watch.ready.get(f"g{g}", -1.0) for g in killed]
    ready = max(times) - back if min(times) > AT_MS / 1000 else -1.0
    counts, boxes = run.service.counts, plan.boxes
    before = 0 if plan.known else plan.gateways  # the calls of the first start of all
    served = tuple(
        sum(last <= t < last + span for t in watch.served)
        / max(1, sum(last <= t < last + span for t in beside.served))
        for span in SPANS_S
    )
    opened = most_in([(t, 1.0) for t in watch.opened], back, back + 2)
    return SimulationResult(
        wave,
        seed,
        f"{result.breach.rule}: {result.breach.text}" if result.breach else "",
        ready,
        max(0, counts.calls - plan.gateways) / len(killed),
        max(0, counts.snapshots - before) / len(killed),
        most_in(watch.sent, back, back + 2) / boxes,
        int(opened / boxes * 100) / 100,  # type: ignore[arg-type]
        run.checker.cold.peak_ratio,
        served,
        result.tally.get("failed", 0),
    )


def play_all(seeds: range, gateways: int, start: bool, jobs: int) -> Iterator[SimulationResult]:
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(seeds))) as pool:
        yield from pool.imap_unordered(partial(play, gateways=gateways, start=start), seeds)


def table(rows: list[SimulationResult]) -> str:
    """One line a wave: worlds, broken, ready at the median and at most, calls, the most sent, service."""
    lines = [
        f"{'wave':14}{'worlds':>7}{'broken':>7}{'ready':>7}{'most':>7}{'late':>6}{'calls':>7}"
        f"{'whole':>7}{'units/.1s':>11}{'new/.1s':>9}{'cold':>6}"
        + "".join(f"{f'{s:g} s':>7}" for s in SPANS_S)
        + f"{'failed':>8}"
    ]
    for wave in WAVES:
        mine = [r for r in rows if r.wave == wave]
        if not mine:
            continue
        times = sorted(r.ready_s for r in mine if r.ready_s >= 0)
        n = len(mine)
        service = "".join(f"{sum(r.served[k] for r in mine) / n:7.3f}" for k in range(len(SPANS_S)))
        lines.append(
            f"{wave:14}{n:7}{sum(bool(r.violation) for r in mine):7}"
            f"{times[len(times) // 2] if times else -1:7.2f}{times[-1] if times else -1:7.2f}"
            f"{n - len(times):6}{sum(r.calls for r in mine) / n:7.2f}{sum(r.whole for r in mine) / n:7.2f}"
            f"{max(r.most for r in mine):11.2f}{max(r.opened for r in mine):9.2f}"
            f"{max(r.cold for r in mine):6.2f}{service}{sum(r.failed for r in mine):8}"
        )
    return "\n".join(lines)
