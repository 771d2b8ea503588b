"""A client's request: as it is planned, as it is in flight, and what became of it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .observer import ClientRequest


class Outcome(StrEnum):
    """What became of a request; the values are those of stored results."""

    SERVED = "served"
    REJECTED = "denied"
    FAILED = "failed"
    UNREACHED = "unreached"  # no connection came up, or each was closed before the request was read
    DROPPED = "dropped"  # the gateway had read it and closed the connection without an answer
    DISCONNECTED = "left"  # its client closed the connection


@dataclass(slots=True)
class PlannedRequest:
    """What a client wants, before it is known which gateway it goes to."""

    at_s: float
    request_class: str
    plan: str
    customer: int  # below 2^33
    units: float
    gateway_count: int  # of the customer's set of gateways
    first_gateway: int  # number of the set's first gateway
    timeout_ms: int
    idempotent: bool  # its class is safe to repeat
    key: bytes = b""
    retries: int = 0  # after a rejection or failure
    retry_delay_s: float = 0.05
    disconnect_after_s: float = 0.0  # closes its connection after so long; 0: stays
    pipelined: bool = False  # goes out behind others on a busy connection, where there is one
    respects_retry_after: bool = False  # waits as long as a rejection says


@dataclass(slots=True, eq=False)
class Request:
    """One request in flight. `end_position`: the position of its last byte on its connection."""

    planned: PlannedRequest
    sent: ClientRequest
    started_s: float
    end_position: int = 0
    resent: bool = False  # sent once more, as its connection was closed before it was read
