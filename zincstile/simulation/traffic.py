"""The clients' requests, derived from a plan alone, and the matching settings of the gateways.

Request classes, plans and quotas resemble those of production: some customers stay within their quotas, some
use nearly all, and some request far more. They are scaled to a run of a few seconds, with backends of one or
two cores. The additional class `key-change` must never be retried. Each request is drawn from the seed and
its own number, so that leaving one out changes no other.
"""

from __future__ import annotations

import math
import random
from typing import Any, Final

from ..checkers.rules import ClassRule, DeduplicationScope, Idempotency, PlanRule, RuleLimits
from ..decisions.quota_bounds import Quota
from ..emulators.client_requests import PlannedRequest
from ..quota_service.overshoot_bound import overshoot_bounds
from ..quota_service.settings import QuotaServiceSettings
from .environment import Environment
from .plan import Plan

MS = 1_000_000
ZONES = ["zone-03", "zone-04", "zone-05"]
WARM_UP_MS: Final = 6000
COLD_WINDOW_MS: Final = 3000
DEDUPLICATION_WINDOW_MS = 6000
ASK_WITHIN_MS = 10_000  # the longest interval between polls of discovery, where it is polled
WORK_MS = {"sheet-read": 80, "profiles-save": 50, "new-order": 50, "key-change": 50}  # per unit
MAX_REQUEST_UNITS = 6

# name: latency target, deadline, effect (as in the settings), gain, worth when late, share of the requests
CLASSES = {
    "sheet-read": (1000, 3000, "free", 2.0, 0.2, 0.45),
    "profiles-save": (600, 1500, "free", 1.0, 0.2, 0.30),
    "new-order": (750, 3000, "guarded", 2.0, 0.0, 0.15),
    "key-change": (750, 2000, "single_shot", 1.5, 0.0, 0.10),
}
# name: price, rate, burst in seconds, max attempts in flight, ceiling as a multiple of the rate, customers
PLANS = {
    "basic": (0.55, 2.0, 5.0, 0, 0.0, 5),
    "standard": (0.8, 6.0, 4.0, 0, 0.0, 4),
    "plus": (1.3, 6.0, 4.0, 4, 1.8, 3),
    "premium": (1.8, 20.0, 1.5, 0, 0.0, 2),
}


def rule_limits() -> RuleLimits:
    """Returns the limits that the checkers apply to these scenarios."""
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
    """Returns a gateway's settings, in the format of the simulator."""
    over_quota = (
        {"plus": (0.5, 0.1)} if plan.plus_beyond else {}
    )  # worth and cost of requests beyond the quota
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
            "over_worth": over_quota.get(n, (0.0, 1.0))[0],
            "beyond_costs": over_quota.get(n, (0.0, 1.0))[1],
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
    """Returns the content of a gateway's configuration file."""
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
    """Returns the rate, burst and largest overshoot bound of each plan, as the gateways state them."""
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
    """Returns the rate and burst of each plan with an infinite bound, for runs that state none: no rule can
    be broken, but the overshoot is still measured."""
    return {n: (p[1], p[1] * p[2], math.inf) for n, p in PLANS.items()}


class Customers:
    """The customers of a scenario: plan, set of gateways, and how much of the quota they request."""

    def __init__(self, plan: Plan) -> None:
        rng = random.Random(f"customers {plan.seed}")
        self.entries: list[tuple[int, str, int, int]] = []  # key, plan, spread, first
        self.weights: list[float] = []
        for name, (_, rate, _, _, _, count) in PLANS.items():
            for _ in range(count):
                weights = (
                    (0.7, 0.2, 0.06, 0.04)
                    if plan.greedy is None
                    else (
                        0.8 * (1 - plan.greedy),
                        0.2 * (1 - plan.greedy),
                        0.6 * plan.greedy,
                        0.4 * plan.greedy,
                    )
                )
                demand = rng.choices((0.4, 0.95, 2.5, 6.0), weights)[0]
                spread = rng.randint(min(2, plan.gateways), min(4, plan.gateways))
                if plan.wide and name != "plus":
                    spread = rng.randint(-(-plan.gateways // 2), plan.gateways)
                self.entries.append((rng.getrandbits(33), name, spread, rng.randrange(plan.gateways)))
                self.weights.append(rate * demand)


def planned_requests(plan: Plan, start_s: float) -> list[PlannedRequest]:
    """Returns the first attempts of all requests, in order of time. Requests and deadlines cluster at the
    times of faults."""
    customers = Customers(plan)
    fault_times = {a for f in plan.faults for a in (f.at_ms, f.at_ms + f.for_ms)}
    anchors = sorted(a for a in fault_times if 0 <= a <= plan.last_ms) if plan.anchored else []
    numbers = range(plan.requests) if plan.only is None else plan.only
    requests = [_planned_request(plan, number, customers, anchors, start_s) for number in numbers]
    return sorted(requests, key=lambda request: (request.at_s, request.customer))


def _planned_request(
    plan: Plan, number: int, customers: Customers, anchors: list[int], start_s: float
) -> PlannedRequest:
    rng = random.Random(f"want {plan.seed} {number}")
    surges = [f for f in plan.faults if f.kind == "surge"]
    disconnects = [f for f in plan.faults if f.kind == "leave"]
    at_ms: float = rng.random() * plan.last_ms
    timeout_ratio = 0.5 + 0.5 * rng.random()
    if anchors and rng.random() < 0.3:
        at_ms = rng.choice(anchors) + rng.choice((rng.uniform(-2, 2), rng.uniform(-150, 300)))
    key, name, spread, first = rng.choices(customers.entries, customers.weights)[0]
    for surge in surges:  # one customer of `plus` sends a burst of requests
        if rng.random() < 0.35:
            plus = [entry for entry in customers.entries if entry[1] == "plus"]
            key, name, spread, first = plus[plan.seed % len(plus)]
            at_ms = surge.at_ms + rng.random() * surge.for_ms
    cls = rng.choices(list(CLASSES), [c[5] for c in CLASSES.values()])[0]
    _, deadline, effect, _, _, _ = CLASSES[cls]
    timeout_ms = int(deadline * timeout_ratio)
    if anchors and rng.random() < 0.2:  # the deadline falls close to a fault
        timeout_ms = max(30, min(deadline, int(rng.choice(anchors) + rng.uniform(-3, 3) - at_ms)))
    disconnect_after_s = 0.0
    for fault in disconnects:
        if 0 <= at_ms - fault.at_ms <= fault.for_ms and rng.random() < fault.amount:
            disconnect_after_s = rng.uniform(0.0005, 0.2)
    return PlannedRequest(
        at_s=start_s + max(0.0, at_ms) / 1000,
        request_class=cls,
        plan=name,
        customer=key,
        units=rng.choices((1.0, 2.0, 3.0, 6.0), (0.5, 0.3, 0.15, 0.05))[0],
        gateway_count=spread,
        first_gateway=first,
        timeout_ms=timeout_ms,
        idempotent=effect == "free",
        key=b"%016x" % rng.getrandbits(64) if effect == "guarded" else b"",
        retries=rng.choice((0, 1, 2)),
        retry_delay_s=rng.choice((0.0, 0.05, 0.2)),
        disconnect_after_s=disconnect_after_s,
        pipelined=rng.random() < 0.1,
        respects_retry_after=rng.random() < 0.5,
    )


def gateway_weights(run: Environment, request: PlannedRequest, names: list[str]) -> list[float]:
    """Returns the weights by which a customer's requests are distributed over these gateways.

    The fault `shift` redraws them, and `move` sends all requests to some of the gateways.
    """
    for drawn in run.preferred_gateways[-1:]:
        if any(n in drawn for n in names):
            return [float(n in drawn) for n in names]
    return [
        run.customer_weights.setdefault((request.customer, n), run.weight_rng.random() ** 2) for n in names
    ]
