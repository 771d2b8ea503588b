"""Chooses which client connection to close when a new one needs a descriptor."""

from __future__ import annotations

from collections.abc import Collection

from ..limits import Limits
from .connection import ClientConnection


def evict_one(clients: Collection[ClientConnection], now_ns: int, limits: Limits) -> bool:
    """Closes the least useful connection; returns False if none may be closed.

    The order is: connections whose FIN was sent, then those without a command, then those with one command,
    of which clients that connect in masses leave many, and last, after a longer idle time, those with more
    commands; within each group, the one that has been idle longest. Each is kept for a minimum time, as its
    next command or its last answer may be in transit.
    """
    for client in clients:
        if client.has_lingered(now_ns, limits.new_client_grace_ns):
            return client.evict()
    min_idle_ns = (
        limits.new_client_grace_ns,
        limits.new_client_grace_ns,
        limits.evictable_idle_ns,
    )  # by number of commands
    idle = [
        (min(client.command_count, 2), client.idle_since_ns, order, client)
        for order, client in enumerate(clients)
        if now_ns - client.idle_since_ns > min_idle_ns[min(client.command_count, 2)] and client.is_idle
    ]
    return any(client.evict() for *_, client in sorted(idle))
