"""Clients of a measured gateway: requests of its tenants, and PINGs that show what is in force."""

from __future__ import annotations

import asyncio
import random
from collections import deque

from ..emulators import codec
from .configuration import CLASS, PLAN
from .emulators import Tenant
from .topology import Topology

WAIT_MS = 3000  # a client's deadline
PATIENCE_S = 20.0  # for the answer to a PING


class UnreachableError(OSError):
    """The gateway did not answer in time."""


def tenants_of_gateway(fleet: Topology, count: int, seed: int) -> list[Tenant]:
    """`count` tenants with gateway 0 in their sets, from all ranks: as many of each size of set as a gateway
    of such a fleet has on average."""
    rng, sets = random.Random(f"tenants {seed}"), fleet.tenant_sets()
    step = sum(sets) / count
    found, reached, due = [], 0.0, step / 2
    for rank, spread in enumerate(sets, 1):
        reached += spread
        while reached >= due:
            first = -rng.randrange(spread) % fleet.gateways
            weight = 1 / rank**fleet.tenants.zipf / spread
            found.append(Tenant(rng.getrandbits(33), spread, first, weight))
            due += step
    return found[:count]


class Connection(asyncio.Protocol):
    """One connection of a client: what is asked is answered in order."""

    def __init__(self) -> None:
        """Nothing is sent before the connection is made."""
        self.transport: asyncio.Transport | None = None
        self.pending: deque[asyncio.Future[object]] = deque()
        self.closed = False
        self._replies = codec.ReplyParser()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = transport  # type: ignore[assignment]

    def ask(self, command: bytes) -> asyncio.Future[object]:
        """The reply to come; ConnectionError where the connection ends before it."""
        reply = asyncio.get_running_loop().create_future()
        self.pending.append(reply)
        self.transport.write(command)
        return reply

    def data_received(self, data: bytes) -> None:
        """Hands each reply to the command that waits longest."""
        for reply in self._replies.feed(data):
            future = self.pending.popleft()
            if not future.done():
                future.set_result(reply)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the commands that still wait."""
        self.closed = True
        for future in self.pending:
            if not future.done():
                future.set_exception(ConnectionResetError("the gateway closed the connection"))


class Clients:
    """A pool of connections to one gateway."""

    def __init__(self, host: str, port: int) -> None:
        """Connects when the first command is sent."""
        self.host, self.port = host, port
        self.outcomes: dict[str, int] = {}  # of requests: served, denied, failed
        self._idle: list[Connection] = []
        self._number = 0

    async def _connection(self) -> Connection:
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed:
                return connection
        loop = asyncio.get_running_loop()
        return (await loop.create_connection(Connection, self.host, self.port))[1]

    async def command(self, *arguments: bytes) -> object:
        """One command on a connection that is free. OSError where there is none, or it ends."""
        connection = await self._connection()
        reply = await connection.ask(codec.encode_command(*arguments))
        self._idle.append(connection)
        return reply

    async def ready(self, within_s: float) -> float:
        """Waits until PING is answered with PONG; the loop's time then. UnreachableError."""
        loop = asyncio.get_running_loop()
        until = loop.time() + within_s
        while loop.time() < until:
            try:
                if await asyncio.wait_for(self.command(b"PING"), 2.0) == "+PONG":
                    return loop.time()
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.01)
        raise UnreachableError(f"{self.host}:{self.port} was not ready within {within_s:g} s")

    async def behind(self) -> float:
        """Returns once the gateway has in force all that was sent to it before this call: the loop's time.

        The second of two PINGs is read in a later turn of its loop than the one that read what came before
        the first. UnreachableError where it does not answer."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(PATIENCE_S):
                for _ in range(2):
                    await self.command(b"PING")
        except (OSError, TimeoutError):
            raise UnreachableError(f"{self.host}:{self.port} answers no PING") from None
        return loop.time()

    async def request(self, tenant: Tenant) -> None:
        """One request of that tenant, counted by its outcome."""
        self._number += 1
        fields = f"c={CLASS},t={PLAN},d={WAIT_MS},units=1,spread={tenant.spread},first={tenant.first}"
        arguments = b"CALL.GET", b"%016x" % tenant.key, b"%016x" % self._number, fields.encode()
        try:
            async with asyncio.timeout(2 * WAIT_MS / 1000):
                reply = await self.command(*arguments)
        except (OSError, TimeoutError):
            outcome = "failed"
        else:
            first = reply[0] if isinstance(reply, list) and reply else reply
            denied = isinstance(first, str) and first.startswith("-BUSY")
            outcome = "served" if isinstance(first, bytes) else "denied" if denied else "failed"
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1

    def close(self) -> None:
        """Closes the idle connections."""
        for connection in self._idle:
            connection.transport.abort()
        self._idle.clear()
