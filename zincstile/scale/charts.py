"""Charts of measured slopes: one SVG for each dimension and figure."""

from __future__ import annotations

from math import log10
from pathlib import Path

import pygal
from pygal.style import LightSolarizedStyle

from ..serialization.errors import FileError
from .records import Dimension, Figure, Kind, SlopeResult
from .tables import HEADINGS, SCALES


def draw(result: SlopeResult, folder: Path) -> list[Path]:
    """Writes all charts, with a line for each kind and program. FileError where that fails."""
    written = []
    try:
        folder.mkdir(parents=True, exist_ok=True)
        for dimension in Dimension:
            for figure in Figure:
                data = _chart(result, dimension, figure)
                if data is not None:
                    written.append(folder / f"{dimension.value}-{figure.value}.svg")
                    written[-1].write_text(data, encoding="utf-8")
    except OSError as err:
        raise FileError(f"{folder}: {err.strerror}") from None
    return written


def _chart(result: SlopeResult, dimension: Dimension, figure: Figure) -> str | None:
    chart = pygal.XY(
        style=LightSolarizedStyle,
        title=f"{HEADINGS[figure]} by {dimension.value}",
        x_title=f"{dimension.value} (logarithmic)",
        y_title=HEADINGS[figure],
        width=800,
        height=480,
        dots_size=3,
        js=(),
        disable_xml_declaration=True,
    )
    chart.x_value_formatter = lambda x: f"{10**x:.3g}"
    chart.value_formatter = lambda y: f"{y:.4g}"
    drawn = False
    for program in result.commits:
        for kind in Kind:
            points = _points(result, dimension, figure, kind, program)
            if points:
                chart.add(f"{program}, {kind.value}", points)
                drawn = True
    return chart.render(is_unicode=True) if drawn else None


def _points(
    result: SlopeResult, dimension: Dimension, figure: Figure, kind: Kind, program: str
) -> list[tuple[float, float]]:
    found = []
    for sample in result.chosen(dimension, kind, program):
        value = sample.figure(figure)
        if value is not None:
            found.append((log10(sample.size), value * SCALES.get(figure, 1.0)))
    return found
