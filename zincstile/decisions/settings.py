"""The settings of the decisions: request classes, customer plans, what a gateway is told at its start."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    ALWAYS = "safe"
    BY_KEY = "keyed"
    NEVER = "unsafe"


class DeduplicationScope(Enum):
    """Which backends drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class RequestClass:
    name: str
    aim_ns: int
    deadline_ns: int
    effect: Idempotency
    worth: float
    late_worth: float = 0.0
    group: DeduplicationScope = DeduplicationScope.ALL
    window_ns: int = 0
    stream: bool = False


@dataclass(slots=True)
class CustomerPlan:
    name: str
    price: float = 1.0
    rate: float = 0.0
    burst: float = 0.0
    open_limit: int = 0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(slots=True)
class Settings:
    """What one gateway is told at its start. ValueError names a field that can't work."""

    me: int
    gateways: int
    classes: list[RequestClass]
    plans: list[CustomerPlan]
    zone: int = 0
    ask_for_list: bool = False
    peers: bool = False
    probes: bool = False
    cancel: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_attempts: int = 1
    max_retry_after_ns: int = 0
    peer_in_per_s: float = 0.0
    largest_units: float = 1.0
    settled_after: bool = False
    drain_grace_ns: int = 0
    cold_share: float = 1.0
    cold_ns: int = 0
    cold_multiple: float = 1.0
    cold_window_ns: int = 0
    cross_zone_price: float = 0.0
    report_fields: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: none given")
        if not self.plans:
            raise ValueError("plans: none given")
        if self.gateways < 1:
            raise ValueError("gateways: must be at least 1")
        if not 0 <= self.me < self.gateways:
            raise ValueError("me: outside the gateway count")
        for c in self.classes:
            if not 0 < c.aim_ns < float("inf") or not 0 < c.deadline_ns < float("inf"):
                raise ValueError(f"classes[{c.name}]: aim_ns and deadline_ns must be above 0")
            for key in ("worth", "late_worth", "window_ns"):
                if not 0 <= getattr(c, key) < float("inf"):
                    raise ValueError(f"classes[{c.name}].{key}: must be finite and not negative")
        for p in self.plans:
            for key in (
                "price",
                "rate",
                "burst",
                "open_limit",
                "over_worth",
                "over_cost",
                "ceiling_rate",
                "ceiling_burst",
                "ceiling_slack",
            ):
                if not 0 <= getattr(p, key) < float("inf"):
                    raise ValueError(f"plans[{p.name}].{key}: must be finite and not negative")
        for key in ("max_attempts", "largest_units"):
            if not 1 <= getattr(self, key) < float("inf"):
                raise ValueError(f"{key}: must be finite and at least 1")
        for key in (
            "max_retry_after_ns",
            "peer_in_per_s",
            "drain_grace_ns",
            "cold_ns",
            "cold_multiple",
            "cold_window_ns",
            "cross_zone_price",
        ):
            if not 0 <= getattr(self, key) < float("inf"):
                raise ValueError(f"{key}: must be finite and not negative")
        if not 0 < self.cold_share <= 1:
            raise ValueError("cold_share: must be above 0 and at most 1")

    def pair(self, cls: int, plan: int) -> int:
        """The number of a class and plan together, after those of the classes."""
        return len(self.classes) + cls * len(self.plans) + plan

    @property
    def longest_ns(self) -> int:
        return max(c.deadline_ns for c in self.classes)
