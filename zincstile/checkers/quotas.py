"""Rule on quotas with a bound: all gateways together exceed a customer's quota by no more than the bound.

Checked only in runs that define a bound. Each customer has a token bucket with the rate and burst of the
quota; a request is charged once, when its first attempt has left a gateway completely. An ideal bucket per
customer sees every request when the client sends it: the units that it admits show what the quota would grant
if all gateways shared one bucket, and so what customers lose while gateways can't reach each other.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from .rules import SECOND_NS


class BoundedQuota(NamedTuple):
    """A plan's quota per customer: units per second, burst in units, and the units it may be exceeded by."""

    rate: float
    burst: float
    bound: float


class PlanUsage(NamedTuple):
    """The use of a plan by all its customers, in units."""

    max_excess: float  # largest excess of one customer
    bound: float
    sent_units: float
    ideal_units: float  # admitted by the ideal buckets


@dataclass(slots=True)
class CustomerBuckets:
    """One customer's actual and ideal bucket, and the units that each admitted."""

    level: float
    level_at_ns: int
    ideal_level: float
    ideal_at_ns: int
    sent_units: float = 0.0
    ideal_units: float = 0.0
    lowest_level: float = 0.0


class Quotas:
    """The token buckets of all customers."""

    def __init__(
        self,
        bounded_quotas: dict[str, BoundedQuota],
        delay_ns: int = 0,
        initial_ratio: dict[str, float] | None = None,
        start_ns: int = 0,
    ) -> None:
        """Starts at `start_ns` with full buckets, and ideal ones filled to the initial ratio of the plan.

        Gateways without earlier state start with a part of the burst, so the ideal bucket does too.
        `delay_ns`: how much later units in transit to a backend are counted.
        """
        self.bounded_quotas = {plan: BoundedQuota(*quota) for plan, quota in bounded_quotas.items()}
        self.delay_ns = delay_ns
        self.initial_ratio = initial_ratio or {}
        self.start_ns = start_ns
        self.peak_ratio = 0.0  # highest ratio of excess to bound: 0 within the quota, 1 at the bound
        self.max_excess = 0.0  # largest excess over a quota, in units
        self.ideal_units = 0.0  # of all customers
        self.sent_units = 0.0
        self.customers: dict[tuple[str, bytes], CustomerBuckets] = {}  # by plan and customer

    def _buckets(self, now_ns: int, plan: str, customer: bytes) -> CustomerBuckets:
        buckets = self.customers.get((plan, customer))
        if buckets is None:
            quota = self.bounded_quotas[plan]
            initial = quota.burst * self.initial_ratio.get(plan, 1.0)
            ideal = min(quota.burst, initial + quota.rate * (now_ns - self.start_ns) / SECOND_NS)
            buckets = CustomerBuckets(quota.burst, now_ns, ideal, now_ns)
            self.customers[plan, customer] = buckets
        return buckets

    def request_sent(self, now_ns: int, plan: str, customer: bytes, units: float) -> None:
        """Offers a request that a client sent to any gateway to the ideal bucket."""
        if plan not in self.bounded_quotas:
            return
        quota = self.bounded_quotas[plan]
        buckets = self._buckets(now_ns, plan, customer)
        refilled = buckets.ideal_level + quota.rate * (now_ns - buckets.ideal_at_ns) / SECOND_NS
        buckets.ideal_level = min(quota.burst, refilled)
        buckets.ideal_at_ns = now_ns
        if buckets.ideal_level >= units:
            buckets.ideal_level -= units
            buckets.ideal_units += units
            self.ideal_units += units

    def request_forwarded(self, now_ns: int, plan: str, customer: bytes, units: float) -> float:
        """Charges a request whose first attempt was sent; returns units over the bound, at most 0 if none."""
        if plan not in self.bounded_quotas:
            return 0.0
        quota = self.bounded_quotas[plan]
        buckets = self._buckets(now_ns, plan, customer)
        refilled = buckets.level + quota.rate * (now_ns - buckets.level_at_ns) / SECOND_NS
        buckets.level = min(quota.burst, refilled) - units
        buckets.level_at_ns = now_ns
        buckets.sent_units += units
        self.sent_units += units
        buckets.lowest_level = min(buckets.lowest_level, buckets.level)
        bound = quota.bound + quota.rate * self.delay_ns / SECOND_NS
        excess = -buckets.level
        self.max_excess = max(self.max_excess, excess)
        self.peak_ratio = max(self.peak_ratio, excess / bound)
        return excess - bound

    def by_plan(self) -> dict[str, PlanUsage]:
        """Returns the use of each plan."""
        usages: dict[str, PlanUsage] = {}
        for (plan, _), buckets in self.customers.items():
            previous = usages.get(plan, PlanUsage(0.0, self.bounded_quotas[plan].bound, 0.0, 0.0))
            usages[plan] = PlanUsage(
                max(previous.max_excess, -buckets.lowest_level),
                previous.bound,
                previous.sent_units + buckets.sent_units,
                previous.ideal_units + buckets.ideal_units,
            )
        return usages
