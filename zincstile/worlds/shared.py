"""Plans in which a part of the fleet hears nothing: one failure of a kind, drawn by seed, for virtual time
and for real processes alike.

Customers ask for more than their quotas through half of the gateways or more, so that what the gateways
share is worth something; every failure begins after a calm second and ends before the load does.
"""

from __future__ import annotations

import json
import multiprocessing
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

import msgspec

from .. import wire
from ..bounds import of_plan
from ..policy import Policy
from ..rules.quotas import Quotas
from ..shared import bound
from ..shared.settings import SharedSettings
from . import traffic
from .plan import Fault, Plan

if TYPE_CHECKING:
    from .world import Run

FAILURES = ("none", "halves", "one-way", "ring", "thirds", "loss", "late", "moving", "paused", "killed",
            "flapping", "blind", "lying", "mass-kill", "mixed")
CALM_MS, LAST_MS = 1200, 8000  # before the failure; the load, unless told otherwise
ZONES = len(traffic.ZONES)
HEALED = 5  # the load goes on after the failure for one part in so many of its length


def _groups(rng: random.Random, gateways: int, ways: int) -> list[list[int]]:
    """A drawn partition: no group empty."""
    order = rng.sample(range(gateways), gateways)
    cuts = sorted(rng.sample(range(1, gateways), min(ways, gateways) - 1))
    return [sorted(order[a:b]) for a, b in zip([0, *cuts], [*cuts, gateways], strict=True)]


def _cut(groups: list[list[int]], at: int, length: int, way: str = "both") -> list[Fault]:
    return [Fault("peers_cut", at, length, one, 0.0, other, way)  # type: ignore[arg-type]
            for k, one in enumerate(groups) for other in groups[k + 1:]]


def _partners(rng: random.Random, groups: list[list[int]], at: int, length: int, times: int) -> list[Fault]:
    """All traffic goes to one side and then the other, at the instants of the cut and of its end."""
    step = length // times
    return [Fault("move", at + k * step, step, groups[k % len(groups)]) for k in range(times)]


def _halves(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    return _cut(_groups(rng, n, 2), at, length)


def _one_way(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    return _cut(_groups(rng, n, 2), at, length, rng.choice(("out", "in")))


def _ring(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    return [Fault("peers_ring", at, length)]


def _thirds(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    groups = _groups(rng, n, 3)
    return _cut(groups, at, length) + _partners(rng, groups, at, length, len(groups))


def _loss(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    return [Fault("peers_loss", at, length, [], rng.choice((0.5, 0.9)))]


def _late(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    return [Fault("peers_late", at, length, [], rng.choice((40, 150, 600))),
            Fault("peers_shuffled", at, length, [], rng.choice((30, 400))),
            Fault("peers_twice", at, length, [], rng.choice((0.3, 1.0)))]


def _moving(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    """A cut five times in a row, with all traffic on the side that hears less."""
    groups, step, made = _groups(rng, n, 2), length // 5, []
    for k in range(5):
        begin = at + k * step
        made += _cut(groups, begin, step // 2)
        made += [Fault("move", begin, step // 2, groups[k % 2]),
                 Fault("move", begin + step // 2, step - step // 2, groups[1 - k % 2])]
    return made


def _paused(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    """Half of the gateways get no CPU for 3 s, and wake with what they knew."""
    return [Fault("pause", at + rng.randint(0, 300), min(length, 3000), [g])
            for g in rng.sample(range(n), max(1, n // 2))]


def _killed(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    """Half are killed behind a cut and come back, on the silent side, under their old names."""
    groups = _groups(rng, n, 2)
    return _cut(groups, at, length) + [
        Fault("crash", at + rng.randint(100, max(101, length // 2)), rng.randint(200, 900), [g])
        for g in rng.sample(range(n), max(1, n // 2))]


def _flapping(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    groups, step = _groups(rng, n, 2), 400
    return [f for begin in range(at, at + length, 2 * step) for f in _cut(groups, begin, step)]


def _blind(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    """One side of a cut sees all servers dead too; one server really fails meanwhile."""
    groups = _groups(rng, n, 2)
    return [*_cut(groups, at, length), Fault("away", at, length, groups[0]),
            Fault("hang", at + 500, max(1, length - 500), [rng.randrange(100)])]


def _lying(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    """The gateways of one zone reach no server, and hear and are heard as ever: what they say of the
    servers is no one else's experience."""
    zone = rng.randrange(ZONES)
    return [Fault("away", at, length, [g for g in range(n) if g % ZONES == zone])]


def _mass_kill(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    """Seven in ten at one stroke, back after some seconds one by one."""
    return [Fault("crash", at, length // 2 + rng.randint(0, length // 4), [g])
            for g in rng.sample(range(n), max(1, n * 7 // 10))]


def _mixed(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    """Two failures over each other, and the end of one with half of the messages lost."""
    kinds = rng.sample([k for k in MADE if k not in ("none", "mixed")], 2)
    made = [f for k in kinds for f in MADE[k](rng, n, at, length)]
    return [*made, Fault("peers_loss", at + length // 2, length // 2 + 600, [], 0.5)]


MADE: dict[str, Callable[[random.Random, int, int, int], list[Fault]]] = {
    "none": lambda rng, n, at, length: [], "halves": _halves, "one-way": _one_way, "ring": _ring,
    "thirds": _thirds, "loss": _loss, "late": _late, "moving": _moving, "paused": _paused,
    "killed": _killed, "flapping": _flapping, "blind": _blind, "lying": _lying, "mass-kill": _mass_kill,
    "mixed": _mixed}


def draw(seed: int, gateways: int, failure: str, last_ms: int = LAST_MS) -> Plan:
    """The plan of a seed, a size and a failure. ValueError where there is no such failure."""
    if failure not in MADE:
        raise ValueError(f"no such failure: {failure}")
    rng = random.Random(f"shared {seed} {gateways} {failure}")
    length = last_ms - CALM_MS - last_ms // HEALED
    faults = MADE[failure](rng, gateways, CALM_MS, length)
    return Plan(
        seed=seed, gateways=gateways, wide=rng.random() < 0.5, boxes=max(10, gateways * 3 // 2),
        requests=max(400, 50 * gateways) * last_ms // LAST_MS, last_ms=last_ms,
        udp_loss=rng.choice((0.0, 0.03, 0.073)),
        udp_twice=rng.choice((0.0, 0.05)), greedy=0.5, share=True, sockets=256,
        faults=sorted(faults, key=lambda f: (f.at_ms, f.kind)))


STARTS, STOPS = ("crash", "roll", "skew", "upgrade"), ("pause",)


def stated(plan: Plan, settings: SharedSettings) -> tuple[dict[str, tuple[float, float, float]],
                                                          dict[str, float]]:
    """By plan of the customers: rate, burst and the bound under this plan's faults, in units; and the part of
    the burst that a start finds."""
    kinds = {f.kind for f in plan.faults}
    starts, stops = kinds & set(STARTS), kinds & set(STOPS)
    failure = "all" if starts and stops else "restart" if starts else "paused" if stops else "cut"
    specs = wire.read_settings(json.dumps(traffic.settings(plan, 0)).encode()).plans
    found, opening = {}, {}
    for name, (_, rate, burst, *_) in traffic.PLANS.items():
        spec = next(p for p in specs if p.name == name)
        quotas = [of_plan(spec, spread, traffic.MOST_UNITS) for spread in range(1, plan.gateways + 1)]
        most = max(b.units for q in quotas for b in bound.bounds(q, settings) if b.failure == failure)
        found[name] = rate, rate * burst, most
        opening[name] = bound.opening(quotas[0], settings)
    return found, opening


# ---- many worlds


@dataclass(slots=True)
class Row:
    """What came of one world."""

    failure: str
    seed: int
    broken: str
    worst: float  # units beyond a quota, at most
    of_bound: float
    sent: float
    best: float  # what one store that sees every try would let in
    served: int
    messages: float  # sent by a gateway in a second
    over_minute: float  # worst, in what its quota gives in a minute
    out: float  # units out over all gateways, at most, for each ready server
    apart: float  # served by gateways that no fault names, in what they served in the same world without one
    open: float  # requests out at once of a customer, in its plan's limit on that, at most
    back_s: float  # from the failure's begin until as much is served as before; -1: never


class Watch:
    """What the referee does not look at: units out over all gateways, and what is served when and by whom."""

    EVERY_NS, SECOND = 20 * traffic.MS, 1_000_000_000

    def __init__(self, run: Run) -> None:
        self.run, self.out, self.open = run, 0.0, 0.0
        self.served: list[tuple[float, str]] = []  # seconds since the first request, gateway
        answered = run.referee.answered

        def heard(request: bytes, kind: str, value: bytes) -> None:
            if kind == "served":
                at = (run.scheduler.now_ns - run.began_ns) / self.SECOND
                self.served.append((at, run.referee.cases[request].gateway))
            answered(request, kind, value)
        run.referee.answered = heard  # type: ignore[method-assign]
        run.scheduler.at(run.began_ns, self._look)

    def _look(self) -> None:
        """Attempts of processes that are dead run on at the servers and are not theirs any more."""
        seats = [s for s in self.run.seats if s.process is not None and s.process.alive]
        out = sum(a.units for s in seats for a in s.gateway.turn.policy.attempts.values())
        self._count_open([s.gateway.turn.policy for s in seats])
        ready = sum(p.process.alive for p in self.run.places.values())
        self.out = max(self.out, out / max(1, ready))
        if self.run.scheduler.now_ns < self.run.began_ns + self.run.plan.last_ms * traffic.MS:
            self.run.scheduler.at(self.run.scheduler.now_ns + self.EVERY_NS, self._look)

    def _count_open(self, modules: list[Policy]) -> None:
        """Requests out at once for a customer whose plan has a limit, over all gateways, in that limit."""
        found: dict[int, int] = {}
        for module in modules:
            for live in module.live.values():
                if live.plan.open_limit and live.out and live.inside:
                    found[live.customer.key] = found.get(live.customer.key, 0) + 1
                    self.open = max(self.open, found[live.customer.key] / live.plan.open_limit)

    def back_s(self, at_s: float) -> float:
        """Seconds from a failure until 0.95 of a second's usual service, by the mean before it."""
        usual = sum(0.2 <= t < at_s for t, _ in self.served) / (at_s - 0.2)
        times = sorted(t for t, _ in self.served)
        for step in range(0, 400):
            begin = at_s + 0.25 + step * 0.05
            if sum(begin <= t < begin + 1 for t in times) >= 0.95 * usual:
                return begin - at_s
        return -1.0


def play(seed: int, gateways: int, last_ms: int, gossip: bool) -> Row:
    """One world; failures go round by the seed."""
    from .world import Run  # which stands on this module

    failure = FAILURES[seed % len(FAILURES)]
    plan = draw(seed, gateways, failure, last_ms)
    plan.share = not gossip
    run = Run(plan)
    if gossip:
        run.referee.quotas = Quotas(traffic.quotas())
    watch = Watch(run)
    result = run.play()
    named = {f"g{g % gateways}" for f in plan.faults for g in f.who if f.kind in ("away", "crash", "pause")}
    spared = [g for g in (s.name for s in run.seats) if g not in named]
    apart = 1.0
    if named and spared and not result.breach:
        calm = Run(msgspec.structs.replace(plan, faults=[]))
        beside = Watch(calm)
        calm.play()
        apart = sum(g in spared for _, g in watch.served) / max(1, sum(g in spared for _, g in beside.served))
    quotas = run.referee.quotas
    minute = max((-s.lowest / (quotas.stated[plan][1] + 60 * quotas.stated[plan][0])
                  for (plan, _), s in quotas.stores.items()), default=0.0)
    sent = sum(s.gateway.counters.messages_out for s in run.seats) / len(run.seats) / result.seconds
    return Row(failure, seed, f"{result.breach.rule}: {result.breach.text}" if result.breach else "",
               quotas.worst, quotas.nearest, quotas.sent, quotas.best, result.tally.get("served", 0), sent,
               minute, watch.out, apart, watch.open, watch.back_s(CALM_MS / 1000) if plan.faults else 0.0)


def play_all(seeds: range, gateways: int, last_ms: int, gossip: bool, jobs: int) -> Iterator[Row]:
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(seeds))) as pool:
        yield from pool.imap_unordered(
            partial(play, gateways=gateways, last_ms=last_ms, gossip=gossip), seeds)


def table(rows: list[Row]) -> str:
    """One line a failure."""
    lines = [f"{'failure':12}{'worlds':>7}{'worst units':>13}{'of a minute':>13}{'of its bound':>14}"
             f"{'goodput':>9}{'served':>8}{'msg/s':>7}{'out/server':>12}{'spared':>8}{'open':>6}"
             f"{'back, s':>9}"]
    for failure in FAILURES:
        mine = [r for r in rows if r.failure == failure]
        if mine:
            lines.append(
                f"{failure:12}{len(mine):7}{max(r.worst for r in mine):13.2f}"
                f"{100 * max(r.over_minute for r in mine):12.2f}%{max(r.of_bound for r in mine):14.2f}"
                f"{sum(r.sent for r in mine) / max(1e-9, sum(r.best for r in mine)):9.3f}"
                f"{sum(r.served for r in mine):8}{sum(r.messages for r in mine) / len(mine):7.1f}"
                f"{max(r.out for r in mine):12.1f}{sum(r.apart for r in mine) / len(mine):8.3f}"
                f"{max(r.open for r in mine):6.2f}"
                f"{sorted(r.back_s if r.back_s >= 0 else 99.0 for r in mine)[len(mine) // 2]:9.2f}")
    return "\n".join(lines)
