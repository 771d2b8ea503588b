"""Messages between gateways that request, grant and release leases of units of a customer's quota.

A lease is identified by the process that requested it and a request id that this process uses only once. The
field `process` is the recipient's process; a later process of that gateway ignores the message.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

UNIT_PARTS: Final = 1024  # units are encoded in 1/1024 units: exact in binary, and finer than any request
NEGLIGIBLE_UNITS: Final = 1 / UNIT_PARTS / 2  # half of the encoded resolution; less is not worth a message


def rounded_down(units: float) -> float:
    """Returns units rounded down to the resolution with which they are encoded."""
    return int(units * UNIT_PARTS) / UNIT_PARTS


@dataclass(slots=True)
class LeaseRequest:
    """A request for units of a customer's quota."""

    recipient: int  # gateway
    customer: int
    plan: int
    set_size: int  # number of gateways that serve the customer
    first_gateway: int  # the first of them; the others have the following numbers
    request_id: int
    units: float
    min_units: float  # the lessor rejects the request if it can't grant this many
    last_answer: int  # number of the last answer from the lessor that arrived


@dataclass(slots=True)
class LeaseGrant:
    """The answer to a request; 0 units are a rejection."""

    recipient: int  # gateway
    customer: int
    request_id: int
    units: float
    available_units: float  # what the lessor could lease out in addition
    answer_number: int  # the lessee's next request confirms it as `last_answer`
    process: int = 0  # of the lessee that sent the request
    gain_per_s: float = 0.0  # additional units that the lessor expects to have available each second


@dataclass(slots=True)
class LeaseRelease:
    """Ends a lease early and returns its unused units."""

    recipient: int  # gateway
    customer: int
    request_id: int
    unused_units: float
    process: int = 0  # of the lessor


LeaseMessage = LeaseRequest | LeaseGrant | LeaseRelease
