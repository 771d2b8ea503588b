"""A mass failure, many backends gone at once as with a zone: how long one gateway takes beside its load.

Each change is a message of its own, written at once. The gateway has read all of them when the system holds
no unread byte of its watch any more (/proc/net/tcp); two PINGs behind that prove that they are in force.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from pathlib import Path
from typing import Final

from .emulators import Discovery, Tenant, WatchConnection
from .load import Clients, UnreachableError

LOOK_S: Final = 0.005
PATIENCE_S: Final = 600.0


def unread_bytes(port: int) -> int:
    """What the system holds for the owner of that local TCP port, who has not read it yet; 0 without one."""
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].rpartition(":")[2], 16) == port and fields[3] == "01":  # established
            return int(fields[4].rpartition(":")[2], 16)
    return 0


def _is_read(watch: WatchConnection) -> bool:
    transport = watch.transport
    return not transport.get_write_buffer_size() and not unread_bytes(transport.get_extra_info("peername")[1])


async def _requests(clients: Clients, tenants: list[Tenant], per_s: float, rng: random.Random) -> None:
    """Requests at a steady rate, until it is cancelled; those that are out are waited for then."""
    loop, tasks = asyncio.get_running_loop(), []
    weights, at_s = [tenant.weight for tenant in tenants], loop.time()
    try:
        while True:
            (tenant,) = rng.choices(tenants, weights)
            tasks.append(loop.create_task(clients.request(tenant)))
            at_s += 1 / per_s
            await asyncio.sleep(max(0.0, at_s - loop.time()))
    except asyncio.CancelledError:
        await asyncio.wait(tasks)


async def play(
    discovery: Discovery, clients: Clients, load: Clients, tenants: list[Tenant], count: int, per_s: float
) -> tuple[float, float]:
    """Takes `count` backends of one zone away. Seconds until that is in force, and the share of the requests
    served meanwhile. UnreachableError where the gateway does not come to the end of it."""
    loop = asyncio.get_running_loop()
    requests = loop.create_task(_requests(load, tenants, per_s, random.Random(1)))
    try:
        await asyncio.sleep(1.0)  # of load before the failure
        began_s = loop.time()
        discovery.lose_zone(count)
        while not all(_is_read(watch) for watch in discovery.watches):
            if loop.time() - began_s > PATIENCE_S:
                raise UnreachableError(f"{count} changes were not read within {PATIENCE_S:g} s")
            await asyncio.sleep(LOOK_S)
        while True:
            with contextlib.suppress(UnreachableError):
                done_s = await clients.behind()
                break
            if loop.time() - began_s > PATIENCE_S:
                raise UnreachableError(f"no PING was answered within {PATIENCE_S:g} s of {count} changes")
    finally:
        requests.cancel()
        await requests
    outcomes = load.outcomes
    return done_s - began_s, outcomes.get("served", 0) / max(1, sum(outcomes.values()))
