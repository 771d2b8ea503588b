"""Where quotas are held with a stated bound: for each customer a store of burst and rate, which what all
gateways together send on may pass by that bound and no more.

It is looked at only in worlds that state one. Every try takes its units once its first attempt has reached
a box.
"""

from __future__ import annotations


class Quotas:
    """The stores of all customers. `stated`: plan: rate, burst, and the bound in units."""

    def __init__(self, stated: dict[str, tuple[float, float, float]], late_ns: int) -> None:
        self.stated, self.late_ns = stated, late_ns  # units on their way to a box arrive later by so much
        self.nearest = 0.0  # to the bound: 0 within the quota, 1 at it
        self.worst = 0.0  # units beyond a quota
        self._stores: dict[tuple[str, bytes], tuple[float, int]] = {}

    def take(self, now: int, plan: str, customer: bytes, units: float) -> float:
        """Units past the bound; 0 or less: kept."""
        if plan not in self.stated:
            return 0.0
        rate, burst, bound = self.stated[plan]
        level, at = self._stores.get((plan, customer), (burst, now))
        level = min(burst, level + rate * (now - at) / 1e9) - units
        self._stores[plan, customer] = level, now
        bound += rate * self.late_ns / 1e9
        self.worst, self.nearest = max(self.worst, -level), max(self.nearest, -level / bound)
        return -level - bound
