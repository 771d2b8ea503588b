"""Records of a request's history and of a rule violation."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, Protocol


class RequestState(StrEnum):
    """The state of a request as its client sees it."""

    OPEN = "open"
    SERVED = "served"
    REJECTED = "denied"
    FAILED = "failed"
    VOID = "void"  # an answer is no longer required
    LATE = "late"  # its answer is overdue, or may come late


class SentRequest(Protocol):
    """The fields of a client's request that the checkers use."""

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
    """One line of a history: step and time of the run, and a description."""

    step: int
    at_ns: int
    text: str

    def line(self) -> str:
        """Returns the event as it is printed and stored."""
        return f"step {self.step} t={self.at_ns / 1e9:.6f} {self.text}"


class Location(NamedTuple):
    """The location of a backend: the numbers of its zone and of its cell, unique across zones."""

    zone: int
    cell: int


@dataclass(slots=True)
class Attempt:
    """One attempt of a request, as it left a gateway."""

    gateway: str
    backend: str
    first_byte_ns: int
    complete_ns: int | None = None  # when its last byte was sent
    rejected: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether the attempt was sent completely and not rejected by its backend."""
        return self.complete_ns is not None and not self.rejected


@dataclass(slots=True)
class RequestHistory:
    """A request with its attempts and events."""

    id: bytes
    request_class: str
    plan: str
    customer: bytes
    units: float
    key: bytes
    gateway: str
    connection: int
    sent_ns: int
    due_ns: int  # when its answer is due
    expires_ns: int  # when the timeout of its client expires
    state: RequestState = RequestState.OPEN
    disconnected_ns: int | None = None  # when its client closed the connection
    reached_backend: bool = False
    counted_in_quota: bool = False
    unread_at_close: bool = False  # closed before the request was read; not resent since
    earlier_attempts: int = 0  # attempts before the request was last resent
    attempts: list[Attempt] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)

    @property
    def customer_name(self) -> str:
        """The customer and its plan, as written in violations."""
        return f"customer {self.customer.decode()} of {self.plan}"

    @property
    def attempted(self) -> bool:
        """Whether a gateway has begun an attempt since the request was last sent."""
        return len(self.attempts) > self.earlier_attempts


@dataclass(slots=True)
class Violation:
    """A broken rule: its name, the step and time, the request, a description and the preceding events."""

    rule: str
    step: int
    at_ns: int
    request: str
    text: str
    history: list[str] = field(default_factory=list)

    def line(self) -> str:
        """Returns the violation as the command line prints it."""
        return f"broken rule={self.rule} step={self.step} t={self.at_ns / 1e9:.6f} request={self.request}"
