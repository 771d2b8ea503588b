"""One customer's account at a gateway: leased units, recent use, and the current epochs."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

from ..decisions.quota_bounds import Quota
from .settings import SECOND_NS

NEGLIGIBLE_UNITS: Final = 1e-9  # rounding error of sums of floats
USE_MEMORY_S: Final = 1.0  # time constant of the decay of recent use


@dataclass(slots=True)
class Epoch:
    """This gateway's view of one of a customer's epochs."""

    carried_units: float = 0.0  # left over from earlier epochs
    service_part: float = 1.0  # smallest part of the quota that belonged to this service during the epoch
    added_units: float = 0.0  # added to the counter by this gateway's answered calls
    closed: bool = False  # no more units may be leased from it
    exhausted_until_ns: int = 0  # no call before this time, as the last one was not granted in full
    # sent while no service was trusted, and not yet added to the counter
    unreported_units: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Account:
    """One customer's account at this gateway."""

    key: int
    quota: Quota
    gateways: list[int]  # the gateways that serve the customer
    max_carry_units: float  # limit of what an epoch carries over to the next
    max_unspent_units: float
    unspent_units: float = 0.0  # leased but not yet used
    requested_units: float = 0.0  # asked for by calls in flight
    use_per_s: float = 0.0  # moving average of the units used per second, as of `used_at_ns`
    used_at_ns: int = 0
    fallback_units: float = 0.0  # level of the token bucket that replaces a lost service
    fallback_filled_ns: int = -1  # when that bucket was last filled; -1 while it is not in use
    epochs: dict[int, Epoch] = field(default_factory=dict)  # by number: the current and the previous one
    past_totals: dict[int, float] = field(default_factory=dict)  # final counter totals by epoch number
    carry_over_epoch: int = -1  # epoch whose carry-over was computed last, or is being computed
    pending_reads: int = 0  # calls in flight that read past totals

    def note_use(self, now: int, units: float) -> None:
        """Adds the units of an attempt to the recent use."""
        decay = math.exp(-(now - self.used_at_ns) / SECOND_NS / USE_MEMORY_S)
        self.use_per_s = self.use_per_s * decay + units / USE_MEMORY_S
        self.used_at_ns = now

    def epoch(self, number: int) -> Epoch:
        """Returns the epoch with this number; creating it drops all epochs before its predecessor."""
        if number not in self.epochs:
            self.epochs[number] = Epoch()
            for expired in [other for other in self.epochs if other < number - 1]:
                del self.epochs[expired]
        return self.epochs[number]

    def counter_name(self, number: int) -> str:
        """Returns the name of the service's counter of the units leased in an epoch."""
        return f"zs.q.{self.key:x}.{number}"
