"""What a gateway knows of one customer: its leased units, its recent use, and its epochs."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

from ..decisions.quota_bounds import Quota
from .settings import SECOND_NS

NEGLIGIBLE_UNITS: Final = 1e-9  # what sums of floats are off by
USE_MEMORY_S: Final = 1.0  # recent use decays by 1/e in this time


@dataclass(slots=True)
class Epoch:
    """One of a customer's epochs, as far as this gateway knows it. All amounts in units."""

    carried_units: float = 0.0  # what the epochs before left
    service_part: float = 1.0  # the least part that belonged to this gateway's service in it
    added_units: float = 0.0  # by this gateway's answered calls
    closed: bool = False  # nothing more is leased of it
    exhausted_until_ns: int = 0  # no further call before then: the last one found it spent
    unreported_units: list[float] = field(
        default_factory=list
    )  # sent without a service, to be added to its counter


@dataclass(slots=True)
class Account:
    """One customer at this gateway. All amounts in units."""

    key: int
    quota: Quota
    gateways: list[int]  # of the customer's set
    max_carry_units: float  # from one epoch to the next
    max_unspent_units: float
    unspent_units: float = 0.0  # leased and not sent
    requested_units: float = 0.0  # in calls in flight
    use_per_s: float = 0.0  # lately
    used_at_ns: int = 0
    fallback_units: float = 0.0  # token bucket of the even part
    fallback_filled_ns: int = -1  # when it was filled last; -1: not in use
    epochs: dict[int, Epoch] = field(default_factory=dict)  # by number: the current one and the one before
    past_totals: dict[int, float] = field(default_factory=dict)  # of epochs that are over
    carry_over_epoch: int = -1  # the epoch whose opening was worked out last, or is being worked out
    pending_reads: int = 0  # calls in flight for that

    def note_use(self, now: int, units: float) -> None:
        """Adds an attempt to the recent use."""
        decay = math.exp(-(now - self.used_at_ns) / SECOND_NS / USE_MEMORY_S)
        self.use_per_s = self.use_per_s * decay + units / USE_MEMORY_S
        self.used_at_ns = now

    def epoch(self, number: int) -> Epoch:
        """The epoch of this number, made where there is none; those before its predecessor are dropped."""
        if number not in self.epochs:
            self.epochs[number] = Epoch()
            for old in [other for other in self.epochs if other < number - 1]:
                del self.epochs[old]
        return self.epochs[number]

    def counter_name(self, number: int) -> str:
        """The service's counter of units leased in an epoch."""
        return f"zs.q.{self.key:x}.{number}"
