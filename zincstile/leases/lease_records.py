"""Records of leases as lessee and as lessor, and of the gateways on the other side."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from .lease_messages import LeaseRequest


class LeaseKey(NamedTuple):
    """Identifies a lease at its lessor."""

    lessee: int  # gateway
    process: int  # of the lessee
    request_id: int


@dataclass(slots=True)
class Lease:
    """The lessee's record of a lease."""

    lessor: int  # gateway
    process: int  # of the lessor; a later process does not know the lease
    request_id: int
    units: float  # not yet used
    end_ns: int


@dataclass(slots=True)
class GrantedLease:
    """The lessor's record of its answer to a request; a rejection has 0 units."""

    units: float  # as granted
    available_units: float  # as in the answer, which is repeated if the request arrives again
    gain_per_s: float
    granted_ns: int
    answer_number: int
    active: bool = True  # neither rejected, released nor expired


@dataclass(slots=True)
class PendingRequest:
    """A request for a lease that has not been answered.

    It is sent again with the same id while the attempt that needs it may wait. After that it is overdue; an
    answer that arrives before the lease would end still serves later attempts.
    """

    request: LeaseRequest
    requested_ns: int
    resend_ns: int  # earliest time to send it again
    sends: int = 1  # how often it was sent
    overdue: bool = False


@dataclass(slots=True)
class Availability:
    """How many units a holder has available to lease out, according to its last message."""

    units: float
    observed_ns: int
    gain_per_s: float


class SentGrant(NamedTuple):
    """A grant whose arrival has not been confirmed."""

    answer_number: int
    sent_ns: int


@dataclass(slots=True)
class PeerState:
    """The state of another gateway, as lessor and as lessee."""

    process: int = 0
    # as lessor
    last_answer: int = 0  # number of its last answer that arrived
    backoff_until_ns: int = -1  # no request is sent to it before, as it left requests unanswered
    backoff_ns: int = 0
    overdue_requests: int = 0  # in a row
    round_trip_ns: float = 0.0  # moving average of the time from a request to its answer
    # as lessee
    answers_sent: int = 0
    unconfirmed: list[SentGrant] = field(default_factory=list)
