"""Plans in which a part of the fleet hears nothing: one failure of a kind, drawn by seed, for virtual time
and for real processes alike.

Customers ask for more than their quotas through half of the gateways or more, so that what the gateways
share is worth something; every failure begins after a calm second and ends before the load does.
"""

from __future__ import annotations

import json
import random
from collections.abc import Callable

from ..decisions.quota_bounds import quota_of_plan
from ..leases.overshoot_bound import initial_fill_ratio, overshoot_bounds
from ..leases.settings import LeaseSettings
from ..simulator import settings_codec
from . import traffic
from .plan import Fault, Plan

FAILURES = (
    "none",
    "halves",
    "one-way",
    "ring",
    "thirds",
    "loss",
    "late",
    "moving",
    "paused",
    "killed",
    "flapping",
    "blind",
    "lying",
    "mass-kill",
    "mixed",
)
FAILURE_START_MS, LOAD_MS = 1200, 8000  # before the failure; the load, unless told otherwise
ZONES = len(traffic.ZONES)
HEALED = 5  # the load goes on after the failure for one part in so many of its length


def _groups(rng: random.Random, gateways: int, ways: int) -> list[list[int]]:
    """A drawn partition: no group empty."""
    order = rng.sample(range(gateways), gateways)
    cuts = sorted(rng.sample(range(1, gateways), min(ways, gateways) - 1))
    return [sorted(order[a:b]) for a, b in zip([0, *cuts], [*cuts, gateways], strict=True)]


def _cut(groups: list[list[int]], at: int, length: int, way: str = "both") -> list[Fault]:
    return [
        Fault("peers_cut", at, length, one, 0.0, other, way)  # type: ignore[arg-type]
        for k, one in enumerate(groups)
        for other in groups[k + 1 :]
    ]


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
    return [
        Fault("peers_late", at, length, [], rng.choice((40, 150, 600))),
        Fault("peers_shuffled", at, length, [], rng.choice((30, 400))),
        Fault("peers_twice", at, length, [], rng.choice((0.3, 1.0))),
    ]


def _moving(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    """A cut five times in a row, with all traffic on the side that hears less."""
    groups, step, made = _groups(rng, n, 2), length // 5, []
    for k in range(5):
        begin = at + k * step
        made += _cut(groups, begin, step // 2)
        made += [
            Fault("move", begin, step // 2, groups[k % 2]),
            Fault("move", begin + step // 2, step - step // 2, groups[1 - k % 2]),
        ]
    return made


def _paused(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    """Half of the gateways get no CPU for 3 s, and wake with what they knew."""
    return [
        Fault("pause", at + rng.randint(0, 300), min(length, 3000), [g])
        for g in rng.sample(range(n), max(1, n // 2))
    ]


def _killed(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    """Half are killed behind a cut and come back, on the silent side, under their old names."""
    groups = _groups(rng, n, 2)
    return _cut(groups, at, length) + [
        Fault("crash", at + rng.randint(100, max(101, length // 2)), rng.randint(200, 900), [g])
        for g in rng.sample(range(n), max(1, n // 2))
    ]


def _flapping(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    groups, step = _groups(rng, n, 2), 400
    return [f for begin in range(at, at + length, 2 * step) for f in _cut(groups, begin, step)]


def _blind(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    """One side of a cut sees all servers dead too; one server really fails meanwhile."""
    groups = _groups(rng, n, 2)
    return [
        *_cut(groups, at, length),
        Fault("away", at, length, groups[0]),
        Fault("hang", at + 500, max(1, length - 500), [rng.randrange(100)]),
    ]


def _lying(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    """The gateways of one zone reach no server, and hear and are heard as ever: what they say of the
    servers is no one else's experience."""
    zone = rng.randrange(ZONES)
    return [Fault("away", at, length, [g for g in range(n) if g % ZONES == zone])]


def _mass_kill(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    """Seven in ten at one stroke, back after some seconds one by one."""
    return [
        Fault("crash", at, length // 2 + rng.randint(0, length // 4), [g])
        for g in rng.sample(range(n), max(1, n * 7 // 10))
    ]


def _mixed(rng: random.Random, n: int, at: int, length: int) -> list[Fault]:
    """Two failures over each other, and the end of one with half of the messages lost."""
    kinds = rng.sample([k for k in MADE if k not in ("none", "mixed")], 2)
    made = [f for k in kinds for f in MADE[k](rng, n, at, length)]
    return [*made, Fault("peers_loss", at + length // 2, length // 2 + 600, [], 0.5)]


MADE: dict[str, Callable[[random.Random, int, int, int], list[Fault]]] = {
    "none": lambda rng, n, at, length: [],
    "halves": _halves,
    "one-way": _one_way,
    "ring": _ring,
    "thirds": _thirds,
    "loss": _loss,
    "late": _late,
    "moving": _moving,
    "paused": _paused,
    "killed": _killed,
    "flapping": _flapping,
    "blind": _blind,
    "lying": _lying,
    "mass-kill": _mass_kill,
    "mixed": _mixed,
}


def draw(seed: int, gateways: int, failure: str, last_ms: int = LOAD_MS) -> Plan:
    """The plan of a seed, a size and a failure. ValueError where there is no such failure."""
    if failure not in MADE:
        raise ValueError(f"no such failure: {failure}")
    rng = random.Random(f"shared {seed} {gateways} {failure}")
    length = last_ms - FAILURE_START_MS - last_ms // HEALED
    faults = MADE[failure](rng, gateways, FAILURE_START_MS, length)
    return Plan(
        seed=seed,
        gateways=gateways,
        wide=rng.random() < 0.5,
        boxes=max(10, gateways * 3 // 2),
        requests=max(400, 50 * gateways) * last_ms // LOAD_MS,
        last_ms=last_ms,
        udp_loss=rng.choice((0.0, 0.03, 0.073)),
        udp_twice=rng.choice((0.0, 0.05)),
        greedy=0.5,
        share=True,
        sockets=256,
        faults=sorted(faults, key=lambda f: (f.at_ms, f.kind)),
    )


STARTS, STOPS = ("crash", "roll", "skew", "upgrade"), ("pause",)


def stated_bounds(
    plan: Plan, settings: LeaseSettings
) -> tuple[dict[str, tuple[float, float, float]], dict[str, float]]:
    """By plan of the customers: rate, burst and the bound under this plan's faults, in units; and the part of
    the burst that a start finds."""
    kinds = {f.kind for f in plan.faults}
    starts, stops = kinds & set(STARTS), kinds & set(STOPS)
    failure = "all" if starts and stops else "restart" if starts else "paused" if stops else "cut"
    specs = settings_codec.read_settings(json.dumps(traffic.settings(plan, 0)).encode()).plans
    found, opening = {}, {}
    for name, (_, rate, burst, *_) in traffic.PLANS.items():
        spec = next(p for p in specs if p.name == name)
        quotas = [quota_of_plan(spec, spread, traffic.MOST_UNITS) for spread in range(1, plan.gateways + 1)]
        most = max(b.units for q in quotas for b in overshoot_bounds(q, settings) if b.failure == failure)
        found[name] = rate, rate * burst, most
        opening[name] = initial_fill_ratio(quotas[0], settings)
    return found, opening
