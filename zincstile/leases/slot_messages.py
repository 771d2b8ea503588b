"""Messages between gateways that request, grant and release slots, each for one customer request in flight.

A lease of a slot is identified by the process that requested it and a request id that this process uses only
once. The field `process` is the recipient's process.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class SlotRequest:
    """A request for one of a customer's slots."""

    recipient: int  # gateway
    customer: int
    plan: int
    set_size: int  # number of gateways that serve the customer
    first_gateway: int  # the first of them; the others have the following numbers
    request_id: int


@dataclass(slots=True)
class SlotGrant:
    """The answer to a request; `granted` is False if the lessor has no free slot."""

    recipient: int  # gateway
    customer: int
    request_id: int
    granted: bool
    process: int = 0  # of the lessee that sent the request


@dataclass(slots=True)
class SlotRelease:
    """Ends the lease of a slot, which the lessor may use again."""

    recipient: int  # gateway
    customer: int
    request_id: int
    process: int = 0  # of the lessor


SlotMessage = SlotRequest | SlotGrant | SlotRelease
