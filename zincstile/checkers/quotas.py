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


class BoundedQuota(NamedTuple):
    """A plan's quota for each customer: units a second, units at once, and units that may exceed it."""

    rate: float
    burst: float
    bound: float


class PlanUsage(NamedTuple):
    """What all customers of a plan used, in units."""

    max_excess: float  # of one customer
    bound: float
    sent_units: float
    ideal_units: float  # what ideal buckets would have admitted


@dataclass(slots=True)
class CustomerBuckets:
    """One customer's two buckets, and what passed them."""

    level: float
    level_at_ns: int
    ideal_level: float
    ideal_at_ns: int
    sent_units: float = 0.0
    ideal_units: float = 0.0
    lowest_level: float = 0.0


class Quotas:
    """The buckets of all customers."""

    def __init__(
        self,
        bounded_quotas: dict[str, BoundedQuota],
        delay_ns: int = 0,
        initial_ratio: dict[str, float] | None = None,
        start_ns: int = 0,
    ) -> None:
        """Begin at `start_ns` with full buckets, and ideal ones filled to the initial ratio of their plan.

        Gateways that know no past begin with a part of the burst, so the ideal bucket does too. `delay_ns`:
        units on their way to a backend are counted later by so much.
        """
        self.bounded_quotas = {plan: BoundedQuota(*quota) for plan, quota in bounded_quotas.items()}
        self.delay_ns = delay_ns
        self.initial_ratio = initial_ratio or {}
        self.start_ns = start_ns
        self.peak_ratio = 0.0  # of the excess to its bound: 0 within the quota, 1 at the bound
        self.max_excess = 0.0  # units beyond a quota
        self.ideal_units = 0.0  # units of all customers
        self.sent_units = 0.0
        self.customers: dict[tuple[str, bytes], CustomerBuckets] = {}  # by plan and customer

    def _usage(self, now_ns: int, plan: str, customer: bytes) -> CustomerBuckets:
        found = self.customers.get((plan, customer))
        if found is None:
            quota = self.bounded_quotas[plan]
            initial = quota.burst * self.initial_ratio.get(plan, 1.0)
            ideal = min(quota.burst, initial + quota.rate * (now_ns - self.start_ns) / SECOND_NS)
            found = CustomerBuckets(quota.burst, now_ns, ideal, now_ns)
            self.customers[plan, customer] = found
        return found

    def request_sent(self, now_ns: int, plan: str, customer: bytes, units: float) -> None:
        """A request was sent to any gateway: the ideal bucket admits it or not."""
        if plan not in self.bounded_quotas:
            return
        quota = self.bounded_quotas[plan]
        usage = self._usage(now_ns, plan, customer)
        refilled = usage.ideal_level + quota.rate * (now_ns - usage.ideal_at_ns) / SECOND_NS
        usage.ideal_level = min(quota.burst, refilled)
        usage.ideal_at_ns = now_ns
        if usage.ideal_level >= units:
            usage.ideal_level -= units
            usage.ideal_units += units
            self.ideal_units += units

    def request_forwarded(self, now_ns: int, plan: str, customer: bytes, units: float) -> float:
        """A request's first attempt has left a gateway; units beyond the bound, 0 or less where it holds."""
        if plan not in self.bounded_quotas:
            return 0.0
        quota = self.bounded_quotas[plan]
        usage = self._usage(now_ns, plan, customer)
        refilled = usage.level + quota.rate * (now_ns - usage.level_at_ns) / SECOND_NS
        usage.level = min(quota.burst, refilled) - units
        usage.level_at_ns = now_ns
        usage.sent_units += units
        self.sent_units += units
        usage.lowest_level = min(usage.lowest_level, usage.level)
        bound = quota.bound + quota.rate * self.delay_ns / SECOND_NS
        excess = -usage.level
        self.max_excess = max(self.max_excess, excess)
        self.peak_ratio = max(self.peak_ratio, excess / bound)
        return excess - bound

    def by_plan(self) -> dict[str, PlanUsage]:
        """What each plan's customers used."""
        found: dict[str, PlanUsage] = {}
        for (plan, _), usage in self.customers.items():
            before = found.get(plan, PlanUsage(0.0, self.bounded_quotas[plan].bound, 0.0, 0.0))
            found[plan] = PlanUsage(
                max(before.max_excess, -usage.lowest_level),
                before.bound,
                before.sent_units + usage.sent_units,
                before.ideal_units + usage.ideal_units,
            )
        return found
