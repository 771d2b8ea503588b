"""Many worlds in which a part of the fleet hears nothing, and what came of them: quotas beside their
bounds, what is out at the back end, who is served.
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
    """What came of one world."""

    failure: str
    seed: int
    violation: str
    max_overshoot: float  # units beyond a quota, at most
    bound_ratio: float
    sent: float
    best: float  # what one store that sees every try would let in
    served: int
    messages: float  # sent by a gateway in a second
    over_minute: float  # worst, in what its quota gives in a minute
    out: float  # units out over all gateways, at most, for each ready server
    apart: float  # served by gateways that no fault names, in what they served in the same world without one
    open: float  # requests out at once of a customer, in its plan's limit on that, at most
    back_s: float  # from the failure's begin until as much is served as before; -1: never


class Watch:
    """What the checker does not look at: units out over all gateways, and what is served when and by whom."""

    EVERY_NS, SECOND = 20 * traffic.MS, 1_000_000_000

    def __init__(self, run: Run) -> None:
        self.run, self.out, self.open = run, 0.0, 0.0
        self.served: list[tuple[float, str]] = []  # seconds since the first request, gateway
        answered = run.checker.request_answered

        def heard(request: bytes, kind: str, value: bytes) -> None:
            if kind == "served":
                at = (run.scheduler.now_ns - run.began_ns) / self.SECOND
                self.served.append((at, run.checker.histories[request].gateway))
            answered(request, kind, value)

        run.checker.request_answered = heard  # type: ignore[method-assign]
        run.scheduler.call_at(run.began_ns, self._look)

    def _look(self) -> None:
        """Attempts of processes that are dead run on at the servers and are not theirs any more."""
        nodes = [s for s in self.run.nodes if s.process is not None and s.process.alive]
        out = sum(
            a.units for s in nodes for a in s.gateway.dispatcher.policy.parts.attempts.in_flight.values()
        )
        self._count_open([s.gateway.dispatcher.policy for s in nodes])
        ready = sum(p.process.alive for p in self.run.backends.values())
        self.out = max(self.out, out / max(1, ready))
        if self.run.scheduler.now_ns < self.run.began_ns + self.run.plan.last_ms * traffic.MS:
            self.run.scheduler.call_at(self.run.scheduler.now_ns + self.EVERY_NS, self._look)

    def _count_open(self, modules: list[Policy]) -> None:
        """Requests out at once for a customer whose plan has a limit, over all gateways, in that limit."""
        found: dict[int, int] = {}
        for module in modules:
            for pending in module.parts.requests.pending.values():
                limit, key = pending.plan.max_in_flight, pending.customer.key
                if limit and pending.in_flight and pending.inside_quota:
                    found[key] = found.get(key, 0) + 1
                    self.open = max(self.open, found[key] / limit)

    def back_s(self, at_s: float) -> float:
        """Seconds from a failure until 0.95 of a second's usual service, by the mean before it."""
        usual = sum(0.2 <= t < at_s for t, _ in self.served) / (at_s - 0.2)
        times = sorted(t for t, _ in self.served)
        for step in range(0, 400):
            begin = at_s + 0.25 + step * 0.05
            if sum(begin <= t < begin + 1 for t in times) >= 0.95 * usual:
                return begin - at_s
        return -1.0


def play(seed: int, gateways: int, last_ms: int, gossip: bool) -> SimulationResult:
    """One world; failures go round by the seed."""
    failure = shared.FAILURES[seed % len(shared.FAILURES)]
    plan = shared.draw(seed, gateways, failure, last_ms)
    plan.share = not gossip
    run = Run(plan)
    if gossip:
        run.checker.quotas = Quotas(traffic.quotas())
    watch = Watch(run)
    result = run.play()
    named = {f"g{g % gateways}" for f in plan.faults for g in f.who if f.kind in ("away", "crash", "pause")}
    spared = [g for g in (s.name for s in run.nodes) if g not in named]
    apart = 1.0
    if named and spared and not result.breach:
        calm = Run(msgspec.structs.replace(plan, faults=[]))
        beside = Watch(calm)
        calm.play()
        apart = sum(g in spared for _, g in watch.served) / max(1, sum(g in spared for _, g in beside.served))
    quotas = run.checker.quotas
    minute = max(
        (
            -s.lowest_level / (quotas.stated[plan].burst + 60 * quotas.stated[plan].rate)
            for (plan, _), s in quotas.customers.items()
        ),
        default=0.0,
    )
    sent = sum(s.gateway.counters.messages_out for s in run.nodes) / len(run.nodes) / result.seconds
    return SimulationResult(
        failure,
        seed,
        f"{result.breach.rule}: {result.breach.text}" if result.breach else "",
        quotas.worst_excess,
        quotas.peak_ratio,
        quotas.sent,
        quotas.ideal,
        result.tally.get("served", 0),
        sent,
        minute,
        watch.out,
        apart,
        watch.open,
        watch.back_s(shared.FAILURE_START_MS / 1000) if plan.faults else 0.0,
    )


def play_all(
    seeds: range, gateways: int, last_ms: int, gossip: bool, jobs: int
) -> Iterator[SimulationResult]:
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(seeds))) as pool:
        yield from pool.imap_unordered(
            partial(play, gateways=gateways, last_ms=last_ms, gossip=gossip), seeds
        )


def table(rows: list[SimulationResult]) -> str:
    """One line a failure."""
    lines = [
        f"{'failure':12}{'worlds':>7}{'worst units':>13}{'of a minute':>13}{'of its bound':>14}"
        f"{'goodput':>9}{'served':>8}{'msg/s':>7}{'out/server':>12}{'spared':>8}{'open':>6}"
        f"{'back, s':>9}"
    ]
    for failure in shared.FAILURES:
        mine = [r for r in rows if r.failure == failure]
        if mine:
            lines.append(
                f"{failure:12}{len(mine):7}{max(r.max_overshoot for r in mine):13.2f}"
                f"{100 * max(r.over_minute for r in mine):12.2f}%{max(r.bound_ratio for r in mine):14.2f}"
                f"{sum(r.sent for r in mine) / max(1e-9, sum(r.best for r in mine)):9.3f}"
                f"{sum(r.served for r in mine):8}{sum(r.messages for r in mine) / len(mine):7.1f}"
                f"{max(r.out for r in mine):12.1f}{sum(r.apart for r in mine) / len(mine):8.3f}"
                f"{max(r.open for r in mine):6.2f}"
                f"{sorted(r.back_s if r.back_s >= 0 else 99.0 for r in mine)[len(mine) // 2]:9.2f}"
            )
    return "\n".join(lines)
