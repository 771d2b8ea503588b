"""The plan of a scenario: sizes, network settings, and faults with their times.

A plan is drawn from a seed (`draw`), so that a seed identifies a scenario, or is written by hand as YAML
(`load`), where omitted fields take their defaults. Times are in milliseconds since the first request.
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
# Faults of a gateway's machine, which the shim of the testbed injects into real processes.
SHIM_KINDS: tuple[str, ...] = (
    "clock_step",
    "syscalls",
    "short_io",
    "broken_io",
    "disk_write",
    "disk_read",
    "kill_in_write",
)
# Kinds that only runs with real processes support.
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
    """One fault. `targets` are numbers of gateways or backends, modulo their count.

    `to` has the numbers at the other end of an impaired path, and `way` is the direction in which it is
    impaired. The meaning of `amount` depends on the kind.
    """

    kind: Kind
    at_ms: AtMs
    for_ms: DurationMs = 0
    targets: list[int] = msgspec.field(name="who", default_factory=list)
    amount: float = 0.0
    to: list[int] = []
    way: Literal["both", "out", "in"] = "both"


class Plan(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """A complete scenario. The field `boxes` is the number of backends."""

    seed: int
    gateways: Annotated[int, msgspec.Meta(ge=1, le=250)] = 3
    wide: bool = False  # customers use at least half of the gateways, except those of the plan `plus`
    boxes: Annotated[int, msgspec.Meta(ge=1, le=250)] = 10
    requests: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 160
    only: list[int] | None = None  # numbers of the requests to send; None: all
    last_ms: Annotated[int, msgspec.Meta(ge=1, le=60_000)] = 3500  # time of the last request
    # Granularity at which a gateway notices events; 0: at once.
    quantum_us: Annotated[int, msgspec.Meta(ge=0, le=20_000)] = 0
    window_bytes: Annotated[int, msgspec.Meta(ge=16, le=1 << 20)] = 65536
    read_bytes: Annotated[int, msgspec.Meta(ge=0, le=1 << 20)] = 0
    split: Annotated[float, msgspec.Meta(ge=0, le=0.9)] = 0.0
    udp_loss: Ratio = 0.03
    udp_twice: Ratio = 0.0
    drops_left: bool = True  # backends drop queued work when its connection ends
    connect_ms: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 250  # a gateway's connect timeout
    cancel: bool = True  # the settings allow a gateway to cancel attempts
    # Quotas are enforced through a quota service, with a stated overshoot bound.
    quota_service: bool = msgspec.field(name="keeper", default=False)
    plus_beyond: bool = False  # requests of `plus` beyond its quota are worth more than they cost
    # Probability that a client sends a request on a connection just as the gateway ends it.
    crossing: Ratio = 0.0
    sockets: Annotated[int, msgspec.Meta(ge=40, le=4096)] = 256
    # Share of the customers that request 2.5 to 6 times their quotas; None: the default distribution.
    greedy: Ratio | None = None
    asked: bool = False  # discovery is one service for all gateways, which they poll
    lists_per_s: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 0.0  # its full lists per second; 0: no limit
    share: bool = False  # quotas are enforced by leases, with a stated overshoot bound
    start: bool = False  # cold start: lists from peers, and an admission ramp
    place: bool = False  # gateways agree on the zones to use (zone failover)
    subset: bool = False  # each gateway uses a subset of the endpoints
    anchored: bool = True  # requests and deadlines cluster at the times of faults
    known: bool = True  # gateways start with the endpoint list cached on their machines; else with none
    # Backends have one address for all gateways and identify a gateway by its requests.
    one_address: bool = False
    faults: list[Fault] = []


# The combination that operators reported as the worst: a restart, cold backends, and customers that move.
WORST_KINDS: tuple[Kind, ...] = ("crash", "deploy", "shift")
COMMON_KINDS: tuple[Kind, ...] = ("crash", "roll", "deploy", "drain", "box_crash", "shift", "surge")
# Drawn by `shared.draw` only.
SHARED_STATE_KINDS: tuple[Kind, ...] = (
    "peers_late",
    "peers_shuffled",
    "peers_twice",
    "peers_rate",
    "peers_ring",
    "away",
    "move",
)
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
    """Draws the plan of a seed. Most of its faults begin within one second."""
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
    center_ms = rng.randint(700, 2200)
    plan.cancel = rng.random() < 0.8
    focus_backends = rng.sample(range(plan.boxes), 3)  # most faults of backends hit these three
    kinds: list[Kind] = list(WORST_KINDS) if rng.random() < 0.35 else [rng.choice(COMMON_KINDS)]
    kinds += [
        rng.choice(COMMON_KINDS if rng.random() < 0.4 else RARE_KINDS) for _ in range(rng.randint(2, 4))
    ]
    for kind in kinds:
        near_center = rng.random() < 0.8
        at_ms = center_ms + rng.randint(-200, 700) if near_center else rng.randint(0, plan.last_ms)
        fault = _fault(rng, kind, at_ms, plan, focus_backends)
        plan.faults += [fault, *_related_faults(rng, fault, plan)]
    plan.faults.sort(key=lambda f: (f.at_ms, f.kind))
    # From a separate random stream, so that the draws above do not change.
    plan.crossing = random.Random(f"crossing {seed}").choice((0.0, 0.0, 1.0))
    return plan


def _related_faults(rng: random.Random, fault: Fault, plan: Plan) -> list[Fault]:
    """Adds faults that race with the given one: random draws alone hit these races too rarely."""
    at_ms, related = fault.at_ms, []
    if fault.kind in ("drain", "deploy") and rng.random() < 0.35:
        # Connections are established slowly, to backends that start draining meanwhile.
        before = rng.randint(30, 400)
        related += [
            Fault("reset", max(0, at_ms - before), 0, fault.targets),
            Fault("lag", max(0, at_ms - before), 1500, fault.targets, rng.randint(100, 450)),
        ]
    elif fault.kind == "hang" and rng.random() < 0.5:
        # The late answer and that of the hedged attempt arrive at a gateway that is paused.
        related += [
            Fault("pause", at_ms + fault.for_ms, rng.randint(50, 180), [n]) for n in range(plan.gateways)
        ]
    elif fault.kind == "watch_lost":
        # Long enough to check that the gateway ever learns of a drain after the loss of its watch.
        plan.last_ms = 9000
        related += [Fault("drain", at_ms + rng.randint(50, 600), 8000, rng.sample(range(plan.boxes), 4))]
    elif fault.kind in ("spoil", "extra") and rng.random() < 0.3:
        related += [
            Fault("pause", at_ms + rng.randint(0, 600), rng.randint(20, 100), [rng.randrange(plan.gateways)])
        ]
    return related


def _fault(rng: random.Random, kind: Kind, at_ms: int, plan: Plan, focus_backends: list[int]) -> Fault:
    one_gateway, backends = [rng.randrange(plan.gateways)], list(range(plan.boxes))
    some_backends = rng.sample(focus_backends if rng.random() < 0.6 else backends, rng.randint(1, 3))
    drawn: dict[str, tuple[int, list[int], float]] = {  # duration, targets, amount
        "crash": (rng.randint(200, 2500), one_gateway, 0),
        "roll": (rng.randint(200, 1500), one_gateway, 0),
        "deploy": (
            rng.randint(300, 1500),
            rng.sample(backends, rng.choice((1, 2, 3, 5, 8, plan.boxes))),
            rng.random(),
        ),
        "box_crash": (rng.randint(100, 1500), some_backends, rng.random()),
        "drain": (rng.choice((0, rng.randint(200, 2000))), some_backends, 0),
        "slow": (rng.randint(500, 3000), [], rng.uniform(1.3, 2.6)),
        "hang": (rng.randint(300, 2500), some_backends, 0),
        "refuse": (rng.randint(300, 2000), some_backends, 0),
        "spoil": (
            rng.randint(500, 2500),
            rng.sample(backends, rng.randint(1, len(backends))),
            rng.uniform(0.05, 0.5),
        ),
        "err": (rng.randint(500, 2500), some_backends, rng.uniform(0.2, 1.0)),
        "reset": (0, some_backends, 0),
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
        "unreachable": (rng.randint(300, 2500), some_backends, 0),
        "full": (rng.randint(300, 1500), some_backends, 0),
        "lag": (rng.randint(300, 2500), some_backends, rng.randint(20, 450)),
        "extra": (rng.randint(500, 3000), rng.sample(backends, len(backends) // 2), rng.uniform(0.1, 0.8)),
        "watch_lost": (0, one_gateway, 0),
    }
    duration_ms, targets, amount = drawn[kind]
    return Fault(kind, at_ms, duration_ms, targets, round(amount, 3))


def dump(plan: Plan) -> str:
    """Returns the plan as YAML; `load` of that YAML returns an equal plan."""
    return yaml.safe_dump(msgspec.to_builtins(plan), sort_keys=False, default_flow_style=None, width=100)


def load(path: str | Path) -> Plan:
    """Reads a plan from a YAML file. FileError names the file, line, field and reason."""
    return typed_yaml.load(path, Plan)
