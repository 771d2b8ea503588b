"""Clients of the loaded real gateways of a scale run: tenants, their sets, requests at a steady rate."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterator
from typing import Final, NamedTuple

from ..emulators.client_requests import PlannedRequest
from ..emulators.clients import ClientLoadBalancer
from ..simulation import traffic
from .plan import DayPlan
from .topology import Topology

CAUGHT_UP_S: Final = 0.1
TICK_S: Final = 0.02  # requests that fall due within one go out together


class Customer(NamedTuple):
    """One tenant of the loaded gateways."""

    key: int
    plan: str
    spread: int  # gateways in its set, hollow ones among them
    first: int  # number of the first, a loaded one
    weight: float


def customers(fleet: Topology, plan: DayPlan) -> list[Customer]:
    """Tenants drawn evenly from all ranks of the fleet; all plans in turn, and the one that has a ceiling is
    the plan of the tenant that asks most."""
    rng, sets = random.Random(f"customers {plan.seed}"), fleet.tenant_sets()
    count = min(plan.tenants, len(sets))
    plans = sorted(traffic.PLANS, key=lambda name: not traffic.PLANS[name][4])
    found = []
    for k in range(count):
        rank = k * len(sets) // count
        weight = 1 / (k + 1) ** fleet.tenants.zipf
        name = plans[k % len(plans)]
        found.append(Customer(rng.getrandbits(33), name, sets[rank], rng.randrange(plan.real.loaded), weight))
    return found


def wants(fleet: Topology, plan: DayPlan) -> Iterator[PlannedRequest]:
    """Endless requests of one unit each, whose cost in a backend is the same for all classes."""
    rng = random.Random(f"wants {plan.seed}")
    rows = customers(fleet, plan)
    weights = [row.weight for row in rows]
    names, shares = list(traffic.CLASSES), [c[5] for c in traffic.CLASSES.values()]
    while True:
        row = rng.choices(rows, weights)[0]
        cls = rng.choices(names, shares)[0]
        _, deadline_ms, effect, _, _, _ = traffic.CLASSES[cls]
        yield PlannedRequest(
            at_s=0.0,
            request_class=cls,
            plan=row.plan,
            customer=row.key,
            units=1.0,
            gateway_count=row.spread,
            first_gateway=row.first,
            timeout_ms=int(deadline_ms * rng.uniform(0.5, 1.0)),
            idempotent=effect == "free",
            key=b"%016x" % rng.getrandbits(64) if effect == "guarded" else b"",
            retries=1,
            retry_delay_s=0.2,
        )


async def ask(front: ClientLoadBalancer, fleet: Topology, plan: DayPlan) -> None:
    """Requests at the rate of the loaded gateways in such a fleet, for ever. What this process is too late
    for is left out, so that its own lag makes no burst."""
    loop = asyncio.get_running_loop()
    per_s = fleet.requests_of_gateway() * plan.real.loaded
    drawn, began_s, asked = wants(fleet, plan), loop.time(), 0
    while True:
        await asyncio.sleep(TICK_S)
        due = int((loop.time() - began_s) * per_s)
        asked = max(asked, due - max(1, int(CAUGHT_UP_S * per_s)))
        while asked < due:
            front.send(next(drawn))
            asked += 1
