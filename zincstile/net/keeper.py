"""The count keeper's client: calls over HTTP/1.1, one behind another on a few connections, each for 50 ms.

A call is made once. Where its answer does not come in time, or brings no number, it may have been added,
or may yet be: the caller is told that there is none, and nothing is sent again. What comes later is read
and left, so that the answers behind it keep their order. Nothing is decided here.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable

from . import http
from .config import Address
from .deadlines import Key, every
from .dispatcher import Dispatcher

Then = Callable[[int, float | None], None]


class Call:
    """One call; `then(now, total)` is told once, with None where there is no total."""

    __slots__ = ("data", "then", "made_ns", "deadline", "over")

    def __init__(self, data: bytes, then: Then, made_ns: int) -> None:
        self.data, self.then, self.made_ns = data, then, made_ns
        self.deadline: Key | None = None
        self.over = False


class KeeperConnection(asyncio.BufferedProtocol):
    __slots__ = ("keeper", "address", "transport", "calls", "rested_ns", "_answers")

    def __init__(self, keeper: Keeper, address: Address) -> None:
        self.keeper, self.address = keeper, address
        self.transport: asyncio.Transport | None = None
        self.calls: deque[Call] = deque()  # written and not answered, in their order
        self.rested_ns = 0
        self._answers = http.Answers(keeper.dispatcher.limits)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.rested_ns = self.keeper.dispatcher.now_ns()
        self.keeper.opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.keeper.buffer

    def buffer_updated(self, size: int) -> None:
        try:
            for status, body in self._answers.feed(bytes(self.keeper.buffer[:size])):
                if not self.calls:
                    raise http.HttpError("an answer to nothing")
                if not self.keeper.answered(self.calls.popleft(), status, body):
                    raise http.HttpError(f"no number: {body[:40]!r}")
        except http.HttpError as err:
            self.keeper.dispatcher.log.often("keeper", f"spoilt answer of {self.address}: {err}")
            self.transport.abort()
            return
        self.rested_ns = self.keeper.dispatcher.now_ns()
        self.keeper.dispatcher.write_later(self.keeper)

    def eof_received(self) -> None:
        return None

    def connection_lost(self, err: Exception | None) -> None:
        self.keeper.lost(self)


class Keeper:
    """All calls to the count keeper, wherever it is found at present."""

    def __init__(self, dispatcher: Dispatcher, address: Address, buffer: memoryview) -> None:
        self.dispatcher, self.address, self.buffer = dispatcher, address, buffer
        self.connections: dict[KeeperConnection, None] = {}
        self.waiting: deque[Call] = deque()
        self.closed = False
        self._opening = 0
        self._tasks: dict[asyncio.Task, None] = {}
        self._not_before_ns = 0  # after a connect that failed
        every(dispatcher, dispatcher.limits.tend_ns, self._tend)

    def call(self, name: str, amount: float, ttl_ms: int, then: Then) -> None:
        """Adds the amount to the name; ValueError where that can't be asked."""
        if (
            not 1 <= len(name) <= 64
            or not name.isascii()
            or not math.isfinite(amount)
            or abs(amount) > 1e9
            or ttl_ms < 1
        ):
            raise ValueError(f"no such call: {name[:70]!r} {amount} {ttl_ms}")
        dispatcher, now = self.dispatcher, self.dispatcher.now_ns()
        host = "{}:{}".format(*self.address)
        one = Call(http.post(host, f"/v1/count/{name}?add={amount:.9g}&ttl_ms={ttl_ms}"), then, now)
        dispatcher.counters.keeper_calls += 1
        if self.closed or len(self.waiting) >= dispatcher.limits.keeper_waiting:
            dispatcher.counters.keeper_full += 1
            self._end(one, None)
            return
        one.deadline = dispatcher.deadlines.add(now + dispatcher.limits.keeper_call_ns, self._late, one)
        self.waiting.append(one)
        dispatcher.write_later(self)

    def move(self, address: Address) -> None:
        """The keeper is found elsewhere from now on; what was written to the old one may still be
        answered."""
        if address != self.address:
            self.address, self._not_before_ns = address, 0
            self.dispatcher.write_later(self)

    def close(self) -> None:
        """No more calls; none is left without its word."""
        self.closed = True
        for connection in list(self.connections):
            connection.transport.abort()
        while self.waiting:
            self._end(self.waiting.popleft(), None)

    # ---- writing, once a turn

    def flush(self) -> None:
        """Writes what waits, shared out evenly; opens another connection where those that are up are busy."""
        limits, waiting = self.dispatcher.limits, self.waiting
        while waiting and waiting[0].over:
            waiting.popleft()
        if not waiting:
            return
        here = [c for c in self.connections if c.address == self.address and not c.transport.is_closing()]
        parts: dict[KeeperConnection, list[bytes]] = {}
        for connection in sorted(here, key=lambda c: len(c.calls)):
            while waiting and len(connection.calls) < limits.keeper_pipelined:
                one = waiting.popleft()
                if not one.over:
                    connection.calls.append(one)
                    parts.setdefault(connection, []).append(one.data)
        for connection, data in parts.items():
            connection.transport.write(b"".join(data))
        if waiting and len(here) + self._opening < limits.keeper_connections:
            self._open()

    def _open(self) -> None:
        if self._opening or self.closed or self.dispatcher.now_ns() < self._not_before_ns:
            return
        self._opening += 1
        task = self.dispatcher.loop.create_task(self._connect(self.address))
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    async def _connect(self, address: Address) -> None:
        dispatcher = self.dispatcher
        try:
            async with asyncio.timeout(dispatcher.limits.connect_ns / 1e9):
                await dispatcher.loop.create_connection(lambda: KeeperConnection(self, address), *address)
        except (OSError, TimeoutError) as err:
            dispatcher.log.often("keeper", f"can't connect to {address}: {err or type(err).__name__}")
            self._not_before_ns = dispatcher.now_ns() + dispatcher.limits.backoff_ns
            dispatcher.deadlines.add(self._not_before_ns, self._again)
            dispatcher.wake()
        finally:
            self._opening -= 1

    def _again(self, _: object) -> None:
        self.dispatcher.write_later(self)

    def opened(self, connection: KeeperConnection) -> None:
        self.connections[connection] = None
        self.dispatcher.write_later(self)

    # ---- what comes of calls

    def answered(self, call: Call, status: int, body: bytes) -> bool:
        """False where the answer brings neither a number nor a refusal: its connection is of no further
        use."""
        if status in (400, 404, 503):
            self._end(call, None)
            return True
        try:
            total = float(body) if status == 200 else math.nan
        except ValueError:
            total = math.nan
        self._end(call, total if math.isfinite(total) else None)
        return math.isfinite(total)

    def _late(self, call: Call) -> None:
        call.deadline = None
        self._end(call, None)

    def _end(self, call: Call, total: float | None) -> None:
        """The one word on a call."""
        if call.over:
            return
        call.over = True
        self.dispatcher.deadlines.drop(call.deadline)
        if total is None:
            self.dispatcher.counters.keeper_unanswered += 1
        call.then(self.dispatcher.now_ns(), total)

    def lost(self, connection: KeeperConnection) -> None:
        """What was written on it may have been added."""
        self.connections.pop(connection, None)
        calls, connection.calls = connection.calls, deque()
        for call in calls:
            self._end(call, None)
        self.dispatcher.write_later(self)

    def _tend(self) -> None:
        """Closes what rests, what the keeper has left, and what is stuck behind an answer that does not
        come."""
        now, limits = self.dispatcher.now_ns(), self.dispatcher.limits
        for connection in list(self.connections):
            if connection.calls:
                if now - connection.calls[0].made_ns > limits.keeper_call_ns + limits.keeper_stuck_ns:
                    connection.transport.abort()
            elif now - connection.rested_ns > limits.keeper_rest_ns or connection.address != self.address:
                connection.transport.close()
