"""What the features plug into the decisions: small protocols, handed to the constructor of `Policy`.

Without any, `Policy` holds quotas by gossip, and uses all endpoints without a pace or zones.
"""

from __future__ import annotations

from typing import Any, Protocol

from .records import Customer, PendingRequest
from .settings import CustomerPlan


class Decide(Protocol):
    """Decides on a request whose quota is known (`admission.Admission.decide`)."""

    def __call__(self, now: int, pending: PendingRequest, inside_quota: bool, *, counted: bool) -> None:
        """`counted`: its units have left the bucket already."""


class QuotaSource(Protocol):
    """Who says whether the units of a request are inside its customer's quota."""

    waiting: dict[int, Any]  # what requests wait for; empty where none waits

    def request_units(self, now: int, pending: PendingRequest) -> None:
        """Has the request decided on: at once, or later where it has to wait for its units."""

    def timer_fired(self, now: int, request_id: int, pending: PendingRequest | None) -> None:
        """A `QUOTA_TIMER` of a request rang; `pending` is None where the request is over."""

    def spend(self, now: int, customer: Customer, units: float) -> None:
        """Units were sent, or (below 0) come back; 0: only the attempts in flight have changed."""

    def ceiling_part(self, now: int, customer: Customer, plan: CustomerPlan) -> float:
        """This gateway's part of the customer's ceiling, 0 to 1."""

    def request_closed(self, pending: PendingRequest) -> None:
        """A request is over, with or without an answer."""

    def customers_forgotten(self, keys: list[int]) -> None:
        """These customers were idle and are dropped."""


class Feature(Protocol):
    """A feature that joins a `Policy`.

    `attach` is called once, at the end of the policy's constructor; there it takes the parts of the policy
    that it needs, and registers its events and timers.
    """

    def attach(self, policy: Any) -> None:
        """Joins the policy (a `decisions.policy.Policy`)."""

    def before_start(self, now: int) -> None:
        """The gateway starts; nothing was sent or asked yet."""

    def started(self, now: int) -> None:
        """The gateway has started: the first timers may be set."""

    def state_inherited(self, now: int) -> None:
        """What an older process of this gateway knew was taken over; comes before the start."""

    def state_values(self) -> dict[str, float]:
        """What it believes at present, for the log line `state`."""
