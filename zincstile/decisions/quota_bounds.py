"""Quotas, and the most that may go out beyond them: a sum of named terms, so that the one that dominates
can be told. Pure; `quota_service.overshoot_bound` and `leases.overshoot_bound` derive the terms.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from .settings import CustomerPlan

MINUTE_S: Final = 60.0
ROUNDING_TOLERANCE: Final = 1e-9  # what sums of floats are off by


@dataclass(frozen=True, slots=True)
class Quota:
    """Of one plan, for each customer; units and units a second. `spread`: gateways of the customer's set."""

    name: str
    rate: float
    burst: float
    spread: int
    max_request_units: float = 1.0  # units of one request
    max_excess_units: float = (
        math.inf
    )  # units that may go out beyond it, where something else (a ceiling) bounds them

    def __post_init__(self) -> None:
        """Checks that the fields can work."""
        if not (self.rate > 0 and self.burst >= 0 and self.spread >= 1 and self.max_request_units > 0):
            raise ValueError(
                f"quota {self.name}: rate, spread and largest must be above 0, burst not " "negative"
            )

    @property
    def units_per_minute(self) -> float:
        """What it gives in any minute, in units."""
        return self.burst + MINUTE_S * self.rate


def quota_of_plan(plan: CustomerPlan, spread: int, largest: float) -> Quota:
    """A plan's quota. Where nothing beyond it is let in and it has a ceiling, what passes it by mistake has
    to stay under that."""
    held = plan.over_quota_weight <= plan.over_quota_cost and plan.ceiling_rate >= plan.rate
    most = max(0.0, plan.ceiling_burst + plan.ceiling_slack - plan.burst) if held else math.inf
    return Quota(plan.name, plan.rate, plan.burst, spread, largest, most)


@dataclass(frozen=True, slots=True)
class Bound:
    """For one failure: what it may add up to, term by term, in units."""

    failure: str
    terms: dict[str, float]
    units_per_minute: float  # what the quota gives in any minute, in units

    @property
    def units(self) -> float:
        """The sum of the terms."""
        return sum(self.terms.values())

    @property
    def overshoot_ratio(self) -> float:
        """Of what the quota gives in a minute."""
        return self.units / self.units_per_minute

    @property
    def dominant_term(self) -> str:
        """The name of the largest term."""
        return max(self.terms, key=self.terms.__getitem__)


def excess_reason(quota: Quota, bound: Bound, most: float) -> str | None:
    """Why a bound is over what is allowed, with the term that dominates; None where it is not."""
    if bound.overshoot_ratio <= most + ROUNDING_TOLERANCE:
        return None
    return (
        f"plan {quota.name}: {bound.failure}: up to {bound.units:.2f} units, "
        f"{100 * bound.overshoot_ratio:.1f}% of a minute, over {100 * most:.1f}%; "
        f"most of it by {bound.dominant_term}"
    )


def first_excess_reason(
    quota: Quota, bounds: Iterable[Bound], endured: tuple[str, ...], most: float
) -> str | None:
    """Why the first of the endured failures costs too much; None where each is within what is allowed."""
    found = (excess_reason(quota, bound, most) for bound in bounds if bound.failure in endured)
    return next((why for why in found if why), None)
