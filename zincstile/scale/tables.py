"""Tables of a topology and of measured slopes, as text."""

from __future__ import annotations

import io
from itertools import groupby
from statistics import median
from typing import Final

from rich.console import Console
from rich.table import Table

from . import fits
from .records import Dimension, Figure, Kind, Sample, SlopeResult
from .topology import Topology

WIDTH: Final = 110
WIDE: Final = 210  # of tables with all figures
HEADINGS: Final = {
    Figure.MEMORY_BYTES: "memory MB",
    Figure.CPU_REST_SHARE: "rest % core",
    Figure.CPU_SHARE: "busy % core",
    Figure.CPU_PER_CHANGE_S: "ms a change",
    Figure.CPU_PER_REQUEST_S: "ms a request",
    Figure.CPU_PER_MESSAGE_S: "ms a message",
    Figure.BYTES_IN_PER_S: "B/s in",
    Figure.BYTES_OUT_PER_S: "B/s out",
    Figure.DATAGRAMS_IN_PER_S: "dgrams/s in",
    Figure.DATAGRAMS_OUT_PER_S: "dgrams/s out",
    Figure.IN_FORCE_P50_S: "in force ms p50",
    Figure.IN_FORCE_P99_S: "p99",
    Figure.IN_FORCE_LAST_S: "last",
    Figure.MASS_FAILURE_IN_FORCE_S: "mass failure s",
    Figure.MASS_FAILURE_SERVED_SHARE: "served % in it",
    Figure.READY_S: "ready ms",
    Figure.LIST_BYTES: "list KB",
}
SCALES: Final = {
    Figure.MEMORY_BYTES: 1e-6,
    Figure.CPU_REST_SHARE: 100.0,
    Figure.CPU_SHARE: 100.0,
    Figure.CPU_PER_CHANGE_S: 1e3,
    Figure.CPU_PER_REQUEST_S: 1e3,
    Figure.CPU_PER_MESSAGE_S: 1e3,
    Figure.IN_FORCE_P50_S: 1e3,
    Figure.IN_FORCE_P99_S: 1e3,
    Figure.IN_FORCE_LAST_S: 1e3,
    Figure.MASS_FAILURE_SERVED_SHARE: 100.0,
    Figure.READY_S: 1e3,
    Figure.LIST_BYTES: 1e-3,
}


def text(table: Table, width: int = WIDTH) -> str:
    """A table as plain text, the same in a pipe and on a terminal."""
    out = io.StringIO()
    Console(file=out, width=width, color_system=None).print(table)
    return out.getvalue()


def topology(fleet: Topology) -> str:
    """The sizes of a fleet, and what follows from them for one gateway."""
    table = Table(title="fleet")
    table.add_column("size")
    table.add_column("in all", justify="right")
    table.add_column("of it", justify="left")
    services, churn = fleet.service_sizes(), fleet.churn_per_day
    sets, zones = fleet.tenant_sets(), len(fleet.zones)
    rows = [
        ("regions", len(fleet.regions), ", ".join(f"{r.name}: {len(r.zones)} zones" for r in fleet.regions)),
        ("racks", zones * fleet.racks_per_zone, f"{fleet.racks_per_zone} in each zone"),
        ("gateways", fleet.gateways, f"{fleet.gateways / zones:.0f} in each zone"),
        ("backends", fleet.backends, f"{fleet.backends / zones:.0f} in each zone"),
        ("services", len(services), f"{services[0]} backends in the largest, {services[-1]} in the smallest"),
        ("routes", fleet.routes.count, "" if fleet.routes.in_program else "not in the program"),
        ("tenants", fleet.tenants.count, f"{fleet.tenants_of_gateway():.0f} of one gateway"),
        ("sets of tenants", sum(sets), f"{sets[0]} gateways in the widest, {sets[-1]} in the smallest"),
        ("requests a second", fleet.requests_per_s, f"{fleet.requests_of_gateway():.1f} of one gateway"),
        (
            "replacements a day",
            churn.backend_replacements,
            f"{fleet.table_changes_per_s():.3f} changes a second",
        ),
        ("configuration changes a day", churn.configuration_changes, ""),
        ("machine failures a day", churn.machine_failures, ""),
    ]
    for name, number, note in rows:
        table.add_row(name, f"{number:,g}" if number < 1000 else f"{number:,.0f}", note)
    return text(table)


def samples(result: SlopeResult, dimension: Dimension, program: str) -> str:
    """Medians over the repeats: a row for each size and kind, a column for each figure. Then the laws."""
    table = Table(title=f"{dimension.value}, {program} ({result.commits.get(program, 'unknown')})")
    for name in ("kind", "size", "n"):
        table.add_column(name, justify="left" if name == "kind" else "right")
    chosen = {kind: result.chosen(dimension, kind, program) for kind in Kind}
    figures = [f for f in Figure if any(s.figure(f) is not None for found in chosen.values() for s in found)]
    for figure in figures:
        table.add_column(HEADINGS[figure], justify="right")
    for kind, found in chosen.items():
        for size, alike in groupby(found, key=lambda s: s.size):
            repeats = list(alike)
            cells = [_median(repeats, figure) for figure in figures]
            table.add_row(kind.value, f"{size:g}", str(len(repeats)), *cells)
    return text(table, width=WIDE)


def laws(result: SlopeResult, program: str) -> str:
    """How each figure grows with each dimension: the law, the slope with its interval, and the range. Empty
    where the samples can't carry a fit."""
    table = Table(title=f"laws, {program}: slope of each unit of the law's basis, 95% interval")
    for name in ("dimension", "figure", "kind", "law", "slope", "from", "to", "sizes", "n"):
        table.add_column(name, justify="left" if name in ("dimension", "figure", "kind", "law") else "right")
    for dimension in Dimension:
        for figure in Figure:
            for kind in Kind:
                found = _law(result.chosen(dimension, kind, program), figure)
                if found is not None:
                    slopes = (f"{x:.4g}" for x in (found.slope, found.slope_low, found.slope_high))
                    span = f"{found.smallest:g}..{found.largest:g}"
                    law = found.law.value + (f" (^{found.exponent:.2f})" if found.exponent != 1 else "")
                    row = (dimension.value, figure.value, kind.value, law, *slopes, span, str(found.samples))
                    table.add_row(*row)
    return text(table, width=WIDE) if table.rows else ""


def _law(found: list[Sample], figure: Figure) -> fits.Fit | None:
    points = [(s.size, value) for s in found if (value := s.figure(figure)) is not None]
    try:
        return fits.fit(points)
    except fits.FitError:
        return None


def _median(found: list[Sample], figure: Figure) -> str:
    values = [value for s in found if (value := s.figure(figure)) is not None]
    return f"{median(values) * SCALES.get(figure, 1.0):.4g}" if values else ""
