"""One customer's quota at one gateway: the own part as a token bucket, and leases from and to others."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Final

from ..decisions.quota_bounds import Quota
from .lease_messages import NEGLIGIBLE_UNITS
from .lease_records import Availability, GrantedLease, Lease, LeaseKey, PendingRequest
from .settings import SECOND_NS

USE_MEMORY_S: Final = 1.0  # time constant of recent use: about as long as a lease lasts


@dataclass(slots=True)
class QuotaAccount:
    """A customer's quota at this gateway. Units are the plan's quota units."""

    customer: int
    plan: int
    quota: Quota
    gateways: tuple[int, ...]  # that serve the customer
    holders: tuple[int, ...]  # gateways that hold a part of the quota
    capacity_units: float  # of the own token bucket; 0 if this gateway is not a holder
    rate_per_s: float  # at which the own token bucket fills
    batch_limit_units: float  # leased units that may be spent in one batch
    own_units: float  # in the own token bucket
    filled_ns: int  # running time of the process when the bucket was last filled
    leased_out_units: float = 0.0  # granted to others, and neither released nor expired
    leases: list[Lease] = field(default_factory=list)
    pending: dict[int, PendingRequest] = field(default_factory=dict)  # by request id
    availability: dict[int, Availability] = field(default_factory=dict)  # by holder
    granted_leases: dict[LeaseKey, GrantedLease] = field(default_factory=dict)
    use_per_s: float = 0.0  # recent use at `used_ns`
    used_ns: int = 0
    batch_ns: int = -1  # the batch that `batch_leased_units` belongs to
    batch_leased_units: float = 0.0  # leased units that were spent in that batch
    # units by source of the last `spend`; None stands for the own token bucket
    last_spent: list[tuple[Lease | None, float]] = field(default_factory=list)

    @property
    def has_leases(self) -> bool:
        """Whether there is a lease on either side, or a request for one."""
        return bool(self.leases or self.pending or self.granted_leases)

    @property
    def is_full(self) -> bool:
        """Whether the own token bucket is full."""
        return self.own_units >= self.capacity_units - NEGLIGIBLE_UNITS

    def refill(self, running_ns: int) -> None:
        """Fills the own token bucket for the running time since the last refill.

        Its limit is its capacity less the units leased out, so that token buckets and leases together never
        exceed the burst.
        """
        limit_units = max(0.0, self.capacity_units - self.leased_out_units)
        gained = self.rate_per_s * (running_ns - self.filled_ns) / SECOND_NS
        self.own_units = min(limit_units, self.own_units + gained)
        self.filled_ns = running_ns

    def credit(self, units: float) -> None:
        """Puts units into the own token bucket, up to its limit; a negative number takes units out."""
        limit_units = max(0.0, self.capacity_units - self.leased_out_units)
        self.own_units = min(limit_units, self.own_units + units)

    def lease_out(self, units: float) -> None:
        """Moves units from the own token bucket into a lease to another gateway."""
        self.own_units -= units
        self.leased_out_units += units

    def end_grant(self, granted: GrantedLease) -> None:
        """Ends a lease to another gateway, so that the own token bucket may fill up by its units again."""
        granted.active = False
        self.leased_out_units = max(0.0, self.leased_out_units - granted.units)

    def drop_expired_leases(self, now: int) -> None:
        """Drops leases from other gateways whose term is over."""
        active = [lease for lease in self.leases if lease.end_ns > now]
        if len(active) < len(self.leases):
            self.leases = active

    def leased_units(self) -> float:
        """Returns the units left in leases from other gateways."""
        return sum(lease.units for lease in self.leases)

    def usable_leased_units(self, now: int) -> float:
        """Returns the leased units that may still be spent in this batch."""
        if not self.leases:
            return 0.0
        self.drop_expired_leases(now)
        if self.batch_ns != now:
            self.batch_ns = now
            self.batch_leased_units = 0.0
        return max(0.0, min(self.leased_units(), self.batch_limit_units - self.batch_leased_units))

    def spend(self, units: float) -> None:
        """Takes units from the leases, starting with the one that ends first, then from the own token bucket.

        The caller has checked that they are available.
        """
        self.last_spent = []
        missing = units
        for lease in sorted(self.leases, key=attrgetter("end_ns")):
            part = min(lease.units, missing, max(0.0, self.batch_limit_units - self.batch_leased_units))
            if part > 0:
                lease.units -= part
                missing -= part
                self.batch_leased_units += part
                self.last_spent.append((lease, part))
        if missing > 0:
            self.own_units -= missing
            self.last_spent.append((None, missing))

    def undo_last_spend(self) -> None:
        """Puts the units of the last `spend` back to their sources; those of an ended lease are lost."""
        for lease, units in self.last_spent:
            if lease is None:
                self.credit(units)
            elif lease in self.leases:
                lease.units += units
                self.batch_leased_units -= units
        undone_units = sum(units for _, units in self.last_spent)
        self.use_per_s = max(0.0, self.use_per_s - undone_units / USE_MEMORY_S)
        self.last_spent = []

    def record_use(self, now: int, units: float) -> None:
        """Adds units to the recent use."""
        decay = math.exp(-(now - self.used_ns) / SECOND_NS / USE_MEMORY_S)
        self.use_per_s = self.use_per_s * decay + units / USE_MEMORY_S
        self.used_ns = now

    def recent_use_per_s(self, now: int) -> float:
        """Returns the recent use in units per second."""
        return self.use_per_s * math.exp(-(now - self.used_ns) / SECOND_NS / USE_MEMORY_S)
