"""Rule on quotas with a stated bound: what all gateways forward for a customer exceeds its quota by no more.

Looked at only in runs that state a bound. Each customer has a token bucket of the quota's rate and burst.
Every request takes its units once its first attempt has left a gateway completely. Beside it stands an ideal
bucket that sees every request at once: what it would have admitted is the measure of what the quota is worth
while gateways can't reach each other.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from .rules import SECOND_NS


class StatedQuota(NamedTuple):
    """A plan's quota for each customer: units a second, units at once, and units that may exceed it."""

    rate: float
    burst: float
    bound: float


class PlanUsage(NamedTuple):
    """What all customers of a plan used, in units."""

    worst_excess: float  # of one customer
    bound: float
    sent: float
    ideal: float  # what ideal buckets would have admitted


@dataclass(slots=True)
class CustomerUsage:
    """One customer's two buckets, and what passed them."""

    level: float
    level_at_ns: int
    ideal_level: float
    ideal_at_ns: int
    sent: float = 0.0
    ideal: float = 0.0
    lowest_level: float = 0.0


class Quotas:
    """The buckets of all customers."""

    def __init__(
        self,
        stated: dict[str, StatedQuota],
        delay_ns: int = 0,
        initial_ratio: dict[str, float] | None = None,
        began_ns: int = 0,
    ) -> None:
        """Begin at `began_ns` with full buckets, and ideal ones filled to the initial ratio of their plan.

        Gateways that know no past begin with a part of the burst, so the ideal bucket does too. `delay_ns`:
        units on their way to a backend are counted later by so much.
        """
        self.stated = {plan: StatedQuota(*quota) for plan, quota in stated.items()}
        self.delay_ns = delay_ns
        self.initial_ratio = initial_ratio or {}
        self.began_ns = began_ns
        self.peak_ratio = 0.0  # of the excess to its bound: 0 within the quota, 1 at the bound
        self.worst_excess = 0.0  # units beyond a quota
        self.ideal = 0.0  # units of all customers
        self.sent = 0.0
        self.customers: dict[tuple[str, bytes], CustomerUsage] = {}  # by plan and customer

    def _usage(self, now_ns: int, plan: str, customer: bytes) -> CustomerUsage:
        found = self.customers.get((plan, customer))
        if found is None:
            quota = self.stated[plan]
            initial = quota.burst * self.initial_ratio.get(plan, 1.0)
            ideal = min(quota.burst, initial + quota.rate * (now_ns - self.began_ns) / SECOND_NS)
            found = CustomerUsage(quota.burst, now_ns, ideal, now_ns)
            self.customers[plan, customer] = found
        return found

    def request_sent(self, now_ns: int, plan: str, customer: bytes, units: float) -> None:
        """A request was sent to any gateway: the ideal bucket admits it or not."""
        if plan not in self.stated:
            return
        quota = self.stated[plan]
        usage = self._usage(now_ns, plan, customer)
        refilled = usage.ideal_level + quota.rate * (now_ns - usage.ideal_at_ns) / SECOND_NS
        usage.ideal_level = min(quota.burst, refilled)
        usage.ideal_at_ns = now_ns
        if usage.ideal_level >= units:
            usage.ideal_level -= units
            usage.ideal += units
            self.ideal += units

    def request_forwarded(self, now_ns: int, plan: str, customer: bytes, units: float) -> float:
        """A request's first attempt has left a gateway; units beyond the bound, 0 or less where it holds."""
        if plan not in self.stated:
            return 0.0
        quota = self.stated[plan]
        usage = self._usage(now_ns, plan, customer)
        refilled = usage.level + quota.rate * (now_ns - usage.level_at_ns) / SECOND_NS
        usage.level = min(quota.burst, refilled) - units
        usage.level_at_ns = now_ns
        usage.sent += units
        self.sent += units
        usage.lowest_level = min(usage.lowest_level, usage.level)
        bound = quota.bound + quota.rate * self.delay_ns / SECOND_NS
        excess = -usage.level
        self.worst_excess = max(self.worst_excess, excess)
        self.peak_ratio = max(self.peak_ratio, excess / bound)
        return excess - bound

    def by_plan(self) -> dict[str, PlanUsage]:
        """What each plan's customers used."""
        found: dict[str, PlanUsage] = {}
        for (plan, _), usage in self.customers.items():
            before = found.get(plan, PlanUsage(0.0, self.stated[plan].bound, 0.0, 0.0))
            found[plan] = PlanUsage(
                max(before.worst_excess, -usage.lowest_level),
                before.bound,
                before.sent + usage.sent,
                before.ideal + usage.ideal,
            )
        return found
