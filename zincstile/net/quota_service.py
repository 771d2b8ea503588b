"""Client of the quota service: counter calls over HTTP/1.1, pipelined on a few connections.

A call is sent at most once. If no answer arrives within 50 ms, or the answer is not a number, the amount may
have been added or may still be added: the caller gets no total, and the call is not retried. A late answer is
read and discarded, so that the following answers match their calls. The client makes no decisions.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
from typing import Final

from . import http
from .config import Address
from .deadlines import DeadlineKey, run_every
from .dispatcher import Dispatcher

MAX_NAME_BYTES: Final = 64  # the service rejects longer names
MAX_AMOUNT: Final = 1e9  # and larger amounts
LOGGED_BODY_BYTES: Final = 40  # logged part of an answer that is not a number
UNAVAILABLE_STATUSES: Final = (400, 404, 503)  # the call was rejected; the connection is usable

OnAnswer = Callable[[int, float | None], None]


class MalformedCallError(ValueError):
    """The name, amount or lifetime of a call is invalid."""

    def __init__(self, name: str, amount: float, ttl_ms: int) -> None:
        """`amount` in units; `ttl_ms`: lifetime of the counter."""
        super().__init__(f"invalid quota service call: name={name[:70]!r}, amount={amount}, ttl_ms={ttl_ms}")


class PendingCall:
    """One call; `on_answer(now, total)` is called once, with a total of None if the call failed."""

    __slots__ = ("request", "on_answer", "created_ns", "deadline", "ended")

    def __init__(self, request: bytes, on_answer: OnAnswer, created_ns: int) -> None:
        """`request`: the encoded request."""
        self.request = request
        self.on_answer = on_answer
        self.created_ns = created_ns
        self.deadline: DeadlineKey | None = None
        self.ended = False


class QuotaServiceConnection(asyncio.BufferedProtocol):
    """One connection to the quota service, and its unanswered calls."""

    __slots__ = ("client", "address", "transport", "calls", "idle_since_ns", "_responses")

    def __init__(self, client: QuotaServiceClient, address: Address) -> None:
        """Creates a connection of `client` to `address`."""
        self.client = client
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.calls: deque[PendingCall] = deque()  # unanswered calls, in order
        self.idle_since_ns = 0
        self._responses = http.PipelinedResponses(client.dispatcher.limits)

    @property
    def usable(self) -> bool:
        """Whether calls can be written: it is not closing, and goes to the current address."""
        return self.address == self.client.address and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the connection is open."""
        self.transport = transport  # type: ignore[assignment]
        self.idle_since_ns = self.client.dispatcher.now_ns()
        self.client.on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Called by asyncio for the buffer, which all connections share."""
        return self.client.buffer

    def buffer_updated(self, size: int) -> None:
        """Called by asyncio when data was read: assigns answers to their calls; closes on a malformed one."""
        dispatcher = self.client.dispatcher
        try:
            for status, body in self._responses.feed(bytes(self.client.buffer[:size])):
                self._handle_response(status, body)
        except http.HttpError as err:
            dispatcher.log.line_limited("quota_service", f"answer from {self.address} is malformed: {err}")
            self.transport.abort()
            return
        self.idle_since_ns = dispatcher.now_ns()
        dispatcher.schedule_flush(self.client)

    def _handle_response(self, status: int, body: bytes) -> None:
        if not self.calls:
            raise http.HttpError("response without a pending call")
        if not self.client.on_response(self.calls.popleft(), status, body):
            raise http.HttpError(f"total is not a number: {body[:LOGGED_BODY_BYTES]!r}")

    def eof_received(self) -> None:
        """Called by asyncio at end-of-file; returning None closes the connection."""
        return None

    def connection_lost(self, err: Exception | None) -> None:
        """Called by asyncio when the connection is closed."""
        self.client.on_disconnected(self)


class QuotaServiceClient:
    """Makes calls to the quota service, whose address may change."""

    def __init__(self, dispatcher: Dispatcher, address: Address, buffer: memoryview) -> None:
        """`buffer` is shared by all connections."""
        self.dispatcher = dispatcher
        self.address = address
        self.buffer = buffer
        self.connections: dict[QuotaServiceConnection, None] = {}
        self.waiting: deque[PendingCall] = deque()  # calls not written yet
        self._connecting = 0
        self._tasks: dict[asyncio.Task, None] = {}
        self._no_connect_before_ns = 0  # backoff after a failed connect
        run_every(dispatcher, dispatcher.limits.connection_check_interval_ns, self._check_connections)

    def call(self, name: str, amount: float, ttl_ms: int, on_answer: OnAnswer) -> None:
        """Adds `amount` to the counter `name`, which expires after `ttl_ms`.

        Raises MalformedCallError if the service would reject the arguments.
        """
        valid_name = 1 <= len(name) <= MAX_NAME_BYTES and name.isascii()
        if not valid_name or not math.isfinite(amount) or abs(amount) > MAX_AMOUNT or ttl_ms < 1:
            raise MalformedCallError(name, amount, ttl_ms)
        dispatcher, now = self.dispatcher, self.dispatcher.now_ns()
        host = "{}:{}".format(*self.address)
        request = http.post(host, f"/v1/count/{name}?add={amount:.9g}&ttl_ms={ttl_ms}")
        call = PendingCall(request, on_answer, now)
        dispatcher.counters.quota_service_calls += 1
        if len(self.waiting) >= dispatcher.limits.quota_service_waiting:
            dispatcher.counters.quota_service_overflow += 1
            self._finish(call, None)
            return
        timeout_ns = now + dispatcher.limits.quota_service_call_ns
        call.deadline = dispatcher.deadlines.add(timeout_ns, self._on_timeout, call)
        self.waiting.append(call)
        dispatcher.schedule_flush(self)

    def move(self, address: Address) -> None:
        """Changes the address of the service.

        Calls that were written to the old address may still be answered.
        """
        if address != self.address:
            self.address = address
            self._no_connect_before_ns = 0
            self.dispatcher.schedule_flush(self)

    # ---- writing, once per batch of the dispatcher

    def flush(self) -> None:
        """Writes waiting calls, least loaded connection first; opens another connection if calls are left."""
        waiting = self.waiting
        while waiting and waiting[0].ended:
            waiting.popleft()
        if not waiting:
            return
        usable = [connection for connection in self.connections if connection.usable]
        self._write_waiting(usable)
        if waiting and len(usable) + self._connecting < self.dispatcher.limits.quota_service_connections:
            self._open_connection()

    def _write_waiting(self, connections: list[QuotaServiceConnection]) -> None:
        requests: dict[QuotaServiceConnection, list[bytes]] = {}
        for connection in sorted(connections, key=lambda c: len(c.calls)):
            while self.waiting and len(connection.calls) < self.dispatcher.limits.quota_service_pipelined:
                call = self.waiting.popleft()
                if not call.ended:
                    connection.calls.append(call)
                    requests.setdefault(connection, []).append(call.request)
        for connection, encoded in requests.items():
            connection.transport.write(b"".join(encoded))

    def _open_connection(self) -> None:
        if self._connecting or self.dispatcher.now_ns() < self._no_connect_before_ns:
            return
        self._connecting += 1
        task = self.dispatcher.loop.create_task(self._connect(self.address))
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    async def _connect(self, address: Address) -> None:
        dispatcher = self.dispatcher
        try:
            async with asyncio.timeout(dispatcher.limits.connect_ns / 1e9):
                await dispatcher.loop.create_connection(
                    lambda: QuotaServiceConnection(self, address), *address
                )
        except (OSError, TimeoutError) as err:
            reason = err or type(err).__name__
            dispatcher.log.line_limited("quota_service", f"can't connect to {address}: {reason}")
            self._no_connect_before_ns = dispatcher.now_ns() + dispatcher.limits.backoff_ns
            dispatcher.deadlines.add(self._no_connect_before_ns, self._retry_connect)
            dispatcher.wake()
        finally:
            self._connecting -= 1

    def _retry_connect(self, _: object) -> None:
        self.dispatcher.schedule_flush(self)

    # ---- called by connections

    def on_connected(self, connection: QuotaServiceConnection) -> None:
        """Called when a connection is open: waiting calls can be written."""
        self.connections[connection] = None
        self.dispatcher.schedule_flush(self)

    def on_disconnected(self, connection: QuotaServiceConnection) -> None:
        """Called when a connection has closed: fails its calls, whose amounts may have been added."""
        self.connections.pop(connection, None)
        calls, connection.calls = connection.calls, deque()
        for call in calls:
            self._finish(call, None)
        self.dispatcher.schedule_flush(self)

    def on_response(self, call: PendingCall, status: int, body: bytes) -> bool:
        """Ends a call with its response.

        Returns False if the response is neither a number nor a rejection: its connection is then unusable.
        """
        if status in UNAVAILABLE_STATUSES:
            self._finish(call, None)
            return True
        try:
            total = float(body) if status == 200 else math.nan
        except ValueError:
            total = math.nan
        self._finish(call, total if math.isfinite(total) else None)
        return math.isfinite(total)

    # ---- ends of calls and connections

    def _on_timeout(self, call: PendingCall) -> None:
        call.deadline = None
        self._finish(call, None)

    def _finish(self, call: PendingCall, total: float | None) -> None:
        """Passes the total to the caller, once."""
        if call.ended:
            return
        call.ended = True
        self.dispatcher.deadlines.cancel(call.deadline)
        if total is None:
            self.dispatcher.counters.quota_service_unanswered += 1
        call.on_answer(self.dispatcher.now_ns(), total)

    def _check_connections(self) -> None:
        """Closes connections that are idle, go to an old address, or are blocked by a missing answer."""
        now, limits = self.dispatcher.now_ns(), self.dispatcher.limits
        for connection in list(self.connections):
            if connection.calls:
                waited_ns = now - connection.calls[0].created_ns
                if waited_ns > limits.quota_service_call_ns + limits.quota_service_stall_ns:
                    connection.transport.abort()
                continue
            idle_ns = now - connection.idle_since_ns
            if idle_ns > limits.quota_service_idle_ns or connection.address != self.address:
                connection.transport.close()
