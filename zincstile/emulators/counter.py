"""The count keeper: numbers by name, over HTTP/1.1, one call after another.

It serves calls in turn, turns them away when its line is long, answers however late it gets to them, holds 32
connections, closes those that rest, and turns every call away until it is opened.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from . import wire

MOST_TTL_S = 60.0
MOST = 1e9


class Counter:
    """The numbers, and how fast calls are served."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        per_s: float = 1500.0,
        call_s: float = 0.001,
        places: int = 64,
        connections: int = 32,
        rest_s: float = 10.0,
    ) -> None:
        self.loop, self.per_s, self.call_s, self.places = loop, per_s, call_s, places
        self.connections, self.rest_s = connections, rest_s
        self.open = False  # the run has begun
        self.spoils: Callable[[], bool] = lambda: False  # this answer brings no number
        self.totals: dict[str, tuple[float, float]] = {}  # total, and when it is forgotten
        self.lines: dict[Line, None] = {}
        self.calls: deque[tuple[Line, str, float, float]] = deque()
        self.counts = {"added": 0, "full": 0, "malformed": 0, "reset": 0, "spoilt": 0}
        self._busy = False
        self._server: asyncio.AbstractServer | None = None

    async def start(self, host: str, port: int = 0) -> int:
        self._server = await self.loop.create_server(lambda: Line(self), host, port)
        return self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    def total(self, name: str) -> float:
        """0 where there is none, or it is forgotten."""
        total, until = self.totals.get(name, (0.0, 0.0))
        return total if self.loop.time() < until else 0.0

    def add(self, name: str, amount: float, ttl_s: float) -> float:
        now = self.loop.time()
        total, until = self.totals.get(name, (0.0, 0.0))
        if now >= until:
            total, until = 0.0, now + min(MOST_TTL_S, ttl_s)
        self.totals[name] = total + amount, until
        self.counts["added"] += 1
        return total + amount

    def take(self, line: Line, name: str, amount: float, ttl_s: float) -> bool:
        """False: turned away, nothing added."""
        if not self.open or len(self.calls) >= self.places:
            self.counts["full"] += 1
            return False
        self.calls.append((line, name, amount, ttl_s))
        if not self._busy:
            self._busy = True
            self.loop.call_later(self.call_s, self._serve)
        return True

    def _serve(self) -> None:
        line, name, amount, ttl_s = self.calls.popleft()
        total = self.add(name, amount, ttl_s)
        if self.spoils():
            self.counts["spoilt"] += 1
            line.answer(200, b"?")
        else:
            line.answer(200, b"%.7g" % total)
        self._busy = bool(self.calls)
        if self._busy:
            self.loop.call_later(1 / self.per_s, self._serve)


class Line(asyncio.Protocol):
    """One connection; calls may be written one behind another, and are answered in that order."""

    def __init__(self, counter: Counter) -> None:
        self.counter = counter
        self.transport: asyncio.Transport | None = None
        self._head = b""
        self._answers: deque[list[bytes]] = deque()  # one place a call, filled or not
        self._open: deque[list[bytes]] = deque()  # places of those that wait for their turn
        self._rest: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if len(self.counter.lines) >= self.counter.connections:
            self.counter.counts["reset"] += 1
            transport.abort()  # type: ignore[attr-defined]
            return
        self.counter.lines[self] = None
        self._again()

    def connection_lost(self, exc: Exception | None) -> None:
        self.counter.lines.pop(self, None)
        if self._rest is not None:
            self._rest.cancel()

    def _again(self) -> None:
        if self._rest is not None:
            self._rest.cancel()
        self._rest = self.counter.loop.call_later(self.counter.rest_s, self.transport.close)

    def data_received(self, data: bytes) -> None:
        self._head += data
        self._again()
        while True:
            head, end, rest = self._head.partition(b"\r\n\r\n")
            if not end:
                return
            self._head = rest
            place: list[bytes] = []
            self._answers.append(place)
            try:
                name, amount, ttl_s = _call(head)
            except ValueError:
                self.counter.counts["malformed"] += 1
                place.append(_http(400, b""))
                self._flush()
                continue
            if self.counter.take(self, name, amount, ttl_s):
                self._open.append(place)
            else:
                place.append(_http(503, b""))
                self._flush()

    def answer(self, status: int, body: bytes) -> None:
        """To the call of this line that has waited longest."""
        self._open.popleft().append(_http(status, body))
        self._flush()

    def _flush(self) -> None:
        while self._answers and self._answers[0]:
            data = self._answers.popleft()[0]
            if not self.transport.is_closing():
                self.transport.write(data)


def _call(head: bytes) -> tuple[str, float, float]:
    """Name, amount and seconds of life. ValueError where it is no call."""
    method, path, query = wire.request_line(head)
    name = path.removeprefix("/v1/count/")
    if method != "POST" or name == path or not 1 <= len(name) <= 64:
        raise wire.ForeignError("no such call")
    amount, ttl_ms = float(query.get("add", "")), int(query.get("ttl_ms", ""))
    if not abs(amount) <= MOST or ttl_ms < 1:
        raise wire.ForeignError("out of range")
    return name, amount, ttl_ms / 1000


def _http(status: int, body: bytes) -> bytes:
    text = {200: b"OK", 400: b"Bad Request", 503: b"Service Unavailable"}[status]
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n\r\n%b" % (status, text, len(body), body)
