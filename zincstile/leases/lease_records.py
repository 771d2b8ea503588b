"""What a gateway remembers of each lease on either side, and of the gateways that it leases from or to."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .lease_messages import LeaseRequest


class LeaseKey(NamedTuple):
    """The name of a lease at its lessor."""

    lessee: int  # gateway
    process: int  # of the lessee
    request_id: int


@dataclass(slots=True)
class Lease:
    """A lease as its lessee keeps it."""

    lessor: int  # gateway
    process: int  # of the lessor: a later process knows nothing of the lease
    request_id: int
    units: float  # not used yet
    end_ns: int


@dataclass(slots=True)
class GrantedLease:
    """The answer to a request as its lessor keeps it; a rejection has 0 units."""

    units: float  # as granted
    available_units: float  # as the answer said; a duplicate of the request gets the same answer
    gain_per_s: float
    granted_ns: int
    answer_number: int
    active: bool = True  # neither released nor expired


@dataclass(slots=True)
class PendingRequest:
    """A request for a lease that is not answered yet.

    It is sent again, under the same id, while the attempt that needs it may wait. After that it is overdue;
    an answer that comes before its lease would end still serves later attempts.
    """

    request: LeaseRequest
    requested_ns: int
    resend_ns: int  # not sent again before
    sends: int = 1
    overdue: bool = False


@dataclass(slots=True)
class Availability:
    """What a holder last said that it has to lease out."""

    units: float
    observed_ns: int
    gain_per_s: float


class SentGrant(NamedTuple):
    """A grant that is not known to have arrived."""

    answer_number: int
    sent_ns: int


@dataclass(slots=True)
class PeerState:
    """Another gateway, as a lessor and as a lessee."""

    process: int = 0
    # as a lessor
    last_answer: int = 0  # number of its last answer that arrived
    backoff_until_ns: int = -1  # it left requests unanswered: no request is sent to it before
    backoff_ns: int = 0
    overdue_requests: int = 0  # in a row
    round_trip_ns: float = 0.0  # from a request to its answer, a moving average
    # as a lessee
    answers_sent: int = 0
    unconfirmed: list[SentGrant] = field(default_factory=list)
