"""What a gateway keeps for its leases: customers' accounts, leases on either side, and what peers did."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..decisions.quota_bounds import Quota
from .lease_messages import LeaseRequest


@dataclass(slots=True)
class Lease:
    """A lease as its lessee keeps it."""

    lender: int
    process: int  # of the lessor: another one knows nothing of it
    mark: int
    units: float
    end_ns: int


@dataclass(slots=True)
class GrantedLease:
    """A lease as its lessor keeps it; a refusal is kept as one of nought units."""

    units: float  # that were lent at first
    level: float  # as the answer told it, and so on
    gain: float
    at_ns: int
    number: int
    open: bool = True


@dataclass(slots=True)
class PendingRequest:
    """A request for a lease that was not answered yet.

    It is sent again, under the same mark, while the try that needs it may wait. Once that is over it is
    overdue; an answer that comes until its lease would end serves later tries.
    """

    ask: LeaseRequest
    at_ns: int
    again_ns: int  # not sent again before
    sent: int = 1
    overdue: bool = False


@dataclass(slots=True)
class Availability:
    """What a holder was last heard to have to lend, and to gain in a second."""

    level: float
    at_ns: int
    gain: float


@dataclass(slots=True)
class PeerState:
    """Another gateway, as a lessee or as a lessor."""

    process: int = 0
    heard: int = 0  # the last answer of it that came
    quiet_until_ns: int = -1  # it left requests unanswered: not asked before
    quiet_ns: int = 0
    missed: int = 0  # requests in a row that were overdue
    round_ns: float = 0.0  # from a request to its answer, lately
    told: int = 0  # answers sent to it so far
    unheard: list[tuple[int, int]] = field(default_factory=list)  # leases among them: number, when


@dataclass(slots=True)
class QuotaAccount:
    """One customer's quota at this gateway: the own part as a token bucket, and leases from and to others."""

    key: int
    plan: int
    quota: Quota
    row: tuple[int, ...]  # the customer's gateways
    held_by: tuple[int, ...]  # those that hold a part
    most: float  # of the own store; 0: this gateway holds no part
    rate: float
    turn_most: float
    own: float
    filled_ns: int  # on the clock that counts running time
    out: float = 0.0  # lent and not over
    loans: list[Lease] = field(default_factory=list)
    asked: dict[int, PendingRequest] = field(default_factory=dict)  # by mark
    hints: dict[int, Availability] = field(default_factory=dict)  # by holder
    # by lessee, its process, and the mark of its request
    lent: dict[tuple[int, int, int], GrantedLease] = field(default_factory=dict)
    use: float = 0.0  # units a second lately
    used_ns: int = 0
    turn_ns: int = -1
    turn_lent: float = 0.0  # borrowed units decided on in this turn
    paid: list[tuple[Lease | None, float]] = field(default_factory=list)  # by the last try; None: own
