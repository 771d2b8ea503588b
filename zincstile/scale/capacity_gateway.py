"""One gateway at a topology's sizes: state, processor time, messages, delays, routes. No I/O, no clock."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Final

from ..decisions.concurrency_limit import TICK_NS
from ..decisions.relay_queries import MAX_QUERIES, QUERY_WAIT_NS
from ..decisions.ticker import IDLE_TICKS
from ..decisions.units import SECOND_NS
from ..net.limits import Limits
from . import capacity_load, capacity_messages
from .capacity import NOT_IN_PROGRAM, Amount, Measured, Row, Unit, digits, exact, missing, row, summed
from .capacity_costs import (
    DAY_S,
    MEGABYTE,
    change_cost,
    message_cost,
    reload_cost,
    request_cost,
    rest,
    routes_memory,
    targets,
)
from .capacity_load import Load
from .records import Dimension, Figure
from .topology import Topology

MINUTE_S: Final = 60
WATCH_LINE_S: Final = 2.0  # discovery's empty lines come so often
TICK_S: Final = TICK_NS / SECOND_NS
WATCH: Final = "net/discovery/watch.Watch"
FOLLOW: Final = "decisions/endpoints.EndpointRegistry.apply, net/backends/pool.ConnectionPool.update"


def memory(measured: Measured, load: Load) -> list[Row]:
    """State entry by entry, against the memory of a gateway."""
    topology = load.topology
    parts = _additive(
        measured,
        load,
        Figure.MEMORY_BYTES,
        Unit.BYTES,
        (
            ("process, with the smallest table measured", None, "net/gateway.Gateway"),
            (
                "endpoint table",
                Dimension.BACKENDS,
                "decisions/endpoints.Endpoint, net/discovery/table.EndpointTable, "
                "net/backends/pool.ConnectionPool",
            ),
            ("peers", Dimension.GATEWAYS, "net/peers.Peers"),
            ("tenants", Dimension.TENANTS, "decisions/records.Customer"),
        ),
    )
    budget = topology.budgets.memory_mb * MEGABYTE
    more = row(
        "routes, worked out",
        f"{topology.routes.count:,}, see Routes",
        Unit.BYTES,
        lambda: routes_memory(measured, topology),
    )
    return [
        *parts,
        summed("**in all**", "without routes", parts, "net/gateway.Gateway", budget),
        more,
        summed("**in all, with routes**", "", [*parts, more], "", budget),
    ]


def processor(measured: Measured, load: Load) -> list[Row]:
    """Processor time for control on an ordinary day, against its share of a core."""
    topology = load.topology
    parts = _additive(
        measured,
        load,
        Figure.CPU_REST_SHARE,
        Unit.CORE,
        (
            ("at rest, with the smallest table measured", None, "decisions/ticker.Ticker.tick"),
            (
                "at rest, endpoint table",
                Dimension.BACKENDS,
                "decisions/ticker.Ticker.tick, net/backends/pool.ConnectionPool",
            ),
            ("at rest, peers", Dimension.GATEWAYS, "decisions/gossip.Gossip.flush"),
            ("at rest, tenants", Dimension.TENANTS, "decisions/quotas.QuotaLedger.idle_customers"),
        ),
    )
    parts += _activities(measured, load)
    budget = topology.budgets.control_core_share
    return [
        *parts,
        summed("**in all**", "without routes", parts, "net/gateway.Gateway", budget),
        row(
            "requests",
            f"{load.requests_per_s:,.0f} a second; beside control, not in the sum",
            Unit.CORE,
            lambda: request_cost(measured, targets(load)).times(load.requests_per_s),
            "net/dispatcher.Dispatcher, decisions/admission.Admission.on_request",
        ),
    ]


def _activities(measured: Measured, load: Load) -> list[Row]:
    """What changes and messages cost above the rest."""
    topology, sizes = load.topology, targets(load)
    table, config = sizes[Dimension.TABLE_CHANGES_PER_S], sizes[Dimension.CONFIG_CHANGES_PER_S]
    datagrams = load.datagrams_per_s
    return [
        row(
            "table changes",
            f"{table:.3f} a second",
            Unit.CORE,
            lambda: change_cost(measured, topology).times(table),
            FOLLOW,
        ),
        row(
            "configuration changes",
            f"{config:.4f} reloads a second, each with the whole list read again",
            Unit.CORE,
            lambda: reload_cost(measured, topology).times(config),
            "net/lifecycle.Lifecycle.reload",
        ),
        row(
            "messages between gateways",
            f"{datagrams:,.0f} in a second, and as many out",
            Unit.CORE,
            lambda: message_cost(measured, sizes).times(datagrams),
            "net/peers.Peers, decisions/gossip_receiver.GossipReceiver.on_gossip_received",
        ),
    ]


def messages(measured: Measured, load: Load) -> list[Row]:
    """Messages by kind, in and out together, against the bytes of a gateway."""
    topology = load.topology
    change, changes = capacity_messages.change_bytes(), topology.table_changes_per_s()
    whole = capacity_messages.list_bytes(topology.backends)
    reloads = topology.churn_per_day.configuration_changes / DAY_S
    parts = [
        _flow_row(flow.name, 2 * flow.per_s, flow.size_bytes, flow.mechanism)
        for flow in (load.heartbeats, load.updates, load.relay_updates)
    ]
    parts += [
        _flow_row(
            "queries to relays and their answers",
            4 * load.queries.per_s,
            load.queries.size_bytes,
            load.queries.mechanism,
        ),
        _flow_row("table changes", changes, change, WATCH),
        _flow_row(
            "configuration changes, a whole list each",
            reloads,
            whole,
            "net/discovery/watcher.EndpointWatcher.move",
        ),
        _flow_row("empty lines of the watch", 1 / WATCH_LINE_S, capacity_messages.WATCH_LINE_BYTES, WATCH),
    ]
    budget = topology.budgets.control_bytes_per_s
    return [
        *parts,
        summed("**in all**", "", parts, "net/peers.Peers, net/discovery/watch.Watch", budget),
        Row(
            "all messages that a gateway takes",
            f"{capacity_load.PEER_IN_PER_S:g} × {Limits().datagram_bytes} bytes, in alone",
            Unit.BYTES_PER_S,
            exact(capacity_load.PEER_IN_PER_S * Limits().datagram_bytes),
            "net/limits.Limits.datagram_bytes",
            budget,
        ),
        Row(
            "messages that come in, against what a gateway takes",
            "all kinds above",
            Unit.PER_S,
            exact(load.datagrams_per_s),
            "decisions/settings.Settings.gossip_in_per_s",
            capacity_load.PEER_IN_PER_S,
        ),
        Row(
            "a whole list, over the minute that it comes in",
            f"{topology.backends:,} × {capacity_messages.entry_bytes()} bytes",
            Unit.BYTES_PER_S,
            exact(whole / MINUTE_S),
            WATCH,
            budget,
        ),
        *(
            row(
                f"measured {name}, {targets(load)[dimension]:,.0f} {dimension.value}",
                "the other sizes as held",
                Unit.BYTES_PER_S,
                _predicted(measured, dimension, figure, targets(load)),
                needed=False,
            )
            for dimension in (Dimension.GATEWAYS, Dimension.TENANTS, Dimension.REQUESTS_PER_S)
            for name, figure in (("in", Figure.BYTES_IN_PER_S), ("out", Figure.BYTES_OUT_PER_S))
        ),
    ]


def delays(measured: Measured, load: Load) -> list[Row]:
    """How long a change takes at one gateway, and what control work adds to a request."""
    topology, sizes = load.topology, targets(load)
    budgets = topology.budgets
    rows = [
        row(
            f"{name} in force, {quantile}, {digits(sizes[dimension])} {dimension.value}",
            "one gateway, the other sizes as held",
            Unit.SECONDS,
            _predicted(measured, dimension, figure, sizes),
            carried,
            budgets.in_force_s,
        )
        for name, dimension, carried in (
            ("a table change", Dimension.BACKENDS, WATCH),
            ("a table change", Dimension.TABLE_CHANGES_PER_S, WATCH),
            ("a configuration change", Dimension.CONFIG_CHANGES_PER_S, "net/lifecycle.Lifecycle.reload"),
        )
        for quantile, figure in (("99 in 100", Figure.IN_FORCE_P99_S), ("last", Figure.IN_FORCE_LAST_S))
    ]
    added = budgets.added_p99_ms / 1000
    return [
        *rows,
        Row(
            "a configuration change of anything but where discovery is",
            "a reload leaves all else as it is",
            Unit.SECONDS,
            None,
            "",
            budgets.in_force_s,
            NOT_IN_PROGRAM,
        ),
        Row(
            "a configuration change at all gateways",
            f"a file and a SIGHUP at each of {topology.gateways:,}; nothing carries it there",
            Unit.SECONDS,
            None,
            "",
            budgets.in_force_s,
            NOT_IN_PROGRAM,
        ),
        row(
            "wait behind a tick, 99 in 100 requests",
            f"the time at rest, in one piece each {1000 * IDLE_TICKS * TICK_S:g} ms; "
            f"each {1000 * TICK_S:g} ms under load",
            Unit.SECONDS,
            lambda: _behind_ticks(rest(measured, sizes)),
            "decisions/ticker.Ticker.tick",
            added,
        ),
        row(
            "wait behind one table change, at worst",
            f"one piece of work, {sizes[Dimension.TABLE_CHANGES_PER_S]:.3f} times a second",
            Unit.SECONDS,
            lambda: change_cost(measured, topology),
            FOLLOW,
        ),
        Row(
            "wait for a relay that answers",
            f"a round trip; {100 * load.wide_per_s / load.requests_per_s:.0f}% of requests query one",
            Unit.SECONDS,
            None,
            "decisions/relay_queries.RelayedQuotas.request_units",
            added,
            "distances are the network's",
        ),
        Row(
            "wait for a relay that is silent",
            f"{MAX_QUERIES} queries, {QUERY_WAIT_NS / 1e6:.0f} ms each",
            Unit.SECONDS,
            exact(capacity_load.QUERY_WAIT_S),
            "decisions/relay_queries.RelayedQuotas.request_units",
            added,
        ),
    ]


def routes(measured: Measured, topology: Topology) -> list[Row]:
    """What a table of routes would add. Nothing of it is in the program, so that no row has a mechanism."""
    count, route, entry = (
        topology.routes.count,
        capacity_messages.route_bytes(),
        capacity_messages.entry_bytes(),
    )
    budgets = topology.budgets
    changes = topology.churn_per_day.configuration_changes / DAY_S
    return [
        row(
            "memory, each gateway",
            f"{count:,} × {route} bytes of JSON, in memory as an entry of the endpoint table ({entry} bytes)",
            Unit.BYTES,
            lambda: routes_memory(measured, topology),
            "",
            budgets.memory_mb * MEGABYTE,
        ),
        missing("whole table, sent", f"{count:,} × {route} bytes", Unit.BYTES, count * route),
        missing(
            "sent whole at each change",
            f"{topology.churn_per_day.configuration_changes:,.0f} changes a day",
            Unit.BYTES_PER_S,
            changes * count * route,
            budgets.control_bytes_per_s,
        ),
        missing(
            "sent as changes",
            f"{changes:.4f} a second × {route} bytes",
            Unit.BYTES_PER_S,
            changes * route,
            budgets.control_bytes_per_s,
        ),
    ]


def _behind_ticks(share: Amount) -> Amount:
    """The wait that one request in a hundred passes, where the ticks that take so much of a core at rest come
    at twice the pace under load, and requests at any moment."""

    def wait(at_rest: float) -> float:
        tick = max(0.0, at_rest) * IDLE_TICKS * TICK_S
        busy = tick / TICK_S
        return tick * (1 - 0.01 / busy) if busy > 0.01 else 0.0

    return Amount(wait(share.value), wait(share.low), wait(share.high), share.basis, share.lacking)


def _predicted(
    measured: Measured, dimension: Dimension, figure: Figure, sizes: dict[Dimension, float]
) -> Callable[[], Amount]:
    return lambda: measured.predict(dimension, figure, sizes[dimension])


def _additive(
    measured: Measured,
    load: Load,
    figure: Figure,
    unit: Unit,
    entries: tuple[tuple[str, Dimension | None, str], ...],
) -> list[Row]:
    """A figure as a sum: what it is with the smallest table (no dimension), and what each dimension adds to
    that. It rests on that dimensions add up, as each was varied alone."""
    sizes, rows = targets(load), []
    for entry, dimension, carried in entries:
        if dimension is None:
            start = measured.smallest_or_none(Dimension.BACKENDS, figure)
            how = "" if start is None else f"{digits(start)} backends, the others as held"
            rows.append(row(entry, how, unit, partial(_with_smallest, measured, figure), carried))
            continue
        how = f"{sizes[dimension]:,.0f} {dimension.value}"
        make = partial(_added, measured, dimension, figure, sizes[dimension])
        rows.append(row(entry, how, unit, make, carried))
    return rows


def _with_smallest(measured: Measured, figure: Figure) -> Amount:
    return measured.predict(Dimension.BACKENDS, figure, measured.smallest(Dimension.BACKENDS, figure))


def _added(measured: Measured, dimension: Dimension, figure: Figure, size: float) -> Amount:
    """Above what the runs over the table held; over the table itself, above the smallest. Of tenants these
    runs had received nothing when memory and rest were measured."""
    held = 0.0 if dimension is Dimension.TENANTS else measured.held(Dimension.BACKENDS, dimension)
    return measured.growth(dimension, figure, held, size)


def _flow_row(name: str, per_s: float, size_bytes: float, carried: str) -> Row:
    how = f"{digits(per_s)} a second × {digits(size_bytes)} bytes"
    return Row(name, how, Unit.BYTES_PER_S, exact(per_s * size_bytes), carried)
