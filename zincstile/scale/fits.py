"""Laws fitted to measured figures: constant, logarithmic, linear, worse than linear. No I/O, no clock.

Each law is `intercept + slope * basis(size)`, fitted by weighted least squares. The weights are those of
relative noise (80 MB is measured as well as 20 MB, in percent), with a floor for figures near nought.

Which law is named is decided by AICc (Akaike's criterion, corrected for few samples) on these residuals: it
compares laws that are not nested, and charges the exponent of the power law as a parameter. Laws within
`INDISTINCT` of the least are not distinguished by the samples (Burnham and Anderson's rule of thumb); of
those the first in the order constant, linear, logarithmic, power is taken: no growth is claimed that the
samples don't show, and where growth is sure and its form is not, a plan has to count on the more expensive
line.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Final, NamedTuple

INDISTINCT: Final = 2.0  # difference of AICc below which two laws count as equally good
LEAST_SIZES: Final = 4  # distinct sizes: with three, the power law passes through all means
LEAST_SAMPLES: Final = 6  # with five, AICc can't charge the power law's parameters
FLOOR_SHARE: Final = 0.01  # of the largest value: what is smaller is not weighed any higher
ROUNDING: Final = 1e-9  # relative residuals below this are those of floating point
EXPONENTS: Final = tuple(1.1 + 0.05 * k for k in range(59))  # of the power law: 1.1 to 4
NORMAL_975: Final = 1.959963984540054  # 97.5% point of the normal distribution


class FitError(ValueError):
    """The samples can't carry a fit; the text names the reason."""


class Law(Enum):
    """How a figure grows with a size."""

    CONSTANT = "constant"
    LINEAR = "linear"
    LOGARITHMIC = "logarithmic"
    POWER = "worse than linear"


class Point(NamedTuple):
    """One sample: a size and the figure measured there."""

    size: float
    value: float


class Extrapolation(NamedTuple):
    """A size outside the measured ones: from the nearest that was measured to the one that is asked for."""

    measured: float
    asked: float


class Estimate(NamedTuple):
    """A figure worked out from a fit, with the 95% interval of its mean."""

    value: float
    low: float
    high: float
    extrapolation: Extrapolation | None = None


@dataclass(frozen=True, slots=True)
class Fit:
    """A law with its slope, the 95% interval of the slope, and the range that carries it. The interval of a
    constant law is that of the line, 0 in it: growth that the samples leave open."""

    law: Law
    intercept: float
    slope: float
    slope_low: float
    slope_high: float
    exponent: float  # of the size; 1 unless the law is worse than linear
    smallest: float
    largest: float
    samples: int
    quantile: float  # of the t distribution, at the residuals' degrees of freedom
    intercept_variance: float  # at the weighted centre of the basis
    slope_variance: float
    centre: float

    def basis(self, size: float) -> float:
        """What the slope is multiplied by at that size."""
        return _basis(self.law, self.exponent)(size)

    def predict(self, size: float) -> Estimate:
        """The figure's mean at that size. ValueError where the size is not above 0."""
        if not size > 0:
            raise ValueError(f"size must be above 0, not {size:g}")
        basis = self.basis(size)
        value = self.intercept + self.slope * basis
        variance = self.intercept_variance + self.slope_variance * (basis - self.centre) ** 2
        margin = self.quantile * math.sqrt(variance)
        return Estimate(value, value - margin, value + margin, self.extrapolated(size))

    def growth(self, start: float, size: float) -> Estimate:
        """How much the mean differs between two sizes. A logarithmic law has no value at 0: from there it is
        counted from the smallest size that was measured."""
        if self.law is Law.LOGARITHMIC and start <= 0:
            start = self.smallest
        basis = _basis(Law.LINEAR if self.law is Law.CONSTANT else self.law, self.exponent)
        way = basis(size) - basis(start)
        value, ends = self.slope * way, sorted((self.slope_low * way, self.slope_high * way))
        return Estimate(value, ends[0], ends[1], self.extrapolated(size))

    def extrapolated(self, size: float) -> Extrapolation | None:
        """From where to where, if the size lies outside the measured ones."""
        if self.smallest <= size <= self.largest:
            return None
        return Extrapolation(self.largest if size > self.largest else self.smallest, size)


def fit(points: Iterable[tuple[float, float]]) -> Fit:
    """The law that the samples show. FitError where they are too few or not numbers."""
    samples = _checked(points)
    weights = _weights(samples)
    line = _straight(samples, weights, Law.LINEAR)
    candidates = [_constant(samples, weights, line.fit), line, _straight(samples, weights, Law.LOGARITHMIC)]
    powers = [_straight(samples, weights, Law.POWER, exponent) for exponent in EXPONENTS]
    candidates.append(min(powers, key=lambda c: c.criterion))
    enough = [c for c in candidates if c.fit.slope > 0 or c.fit.law is not Law.POWER]
    least = min(c.criterion for c in enough)
    return next(c.fit for c in enough if c.criterion <= least + INDISTINCT)


def t_quantile_975(freedom: int) -> float:
    """97.5% point of Student's t distribution: exact for 1 and 2 degrees of freedom, else the expansion of
    Abramowitz and Stegun, 26.7.5, which is right to three digits."""
    if freedom < 1:
        raise ValueError("degrees of freedom must be at least 1")
    if freedom == 1:
        return math.tan(math.pi * 0.475)
    if freedom == 2:
        return 0.95 * math.sqrt(2 / (1 - 0.95**2))
    x = NORMAL_975
    terms = (
        (x**3 + x) / 4,
        (5 * x**5 + 16 * x**3 + 3 * x) / 96,
        (3 * x**7 + 19 * x**5 + 17 * x**3 - 15 * x) / 384,
        (79 * x**9 + 776 * x**7 + 1482 * x**5 - 1920 * x**3 - 945 * x) / 92160,
    )
    return x + sum(term / freedom**power for power, term in enumerate(terms, start=1))


class _Candidate(NamedTuple):
    fit: Fit
    criterion: float  # AICc


def _checked(points: Iterable[tuple[float, float]]) -> list[Point]:
    """Sorted, so that the order of the runs changes no digit."""
    samples = sorted(Point(float(size), float(value)) for size, value in points)
    if not all(math.isfinite(p.size) and math.isfinite(p.value) and p.size > 0 for p in samples):
        raise FitError("sizes must be above 0 and all values finite")
    sizes = len({p.size for p in samples})
    if sizes < LEAST_SIZES or len(samples) < LEAST_SAMPLES:
        raise FitError(
            f"{len(samples)} samples at {sizes} sizes; a fit needs {LEAST_SAMPLES} at {LEAST_SIZES} at least"
        )
    return samples


def _weights(samples: Sequence[Point]) -> list[float]:
    """Of relative noise: by the mean at each size, so that a low outlier weighs no more than its repeats."""
    at_size: dict[float, list[float]] = defaultdict(list)
    for point in samples:
        at_size[point.size].append(point.value)
    means = {size: abs(math.fsum(values) / len(values)) for size, values in at_size.items()}
    floor = FLOOR_SHARE * max(means.values()) or 1.0
    return [1 / max(floor, means[p.size]) ** 2 for p in samples]


def _basis(law: Law, exponent: float) -> Callable[[float], float]:
    if law is Law.CONSTANT:
        return lambda size: 0.0
    if law is Law.LOGARITHMIC:
        return math.log
    return lambda size: size**exponent


def _criterion(residual: float, samples: int, parameters: int) -> float:
    """AICc of a fit by least squares; the noise is a parameter too."""
    count = parameters + 1
    spare = samples - count - 1
    relative = max(residual / samples, ROUNDING**2)
    return samples * math.log(relative) + 2 * count + 2 * count * (count + 1) / spare


def _constant(samples: Sequence[Point], weights: Sequence[float], line: Fit) -> _Candidate:
    total = math.fsum(weights)
    mean = math.fsum(w * p.value for w, p in zip(weights, samples, strict=True)) / total
    residual = math.fsum(w * (p.value - mean) ** 2 for w, p in zip(weights, samples, strict=True))
    freedom = len(samples) - 1
    found = Fit(
        law=Law.CONSTANT,
        intercept=mean,
        slope=0.0,
        slope_low=min(0.0, line.slope_low),
        slope_high=max(0.0, line.slope_high),
        exponent=1.0,
        smallest=samples[0].size,
        largest=samples[-1].size,
        samples=len(samples),
        quantile=t_quantile_975(freedom),
        intercept_variance=residual / freedom / total,
        slope_variance=0.0,
        centre=0.0,
    )
    return _Candidate(found, _criterion(residual, len(samples), 1))


def _straight(
    samples: Sequence[Point], weights: Sequence[float], law: Law, exponent: float = 1.0
) -> _Candidate:
    """A straight line over the law's basis; the exponent of the power law takes a degree of freedom."""
    basis = [_basis(law, exponent)(p.size) for p in samples]
    rows = list(zip(weights, basis, (p.value for p in samples), strict=True))
    total = math.fsum(weights)
    centre = math.fsum(w * x for w, x, _ in rows) / total
    mean = math.fsum(w * y for w, _, y in rows) / total
    spread = math.fsum(w * (x - centre) ** 2 for w, x, _ in rows)
    slope = math.fsum(w * (x - centre) * (y - mean) for w, x, y in rows) / spread
    residual = math.fsum(w * (y - mean - slope * (x - centre)) ** 2 for w, x, y in rows)
    parameters = 3 if law is Law.POWER else 2
    freedom = len(samples) - parameters
    noise = residual / freedom
    quantile = t_quantile_975(freedom)
    margin = quantile * math.sqrt(noise / spread)
    found = Fit(
        law=law,
        intercept=mean - slope * centre,
        slope=slope,
        slope_low=slope - margin,
        slope_high=slope + margin,
        exponent=exponent,
        smallest=samples[0].size,
        largest=samples[-1].size,
        samples=len(samples),
        quantile=quantile,
        intercept_variance=noise / total,
        slope_variance=noise / spread,
        centre=centre,
    )
    return _Candidate(found, _criterion(residual, len(samples), parameters))
