"""Probes by which a scale run learns which change a gateway has in force."""

from __future__ import annotations

import asyncio
import contextlib
import time

from . import load
from .members import Member
from .surroundings import DayDiscovery
from .verdicts import Incarnation, Seen


class InForceProbes:
    """Asks gateways by PING where the count of lines in their logs can't tell what is in force.

    That is so once a gateway has opened a second watch: lines of the first may have been lost. At most one
    probe of a gateway is under way at a time."""

    def __init__(self, discovery: DayDiscovery) -> None:
        """`discovery`: the one that all gateways watch."""
        self._discovery = discovery
        self._tasks: dict[int, asyncio.Task] = {}  # by gateway

    def needed(self, member: Member) -> bool:
        """The gateway has opened a second watch."""
        return self._discovery.watches_opened[member.number] > 1

    def start(self, member: Member) -> None:
        """Begins a probe, unless one is under way or the gateway is down."""
        index = self._discovery.passed_on(member.number)
        incarnation = member.incarnation
        if index is None or incarnation is None or member.number in self._tasks:
            return
        task = asyncio.get_running_loop().create_task(_probe(member, incarnation, index))
        self._tasks[member.number] = task
        task.add_done_callback(lambda _: self._tasks.pop(member.number))


async def _probe(member: Member, incarnation: Incarnation, index: int) -> None:
    """Once its second PING is answered, a gateway has in force all that was sent to it before the first."""
    clients = load.Clients(*member.listen)
    with contextlib.suppress(load.UnreachableError):
        await clients.behind()
        incarnation.seen.append(Seen(time.time(), index))
    clients.close()
