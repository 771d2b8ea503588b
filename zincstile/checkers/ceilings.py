"""Rule on ceilings: a token bucket for each customer, which starts full and may fall below 0 by the slack.

Every request takes its units once its first attempt has reached a backend completely, by whichever gateway.
On sockets the slack is wider by what the rate gives in 150 ms (PROTOCOL, 'The rules on sockets').
"""

from __future__ import annotations

from typing import NamedTuple

from .rules import SECOND_NS, RuleLimits


class BucketLevel(NamedTuple):
    """Units in a token bucket at a time."""

    units: float
    at_ns: int


class Ceilings:
    """The token buckets of all customers of plans that have a ceiling."""

    def __init__(self, limits: RuleLimits) -> None:
        """Begin with full buckets. `peak_ratio`: how much was ever used; 0 nothing, 1 the limit."""
        self.limits = limits
        self.peak_ratio = 0.0
        self._levels: dict[tuple[str, bytes], BucketLevel] = {}  # by plan and customer

    def consume(self, now_ns: int, plan: str, customer: bytes, units: float) -> float:
        """Take units of a customer's bucket; the units beyond the slack, 0 or less where the rule holds."""
        rule = self.limits.plans.get(plan)
        if rule is None or not rule.ceiling_rate:
            return 0.0
        before = self._levels.get((plan, customer), BucketLevel(rule.ceiling_burst, now_ns))
        refilled = before.units + rule.ceiling_rate * (now_ns - before.at_ns) / SECOND_NS
        level = min(rule.ceiling_burst, refilled) - units
        self._levels[plan, customer] = BucketLevel(level, now_ns)
        slack = rule.slack + rule.ceiling_rate * self.limits.ceiling_delay_ns / SECOND_NS
        used = (rule.ceiling_burst - level) / (rule.ceiling_burst + slack)
        self.peak_ratio = max(self.peak_ratio, used)
        return -level - slack
