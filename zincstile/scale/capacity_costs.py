"""Costs that several capacity tables share, worked out from the fits. No I/O, no clock."""

from __future__ import annotations

from typing import Final

from . import capacity_messages
from .capacity import Amount, Measured, NotMeasuredError, total
from .capacity_load import Load
from .records import Dimension, Figure
from .topology import Topology

MEGABYTE: Final = 1_000_000
DAY_S: Final = 86_400


def targets(load: Load) -> dict[Dimension, float]:
    """The sizes of one gateway, by dimension."""
    topology = load.topology
    return {
        Dimension.BACKENDS: topology.backends,
        Dimension.GATEWAYS: topology.gateways,
        Dimension.TENANTS: load.tenants,
        Dimension.REQUESTS_PER_S: load.requests_per_s,
        Dimension.TABLE_CHANGES_PER_S: topology.table_changes_per_s(),
        Dimension.CONFIG_CHANGES_PER_S: topology.churn_per_day.configuration_changes / DAY_S,
    }


def entry_bytes(measured: Measured, topology: Topology) -> Amount:
    """Memory of one entry of the endpoint table, on average from the smallest size to the topology's."""
    over, figure = Dimension.BACKENDS, Figure.MEMORY_BYTES
    start = measured.smallest(over, figure)
    if start >= topology.backends:
        raise NotMeasuredError(f"{figure.value} below a table of {topology.backends:,}")
    return measured.growth(over, figure, start, topology.backends).times(1 / (topology.backends - start))


def tenant_bytes(measured: Measured, load: Load) -> Amount:
    """Memory of one tenant, on average from none to those of a gateway."""
    return measured.growth(Dimension.TENANTS, Figure.MEMORY_BYTES, 0, load.tenants).times(1 / load.tenants)


def change_cost(measured: Measured, topology: Topology) -> Amount:
    """Processor time of one table change at the topology's table; at the table that was held, where it was
    measured over the changes alone."""
    try:
        return measured.predict(Dimension.BACKENDS, Figure.CPU_PER_CHANGE_S, topology.backends)
    except NotMeasuredError:
        pass
    rate = topology.table_changes_per_s()
    found = measured.predict(Dimension.TABLE_CHANGES_PER_S, Figure.CPU_PER_CHANGE_S, rate)
    held = measured.held(Dimension.TABLE_CHANGES_PER_S, Dimension.BACKENDS)
    size = "a table of unknown size" if held is None else f"a table of {held:,.0f}"
    return Amount(found.value, found.low, found.high, (*found.basis, f"with {size}"), ("the table's growth",))


def reload_cost(measured: Measured, topology: Topology) -> Amount:
    """Processor time of one change of the configuration, announced by SIGHUP.

    Discovery is found elsewhere then, and the whole list is read again. It was measured with the table that
    was held; what a larger one adds is taken to be what it adds to a start, until it takes clients."""
    per_s = topology.churn_per_day.configuration_changes / DAY_S
    found = measured.predict(Dimension.CONFIG_CHANGES_PER_S, Figure.CPU_PER_CHANGE_S, per_s)
    held = measured.held(Dimension.CONFIG_CHANGES_PER_S, Dimension.BACKENDS)
    try:
        return total([found, measured.growth(Dimension.BACKENDS, Figure.READY_S, held, topology.backends)])
    except NotMeasuredError:
        return total([found], ["the table's growth"])


def routes_memory(measured: Measured, topology: Topology) -> Amount:
    """Memory of a table of routes, if what it takes for a byte of JSON is what the endpoint table takes."""
    grown = capacity_messages.route_bytes() / capacity_messages.entry_bytes()
    return entry_bytes(measured, topology).times(topology.routes.count * grown)


def message_cost(measured: Measured, sizes: dict[Dimension, float]) -> Amount:
    """Processor time of one message of a peer."""
    return _first(
        measured,
        Figure.CPU_PER_MESSAGE_S,
        sizes,
        (Dimension.TENANTS, Dimension.GATEWAYS, Dimension.REQUESTS_PER_S),
    )


def request_cost(measured: Measured, sizes: dict[Dimension, float]) -> Amount:
    """Processor time of one request at the topology's rate, and what its table adds to that."""
    figure, table = Figure.CPU_PER_REQUEST_S, Dimension.BACKENDS
    rate = Dimension.REQUESTS_PER_S
    found = measured.predict(rate, figure, sizes[rate])
    try:
        return total([found, measured.growth(table, figure, measured.held(rate, table), sizes[table])])
    except NotMeasuredError:
        return total([found], ["the table's growth"])


def rest(measured: Measured, sizes: dict[Dimension, float]) -> Amount:
    """Processor time at rest, with the topology's table."""
    return measured.predict(Dimension.BACKENDS, Figure.CPU_REST_SHARE, sizes[Dimension.BACKENDS])


def _first(
    measured: Measured, figure: Figure, sizes: dict[Dimension, float], order: tuple[Dimension, ...]
) -> Amount:
    """From the first of these dimensions over which it was measured."""
    for dimension in order:
        try:
            return measured.predict(dimension, figure, sizes[dimension])
        except NotMeasuredError:
            continue
    raise NotMeasuredError(figure.value)
