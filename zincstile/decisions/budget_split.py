"""How a budget of units a second is split among groups of requests, by a normalized logistic of their
payoffs.

Source: Equation 5 of "From 0.5 Million to 2.5 Million: Efficiently Scaling up Real-Time Bidding" (Shen and
others).
"""

from __future__ import annotations

import math
from typing import Final

from .records import TrafficGroup
from .settings import Settings

STEEPNESS: Final = -10.0  # alpha of Equation 5, on payoffs over their mean; below 0 favours higher payoff
MAX_EXPONENT: Final = 50.0  # of the logistic, against overflow
PRIOR_UNITS: Final = 20.0  # units that the value by settings weighs in a payoff: no group can starve


def payoff(groups: list[TrafficGroup]) -> float:
    """Value earned per unit sent, of one group or of several by their arrivals."""
    value = sum(
        (g.arrival_rate + 1e-9)
        * (g.earned_value + PRIOR_UNITS * g.prior_value)
        / (g.sent_units + PRIOR_UNITS)
        for g in groups
    )
    return value / sum(g.arrival_rate + 1e-9 for g in groups)


def split(budget: float, children: list[list[TrafficGroup]]) -> list[float]:
    """The part of each child; none gets more than arrives, and what is left goes to the others."""
    arrivals = [sum(g.arrival_rate for g in groups) for groups in children]
    payoffs = [payoff(groups) for groups in children]
    mean = max(sum(payoffs) / len(payoffs), 1e-9)
    weights = [_logistic(STEEPNESS * (one - mean) / mean) for one in payoffs]
    given = [0.0] * len(payoffs)
    wanting = list(range(len(payoffs)))
    left = budget
    while wanting:
        norm = sum(weights[j] for j in wanting)
        satisfied = [j for j in wanting if left * weights[j] / norm >= arrivals[j]]
        for j in satisfied or wanting:
            given[j] = arrivals[j] if satisfied else left * weights[j] / norm
        if not satisfied:
            break
        left -= sum(arrivals[j] for j in satisfied)
        wanting = [j for j in wanting if j not in satisfied]
    return given


def _logistic(exponent: float) -> float:
    return 1 / (1 + math.exp(max(-MAX_EXPONENT, min(MAX_EXPONENT, exponent))))


class BudgetTree:
    """Owner of the groups: inside and beyond the quota, then by class, then by plan."""

    def __init__(self, settings: Settings) -> None:
        """Makes a group for each class and plan, inside and beyond the quota."""
        self.inside_quota = self._planted(settings, beyond_quota=False)
        self.beyond_quota = self._planted(settings, beyond_quota=True)
        self.sides = (self.inside_quota, self.beyond_quota)
        self.groups = [group for side in self.sides for row in side for group in row]

    @staticmethod
    def _planted(settings: Settings, *, beyond_quota: bool) -> list[list[TrafficGroup]]:
        """Groups by class and plan, with the value of a unit by the settings."""
        return [
            [
                TrafficGroup(c.priority_weight * p.price * (p.over_quota_weight if beyond_quota else 1.0))
                for p in settings.plans
            ]
            for c in settings.classes
        ]

    @property
    def is_limiting(self) -> bool:
        """Some of what arrives is rejected by the budget."""
        return any(group.admission_rate < 1 for group in self.groups)

    @property
    def arrivals(self) -> float:
        """Units a second that arrive in all groups."""
        return sum(group.arrival_rate for group in self.groups)

    def decay(self, span_s: float, keep: float, keep_earned: float) -> None:
        """Lets arrivals and earnings decay by a tick of `span_s` seconds."""
        for group in self.groups:
            group.decay(span_s, keep, keep_earned)

    def sent_by_class(self) -> list[float]:
        """Recent units of each class, a trace above 0."""
        return [
            1e-9 + sum(group.sent_units for side in self.sides for group in side[index])
            for index in range(len(self.inside_quota))
        ]

    def admitted_per_s(self) -> float:
        """Units a second that are admitted at present."""
        return sum(group.arrival_rate * group.admission_rate for group in self.groups)

    def assign_rates(self, budget: float) -> None:
        """Splits a budget of units a second: each group's rate is its part over its arrivals."""
        if budget >= self.arrivals:  # all get what arrives, by any weights
            for group in self.groups:
                group.admission_rate = 1.0
            return
        flat = [[group for row in side for group in row] for side in self.sides]
        for side, side_budget in zip(self.sides, split(budget, flat), strict=True):
            for row, row_budget in zip(side, split(side_budget, side), strict=True):
                for group, units in zip(row, split(row_budget, [[g] for g in row]), strict=True):
                    group.admission_rate = (
                        min(1.0, units / group.arrival_rate) if group.arrival_rate > 0 else 1.0
                    )
