"""Messages between gateways about leases: units of a customer's quota, asked for, granted and released.

`mark` is the request's number, which its sender uses once; with the sender's process it names the lease.
A field that names a process says for which one a message is meant: a later one ignores it.
"""

from __future__ import annotations

from dataclasses import dataclass

UNIT_PARTS = 1024  # units travel in whole parts of so many


def rounded_down(units: float) -> float:
    """Units as they travel: never more than they are."""
    return int(units * UNIT_PARTS) / UNIT_PARTS


@dataclass(slots=True)
class LeaseRequest:
    """Lend me units of this customer's quota."""

    to: int
    customer: int
    plan: int
    spread: int  # gateways of the customer
    first: int  # the first of them
    mark: int
    units: float
    least: float  # less is of no use
    heard: int  # the last answer of the lender that came


@dataclass(slots=True)
class LeaseGrant:
    """The answer to a request: so many units are lent; nought is a refusal."""

    to: int
    customer: int
    mark: int
    units: float
    level: float  # what the lender could lend besides
    number: int  # of this answer; the next request tells that it was heard
    process: int = 0  # of the borrower that asked
    gain: float = 0.0  # what the lender will have to lend in a second


@dataclass(slots=True)
class LeaseRelease:
    """This lease is over before its time, and so many units of it were not used."""

    to: int
    customer: int
    mark: int
    left: float
    process: int = 0  # of the lender


LeaseMessage = LeaseRequest | LeaseGrant | LeaseRelease
