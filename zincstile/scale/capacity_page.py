"""Capacity tables as Markdown: the same text for the same input. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from itertools import zip_longest
from typing import Final

from .agreement import TOLERANCE, agreements
from .capacity import NOT_IN_PROGRAM, Amount, Measured, NotMeasuredError, Row, Section, Unit, Verdict, digits
from .capacity_answers import answers
from .capacity_events import events
from .capacity_gateway import delays, memory, messages, processor, routes
from .capacity_load import load
from .capacity_roles import control_machines, list_service, operators, relays
from .fits import Fit, Law
from .records import Dimension, Figure, SlopeResult
from .topology import Topology

BEGIN: Final = "<!-- scale capacity: begin -->"
END: Final = "<!-- scale capacity: end -->"
MISSING: Final = "**missing**"
PREFIXES: Final = ((1e9, "G"), (1e6, "M"), (1e3, "k"))
NONE: Final = "-"
TRAFFIC: Final = (
    Figure.BYTES_IN_PER_S,
    Figure.BYTES_OUT_PER_S,
    Figure.DATAGRAMS_IN_PER_S,
    Figure.DATAGRAMS_OUT_PER_S,
)
AT_REST: Final = (Figure.MEMORY_BYTES, Figure.CPU_REST_SHARE)
IN_FORCE: Final = (Figure.IN_FORCE_P99_S, Figure.IN_FORCE_LAST_S)
MASS_FAILURE: Final = (Figure.MASS_FAILURE_IN_FORCE_S, Figure.MASS_FAILURE_SERVED_SHARE)
CHANGE: Final = Figure.CPU_PER_CHANGE_S
MESSAGE: Final = Figure.CPU_PER_MESSAGE_S
REQUEST: Final = Figure.CPU_PER_REQUEST_S
SHOWN: Final = {  # the laws that the tables stand on
    Dimension.BACKENDS: (
        *AT_REST,
        CHANGE,
        REQUEST,
        *IN_FORCE,
        *MASS_FAILURE,
        Figure.READY_S,
        Figure.LIST_BYTES,
    ),
    Dimension.GATEWAYS: (*AT_REST, MESSAGE, *TRAFFIC),
    Dimension.TENANTS: (*AT_REST, MESSAGE, *TRAFFIC),
    Dimension.REQUESTS_PER_S: (Figure.CPU_SHARE, REQUEST, *TRAFFIC),
    Dimension.TABLE_CHANGES_PER_S: (Figure.CPU_SHARE, CHANGE, *IN_FORCE),
    Dimension.CONFIG_CHANGES_PER_S: (Figure.CPU_SHARE, CHANGE, *IN_FORCE),
}


class PageError(ValueError):
    """The page has no place for the tables; the text says why."""


def sections(measured: Measured, topology: Topology) -> list[Section]:
    """All tables for one program: the roles, the bad events, the standard answers."""
    at_target = load(topology)
    return [
        Section("Gateway: state and memory", memory(measured, at_target)),
        Section("Gateway: processor time for control", processor(measured, at_target)),
        Section("Gateway: messages", messages(measured, at_target)),
        Section("Gateway: changes in force, and time added to a request", delays(measured, at_target)),
        Section("Routes", routes(measured, topology)),
        Section("Control machines", control_machines(measured, topology)),
        Section("List service", list_service(topology)),
        Section("Quota relays of tenants", relays(measured, topology, at_target)),
        Section("Operators' tools", operators(topology)),
        *events(measured, topology),
        Section("Standard answers", answers(measured, topology, at_target)),
    ]


def tables(programs: Sequence[Measured], topology: Topology) -> str:
    """The page's tables; programs stand side by side, in their order."""
    parts = [_sources(programs), _fits(programs), _agreements(programs)]
    for same in zip(*(sections(p, topology) for p in programs), strict=True):
        parts.append(f"### {same[0].title}\n\n" + _section(programs, same))
    return "\n\n".join(parts) + "\n"


def replaced(page: str, path: str, text: str) -> str:
    """The page with this between its markers. PageError where they are not there, once and in order."""
    if page.count(BEGIN) != 1 or page.count(END) != 1 or page.index(BEGIN) > page.index(END):
        raise PageError(f"{path}: the lines {BEGIN} and {END} have to be there, once and in this order")
    before, after = page[: page.index(BEGIN) + len(BEGIN)], page[page.index(END) :]
    return f"{before}\n\n{text}\n{after}"


def between(page: str, path: str) -> str:
    """What stands between the markers."""
    replaced(page, path, "")
    return page[page.index(BEGIN) + len(BEGIN) : page.index(END)].strip("\n") + "\n"


def written(value: float, unit: Unit) -> str:
    """A figure with its unit, three digits."""
    if unit in (Unit.CORE, Unit.SHARE):
        return f"{digits(100 * value)}%"
    if unit is Unit.SECONDS:
        if value and abs(value) < 1e-3:
            return f"{digits(1e6 * value)} us"
        return f"{digits(1e3 * value)} ms" if value and abs(value) < 1 else f"{digits(value)} s"
    if unit in (Unit.BYTES, Unit.BYTES_PER_S):
        scale, prefix = next((p for p in PREFIXES if abs(value) >= p[0]), (1.0, ""))
        return f"{digits(value / scale)} {prefix}{unit.value}"
    if unit is Unit.TIMES:
        return f"{digits(value)} times"
    return f"{digits(value)}{' ' if unit.value else ''}{unit.value}"


# ---- what the tables stand on


def _sources(programs: Sequence[Measured]) -> str:
    rows = []
    for measured in programs:
        result = measured.result
        machine = f"{result.machine.cores} cores, {written(result.machine.memory_bytes, Unit.BYTES)}"
        features = ", ".join(f"{name}: {path}" for name, path in measured.features.items())
        mine = sum(s.program == measured.program for s in result.samples)
        rows.append(
            [
                measured.program,
                result.commits.get(measured.program, NONE),
                features or NONE,
                f"{machine}, Python {result.machine.python}",
                f"{mine:,}" + ("" if result.complete else _lost(result)),
            ]
        )
    heads = ["program", "commit", "features", "machine", "samples"]
    return "### Measured programs\n\n" + _table(heads, rows)


def _lost(result: SlopeResult) -> str:
    """Why a run is not complete."""
    return f", **{len(result.failures)} points failed**" if result.failures else ", **interrupted**"


def _fits(programs: Sequence[Measured]) -> str:
    rows = []
    for dimension in Dimension:
        for figure in SHOWN[dimension]:
            for measured in programs:
                rows += _fit_row(measured, dimension, figure)
    heads = ["over", "figure", "program", "of", "law", "at the smallest", "at the largest", "slope", "95%"]
    return "### Laws of the slopes\n\n" + _table([*heads, "sizes", "samples"], rows)


def _fit_row(measured: Measured, dimension: Dimension, figure: Figure) -> list[list[str]]:
    """Nothing where that figure belongs to no run over that dimension."""
    try:
        found, kind = measured.fit(dimension, figure)
    except NotMeasuredError as err:
        known = measured.has(dimension, figure)
        return [[dimension.value, figure.value, measured.program, *[NONE] * 7, str(err)]] if known else []
    unit, smallest, largest = _unit(figure), found.smallest, found.largest
    at_ends = [written(found.predict(size).value, unit) for size in (smallest, largest)]
    slope = NONE if found.law is Law.CONSTANT else f"{written(found.slope, unit)} × {_per(found)}"
    interval = f"{written(found.slope_low, unit)} to {written(found.slope_high, unit)}"
    sizes = f"{digits(smallest)} to {digits(largest)}"
    cells = [dimension.value, figure.value, measured.program, kind.value, found.law.value]
    return [[*cells, *at_ends, slope, interval, sizes, f"{found.samples}"]]


def _agreements(programs: Sequence[Measured]) -> str:
    """Hollow gateways against real ones, by growth over the sizes that both played, or by their means."""
    rows = []
    for measured in programs:
        for found in agreements(measured.result, measured.program):
            unit, by = _unit(found.figure), "growth" if found.grows else "mean"
            ratio = NONE if found.ratio is None else digits(found.ratio)
            sizes = f"{digits(found.smallest)} to {digits(found.largest)}"
            cells = [found.dimension.value, found.figure.value, measured.program, by]
            values = [written(found.real.value, unit), written(found.hollow.value, unit)]
            rows.append([*cells, *values, ratio, found.verdict.value, sizes])
    heads = [
        "over",
        "figure",
        "program",
        "by",
        "real",
        "hollow",
        "ratio",
        f"within {100 * TOLERANCE:.0f}%",
        "sizes",
    ]
    title = "### Hollow gateways against real ones\n\n"
    return title + (_table(heads, rows) if rows else "Not measured: no figure at enough sizes by both kinds.")


def _per(found: Fit) -> str:
    """What the slope is multiplied by."""
    if found.law is Law.LOGARITHMIC:
        return "ln size"
    return "size" if found.law is Law.LINEAR else f"size^{found.exponent:.2f}"


def _unit(figure: Figure) -> Unit:
    name = figure.value
    if name.endswith("share"):
        return Unit.CORE
    if "bytes" in name:
        return Unit.BYTES_PER_S if name.endswith("per_s") else Unit.BYTES
    return Unit.PER_S if name.endswith("per_s") else Unit.SECONDS


# ---- one table


def _section(programs: Sequence[Measured], same: Sequence[Section]) -> str:
    """Rows that are alike for all programs stand once."""
    several, rows = len(programs) > 1, []
    for row_of in zip_longest(*(section.rows for section in same)):
        alike = all(row == row_of[0] for row in row_of)
        for measured, row in zip(programs, row_of[:1] if alike else row_of, strict=False):
            label = ["all" if alike else measured.program] if several else []
            rows.append([row.entry, *label, *_cells(row)])
    heads = [
        "entry",
        *(["program"] if several else []),
        "how",
        "at the target",
        "95%",
        "budget",
        "verdict",
        "carried by",
    ]
    return _table(heads, rows)


def _cells(row: Row) -> list[str]:
    amount = row.amount
    budget = NONE if row.budget is None else written(row.budget, row.unit)
    if amount is None:
        reason = row.lacks if row.lacks == NOT_IN_PROGRAM else f"not measured: {row.lacks}"
        return [row.how or NONE, reason, NONE, budget, row.verdict.value or NONE, _carried(row)]
    basis = () if row.parts_above else amount.basis
    how = "; ".join(part for part in (row.how, *basis) if part)
    value = written(amount.value, row.unit)
    if amount.lacking:
        value += f", without {', '.join(amount.lacking)}"
    return [how or NONE, value, _interval(amount, row.unit), budget, _verdict(row), _carried(row)]


def _interval(amount: Amount, unit: Unit) -> str:
    return NONE if amount.certain else f"{written(amount.low, unit)} to {written(amount.high, unit)}"


def _verdict(row: Row) -> str:
    """With the factor by which a budget is passed."""
    if row.verdict is not Verdict.OVER or row.amount is None or not row.budget:
        return row.verdict.value or NONE
    return f"{row.verdict.value}, {digits(row.amount.value / row.budget)} times"


def _carried(row: Row) -> str:
    names = ", ".join(f"`{name}`" for name in row.carried.split(", ") if name)
    if not row.missing:
        return names or NONE
    return f"{MISSING} (today {names})" if names else MISSING


def _table(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    return "\n".join([_line(heads), _line(["---"] * len(heads)), *(_line(cells) for cells in rows)])


def _line(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"
