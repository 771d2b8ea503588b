"""The quota service's client: counter calls over HTTP/1.1, pipelined on a few connections.

A call is made once. Where its answer does not come within 50 ms, or brings no number, the amount may have
been added, or may yet be: the caller gets no total, and nothing is sent again. An answer that comes later is
read and dropped, so that the answers behind it keep their order. Nothing is decided here.
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

MAX_NAME_BYTES: Final = 64  # the service refuses longer names
MAX_AMOUNT: Final = 1e9  # and larger amounts
LOGGED_BODY_BYTES: Final = 40  # of an answer that is not a number
UNAVAILABLE_STATUSES: Final = (400, 404, 503)  # the service refuses the call; the connection is sound

OnAnswer = Callable[[int, float | None], None]


class MalformedCallError(ValueError):
    """The service takes no call with this name, amount or lifetime."""

    def __init__(self, name: str, amount: float, ttl_ms: int) -> None:
        """Takes the call's amount in units and its counter's lifetime in milliseconds."""
        super().__init__(f"no such call: {name[:70]!r} {amount} {ttl_ms}")


class PendingCall:
    """One call; `on_answer(now, total)` is called once, with None where there is no total."""

    __slots__ = ("request", "on_answer", "created_ns", "deadline", "ended")

    def __init__(self, request: bytes, on_answer: OnAnswer, created_ns: int) -> None:
        """Takes the request as it is written, and the time at which the call was made."""
        self.request = request
        self.on_answer = on_answer
        self.created_ns = created_ns
        self.deadline: DeadlineKey | None = None
        self.ended = False


class QuotaServiceConnection(asyncio.BufferedProtocol):
    """One connection to the quota service, with the calls on it that have no answer yet."""

    __slots__ = ("client", "address", "transport", "calls", "idle_since_ns", "_responses")

    def __init__(self, client: QuotaServiceClient, address: Address) -> None:
        """Takes the client whose calls it carries, and the address that it is made to."""
        self.client = client
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.calls: deque[PendingCall] = deque()  # written and not answered, in their order
        self.idle_since_ns = 0
        self._responses = http.PipelinedResponses(client.dispatcher.limits)

    @property
    def usable(self) -> bool:
        """Whether calls may be written to it: it is to the present address, and not being closed."""
        return self.address == self.client.address and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio when the connection is up."""
        self.transport = transport  # type: ignore[assignment]
        self.idle_since_ns = self.client.dispatcher.now_ns()
        self.client.on_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Called by asyncio: the buffer that all connections share."""
        return self.client.buffer

    def buffer_updated(self, size: int) -> None:
        """Called by asyncio: hands answers to their calls; a malformed one ends the connection."""
        dispatcher = self.client.dispatcher
        try:
            for status, body in self._responses.feed(bytes(self.client.buffer[:size])):
                self._handle_response(status, body)
        except http.HttpError as err:
            dispatcher.log.line_limited("quota_service", f"answer of {self.address} malformed: {err}")
            self.transport.abort()
            return
        self.idle_since_ns = dispatcher.now_ns()
        dispatcher.schedule_flush(self.client)

    def _handle_response(self, status: int, body: bytes) -> None:
        if not self.calls:
            raise http.HttpError("an answer to nothing")
        if not self.client.on_response(self.calls.popleft(), status, body):
            raise http.HttpError(f"no number: {body[:LOGGED_BODY_BYTES]!r}")

    def eof_received(self) -> None:
        """Called by asyncio: the service has ended its sending, so the connection is closed."""
        return None

    def connection_lost(self, err: Exception | None) -> None:
        """Called by asyncio when the connection is closed."""
        self.client.on_disconnected(self)


class QuotaServiceClient:
    """All calls to the quota service, wherever it is found at present."""

    def __init__(self, dispatcher: Dispatcher, address: Address, buffer: memoryview) -> None:
        """Takes the service's address, and the buffer that all connections read into."""
        self.dispatcher = dispatcher
        self.address = address
        self.buffer = buffer
        self.connections: dict[QuotaServiceConnection, None] = {}
        self.waiting: deque[PendingCall] = deque()  # for a connection
        self._connecting = 0
        self._tasks: dict[asyncio.Task, None] = {}
        self._no_connect_before_ns = 0  # after a connect that failed
        run_every(dispatcher, dispatcher.limits.connection_check_interval_ns, self._check_connections)

    def call(self, name: str, amount: float, ttl_ms: int, on_answer: OnAnswer) -> None:
        """Adds the amount to the counter `name`, which lives for `ttl_ms`.

        Raises MalformedCallError where the service takes no such call.
        """
        named = 1 <= len(name) <= MAX_NAME_BYTES and name.isascii()
        if not named or not math.isfinite(amount) or abs(amount) > MAX_AMOUNT or ttl_ms < 1:
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
        """The service is found elsewhere from now on.

        What was written to the old address may still be answered.
        """
        if address != self.address:
            self.address = address
            self._no_connect_before_ns = 0
            self.dispatcher.schedule_flush(self)

    # ---- writing, once a batch of the dispatcher

    def flush(self) -> None:
        """Writes waiting calls, spread over the connections; opens another where these are busy."""
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
        for connection, written in requests.items():
            connection.transport.write(b"".join(written))

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
        """A connection is up: waiting calls may be written to it."""
        self.connections[connection] = None
        self.dispatcher.schedule_flush(self)

    def on_disconnected(self, connection: QuotaServiceConnection) -> None:
        """A connection is closed: the amounts of its calls may have been added."""
        self.connections.pop(connection, None)
        calls, connection.calls = connection.calls, deque()
        for call in calls:
            self._finish(call, None)
        self.dispatcher.schedule_flush(self)

    def on_response(self, call: PendingCall, status: int, body: bytes) -> bool:
        """Ends a call with its answer.

        Returns False where the answer brings neither a number nor a refusal: its connection is of no further
        use.
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
        """Tells the caller the total, once."""
        if call.ended:
            return
        call.ended = True
        self.dispatcher.deadlines.cancel(call.deadline)
        if total is None:
            self.dispatcher.counters.quota_service_unanswered += 1
        call.on_answer(self.dispatcher.now_ns(), total)

    def _check_connections(self) -> None:
        """Closes connections that are idle, to an old address, or stuck behind a missing answer."""
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
