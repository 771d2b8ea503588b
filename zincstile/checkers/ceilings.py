"""Rule on ceilings: a token bucket per customer, which starts full and may go below 0 by the slack.

A request is charged once, when its first attempt through any gateway has reached a backend completely. On
sockets the slack is larger by the units that the rate grants in 150 ms (PROTOCOL, 'The rules on sockets').
"""

from __future__ import annotations

from typing import NamedTuple

from .rules import SECOND_NS, RuleLimits


class BucketLevel(NamedTuple):
    """The units in a token bucket at a point in time."""

    units: float
    at_ns: int


class Ceilings:
    """The token buckets of all customers whose plan has a ceiling."""

    def __init__(self, limits: RuleLimits) -> None:
        """Starts with full buckets. `peak_ratio`: the highest use of the limit so far; 1 is the limit."""
        self.limits = limits
        self.peak_ratio = 0.0
        self._levels: dict[tuple[str, bytes], BucketLevel] = {}  # by plan and customer

    def consume(self, now_ns: int, plan: str, customer: bytes, units: float) -> float:
        """Charges units to a customer; returns the units beyond the slack, at most 0 if the rule holds."""
        rule = self.limits.plans.get(plan)
        if rule is None or not rule.ceiling_rate:
            return 0.0
        previous = self._levels.get((plan, customer), BucketLevel(rule.ceiling_burst, now_ns))
        refilled = previous.units + rule.ceiling_rate * (now_ns - previous.at_ns) / SECOND_NS
        level = min(rule.ceiling_burst, refilled) - units
        self._levels[plan, customer] = BucketLevel(level, now_ns)
        slack = rule.slack + rule.ceiling_rate * self.limits.ceiling_delay_ns / SECOND_NS
        used_ratio = (rule.ceiling_burst - level) / (rule.ceiling_burst + slack)
        self.peak_ratio = max(self.peak_ratio, used_ratio)
        return -level - slack
