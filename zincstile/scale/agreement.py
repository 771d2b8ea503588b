"""Whether hollow gateways show the same slopes as real ones. No I/O, no clock.

Only sizes that both kinds played are compared. A hollow gateway shares a process with others, so that its
memory and its rest lack what a process takes by itself: figures that grow are compared by how much they grow
over these sizes, figures that don't by their mean.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Final

from .fits import Estimate, Fit, FitError, Law, fit
from .records import Dimension, Figure, Kind, SlopeResult

TOLERANCE: Final = 0.15  # part of the real gateway's figure by which the hollow one may differ
COMPARED: Final = (  # costs of the control side; several hollow gateways of one process delay each other
    Figure.MEMORY_BYTES,
    Figure.CPU_REST_SHARE,
    Figure.CPU_PER_CHANGE_S,
    Figure.CPU_PER_MESSAGE_S,
)
SHARED: Final = (Figure.MEMORY_BYTES, Figure.CPU_REST_SHARE)  # what a process takes by itself is in them


class Verdict(Enum):
    """Whether both kinds agree."""

    YES = "yes"
    OPEN = "open"  # the intervals are too wide to tell
    NO = "**no**"


@dataclass(frozen=True, slots=True)
class Agreement:
    """One figure over one dimension. `grows`: the estimates are of growth over the sizes, else means."""

    dimension: Dimension
    figure: Figure
    smallest: float
    largest: float
    grows: bool
    real: Estimate
    hollow: Estimate

    @property
    def ratio(self) -> float | None:
        """None where the real gateway's figure shows no growth to compare with."""
        return self.hollow.value / self.real.value if self.real.value else None

    @property
    def verdict(self) -> Verdict:
        """By the ratio; where that is off, but the intervals have room for one that is not, it is open."""
        if self.ratio is not None and abs(self.ratio - 1) <= TOLERANCE:
            return Verdict.YES
        if self.ratio is None and not self.hollow.value:
            return Verdict.YES
        wide = (1 + TOLERANCE) * self.real.high >= self.hollow.low
        return Verdict.OPEN if wide and self.hollow.high >= (1 - TOLERANCE) * self.real.low else Verdict.NO


def agreements(result: SlopeResult, program: str) -> Iterator[Agreement]:
    """Of all figures that both kinds have at enough common sizes."""
    for dimension in Dimension:
        for figure in COMPARED:
            found = _agreement(result, program, dimension, figure)
            if found is not None:
                yield found


def _agreement(result: SlopeResult, program: str, dimension: Dimension, figure: Figure) -> Agreement | None:
    real, hollow = (_points(result, program, dimension, figure, kind) for kind in (Kind.REAL, Kind.HOLLOW))
    common = {size for size, _ in real} & {size for size, _ in hollow}
    try:
        fits = [fit(p for p in points if p[0] in common) for points in (real, hollow)]
    except FitError:
        return None
    grows = fits[0].law is not Law.CONSTANT or figure in SHARED
    smallest, largest = min(common), max(common)
    estimates = [_compared(found, grows, smallest, largest) for found in fits]
    return Agreement(dimension, figure, smallest, largest, grows, *estimates)


def _points(
    result: SlopeResult, program: str, dimension: Dimension, figure: Figure, kind: Kind
) -> list[tuple[float, float]]:
    samples = result.chosen(dimension, kind, program)
    return [(s.size, value) for s in samples if (value := s.figure(figure)) is not None]


def _compared(found: Fit, grows: bool, smallest: float, largest: float) -> Estimate:
    return found.growth(smallest, largest) if grows else found.predict(largest)
