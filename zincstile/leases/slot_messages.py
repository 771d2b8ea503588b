"""Messages between gateways about slots: one request of a customer's in flight each, leased like units.

A slot's lease is named by the process that requested it and a request id, which that process uses once. A
field `process` names the process that a message is meant for.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class SlotRequest:
    """A request for one slot of a customer's."""

    recipient: int  # gateway
    customer: int
    plan: int
    set_size: int  # gateways of the customer
    first_gateway: int  # the first of them; the others follow it in order
    request_id: int


@dataclass(slots=True)
class SlotGrant:
    """The answer to a request: the slot is granted, or the lessor has none free."""

    recipient: int  # gateway
    customer: int
    request_id: int
    granted: bool
    process: int = 0  # of the lessee that sent the request


@dataclass(slots=True)
class SlotRelease:
    """The end of a slot's lease: it is free again."""

    recipient: int  # gateway
    customer: int
    request_id: int
    process: int = 0  # of the lessor


SlotMessage = SlotRequest | SlotGrant | SlotRelease
