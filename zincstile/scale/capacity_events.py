"""The bad events of a fleet at a topology's sizes: what each asks of whom. No I/O, no clock."""

from __future__ import annotations

import math
from functools import partial
from typing import Final

from ..cold_start.list_search import INTAKE_RATIO
from ..cold_start.messages import BUCKETS
from ..decisions.peers import MAX_DIRECT_PEERS
from ..net.limits import Limits
from . import capacity_load, capacity_messages
from .capacity import Amount, Measured, Row, Section, Unit, exact, missing, row
from .capacity_costs import change_cost
from .capacity_gateway import FOLLOW, MINUTE_S, WATCH
from .records import Dimension, Figure
from .topology import Topology

ROLLOUT_S: Final = 30.0  # a service's backends are all replaced within
READY_S: Final = 10.0  # nine in ten restarted gateways are to be ready within
CHANGES_OF_REPLACEMENT: Final = 3  # it drains, goes, and its successor comes
QUOTA_SIDES: Final = 2  # regions that receive only their own messages


def events(measured: Measured, topology: Topology) -> list[Section]:
    """All of them."""
    zones = len(topology.zones)
    return [
        Section(
            f"A zone's {topology.backends // zones:,} backends gone at once",
            zone_lost(measured, topology),
        ),
        Section("Replacements of a day, and a rollout's burst", rollout(measured, topology)),
        Section(
            f"{topology.gateways // zones:,} gateways of a zone started at once",
            zone_started(measured, topology),
        ),
        Section("Regions apart", regions_apart(topology)),
        Section(f"{topology.budgets.control_machines} control machines less one rack", rack_lost(topology)),
    ]


def zone_lost(measured: Measured, topology: Topology) -> list[Row]:
    """Every change of it comes in a message of its own."""
    lost, budgets = topology.backends // len(topology.zones), topology.budgets
    sent_bytes = lost * capacity_messages.change_bytes()
    return [
        *(
            row(
                entry,
                "measured at one gateway beside load, a fifth of its table",
                unit,
                partial(measured.predict, Dimension.BACKENDS, figure, topology.backends),
                FOLLOW,
                budget,
            )
            for entry, unit, figure, budget in (
                (
                    "the last change in force",
                    Unit.SECONDS,
                    Figure.MASS_FAILURE_IN_FORCE_S,
                    budgets.in_force_s,
                ),
                ("requests served meanwhile", Unit.SHARE, Figure.MASS_FAILURE_SERVED_SHARE, None),
            )
        ),
        row(
            "processor time of one gateway, one change at a time",
            f"{lost:,} changes; also the least time until the last is in force",
            Unit.SECONDS,
            lambda: change_cost(measured, topology).times(lost),
            FOLLOW,
            budgets.in_force_s,
        ),
        Row(
            "bytes to one gateway, over the time allowed",
            f"{lost:,} × {capacity_messages.change_bytes()} bytes in {budgets.in_force_s:g} s",
            Unit.BYTES_PER_S,
            exact(sent_bytes / budgets.in_force_s),
            WATCH,
            budgets.control_bytes_per_s,
        ),
        Row(
            "the same, over its minute",
            f"{lost:,} × {capacity_messages.change_bytes()} bytes",
            Unit.BYTES_PER_S,
            exact(sent_bytes / MINUTE_S),
            WATCH,
            budgets.control_bytes_per_s,
        ),
        Row(
            "bytes out of the list service",
            f"to {topology.gateways:,} gateways in {budgets.in_force_s:g} s",
            Unit.BYTES_PER_S,
            exact(sent_bytes * topology.gateways / budgets.in_force_s),
            WATCH,
        ),
    ]


def rollout(measured: Measured, topology: Topology) -> list[Row]:
    """Replacements over the day, and the largest service's at one go."""
    budgets, largest = topology.budgets, topology.service_sizes()[0]
    usual, burst = topology.table_changes_per_s(), CHANGES_OF_REPLACEMENT * largest / ROLLOUT_S
    change = capacity_messages.change_bytes()
    share = budgets.control_core_share
    return [
        row(
            "processor time, a day's replacements",
            f"{usual:.3f} changes a second",
            Unit.CORE,
            lambda: change_cost(measured, topology).times(usual),
            FOLLOW,
            share,
        ),
        Row(
            "bytes, a day's replacements",
            f"{usual:.3f} × {change} bytes",
            Unit.BYTES_PER_S,
            exact(usual * change),
            WATCH,
            budgets.control_bytes_per_s,
        ),
        row(
            "processor time, a rollout",
            f"the largest service, {largest:,} backends in {ROLLOUT_S:g} s: {burst:,.1f} changes a second",
            Unit.CORE,
            lambda: change_cost(measured, topology).times(burst),
            FOLLOW,
        ),
        row(
            "the same, over its minute",
            f"{CHANGES_OF_REPLACEMENT * largest:,} changes",
            Unit.CORE,
            lambda: change_cost(measured, topology).times(CHANGES_OF_REPLACEMENT * largest / MINUTE_S),
            FOLLOW,
            share,
        ),
        Row(
            "bytes, a rollout, over its minute",
            f"{CHANGES_OF_REPLACEMENT * largest:,} × {change} bytes",
            Unit.BYTES_PER_S,
            exact(CHANGES_OF_REPLACEMENT * largest * change / MINUTE_S),
            WATCH,
            budgets.control_bytes_per_s,
        ),
        row(
            "the last change of a rollout in force, at the least",
            "what is left of the processor time once the burst has come, on a whole core",
            Unit.SECONDS,
            lambda: _left_over(change_cost(measured, topology).times(CHANGES_OF_REPLACEMENT * largest)),
            FOLLOW,
            budgets.in_force_s,
        ),
    ]


def zone_started(measured: Measured, topology: Topology) -> list[Row]:
    """Each needs the whole list before it can take clients."""
    started, limits = topology.gateways // len(topology.zones), Limits()
    whole, list_s = capacity_messages.list_bytes(topology.backends), limits.list_time_per_gateway_ns / 1e9
    datagrams = BUCKETS * len(capacity_messages.bucket_lines(topology.backends))
    intake = INTAKE_RATIO * capacity_load.PEER_IN_PER_S
    return [
        row(
            "one gateway ready, the list at hand on its machine",
            "alone on its core",
            Unit.SECONDS,
            lambda: measured.predict(Dimension.BACKENDS, Figure.READY_S, topology.backends),
            "net/gateway.Gateway",
            READY_S,
        ),
        Row(
            "all ready, the list service asked",
            f"{started:,} lists, {1000 * list_s:g} ms of work each",
            Unit.SECONDS,
            exact(started * list_s),
            "cold_start/list_polling.ListPolling",
            READY_S,
        ),
        Row(
            "bytes out of the list service",
            f"{started:,} × {whole:,} bytes within {READY_S:g} s",
            Unit.BYTES_PER_S,
            exact(started * whole / READY_S),
            "net/discovery/table.EndpointTable",
        ),
        Row(
            "one list from peers",
            f"{datagrams:,} datagrams at {intake:g} a second",
            Unit.SECONDS,
            exact(datagrams / intake),
            "cold_start/list_search.ListSearch",
            READY_S,
        ),
        Row(
            "bytes to one gateway, over its minute",
            f"{whole:,} bytes",
            Unit.BYTES_PER_S,
            exact(whole / MINUTE_S),
            WATCH,
            topology.budgets.control_bytes_per_s,
        ),
    ]


def regions_apart(topology: Topology) -> list[Row]:
    """For minutes, each side receives only its own messages."""
    regions, zones = topology.regions, len(topology.zones)
    smallest = min(len(region.zones) for region in regions)
    spanning = capacity_load.spanning_tenants(topology)
    return [
        Row(
            "gateways on the smaller side",
            f"{smallest} of {zones} zones",
            Unit.COUNT,
            exact(topology.gateways * smallest / zones),
            needed=False,
        ),
        Row(
            "tenants with gateways on both sides",
            "sets are rows of numbers, the gateways numbered region by region",
            Unit.COUNT,
            exact(spanning),
            needed=False,
        ),
        Row(
            f"quota that they get, sets of at most {MAX_DIRECT_PEERS + 1}",
            "the whole rate on each side, once one peer is known; bounded by features.shared",
            Unit.TIMES,
            exact(QUOTA_SIDES),
            "decisions/quotas.QuotaLedger.refill",
            1.0,
        ),
        Row(
            "wait of a request whose relay is on the other side",
            "until another stands in",
            Unit.SECONDS,
            exact(capacity_load.QUERY_WAIT_S),
            "decisions/peers.PeerTable.relay_of",
            topology.budgets.added_p99_ms / 1000,
        ),
        Row(
            "changes to send when they meet again, an hour apart",
            "half of the fleet's, as changes after a version",
            Unit.BYTES,
            exact(3600 * topology.table_changes_per_s() / 2 * capacity_messages.change_bytes()),
            WATCH,
        ),
    ]


def rack_lost(topology: Topology) -> list[Row]:
    """Machines spread over the zones; the worst rack holds all of a zone's, the best spread one."""
    machines, zones = topology.budgets.control_machines, len(topology.zones)
    worst = math.ceil(machines / zones)
    majority = machines // 2 + 1
    rows = []
    for how, lost in (("a rack for all of a zone's", worst), ("a rack for each", 1)):
        left = machines - lost
        rows += [
            missing(
                f"machines left, {how}",
                f"{machines} over {zones} zones; a majority is {majority}",
                Unit.COUNT,
                left,
            ),
            missing(
                f"gateways of each that is left, {how}",
                f"{topology.gateways:,} over {left}",
                Unit.COUNT,
                math.ceil(topology.gateways / left),
            ),
        ]
    change, budgets = capacity_messages.change_bytes(), topology.budgets
    zone = topology.backends // zones
    rows.append(
        missing(
            "bytes out of each, a zone's backends gone meanwhile",
            f"{zone:,} × {change} bytes to {math.ceil(topology.gateways / (machines - worst))} gateways "
            f"in {budgets.in_force_s:g} s",
            Unit.BYTES_PER_S,
            zone * change * math.ceil(topology.gateways / (machines - worst)) / budgets.in_force_s,
        )
    )
    return rows


def _left_over(work: Amount) -> Amount:
    """Of work that comes evenly over a rollout."""
    late = (max(0.0, seconds - ROLLOUT_S) for seconds in (work.value, work.low, work.high))
    return Amount(*late, work.basis, work.lacking)
