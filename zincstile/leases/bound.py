"""How far all gateways together can pass a quota, whatever one failure does: derived in docs/shared.md.

Every part of a quota has one owner at any time, and what is lent leaves the lender's store before the
borrower has it: the stores and the leases in hand never hold more than the burst together, whoever hears
whom. What remains is not who may send, but when it is sent, and what a start can't know.
"""

from __future__ import annotations

from ..decisions.quota_bounds import Bound, Quota, first_refusal
from .concurrency_budget import MOST_FACTOR as MOST_FACTOR
from .settings import FAILURES, SECOND, SharedSettings


def holders(quota: Quota, settings: SharedSettings) -> int:
    """Gateways of a set that hold a part of the quota. A part too small for one request helps nobody, so that
    a wide set has fewer; the others borrow."""
    fits = int(quota.burst / quota.largest)
    return max(1, min(quota.spread, max(settings.holders, fits)))


def _steady(quota: Quota, settings: SharedSettings) -> dict[str, float]:
    """Terms of any loss, delay, double or cut, none included: what is decided leaves a little later."""
    return {"flight": quota.rate * settings.flight_ns / SECOND}


def _allowed(quota: Quota, settings: SharedSettings) -> float:
    """Units beyond the steady terms that most_overshoot leaves, and the ceiling where there is one."""
    most = min(settings.most_overshoot * quota.minute, quota.most)
    return max(0.0, most - sum(_steady(quota, settings).values()))


def opening(quota: Quota, settings: SharedSettings) -> float:
    """Part of the burst that a gateway which starts and knows no past finds in its store: as much as a
    restart of all may cost."""
    if not quota.burst:
        return 0.0
    return min(settings.opening, _allowed(quota, settings) / quota.burst)


def asleep(quota: Quota, settings: SharedSettings) -> float:
    """Units that stores fill by while their processes don't run, as long as that goes unnoticed."""
    return quota.rate * settings.gap_ns / SECOND


def turn_most(quota: Quota, settings: SharedSettings) -> float:
    """Borrowed units that one gateway may decide on in one turn: if it is stopped before they are sent, their
    lenders fill up again meanwhile."""
    if not settings.paused:
        return quota.burst
    rest = _allowed(quota, settings) - asleep(quota, settings)
    return max(0.0, min(quota.burst, rest / settings.paused))


def bounds(quota: Quota, settings: SharedSettings) -> list[Bound]:
    """One for each failure. `cut`: any words lost, late, doubled or in another order, in one direction or
    both, for any time. `restart`: every gateway starts once within the time that a store takes to fill.
    `all`: these one over the other."""
    steady = _steady(quota, settings)
    restart = {"restart": opening(quota, settings) * quota.burst}
    lent = turn_most(quota, settings) if quota.spread > 1 else 0.0
    paused = {"asleep": asleep(quota, settings), "in a turn": settings.paused * lent}
    found = {
        "none": steady,
        "cut": steady,
        "restart": steady | restart,
        "paused": steady | paused,
        "all": steady | restart | paused,
    }
    return [Bound(name, found[name], quota.minute) for name in FAILURES]


def refused(quota: Quota, settings: SharedSettings) -> str | None:
    """Why this quota can't be held as the settings ask; None where it can."""
    return first_refusal(quota, bounds(quota, settings), settings.endured, settings.most_overshoot)


# ---- the ordinary path's rule, beside it

SILENCE_S, LAG_S, BEAT_S = 3.0, 0.25, 1.0  # `policy`: unheard, age of words, beat


def gossip(quota: Quota, ways: int, cut_s: float) -> Bound:
    """What the companion rule lets out beyond a quota while a set is cut into so many parts for so long. Each
    part in which one peer is still heard goes on at the whole rate, so that there is no end to it; with
    nobody heard, the even part holds after SILENCE_S."""
    ways = min(ways, quota.spread)
    pairs = min(ways, quota.spread // 2)  # sides with two gateways that hear each other: each the whole rate
    parts = pairs + (min(ways, quota.spread - pairs) - pairs) / quota.spread  # and an even part each alone
    alone = min(cut_s, SILENCE_S)
    terms = {
        "lag": quota.rate * (LAG_S + BEAT_S),
        "stores": (ways - 1) * quota.burst,
        "unnoticed": (ways - 1) * quota.rate * alone,
        "parted": max(0.0, parts - 1) * quota.rate * max(0.0, cut_s - alone),
    }
    return Bound(f"gossip, {ways} parts for {cut_s:g} s", terms, quota.minute)
