"""How far all gateways together can exceed a quota under each failure; docs/shared.md derives the terms.

Every part of a quota has one owner at any time, and leased units leave the lessor's token bucket before the
lessee gets them. So token buckets and leases together never exceed the burst, under any partition. The
overshoot that remains has two causes: attempts are sent some time after they were decided, and a process that
starts does not know what was sent before.
"""

from __future__ import annotations

from typing import Final

from ..decisions.quota_bounds import Bound, Quota, first_excess_reason
from .settings import FAILURES, SECOND_NS, Failure, LeaseSettings


def holder_count(quota: Quota, settings: LeaseSettings) -> int:
    """Returns how many of a customer's gateways hold a part of the quota; the others lease units.

    A part that is too small for one request is useless, so a customer with many gateways has fewer holders.
    """
    max_parts = int(quota.burst / quota.max_request_units)
    return max(1, min(quota.spread, max(settings.min_holders, max_parts)))


def _steady_terms(quota: Quota, settings: LeaseSettings) -> dict[str, float]:
    """Returns the terms that apply under every failure, and without any, in units."""
    # attempts are sent up to `max_send_delay_ns` after they were decided
    return {"flight": quota.rate * settings.max_send_delay_ns / SECOND_NS}


def _allowed_units(quota: Quota, settings: LeaseSettings) -> float:
    """Returns the overshoot that `max_overshoot_ratio` and the ceiling allow beyond the steady terms."""
    allowed_units = min(settings.max_overshoot_ratio * quota.units_per_minute, quota.max_excess_units)
    return max(0.0, allowed_units - sum(_steady_terms(quota, settings).values()))


def initial_fill_ratio(quota: Quota, settings: LeaseSettings) -> float:
    """Returns the fraction of its capacity with which a token bucket starts.

    A gateway that starts does not know what was sent before, so a restart of all gateways exceeds the quota
    by up to this fraction of the burst.
    """
    if not quota.burst:
        return 0.0
    return min(settings.max_initial_fill_ratio, _allowed_units(quota, settings) / quota.burst)


def unnoticed_pause_units(quota: Quota, settings: LeaseSettings) -> float:
    """Returns the units by which token buckets fill in a suspension, of which `max_tick_gap_ns` counts."""
    return quota.rate * settings.max_tick_gap_ns / SECOND_NS


def batch_limit_units(quota: Quota, settings: LeaseSettings) -> float:
    """Returns the leased units that one gateway may spend in one batch.

    If it is suspended before it sends them, the lessors' token buckets fill up again meanwhile.
    """
    if not settings.paused_gateways:
        return quota.burst
    remaining_units = _allowed_units(quota, settings) - unnoticed_pause_units(quota, settings)
    return max(0.0, min(quota.burst, remaining_units / settings.paused_gateways))


def overshoot_bounds(quota: Quota, settings: LeaseSettings) -> list[Bound]:
    """Returns the bound under each failure, in the order of `FAILURES`.

    Partition: any messages are lost, delayed, duplicated or reordered, in one direction or both, for any
    time. Restart: every gateway starts once within the time that a token bucket takes to fill. Pause:
    processes are suspended and resumed, up to `paused_gateways` at once.
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
    """Returns why the quota can't be enforced within the limit of the settings; None if it can."""
    return first_excess_reason(
        quota, overshoot_bounds(quota, settings), settings.tolerated_failures, settings.max_overshoot_ratio
    )


# ---- for comparison: quotas by gossip, the default

GOSSIP_SILENCE_S: Final = 3.0  # time without a message until a peer counts as silent, as in `decisions`
GOSSIP_AGE_S: Final = 0.25  # maximum age of a usage message when none is lost
GOSSIP_INTERVAL_S: Final = 1.0  # between two usage messages


def gossip_bound(quota: Quota, sides: int, partition_s: float) -> Bound:
    """Returns the overshoot of quotas by gossip, if a partition into `sides` lasts for `partition_s`.

    A side in which gateways still hear from a peer continues at the whole rate, so the overshoot grows
    without limit. A gateway that is alone on its side falls back to an equal part after GOSSIP_SILENCE_S.
    """
    sides = min(sides, quota.spread)
    pairs = min(sides, quota.spread // 2)  # sides with two gateways, each of which uses the whole rate
    # in multiples of the quota's rate; each of the other sides uses an equal part
    used_rates = pairs + (min(sides, quota.spread - pairs) - pairs) / quota.spread
    unnoticed_s = min(partition_s, GOSSIP_SILENCE_S)
    terms = {
        "lag": quota.rate * (GOSSIP_AGE_S + GOSSIP_INTERVAL_S),
        "stores": (sides - 1) * quota.burst,
        "unnoticed": (sides - 1) * quota.rate * unnoticed_s,
        "parted": max(0.0, used_rates - 1) * quota.rate * max(0.0, partition_s - unnoticed_s),
    }
    return Bound(f"gossip, {sides} parts for {partition_s:g} s", terms, quota.units_per_minute)
