"""Plans of the fault soak: two or three troubles of different kinds that overlap in time, drawn from a seed.

Real processes play them (`field sweep --soak`). A trouble belongs to one of the groups below; a plan takes
its troubles from as many groups, all around one instant, and every plan has operators at work beside them.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Final

from .plan import Fault, Plan

LAST_MS: Final = 8000  # requests come until then
INSTANT_MS: Final = (1500, 3500)  # at which the troubles meet
APART_MS: Final = 400  # by which they begin before or after it, at most
REQUESTS_EACH: Final = 40  # of a gateway: about what all quotas together let through, and servers bear
GREAT_STEP_S: Final = 3600.0
SMALL_STEP_S: Final = 7.0

Draw = Callable[[random.Random, Plan, int], list[Fault]]


def _some(rng: random.Random, count: int, most: int) -> list[int]:
    return rng.sample(range(count), rng.randint(1, min(most, count)))


def _ends(rng: random.Random, plan: Plan, at: int) -> list[Fault]:
    """Gateways end and are started again: killed, stopped, or killed in the middle of a write."""
    who = _some(rng, plan.gateways, max(2, plan.gateways // 3))
    kind = rng.choice(("crash", "roll", "roll", "kill_in_write"))
    down_ms = rng.randint(50, 1500)
    made = [Fault(kind, at, 11_000 if kind == "kill_in_write" else down_ms, who)]
    if rng.random() < 0.3:  # and once more, as soon as they are back
        made.append(Fault("crash", at + down_ms + rng.randint(100, 1500), 100, who[:1]))
    return made


def _upgrade(rng: random.Random, plan: Plan, at: int) -> list[Fault]:
    """The next version takes over at some gateways."""
    return [Fault("upgrade", at, 0, _some(rng, plan.gateways, 4))]


def _reloads(rng: random.Random, plan: Plan, at: int) -> list[Fault]:
    """New configurations, whole and half ones, in a row."""
    who = _some(rng, plan.gateways, plan.gateways)
    made = [Fault("bad_reload", at, 0, who, float(rng.randint(2, 9)))]
    if rng.random() < 0.7:
        made.append(Fault("discovery_moved", at + rng.randint(-50, 200), 0, who))
    return made


def _discovery(rng: random.Random, plan: Plan, at: int) -> list[Fault]:
    """Discovery is silent, late, or forgets its watches, while servers drain."""
    who = _some(rng, plan.gateways, plan.gateways)
    kind = rng.choice(("discovery_silent", "discovery_late", "watch_lost"))
    made = [Fault(kind, at, rng.randint(500, 4000), who, rng.uniform(0.2, 2.0))]
    made.append(Fault("drain", at + rng.randint(-100, 700), 3000, _some(rng, plan.boxes, 3)))
    return made


def _servers(rng: random.Random, plan: Plan, at: int) -> list[Fault]:
    """Backend servers go, come back cold, hang, break, or are slow to connect to."""
    kind = rng.choice(
        ("deploy", "box_crash", "hang", "refuse", "reset", "unreachable", "lag", "err", "full", "extra")
    )
    amount = {"lag": rng.randint(50, 500), "deploy": rng.random(), "box_crash": rng.random()}
    return [
        Fault(kind, at, rng.randint(300, 2500), _some(rng, plan.boxes, 5), amount.get(kind, rng.random()))
    ]


def _clients(rng: random.Random, plan: Plan, at: int) -> list[Fault]:
    """Clients leave, flood, or keep to no protocol."""
    kind = rng.choice(("rude", "leave", "surge"))
    amount = {"rude": rng.randint(5, 30), "leave": rng.uniform(0.3, 0.9), "surge": rng.uniform(2, 6)}
    who = _some(rng, plan.gateways, 4) if kind == "rude" else []
    return [Fault(kind, at, rng.randint(500, 2500), who, amount[kind])]


def _clock(rng: random.Random, plan: Plan, at: int) -> list[Fault]:
    """Wall clocks are stepped, forward or back, a little or by an hour; some of the gateways start anew."""
    who = _some(rng, plan.gateways, plan.gateways)
    step = rng.choice((-1, 1)) * rng.choice((SMALL_STEP_S, GREAT_STEP_S))
    made = [Fault("clock_step", at + rng.randint(-800, 300), rng.choice((0, 2500)), who, step)]
    if rng.random() < 0.6:
        made.append(Fault(rng.choice(("crash", "roll")), at, rng.randint(50, 800), who[:3]))
    return made


def _calls(rng: random.Random, plan: Plan, at: int) -> list[Fault]:
    """System calls fail for a moment; reads and writes are short; broken connections show."""
    who = _some(rng, plan.gateways, plan.gateways)
    made = [Fault("syscalls", at, rng.randint(500, 4000), who, rng.uniform(0.05, 0.5))]
    if rng.random() < 0.5:
        made.append(Fault("short_io", at, rng.randint(500, 4000), who, rng.uniform(0.05, 0.4)))
    if rng.random() < 0.3:
        made.append(Fault("broken_io", at, rng.randint(500, 2000), who, rng.uniform(0.01, 0.1)))
    return made


def _disk(rng: random.Random, plan: Plan, at: int) -> list[Fault]:
    """The folder takes no writes, or gives no reads, for a while, as a gateway ends beside it."""
    who = _some(rng, plan.gateways, plan.gateways)
    kind = rng.choice(("disk_write", "disk_write", "disk_read"))
    made = [Fault(kind, at, rng.randint(500, 4000), who, rng.choice((0.5, 1.0)))]
    made.append(Fault("crash", at + rng.randint(100, 2500), rng.randint(50, 800), who[:2]))
    return made


def _peers(rng: random.Random, plan: Plan, at: int) -> list[Fault]:
    """Datagrams between gateways are cut off or lost."""
    kind = rng.choice(("peers_cut", "peers_loss"))
    return [Fault(kind, at, rng.randint(300, 3000), _some(rng, plan.gateways, 4), rng.uniform(0.2, 0.9))]


GROUPS: Final[dict[str, Draw]] = {
    "ends": _ends,
    "upgrade": _upgrade,
    "reloads": _reloads,
    "discovery": _discovery,
    "servers": _servers,
    "clients": _clients,
    "clock": _clock,
    "calls": _calls,
    "disk": _disk,
    "peers": _peers,
}
KIND: Final = "soak"


def groups(seed: int) -> list[str]:
    """Of the troubles of a seed; each seed of ten in a row leads with another group."""
    rng = random.Random(f"soak groups {seed}")
    names = list(GROUPS)
    first = names[seed % len(names)]
    others = [n for n in names if n != first]
    return [first, *rng.sample(others, rng.choice((1, 2, 2)))]


def draw(seed: int, gateways: int) -> Plan:
    """The plan of a seed."""
    rng = random.Random(f"soak {seed}")
    plan = Plan(
        seed=seed,
        gateways=gateways,
        boxes=rng.randint(8, 12),
        requests=REQUESTS_EACH * gateways,
        last_ms=LAST_MS,
        connect_ms=rng.choice((250, 250, 800)),
        drops_left=rng.random() < 0.6,
        cancel=rng.random() < 0.8,
        anchored=rng.random() < 0.6,
        udp_loss=0.02,
        greedy=0.05,
    )
    instant = rng.randint(*INSTANT_MS)
    for name in groups(seed):
        plan.faults += GROUPS[name](rng, plan, instant + rng.randint(-APART_MS, APART_MS))
    plan.faults += _operators(rng, plan, instant)
    plan.faults.sort(key=lambda f: (f.at_ms, f.kind))
    return plan


def _operators(rng: random.Random, plan: Plan, instant: int) -> list[Fault]:
    """Two servers are taken out: one long before the instant, one right at it; the first is put back late."""
    first, second = rng.sample(range(plan.boxes), 2)
    return [
        Fault("maintenance", 300, rng.choice((0, LAST_MS - 2000)), [first]),
        Fault("maintenance", instant + rng.randint(-150, 300), 0, [second], to=_some(rng, plan.gateways, 4)),
    ]
