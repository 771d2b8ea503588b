"""The laws fitted to measured figures, against what they were made from."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from zincstile.scale.fits import FitError, Law, fit, t_quantile_975

SIZES = (320.0, 1000.0, 3200.0, 10000.0, 32000.0)
LAWS = {
    Law.CONSTANT: lambda x: 0.0,
    Law.LOGARITHMIC: math.log,
    Law.LINEAR: lambda x: x,
    Law.POWER: lambda x: x**2,
}
# relative noise, the same on each side of nought
NOISE = (0.98, 1.0, 1.02)


def noisy(law, intercept, slope, repeats=1):
    return [
        (x, (intercept + slope * law(x)) * factor) for x in SIZES for factor in NOISE for _ in range(repeats)
    ]


@given(
    law=st.sampled_from(list(Law)),
    intercept=st.floats(0.1, 1e6),
    growth=st.floats(0.5, 1e3),
    repeats=st.integers(2, 4),
)
def test_a_law_without_noise_is_found_again(law, intercept, growth, repeats):
    basis = LAWS[law]
    slope = 0.0 if law is Law.CONSTANT else growth * intercept / basis(SIZES[-1])
    found = fit([(x, intercept + slope * basis(x)) for x in SIZES for _ in range(repeats)])
    assert found.law is law
    assert found.samples == repeats * len(SIZES)
    for size in (320.0, 5000.0, 64000.0):
        want = intercept + slope * basis(size)
        estimate = found.predict(size)
        assert estimate.value == pytest.approx(want, rel=1e-6)
        assert estimate.low <= estimate.value <= estimate.high
    assert found.slope == pytest.approx(slope, rel=1e-6)


@given(law=st.sampled_from([Law.LINEAR, Law.LOGARITHMIC]), more=st.integers(2, 6))
def test_the_interval_holds_the_slope_and_shrinks_with_samples(law, more):
    few, many = (fit(noisy(LAWS[law], 10.0, 3.0, repeats)) for repeats in (1, more))
    assert few.law is law and many.law is law
    for found in (few, many):
        assert found.slope_low < 3.0 < found.slope_high
    assert many.slope_high - many.slope_low < few.slope_high - few.slope_low
    for size in (320.0, 32000.0, 100000.0):
        assert (
            many.predict(size).high - many.predict(size).low < few.predict(size).high - few.predict(size).low
        )


@given(st.permutations(noisy(LAWS[Law.LINEAR], 20.0, 0.01)))
def test_the_order_of_the_runs_changes_no_digit(points):
    assert fit(points) == fit(noisy(LAWS[Law.LINEAR], 20.0, 0.01))


@pytest.mark.parametrize("law", [Law.LINEAR, Law.LOGARITHMIC, Law.POWER])
def test_growth_is_the_difference_of_two_predictions(law):
    found = fit(noisy(LAWS[law], 10.0, 3.0))
    grown = found.growth(1000, 64000)
    assert grown.value == pytest.approx(found.predict(64000).value - found.predict(1000).value)
    assert grown.low < grown.value < grown.high and grown.extrapolation == (32000, 64000)
    assert found.growth(0, 1000).value >= 0  # a logarithm begins at the smallest that was measured


def test_noise_alone_is_no_growth():
    flat = fit(noisy(LAWS[Law.CONSTANT], 21.5, 0.0))
    assert flat.law is Law.CONSTANT and flat.slope == 0
    grown = flat.growth(320, 32000)  # none is shown, and some can't be ruled out
    assert grown.value == 0 and 0.1 < grown.high < 1 and -1 < grown.low < -0.1
    assert flat.predict(2e6).value == pytest.approx(21.5, rel=0.01)
    assert fit([(x, 0.0) for x in SIZES] * 2).predict(100).value == 0


def test_a_quadratic_is_told_as_worse_than_linear_with_noise_too():
    found = fit(noisy(LAWS[Law.POWER], 1.0, 1e-4))
    assert found.law is Law.POWER
    assert found.exponent == pytest.approx(2, abs=0.1)


def test_what_lies_outside_the_measured_sizes_says_from_where():
    found = fit(noisy(LAWS[Law.LINEAR], 20.0, 0.01))
    assert found.extrapolated(320) is None and found.extrapolated(32000) is None
    assert found.predict(64000).extrapolation == (32000, 64000)
    assert found.predict(10).extrapolation == (320, 10)
    with pytest.raises(ValueError):
        found.predict(0)


@pytest.mark.parametrize(
    ("points", "why"),
    [
        ([], "0 samples at 0 sizes"),
        ([(1, 2), (2, 3), (3, 4)] * 5, "15 samples at 3 sizes"),
        ([(1, 2), (2, 3), (3, 4), (4, 5), (5, 6)], "5 samples at 5 sizes"),
        ([(0, 2), (2, 3), (3, 4), (4, 5)] * 2, "above 0"),
        ([(1, math.nan), (2, 3), (3, 4), (4, 5)] * 2, "finite"),
    ],
)
def test_samples_that_carry_no_fit_are_refused(points, why):
    with pytest.raises(FitError, match=why):
        fit(points)


@pytest.mark.parametrize(
    ("freedom", "want"),
    [(1, 12.706), (2, 4.303), (3, 3.182), (4, 2.776), (8, 2.306), (13, 2.160), (30, 2.042)],
)
def test_quantiles_of_t_are_those_of_the_tables(freedom, want):
    assert t_quantile_975(freedom) == pytest.approx(want, rel=2e-3)
    assert t_quantile_975(freedom) > t_quantile_975(freedom + 1)
