"""How a budget is split among groups: by a normalized logistic of their payoffs (Equation 5 of the paper)."""

from __future__ import annotations

import math

from .state import Leaf

STEEP = -10.0  # alpha of Equation 5, on payoffs over their mean; below 0 favours higher payoff
PRIOR = 20.0  # units that the worth by settings weighs in a payoff: none can starve


def payoff(leaves: list[Leaf]) -> float:
    """Worth earned per unit sent, of one group or of several by their arrivals."""
    worth = sum((x.arrivals + 1e-9) * (x.earned + PRIOR * x.prior) / (x.sent + PRIOR) for x in leaves)
    return worth / sum(x.arrivals + 1e-9 for x in leaves)


def split(budget: float, children: list[list[Leaf]]) -> list[float]:
    """Equation 5: a normalized logistic of the payoffs; none gets more than arrives, the surplus goes on."""
    arrivals, payoffs = [sum(x.arrivals for x in c) for c in children], [payoff(c) for c in children]
    mean = max(sum(payoffs) / len(payoffs), 1e-9)
    weights = [1 / (1 + math.exp(max(-50.0, min(50.0, STEEP * (u - mean) / mean)))) for u in payoffs]
    given, wanting, left = [0.0] * len(payoffs), list(range(len(payoffs))), budget
    while wanting:
        norm = sum(weights[j] for j in wanting)
        sated = [j for j in wanting if left * weights[j] / norm >= arrivals[j]]
        for j in sated or wanting:
            given[j] = arrivals[j] if sated else left * weights[j] / norm
        if not sated:
            break
        left -= sum(arrivals[j] for j in sated)
        wanting = [j for j in wanting if j not in sated]
    return given
