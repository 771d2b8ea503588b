"""Plans of the fault soak, drawn from a seed: faults from two or three groups that overlap in time.

Real processes play them (`field sweep --soak`). The faults of a plan begin around the same time, and every
plan has operators that put backends into maintenance meanwhile.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from .plan import Fault, Plan

LAST_MS: Final = 8000  # time of the last request
CENTER_MS: Final = (1500, 3500)  # range of the time around which the faults begin
MAX_OFFSET_MS: Final = 400  # by which a group of faults begins before or after that time
REQUESTS_PER_GATEWAY: Final = (
    40  # per gateway: about what all quotas together admit, and what the backends can serve
)
LARGE_CLOCK_STEP_S: Final = 3600.0
SMALL_CLOCK_STEP_S: Final = 7.0

Draw = Callable[[random.Random, Plan, int], list[Fault]]


def _draw_numbers(rng: random.Random, count: int, max_count: int) -> list[int]:
    return rng.sample(range(count), rng.randint(1, min(max_count, count)))


def _restarts(rng: random.Random, plan: Plan, at_ms: int) -> list[Fault]:
    """Restarts gateways: by SIGKILL, by SIGTERM, or by a kill in the middle of a write."""
    targets = _draw_numbers(rng, plan.gateways, max(2, plan.gateways // 3))
    kind = rng.choice(("crash", "roll", "roll", "kill_in_write"))
    down_ms = rng.randint(50, 1500)
    faults = [Fault(kind, at_ms, 11_000 if kind == "kill_in_write" else down_ms, targets)]
    if rng.random() < 0.3:  # and once more after their restart
        faults.append(Fault("crash", at_ms + down_ms + rng.randint(100, 1500), 100, targets[:1]))
    return faults


def _upgrade(rng: random.Random, plan: Plan, at_ms: int) -> list[Fault]:
    """Upgrades some gateways to the next version."""
    return [Fault("upgrade", at_ms, 0, _draw_numbers(rng, plan.gateways, 4))]


def _reloads(rng: random.Random, plan: Plan, at_ms: int) -> list[Fault]:
    """Reloads complete and truncated configuration files in a row."""
    targets = _draw_numbers(rng, plan.gateways, plan.gateways)
    faults = [Fault("bad_reload", at_ms, 0, targets, float(rng.randint(2, 9)))]
    if rng.random() < 0.7:
        faults.append(Fault("discovery_moved", at_ms + rng.randint(-50, 200), 0, targets))
    return faults


def _discovery(rng: random.Random, plan: Plan, at_ms: int) -> list[Fault]:
    """Makes discovery silent or late, or silences its watches, while backends drain."""
    targets = _draw_numbers(rng, plan.gateways, plan.gateways)
    kind = rng.choice(("discovery_silent", "discovery_late", "watch_lost"))
    faults = [Fault(kind, at_ms, rng.randint(500, 4000), targets, rng.uniform(0.2, 2.0))]
    faults.append(Fault("drain", at_ms + rng.randint(-100, 700), 3000, _draw_numbers(rng, plan.boxes, 3)))
    return faults


def _backends(rng: random.Random, plan: Plan, at_ms: int) -> list[Fault]:
    """Restarts backends, or makes them hang, fail, or slow to connect to."""
    kind = rng.choice(
        ("deploy", "box_crash", "hang", "refuse", "reset", "unreachable", "lag", "err", "full", "extra")
    )
    amount = {"lag": rng.randint(50, 500), "deploy": rng.random(), "box_crash": rng.random()}
    return [
        Fault(
            kind,
            at_ms,
            rng.randint(300, 2500),
            _draw_numbers(rng, plan.boxes, 5),
            amount.get(kind, rng.random()),
        )
    ]


def _clients(rng: random.Random, plan: Plan, at_ms: int) -> list[Fault]:
    """Makes clients disconnect, send bursts, or violate the protocol."""
    kind = rng.choice(("rude", "leave", "surge"))
    amount = {"rude": rng.randint(5, 30), "leave": rng.uniform(0.3, 0.9), "surge": rng.uniform(2, 6)}
    targets = _draw_numbers(rng, plan.gateways, 4) if kind == "rude" else []
    return [Fault(kind, at_ms, rng.randint(500, 2500), targets, amount[kind])]


def _clock(rng: random.Random, plan: Plan, at_ms: int) -> list[Fault]:
    """Steps wall clocks forward or back, by seconds or an hour, and restarts some of the gateways."""
    targets = _draw_numbers(rng, plan.gateways, plan.gateways)
    step = rng.choice((-1, 1)) * rng.choice((SMALL_CLOCK_STEP_S, LARGE_CLOCK_STEP_S))
    faults = [Fault("clock_step", at_ms + rng.randint(-800, 300), rng.choice((0, 2500)), targets, step)]
    if rng.random() < 0.6:
        faults.append(Fault(rng.choice(("crash", "roll")), at_ms, rng.randint(50, 800), targets[:3]))
    return faults


def _system_calls(rng: random.Random, plan: Plan, at_ms: int) -> list[Fault]:
    """Makes system calls fail, reads and writes short, and connections break."""
    targets = _draw_numbers(rng, plan.gateways, plan.gateways)
    faults = [Fault("syscalls", at_ms, rng.randint(500, 4000), targets, rng.uniform(0.05, 0.5))]
    if rng.random() < 0.5:
        faults.append(Fault("short_io", at_ms, rng.randint(500, 4000), targets, rng.uniform(0.05, 0.4)))
    if rng.random() < 0.3:
        faults.append(Fault("broken_io", at_ms, rng.randint(500, 2000), targets, rng.uniform(0.01, 0.1)))
    return faults


def _disk(rng: random.Random, plan: Plan, at_ms: int) -> list[Fault]:
    """Makes writes or reads of the gateways' folders fail while gateways restart."""
    targets = _draw_numbers(rng, plan.gateways, plan.gateways)
    kind = rng.choice(("disk_write", "disk_write", "disk_read"))
    faults = [Fault(kind, at_ms, rng.randint(500, 4000), targets, rng.choice((0.5, 1.0)))]
    faults.append(Fault("crash", at_ms + rng.randint(100, 2500), rng.randint(50, 800), targets[:2]))
    return faults


def _peers(rng: random.Random, plan: Plan, at_ms: int) -> list[Fault]:
    """Cuts the datagrams between gateways, or loses a share of them."""
    kind = rng.choice(("peers_cut", "peers_loss"))
    return [
        Fault(
            kind, at_ms, rng.randint(300, 3000), _draw_numbers(rng, plan.gateways, 4), rng.uniform(0.2, 0.9)
        )
    ]


GROUPS: Final[dict[str, Draw]] = {
    "ends": _restarts,
    "upgrade": _upgrade,
    "reloads": _reloads,
    "discovery": _discovery,
    "servers": _backends,
    "clients": _clients,
    "clock": _clock,
    "calls": _system_calls,
    "disk": _disk,
    "peers": _peers,
}
KIND: Final = "soak"


def groups(seed: int) -> list[str]:
    """Returns the groups of a seed's faults; ten consecutive seeds each begin with a different group."""
    rng = random.Random(f"soak groups {seed}")
    names = list(GROUPS)
    first = names[seed % len(names)]
    others = [n for n in names if n != first]
    return [first, *rng.sample(others, rng.choice((1, 2, 2)))]


def draw(seed: int, gateways: int) -> Plan:
    """Returns the plan of a seed."""
    rng = random.Random(f"soak {seed}")
    plan = Plan(
        seed=seed,
        gateways=gateways,
        boxes=rng.randint(8, 12),
        requests=REQUESTS_PER_GATEWAY * gateways,
        last_ms=LAST_MS,
        connect_ms=rng.choice((250, 250, 800)),
        drops_left=rng.random() < 0.6,
        cancel=rng.random() < 0.8,
        anchored=rng.random() < 0.6,
        udp_loss=0.02,
        greedy=0.05,
    )
    center_ms = rng.randint(*CENTER_MS)
    for name in groups(seed):
        plan.faults += GROUPS[name](rng, plan, center_ms + rng.randint(-MAX_OFFSET_MS, MAX_OFFSET_MS))
    plan.faults += _operators(rng, plan, center_ms)
    plan.faults.sort(key=lambda f: (f.at_ms, f.kind))
    return plan


def _operators(rng: random.Random, plan: Plan, center_ms: int) -> list[Fault]:
    """Puts two backends into maintenance: one long before the other faults, with an optional end, and the
    other close to them."""
    first, second = rng.sample(range(plan.boxes), 2)
    return [
        Fault("maintenance", 300, rng.choice((0, LAST_MS - 2000)), [first]),
        Fault(
            "maintenance",
            center_ms + rng.randint(-150, 300),
            0,
            [second],
            to=_draw_numbers(rng, plan.gateways, 4),
        ),
    ]
