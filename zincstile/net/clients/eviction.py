"""Chooses the client connection that is closed where a new one needs its descriptor."""

from __future__ import annotations

from collections.abc import Collection

from ..limits import Limits
from .connection import ClientConnection


def evict_one(clients: Collection[ClientConnection], now_ns: int, limits: Limits) -> bool:
    """Closes the connection that is missed least; False where none may be closed.

    First come those whose end was sent, then those that never had a command, then those with a single one,
    which crowds of clients leave behind, and at last, after a longer time, those used again and again; of
    each, the one that has been idle longest. Each is spared for a while: its next command may be on its way,
    or its last answer.
    """
    for client in clients:
        if client.may_be_dropped(now_ns, limits.new_client_grace_ns):
            return client.evict()
    least_idle_ns = (
        limits.new_client_grace_ns,
        limits.new_client_grace_ns,
        limits.evictable_idle_ns,
    )  # by commands so far
    idle = [
        (min(client.commands, 2), client.idle_since_ns, order, client)
        for order, client in enumerate(clients)
        if now_ns - client.idle_since_ns > least_idle_ns[min(client.commands, 2)] and client.is_idle
    ]
    return any(client.evict() for *_, client in sorted(idle))
