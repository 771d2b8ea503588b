"""Plans of failures of the messages between gateways that share quotas by leases, drawn by seed.

Both the simulation on virtual time and real processes run these plans. Customers request more than their
quotas, in half of the plans through half of the gateways or more, so that the gateways have to lease units
to each other. Every failure begins 1.2 s after the load and ends before the load does.
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
FAILURE_START_MS, LOAD_MS = 1200, 8000  # start of the failure; default length of the load
ZONE_COUNT = len(traffic.ZONES)
RECOVERY_DIVISOR = 5  # one part in this many of the load comes after the failure


def _draw_groups(rng: random.Random, gateways: int, group_count: int) -> list[list[int]]:
    """Draws a partition of the gateways into groups, none of them empty."""
    shuffled = rng.sample(range(gateways), gateways)
    cuts = sorted(rng.sample(range(1, gateways), min(group_count, gateways) - 1))
    return [sorted(shuffled[a:b]) for a, b in zip([0, *cuts], [*cuts, gateways], strict=True)]


def _partition_faults(
    groups: list[list[int]], begin_ms: int, length_ms: int, direction: str = "both"
) -> list[Fault]:
    return [
        Fault("peers_cut", begin_ms, length_ms, group, 0.0, other_group, direction)  # type: ignore[arg-type]
        for k, group in enumerate(groups)
        for other_group in groups[k + 1 :]
    ]


def _alternating_traffic(groups: list[list[int]], begin_ms: int, length_ms: int, phases: int) -> list[Fault]:
    """Sends all traffic to each group of a partition in turn."""
    step_ms = length_ms // phases
    return [Fault("move", begin_ms + k * step_ms, step_ms, groups[k % len(groups)]) for k in range(phases)]


def _halves(rng: random.Random, gateways: int, begin_ms: int, length_ms: int) -> list[Fault]:
    return _partition_faults(_draw_groups(rng, gateways, 2), begin_ms, length_ms)


def _one_way(rng: random.Random, gateways: int, begin_ms: int, length_ms: int) -> list[Fault]:
    return _partition_faults(_draw_groups(rng, gateways, 2), begin_ms, length_ms, rng.choice(("out", "in")))


def _ring(rng: random.Random, gateways: int, begin_ms: int, length_ms: int) -> list[Fault]:
    return [Fault("peers_ring", begin_ms, length_ms)]


def _thirds(rng: random.Random, gateways: int, begin_ms: int, length_ms: int) -> list[Fault]:
    groups = _draw_groups(rng, gateways, 3)
    return _partition_faults(groups, begin_ms, length_ms) + _alternating_traffic(
        groups, begin_ms, length_ms, len(groups)
    )


def _loss(rng: random.Random, gateways: int, begin_ms: int, length_ms: int) -> list[Fault]:
    return [Fault("peers_loss", begin_ms, length_ms, [], rng.choice((0.5, 0.9)))]


def _late(rng: random.Random, gateways: int, begin_ms: int, length_ms: int) -> list[Fault]:
    return [
        Fault("peers_late", begin_ms, length_ms, [], rng.choice((40, 150, 600))),
        Fault("peers_shuffled", begin_ms, length_ms, [], rng.choice((30, 400))),
        Fault("peers_twice", begin_ms, length_ms, [], rng.choice((0.3, 1.0))),
    ]


def _moving(rng: random.Random, gateways: int, begin_ms: int, length_ms: int) -> list[Fault]:
    """Partitions the fleet five times in a row, with all traffic on one side, then on the other."""
    groups, step_ms, faults = _draw_groups(rng, gateways, 2), length_ms // 5, []
    for k in range(5):
        step_begin_ms = begin_ms + k * step_ms
        faults += _partition_faults(groups, step_begin_ms, step_ms // 2)
        faults += [
            Fault("move", step_begin_ms, step_ms // 2, groups[k % 2]),
            Fault("move", step_begin_ms + step_ms // 2, step_ms - step_ms // 2, groups[1 - k % 2]),
        ]
    return faults


def _paused(rng: random.Random, gateways: int, begin_ms: int, length_ms: int) -> list[Fault]:
    """Suspends half of the gateways for up to 3 s; they resume with their old state."""
    return [
        Fault("pause", begin_ms + rng.randint(0, 300), min(length_ms, 3000), [g])
        for g in rng.sample(range(gateways), max(1, gateways // 2))
    ]


def _killed(rng: random.Random, gateways: int, begin_ms: int, length_ms: int) -> list[Fault]:
    """Partitions the fleet and kills half of the gateways, which restart under their old names meanwhile."""
    groups = _draw_groups(rng, gateways, 2)
    return _partition_faults(groups, begin_ms, length_ms) + [
        Fault("crash", begin_ms + rng.randint(100, max(101, length_ms // 2)), rng.randint(200, 900), [g])
        for g in rng.sample(range(gateways), max(1, gateways // 2))
    ]


def _flapping(rng: random.Random, gateways: int, begin_ms: int, length_ms: int) -> list[Fault]:
    groups, step_ms = _draw_groups(rng, gateways, 2), 400
    return [
        f
        for step_begin_ms in range(begin_ms, begin_ms + length_ms, 2 * step_ms)
        for f in _partition_faults(groups, step_begin_ms, step_ms)
    ]


def _blind(rng: random.Random, gateways: int, begin_ms: int, length_ms: int) -> list[Fault]:
    """Partitions the fleet; one side also reaches no backend, and one backend really fails meanwhile."""
    groups = _draw_groups(rng, gateways, 2)
    return [
        *_partition_faults(groups, begin_ms, length_ms),
        Fault("away", begin_ms, length_ms, groups[0]),
        Fault("hang", begin_ms + 500, max(1, length_ms - 500), [rng.randrange(100)]),
    ]


def _lying(rng: random.Random, gateways: int, begin_ms: int, length_ms: int) -> list[Fault]:
    """Cuts the gateways of one zone off from all backends, but not from their peers.

    Their reports on the backends contradict what all other gateways observe.
    """
    zone = rng.randrange(ZONE_COUNT)
    return [Fault("away", begin_ms, length_ms, [g for g in range(gateways) if g % ZONE_COUNT == zone])]


def _mass_kill(rng: random.Random, gateways: int, begin_ms: int, length_ms: int) -> list[Fault]:
    """Kills seven in ten gateways at once; each restarts after a time of its own."""
    return [
        Fault("crash", begin_ms, length_ms // 2 + rng.randint(0, length_ms // 4), [g])
        for g in rng.sample(range(gateways), max(1, gateways * 7 // 10))
    ]


def _mixed(rng: random.Random, gateways: int, begin_ms: int, length_ms: int) -> list[Fault]:
    """Combines two kinds of failure; half of the messages are lost in their second half and after it."""
    kinds = rng.sample([k for k in FAULT_DRAWERS if k not in ("none", "mixed")], 2)
    faults = [f for k in kinds for f in FAULT_DRAWERS[k](rng, gateways, begin_ms, length_ms)]
    return [*faults, Fault("peers_loss", begin_ms + length_ms // 2, length_ms // 2 + 600, [], 0.5)]


FAULT_DRAWERS: dict[str, Callable[[random.Random, int, int, int], list[Fault]]] = {
    "none": lambda rng, gateways, begin_ms, length_ms: [],
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
    """Draws the plan of a seed, a fleet size and a failure. ValueError if there is no such failure."""
    if failure not in FAULT_DRAWERS:
        raise ValueError(f"no such failure: {failure}")
    rng = random.Random(f"shared {seed} {gateways} {failure}")
    length_ms = last_ms - FAILURE_START_MS - last_ms // RECOVERY_DIVISOR
    faults = FAULT_DRAWERS[failure](rng, gateways, FAILURE_START_MS, length_ms)
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


RESTART_FAULTS, PAUSE_FAULTS = ("crash", "roll", "skew", "upgrade"), ("pause",)


def stated_bounds(
    plan: Plan, settings: LeaseSettings
) -> tuple[dict[str, tuple[float, float, float]], dict[str, float]]:
    """Returns two values for each customer plan: the quota with its bound, and the initial fill ratio.

    The first is the rate, the burst and the stated bound on the overshoot under the faults of this simulation
    plan, in units. The second is the ratio of the burst with which a token bucket starts.
    """
    kinds = {f.kind for f in plan.faults}
    restarts, pauses = kinds & set(RESTART_FAULTS), kinds & set(PAUSE_FAULTS)
    failure = "all" if restarts and pauses else "restart" if restarts else "paused" if pauses else "cut"
    specs = settings_codec.read_settings(json.dumps(traffic.settings(plan, 0)).encode()).plans
    bounds, initial_fill = {}, {}
    for name, (_, rate, burst, *_) in traffic.PLANS.items():
        spec = next(p for p in specs if p.name == name)
        quotas = [
            quota_of_plan(spec, spread, traffic.MAX_REQUEST_UNITS) for spread in range(1, plan.gateways + 1)
        ]
        max_units = max(
            b.units for q in quotas for b in overshoot_bounds(q, settings) if b.failure == failure
        )
        bounds[name] = rate, rate * burst, max_units
        initial_fill[name] = initial_fill_ratio(quotas[0], settings)
    return bounds, initial_fill
