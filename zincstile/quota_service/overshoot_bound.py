"""How far all gateways together can pass a quota, for each failure; docs/keeper.md derives the terms.

A quota is a token bucket that holds `burst` and fills at `rate`. Overshoot is what is sent in any window
beyond what that bucket could have given in it.
"""

from __future__ import annotations

from typing import Final

from ..decisions.quota_bounds import Bound, Quota, first_excess_reason
from .settings import FAILURES, SECOND_NS, Failure, QuotaServiceSettings

BISECTION_STEPS: Final = 40  # halves the burst to less than a millionth of a millionth


def max_lease_units(quota: Quota, settings: QuotaServiceSettings) -> float:
    """Units that one gateway may hold leased and unspent.

    What a single attempt needs beyond that is leased for it alone, and returned at once if it is not sent.
    """
    return quota.rate * settings.max_lease_ns / SECOND_NS / quota.spread


def max_carry_units(quota: Quota, settings: QuotaServiceSettings) -> float:
    """Units that an epoch may carry over to the next.

    The most that keeps every tolerated failure under the allowed overshoot; 0 where not even that is enough
    (`refusal_reason` then says so).
    """
    low, high = 0.0, max(0.0, quota.burst)
    if _fits(quota, settings, high):
        return high
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if _fits(quota, settings, middle):
            low = middle
        else:
            high = middle
    return low if _fits(quota, settings, low) else 0.0


def overshoot_bounds(quota: Quota, settings: QuotaServiceSettings) -> list[Bound]:
    """One bound for each failure, with the carry that the gateways will use."""
    return _bounds(quota, settings, max_carry_units(quota, settings))


def refusal_reason(quota: Quota, settings: QuotaServiceSettings) -> str | None:
    """Why this quota can't be held as the settings ask; None where it can."""
    bounds = overshoot_bounds(quota, settings)
    return first_excess_reason(quota, bounds, settings.tolerated_failures, settings.max_overshoot_ratio)


def _fits(quota: Quota, settings: QuotaServiceSettings, carry: float) -> bool:
    return all(
        bound.overshoot_ratio <= settings.max_overshoot_ratio
        for bound in _bounds(quota, settings, carry)
        if bound.failure in settings.tolerated_failures
    )


def _bounds(quota: Quota, settings: QuotaServiceSettings, carry: float) -> list[Bound]:
    rate = quota.rate
    epoch = rate * settings.epoch_ns / SECOND_NS
    unspent = quota.spread * max_lease_units(quota, settings)
    excess = max(0.0, carry + epoch + unspent - quota.burst)  # beyond the burst at the end of an idle epoch
    given_again = carry + epoch  # by the other service, or by the new one
    other_parts = settings.split_parts - 1
    unnoticed = rate * settings.split_detection_ns / SECOND_NS * other_parts
    always = {"burst": excess, "skew": 2 * rate * settings.clock_skew_ns / SECOND_NS}
    terms = {
        Failure.SPLIT: always | {"store": given_again * other_parts, "unnoticed": unnoticed},
        Failure.REPLACED: always | {"store": given_again},
    }
    return [Bound(failure, terms.get(failure, always), quota.units_per_minute) for failure in FAILURES]
