"""Simulations of failures between gateways that share quotas, and their results.

Measures the overshoot of quotas against the stated bounds, the units in flight at the back end, and the
requests served during a failure.
"""

from __future__ import annotations

import multiprocessing
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial

import msgspec

from ..checkers.quotas import Quotas
from ..decisions.policy import Policy
from . import shared, traffic
from .run import Run


@dataclass(slots=True)
class SimulationResult:
    """Result of one simulation."""

    failure: str
    seed: int
    violation: str
    max_overshoot: float  # units beyond a quota, maximum over all customers
    bound_ratio: float
    sent_units: float
    ideal_units: float  # units that one token bucket which sees every request would admit
    served: int
    messages_per_s: float  # sent by one gateway, mean
    minute_ratio: float  # max_overshoot as a ratio of the units that the quota allows in a minute
    max_units_per_backend: float  # units in flight of all gateways per ready backend
    unaffected_ratio: float  # served by gateways without a fault, relative to a run without faults
    max_limit_ratio: float  # a customer's requests in flight, relative to its plan's limit
    recover_s: float  # from the start of the failure until service is back to normal; -1: never


class Observer:
    """Records what the checker does not: units in flight, and when and where requests are served."""

    INTERVAL_NS, SECOND = 20 * traffic.MS, 1_000_000_000

    def __init__(self, run: Run) -> None:
        self.run, self.max_units_per_backend, self.max_limit_ratio = run, 0.0, 0.0
        self.served: list[tuple[float, str]] = []  # seconds since the first request, gateway
        forward_answer = run.checker.request_answered

        def record_answer(request: bytes, kind: str, value: bytes) -> None:
            if kind == "served":
                at = (run.scheduler.now_ns - run.began_ns) / self.SECOND
                self.served.append((at, run.checker.histories[request].gateway))
            forward_answer(request, kind, value)

        run.checker.request_answered = record_answer  # type: ignore[method-assign]
        run.scheduler.call_at(run.began_ns, self._sample)

    def _sample(self) -> None:
        """Takes a sample of the attempts in flight.

        Attempts of dead processes may still run at the backends, but are not counted.
        """
        nodes = [s for s in self.run.nodes if s.process is not None and s.process.alive]
        units_in_flight = sum(
            a.units for s in nodes for a in s.gateway.dispatcher.policy.parts.attempts.in_flight.values()
        )
        self._sample_requests([s.gateway.dispatcher.policy for s in nodes])
        ready = sum(p.process.alive for p in self.run.backends.values())
        self.max_units_per_backend = max(self.max_units_per_backend, units_in_flight / max(1, ready))
        if self.run.scheduler.now_ns < self.run.began_ns + self.run.plan.last_ms * traffic.MS:
            self.run.scheduler.call_at(self.run.scheduler.now_ns + self.INTERVAL_NS, self._sample)

    def _sample_requests(self, policies: list[Policy]) -> None:
        """Updates the maximum of a customer's requests in flight over all gateways, relative to its limit."""
        in_flight_by_customer: dict[int, int] = {}
        for policy in policies:
            for pending in policy.parts.requests.pending.values():
                limit, key = pending.plan.max_in_flight, pending.customer.key
                if limit and pending.in_flight and pending.inside_quota:
                    in_flight_by_customer[key] = in_flight_by_customer.get(key, 0) + 1
                    self.max_limit_ratio = max(self.max_limit_ratio, in_flight_by_customer[key] / limit)

    def recover_s(self, failure_s: float) -> float:
        """Returns the seconds from a failure until service is at 95 % of its mean before it; -1: never."""
        usual_per_s = sum(0.2 <= t < failure_s for t, _ in self.served) / (failure_s - 0.2)
        served_s = sorted(t for t, _ in self.served)
        for step in range(0, 400):
            window_begin_s = failure_s + 0.25 + step * 0.05
            if sum(window_begin_s <= t < window_begin_s + 1 for t in served_s) >= 0.95 * usual_per_s:
                return window_begin_s - failure_s
        return -1.0


def play(seed: int, gateways: int, last_ms: int, gossip: bool) -> SimulationResult:
    """Runs one simulation; the seed also selects the failure."""
    failure = shared.FAILURES[seed % len(shared.FAILURES)]
    plan = shared.draw(seed, gateways, failure, last_ms)
    plan.share = not gossip
    run = Run(plan)
    if gossip:
        run.checker.quotas = Quotas(traffic.quotas())
    observer = Observer(run)
    result = run.play()
    affected = {
        f"g{g % gateways}" for f in plan.faults for g in f.targets if f.kind in ("away", "crash", "pause")
    }
    unaffected = [g for g in (s.name for s in run.nodes) if g not in affected]
    unaffected_ratio = 1.0
    if affected and unaffected and not result.breach:
        baseline_run = Run(msgspec.structs.replace(plan, faults=[]))
        baseline = Observer(baseline_run)
        baseline_run.play()
        unaffected_ratio = sum(g in unaffected for _, g in observer.served) / max(
            1, sum(g in unaffected for _, g in baseline.served)
        )
    quotas = run.checker.quotas
    max_minute_ratio = max(
        (
            -s.lowest_level / (quotas.bounded_quotas[plan].burst + 60 * quotas.bounded_quotas[plan].rate)
            for (plan, _), s in quotas.customers.items()
        ),
        default=0.0,
    )
    messages_per_s = sum(s.gateway.counters.messages_out for s in run.nodes) / len(run.nodes) / result.seconds
    return SimulationResult(
        failure,
        seed,
        f"{result.breach.rule}: {result.breach.text}" if result.breach else "",
        quotas.max_excess,
        quotas.peak_ratio,
        quotas.sent_units,
        quotas.ideal_units,
        result.tally.get("served", 0),
        messages_per_s,
        max_minute_ratio,
        observer.max_units_per_backend,
        unaffected_ratio,
        observer.max_limit_ratio,
        observer.recover_s(shared.FAILURE_START_MS / 1000) if plan.faults else 0.0,
    )


def play_all(
    seeds: range, gateways: int, last_ms: int, gossip: bool, jobs: int
) -> Iterator[SimulationResult]:
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(seeds))) as pool:
        yield from pool.imap_unordered(
            partial(play, gateways=gateways, last_ms=last_ms, gossip=gossip), seeds
        )


def table(results: list[SimulationResult]) -> str:
    """Formats the results with one line per failure."""
    lines = [
        f"{'failure':12}{'worlds':>7}{'worst units':>13}{'of a minute':>13}{'of its bound':>14}"
        f"{'goodput':>9}{'served':>8}{'msg/s':>7}{'out/server':>12}{'spared':>8}{'open':>6}"
        f"{'back, s':>9}"
    ]
    for failure in shared.FAILURES:
        runs = [r for r in results if r.failure == failure]
        if runs:
            lines.append(
                f"{failure:12}{len(runs):7}{max(r.max_overshoot for r in runs):13.2f}"
                f"{100 * max(r.minute_ratio for r in runs):12.2f}%"
                f"{max(r.bound_ratio for r in runs):14.2f}"
                f"{sum(r.sent_units for r in runs) / max(1e-9, sum(r.ideal_units for r in runs)):9.3f}"
                f"{sum(r.served for r in runs):8}"
                f"{sum(r.messages_per_s for r in runs) / len(runs):7.1f}"
                f"{max(r.max_units_per_backend for r in runs):12.1f}"
                f"{sum(r.unaffected_ratio for r in runs) / len(runs):8.3f}"
                f"{max(r.max_limit_ratio for r in runs):6.2f}"
                f"{sorted(r.recover_s if r.recover_s >= 0 else 99.0 for r in runs)[len(runs) // 2]:9.2f}"
            )
    return "\n".join(lines)
