"""Events that go into the decisions, and actions that come out. Nothing is decided here.

Times are integer nanoseconds of one monotonic clock; endpoints, customers and requests are plain integers,
classes and plans their places in the settings.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class AttemptResult(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"  # an error answer; it may have run
    REJECTED = "full"  # by the endpoint; it never ran
    TIMEOUT = "timeout"  # it may have run, or may yet
    CONNECT_FAILED = "connect failed"  # it never ran
    RESET = "reset"  # its connection broke behind it; it may have run
    CANCELLED = "cancelled"
    NOT_SENT = "moot"  # this gateway never began it
    STALE_CONNECTION = "stale"  # its connection, kept from an earlier attempt, ended; it may have run
    MALFORMED = "spoilt"  # it ran, and its answer can't be read


class EndpointState(Enum):
    """The state of an endpoint by discovery."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(Enum):
    """What an endpoint list is: a change, the complete list, one from before the start, or none."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


# ---- events


@dataclass(slots=True)
class Started:
    """The gateway starts; the first event of all but `StateInherited`."""


@dataclass(slots=True)
class StateInherited:
    """What an older process of this gateway left (`state_transfer.snapshot`), validated; before `Started`."""

    table: dict[str, Any]


@dataclass(slots=True)
class EndpointEntry:
    """One endpoint in a list of discovery. `cell`: the group of backends that drop each other's repeats."""

    id: int
    zone: int
    machine_type: int
    cell: int
    state: EndpointState
    weight: float
    started_ns: int  # 0: long ago


@dataclass(slots=True)
class EndpointList:
    """A list of discovery, or a change of it."""

    kind: EndpointListKind
    version: int
    entries: list[EndpointEntry]


@dataclass(slots=True)
class Request:
    """A client's request.

    Its customer's gateway set is `gateway_set_size` gateways with consecutive numbers, from `first_gateway`
    on; the numbers wrap around at the gateway count.
    """

    id: int
    class_index: int
    plan: int
    customer: int
    deadline_ns: int  # the client gives up then
    units: float
    gateway_set_size: int
    first_gateway: int
    is_retry: bool = False  # of the client


@dataclass(slots=True)
class AttemptOutcome:
    """How one attempt of a request ended; `finished`: so has the request."""

    request: int
    attempt: int  # its number, from 0
    endpoint: int
    result: AttemptResult
    latency_ns: int
    finished: bool
    used: int = 0
    actual_units: float = 0.0  # what the request really took; 0: not known
    load_report: list[float] = field(default_factory=list)


@dataclass(slots=True)
class StreamStarted:
    """The first part of a request's value has come."""

    request: int
    attempt: int
    endpoint: int
    latency_ns: int


@dataclass(slots=True)
class HealthCheckResult:
    """What came of a health check."""

    endpoint: int
    result: AttemptResult
    latency_ns: int
    load_report: list[float] = field(default_factory=list)


@dataclass(slots=True)
class CustomerUsage:
    """What a gateway reports of a customer.

    With `requested_units` above 0 it is a query to a relay for that many units, and the answer carries the
    same `query_id`. In an answer, `requested_units` below 0 means that the units are not granted.
    """

    customer: int
    plan: int
    total: float  # own units since the start of the process
    level: float  # units in the token bucket
    in_flight: int  # own attempts
    requested_units: float = 0.0
    query_id: int = 0
    is_answer: bool = False


@dataclass(slots=True)
class ErrorSample:
    """How an attempt of a group of requests went at an endpoint, 0 (good) to 1 (failed)."""

    endpoint_hash: int
    group: int
    error: float


@dataclass(slots=True)
class GossipReceived:
    """A peer's message. `incarnation` names the peer's process."""

    sender: int
    incarnation: int
    usages: list[CustomerUsage]
    estimates: list[float] = field(default_factory=list)  # `fleet_estimates`
    error_samples: list[ErrorSample] = field(default_factory=list)


@dataclass(slots=True)
class CounterAnswer:
    """The answer of the operators' counter to a call by its number."""

    call_number: int
    result: AttemptResult
    total: float
    latency_ns: int


@dataclass(slots=True)
class RequestAbandoned:
    """The client has left, or the request is over for another reason: nothing is owed any more."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer that was set by `SetTimer` rings."""

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
    """Sends an attempt of a request to an endpoint; it is given up at `give_up_ns`."""

    request: int
    endpoint: int
    give_up_ns: int
    new_connection: bool = False  # on one that carried nothing before
    write_deadline_ns: int = 0  # above 0: complete by then, or never; a repeat later would run twice


class RejectionReason(Enum):
    """Why a request is rejected."""

    __hash__ = object.__hash__  # looked up at each rejection: an enum's own costs a call

    QUOTA = "beyond the quota, and not worth what it costs"
    CEILING = "beyond the ceiling"
    BUDGET = "the draw for the budget was lost"
    NO_ENDPOINT = "no endpoint can take it"
    NO_RETRY = "its attempts never ran, and no further one is allowed"


@dataclass(slots=True)
class RejectRequest:
    """The final answer: rejected, without any effect; the client may come again after `retry_after_ns`."""

    request: int
    retry_after_ns: int
    reason: RejectionReason = RejectionReason.NO_ENDPOINT


@dataclass(slots=True)
class FailRequest:
    """The final answer: failed; it may have run."""

    request: int


@dataclass(slots=True)
class CancelAttempt:
    """Gives up an attempt that is in flight."""

    request: int
    attempt: int


@dataclass(slots=True)
class CheckHealth:
    """Sends a health check to an endpoint."""

    endpoint: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Closes what connections to an endpoint are idle: the next attempt opens a new one."""

    endpoint: int


@dataclass(slots=True)
class SetTimer:
    """Has `TimerFired` come at a time."""

    at_ns: int
    token: int


@dataclass(slots=True)
class SendGossip:
    """A message for one peer; the host may part it into several datagrams."""

    peer: int
    incarnation: int
    usages: list[CustomerUsage]
    estimates: list[float] = field(default_factory=list)
    error_samples: list[ErrorSample] = field(default_factory=list)


@dataclass(slots=True)
class WatchEndpoints:
    """Asks discovery for changes from now on."""


@dataclass(slots=True)
class LogMessage:
    """A line for the log."""

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
