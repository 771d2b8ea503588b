"""Splits a budget of units per second among groups of requests.

The weight of a group is a normalized logistic function of its payoff, the value earned per unit sent. Source:
Equation 5 of "From 0.5 Million to 2.5 Million: Efficiently Scaling up Real-Time Bidding" (Shen and
others).
"""

from __future__ import annotations

import math
from typing import Final

from .records import TrafficGroup
from .settings import Settings

# Alpha of Equation 5, applied to payoffs relative to their mean; a negative value favours higher payoffs.
STEEPNESS: Final = -10.0
MAX_EXPONENT: Final = 50.0  # bounds the exponent of the logistic function against overflow
# Weight, in units, of the configured value within a measured payoff. It keeps any group from starving.
PRIOR_UNITS: Final = 20.0


def payoff(groups: list[TrafficGroup]) -> float:
    """Returns the value earned per unit sent, averaged over the groups by their arrival rates."""
    value = sum(
        (g.arrival_rate + 1e-9)
        * (g.earned_value + PRIOR_UNITS * g.prior_value)
        / (g.sent_units + PRIOR_UNITS)
        for g in groups
    )
    return value / sum(g.arrival_rate + 1e-9 for g in groups)


def split(budget: float, children: list[list[TrafficGroup]]) -> list[float]:
    """Returns the budget of each child. A child gets no more than arrives; the surplus goes to the others."""
    arrivals = [sum(g.arrival_rate for g in groups) for groups in children]
    payoffs = [payoff(groups) for groups in children]
    mean_payoff = max(sum(payoffs) / len(payoffs), 1e-9)
    weights = [_logistic(STEEPNESS * (value - mean_payoff) / mean_payoff) for value in payoffs]
    shares = [0.0] * len(payoffs)
    unsatisfied = list(range(len(payoffs)))
    remaining = budget
    while unsatisfied:
        total_weight = sum(weights[j] for j in unsatisfied)
        satisfied = [j for j in unsatisfied if remaining * weights[j] / total_weight >= arrivals[j]]
        for j in satisfied or unsatisfied:
            shares[j] = arrivals[j] if satisfied else remaining * weights[j] / total_weight
        if not satisfied:
            break
        remaining -= sum(arrivals[j] for j in satisfied)
        unsatisfied = [j for j in unsatisfied if j not in satisfied]
    return shares


def _logistic(exponent: float) -> float:
    return 1 / (1 + math.exp(max(-MAX_EXPONENT, min(MAX_EXPONENT, exponent))))


class BudgetTree:
    """Owns the tree of traffic groups: inside or beyond the quota, then by request class, then by plan."""

    def __init__(self, settings: Settings) -> None:
        """Creates one group per class and plan, inside and beyond the quota."""
        self.inside_quota = self._make_groups(settings, beyond_quota=False)
        self.beyond_quota = self._make_groups(settings, beyond_quota=True)
        self.sides = (self.inside_quota, self.beyond_quota)
        self.groups = [group for side in self.sides for class_groups in side for group in class_groups]

    @staticmethod
    def _make_groups(settings: Settings, *, beyond_quota: bool) -> list[list[TrafficGroup]]:
        """Returns groups by class and plan, each with the configured value of a unit."""
        return [
            [
                TrafficGroup(
                    request_class.priority_weight
                    * plan.price
                    * (plan.over_quota_weight if beyond_quota else 1.0)
                )
                for plan in settings.plans
            ]
            for request_class in settings.classes
        ]

    @property
    def is_limiting(self) -> bool:
        """True while the budget rejects part of the arriving requests."""
        return any(group.admission_rate < 1 for group in self.groups)

    @property
    def arrivals(self) -> float:
        """Units per second that arrive in all groups together."""
        return sum(group.arrival_rate for group in self.groups)

    def decay(self, span_s: float, keep: float, keep_earned: float) -> None:
        """Decays the arrival rates and earnings of all groups after a tick of `span_s` seconds."""
        for group in self.groups:
            group.decay(span_s, keep, keep_earned)

    def sent_by_class(self) -> list[float]:
        """Recently sent units by class; always above 0, so that callers can divide by their sum."""
        return [
            1e-9 + sum(group.sent_units for side in self.sides for group in side[index])
            for index in range(len(self.inside_quota))
        ]

    def admitted_per_s(self) -> float:
        """Units per second admitted at the current rates."""
        return sum(group.arrival_rate * group.admission_rate for group in self.groups)

    def assign_rates(self, budget: float) -> None:
        """Splits a budget of units per second. The rate of a group is its budget divided by its arrivals."""
        if budget >= self.arrivals:  # everything can be admitted, whatever the weights
            for group in self.groups:
                group.admission_rate = 1.0
            return
        groups_by_side = [[group for class_groups in side for group in class_groups] for side in self.sides]
        for side, side_budget in zip(self.sides, split(budget, groups_by_side), strict=True):
            for class_groups, class_budget in zip(side, split(side_budget, side), strict=True):
                for group, units in zip(
                    class_groups, split(class_budget, [[g] for g in class_groups]), strict=True
                ):
                    group.admission_rate = (
                        min(1.0, units / group.arrival_rate) if group.arrival_rate > 0 else 1.0
                    )
