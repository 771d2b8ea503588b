"""How far all gateways together can pass a quota, whatever one failure does: derived in docs/keeper.md.

A quota is a store that holds `burst` and fills at `rate`. Overshoot is what is sent in a window beyond
what that store could have given in it. Every bound is a sum of named terms, so that the one that dominates
can be told.
"""

from __future__ import annotations

from dataclasses import dataclass

from .settings import FAILURES, SECOND, KeeperSettings

MINUTE_S = 60.0


@dataclass(frozen=True, slots=True)
class Quota:
    """Of one plan, for each customer; units and units a second. `spread`: gateways of the customer's set."""

    name: str
    rate: float
    burst: float
    spread: int
    largest: float = 1.0  # units of one request

    def __post_init__(self) -> None:
        if not (self.rate > 0 and self.burst >= 0 and self.spread >= 1 and self.largest > 0):
            raise ValueError(f"quota {self.name}: rate, spread and largest must be above 0, burst not "
                             "negative")


@dataclass(frozen=True, slots=True)
class Bound:
    """For one failure: what it may add up to, term by term, in units."""

    failure: str
    terms: dict[str, float]
    minute: float  # what the quota gives in any minute, in units

    @property
    def units(self) -> float:
        return sum(self.terms.values())

    @property
    def share(self) -> float:
        """Of what the quota gives in a minute."""
        return self.units / self.minute

    @property
    def dominant(self) -> str:
        return max(self.terms, key=self.terms.__getitem__)


def lease_most(quota: Quota, settings: KeeperSettings) -> float:
    """Units that one gateway may keep in hand. What a single try needs beyond that is leased for it alone,
    and given back at once where it is not sent."""
    return quota.rate * settings.lease_most_ns / SECOND / quota.spread


def _raw(quota: Quota, settings: KeeperSettings, carry: float) -> list[Bound]:
    rate, minute = quota.rate, quota.burst + MINUTE_S * quota.rate
    epoch, hand = rate * settings.epoch_ns / SECOND, quota.spread * lease_most(quota, settings)
    excess = max(0.0, carry + epoch + hand - quota.burst)  # beyond the burst at the end of an idle epoch
    base = {"burst": excess, "skew": 2 * rate * settings.skew_ns / SECOND}
    again = {"store": carry + epoch}  # what the other keeper, or the new one, may give out once more
    unseen = rate * settings.noticed_ns / SECOND * (settings.ways - 1)
    found = {
        "none": base, "slow": base, "calls lost": base, "gateway dead": base, "gone": base,
        "split": base | {"store": again["store"] * (settings.ways - 1), "unnoticed": unseen},
        "swapped": base | again}
    return [Bound(name, found[name], minute) for name in FAILURES]


def carry_most(quota: Quota, settings: KeeperSettings) -> float:
    """Units that an epoch may hand on to the next, so that every failure to endure stays under the overshoot
    that is allowed; 0 where not even that is enough (then `refused` says so)."""
    low, high = 0.0, max(0.0, quota.burst)

    def fits(carry: float) -> bool:
        return all(b.share <= settings.most_overshoot for b in _raw(quota, settings, carry)
                   if b.failure in settings.endured)

    if fits(high):
        return high
    for _ in range(40):
        middle = (low + high) / 2
        low, high = (middle, high) if fits(middle) else (low, middle)
    return low if fits(low) else 0.0


def bounds(quota: Quota, settings: KeeperSettings) -> list[Bound]:
    """One for each failure, with the carry that the gateways will use."""
    return _raw(quota, settings, carry_most(quota, settings))


def refused(quota: Quota, settings: KeeperSettings) -> str | None:
    """Why this quota can't be held as the settings ask; None where it can."""
    for bound in bounds(quota, settings):
        if bound.failure in settings.endured and bound.share > settings.most_overshoot:
            return (f"plan {quota.name}: {bound.failure}: up to {bound.units:.2f} units, "
                    f"{100 * bound.share:.1f}% of a minute, over {100 * settings.most_overshoot:.1f}%; "
                    f"most of it by {bound.dominant}")
    return None
