"""Settings, events and actions of the decision module. Nothing is decided here.

Times are integer nanoseconds of one monotonic clock; backends, customers and requests are plain integers.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class AttemptResult(Enum):
    OK = "ok"
    ERROR = "error"
    REJECTED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "moot"
    STALE_CONNECTION = (
        "stale"  # the connection, kept from an earlier attempt, ended beneath it: it may have run
    )
    MALFORMED = "spoilt"  # it ran, and its answer can't be read


class EndpointState(Enum):
    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(Enum):
    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


# ---- events


@dataclass(slots=True)
class Started:
    """The instance starts; first event of all."""


@dataclass(slots=True)
class StateInherited:
    """What an older process of this gateway left (`inherit.leave`), checked; before Started, or never."""

    table: dict[str, Any]


@dataclass(slots=True)
class EndpointEntry:
    id: int
    zone: int
    kind: int
    cell: int
    mode: EndpointState
    weight: float
    started_ns: int


@dataclass(slots=True)
class EndpointList:
    kind: EndpointListKind
    version: int
    entries: list[EndpointEntry]


@dataclass(slots=True)
class Request:
    id: int
    cls: int
    plan: int
    customer: int
    give_up_ns: int
    units: float
    spread: int
    first: int
    is_retry: bool = False


@dataclass(slots=True)
class AttemptOutcome:
    request: int
    attempt: int
    backend: int
    result: AttemptResult
    latency_ns: int
    finished: bool
    used: int = 0
    true_units: float = 0.0
    report: list[float] = field(default_factory=list)


@dataclass(slots=True)
class StreamStarted:
    request: int
    attempt: int
    backend: int
    latency_ns: int


@dataclass(slots=True)
class HealthCheckResult:
    backend: int
    result: AttemptResult
    latency_ns: int
    report: list[float] = field(default_factory=list)


@dataclass(slots=True)
class CustomerUsage:
    """What a gateway tells of a customer: own units since its start, the quota's level, attempts out.

    With want above 0 it asks a relay for so many units, under a mark that the answer bears too; in the answer
    want is below 0 where they are not granted.
    """

    customer: int
    plan: int
    total: float
    level: float
    open: int
    want: float = 0.0
    mark: int = 0
    answer: bool = False


@dataclass(slots=True)
class ErrorSample:
    """How bad an attempt of a group of requests went at a backend (a hash of its id), 0 to 1."""

    backend: int
    group: int
    value: float


@dataclass(slots=True)
class GossipReceived:
    sender: int
    start: int
    shares: list[CustomerUsage]
    figures: list[float] = field(default_factory=list)
    doubts: list[ErrorSample] = field(default_factory=list)


@dataclass(slots=True)
class CounterAnswer:
    name: int
    result: AttemptResult
    total: float
    latency_ns: int


@dataclass(slots=True)
class RequestAbandoned:
    """The client left, or the request is over for another reason: nothing is owed any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    token: int


Event = (
    Started
    | StateInherited
    | EndpointList
    | Request
    | AttemptOutcome
    | StreamStarted
    | HealthCheckResult
    | GossipReceived
    | CounterAnswer
    | RequestAbandoned
    | TimerFired
)

# ---- actions


@dataclass(slots=True)
class ForwardRequest:
    request: int
    backend: int
    until_ns: int
    fresh: bool = False  # on a connection that carried nothing before
    by_ns: int = 0  # above 0: written whole by then, or never; a repeat later would run twice


class RejectionReason(Enum):
    """Why the module refuses a request."""

    __hash__ = object.__hash__  # looked up at each refusal: an enum's own costs a call

    QUOTA = "beyond the quota, and not worth what it costs"
    CEILING = "beyond the ceiling"
    BUDGET = "the draw for the budget was lost"
    NO_ENDPOINT = "no backend can take it"
    NO_RETRY = "its attempts never ran, and no further one is allowed"


@dataclass(slots=True)
class RejectRequest:
    request: int
    retry_in_ns: int
    why: RejectionReason = RejectionReason.NO_ENDPOINT


@dataclass(slots=True)
class FailRequest:
    request: int


@dataclass(slots=True)
class CancelAttempt:
    request: int
    attempt: int


@dataclass(slots=True)
class CheckHealth:
    backend: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Close what connections to the backend are idle: the next attempt opens a new one."""

    backend: int


@dataclass(slots=True)
class SetTimer:
    at_ns: int
    token: int


@dataclass(slots=True)
class SendGossip:
    """For one peer; the host may part it into several messages."""

    peer: int
    start: int
    shares: list[CustomerUsage]
    figures: list[float] = field(default_factory=list)
    doubts: list[ErrorSample] = field(default_factory=list)


@dataclass(slots=True)
class WatchEndpoints:
    """Ask discovery for changes from now on."""


@dataclass(slots=True)
class LogMessage:
    text: str


Action = (
    ForwardRequest
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | CheckHealth
    | CloseIdleConnections
    | SetTimer
    | SendGossip
    | WatchEndpoints
    | LogMessage
)
