"""A backend with cores, a queue, a warm-up, load reports, draining and faulty answers.

Work is measured in nanoseconds of a warm core of speed 1. A call starts once its last byte is received. The
backends of one rack deduplicate calls by idempotency key for some seconds: a repeat gets the answer of the
first call.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from . import codec
from .observer import Observer

CORRUPT_ANSWERS: Final = {
    "noise": b"\x07%garble\r\n",
    "endless": b"+" + b"x" * 3000,
    "long": b"*3\r\n$60000\r\nshort",
    "huge": b"*3\r\n$3000000000\r\nv",
    "negative": b"*3\r\n$-7\r\n\r\n",
    "parts": b"*2\r\n$1\r\nv\r\n$-1\r\n",
    "number": b":17\r\n",
}
CALL_FIELDS: Final = ("c", "t", "d", "units", "spread", "first")  # required in each call (PROTOCOL)
WARM_SINCE_S: Final = -1e9  # start time of a backend that is fully warm
MIN_CALL_ARGUMENTS: Final = 4  # verb, customer, id and fields
MAX_CALL_ARGUMENTS: Final = {b"CALL.GET": 4, b"CALL.POST": 5}  # CALL.POST has a body
COPY_RATIO: Final = 0.5  # share of extra replies that are a second copy; the others are noise
SERVICE_TIME_WEIGHT: Final = 0.2  # of the latest call in the moving average, which covers about five calls


class KeyedAnswer(NamedTuple):
    """What a rack stores for one idempotency key."""

    seen_s: float
    repeats: list[Call]  # calls that wait for the answer of the first one
    value: bytes | None  # the answer; None: the first call is not finished


@dataclass(slots=True)
class Rack:
    """The idempotency keys shared by the backends of one rack; a key expires after `window_s`."""

    window_s: float
    answers: dict[bytes, KeyedAnswer] = field(default_factory=dict)


@dataclass(slots=True)
class BackendModel:
    """A backend's capacity and its current faults. Ratios are from 0 to 1."""

    cores: int = 2
    speed: float = 1.0
    queue_capacity: int = 24  # waiting calls; further ones are rejected
    max_connections: int = 64
    work_ns: dict[str, int] = field(default_factory=dict)  # work of one unit, by class
    work_spread: float = 0.5  # maximum deviation of a call's work from the mean, as a ratio of it
    cold_share: float = 1.0  # capacity at the start, as a share of the warm one
    warm_up_s: float = 0.0  # time from the start to full capacity
    drops_on_disconnect: bool = True  # waiting calls are dropped when their connection is lost
    slowdown_factor: float = 1.0  # multiplies the service time of calls
    corrupt_ratio: float = 0.0  # share of answers that are corrupt
    error_ratio: float = 0.0  # share of calls answered with an error
    extra_reply_ratio: float = 0.0  # share of good answers followed by a second copy or noise
    hangs: bool = False  # starts no call


@dataclass(slots=True, eq=False)
class Call:
    """An attempt of a gateway. `done`: it was answered, or dropped as its connection was lost."""

    connection: GatewayConnection
    id: bytes
    key: bytes
    work_ns: int
    done: bool = False


@dataclass(slots=True)
class BackendCounts:
    """Counts of the calls of one backend, by outcome."""

    calls: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    corrupt: int = 0
    repeats: int = 0


class BackendEmulator:
    """One backend: a server with cores, a queue and a warm-up."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        model: BackendModel,
        rack: Rack,
        rng: random.Random,
        observer: Observer,
        *,
        cold: bool,
    ) -> None:
        """Creates a backend that does not listen yet. `cold`: its warm-up starts now; else it is warm."""
        self.loop = loop
        self.name = name
        self.model = model
        self.rack = rack
        self.rng = rng
        self.observer = observer
        self.started_s = loop.time() if cold else WARM_SINCE_S
        self.draining = False
        self.connections: dict[GatewayConnection, None] = {}
        self.counts = BackendCounts()
        self.identify_gateway: Callable[[asyncio.BaseTransport], str] = lambda transport: "?"
        self._queue: deque[Call] = deque()
        self._busy_cores = 0
        self._service_time_s = 0.0  # moving average, without the time in the queue
        self._server: asyncio.AbstractServer | None = None
        self._values_produced = 0

    async def start(self, host: str, port: int = 0) -> int:
        """Starts listening and returns the port."""
        self._server = await self.loop.create_server(lambda: GatewayConnection(self), host, port)
        return self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Stops accepting connections; open ones stay open."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def warmth(self) -> float:
        """Returns the current share of its warm capacity, from 0 to 1."""
        model = self.model
        age_s = self.loop.time() - self.started_s
        if age_s >= model.warm_up_s:
            return 1.0
        return model.cold_share + (1 - model.cold_share) * age_s / model.warm_up_s

    def capacity(self) -> float:
        """Returns the current capacity in nanoseconds of work per nanosecond."""
        return self.model.cores * self.model.speed * self.warmth()

    def load_report(self) -> bytes:
        """Returns the load report to gateways: calls in flight, service time and queue length."""
        return b"inflight=%d,latency_ms=%.1f,queue=%d" % (
            self._busy_cores + len(self._queue),
            1000 * self._service_time_s,
            len(self._queue),
        )

    # ---- calls

    def receive_call(self, connection: GatewayConnection, arguments: list[bytes]) -> None:
        """Queues a call, answers it as a repeat or rejects it; raises ProtocolError if it is malformed."""
        call = self._parse_call(connection, arguments)
        self.counts.calls += 1
        self.observer.attempt_received(self.name, call.id, call.key, connection.gateway, call.work_ns)
        connection.calls.append(call)
        if self._is_full():
            self._reject(call)
            return
        if call.key and self._is_repeat(call):
            return
        self._queue.append(call)
        self._start_calls()

    def _parse_call(self, connection: GatewayConnection, arguments: list[bytes]) -> Call:
        model = self.model
        fields = codec.parse_call_fields(arguments[3])
        for name in CALL_FIELDS:
            if name not in fields:
                raise codec.ProtocolError(f"call has no field {name}")
        if fields["c"] not in model.work_ns or int(fields["d"]) < 1:
            raise codec.ProtocolError(
                f"call with an unknown class or no remaining time: {arguments[3][:60]!r}"
            )
        key = fields.get("k", "").encode()
        if arguments[0] == b"CALL.GET" and key:
            raise codec.ProtocolError("CALL.GET with an idempotency key")
        mean_ns = model.work_ns[fields["c"]] * float(fields["units"])
        work_ns = int(mean_ns * (1 + model.work_spread * (2 * self.rng.random() - 1)))
        return Call(connection, arguments[2], key, work_ns)

    def _is_full(self) -> bool:
        model = self.model
        return (
            self.draining
            or len(self._queue) >= model.queue_capacity
            or len(self.connections) > model.max_connections
        )

    def _is_repeat(self, call: Call) -> bool:
        """Returns whether the rack has seen the key within its window.

        A repeat is answered with the answer of the first call, now or once that is finished.
        """
        now_s = self.loop.time()
        first = self.rack.answers.get(call.key)
        if first is None or now_s - first.seen_s > self.rack.window_s:
            self.rack.answers[call.key] = KeyedAnswer(now_s, [], None)
            return False
        self.counts.repeats += 1
        if first.value is None:
            first.repeats.append(call)
        else:
            self._answer(call, first.value)
        return True

    def _start_calls(self) -> None:
        model = self.model
        while self._queue and self._busy_cores < model.cores and not model.hangs:
            call = self._queue.popleft()
            if call.done:
                continue
            self._busy_cores += 1
            service_time_s = call.work_ns / 1e9 * model.slowdown_factor / (model.speed * self.warmth())
            self.loop.call_later(service_time_s, self._finish, call, service_time_s)

    def resume(self) -> None:
        """Starts waiting calls after the backend hung."""
        self._start_calls()

    def _finish(self, call: Call, service_time_s: float) -> None:
        self._busy_cores -= 1
        self._service_time_s += SERVICE_TIME_WEIGHT * (service_time_s - self._service_time_s)
        if self.rng.random() < self.model.error_ratio:
            self._fail(call)
        else:
            self._serve(call)
        self._start_calls()

    def _fail(self, call: Call) -> None:
        if call.key:
            self.rack.answers.pop(call.key, None)
        self.counts.failed += 1
        call.connection.write(call, b"-ERR failed\r\n")

    def _serve(self, call: Call) -> None:
        """Answers a call and the repeats of its key that waited for it."""
        self._values_produced += 1
        value = b"%b:%b:%d" % (self.name.encode(), call.id, self._values_produced)
        repeats: list[Call] = []
        if call.key:
            known_answer = self.rack.answers.get(call.key) or KeyedAnswer(self.loop.time(), [], None)
            repeats = known_answer.repeats
            self.rack.answers[call.key] = KeyedAnswer(known_answer.seen_s, [], value)
        for answered_call in (call, *repeats):
            self._answer(answered_call, value)

    def _answer(self, call: Call, value: bytes) -> None:
        model, rng = self.model, self.rng
        self.observer.value_produced(self.name, call.id, value)
        if model.corrupt_ratio and rng.random() < model.corrupt_ratio:
            self.counts.corrupt += 1
            call.connection.write_corrupt(call, CORRUPT_ANSWERS[rng.choice(list(CORRUPT_ANSWERS))])
            return
        self.counts.served += 1
        report = self.load_report()
        data = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(report), report)
        if model.extra_reply_ratio and rng.random() < model.extra_reply_ratio:
            data += data if rng.random() < COPY_RATIO else CORRUPT_ANSWERS["noise"]
        call.connection.write(call, data)

    def _reject(self, call: Call) -> None:
        self.counts.rejected += 1
        self.observer.attempt_rejected(self.name, call.id)
        call.connection.write(call, b"-BUSY\r\n")

    def connection_closed(self, connection: GatewayConnection) -> None:
        """Removes a lost connection. Running calls continue; waiting ones may be dropped."""
        self.connections.pop(connection, None)
        if self.model.drops_on_disconnect:
            for call in connection.calls:
                call.done = True
                if call.key and call in self._queue:  # it never ran, so a repeat has to run
                    self.rack.answers.pop(call.key, None)


class GatewayConnection(asyncio.Protocol):
    """One connection of a gateway to a backend. Answers are sent in the order of the calls."""

    def __init__(self, backend: BackendEmulator) -> None:
        """Creates the protocol of a connection to `backend`."""
        self.backend = backend
        self.gateway = "?"
        self.transport: asyncio.Transport | None = None
        self.calls: deque[Call] = deque()
        self._commands = codec.CommandParser()
        self._answers: dict[Call, bytes] = {}  # answers that wait for those of earlier calls
        self._unusable = False  # no further answer is sent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers with the backend."""
        self.transport = transport  # type: ignore[assignment]
        self.gateway = self.backend.identify_gateway(transport)
        self.backend.connections[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregisters from the backend."""
        self._unusable = True
        self.backend.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        """Handles the commands that the data completes; closes on a protocol violation."""
        try:
            for arguments in self._commands.feed(data):
                self._handle(arguments)
        except (codec.ProtocolError, ValueError, IndexError) as err:
            self.backend.observer.protocol_violated(self.backend.name, self.gateway, str(err))
            self.transport.write(b"-SYNTAX\r\n")
            self.transport.close()

    def _handle(self, arguments: list[bytes]) -> None:
        max_arguments = MAX_CALL_ARGUMENTS.get(arguments[0])
        if max_arguments is not None:
            if not MIN_CALL_ARGUMENTS <= len(arguments) <= max_arguments:
                raise codec.ProtocolError(f"call with {len(arguments)} arguments")
            self.backend.receive_call(self, arguments)
        elif arguments == [b"PING"]:
            self.transport.write(b"+PONG\r\n")
        elif arguments == [b"INFO", b"load"]:
            report = self.backend.load_report()
            self.transport.write(b"$%d\r\n%b\r\n" % (len(report), report))
        else:
            raise codec.ProtocolError(f"unknown command: {arguments[0][:20]!r}")

    def write(self, call: Call, data: bytes) -> None:
        """Answers a call, once all earlier calls on the connection are answered."""
        call.done = True
        self._answers[call] = data
        while self.calls and self.calls[0] in self._answers:
            first = self._answers.pop(self.calls.popleft())
            if not self._unusable:
                self.transport.write(first)

    def write_corrupt(self, call: Call, data: bytes) -> None:
        """Answers a call with bytes that make the connection unusable: nothing more is sent on it."""
        self.write(call, data)
        self._unusable = True
