"""The quota service: totals by name, over HTTP/1.1.

It serves calls one at a time in order of arrival, and answers a queued call however late. It rejects calls
while its queue is full and until `accepts_calls` is set. It accepts at most 32 connections by default and
closes idle ones.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, NamedTuple

from . import codec

MAX_TTL_S: Final = 60.0  # upper limit of a total's lifetime, whatever a call requests (PROTOCOL)
MAX_AMOUNT: Final = 1e9  # of one call, positive or negative (PROTOCOL)
MAX_NAME_LENGTH: Final = 64  # characters (PROTOCOL)
PATH_PREFIX: Final = "/v1/count/"
REASONS: Final = {200: b"OK", 400: b"Bad Request", 503: b"Service Unavailable"}


class Total(NamedTuple):
    """The sum of the amounts added under one name, and when it expires."""

    amount: float
    expires_s: float


class Addition(NamedTuple):
    """A call that adds an amount to the total of a name; a new total expires after `ttl_s`."""

    name: str
    amount: float
    ttl_s: float


@dataclass(slots=True)
class QuotaServiceCounts:
    """Counts of the calls and connections of one service, by outcome."""

    added: int = 0
    rejected: int = 0
    malformed: int = 0
    reset: int = 0
    corrupt: int = 0


class QuotaService:
    """The service, with its totals and its queue of calls."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        calls_per_s: float = 1500.0,
        call_latency_s: float = 0.001,
        queue_capacity: int = 64,
        max_connections: int = 32,
        idle_timeout_s: float = 10.0,
    ) -> None:
        """Creates a service that does not listen yet.

        The first call in an empty queue is served after `call_latency_s`, the next ones at `calls_per_s`.
        """
        self.loop = loop
        self.calls_per_s = calls_per_s
        self.call_latency_s = call_latency_s
        self.queue_capacity = queue_capacity
        self.max_connections = max_connections
        self.idle_timeout_s = idle_timeout_s
        self.accepts_calls = False  # set once the run has started
        # If it returns true, the next answer contains no number.
        self.corrupts_next_answer: Callable[[], bool] = lambda: False
        self.connections: dict[QuotaConnection, None] = {}
        self.counts = QuotaServiceCounts()
        self._totals: dict[str, Total] = {}
        self._queue: deque[tuple[QuotaConnection, Addition]] = deque()
        self._busy = False
        self._server: asyncio.AbstractServer | None = None

    async def start(self, host: str, port: int = 0) -> int:
        """Starts listening and returns the port."""
        self._server = await self.loop.create_server(lambda: QuotaConnection(self), host, port)
        return self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()

    def total(self, name: str) -> float:
        """Returns the total of a name; 0 if there is none or it has expired."""
        total = self._totals.get(name)
        return total.amount if total is not None and self.loop.time() < total.expires_s else 0.0

    def add(self, addition: Addition) -> float:
        """Adds to a total and returns the new total."""
        now_s = self.loop.time()
        total = self._totals.get(addition.name)
        if total is None or now_s >= total.expires_s:
            total = Total(0.0, now_s + min(MAX_TTL_S, addition.ttl_s))
        self._totals[addition.name] = Total(total.amount + addition.amount, total.expires_s)
        self.counts.added += 1
        return total.amount + addition.amount

    def receive_call(self, connection: QuotaConnection, addition: Addition) -> bool:
        """Queues a call; returns False if it is rejected, in which case nothing is added."""
        if not self.accepts_calls or len(self._queue) >= self.queue_capacity:
            self.counts.rejected += 1
            return False
        self._queue.append((connection, addition))
        if not self._busy:
            self._busy = True
            self.loop.call_later(self.call_latency_s, self._serve)
        return True

    def _serve(self) -> None:
        connection, addition = self._queue.popleft()
        total = self.add(addition)
        if self.corrupts_next_answer():
            self.counts.corrupt += 1
            connection.answer(200, b"?")
        else:
            connection.answer(200, b"%.7g" % total)
        self._busy = bool(self._queue)
        if self._busy:
            self.loop.call_later(1 / self.calls_per_s, self._serve)


class QuotaConnection(asyncio.Protocol):
    """One connection; calls may be pipelined and are answered in order."""

    def __init__(self, service: QuotaService) -> None:
        """Creates the protocol of a connection to `service`."""
        self.service = service
        self.transport: asyncio.Transport | None = None
        self._buffer = b""
        self._answer_slots: deque[list[bytes]] = deque()  # a slot per call; empty until the call is answered
        self._queued_slots: deque[list[bytes]] = deque()  # slots of the calls that the service has queued
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers with the service, or resets the connection if the service has its maximum of them."""
        self.transport = transport  # type: ignore[assignment]
        if len(self.service.connections) >= self.service.max_connections:
            self.service.counts.reset += 1
            transport.abort()  # type: ignore[attr-defined]
            return
        self.service.connections[self] = None
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregisters from the service."""
        self.service.connections.pop(self, None)
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_timer = self.service.loop.call_later(self.service.idle_timeout_s, self.transport.close)

    def data_received(self, data: bytes) -> None:
        """Handles the calls that the data completes."""
        self._buffer += data
        self._restart_idle_timer()
        while True:
            head, end, remainder = self._buffer.partition(b"\r\n\r\n")
            if not end:
                return
            self._buffer = remainder
            self._handle(head)

    def _handle(self, head: bytes) -> None:
        slot: list[bytes] = []
        self._answer_slots.append(slot)
        try:
            addition = _parse_addition(head)
        except ValueError:
            self.service.counts.malformed += 1
            slot.append(_http_response(400, b""))
            self._flush()
            return
        if self.service.receive_call(self, addition):
            self._queued_slots.append(slot)
        else:
            slot.append(_http_response(503, b""))
            self._flush()

    def answer(self, status: int, body: bytes) -> None:
        """Answers the oldest queued call of this connection."""
        self._queued_slots.popleft().append(_http_response(status, body))
        self._flush()

    def _flush(self) -> None:
        while self._answer_slots and self._answer_slots[0]:
            data = self._answer_slots.popleft()[0]
            if not self.transport.is_closing():
                self.transport.write(data)


def _parse_addition(head: bytes) -> Addition:
    """Parses the call in a request's head; raises ValueError if it is invalid."""
    method, path, query = codec.parse_request_head(head)
    name = path.removeprefix(PATH_PREFIX)
    if method != "POST" or name == path or not 1 <= len(name) <= MAX_NAME_LENGTH:
        raise codec.ProtocolError("method, path or name of the call is invalid")
    amount, ttl_ms = float(query.get("add", "")), int(query.get("ttl_ms", ""))
    if not abs(amount) <= MAX_AMOUNT or ttl_ms < 1:
        raise codec.ProtocolError("add or ttl_ms is out of range")
    return Addition(name, amount, ttl_ms / 1000)


def _http_response(status: int, body: bytes) -> bytes:
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n\r\n%b" % (status, REASONS[status], len(body), body)
