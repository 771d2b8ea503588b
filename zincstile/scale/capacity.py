"""What a budget is spent on: amounts with intervals, rows of a capacity table, and the fits behind them.

Pure: no I/O, no clock. An amount that was not measured is a row that says so, never a guess.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

from .fits import Estimate, Extrapolation, Fit, FitError, fit
from .records import Dimension, Figure, Kind, SlopeResult

NOT_IN_PROGRAM: Final = "not in the program"


class Unit(Enum):
    """How an amount is written."""

    BYTES = "B"
    BYTES_PER_S = "B/s"
    CORE = "of a core"
    SECONDS = "s"
    PER_S = "/s"
    COUNT = ""
    SHARE = "%"
    TIMES = "times"


class NotMeasuredError(Exception):
    """The slopes don't hold what an amount would be worked out from; the text says what."""


@dataclass(frozen=True, slots=True)
class Amount:
    """A figure with its 95% interval; `basis` names the fits that it stands on, `lacking` what a sum leaves
    out because it was not measured."""

    value: float
    low: float
    high: float
    basis: tuple[str, ...] = ()
    lacking: tuple[str, ...] = ()

    def times(self, factor: float) -> Amount:
        """By a factor that is known."""
        return Amount(self.value * factor, self.low * factor, self.high * factor, self.basis, self.lacking)

    @property
    def certain(self) -> bool:
        """Worked out without anything measured."""
        return not self.basis


def exact(value: float) -> Amount:
    """What follows from the topology and the code alone."""
    return Amount(value, value, value)


def total(parts: Iterable[Amount], lacking: Iterable[str] = ()) -> Amount:
    """The sum; margins of parts that were measured apart add up as squares."""
    found = list(parts)
    value = math.fsum(p.value for p in found)
    below = math.sqrt(math.fsum((p.value - p.low) ** 2 for p in found))
    above = math.sqrt(math.fsum((p.high - p.value) ** 2 for p in found))
    basis = tuple(dict.fromkeys(name for p in found for name in p.basis))
    missing = (name for p in found for name in p.lacking)
    return Amount(value, value - below, value + above, basis, tuple(dict.fromkeys((*missing, *lacking))))


class Verdict(Enum):
    """An amount against its budget."""

    NONE = ""  # no budget is given for it
    WITHIN = "within"
    OPEN = "open"  # the interval holds the budget, or a part of the sum was not measured
    OVER = "**over**"
    NOT_MEASURED = "not measured"


@dataclass(frozen=True, slots=True)
class Row:
    """One line of a capacity table. `amount` is None where it was not measured or is not in the program;
    `lacks` then says what. `carried` names the mechanism and its file; empty where there is none."""

    entry: str
    how: str
    unit: Unit
    amount: Amount | None
    carried: str = ""
    budget: float | None = None
    lacks: str = ""
    needed: bool = True  # False: a figure to compare with, which no mechanism has to carry
    parts_above: bool = False  # a sum, whose parts show what they stand on

    @property
    def verdict(self) -> Verdict:
        """Whether the amount stays within its budget; open where its range holds the budget."""
        if self.amount is None:
            return Verdict.NONE if self.lacks == NOT_IN_PROGRAM else Verdict.NOT_MEASURED
        if self.budget is None:
            return Verdict.NONE
        if self.amount.low > self.budget:
            return Verdict.OVER
        if self.amount.high > self.budget or self.amount.lacking:
            return Verdict.OPEN
        return Verdict.WITHIN

    @property
    def missing(self) -> bool:
        """Nothing carries it at this size: there is no mechanism, or it breaks the budget."""
        return self.needed and (not self.carried or self.verdict is Verdict.OVER)


@dataclass(frozen=True, slots=True)
class Section:
    """One table of the page."""

    title: str
    rows: list[Row] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Measured:
    """The fits of one program's samples. Figures of real gateways go before those of hollow ones."""

    result: SlopeResult
    program: str

    @property
    def features(self) -> dict[str, str]:
        """Files of the features that were on for this program; `LABEL:NAME` is on for that label alone."""
        found = {}
        for name, path in sorted(self.result.features.items()):
            label, colon, feature = name.rpartition(":")
            if not colon or label == self.program:
                found[feature] = path
        return found

    def fit(self, dimension: Dimension, figure: Figure) -> tuple[Fit, Kind]:
        """NotMeasuredError where there are no samples, or too few."""
        for kind in (Kind.REAL, Kind.HOLLOW):
            samples = self.result.chosen(dimension, kind, self.program)
            points = [(s.size, value) for s in samples if (value := s.figure(figure)) is not None]
            if points:
                try:
                    return fit(points), kind
                except FitError as err:
                    raise NotMeasuredError(f"{figure.value} over {dimension.value}: {err}") from None
        raise NotMeasuredError(f"{figure.value} over {dimension.value}")

    def has(self, dimension: Dimension, figure: Figure) -> bool:
        """Whether any sample has it, be they too few for a fit."""
        return any(
            s.program == self.program and s.dimension is dimension and s.figure(figure) is not None
            for s in self.result.samples
        )

    def predict(self, dimension: Dimension, figure: Figure, size: float) -> Amount:
        """The figure at that size, the others as they were held."""
        found, kind = self.fit(dimension, figure)
        return _amount(found.predict(size), _basis(found, kind, dimension))

    def growth(self, dimension: Dimension, figure: Figure, start: float | None, size: float) -> Amount:
        """How much the figure grows from one size to another; from the smallest measured if none is given."""
        found, kind = self.fit(dimension, figure)
        start = found.smallest if start is None else start
        return _amount(found.growth(start, size), _basis(found, kind, dimension))

    def smallest(self, dimension: Dimension, figure: Figure) -> float:
        """The smallest size that was measured."""
        return self.fit(dimension, figure)[0].smallest

    def smallest_or_none(self, dimension: Dimension, figure: Figure) -> float | None:
        """The same, for the text beside a row that says itself what was not measured."""
        try:
            return self.smallest(dimension, figure)
        except NotMeasuredError:
            return None

    def held(self, dimension: Dimension, other: Dimension) -> float | None:
        """The size of another dimension while one was varied, where the record has it."""
        return self.result.held.get(dimension.value, {}).get(other.value)


def digits(value: float) -> str:
    """Three digits, or all before the point; an exponent only below a millionth."""
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    text = f"{value or 0.0:.3g}"  # never -0
    if "e" not in text or abs(value) < 1e-6:
        return text
    return f"{value:.7f}".rstrip("0")


def row(
    entry: str,
    how: str,
    unit: Unit,
    make: Callable[[], Amount],
    carried: str = "",
    budget: float | None = None,
    needed: bool = True,
) -> Row:
    """A row whose amount is worked out by `make`; one that says what was not measured, where that fails."""
    try:
        amount, lacks = make(), ""
    except NotMeasuredError as err:
        amount, lacks = None, str(err)
    return Row(entry, how, unit, amount, carried, budget, lacks, needed)


def summed(entry: str, how: str, rows: list[Row], carried: str, budget: float | None) -> Row:
    """The sum of rows of one unit; what is not measured or not in the program is named as left out."""
    known = [r.amount for r in rows if r.amount is not None]
    lacking = [r.entry for r in rows if r.amount is None]
    if not known:
        return Row(entry, how, rows[0].unit, None, carried, budget, "none of its parts")
    return Row(entry, how, rows[0].unit, total(known, lacking), carried, budget, parts_above=True)


def missing(entry: str, how: str, unit: Unit, value: float, budget: float | None = None) -> Row:
    """Worked out, and carried by nothing."""
    return Row(entry, how, unit, exact(value), "", budget)


def _amount(estimate: Estimate, basis: str) -> Amount:
    if estimate.extrapolation is not None:
        basis += f", {_told(estimate.extrapolation)}"
    return Amount(estimate.value, estimate.low, estimate.high, (basis,))


def _told(way: Extrapolation) -> str:
    return f"**extrapolated from {digits(way.measured)} to {digits(way.asked)}**"


def _basis(found: Fit, kind: Kind, dimension: Dimension) -> str:
    return f"{kind.value}, {found.law.value} over {dimension.value}"
