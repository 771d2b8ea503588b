"""The standard answers to control work that grows with the fleet, with their figures at its sizes.

No I/O, no clock. A row is one figure of one answer; its mechanism is where the program has it.
"""

from __future__ import annotations

import math
from functools import partial
from typing import Final

from ..decisions.load_balancing import CANDIDATES
from ..leases.settings import LeaseSettings
from ..net.limits import Limits
from . import capacity_load, capacity_messages
from .capacity import Amount, Measured, Row, Unit, exact, missing, row
from .capacity_costs import MEGABYTE, change_cost, entry_bytes
from .capacity_gateway import MINUTE_S
from .capacity_load import Load
from .topology import Topology

SUBSET_LEAST: Final = 3  # endpoints that a gateway keeps of each service in each zone in reach, at least
SUBSET_HOLDERS: Final = 4  # gateways that keep each endpoint, at least: with fewer the load is uneven
SUBSETTING: Final = "subsetting/selection.Selection"
CHOICES: Final = 2  # d of the power of d choices, as it is usually described
SAMPLE_AGE_S: Final = 1.0  # the load in an answer is of use for so long, about


def answers(measured: Measured, topology: Topology, load: Load) -> list[Row]:
    """All of them, in the order in which the operators' letter names them."""
    return [
        *_subsetting(measured, topology, load),
        *_scoped(measured, topology),
        *_trees(topology),
        *_deltas(measured, topology),
        *_sharding(topology, load),
        *_choices(topology, load),
        *_leases(topology),
    ]


def subset_size(topology: Topology, zones: int) -> int:
    """Endpoints of one gateway that takes them from so many zones: of each service in each of these zones the
    least number, or more where each would be kept by too few gateways, or all there are."""
    per_zone = len(topology.zones)
    sharing = topology.gateways * zones // per_zone  # gateways that take endpoints from a zone
    found = 0
    for size in topology.service_sizes():
        whole, more = divmod(size, per_zone)  # the first `more` zones have one besides
        rings = [whole + (zone < more) for zone in range(zones)]
        found += sum(min(n, max(SUBSET_LEAST, -(-SUBSET_HOLDERS * n // sharing))) for n in rings)
    return found


def _subsetting(measured: Measured, topology: Topology, load: Load) -> list[Row]:
    """Carried where the program was measured with the feature on."""
    on = SUBSETTING if "subset" in measured.features else ""
    rows = []
    for where, count in _reaches(topology):
        size = subset_size(topology, count)
        how = (
            f"{SUBSET_LEAST} of each of {topology.services.count:,} services in {count} zones, or all; "
            f"more where fewer than {SUBSET_HOLDERS} gateways would keep one"
        )
        rows += [
            Row(f"subsetting, {where}: endpoints of a gateway", how, Unit.COUNT, exact(size), on),
            _kept_row(f"subsetting, {where}", load, size, on),
        ]
    return [*rows, _kept_row("without", load, topology.backends, "net/backends/pool.ConnectionPool")]


def _reaches(topology: Topology) -> list[tuple[str, int]]:
    """Zones that a gateway may take endpoints from: all, those of the smallest region, or its own."""
    region = min(len(region.zones) for region in topology.regions)
    return [("all zones", len(topology.zones)), ("its region", region), ("its zone", 1)]


def _scoped(measured: Measured, topology: Topology) -> list[Row]:
    budgets, rows = topology.budgets, []
    for where, count in _reaches(topology):
        size = subset_size(topology, count)
        rows += [
            row(
                f"scoped subscription, {where}: memory for its endpoints",
                f"{size:,} entries",
                Unit.BYTES,
                partial(_entries, measured, topology, size),
                budget=budgets.memory_mb * MEGABYTE,
            ),
            missing(
                f"scoped subscription, {where}: list of a start, over its minute",
                f"{size:,} × {capacity_messages.entry_bytes()} bytes",
                Unit.BYTES_PER_S,
                capacity_messages.list_bytes(size) / MINUTE_S,
                budgets.control_bytes_per_s,
            ),
        ]
    lost = topology.backends // len(topology.zones)
    held = subset_size(topology, len(topology.zones)) / len(topology.zones)
    rows.append(
        missing(
            "scoped subscription, all zones: a zone lost, over its minute",
            f"{held:,.0f} of {lost:,} changes concern a gateway",
            Unit.BYTES_PER_S,
            held * capacity_messages.change_bytes() / MINUTE_S,
            budgets.control_bytes_per_s,
        )
    )
    return rows


def _trees(topology: Topology) -> list[Row]:
    machines, gateways = topology.budgets.control_machines, topology.gateways
    report = capacity_messages.report_bytes(len(topology.zones))
    return [
        missing(
            "aggregation tree: reports in, at each control machine",
            f"{math.ceil(gateways / machines)} of {report} bytes a second; one message each to the root",
            Unit.BYTES_PER_S,
            math.ceil(gateways / machines) * report,
        ),
        missing(
            "without a tree: reports in, at one place",
            f"{gateways:,} of {report} bytes a second",
            Unit.BYTES_PER_S,
            gateways * report,
        ),
    ]


def _deltas(measured: Measured, topology: Topology) -> list[Row]:
    changes, change = topology.table_changes_per_s(), capacity_messages.change_bytes()
    lost = topology.backends // len(topology.zones)
    need_s = topology.budgets.in_force_s / lost
    return [
        Row(
            "delta distribution: ordinary day",
            f"{changes:.3f} a second × {change} bytes",
            Unit.BYTES_PER_S,
            exact(changes * change),
            "net/discovery/watch.Watch",
            topology.budgets.control_bytes_per_s,
        ),
        missing(
            "without deltas: a whole list at each change",
            "",
            Unit.BYTES_PER_S,
            changes * capacity_messages.list_bytes(topology.backends),
            topology.budgets.control_bytes_per_s,
        ),
        row(
            "delta distribution: processor time of one change",
            f"to apply {lost:,} one by one within {topology.budgets.in_force_s:g} s on a whole core",
            Unit.SECONDS,
            lambda: change_cost(measured, topology),
            "decisions/endpoints.EndpointRegistry.apply",
            need_s,
        ),
    ]


def _sharding(topology: Topology, load: Load) -> list[Row]:
    machines, hot = topology.budgets.control_machines, capacity_load.hottest_per_s(topology)
    asked = load.wide_per_s * topology.gateways
    return [
        missing(
            "sharding by tenant: queries of a control machine",
            f"{load.wide_tenants} wide tenants over {machines}, if no shard is hot",
            Unit.PER_S,
            asked / machines,
        ),
        missing(
            "sharding by tenant: queries of the hottest shard",
            "a tenant is not parted",
            Unit.PER_S,
            max(hot, asked / machines),
        ),
    ]


def _choices(topology: Topology, load: Load) -> list[Row]:
    each = load.requests_per_s / topology.backends
    return [
        Row(
            "power of d choices: backends compared for a request",
            f"of {topology.backends:,}; {CHOICES} is usual",
            Unit.COUNT,
            exact(CANDIDATES),
            "decisions/load_balancing.LoadBalancer.choose",
        ),
        Row(
            "power of d choices: answers of one backend that a gateway sees",
            f"to compare load, one each {SAMPLE_AGE_S:g} s would be needed",
            Unit.PER_S,
            exact(each),
            "decisions/outcomes.Outcomes.on_attempt_outcome",
        ),
    ]


def _leases(topology: Topology) -> list[Row]:
    settings, size = LeaseSettings(), topology.tenant_sets()[0]
    life_s = settings.lease_ns / 1e9
    queries = size * settings.min_holders / life_s
    return [
        Row(
            "leases: queries for the busiest tenant, in all",
            f"{size} gateways, {settings.min_holders} holders, one loan each {life_s:g} s; off unless named",
            Unit.PER_S,
            exact(queries),
            "leases/lease_messages.LeaseGrant",
        ),
        Row(
            "leases: queries at each holder",
            f"{settings.min_holders} holders",
            Unit.PER_S,
            exact(queries / settings.min_holders),
            "leases/lease_messages.LeaseGrant",
            capacity_load.PEER_IN_PER_S,
        ),
    ]


def _entries(measured: Measured, topology: Topology, size: int) -> Amount:
    return entry_bytes(measured, topology).times(size)


def _kept_row(entry: str, load: Load, size: int, carried: str) -> Row:
    """Part of the requests that find a connection which rested less than it may, where all endpoints are used
    alike."""
    kept_s = Limits().backend_idle_timeout_ns / 1e9
    return Row(
        f"{entry}: requests that find a connection kept",
        f"{load.requests_per_s:,.0f} a second to {size:,} endpoints, kept for {kept_s:g} s",
        Unit.SHARE,
        exact(-math.expm1(-load.requests_per_s / size * kept_s)),
        carried,
    )
