"""How far all gateways together can exceed a quota, for each failure; docs/keeper.md derives the terms.

A quota is a token bucket of capacity `burst` that fills at `rate`. The overshoot is the maximum over all time
windows of the units sent in the window minus what the bucket could have provided in it.
"""

from __future__ import annotations

from typing import Final

from ..decisions.quota_bounds import Bound, Quota, first_excess_reason
from .settings import FAILURES, SECOND_NS, Failure, QuotaServiceSettings

BISECTION_STEPS: Final = 40  # narrows the search interval to 2^-40, about 1e-12, of the burst


def max_lease_units(quota: Quota, settings: QuotaServiceSettings) -> float:
    """Returns how many leased and unspent units one gateway may have.

    An attempt that needs more gets a lease of its own. Its units are returned at once if it is not sent.
    """
    return quota.rate * settings.max_lease_ns / SECOND_NS / quota.spread


def max_carry_units(quota: Quota, settings: QuotaServiceSettings) -> float:
    """Returns how many units an epoch may carry over to the next.

    It is the maximum that keeps the overshoot within the limit under every tolerated failure. It is 0 if even
    that exceeds the limit; `refusal_reason` reports such a quota.
    """
    low, high = 0.0, max(0.0, quota.burst)
    if _is_within_limit(quota, settings, high):
        return high
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if _is_within_limit(quota, settings, middle):
            low = middle
        else:
            high = middle
    return low if _is_within_limit(quota, settings, low) else 0.0


def overshoot_bounds(quota: Quota, settings: QuotaServiceSettings) -> list[Bound]:
    """Returns the bound for each failure, given the carry-over that the gateways will use."""
    return _bounds(quota, settings, max_carry_units(quota, settings))


def refusal_reason(quota: Quota, settings: QuotaServiceSettings) -> str | None:
    """Returns why the quota can't be enforced within the limit of the settings; None if it can."""
    bounds = overshoot_bounds(quota, settings)
    return first_excess_reason(quota, bounds, settings.tolerated_failures, settings.max_overshoot_ratio)


def _is_within_limit(quota: Quota, settings: QuotaServiceSettings, carry: float) -> bool:
    return all(
        bound.overshoot_ratio <= settings.max_overshoot_ratio
        for bound in _bounds(quota, settings, carry)
        if bound.failure in settings.tolerated_failures
    )


def _bounds(quota: Quota, settings: QuotaServiceSettings, carry: float) -> list[Bound]:
    rate = quota.rate
    epoch_units = rate * settings.epoch_ns / SECOND_NS
    unspent_units = quota.spread * max_lease_units(quota, settings)
    # what can be sent beyond the burst at the end of an epoch without use
    excess = max(0.0, carry + epoch_units + unspent_units - quota.burst)
    granted_again = carry + epoch_units  # by the other service of a split, or by the new service
    other_parts = settings.split_parts - 1
    unnoticed = rate * settings.split_detection_ns / SECOND_NS * other_parts
    always = {"burst": excess, "skew": 2 * rate * settings.clock_skew_ns / SECOND_NS}
    terms = {
        Failure.SPLIT: always | {"store": granted_again * other_parts, "unnoticed": unnoticed},
        Failure.REPLACED: always | {"store": granted_again},
    }
    return [Bound(failure, terms.get(failure, always), quota.units_per_minute) for failure in FAILURES]
