"""A scale run's verdicts as text."""

from __future__ import annotations

from rich.table import Table

from . import tables
from .outcome import DayResult, Verdict
from .records import Kind

WIDTH = 150


def text(result: DayResult) -> str:
    """Verdicts, each with the kind of gateways that gave it; delays by event; the worst by name."""
    parts = [_verdicts(result), _delays(result)] if result.verdicts else []
    parts += [f"{_mark(v)} {v.check.value}: {one}\n" for v in result.verdicts for one in v.worst]
    parts += [f"note: {note}\n" for note in result.notes]
    return "".join(parts) + summary(result) + "\n"


def summary(result: DayResult) -> str:
    """One line."""
    broken = ",".join(v.check.value for v in result.verdicts if v.kept is False) or "none"
    sizes = " ".join(f"{name}={size:g}" for name, size in result.sizes.items())
    return (
        f"scale run {sizes} processes={result.processes} changes={result.changes} "
        f"seconds={result.seconds:.0f} driver_lag_s={result.driver_lag_s:.2f} "
        f"memory_gb={result.measured_bytes / 1e9:.2f} machine={100 * result.machine_share:.0f}% "
        f"complete={'yes' if result.complete else 'no'} broken={broken}"
    )


def _mark(verdict: Verdict) -> str:
    return {True: "kept", False: "BROKEN", None: "not seen"}[verdict.kept]


def _verdicts(result: DayResult) -> str:
    table = Table(title=f"verdicts of {result.plan}, {', '.join(result.events)}")
    for name in ("check", "verdict", "given by", "worst", "limit", "what"):
        table.add_column(name, justify="right" if name in ("worst", "limit") else "left")
    for verdict in result.verdicts:
        kinds = ", ".join(kind.value for kind in verdict.given_by)
        row = (f"{verdict.figure:.4g}", f"{verdict.limit:.4g}", verdict.text)
        table.add_row(verdict.check.value, _mark(verdict), kinds, *row)
    return tables.text(table, WIDTH)


def _delays(result: DayResult) -> str:
    table = Table(title="until in force, seconds (upper bounds)")
    for name in ("event", "given by", "changes", "p50", "p99", "last", "late", "never", "machine"):
        table.add_column(name, justify="left" if name in ("event", "given by") else "right")
    for row in result.delays:
        figures = (f"{value:.2f}" for value in (row.p50_s, row.p99_s, row.last_s))
        table.add_row(
            row.event,
            row.kind.value,
            str(row.changes),
            *figures,
            str(row.late),
            str(row.never),
            f"{100 * row.machine_share:.0f}%",
        )
    return tables.text(table, WIDTH)


def loaded_beside_unloaded(result: DayResult) -> str:
    """What tells the requests' cost from that of control, at the real gateways; empty if there are none."""
    shares = {True: [], False: []}
    for row in result.gateways:
        if row.kind is Kind.REAL and row.window_s:
            shares[row.loaded].append(row.cpu_share)
    if not shares[True] or not shares[False]:
        return ""
    loaded, unloaded = (sum(found) / len(found) for found in (shares[True], shares[False]))
    return (
        f"real gateways' largest use, mean of each kind: {100 * loaded:.2f}% of a core with requests, "
        f"{100 * unloaded:.2f}% without; the difference is not control"
    )
