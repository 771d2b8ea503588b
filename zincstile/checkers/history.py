"""What is known of one request and of a violation of a rule."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, Protocol


class RequestState(StrEnum):
    """How far a request has come."""

    OPEN = "open"
    SERVED = "served"
    REJECTED = "denied"
    FAILED = "failed"
    VOID = "void"  # no answer is owed any more
    LATE = "late"  # its answer is overdue, or may come late


class SentRequest(Protocol):
    """A client's request, as the checkers are notified of it."""

    id: bytes
    request_class: str
    plan: str
    customer: bytes
    units: float
    key: bytes
    timeout_ms: int
    gateway: str
    connection: int


class Event(NamedTuple):
    """One line of a history: step and time of the run, and what happened."""

    step: int
    at_ns: int
    text: str

    def line(self) -> str:
        """The event as it is printed and stored."""
        return f"step {self.step} t={self.at_ns / 1e9:.6f} {self.text}"


class Location(NamedTuple):
    """Where a backend stands, by the numbers of its zone and of its cell in all zones."""

    zone: int
    cell: int


@dataclass(slots=True)
class Attempt:
    """One attempt of a request, as it left a gateway."""

    gateway: str
    backend: str
    first_byte_ns: int
    complete_ns: int | None = None  # when its last byte left
    rejected: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether it was sent completely and its backend has not rejected it."""
        return self.complete_ns is not None and not self.rejected


@dataclass(slots=True)
class RequestHistory:
    """A request, its attempts and everything that happened to it."""

    id: bytes
    request_class: str
    plan: str
    customer: bytes
    units: float
    key: bytes
    gateway: str
    connection: int
    sent_ns: int
    due_ns: int  # until then its answer has to come
    expires_ns: int  # when its client has waited for long enough
    state: RequestState = RequestState.OPEN
    disconnected_ns: int | None = None  # when its client closed the connection
    reached_backend: bool = False
    counted_in_quota: bool = False
    unread_at_close: bool = False  # its connection was closed before it was read, and it was not sent anew
    earlier_attempts: int = 0  # of the same request before it was sent anew
    attempts: list[Attempt] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)

    @property
    def customer_name(self) -> str:
        """The customer and its plan, as violations name them."""
        return f"customer {self.customer.decode()} of {self.plan}"

    @property
    def attempted(self) -> bool:
        """Whether a gateway has begun an attempt since the request was sent last."""
        return len(self.attempts) > self.earlier_attempts


@dataclass(slots=True)
class Violation:
    """A broken rule: which, at which step and time, by which request, and what led there."""

    rule: str
    step: int
    at_ns: int
    request: str
    text: str
    history: list[str] = field(default_factory=list)

    def line(self) -> str:
        """The violation as the command line prints it."""
        return f"broken rule={self.rule} step={self.step} t={self.at_ns / 1e9:.6f} request={self.request}"
