"""What zones can take, by the concurrency limit that this gateway has found."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Final

from ..decisions.parts import DecisionParts
from ..decisions.units import SECOND_NS
from .zone_health import ZoneHealth

MIN_LATENCY_S: Final = 1e-3  # a latency that is divided by: a new gateway has seen no answer yet


@dataclass(slots=True)
class SpillBudget:
    """Units that this gateway may send to one other zone without a routing table, as a token bucket."""

    tokens: float = 0.0
    refilled_ns: int = 0

    def take(self, now: int, rate: float, units: float) -> bool:
        """Takes the units if they are there, after a refill at `rate` units a second."""
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
    """The units a second that zones can take. Infinite while there is no concurrency limit yet."""

    def __init__(self, parts: DecisionParts, health: ZoneHealth) -> None:
        """Takes the parts of the policy, and what is seen of the zones."""
        self.parts = parts
        self.health = health

    def budget_per_s(self) -> float:
        """Units a second that the limit allows this gateway to send to all zones."""
        limit = self.parts.limit.limit
        if limit == math.inf:
            return math.inf
        return limit * self.parts.capacity.healthy_endpoints / self._latency_s()

    def capacity_per_s(self, zone: int) -> float:
        """Units a second that one zone can take of all gateways.

        While it is infinite, the limit's own first bound holds what is sent, in units in flight.
        """
        limit = self.parts.limit.limit
        if limit == math.inf:
            return math.inf
        return limit * self.health.healthy[zone] / self._latency_s() * self.parts.settings.gateway_count

    def _latency_s(self) -> float:
        """The usual latency of an attempt, by Little's law."""
        limit = self.parts.limit
        return max(MIN_LATENCY_S, (limit.units_in_flight + 1.0) / (limit.completed_per_s + 1.0))
