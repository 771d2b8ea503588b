"""The settings of the decisions: request classes, customer plans, and those of the gateway itself.

Times are integer nanoseconds; units are what a request takes from its customer's quota. The keys in the
operators' settings differ from the field names here: `simulator.codec` translates them. Error messages use
the older names of the fields.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """Whether a request may be retried after an attempt that may have run."""

    ALWAYS = "safe"
    BY_KEY = "keyed"  # by an idempotency key, for as long as backends drop duplicates of it
    NEVER = "unsafe"


class DeduplicationScope(Enum):
    """Which backends recognize a duplicate of a keyed request: all, or those of the same zone or cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class RequestClass:
    """A class of requests.

    A served request earns its weight times its units times the price of its customer's plan.
    """

    name: str
    latency_objective_ns: int
    deadline_ns: int
    idempotency: Idempotency
    priority_weight: float
    late_weight: float = 0.0  # share of the weight that is earned after the latency objective
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ns: int = 0  # how long backends drop duplicates of a keyed request
    streaming: bool = False  # the answer is passed to the client while it arrives


@dataclass(slots=True)
class CustomerPlan:
    """A plan of customers.

    Rates (in units per second) and bursts (in units) apply to each customer; 0 means no such limit.
    """

    name: str
    price: float = 1.0
    rate: float = 0.0  # quota
    burst: float = 0.0
    max_in_flight: int = 0  # attempts of a customer, at all gateways together
    over_quota_weight: float = 0.0  # share of the weight that is earned over the quota
    over_quota_cost: float = 0.0  # cost of a request over the quota, as a share of the weight
    ceiling_rate: float = 0.0  # hard limit on all units, inside and over the quota
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0  # units by which the ceiling may be exceeded


@dataclass(slots=True)
class Settings:
    """The settings of one gateway. Raises ValueError, which names the field, for an invalid value."""

    gateway_index: int  # from 0
    gateway_count: int
    classes: list[RequestClass]
    plans: list[CustomerPlan]
    zone: int = 0
    polls_endpoint_list: bool = False  # discovery reports changes only if asked (`WatchEndpoints`)
    gossips: bool = False  # gateways may send messages to each other
    probes: bool = False  # endpoints may be sent health checks
    cancels_attempts: bool = False  # attempts in flight may be cancelled
    hedges: bool = False  # a hedged request may be in flight beside the first attempt
    retry_after: bool = False  # clients comply with the time after which they may retry
    max_attempts: int = 1
    max_retry_after_ns: int = 0  # the longest such time that clients comply with
    gossip_in_per_s: float = 0.0  # messages per second that a gateway accepts from its peers
    max_request_units: float = 1.0
    settles_actual_units: bool = False  # the units that a request actually cost are known after its answer
    drain_grace_ns: int = 0
    slow_start_share: float = 1.0  # the share of its capacity that an endpoint has right after its start
    slow_start_ns: int = 0  # how long a started endpoint takes to reach its full capacity
    slow_start_overload_multiple: float = 1.0  # of its capacity at the time: above it, it is overloaded
    slow_start_window_ns: int = 0  # the time window in which the load of a warming endpoint is counted
    cross_zone_price: float = 0.0
    load_report_fields: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Validates the fields."""
        if not self.classes:
            raise ValueError("classes: none given")
        if not self.plans:
            raise ValueError("plans: none given")
        if self.gateway_count < 1:
            raise ValueError("gateways: must be at least 1")
        if not 0 <= self.gateway_index < self.gateway_count:
            raise ValueError("me: must be at least 0 and below the gateway count")
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
        """Returns the index of the error scores of a class and plan. The classes come first."""
        return len(self.classes) + class_index * len(self.plans) + plan_index

    @property
    def max_deadline_ns(self) -> int:
        """The longest deadline of any class."""
        return max(request_class.deadline_ns for request_class in self.classes)


def _check_class(request_class: RequestClass) -> None:
    prefix = f"classes[{request_class.name}]"
    times = (request_class.latency_objective_ns, request_class.deadline_ns)
    if not all(0 < time_ns < math.inf for time_ns in times):
        raise ValueError(f"{prefix}: aim_ns and deadline_ns must be above 0")
    _require_not_negative(
        f"{prefix}.",
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


def _require_not_negative(prefix: str, **values: float) -> None:
    """Raises ValueError, which names the key, for the first value that is below 0 or not finite."""
    for key, value in values.items():
        if not 0 <= value < math.inf:
            raise ValueError(f"{prefix}{key}: must be finite and not negative")
