"""Quotas, and bounds on the units that may be sent beyond them in a failure.

A bound is a sum of named terms, so that its largest term can be reported. The terms are derived in
`quota_service.overshoot_bound` and `leases.overshoot_bound`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from .settings import CustomerPlan

MINUTE_S: Final = 60.0
ROUNDING_TOLERANCE: Final = 1e-9  # covers the rounding errors of float sums


@dataclass(frozen=True, slots=True)
class Quota:
    """Quota of each customer of a plan, in units and units per second."""

    name: str
    rate: float
    burst: float
    spread: int  # number of gateways that serve the customer
    max_request_units: float = 1.0  # size of the largest request
    # Units that may be sent beyond the quota; finite if the plan's ceiling has to hold as well.
    max_excess_units: float = math.inf

    def __post_init__(self) -> None:
        """Checks the ranges of the fields."""
        if not (self.rate > 0 and self.burst >= 0 and self.spread >= 1 and self.max_request_units > 0):
            raise ValueError(
                f"quota {self.name}: rate, spread and largest must be above 0 and burst must not be negative"
            )

    @property
    def units_per_minute(self) -> float:
        """Largest number of units that the quota allows in any minute."""
        return self.burst + MINUTE_S * self.rate


def quota_of_plan(plan: CustomerPlan, spread: int, max_request_units: float) -> Quota:
    """Returns the quota of a plan.

    If the plan has a ceiling and admits nothing beyond the quota, units sent beyond the quota in a failure
    must stay below the ceiling.
    """
    has_excess_limit = plan.over_quota_weight <= plan.over_quota_cost and plan.ceiling_rate >= plan.rate
    max_excess_units = (
        max(0.0, plan.ceiling_burst + plan.ceiling_slack - plan.burst) if has_excess_limit else math.inf
    )
    return Quota(plan.name, plan.rate, plan.burst, spread, max_request_units, max_excess_units)


@dataclass(frozen=True, slots=True)
class Bound:
    """Bound on the units sent beyond the quota in one kind of failure, term by term."""

    failure: str
    terms: dict[str, float]
    units_per_minute: float  # largest number of units that the quota allows in any minute

    @property
    def units(self) -> float:
        """Sum of the terms."""
        return sum(self.terms.values())

    @property
    def overshoot_ratio(self) -> float:
        """Bound relative to what the quota allows in a minute."""
        return self.units / self.units_per_minute

    @property
    def dominant_term(self) -> str:
        """Name of the largest term."""
        return max(self.terms, key=self.terms.__getitem__)


def excess_reason(quota: Quota, bound: Bound, max_overshoot_ratio: float) -> str | None:
    """Returns why a bound exceeds the allowed ratio, with its largest term; None if it does not."""
    if bound.overshoot_ratio <= max_overshoot_ratio + ROUNDING_TOLERANCE:
        return None
    return (
        f"plan {quota.name}: {bound.failure}: up to {bound.units:.2f} units, "
        f"{100 * bound.overshoot_ratio:.1f}% of a minute, over {100 * max_overshoot_ratio:.1f}%; "
        f"most of it by {bound.dominant_term}"
    )


def first_excess_reason(
    quota: Quota, bounds: Iterable[Bound], tolerated_failures: tuple[str, ...], max_overshoot_ratio: float
) -> str | None:
    """Returns why the first tolerated failure exceeds the allowed ratio; None if all are within it."""
    reasons = (
        excess_reason(quota, bound, max_overshoot_ratio)
        for bound in bounds
        if bound.failure in tolerated_failures
    )
    return next((reason for reason in reasons if reason), None)
