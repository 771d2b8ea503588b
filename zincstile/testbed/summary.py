"""Builds the result of a run from all of its parts."""

from __future__ import annotations

import math

from ..simulation import traffic
from ..virtual.network_faults import DatagramCounts
from .members import Node
from .result import GatewayRow, PlanRow, RunResult, ViolationRow, latency_percentiles
from .testbed import Testbed


def summary(run: Testbed) -> RunResult:
    """Returns the result of a run that has ended."""
    checker, violations = run.checker, _violations(run)
    return RunResult(
        plan=run.name,
        seed=run.plan.seed,
        gateways=run.plan.gateways,
        boxes=run.plan.boxes,
        faults=[f"{f.kind} at {f.at_ms} for {f.for_ms}" for f in run.plan.faults],
        seconds=round(run.lasted_s, 2),
        ok=not violations,
        requests=checker.counts.requests,
        attempts=checker.counts.attempts,
        tally=_tally(run),
        plans=_plans(run),
        nearest={
            "cold": round(checker.cold_starts.peak_ratio, 4),
            "cold_calls": round(checker.cold_starts.calls.peak_ratio, 4),
            "ceiling": round(checker.ceilings.peak_ratio, 4),
            "quota": round(checker.quotas.peak_ratio, 4),
        },
        rows=[_gateway(run, node) for node in run.nodes],
        breaches=violations,
        latency_ms=latency_percentiles(run.load_balancer.latencies_s),
        links=_datagram_counts(run.links.counts),
        series=run.series.rows(run.names),
        events=run.events,
        ready_s={node.name: round(node.ready_s, 3) for node in run.nodes},
    )


def _gateway(run: Testbed, node: Node) -> GatewayRow:
    """Returns the row of one gateway, with counters summed over its processes."""
    names = {*node.counters, *node.latest}
    return GatewayRow(
        name=node.name,
        zone=traffic.ZONES[node.zone],
        starts=node.starts,
        datagrams=run.datagrams.sent[node.number],
        datagram_bytes=run.datagrams.bytes[node.number],
        counters={name: node.counters.get(name, 0) + node.latest.get(name, 0) for name in names},
        memory_kb=node.memory_kb,
    )


def _datagram_counts(counts: DatagramCounts) -> dict[str, int]:
    """Returns counts of datagrams by outcome, under the names of stored results."""
    return {
        "passed": counts.passed,
        "lost": counts.lost,
        "twice": counts.duplicated,
        "late": counts.delayed,
    }


def _tally(run: Testbed) -> dict[str, int]:
    """Returns counts of requests by outcome."""
    tally: dict[str, int] = {}
    for (_, kind), count in run.load_balancer.outcomes.items():
        tally[kind] = tally.get(kind, 0) + count
    return tally


def _plans(run: Testbed) -> list[PlanRow]:
    """Returns use of each plan's quota over all gateways, with its stated bound."""
    return [
        PlanRow(
            plan=plan,
            worst=round(worst, 3),
            bound=0.0 if bound == math.inf else round(bound, 3),
            sent=round(sent, 2),
            best=round(best, 2),
        )
        for plan, (worst, bound, sent, best) in sorted(run.checker.quotas.by_plan().items())
    ]


def _violations(run: Testbed) -> list[ViolationRow]:
    """Returns the rule violations, with times in seconds since the load began."""
    return [
        ViolationRow(
            rule=violation.rule,
            at_s=round(violation.at_ns / 1e9 - run.began_s, 3),
            request=violation.request,
            text=violation.text,
            history=violation.history,
        )
        for violation in run.checker.violations
    ]
