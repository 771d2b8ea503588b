"""Detects leaks: what a gateway still holds long after every request has been answered."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any, Final

from ..net.gateway import Gateway
from ..virtual.clock import MS_NS
from ..virtual.process import Process
from .members import Node

MAX_HEARTBEAT_GAP_NS: Final = (
    600 * MS_NS
)  # the policy rearms its own timer; after this time it counts as lost
SERVICE_PORT: Final = 6379  # of gateways and backends
IDLE_DEADLINES: Final = 40  # periodic timers and idle connections; more of them are a leak


def in_progress(node: Node) -> bool:
    """Returns True while the node's gateway has a request or an attempt in flight."""
    dispatcher = node.gateway.dispatcher
    return bool(
        dispatcher.sessions or node.gateway.attempts.in_flight or dispatcher.policy.parts.attempts.in_flight
    )


def leftovers(node: Node, now_ns: int) -> dict[str, int]:
    """Counts by name what is left in the node's running gateway; a count other than 0 is a leak."""
    gateway, process = node.gateway, node.process
    parts = gateway.dispatcher.policy.parts
    pool = gateway.pool
    return {
        "sessions": len(gateway.dispatcher.sessions),
        "attempts": len(gateway.attempts.in_flight),
        "open request ids": len(gateway.listener.request_ids.open),
        "requests in the policy": len(parts.requests.pending),
        "attempts in the policy": len(parts.attempts.in_flight),
        "relayed requests": len(parts.relayed_quotas.waiting),
        "deferred admissions": len(parts.admission.quotas.waiting),
        "queued attempts": sum(len(backend.queued) for backend in pool.backends.values()),
        "ended client connections": _ended_connections(gateway.listener.clients, process),
        "ended backend connections": _ended_connections(pool.connections, process),
        "unknown connections": _unknown_connections(gateway, process),
        # Two tasks are expected: the lifecycle, and the watcher while no watch is open.
        "tasks": max(0, len(process.loop.tasks) - 1 - (gateway.watcher.current is None)),
        "heartbeats missed": int(now_ns - parts.gossip.last_tick_ns > MAX_HEARTBEAT_GAP_NS),
        "deadlines": max(0, len(gateway.dispatcher.deadlines) - IDLE_DEADLINES),
    }


def _ended_connections(connections: Collection[Any], process: Process) -> int:
    """Counts the connections that have ended but that the gateway still tracks."""
    return len(connections) - sum(connection.transport in process.connections for connection in connections)


def _unknown_connections(gateway: Gateway, process: Process) -> int:
    """Counts the open connections to backends that the pool doesn't track."""
    known = {connection.transport for connection in gateway.pool.connections}
    return sum(
        endpoint.remote[1] == SERVICE_PORT and endpoint not in known
        for endpoint in process.connections
        if endpoint.local[1] != SERVICE_PORT
    )
