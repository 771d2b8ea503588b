"""A world's plan: sizes, the network's manners, and faults with their instants.

A plan is drawn from a seed (`draw`), so that one seed is one world; or written by hand as YAML (`load`),
where all that is left out takes its usual value. Times are milliseconds from the first request on.
"""

from __future__ import annotations

import random
from pathlib import Path
from typing import Annotated, Literal

import msgspec
import yaml

from ..serialization import typed_yaml

Kind = Literal[
    "crash",
    "roll",
    "deploy",
    "box_crash",
    "drain",
    "slow",
    "hang",
    "refuse",
    "spoil",
    "err",
    "reset",
    "peers_cut",
    "peers_loss",
    "discovery_late",
    "discovery_silent",
    "discovery_moved",
    "shift",
    "surge",
    "rude",
    "pause",
    "leave",
    "skew",
    "unreachable",
    "full",
    "lag",
    "extra",
    "watch_lost",
    "peers_late",
    "peers_shuffled",
    "peers_twice",
    "peers_rate",
    "peers_ring",
    "away",
    "move",
    "upgrade",
    "keeper_gone",
    "keeper_swapped",
    "keeper_slow",
    "keeper_split",
    "clock_step",
    "syscalls",
    "short_io",
    "broken_io",
    "disk_write",
    "disk_read",
    "kill_in_write",
    "maintenance",
    "bad_reload",
]
SHIM_KINDS: tuple[str, ...] = (
    "clock_step",
    "syscalls",
    "short_io",
    "broken_io",
    "disk_write",
    "disk_read",
    "kill_in_write",
)  # of a gateway's machine: real processes play them by the shim of `field`
REAL_PROCESS_KINDS: tuple[str, ...] = (
    "upgrade",
    "maintenance",
    "bad_reload",
    *SHIM_KINDS,
)  # only real processes play these

AtMs = Annotated[int, msgspec.Meta(ge=-1000, le=60_000)]
DurationMs = Annotated[int, msgspec.Meta(ge=0, le=60_000)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Fault(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """One thing that goes wrong. `targets` counts gateways or boxes, round, and so does `to`, the other end of a
    way that is cut or slow; `way` tells in which direction; `amount` is as the kind says."""

    kind: Kind
    at_ms: AtMs
    for_ms: DurationMs = 0
    targets: list[int] = msgspec.field(name="who", default_factory=list)
    amount: float = 0.0
    to: list[int] = []
    way: Literal["both", "out", "in"] = "both"


class Plan(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """All of one world."""

    seed: int
    gateways: Annotated[int, msgspec.Meta(ge=1, le=250)] = 3
    wide: bool = False  # customers come in through half of the gateways or more, those of `plus` excepted
    boxes: Annotated[int, msgspec.Meta(ge=1, le=250)] = 10
    requests: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 160
    only: list[int] | None = None  # numbers of the requests that are asked; none: all
    last_ms: Annotated[int, msgspec.Meta(ge=1, le=60_000)] = 3500  # requests come until then
    quantum_us: Annotated[int, msgspec.Meta(ge=0, le=20_000)] = 0  # a gateway looks once in so long
    window_bytes: Annotated[int, msgspec.Meta(ge=16, le=1 << 20)] = 65536
    read_bytes: Annotated[int, msgspec.Meta(ge=0, le=1 << 20)] = 0
    split: Annotated[float, msgspec.Meta(ge=0, le=0.9)] = 0.0
    udp_loss: Ratio = 0.03
    udp_twice: Ratio = 0.0
    drops_left: bool = True  # boxes drop waiting work whose connection ended
    connect_ms: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 250  # a gateway waits so long for one
    cancel: bool = True  # the settings let a gateway take attempts back
    # Quotas are enforced through a quota service, with a stated overshoot bound.
    quota_service: bool = msgspec.field(name="keeper", default=False)
    plus_beyond: bool = False  # what `plus` asks beyond its quota is worth more than it costs
    crossing: Ratio = 0.0  # part of the ends of clients' connections at which a request goes out on them
    sockets: Annotated[int, msgspec.Meta(ge=40, le=4096)] = 256
    greedy: Ratio | None = None  # part of the customers that ask for 2.5 to 6 times their quotas; none: drawn
    asked: bool = False  # discovery is one service for all, which has to be asked
    lists_per_s: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 0.0  # whole lists that it tells; 0: at once
    share: bool = False  # quotas by parts and loans, with a stated bound
    start: bool = False  # gateways start beside each other: lists from peers, a pace at first
    place: bool = False  # zones are chosen in common
    subset: bool = False  # each gateway uses a part of the endpoints
    anchored: bool = True  # requests and their deadlines gather at the instants of faults
    known: bool = True  # gateways start with the last list that their machines had; else with none
    one_address: bool = False  # boxes have one address for all gateways, which are known by their requests
    faults: list[Fault] = []


WORST_KINDS: tuple[Kind, ...] = (
    "crash",
    "deploy",
    "shift",
)  # the operators' worst: restart, cold boxes, a move
COMMON_KINDS: tuple[Kind, ...] = ("crash", "roll", "deploy", "drain", "box_crash", "shift", "surge")
SHARED_STATE_KINDS: tuple[Kind, ...] = (
    "peers_late",
    "peers_shuffled",
    "peers_twice",
    "peers_rate",
    "peers_ring",
    "away",
    "move",
)  # drawn by `shared.draw`
RARE_KINDS: tuple[Kind, ...] = (
    "slow",
    "hang",
    "refuse",
    "spoil",
    "err",
    "reset",
    "peers_cut",
    "peers_loss",
    "discovery_late",
    "discovery_silent",
    "discovery_moved",
    "rude",
    "pause",
    "leave",
    "skew",
    "unreachable",
    "full",
    "lag",
    "extra",
    "watch_lost",
)


def draw(seed: int) -> Plan:
    """The world of a seed: most of its faults fall into one second."""
    rng = random.Random(f"plan {seed}")
    plan = Plan(
        seed=seed,
        gateways=rng.choice((3, 3, 3, 4)),
        boxes=rng.randint(10, 12),
        requests=rng.randint(150, 190),
        quantum_us=rng.choice((0, 0, 100, 500, 2000)),
        window_bytes=rng.choice((65536, 65536, 65536, 4096, 300)),
        read_bytes=rng.choice((0, 0, 0, 0, 37)),
        split=rng.choice((0.0, 0.0, 0.1, 0.3)),
        udp_loss=rng.choice((0.0, 0.03, 0.08)),
        udp_twice=rng.choice((0.0, 0.0, 0.1)),
        drops_left=rng.random() < 0.6,
        sockets=rng.choice((64, 128, 256, 256)),
        connect_ms=rng.choice((250, 250, 800, 1500)),
        plus_beyond=rng.random() < 0.3,
        last_ms=9000 if rng.random() < 0.1 else 3500,
    )
    heart = rng.randint(700, 2200)
    plan.cancel = rng.random() < 0.8
    hearts = rng.sample(range(plan.boxes), 3)  # most faults of boxes meet here
    kinds: list[Kind] = list(WORST_KINDS) if rng.random() < 0.35 else [rng.choice(COMMON_KINDS)]
    kinds += [
        rng.choice(COMMON_KINDS if rng.random() < 0.4 else RARE_KINDS) for _ in range(rng.randint(2, 4))
    ]
    for kind in kinds:
        near = rng.random() < 0.8
        at = heart + rng.randint(-200, 700) if near else rng.randint(0, plan.last_ms)
        fault = _fault(rng, kind, at, plan, hearts)
        plan.faults += [fault, *_beside(rng, fault, plan)]
    plan.faults.sort(key=lambda f: (f.at_ms, f.kind))
    # by a source of its own, so that the draws above stay what they were
    plan.crossing = random.Random(f"crossing {seed}").choice((0.0, 0.0, 1.0))
    return plan


def _beside(rng: random.Random, fault: Fault, plan: Plan) -> list[Fault]:
    """What meets a fault on purpose: the races that chance alone finds too seldom."""
    at, also = fault.at_ms, []
    if fault.kind in ("drain", "deploy") and rng.random() < 0.35:
        # connections that come up slowly, to boxes that drain meanwhile
        before = rng.randint(30, 400)
        also += [
            Fault("reset", max(0, at - before), 0, fault.targets),
            Fault("lag", max(0, at - before), 1500, fault.targets, rng.randint(100, 450)),
        ]
    elif fault.kind == "hang" and rng.random() < 0.5:
        # the late answer and the second copy's come to a gateway that sleeps
        also += [Fault("pause", at + fault.for_ms, rng.randint(50, 180), [n]) for n in range(plan.gateways)]
    elif fault.kind == "watch_lost":
        # long enough to see whether a drain behind it is ever learnt
        plan.last_ms = 9000
        also += [Fault("drain", at + rng.randint(50, 600), 8000, rng.sample(range(plan.boxes), 4))]
    elif fault.kind in ("spoil", "extra") and rng.random() < 0.3:
        also += [
            Fault("pause", at + rng.randint(0, 600), rng.randint(20, 100), [rng.randrange(plan.gateways)])
        ]
    return also


def _fault(rng: random.Random, kind: Kind, at: int, plan: Plan, hearts: list[int]) -> Fault:
    one_gateway, boxes = [rng.randrange(plan.gateways)], list(range(plan.boxes))
    few = rng.sample(hearts if rng.random() < 0.6 else boxes, rng.randint(1, 3))
    made: dict[str, tuple[int, list[int], float]] = {  # how long, whom, how much
        "crash": (rng.randint(200, 2500), one_gateway, 0),
        "roll": (rng.randint(200, 1500), one_gateway, 0),
        "deploy": (
            rng.randint(300, 1500),
            rng.sample(boxes, rng.choice((1, 2, 3, 5, 8, plan.boxes))),
            rng.random(),
        ),
        "box_crash": (rng.randint(100, 1500), few, rng.random()),
        "drain": (rng.choice((0, rng.randint(200, 2000))), few, 0),
        "slow": (rng.randint(500, 3000), [], rng.uniform(1.3, 2.6)),
        "hang": (rng.randint(300, 2500), few, 0),
        "refuse": (rng.randint(300, 2000), few, 0),
        "spoil": (
            rng.randint(500, 2500),
            rng.sample(boxes, rng.randint(1, len(boxes))),
            rng.uniform(0.05, 0.5),
        ),
        "err": (rng.randint(500, 2500), few, rng.uniform(0.2, 1.0)),
        "reset": (0, few, 0),
        "peers_cut": (rng.randint(300, 3000), one_gateway, 0),
        "peers_loss": (rng.randint(300, 3000), [], rng.uniform(0.2, 0.9)),
        "discovery_late": (rng.randint(500, 3000), one_gateway, rng.uniform(0.2, 2.0)),
        "discovery_silent": (rng.randint(300, 3500), one_gateway, 0),
        "discovery_moved": (0, one_gateway, 0),
        "shift": (0, [], rng.uniform(0.1, 0.6)),
        "surge": (rng.randint(300, 1500), [], rng.uniform(2.0, 8.0)),
        "rude": (rng.randint(200, 1500), one_gateway, rng.randint(3, 25)),
        "pause": (rng.randint(5, 180), one_gateway, 0),
        "leave": (rng.randint(100, 1000), [], rng.uniform(0.2, 0.8)),
        "skew": (0, one_gateway, rng.uniform(-0.5, 0.5)),
        "unreachable": (rng.randint(300, 2500), few, 0),
        "full": (rng.randint(300, 1500), few, 0),
        "lag": (rng.randint(300, 2500), few, rng.randint(20, 450)),
        "extra": (rng.randint(500, 3000), rng.sample(boxes, len(boxes) // 2), rng.uniform(0.1, 0.8)),
        "watch_lost": (0, one_gateway, 0),
    }
    length, who, amount = made[kind]
    return Fault(kind, at, length, who, round(amount, 3))


def dump(plan: Plan) -> str:
    """As YAML; `load` of it gives the same plan."""
    return yaml.safe_dump(msgspec.to_builtins(plan), sort_keys=False, default_flow_style=None, width=100)


def load(path: str | Path) -> Plan:
    """FileError names file, line, place and reason."""
    return typed_yaml.load(path, Plan)
