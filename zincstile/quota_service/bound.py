"""How far all gateways together can pass a quota, whatever one failure does: derived in docs/keeper.md.

A quota is a store that holds `burst` and fills at `rate`. Overshoot is what is sent in a window beyond
what that store could have given in it.
"""

from __future__ import annotations

from ..decisions.quota_bounds import Bound, Quota, first_refusal
from .settings import FAILURES, SECOND, KeeperSettings


def lease_most(quota: Quota, settings: KeeperSettings) -> float:
    """Units that one gateway may keep in hand. What a single try needs beyond that is leased for it alone,
    and given back at once where it is not sent."""
    return quota.rate * settings.lease_most_ns / SECOND / quota.spread


def _raw(quota: Quota, settings: KeeperSettings, carry: float) -> list[Bound]:
    rate, minute = quota.rate, quota.minute
    epoch, hand = rate * settings.epoch_ns / SECOND, quota.spread * lease_most(quota, settings)
    excess = max(0.0, carry + epoch + hand - quota.burst)  # beyond the burst at the end of an idle epoch
    base = {"burst": excess, "skew": 2 * rate * settings.skew_ns / SECOND}
    again = {"store": carry + epoch}  # what the other keeper, or the new one, may give out once more
    unseen = rate * settings.noticed_ns / SECOND * (settings.ways - 1)
    found = {
        "none": base,
        "slow": base,
        "calls lost": base,
        "gateway dead": base,
        "gone": base,
        "split": base | {"store": again["store"] * (settings.ways - 1), "unnoticed": unseen},
        "swapped": base | again,
    }
    return [Bound(name, found[name], minute) for name in FAILURES]


def carry_most(quota: Quota, settings: KeeperSettings) -> float:
    """Units that an epoch may hand on to the next, so that every failure to endure stays under the overshoot
    that is allowed; 0 where not even that is enough (then `refused` says so)."""
    low, high = 0.0, max(0.0, quota.burst)

    def fits(carry: float) -> bool:
        return all(
            b.share <= settings.most_overshoot
            for b in _raw(quota, settings, carry)
            if b.failure in settings.endured
        )

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
    return first_refusal(quota, bounds(quota, settings), settings.endured, settings.most_overshoot)
