"""From what a scale run has seen to its verdicts: pure, with the worst named."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil
from typing import Final

from ..checkers.history import Violation
from .members import Member
from .outcome import Check, DelayRow, GatewayRow, Verdict
from .records import Kind
from .topology import Budgets
from .verdicts import Change, ColdBudgets, Delays, Peak, in_force, peak

NAMED: Final = 5  # of the worst
STALL_AFTER_NS: Final = 1_000_000_000
BOTH: Final = [Kind.REAL, Kind.HOLLOW]
CHURN: Final = "churn"


@dataclass
class Evidence:
    """What was seen until the end of a run. Times are of one clock."""

    budgets: Budgets
    members: list[Member]
    changes: list[Change]
    end_s: float
    cold: ColdBudgets
    breaches: list[Violation] = field(default_factory=list)
    attempts: int = 0
    bound_nearest: float = 0.0  # to a ceiling or a stated bound of a quota; 1: at it
    quota_over: dict[str, float] = field(
        default_factory=dict
    )  # by plan without a bound: the most units beyond
    faults: list[str] = field(default_factory=list)
    spans: list[tuple[str, float, float]] = field(default_factory=list)  # events: name, begin, end
    stalls: list[tuple[int, int]] = field(default_factory=list)  # of the driver: from, to, in ns as breaches
    machine: list[tuple[float, float, float]] = field(default_factory=list)  # when; cores' seconds: busy, all


@dataclass
class GatewaySeen:
    """What one gateway showed."""

    member: Member
    delays: Delays
    peak: Peak

    def row(self) -> GatewayRow:
        """For the result."""
        member, delays, used = self.member, self.delays, self.peak
        seen = delays.delays_s
        return GatewayRow(
            member.name,
            member.kind,
            member.zone,
            member.loaded,
            member.starts,
            len(seen) + delays.never,
            round(max(seen), 3) if seen else None,
            delays.late,
            delays.never,
            delays.undecided,
            round(used.cpu_share, 6),
            round(used.bytes_per_s, 1),
            round(used.memory_bytes),
            round(used.seconds, 2),
        )


def gateways(evidence: Evidence) -> list[GatewaySeen]:
    """Each gateway's delays and use."""
    within = evidence.budgets.in_force_s
    return [
        GatewaySeen(
            m, in_force(evidence.changes, m.incarnations, within, evidence.end_s), peak(m.incarnations)
        )
        for m in evidence.members
    ]


def verdicts(evidence: Evidence, seen: list[GatewaySeen]) -> list[Verdict]:
    """All of them, in the order of `Check`."""
    budgets = evidence.budgets
    unloaded = [one for one in seen if not one.member.loaded]
    return [
        _in_force(evidence, seen),
        _over(
            Check.CONTROL_CPU, unloaded, lambda one: one.peak.cpu_share, budgets.control_core_share, _percent
        ),
        _over(
            Check.CONTROL_MEMORY, unloaded, lambda one: one.peak.memory_bytes, budgets.memory_mb * 1e6, _mb
        ),
        _over(
            Check.CONTROL_BYTES,
            seen,
            lambda one: one.peak.bytes_per_s,
            budgets.control_bytes_per_s,
            _kb_per_s,
        ),
        _cold(evidence.cold),
        _quota(evidence),
        _rules(evidence),
        _processes(evidence),
    ]


def _in_force(evidence: Evidence, seen: list[GatewaySeen]) -> Verdict:
    worst = sorted(seen, key=lambda one: (-one.delays.never, -one.delays.late, -one.delays.worst_s))
    judged = sum(len(one.delays.delays_s) + one.delays.never for one in seen)
    late = sum(one.delays.late for one in seen)
    never = sum(one.delays.never for one in seen)
    undecided = sum(one.delays.undecided for one in seen)
    text = (
        f"{judged} changes at gateways judged: {late} later than {evidence.budgets.in_force_s:g} s, "
        f"{never} never, {undecided} undecided as the gateway or the run ended first"
    )
    longest = max((d for one in seen for d in one.delays.delays_s), default=0.0)
    return Verdict(
        Check.IN_FORCE,
        BOTH,
        late + never == 0 if judged else None,
        round(longest, 3),
        evidence.budgets.in_force_s,
        text,
        [_delay(one) for one in worst[:NAMED]],
    )


def _delay(one: GatewaySeen) -> str:
    delays = one.delays
    missing = f", from index {delays.first_missing} on" if delays.first_missing >= 0 else ""
    longest = max(delays.delays_s, default=0.0)
    return (
        f"{one.member.name} ({one.member.kind.value}, {one.member.zone}): {longest:.2f} s at most, "
        f"{delays.late} late, {delays.never} never{missing}"
    )


def _over(
    check: Check,
    seen: list[GatewaySeen],
    figure: Callable[[GatewaySeen], float],
    limit: float,
    written: Callable[[float], str],
) -> Verdict:
    """No gateway over a budget."""
    looked_at = sorted((one for one in seen if one.peak.seconds), key=figure, reverse=True)
    over = [one for one in looked_at if figure(one) > limit]
    worst = figure(looked_at[0]) if looked_at else 0.0
    window = max((one.peak.seconds for one in looked_at), default=0.0)
    by_kind = {kind: sum(one.member.kind is kind for one in looked_at) for kind in Kind}
    over_by_kind = {kind: sum(one.member.kind is kind for one in over) for kind in Kind}
    counts = ", ".join(
        f"{over_by_kind[kind]} of {by_kind[kind]} {kind.value}" for kind in Kind if by_kind[kind]
    )
    text = f"over {written(limit)}: {counts or 'none looked at'}; windows up to {window:.0f} s"
    return Verdict(
        check,
        [kind for kind in Kind if by_kind[kind]],
        not over if looked_at else None,
        round(worst, 6),
        limit,
        text,
        [
            f"{one.member.name} ({one.member.kind.value}, {one.member.zone}, {one.member.starts} starts): "
            f"{written(figure(one))}"
            for one in looked_at[:NAMED]
        ],
    )


def _percent(share: float) -> str:
    return f"{100 * share:.2f}% of a core"


def _mb(size: float) -> str:
    return f"{size / 1e6:.1f} MB"


def _kb_per_s(rate: float) -> str:
    return f"{rate / 1e3:.2f} KB/s"


def _cold(cold: ColdBudgets) -> Verdict:
    return Verdict(
        Check.COLD,
        [Kind.REAL],
        not cold.over if cold.calls else None,
        round(cold.nearest, 4),
        1.0,
        f"{cold.calls} calls to cold backends; {len(cold.over)} of these over their budget in "
        f"{cold.window_s:g} s; the figure is the largest share of a budget",
        [
            f"{name}: {calls} calls, {allowed:.1f} allowed"
            for name, (_, calls, allowed) in list(cold.over.items())[:NAMED]
        ]
        or ([cold.nearest_backend] if cold.nearest_backend else []),
    )


def _quota(evidence: Evidence) -> Verdict:
    broken = [b for b in evidence.breaches if b.rule in ("ceiling", "quota")]
    free = ", ".join(f"{plan} {units:.1f}" for plan, units in sorted(evidence.quota_over.items()))
    return Verdict(
        Check.QUOTA,
        [Kind.REAL],
        not broken if evidence.attempts else None,
        round(evidence.bound_nearest, 4),
        1.0,
        f"ceilings and stated bounds of quotas: {len(broken)} broken; the figure is the nearest. Units "
        f"beyond quotas without a stated bound, not judged: {free or 'none'}",
        [f"{b.rule}: {b.text}" for b in broken[:NAMED]],
    )


def _rules(evidence: Evidence) -> Verdict:
    broken = [b for b in evidence.breaches if b.rule not in ("ceiling", "quota")]
    counts: dict[str, int] = {}
    for breach in broken:
        counts[breach.rule] = counts.get(breach.rule, 0) + 1
    names = ", ".join(f"{rule} {count}" for rule, count in sorted(counts.items()))
    stalled = sum(_stalled(breach, evidence.stalls) for breach in broken)
    beside = f"; {stalled} of these as the driver itself stood still" if stalled else ""
    return Verdict(
        Check.RULES,
        [Kind.REAL],
        not broken if evidence.attempts else None,
        len(broken),
        0.0,
        f"rules broken over {evidence.attempts} attempts: {names or 'none'}{beside}",
        [f"{b.rule} of request {b.request}: {b.text}" for b in broken[:NAMED]],
    )


def _stalled(breach: Violation, stalls: list[tuple[int, int]]) -> bool:
    """It was seen while the driver stood still, or within a second after."""
    return any(from_ns <= breach.at_ns <= to_ns + STALL_AFTER_NS for from_ns, to_ns in stalls)


def _processes(evidence: Evidence) -> Verdict:
    bad = [
        f"{m.name}: {m.counters['messages_bad']} bad messages, {m.counters['faults']} faults"
        for m in evidence.members
        if m.counters.get("messages_bad") or m.counters.get("faults")
    ]
    found = evidence.faults + bad
    return Verdict(
        Check.PROCESSES,
        BOTH,
        not found,
        len(found),
        0.0,
        "processes that ended by themselves, faults in logs, bad messages between gateways",
        found[:NAMED],
    )


def delay_rows(evidence: Evidence) -> list[DelayRow]:
    """Delays by event and kind; a change belongs to the event that was on when it was made."""
    groups: dict[str, list[Change]] = {name: [] for name, _, _ in evidence.spans} | {CHURN: []}
    for change in evidence.changes:
        names = [name for name, began_s, ended_s in evidence.spans if began_s <= change.at_s <= ended_s]
        groups[names[0] if names else CHURN].append(change)
    return [
        _delay_row(evidence, name, kind, changes)
        for name, changes in groups.items()
        for kind in Kind
        if changes and any(m.kind is kind for m in evidence.members)
    ]


def _delay_row(evidence: Evidence, name: str, kind: Kind, changes: list[Change]) -> DelayRow:
    found = Delays()
    for member in (m for m in evidence.members if m.kind is kind):
        one = in_force(changes, member.incarnations, evidence.budgets.in_force_s, evidence.end_s)
        found.delays_s += one.delays_s
        found.late, found.never = found.late + one.late, found.never + one.never
    delays = sorted(found.delays_s)
    return DelayRow(
        name,
        kind,
        len(changes),
        round(percentile(delays, 0.5), 3),
        round(percentile(delays, 0.99), 3),
        round(delays[-1] if delays else 0.0, 3),
        found.late,
        found.never,
        _share_of_span(evidence, name),
    )


def _share_of_span(evidence: Evidence, name: str) -> float:
    """Of the machine, during an event and the time that its changes have; over the whole day for churn."""
    for span, began_s, ended_s in evidence.spans:
        if span == name:
            return machine_share(evidence.machine, began_s, ended_s + evidence.budgets.in_force_s)
    return machine_share(evidence.machine, 0.0, evidence.end_s)


def machine_share(samples: list[tuple[float, float, float]], began_s: float, ended_s: float) -> float:
    """What all cores were busy for between two times, by whatever ran; 0 where it was not sampled."""
    inside = [sample for sample in samples if began_s <= sample[0] <= ended_s]
    if len(inside) < 2 or inside[-1][2] <= inside[0][2]:
        return 0.0
    return round((inside[-1][1] - inside[0][1]) / (inside[-1][2] - inside[0][2]), 3)


def percentile(ordered: list[float], share: float) -> float:
    """The least value that this share of all does not exceed; 0 of none."""
    return ordered[max(0, ceil(share * len(ordered)) - 1)] if ordered else 0.0
