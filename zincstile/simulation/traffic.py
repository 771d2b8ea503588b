"""Who asks what and when, from a plan alone; and the settings that gateways are told with it.

The figures have the shape of the brief: classes, plans, quotas, customers that stay within theirs, that
use nearly all, and that ask for far more. They are scaled to a world of a few seconds, with boxes of a
core or two. One more class, `key-change`, may never be repeated. Each request is drawn by itself from the
seed and its number, so that leaving one out changes no other.
"""

from __future__ import annotations

import math
import random
from typing import Any

from ..checkers.rules import ClassRule, DeduplicationScope, Idempotency, PlanRule, RuleLimits
from ..decisions.quota_bounds import Quota
from ..emulators.client_requests import PlannedRequest
from ..quota_service.overshoot_bound import overshoot_bounds
from ..quota_service.settings import QuotaServiceSettings
from .environment import Environment
from .plan import Plan

MS = 1_000_000
ZONES = ["zone-03", "zone-04", "zone-05"]
WARM_UP_MS, COLD_WINDOW_MS, MAX_DEADLINE_MS = 6000, 3000, 3000
DEDUPLICATION_WINDOW_MS = 6000
ASK_WITHIN_MS = 10_000  # discovery has to be asked so often, where it has to be
WORK_MS = {"sheet-read": 80, "profiles-save": 50, "new-order": 50, "key-change": 50}  # of a unit
MAX_REQUEST_UNITS = 6

# name: aim, deadline, effect in the settings' words, gain, worth when late, share of the requests
CLASSES = {
    "sheet-read": (1000, 3000, "free", 2.0, 0.2, 0.45),
    "profiles-save": (600, 1500, "free", 1.0, 0.2, 0.30),
    "new-order": (750, 3000, "guarded", 2.0, 0.0, 0.15),
    "key-change": (750, 2000, "single_shot", 1.5, 0.0, 0.10),
}
# name: price, rate, burst in seconds, attempts out, ceiling over the rate, customers
PLANS = {
    "basic": (0.55, 2.0, 5.0, 0, 0.0, 5),
    "standard": (0.8, 6.0, 4.0, 0, 0.0, 4),
    "plus": (1.3, 6.0, 4.0, 4, 1.8, 3),
    "premium": (1.8, 20.0, 1.5, 0, 0.0, 2),
}


def rule_limits() -> RuleLimits:
    """The rules' figures of these worlds."""
    effects = {
        "free": Idempotency.ALWAYS,
        "guarded": Idempotency.BY_KEY,
        "single_shot": Idempotency.NEVER,
    }
    return RuleLimits(
        classes={
            n: ClassRule(effects[c[2]], DeduplicationScope.CELL, DEDUPLICATION_WINDOW_MS * MS)
            for n, c in CLASSES.items()
        },
        plans={
            n: PlanRule(p[1] * p[4], p[1] * p[2] * p[4], max(0.1 * p[1] * p[2] * p[4], MAX_REQUEST_UNITS))
            for n, p in PLANS.items()
        },
        cold_window_ns=COLD_WINDOW_MS * MS,
        cold_slack_ns=int(MAX_REQUEST_UNITS * max(WORK_MS.values()) * MS),
    )


def settings(plan: Plan, number: int) -> dict[str, Any]:
    """What a gateway is told, in the simulator's words."""
    beyond = {"plus": (0.5, 0.1)} if plan.plus_beyond else {}  # worth and cost of what is beyond the quota
    classes = [
        {
            "name": n,
            "aim_ns": aim * MS,
            "deadline_ns": deadline * MS,
            "effect": effect,
            "gain": gain,
            "late_worth": late,
            "group": "cell",
            "window_ns": DEDUPLICATION_WINDOW_MS * MS,
            "stream": False,
        }
        for n, (aim, deadline, effect, gain, late, _) in CLASSES.items()
    ]
    plans = [
        {
            "name": n,
            "price": price,
            "refill": rate,
            "burst": rate * burst,
            "concurrency": out,
            "over_worth": beyond.get(n, (0.0, 1.0))[0],
            "beyond_costs": beyond.get(n, (0.0, 1.0))[1],
            "never_over_rate": rate * ceiling,
            "hard_burst": rate * burst * ceiling,
            "tolerance": max(0.1 * rate * burst * ceiling, MAX_REQUEST_UNITS),
        }
        for n, (price, rate, burst, out, ceiling, _) in PLANS.items()
    ]
    return {
        "balancers": plan.gateways,
        "ordinal": number,
        "zone": number % len(ZONES),
        "zones": ZONES,
        "skus": ["std"],
        "discovery": "on_request" if plan.asked else "pushed",
        "classes": classes,
        "plans": plans,
        "domain": {"peer_intake": 60.0, "units_top": MAX_REQUEST_UNITS, "cost_after": False},
        "limits": {
            "cancel": plan.cancel,
            "connect_timeout_ns": plan.connect_ms * MS,
            "idle_close_ns": 30_000 * MS,
            "max_open": 20000,
            "max_retry_after_ns": 1000 * MS,
            "may_duplicate": True,
            "peers": True,
            "probes": True,
            "retry_after": False,
            "send_cap": 6,
        },
        "obligations": {
            "ask_within_ns": ASK_WITHIN_MS * MS,
            "drain_grace_ns": 250 * MS,
            "fall_ns": COLD_WINDOW_MS * MS,
            "overload_factor": 2.0,
            "start_capacity": 0.25,
            "warm_up_ns": WARM_UP_MS * MS,
        },
        "prices": {"cross_zone": 0.009},
        "telemetry": {"fields": ["rif", "lat_ms", "q"], "via": "piggyback"},
    }


def configuration(
    plan: Plan, number: int, listen: str, discovery: str, peers: list[str], seed: int, known: dict[str, Any]
) -> dict[str, Any]:
    """A gateway's configuration file, as a table."""
    return {
        "name": f"g{number}",
        "listen": listen,
        "discovery": discovery,
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": plan.sockets},
        "peer_listen": peers[number],
        "peers": peers,
        "known": known,
        "settings": settings(plan, number),
    }


def stated_bounds(plan: Plan, settings: QuotaServiceSettings) -> dict[str, tuple[float, float, float]]:
    """Rate, burst and the largest bound of each plan, as the gateways state them."""
    return {
        n: (
            p[1],
            p[1] * p[2],
            max(
                bound.units
                for bound in overshoot_bounds(
                    Quota(n, p[1], p[1] * p[2], plan.gateways, MAX_REQUEST_UNITS), settings
                )
            ),
        )
        for n, p in PLANS.items()
    }


def quotas() -> dict[str, tuple[float, float, float]]:
    """Rate and burst of each plan where no bound is stated: none is ever passed, and what is sent beyond a
    quota is measured all the same."""
    return {n: (p[1], p[1] * p[2], math.inf) for n, p in PLANS.items()}


class Customers:
    """The customers of a world: plan, set of gateways, and how much of the quota they ask for."""

    def __init__(self, plan: Plan) -> None:
        rng = random.Random(f"customers {plan.seed}")
        self.rows: list[tuple[int, str, int, int]] = []  # key, plan, spread, first
        self.weights: list[float] = []
        for name, (_, rate, _, _, _, count) in PLANS.items():
            for _ in range(count):
                light = (
                    (0.7, 0.2, 0.06, 0.04)
                    if plan.greedy is None
                    else (
                        0.8 * (1 - plan.greedy),
                        0.2 * (1 - plan.greedy),
                        0.6 * plan.greedy,
                        0.4 * plan.greedy,
                    )
                )
                heavy = rng.choices((0.4, 0.95, 2.5, 6.0), light)[0]
                spread = rng.randint(min(2, plan.gateways), min(4, plan.gateways))
                if plan.wide and name != "plus":
                    spread = rng.randint(-(-plan.gateways // 2), plan.gateways)
                self.rows.append((rng.getrandbits(33), name, spread, rng.randrange(plan.gateways)))
                self.weights.append(rate * heavy)


def planned_requests(plan: Plan, start_s: float) -> list[PlannedRequest]:
    """All first tries, in order of time. More of them fall on the instants of faults, and more deadlines."""
    customers = Customers(plan)
    instants = {a for f in plan.faults for a in (f.at_ms, f.at_ms + f.for_ms)}
    anchors = sorted(a for a in instants if 0 <= a <= plan.last_ms) if plan.anchored else []
    chosen = range(plan.requests) if plan.only is None else plan.only
    made = [_want(plan, number, customers, anchors, start_s) for number in chosen]
    return sorted(made, key=lambda w: (w.at_s, w.customer))


def _want(
    plan: Plan, number: int, customers: Customers, anchors: list[int], start_s: float
) -> PlannedRequest:
    rng = random.Random(f"want {plan.seed} {number}")
    surges = [f for f in plan.faults if f.kind == "surge"]
    leaving = [f for f in plan.faults if f.kind == "leave"]
    at_ms: float = rng.random() * plan.last_ms
    wait_share = 0.5 + 0.5 * rng.random()
    if anchors and rng.random() < 0.3:
        at_ms = rng.choice(anchors) + rng.choice((rng.uniform(-2, 2), rng.uniform(-150, 300)))
    key, name, spread, first = rng.choices(customers.rows, customers.weights)[0]
    for surge in surges:  # a customer of `plus` asks for so many times its quota
        if rng.random() < 0.35:
            plus = [row for row in customers.rows if row[1] == "plus"]
            key, name, spread, first = plus[plan.seed % len(plus)]
            at_ms = surge.at_ms + rng.random() * surge.for_ms
    cls = rng.choices(list(CLASSES), [c[5] for c in CLASSES.values()])[0]
    _, deadline, effect, _, _, _ = CLASSES[cls]
    wait_ms = int(deadline * wait_share)
    if anchors and rng.random() < 0.2:  # its time is up about when something goes wrong
        wait_ms = max(30, min(deadline, int(rng.choice(anchors) + rng.uniform(-3, 3) - at_ms)))
    leaves = 0.0
    for fault in leaving:
        if 0 <= at_ms - fault.at_ms <= fault.for_ms and rng.random() < fault.amount:
            leaves = rng.uniform(0.0005, 0.2)
    return PlannedRequest(
        at_s=start_s + max(0.0, at_ms) / 1000,
        request_class=cls,
        plan=name,
        customer=key,
        units=rng.choices((1.0, 2.0, 3.0, 6.0), (0.5, 0.3, 0.15, 0.05))[0],
        gateway_count=spread,
        first_gateway=first,
        timeout_ms=wait_ms,
        idempotent=effect == "free",
        key=b"%016x" % rng.getrandbits(64) if effect == "guarded" else b"",
        retries=rng.choice((0, 1, 2)),
        retry_delay_s=rng.choice((0.0, 0.05, 0.2)),
        disconnect_after_s=leaves,
        pipelined=rng.random() < 0.1,
        respects_retry_after=rng.random() < 0.5,
    )


def gateway_weights(run: Environment, want: PlannedRequest, names: list[str]) -> list[float]:
    """How unevenly a customer's requests come in; `shift` draws it anew, `move` draws all to some."""
    for drawn in run.preferred_gateways[-1:]:
        if any(n in drawn for n in names):
            return [float(n in drawn) for n in names]
    return [run.customer_weights.setdefault((want.customer, n), run.weight_rng.random() ** 2) for n in names]
