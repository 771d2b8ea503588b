"""The table of flows: which part of each zone's traffic goes to which zone, from one view.

A zone serves its own first, up to what it bears. What it can't goes to the nearest zones that have room, in
proportion to their room where several are equally near, and never takes a zone's headroom. What is left
over has no place: the gateways' budgets refuse it by worth. A deterministic function: equal views give
equal tables, whoever works them out. Shares are whole parts of `PARTS`, as they travel.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

PARTS = 250  # a share is so many parts at most: a byte
SLIVER = 1e-9


@dataclass(frozen=True, slots=True)
class ZoneView:
    """What is known of one zone. Rates in units a second; `room` is what it bears, inf where no bound has
    been seen, `weight` its good servers; `cap`: part of its room that may be used at all (a returning one);
    `takes`: others may send there; `reach`: zones whose gateways reach its servers."""

    demand: float
    room: float
    weight: float
    cap: float = 1.0
    takes: bool = True
    reach: tuple[bool, ...] = ()


def _bears(view: ZoneView) -> float:
    return view.room * view.cap if view.weight > 0 else 0.0


def flows(zones: Sequence[ZoneView], distance: Sequence[Sequence[int]], headroom: float) -> list[list[float]]:
    """For each zone the units a second that it sends to each. A row sums up to its demand at most."""
    count = len(zones)
    made = [[0.0] * count for _ in zones]
    used = [0.0] * count
    for k, view in enumerate(zones):
        if view.reach[k] and view.weight > 0 and (view.takes or view.cap > 0):
            made[k][k] = used[k] = min(view.demand, _bears(view) if view.takes else 0.0)
    for ring in sorted({distance[a][b] for a in range(count) for b in range(count) if a != b}):
        _spill(zones, distance, headroom, made, used, ring)
    return made


def _spill(
    zones: Sequence[ZoneView],
    distance: Sequence[Sequence[int]],
    headroom: float,
    made: list[list[float]],
    used: list[float],
    ring: int,
) -> None:
    """What is left of all zones goes to those that are just so far away, until all is placed or full."""
    count = len(zones)
    for _ in range(count * count):
        asks = [[0.0] * count for _ in zones]
        for a, view in enumerate(zones):
            left = view.demand - sum(made[a])
            if left <= SLIVER:
                continue
            near = [
                b
                for b in range(count)
                if b != a
                and distance[a][b] == ring
                and zones[b].takes
                and zones[b].reach[a]
                and zones[b].weight > 0
                and _free(zones, used, b, headroom) > SLIVER
            ]
            # by room where that is known of all, else by good servers
            free = {b: _free(zones, used, b, headroom) for b in near}
            by = free if all(f < math.inf for f in free.values()) else {b: zones[b].weight for b in near}
            total = sum(by.values())
            for b in near:
                asks[a][b] = left * by[b] / total
        if not any(map(any, asks)):
            return
        for b in range(count):
            asked = sum(asks[a][b] for a in range(count))
            if asked > 0:
                part = min(1.0, _free(zones, used, b, headroom) / asked)
                for a in range(count):
                    made[a][b] += asks[a][b] * part
                used[b] += asked * part


def _free(zones: Sequence[ZoneView], used: list[float], b: int, headroom: float) -> float:
    """Room of a zone for others' traffic."""
    bears = _bears(zones[b])
    return math.inf if bears == math.inf else max(0.0, bears * (1 - headroom) - used[b])


def shares(
    made: Sequence[Sequence[float]],
    zones: Sequence[ZoneView],
    before: Sequence[Sequence[int]] | None = None,
    step: float = 1.0,
) -> list[list[int]]:
    """Of each zone's traffic the parts that go to each; what is missing to PARTS has no place. A part may
    grow or shrink by `step` of the traffic against `before`, unless that part is of a zone that does not take
    it any more. Rounded down: nothing is promised that has no room."""
    found = []
    for a, row in enumerate(made):
        demand = zones[a].demand
        if demand > SLIVER:
            wanted = [int(PARTS * min(1.0, x / demand) + 1e-6) for x in row]
        else:  # nobody asks: what would come goes where it would
            wanted = [PARTS * (a == b) * (zones[a].reach[a] and zones[a].takes) for b in range(len(row))]
        if sum(wanted) > PARTS - len(row):  # all has its place: what rounding left goes to the largest part
            wanted[max(range(len(row)), key=lambda b: (wanted[b], b == a, -b))] += PARTS - sum(wanted)
        if before is not None and step < 1:
            wanted = _stepped(wanted, before[a], zones, a, int(PARTS * step))
        found.append(wanted)
    return found


def _stepped(
    wanted: list[int], before: Sequence[int], zones: Sequence[ZoneView], a: int, most: int
) -> list[int]:
    """From `before` towards `wanted`, by `most` parts. What zones that are not reached any more had moves at
    once."""
    now = [
        x if zones[b].reach[a] and zones[b].takes and zones[b].weight > 0 else 0 for b, x in enumerate(before)
    ]
    freed = sum(before) - sum(now)
    grow = [max(0, w - x) for w, x in zip(wanted, now, strict=True)]
    shrink = [max(0, x - w) for w, x in zip(wanted, now, strict=True)]
    room = min(sum(grow), max(most, freed) if freed else most)
    made, left = list(now), room
    for b in sorted(range(len(now)), key=lambda b: (b != a, b)):
        part = min(grow[b], left)
        made[b], left = made[b] + part, left - part
    over = max(0, sum(made) - max(sum(wanted), sum(before) - most), sum(made) - PARTS)
    for b in sorted(range(len(now)), key=lambda b: (b == a, b)):
        part = min(shrink[b], over)
        made[b], over = made[b] - part, over - part
    return made
