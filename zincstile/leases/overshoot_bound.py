"""How far all gateways together can exceed a quota under each failure: derived in docs/shared.md.

Every part of a quota has one owner at any time, and what is lent leaves the lessor's token bucket before the
lessee has it: token buckets and leases never hold more than the burst together, under any partition. What
remains is not who may send, but when it is sent, and what a process that starts can't know.
"""

from __future__ import annotations

from typing import Final

from ..decisions.quota_bounds import Bound, Quota, first_excess_reason
from .settings import FAILURES, SECOND_NS, Failure, LeaseSettings


def holder_count(quota: Quota, settings: LeaseSettings) -> int:
    """Returns how many gateways of a customer's set hold a part of the quota; the others lease units.

    A part too small for one request is of no use, so that a wide set has fewer holders than gateways.
    """
    max_parts = int(quota.burst / quota.max_request_units)
    return max(1, min(quota.spread, max(settings.min_holders, max_parts)))


def _steady_terms(quota: Quota, settings: LeaseSettings) -> dict[str, float]:
    """Returns the terms of any loss, delay, duplication or partition, none included, in units."""
    return {
        "flight": quota.rate * settings.max_send_delay_ns / SECOND_NS
    }  # what is decided is sent a little later


def _allowed_units(quota: Quota, settings: LeaseSettings) -> float:
    """Returns the units beyond the steady terms that `max_overshoot_ratio` and the ceiling leave."""
    allowed_units = min(settings.max_overshoot_ratio * quota.units_per_minute, quota.max_excess_units)
    return max(0.0, allowed_units - sum(_steady_terms(quota, settings).values()))


def initial_fill_ratio(quota: Quota, settings: LeaseSettings) -> float:
    """Returns the part of the burst with which a gateway starts that knows no past.

    It is as much as a restart of all gateways may cost.
    """
    if not quota.burst:
        return 0.0
    return min(settings.max_initial_fill_ratio, _allowed_units(quota, settings) / quota.burst)


def unnoticed_pause_units(quota: Quota, settings: LeaseSettings) -> float:
    """Returns the units by which token buckets fill while a pause of their processes goes unnoticed."""
    return quota.rate * settings.max_tick_gap_ns / SECOND_NS


def batch_limit_units(quota: Quota, settings: LeaseSettings) -> float:
    """Returns the leased units that one gateway may spend in one batch.

    If it is paused before they are sent, their lessors fill up again meanwhile.
    """
    if not settings.paused_gateways:
        return quota.burst
    rest_units = _allowed_units(quota, settings) - unnoticed_pause_units(quota, settings)
    return max(0.0, min(quota.burst, rest_units / settings.paused_gateways))


def overshoot_bounds(quota: Quota, settings: LeaseSettings) -> list[Bound]:
    """Returns the bound under each failure, in the order of `FAILURES`.

    A partition: any messages lost, late, duplicated or out of order, in one direction or both, for any time.
    A restart: every gateway starts once within the time that a token bucket takes to fill. A pause: gateways
    are stopped and run on, as many at once as the settings say.
    """
    steady = _steady_terms(quota, settings)
    restart = {"restart": initial_fill_ratio(quota, settings) * quota.burst}
    leased_units = batch_limit_units(quota, settings) if quota.spread > 1 else 0.0
    paused = {
        "asleep": unnoticed_pause_units(quota, settings),
        "in a turn": settings.paused_gateways * leased_units,
    }
    terms = {
        Failure.NONE: steady,
        Failure.PARTITION: steady,
        Failure.RESTART: steady | restart,
        Failure.PAUSE: steady | paused,
        Failure.ALL: steady | restart | paused,
    }
    return [Bound(failure, terms[failure], quota.units_per_minute) for failure in FAILURES]


def refusal_reason(quota: Quota, settings: LeaseSettings) -> str | None:
    """Returns why this quota can't be held as the settings ask; None where it can."""
    return first_excess_reason(
        quota, overshoot_bounds(quota, settings), settings.tolerated_failures, settings.max_overshoot_ratio
    )


# ---- for comparison: quotas by gossip, the ordinary way

GOSSIP_SILENCE_S: Final = 3.0  # without a message for so long, a peer counts as silent, as in the decisions
GOSSIP_AGE_S: Final = 0.25  # of a message of use, at most, when no message is lost
GOSSIP_INTERVAL_S: Final = 1.0  # between two messages of use


def gossip_bound(quota: Quota, sides: int, cut_s: float) -> Bound:
    """Returns how far quotas by gossip are exceeded while a set is cut into so many sides for so long.

    Each side in which one peer is still heard from goes on at the whole rate, so that there is no end to it;
    a gateway alone keeps to its even part after GOSSIP_SILENCE_S.
    """
    sides = min(sides, quota.spread)
    pairs = min(sides, quota.spread // 2)  # sides with two gateways, which each use the whole rate
    used_rates = pairs + (min(sides, quota.spread - pairs) - pairs) / quota.spread  # the others an even part
    unnoticed_s = min(cut_s, GOSSIP_SILENCE_S)
    terms = {
        "lag": quota.rate * (GOSSIP_AGE_S + GOSSIP_INTERVAL_S),
        "stores": (sides - 1) * quota.burst,
        "unnoticed": (sides - 1) * quota.rate * unnoticed_s,
        "parted": max(0.0, used_rates - 1) * quota.rate * max(0.0, cut_s - unnoticed_s),
    }
    return Bound(f"gossip, {sides} parts for {cut_s:g} s", terms, quota.units_per_minute)
