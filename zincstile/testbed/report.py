"""A page on one run, or on several side by side: answers by gateway and zone, and use of each bound.

A single HTML file with the charts inside (SVG by pygal), so that it can be shared and archived.
"""

from __future__ import annotations

import html
from collections.abc import Callable
from pathlib import Path

import pygal
from pygal.style import CleanStyle

from ..serialization.errors import FileError
from .result import GatewayRow, RunResult, ViolationRow

STYLE = CleanStyle(title_font_size=15, legend_font_size=11, label_font_size=11, major_label_font_size=11)
PAGE = """<!doctype html><html lang="en"><meta charset="utf-8"><title>zincstile field report</title><style>
body {{ font: 14px/1.45 sans-serif; margin: 1.5em; color: #222 }} h1 {{ font-size: 20px }}
h2 {{ font-size: 16px; margin: 1.6em 0 .4em }} table {{ border-collapse: collapse; margin: .4em 0 }}
td, th {{ border: 1px solid #ccc; padding: 2px 8px; text-align: right }} th {{ background: #f2f2f2 }}
td:first-child, th:first-child {{ text-align: left }} .side {{ display: flex; gap: 1.5em; flex-wrap: wrap }}
.side > div {{ flex: 1 1 30em; min-width: 28em }} .bad {{ color: #b00020; font-weight: bold }}
pre {{ background: #f7f7f7; padding: .6em; overflow-x: auto; font-size: 12px }}
figure {{ margin: 0; max-width: 46em }}
</style><h1>{title}</h1>{body}</html>
"""
MAX_CHART_LINES = 12  # with more gateways a chart shows minimum, mean and maximum
ANSWERS = ("served", "denied", "failed", "unreached")


def _text(value: object) -> str:
    if isinstance(value, float):
        return f"{value:.2f}" if abs(value) < 1000 else f"{value:.0f}"
    return html.escape(str(value))


def table(head: list[str], rows: list[list[object]]) -> str:
    """Returns rows of text and numbers as an HTML table."""
    cells = "".join("<tr>" + "".join(f"<td>{_text(x)}</td>" for x in row) + "</tr>" for row in rows)
    return f"<table><tr>{''.join(f'<th>{html.escape(h)}</th>' for h in head)}</tr>{cells}</table>"


def chart(title: str, seconds: list[int], lines: dict[str, list[float | None]], **more: object) -> str:
    """Returns a chart over the seconds of the run."""
    line_chart = pygal.Line(
        style=STYLE,
        height=300,
        width=680,
        show_dots=False,
        title=title,
        legend_at_bottom=True,
        x_title="second",
        js=[],
        show_minor_x_labels=False,
        x_labels_major_every=max(1, len(seconds) // 12),
        **more,
    )
    line_chart.x_labels = [str(s) for s in seconds]
    for name, values in lines.items():
        line_chart.add(name, values)
    return f"<figure>{line_chart.render(is_unicode=True, disable_xml_declaration=True)}</figure>"


class Charts:
    """Charts of the time series of one run."""

    def __init__(self, result: RunResult) -> None:
        """Indexes the series of the result by second and gateway."""
        self.result = result
        self.zones = {row.name: row.zone for row in result.rows}
        self.seconds = sorted({int(row["second"]) for row in result.series})
        self.cells = {(int(row["second"]), str(row["gateway"])): row for row in result.series}
        self.names = [row.name for row in result.rows]

    def total(self, figure: str, names: list[str] | None = None) -> list[float]:
        """Returns a figure by second, summed over these gateways, or over all."""
        chosen = self.names if names is None else names
        return [sum(float(self.cells.get((s, n), {}).get(figure, 0.0)) for n in chosen) for s in self.seconds]

    def by_gateway(self, figure: str, rate: bool = False) -> dict[str, list[float | None]]:
        """Returns a line for each gateway; for many gateways the minimum, mean and maximum. `rate`: growth of
        a counter by second."""
        found: dict[str, list[float | None]] = {}
        for name in self.names:
            values = [self.cells.get((s, name), {}).get(figure) for s in self.seconds]
            numbers = [None if v is None else float(v) for v in values]
            found[name] = _growth(numbers) if rate else numbers
        if len(found) <= MAX_CHART_LINES:
            return found
        columns = [[v for v in column if v is not None] for column in zip(*found.values(), strict=True)]
        return {
            "least": [min(c, default=None) for c in columns],
            "mean": [sum(c) / len(c) if c else None for c in columns],
            "most": [max(c, default=None) for c in columns],
        }

    def by_zone(self, figure: str) -> dict[str, list[float | None]]:
        """Returns a figure by second, summed over the gateways of each zone."""
        return {
            zone: list(self.total(figure, [n for n in self.names if self.zones[n] == zone]))
            for zone in sorted(set(self.zones.values()))
        }

    def all(self) -> str:
        """Returns all charts of the page."""
        answers = {kind: list(self.total(kind)) for kind in ANSWERS}
        parts = [
            chart("answers a second", self.seconds, answers),
            chart("served a second, by zone", self.seconds, self.by_zone("served")),
            chart("served a second, by gateway", self.seconds, self.by_gateway("served")),
            chart("units sent on a second, by zone", self.seconds, self.by_zone("units")),
            chart("level (units out for each good server)", self.seconds, self.by_gateway("level")),
            chart("units out", self.seconds, self.by_gateway("out")),
            chart("servers doubted by half or more", self.seconds, self.by_gateway("doubted")),
            chart("messages sent a second", self.seconds, self.by_gateway("messages_out", rate=True)),
        ]
        if any("hand" in row for row in self.result.series):
            parts.append(chart("borrowed units in hand", self.seconds, self.by_gateway("hand")))
        return "".join(parts)


def _growth(values: list[float | None]) -> list[float | None]:
    """Returns the growth of a counter that starts at 0 again with each process."""
    found: list[float | None] = []
    last = 0.0
    for value in values:
        if value is None:
            found.append(None)
            continue
        found.append(value - last if value >= last else value)
        last = value
    return found


GATEWAY_COLUMNS = [
    "gateway",
    "zone",
    "starts",
    "ready, s",
    "requests",
    "served",
    "denied",
    "failed",
    "datagrams",
    "a second",
    "CPU ms a request",
    "MB",
]


def _gateway_rows(result: RunResult) -> list[list[object]]:
    def count(row: GatewayRow, name: str) -> int:
        return int(row.counters.get(name, 0))

    rows: list[list[object]] = []
    for row in result.rows:
        requests = count(row, "requests")
        cpu = row.counters.get("cpu_ms", 0.0) / requests if requests else 0.0
        rows.append(
            [
                row.name,
                row.zone,
                row.starts,
                result.ready_s.get(row.name, 0.0),
                requests,
                count(row, "served"),
                count(row, "denied"),
                count(row, "failed"),
                row.datagrams,
                row.datagrams / max(0.1, result.seconds),
                cpu,
                row.memory_kb / 1024,
            ]
        )
    return rows


def result_html(result: RunResult) -> str:
    """Returns the part of the page for one run."""
    parts = [_head(result), *(_violation_html(breach) for breach in result.breaches)]
    if result.plans:
        parts.append(_quotas(result))
    parts.append("<h2>Over time</h2>" + Charts(result).all())
    if result.events:
        parts.append("<h2>Faults</h2>" + table(["second", "what"], [[s, what] for s, what in result.events]))
    parts.append("<h2>Gateways</h2>" + table(GATEWAY_COLUMNS, _gateway_rows(result)))
    parts.append(_answers(result))
    return "".join(parts)


def _head(result: RunResult) -> str:
    verdict = "every rule held" if result.ok else '<span class="bad">not every rule held</span>'
    return (
        f"<p>{html.escape(result.plan)}, seed {result.seed}, {result.gateways} gateways, {result.boxes} "
        f"guide boxes, {result.seconds:.1f} s: {verdict}. {result.requests} requests, {result.attempts} "
        f"attempts, {100 * result.goodput:.1f}% of what one all-seeing store would let in.</p>"
    )


def _violation_html(breach: ViolationRow) -> str:
    """Returns a rule violation with the events that led to it."""
    history = "\n".join(breach.history)
    return (
        f"<p class=bad>{html.escape(breach.rule)} at {breach.at_s:.2f} s: "
        f"{html.escape(breach.text)}</p><pre>{html.escape(history)}</pre>"
    )


def _quotas(result: RunResult) -> str:
    heads = ["plan", "worst beyond a quota", "stated bound", "of it", "sent", "all-seeing store"]
    rows = [
        [p.plan, p.worst, p.bound, p.worst / p.bound if p.bound else 0.0, p.sent, p.best]
        for p in result.plans
    ]
    return "<h2>Quotas over all gateways</h2>" + table(heads, rows)


def _answers(result: RunResult) -> str:
    return (
        "<h2>Answers</h2>"
        + table(["kind", "count"], [[k, n] for k, n in sorted(result.tally.items())])
        + table(["latency of the served", "ms"], [[k, v] for k, v in result.latency_ms.items()])
        + table(["datagrams between gateways", "count"], [[k, n] for k, n in result.links.items()])
    )


COMPARED_FIGURES: dict[str, Callable[[RunResult], float]] = {
    "served": lambda r: float(r.tally.get("served", 0)),
    "denied": lambda r: float(r.tally.get("denied", 0)),
    "failed": lambda r: float(r.tally.get("failed", 0)),
    "goodput against one all-seeing store": lambda r: r.goodput,
    "nearest to a stated bound": lambda r: max((p.worst / p.bound for p in r.plans if p.bound), default=0.0),
    "worst units beyond a quota": lambda r: max((p.worst for p in r.plans), default=0.0),
    "datagrams a gateway and second": lambda r: sum(x.datagrams for x in r.rows)
    / max(1, len(r.rows))
    / max(0.1, r.seconds),
    "CPU ms a request": lambda r: sum(x.counters.get("cpu_ms", 0.0) for x in r.rows)
    / max(1.0, sum(x.counters.get("requests", 0.0) for x in r.rows)),
    "most memory, MB": lambda r: max((x.memory_kb for x in r.rows), default=0) / 1024,
    "p50, ms": lambda r: r.latency_ms.get("p50", 0.0),
    "p99, ms": lambda r: r.latency_ms.get("p99", 0.0),
    "broken rules": lambda r: float(len(r.breaches)),
}


def page(results: list[tuple[str, RunResult]]) -> str:
    """Returns the HTML of one run, or of several side by side under a table that compares them."""
    title = "zincstile field: " + ", ".join(name for name, _ in results)
    if len(results) == 1:
        return PAGE.format(title=html.escape(title), body=result_html(results[0][1]))
    compared = table(
        ["", *(name for name, _ in results)],
        [[heading, *(compute(r) for _, r in results)] for heading, compute in COMPARED_FIGURES.items()],
    )
    columns = "".join(f"<div><h2>{html.escape(name)}</h2>{result_html(r)}</div>" for name, r in results)
    return PAGE.format(title=html.escape(title), body=compared + f'<div class="side">{columns}</div>')


def write(results: list[tuple[str, RunResult]], path: Path) -> None:
    """Writes the page. Raises FileError if that fails."""
    try:
        path.write_text(page(results), encoding="utf-8")
    except OSError as err:
        raise FileError(f"{path}: {err.strerror}") from None
