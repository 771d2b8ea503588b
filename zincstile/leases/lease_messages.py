"""Messages between gateways about leases: units of a customer's quota requested, granted and released.

A lease is named by the process that requested it and a request id, which that process uses once. A field
`process` names the process that a message is meant for; a later process of that gateway ignores it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

UNIT_PARTS: Final = 1024  # units travel in whole parts of 1/1024: exact in binary, finer than any request
NEGLIGIBLE_UNITS: Final = 1 / UNIT_PARTS / 2  # half of a part: less than this is worth no message


def rounded_down(units: float) -> float:
    """Returns units as they travel, in whole parts: never more than was given."""
    return int(units * UNIT_PARTS) / UNIT_PARTS


@dataclass(slots=True)
class LeaseRequest:
    """A request for units of a customer's quota."""

    recipient: int  # gateway
    customer: int
    plan: int
    set_size: int  # gateways of the customer
    first_gateway: int  # the first of them; the others follow it in order
    request_id: int
    units: float
    min_units: float  # fewer are of no use
    last_answer: int  # number of the lessor's last answer that arrived


@dataclass(slots=True)
class LeaseGrant:
    """The answer to a request: the units that are leased, 0 for a rejection."""

    recipient: int  # gateway
    customer: int
    request_id: int
    units: float
    available_units: float  # what the lessor could lease out besides
    answer_number: int  # the next request says that this answer arrived
    process: int = 0  # of the lessee that sent the request
    gain_per_s: float = 0.0  # units that the lessor will have to lease out, each second


@dataclass(slots=True)
class LeaseRelease:
    """The early end of a lease, with the units of it that were not used."""

    recipient: int  # gateway
    customer: int
    request_id: int
    unused_units: float
    process: int = 0  # of the lessor


LeaseMessage = LeaseRequest | LeaseGrant | LeaseRelease
