"""The settings of the decisions: request classes, customer plans, what a gateway is given at its start.

Times are integer nanoseconds; units are what a request takes from its customer's quota. The names that
operators give these in their settings are translated by `simulator.codec`; errors name them in the form of
before.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Whether a request may be sent again where an attempt of it may have run."""

    ALWAYS = "safe"
    BY_KEY = "keyed"  # with an idempotency key, by which backends drop a repeat for a while
    NEVER = "unsafe"


class DeduplicationScope(Enum):
    """Which backends drop a repeat of a request with an idempotency key:

    all, or those of one zone or cell.
    """

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class RequestClass:
    """A class of requests.

    Weights are what a served request earns, times the price of its customer's plan.
    """

    name: str
    latency_objective_ns: int
    deadline_ns: int
    idempotency: Idempotency
    priority_weight: float
    late_weight: float = 0.0  # the part of the weight that is earned behind the objective
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ns: int = 0  # for so long a repeat is dropped
    streaming: bool = False  # the value is passed on as it comes


@dataclass(slots=True)
class CustomerPlan:
    """A plan of customers. Rates are units a second, bursts units, for each customer; 0: no such limit."""

    name: str
    price: float = 1.0
    rate: float = 0.0  # quota
    burst: float = 0.0
    max_in_flight: int = 0  # attempts
    over_quota_weight: float = 0.0  # the part of the weight that is earned beyond the quota
    over_quota_cost: float = 0.0  # what that costs, in the same measure
    ceiling_rate: float = 0.0  # hard limit, the quota included
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0  # units by which the ceiling may be passed


@dataclass(slots=True)
class Settings:
    """What one gateway is given at its start. ValueError names a field that can't work."""

    gateway_index: int  # this gateway's number among all of them
    gateway_count: int
    classes: list[RequestClass]
    plans: list[CustomerPlan]
    zone: int = 0
    polls_endpoint_list: bool = False  # discovery tells changes only where it is asked for them
    gossips: bool = False  # messages between gateways are allowed
    probes: bool = False  # health checks are allowed
    cancels_attempts: bool = False  # attempts may be given up before their end
    hedges: bool = False  # a second attempt may be in flight beside the first
    retry_after: bool = False  # clients heed when to come again
    max_attempts: int = 1
    max_retry_after_ns: int = 0
    gossip_in_per_s: float = 0.0  # messages that a gateway takes in from its peers
    max_request_units: float = 1.0
    settles_actual_units: bool = False  # what a request really took is known behind its answer
    drain_grace_ns: int = 0
    slow_start_share: float = 1.0  # of its capacity, that an endpoint has at its start
    slow_start_ns: int = 0  # until it is warm
    slow_start_overload_multiple: float = 1.0  # of what it bears then, by which it is overloaded
    slow_start_window_ns: int = 0  # in which that is counted
    cross_zone_price: float = 0.0
    load_report_fields: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Checks that the fields can work."""
        if not self.classes:
            raise ValueError("classes: none given")
        if not self.plans:
            raise ValueError("plans: none given")
        if self.gateway_count < 1:
            raise ValueError("gateways: must be at least 1")
        if not 0 <= self.gateway_index < self.gateway_count:
            raise ValueError("me: outside the gateway count")
        for request_class in self.classes:
            _check_class(request_class)
        for plan in self.plans:
            _check_plan(plan)
        self._check_numbers()

    def _check_numbers(self) -> None:
        for key, value in (("max_attempts", self.max_attempts), ("largest_units", self.max_request_units)):
            if not 1 <= value < math.inf:
                raise ValueError(f"{key}: must be finite and at least 1")
        _require_not_negative(
            "",
            max_retry_after_ns=self.max_retry_after_ns,
            peer_in_per_s=self.gossip_in_per_s,
            drain_grace_ns=self.drain_grace_ns,
            cold_ns=self.slow_start_ns,
            cold_multiple=self.slow_start_overload_multiple,
            cold_window_ns=self.slow_start_window_ns,
            cross_zone_price=self.cross_zone_price,
        )
        if not 0 < self.slow_start_share <= 1:
            raise ValueError("cold_share: must be above 0 and at most 1")

    def class_plan_index(self, class_index: int, plan_index: int) -> int:
        """The number of a class and plan together, after those of the classes."""
        return len(self.classes) + class_index * len(self.plans) + plan_index

    @property
    def max_deadline_ns(self) -> int:
        """The longest deadline of all classes."""
        return max(request_class.deadline_ns for request_class in self.classes)


def _check_class(request_class: RequestClass) -> None:
    where = f"classes[{request_class.name}]"
    times = (request_class.latency_objective_ns, request_class.deadline_ns)
    if not all(0 < time_ns < math.inf for time_ns in times):
        raise ValueError(f"{where}: aim_ns and deadline_ns must be above 0")
    _require_not_negative(
        f"{where}.",
        worth=request_class.priority_weight,
        late_worth=request_class.late_weight,
        window_ns=request_class.deduplication_window_ns,
    )


def _check_plan(plan: CustomerPlan) -> None:
    _require_not_negative(
        f"plans[{plan.name}].",
        price=plan.price,
        rate=plan.rate,
        burst=plan.burst,
        open_limit=plan.max_in_flight,
        over_worth=plan.over_quota_weight,
        over_cost=plan.over_quota_cost,
        ceiling_rate=plan.ceiling_rate,
        ceiling_burst=plan.ceiling_burst,
        ceiling_slack=plan.ceiling_slack,
    )


def _require_not_negative(where: str, **values: float) -> None:
    """ValueError names the first of these, by the name in errors, that is below 0 or not finite."""
    for key, value in values.items():
        if not 0 <= value < math.inf:
            raise ValueError(f"{where}{key}: must be finite and not negative")
