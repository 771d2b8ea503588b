"""Protocols by which the features extend the decisions; features are passed to the constructor of `Policy`.

Without any feature, `Policy` enforces quotas by gossip and uses all endpoints, without a pace after the
start and without zone failover.
"""

from __future__ import annotations

from typing import Any, Protocol

from .records import Customer, PendingRequest
from .settings import CustomerPlan


class Decide(Protocol):
    """Admits or rejects a request once its quota is known (`admission.Admission.decide`)."""

    def __call__(self, now: int, pending: PendingRequest, inside_quota: bool, *, counted: bool) -> None:
        """Forwards or rejects the request. `counted`: its units were taken from the bucket already."""


class QuotaSource(Protocol):
    """Decides whether the units of a request are inside its customer's quota."""

    waiting: dict[int, Any]  # the requests that wait for units; keys and values are up to the implementation

    def request_units(self, now: int, pending: PendingRequest) -> None:
        """Has the request admitted or rejected, at once or after a wait for its units."""

    def timer_fired(self, now: int, request_id: int, pending: PendingRequest | None) -> None:
        """Handles the `QUOTA_TIMER` of a request; `pending` is None if the request is over."""

    def spend(self, now: int, customer: Customer, units: float) -> None:
        """Records units that were sent, or (below 0) returned; 0: only the attempts in flight changed."""

    def ceiling_part(self, now: int, customer: Customer, plan: CustomerPlan) -> float:
        """Returns this gateway's share of the customer's ceiling, 0 to 1."""

    def request_closed(self, pending: PendingRequest) -> None:
        """Called when a request is over, with or without an answer."""

    def customers_forgotten(self, keys: list[int]) -> None:
        """Called when the records of these customers, which were idle, are dropped."""


class Feature(Protocol):
    """A feature of a `Policy`.

    `attach` is called once, at the end of the policy's constructor. There the feature keeps the parts of the
    policy that it needs, and registers its event handlers and timers.
    """

    def attach(self, policy: Any) -> None:
        """Connects the feature to the policy, a `decisions.policy.Policy`."""

    def before_start(self, now: int) -> None:
        """Called when the gateway starts, before any message is sent."""

    def started(self, now: int) -> None:
        """Called after the start of the gateway, when the first timers may be set."""

    def state_inherited(self, now: int) -> None:
        """Called when the state of an older process of this gateway was restored, before the start."""

    def state_values(self) -> dict[str, float]:
        """Returns the current values of its estimates, for the log line `state`."""
