"""Rule on ceilings: for each customer a store that holds the ceiling's burst, starts full and fills at its
rate.

Every try takes its units once its first attempt has reached a box whole, by whichever gateway. The store
may fall below nothing by the slack, and on sockets by what its rate gives in 150 ms (PROTOCOL, 'The rules
on sockets').
"""

from __future__ import annotations

from .cases import Figures


class Ceilings:
    """The stores of all customers of plans that have a ceiling."""

    def __init__(self, figures: Figures) -> None:
        self.figures = figures
        self.nearest = 0.0  # to the rule: 0 full, 1 at it
        self._stores: dict[tuple[str, bytes], tuple[float, int]] = {}

    def take(self, now: int, plan: str, customer: bytes, units: float) -> float:
        """Units past the slack; 0 or less: kept."""
        spec = self.figures.plans.get(plan)
        if spec is None or not spec.ceiling_rate:
            return 0.0
        level, at = self._stores.get((plan, customer), (spec.ceiling_burst, now))
        level = min(spec.ceiling_burst, level + spec.ceiling_rate * (now - at) / 1e9) - units
        self._stores[plan, customer] = level, now
        slack = spec.slack + spec.ceiling_rate * self.figures.ceiling_late_ns / 1e9
        self.nearest = max(self.nearest, (spec.ceiling_burst - level) / (spec.ceiling_burst + slack))
        return -level - slack
