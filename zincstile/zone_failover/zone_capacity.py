"""The capacity of zones, estimated from this gateway's concurrency limit."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from ..decisions.parts import DecisionParts
from ..decisions.units import SECOND_NS
from .zone_health import ZoneHealth

MIN_LATENCY_S: Final = 1e-3  # lower bound of the divisor while a new gateway has received no answer yet


@dataclass(slots=True)
class SpillBudget:
    """Token bucket of the units that this gateway may send to one other zone without a routing table."""

    tokens: float = 0.0
    refilled_ns: int = 0

    def try_spend(self, now: int, rate: float, units: float) -> bool:
        """Refills at `rate` units a second, then takes the units if available; returns whether it did."""
        if rate == math.inf:
            return True
        burst = max(units, rate)
        self.tokens = min(burst, self.tokens + rate * (now - self.refilled_ns) / SECOND_NS)
        self.refilled_ns = now
        if self.tokens < units:
            return False
        self.tokens -= units
        return True


class ZoneCapacity:
    """The capacity of zones in units a second. Infinite while there is no concurrency limit."""

    def __init__(self, parts: DecisionParts, health: ZoneHealth) -> None:
        """`parts` are those of the policy that the feature is attached to."""
        self.parts = parts
        self.health = health

    def budget_per_s(self) -> float:
        """Returns the units a second that the limit allows this gateway to send to all zones."""
        limit = self.parts.limit.limit
        if limit == math.inf:
            return math.inf
        return limit * self.parts.capacity.healthy_endpoints / self._latency_s()

    def capacity_per_s(self, zone: int) -> float:
        """Returns the units a second that one zone can serve for all gateways.

        While it is infinite, the initial bound on units in flight limits the traffic.
        """
        limit = self.parts.limit.limit
        if limit == math.inf:
            return math.inf
        return limit * self.health.healthy[zone] / self._latency_s() * self.parts.settings.gateway_count

    def _latency_s(self) -> float:
        """Estimates the mean latency of an attempt by Little's law."""
        limit = self.parts.limit
        return max(MIN_LATENCY_S, (limit.units_in_flight + 1.0) / (limit.completed_per_s + 1.0))
