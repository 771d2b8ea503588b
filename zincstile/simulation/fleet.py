"""Scenarios of mass failures in fleets of different sizes, and counters summed over all gateways.

Half of the backends are replaced within 0.5 s, then 70 % of the gateways are killed; each customer uses at
least half of the gateways. There are 1.5 backends and 40 requests per gateway, so that a gateway sees
little traffic of any backend at every size.
"""

from __future__ import annotations

import random

from .plan import Fault, Plan
from .run import Run


def draw(seed: int, gateways: int) -> Plan:
    """Returns the plan of a seed and a fleet size."""
    rng = random.Random(f"fleet {seed} {gateways}")
    backends = gateways * 3 // 2
    faults = [Fault("deploy", 900, 500, rng.sample(range(backends), backends // 2), 0.3)]
    for gateway in rng.sample(range(gateways), gateways * 7 // 10):
        faults.append(Fault("crash", 1900 + rng.randint(0, 100), rng.randint(500, 1200), [gateway], 0))
    return Plan(
        seed=seed,
        gateways=gateways,
        boxes=backends,
        wide=True,
        requests=40 * gateways,
        last_ms=5000,
        udp_loss=0.05,
        faults=sorted(faults, key=lambda f: (f.at_ms, f.kind)),
    )


def counter_totals(run: Run) -> dict[str, float]:
    """Returns the counters summed over the latest processes of all gateways.

    `busiest` is the largest number of messages that one gateway received; `replaced` counts cold backends.
    """
    counters = [node.gateway.counters for node in run.nodes]
    names = ("attempts", "connects", "watches", "messages_in", "messages_out", "messages_bad", "faults")
    totals = {n: float(sum(getattr(c, n) for c in counters)) for n in names}
    cold = [backend for backend in run.backends.values() if backend.entry.since_ms]
    return totals | {"busiest": float(max(c.messages_in for c in counters)), "replaced": float(len(cold))}
