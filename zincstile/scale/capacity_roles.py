"""The roles beside the gateway at a topology's sizes: state, messages, time and memory. No I/O, no clock."""

from __future__ import annotations

import math
from typing import Final

from ..decisions.peers import MAX_DIRECT_PEERS
from ..net.limits import Limits
from . import capacity_load, capacity_messages
from .capacity import NOT_IN_PROGRAM, Measured, Row, Unit, exact, missing, row
from .capacity_costs import entry_bytes, message_cost, targets, tenant_bytes
from .capacity_gateway import WATCH, WATCH_LINE_S
from .capacity_load import Load
from .topology import Topology

STATUS_BYTES: Final = len("GET /status HTTP/1.1\r\nHost: 10.1.0.18:6400\r\n\r\n")
STATUS_S: Final = 10.0  # how often a tool may look at each gateway


def control_machines(measured: Measured, topology: Topology) -> list[Row]:
    """What the machines that are set aside would hold and send. They run nothing today."""
    machines, gateways = topology.budgets.control_machines, topology.gateways
    each = math.ceil(gateways / machines)
    reports = capacity_messages.report_bytes(len(topology.zones))
    tenants, changes = topology.tenants.count / machines, topology.table_changes_per_s()
    change = capacity_messages.change_bytes()
    return [
        missing("gateways of each machine", f"{gateways:,} over {machines}", Unit.COUNT, each),
        row(
            "endpoint table, memory",
            f"{topology.backends:,} entries, as a gateway holds them",
            Unit.BYTES,
            lambda: entry_bytes(measured, topology).times(topology.backends),
        ),
        missing(
            "tenants of each machine, by shards",
            f"{topology.tenants.count:,} over {machines}",
            Unit.COUNT,
            tenants,
        ),
        missing("routes and configuration", f"{topology.routes.count:,}", Unit.COUNT, topology.routes.count),
        missing(
            "table changes, out",
            f"{changes:.3f} a second × {change} bytes × {each} gateways",
            Unit.BYTES_PER_S,
            changes * change * each,
        ),
        missing(
            "reports of gateways, in",
            f"{each} gateways, one of {reports} bytes each second",
            Unit.BYTES_PER_S,
            each * reports,
        ),
        Row("processor time", "", Unit.CORE, None, lacks=NOT_IN_PROGRAM),
    ]


def list_service(topology: Topology) -> list[Row]:
    """Where discovery has to be asked; an agent on each gateway's machine costs nothing of it."""
    whole = capacity_messages.list_bytes(topology.backends)
    most = Limits.table_line_bytes(int(topology.budgets.memory_mb))
    line, parts = capacity_messages.most_parts(), capacity_messages.bucket_lines(topology.backends)
    watches = topology.gateways / WATCH_LINE_S * capacity_messages.WATCH_LINE_BYTES
    changes = topology.table_changes_per_s() * capacity_messages.change_bytes() * topology.gateways
    return [
        Row("watches open", "one a gateway", Unit.COUNT, exact(topology.gateways), WATCH),
        Row("empty lines, out", "", Unit.BYTES_PER_S, exact(watches), WATCH),
        Row("table changes, out", "to each gateway", Unit.BYTES_PER_S, exact(changes), WATCH),
        Row(
            "a whole list, against the longest line that a gateway reads",
            f"{topology.backends:,} × {capacity_messages.entry_bytes()} bytes, a start is sent each backend",
            Unit.BYTES,
            exact(whole),
            "net/limits.Limits.table_line_bytes",
            most,
        ),
        Row(
            "lists from peers: datagrams of a bucket, against what their format counts",
            f"{topology.backends:,} entries",
            Unit.COUNT,
            exact(len(parts)),
            "cold_start/messages.BucketPart",
            line,
        ),
        *(
            Row(
                name,
                "discovery is the platform's",
                unit,
                None,
                needed=False,
                lacks=NOT_IN_PROGRAM,
            )
            for name, unit in (("memory", Unit.BYTES), ("processor time", Unit.CORE))
        ),
    ]


def relays(measured: Measured, topology: Topology, load: Load) -> list[Row]:
    """The gateway that is asked for the quota of the busiest tenant."""
    hot, sizes = capacity_load.hottest_per_s(topology), targets(load)
    size = topology.tenant_sets()[0]
    intake = capacity_load.PEER_IN_PER_S
    return [
        Row(
            "tenants whose relay is asked",
            f"sets of more than {MAX_DIRECT_PEERS + 1} gateways",
            Unit.COUNT,
            exact(load.wide_tenants),
            "decisions/quotas.QuotaLedger.customer_of",
        ),
        Row(
            "of them, queried more often than a gateway takes messages",
            f"over {intake:g} a second, all requests inside their quotas",
            Unit.COUNT,
            exact(capacity_load.hot_relays(topology)),
            "decisions/peers.PeerTable.relay_of",
            0.0,
        ),
        Row(
            "queries of the busiest tenant",
            f"all requests of a set of {size} gateways, at one relay",
            Unit.PER_S,
            exact(hot),
            "decisions/relay_queries.RelayedQuotas.grant",
            intake,
        ),
        Row(
            "bytes in and out for them",
            f"{hot:,.0f} queries and answers × {load.queries.size_bytes:.0f} bytes",
            Unit.BYTES_PER_S,
            exact(2 * hot * load.queries.size_bytes),
            "simulator/gossip_codec.encode_gossip",
            topology.budgets.control_bytes_per_s,
        ),
        row(
            "processor time for them",
            f"{hot:,.0f} messages a second",
            Unit.CORE,
            lambda: message_cost(measured, sizes).times(hot),
            "decisions/gossip_receiver.GossipReceiver.on_gossip_received",
            topology.budgets.control_core_share,
        ),
        Row(
            "messages of the set's gateways that a relay remembers",
            "one a gateway",
            Unit.COUNT,
            exact(size),
            "decisions/records.Customer.usage",
        ),
        row(
            "memory of a tenant, as a gateway holds it",
            "mean growth over the tenants of one gateway",
            Unit.BYTES,
            lambda: tenant_bytes(measured, load),
            "decisions/records.Customer",
        ),
    ]


def operators(topology: Topology) -> list[Row]:
    """Standby, maintenance and zones by the admin endpoint; counters and state by the log."""
    gateways, call_s = topology.gateways, Limits().admin_request_timeout_ns / 1e9
    return [
        Row(
            "state",
            "names under maintenance, standby; on each gateway",
            Unit.COUNT,
            exact(gateways),
            "admin/operator_state.OperatorState",
        ),
        Row(
            "one command to each gateway, one after another, at worst",
            f"{gateways:,} calls, each answered within {call_s:g} s",
            Unit.SECONDS,
            exact(gateways * call_s),
            "net/admin_endpoint.AdminEndpoint",
            topology.budgets.in_force_s,
        ),
        Row(
            "status of all, each 10 s",
            f"{gateways:,} calls of {STATUS_BYTES} bytes",
            Unit.BYTES_PER_S,
            exact(gateways * STATUS_BYTES / 10),
            "net/admin_endpoint.AdminEndpoint",
        ),
        Row("one command to the whole fleet", "", Unit.SECONDS, None, "", None, NOT_IN_PROGRAM),
    ]
