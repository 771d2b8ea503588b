"""Clients behind their load balancer: the choice of the gateway, timeouts and retries.

The load balancer spreads a customer's requests over the customer's set of gateways, treats a gateway as
healthy once it answers PING, and detects a dead gateway only after some seconds. Connections are shared by
customers and kept open; a new one is opened when all are busy. A client may retry a rejected or failed
request under a new id.
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

# Knuth's multiplicative hash constant: consecutive numbers get ids that are far apart.
ID_MULTIPLIER: Final = 2654435761
CONNECT_TIMEOUT_S: Final = 1.0
PING_INTERVAL_S: Final = 0.1  # between health checks of a gateway that is down


class ClientLoadBalancer:
    """All clients, and the load balancer that chooses a gateway for each of their requests.

    `weigh_gateways` returns the current weight of each gateway of a customer's set. `was_read` returns
    whether a gateway had read a request before it closed the connection.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        observer: Observer,
        gateways: dict[str, tuple[str, int]],
        failure_detection_s: tuple[float, float] = (1.1, 3.7),
    ) -> None:
        """Creates a load balancer of gateways, given by name with host and port; none is healthy yet.

        `failure_detection_s`: minimum and maximum time until a gateway that refuses connections is
        considered down.
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
        self.latencies_s: list[float] = []  # of served requests
        # Gateways that refused a connection and are not yet considered down.
        self._suspected: dict[str, None] = {}
        self._requests_made = 0
        self._connections_made = 0
        self._tasks: dict[asyncio.Task, None] = {}

    def close(self) -> None:
        """Cancels all connection attempts and resets all connections."""
        for task in list(self._tasks):
            task.cancel()
        for connections in self.connections.values():
            for connection in list(connections):
                connection.transport.abort()

    # ---- gateways

    def watch_gateways(self, names: list[str] | None = None) -> None:
        """Starts health checks of the named gateways, or of all if `names` is None."""
        for name in self.names if names is None else names:
            self._spawn(self._check_until_healthy(name))

    def _spawn(self, coroutine: Coroutine) -> None:
        task = self.loop.create_task(coroutine)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    async def _check_until_healthy(self, name: str) -> None:
        """Sends PING until the gateway answers +PONG, then marks it healthy."""
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
        """Records a failed connection to a healthy gateway, which is marked down after the detection time.

        Until then it still receives requests.
        """
        if self.healthy[name] and name not in self._suspected:
            self._suspected[name] = None
            self.loop.call_later(self.rng.uniform(*self.failure_detection_s), self._mark_down, name)

    def _mark_down(self, name: str) -> None:
        self._suspected.pop(name, None)
        self.healthy[name] = False
        self._spawn(self._check_until_healthy(name))

    # ---- requests

    def send(self, planned: PlannedRequest) -> None:
        """Sends a request now to a gateway of its customer's set; retries are scheduled automatically."""
        names = [
            self.names[(planned.first_gateway + offset) % len(self.names)]
            for offset in range(planned.gateway_count)
        ]
        candidates = [name for name in names if self.healthy[name]] or names
        weights = self.weigh_gateways(planned, candidates)
        chosen = self.rng.choices(candidates, weights)[0] if sum(weights) > 0 else candidates[0]
        self._dispatch(self._make_request(planned, chosen))

    def send_on_connection(self, connection: ClientConnection, planned: PlannedRequest) -> None:
        """Sends a request on the given connection if it is usable; otherwise does nothing."""
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
        """Sends a request on a busy connection if it is pipelined, else on an idle or a new one."""
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
        """Records the outcome of a request and schedules its client's retry."""
        planned = request.planned
        self.in_flight -= 1
        self.outcomes[planned.plan, outcome] = self.outcomes.get((planned.plan, outcome), 0) + 1
        if outcome is Outcome.SERVED:
            self.latencies_s.append(self.loop.time() - request.started_s)
        elif planned.retries > 0 and outcome is not Outcome.DISCONNECTED:
            follows_retry_after = retry_after_ms and planned.respects_retry_after
            wait_s = retry_after_ms / 1000 if follows_retry_after else planned.retry_delay_s
            retry = replace(planned, retries=planned.retries - 1, disconnect_after_s=0.0)
            self.retries_waiting += 1
            self.loop.call_later(wait_s, self._retry, retry)

    def _retry(self, planned: PlannedRequest) -> None:
        self.retries_waiting -= 1
        self.send(planned)

    # ---- connections (`client_connection.ConnectionOwner`)

    def connection_opened(self, connection: ClientConnection) -> None:
        """Registers an established connection."""
        self.connections[connection.gateway][connection] = None

    def connection_idle(self, connection: ClientConnection) -> None:
        """Keeps a connection for the next request."""
        self.idle_connections[connection.gateway].append(connection)

    def connection_closed(self, connection: ClientConnection, pending: Iterable[Request]) -> None:
        """Removes a connection. Requests that the gateway had read are lost; others are sent once more."""
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
            self._spawn(self._send_on_new_connection(request))  # an idle connection may be closing too

    def next_connection_number(self) -> int:
        """Returns a number that no other connection has, starting at 1."""
        self._connections_made += 1
        return self._connections_made


def _weigh_evenly(planned: PlannedRequest, names: list[str]) -> list[float]:
    return [1.0] * len(names)
