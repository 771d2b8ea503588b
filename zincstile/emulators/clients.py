"""Clients behind their load balancer: which gateway they ask, how long they wait, and when they retry.

The load balancer spreads a customer's requests over the gateways of its set, admits a gateway once it answers
PING, and detects one that has died only after some seconds. Connections carry requests of many customers, are
kept, and more are opened when each of them is busy. A client that is rejected or failed may retry under a new
id.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import replace
from typing import Final

from .client_connection import ClientConnection
from .client_requests import Outcome, PlannedRequest, Request
from .observer import ClientRequest, Observer

ID_MULTIPLIER: Final = 2654435761  # Knuth's: neighbouring numbers get ids that are far apart
CONNECT_TIMEOUT_S: Final = 1.0
PING_INTERVAL_S: Final = 0.1  # between two attempts to reach a gateway that is down


class ClientLoadBalancer:
    """All clients, and which gateway each of their requests goes to.

    `weigh_gateways` gives the weight of each gateway of a customer's set at present. `was_read` says whether
    a gateway had read a request before it closed the connection.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        observer: Observer,
        gateways: dict[str, tuple[str, int]],
        failure_detection_s: tuple[float, float] = (1.1, 3.7),
    ) -> None:
        """Know the gateways by name with host and port, and reach none of them yet.

        `failure_detection_s`: the shortest and longest time until one that refuses connections is known to be
        down.
        """
        self.loop = loop
        self.rng = rng
        self.observer = observer
        self.addresses = gateways
        self.names = list(gateways)
        self.failure_detection_s = failure_detection_s
        self.weigh_gateways: Callable[[PlannedRequest, list[str]], list[float]] = _weigh_evenly
        self.was_read: Callable[[asyncio.BaseTransport, Request], bool] = lambda transport, request: False
        self.healthy = dict.fromkeys(gateways, False)
        self.first_healthy_s: dict[str, float] = {}  # on the loop's clock
        self.connections: dict[str, dict[ClientConnection, None]] = {name: {} for name in gateways}
        self.idle_connections: dict[str, list[ClientConnection]] = {name: [] for name in gateways}
        self.requests_sent = 0
        self.in_flight = 0
        self.retries_waiting = 0
        self.outcomes: dict[tuple[str, Outcome], int] = {}  # by plan
        self.latencies_s: list[float] = []  # of what was served
        self._suspected: dict[str, None] = {}  # refuse connections, and are not yet known to be down
        self._requests_made = 0
        self._connections_made = 0
        self._tasks: dict[asyncio.Task, None] = {}

    def close(self) -> None:
        """End all attempts to connect, and reset all connections."""
        for task in list(self._tasks):
            task.cancel()
        for connections in self.connections.values():
            for connection in list(connections):
                connection.transport.abort()

    # ---- gateways

    def watch_gateways(self, names: list[str] | None = None) -> None:
        """Begin to look which gateways answer; None: all of them."""
        for name in self.names if names is None else names:
            self._spawn(self._admit(name))

    def _spawn(self, coroutine: Coroutine) -> None:
        task = self.loop.create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    async def _admit(self, name: str) -> None:
        """Send PING until the gateway answers +PONG."""
        while not await self._answers_ping(name):
            await self._sleep(PING_INTERVAL_S)
        self.healthy[name] = True
        self.first_healthy_s.setdefault(name, self.loop.time())

    async def _answers_ping(self, name: str) -> bool:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await self._open_connection(name)
                pong = self.loop.create_future()
                connection.ping(pong)
                return await pong == "+PONG"
        except (OSError, TimeoutError):
            return False

    async def _open_connection(self, name: str) -> ClientConnection:
        _, connection = await self.loop.create_connection(
            lambda: ClientConnection(self, name), *self.addresses[name]
        )
        return connection

    def _sleep(self, seconds: float) -> asyncio.Future:
        future = self.loop.create_future()
        self.loop.call_later(seconds, lambda: future.done() or future.set_result(None))
        return future

    def _suspect(self, name: str) -> None:
        """Note a refused connection. Only after some seconds is it known that the gateway is down; until
        then, requests go on coming to it."""
        if self.healthy[name] and name not in self._suspected:
            self._suspected[name] = None
            self.loop.call_later(self.rng.uniform(*self.failure_detection_s), self._mark_down, name)

    def _mark_down(self, name: str) -> None:
        self._suspected.pop(name, None)
        self.healthy[name] = False
        self._spawn(self._admit(name))

    # ---- requests

    def send(self, planned: PlannedRequest) -> None:
        """Send a request now to a gateway of its customer's set; its retries follow by themselves."""
        names = [
            self.names[(planned.first_gateway + offset) % len(self.names)]
            for offset in range(planned.gateway_count)
        ]
        candidates = [name for name in names if self.healthy[name]] or names
        weights = self.weigh_gateways(planned, candidates)
        chosen = self.rng.choices(candidates, weights)[0] if sum(weights) > 0 else candidates[0]
        self._dispatch(self._make_request(planned, chosen))

    def send_on_connection(self, connection: ClientConnection, planned: PlannedRequest) -> None:
        """Send a request on this very connection, whatever becomes of it."""
        if connection.usable:
            idle = self.idle_connections[connection.gateway]
            if connection in idle:
                idle.remove(connection)
            connection.send(self._make_request(planned, connection.gateway))

    def _make_request(self, planned: PlannedRequest, gateway: str) -> Request:
        self._requests_made += 1
        sent = ClientRequest(
            id=b"%016x" % (self._requests_made * ID_MULTIPLIER % 2**64),
            request_class=planned.request_class,
            plan=planned.plan,
            customer=b"%016x" % planned.customer,
            units=planned.units,
            key=planned.key,
            timeout_ms=planned.timeout_ms,
            gateway=gateway,
        )
        self.requests_sent += 1
        self.in_flight += 1
        return Request(planned, sent, self.loop.time())

    def _dispatch(self, request: Request) -> None:
        """Send a request behind others, on an idle connection or on a new one."""
        name = request.sent.gateway
        if request.planned.pipelined:
            busy = [c for c in self.connections[name] if c.pending and not c.closed]
            if busy:
                busy[0].send(request)
                return
        while self.idle_connections[name]:
            connection = self.idle_connections[name].pop()
            if not connection.closed:
                connection.send(request)
                return
        self._spawn(self._send_on_new_connection(request))

    async def _send_on_new_connection(self, request: Request) -> None:
        name = request.sent.gateway
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await self._open_connection(name)
        except (OSError, TimeoutError):
            self._suspect(name)
            self.finish(request, Outcome.UNREACHED)
            return
        connection.send(request)

    def finish(self, request: Request, outcome: Outcome, retry_after_ms: int = 0) -> None:
        """Record the outcome of a request, and plan its client's retry."""
        planned = request.planned
        self.in_flight -= 1
        self.outcomes[planned.plan, outcome] = self.outcomes.get((planned.plan, outcome), 0) + 1
        if outcome is Outcome.SERVED:
            self.latencies_s.append(self.loop.time() - request.started_s)
        elif planned.retries > 0 and outcome is not Outcome.DISCONNECTED:
            heeds = retry_after_ms and planned.respects_retry_after
            wait_s = retry_after_ms / 1000 if heeds else planned.retry_delay_s
            retry = replace(planned, retries=planned.retries - 1, disconnect_after_s=0.0)
            self.retries_waiting += 1
            self.loop.call_later(wait_s, self._retry, retry)

    def _retry(self, planned: PlannedRequest) -> None:
        self.retries_waiting -= 1
        self.send(planned)

    # ---- connections (`client_connection.ConnectionOwner`)

    def connection_opened(self, connection: ClientConnection) -> None:
        """Register a connection that is up."""
        self.connections[connection.gateway][connection] = None

    def connection_idle(self, connection: ClientConnection) -> None:
        """Keep a connection for the next request."""
        self.idle_connections[connection.gateway].append(connection)

    def connection_closed(self, connection: ClientConnection, pending: Iterable[Request]) -> None:
        """Forget a connection. What the gateway had read is lost; what it had not is sent once more."""
        self.connections[connection.gateway].pop(connection, None)
        idle = self.idle_connections[connection.gateway]
        if connection in idle:
            idle.remove(connection)
        for request in pending:
            self._settle_unanswered(connection, request)

    def _settle_unanswered(self, connection: ClientConnection, request: Request) -> None:
        if self.was_read(connection.transport, request):
            self.observer.request_dropped(request.sent.id)
            self.finish(request, Outcome.DROPPED)
            return
        self.observer.request_unread(request.sent.id)
        if request.resent:
            self.finish(request, Outcome.UNREACHED)
        else:
            request.resent = True
            self._spawn(self._send_on_new_connection(request))  # an idle one may be closing too

    def next_connection_number(self) -> int:
        """A number that no connection has had, from 1 on."""
        self._connections_made += 1
        return self._connections_made


def _weigh_evenly(planned: PlannedRequest, names: list[str]) -> list[float]:
    return [1.0] * len(names)
