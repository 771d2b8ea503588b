"""A client's request: as planned, in flight, and its outcome."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .observer import ClientRequest


class Outcome(StrEnum):
    """The outcome of a request; the values are written to stored results."""

    SERVED = "served"
    REJECTED = "denied"
    FAILED = "failed"
    UNREACHED = "unreached"  # no connection was established, or each was closed before the request was read
    DROPPED = "dropped"  # the gateway read it and closed the connection without an answer
    DISCONNECTED = "left"  # its client closed the connection


@dataclass(slots=True)
class PlannedRequest:
    """A request before its gateway is chosen."""

    at_s: float
    request_class: str
    plan: str
    customer: int  # below 2^33
    units: float
    gateway_count: int  # size of the customer's set of gateways
    first_gateway: int  # number of the set's first gateway
    timeout_ms: int
    idempotent: bool  # true if a call of its class can be repeated safely
    key: bytes = b""
    retries: int = 0  # remaining retries after a rejection or failure
    retry_delay_s: float = 0.05
    disconnect_after_s: float = 0.0  # the client closes its connection after this long; 0: never
    pipelined: bool = False  # sent behind other requests on a busy connection, if there is one
    respects_retry_after: bool = False  # waits before a retry as long as the rejection says


@dataclass(slots=True, eq=False)
class Request:
    """One request in flight. `end_position`: bytes written to its connection up to its end."""

    planned: PlannedRequest
    sent: ClientRequest
    started_s: float
    end_position: int = 0
    resent: bool = False  # sent again, as its connection was closed before it was read
