"""Scenarios of a growing fleet by seed, and counts over all of its gateways.

Half of the backends are replaced within a moment, then most gateways are killed; customers come in through
half of the gateways or more. Backends are one and a half times the gateways, requests 40 for each, so that
a gateway sees little of any backend at every size.
"""

from __future__ import annotations

import random

from .plan import Fault, Plan
from .run import Run


def draw(seed: int, gateways: int) -> Plan:
    """The plan of a seed and a size."""
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
    """Of the gateways' last processes together; `busiest` is the most messages that one of them took in."""
    counters = [node.gateway.counters for node in run.nodes]
    names = ("attempts", "connects", "watches", "messages_in", "messages_out", "messages_bad", "faults")
    found = {n: float(sum(getattr(c, n) for c in counters)) for n in names}
    cold = [p for p in run.backends.values() if p.entry.since_ms]
    return found | {"busiest": float(max(c.messages_in for c in counters)), "replaced": float(len(cold))}
