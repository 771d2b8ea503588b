"""A guide box: cores, a waiting room, a warm-up, load reports, drains, and all that goes wrong with its
answers.

Work is counted in nanoseconds of a warm core of speed 1. A call begins once its last byte has come. The
boxes of one rack drop repeats of a key for some seconds: a repeat gets the answer of the first.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from . import wire
from .witness import Witness

SPOILT = {
    "noise": b"\x07%garble\r\n",
    "endless": b"+" + b"x" * 3000,
    "long": b"*3\r\n$60000\r\nshort",
    "huge": b"*3\r\n$3000000000\r\nv",
    "negative": b"*3\r\n$-7\r\n\r\n",
    "parts": b"*2\r\n$1\r\nv\r\n$-1\r\n",
    "number": b":17\r\n",
}


@dataclass(slots=True)
class Rack:
    """What the boxes of one rack know of keys."""

    window_s: float
    seen: dict[bytes, tuple[float, list[Call], bytes | None]] = field(default_factory=dict)


@dataclass(slots=True)
class Model:
    """What kind of machine it is, and what is wrong with it at present."""

    cores: int = 2
    speed: float = 1.0
    places: int = 24  # calls that wait; more are turned away
    connections: int = 64
    work_ns: dict[str, int] = field(default_factory=dict)  # of one unit, by class
    spread: float = 0.5  # a call takes between this much less and more
    cold_share: float = 1.0  # of its capacity at the start
    warm_s: float = 0.0  # from the start until it is warm
    drops_left: bool = True  # what waits is dropped when its connection ends
    slow: float = 1.0  # times as long
    spoils: float = 0.0  # share of the answers that arrive spoilt
    errs: float = 0.0  # share answered with an error
    extra: float = 0.0  # share of good answers with a second copy or noise behind them
    hangs: bool = False  # begins nothing and answers nothing


@dataclass(slots=True, eq=False)
class Call:
    """An attempt of a gateway."""

    line: Line
    id: bytes
    key: bytes
    work_ns: int
    over: bool = False


class GuideBox:
    """One box: a server on a loop. `began` tells when its process started, for the warm-up."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        name: str,
        model: Model,
        rack: Rack,
        rng: random.Random,
        witness: Witness,
        cold: bool,
    ) -> None:
        self.loop, self.name, self.model, self.rack = loop, name, model, rack
        self.rng, self.witness = rng, witness
        self.began_s = loop.time() if cold else -1e9
        self.draining = False
        self.lines: dict[Line, None] = {}
        self.waiting: deque[Call] = deque()
        self.busy = 0
        self.served_s = 0.0  # recent time of a call, without waiting
        self.counts = {"calls": 0, "served": 0, "busy": 0, "failed": 0, "spoilt": 0, "repeats": 0}
        self.gateway_of: Callable[[asyncio.BaseTransport], str] = lambda transport: "?"
        self._server: asyncio.AbstractServer | None = None
        self._made = 0

    async def start(self, host: str, port: int = 0) -> int:
        """Listens; the port that it got."""
        self._server = await self.loop.create_server(lambda: Line(self), host, port)
        return self._server.sockets[0].getsockname()[1]

    def refuse(self) -> None:
        """Takes no new connections any more."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def warmth(self) -> float:
        """Share of its capacity that it has by now."""
        age, model = self.loop.time() - self.began_s, self.model
        if age >= model.warm_s:
            return 1.0
        return model.cold_share + (1 - model.cold_share) * age / model.warm_s

    def capacity(self) -> float:
        """Nanoseconds of work that it can do in a nanosecond, as warm as it is."""
        return self.model.cores * self.model.speed * self.warmth()

    # ---- calls

    def take(self, line: Line, words: list[bytes]) -> None:
        model, rng = self.model, self.rng
        verb, request = words[0], words[2]
        given = wire.fields(words[3])
        for name in ("c", "t", "d", "units", "spread", "first"):
            if name not in given:
                raise wire.ForeignError(f"a call without {name}")
        if given["c"] not in model.work_ns or int(given["d"]) < 1:
            raise wire.ForeignError(f"a call that can't be: {words[3][:60]!r}")
        key = given.get("k", "").encode()
        if verb == b"CALL.GET" and key:
            raise wire.ForeignError("a key with a call that needs none")
        work = int(
            model.work_ns[given["c"]] * float(given["units"]) * (1 + model.spread * (2 * rng.random() - 1))
        )
        self.counts["calls"] += 1
        self.witness.arrived(self.name, request, key, line.gateway, work)
        call = Call(line, request, key, work)
        line.calls.append(call)
        if self.draining or len(self.waiting) >= model.places or len(self.lines) > model.connections:
            self._turn_away(call)
            return
        if key and self._repeat(call):
            return
        self.waiting.append(call)
        self._next()

    def _repeat(self, call: Call) -> bool:
        """A key that the rack has seen lately: the first one's answer serves both."""
        now = self.loop.time()
        found = self.rack.seen.get(call.key)
        if found is None or now - found[0] > self.rack.window_s:
            self.rack.seen[call.key] = now, [], None
            return False
        self.counts["repeats"] += 1
        if found[2] is None:
            found[1].append(call)
        else:
            self._answer(call, found[2])
        return True

    def _next(self) -> None:
        model = self.model
        while self.waiting and self.busy < model.cores and not model.hangs:
            call = self.waiting.popleft()
            if call.over:
                continue
            self.busy += 1
            took = call.work_ns / 1e9 * model.slow / (model.speed * self.warmth())
            self.loop.call_later(took, self._done, call, took)

    def resume(self) -> None:
        """After it hung: what waits is begun."""
        self._next()

    def _done(self, call: Call, took: float) -> None:
        self.busy -= 1
        self.served_s += 0.2 * (took - self.served_s)
        if self.rng.random() < self.model.errs:
            if call.key:
                self.rack.seen.pop(call.key, None)
            self.counts["failed"] += 1
            call.line.write(call, b"-ERR failed\r\n")
        else:
            self._made += 1
            value = b"%b:%b:%d" % (self.name.encode(), call.id, self._made)
            also: list[Call] = []
            if call.key:
                at, also, _ = self.rack.seen.get(call.key, (self.loop.time(), [], None))
                self.rack.seen[call.key] = at, [], value
            for one in (call, *also):
                self._answer(one, value)
        self._next()

    def _answer(self, call: Call, value: bytes) -> None:
        model, rng = self.model, self.rng
        self.witness.made(self.name, call.id, value)
        if model.spoils and rng.random() < model.spoils:
            self.counts["spoilt"] += 1
            call.line.spoil(call, SPOILT[rng.choice(list(SPOILT))])
            return
        self.counts["served"] += 1
        report = self.report()
        data = b"*3\r\n$%d\r\n%b\r\n$-1\r\n$%d\r\n%b\r\n" % (len(value), value, len(report), report)
        if model.extra and rng.random() < model.extra:
            data += data if rng.random() < 0.5 else SPOILT["noise"]
        call.line.write(call, data)

    def report(self) -> bytes:
        return b"inflight=%d,latency_ms=%.1f,queue=%d" % (
            self.busy + len(self.waiting),
            1000 * self.served_s,
            len(self.waiting),
        )

    def _turn_away(self, call: Call) -> None:
        self.counts["busy"] += 1
        self.witness.turned_away(self.name, call.id)
        call.line.write(call, b"-BUSY\r\n")

    def left(self, line: Line) -> None:
        """A connection has ended. What runs goes on; what waits may be dropped."""
        self.lines.pop(line, None)
        if self.model.drops_left:
            for call in line.calls:
                call.over = True
                if call.key and call in self.waiting:  # it never ran: a repeat has to
                    self.rack.seen.pop(call.key, None)


class Line(asyncio.Protocol):
    """One connection of a gateway. Answers go out in the order of the calls."""

    def __init__(self, box: GuideBox) -> None:
        self.box, self.gateway = box, "?"
        self.transport: asyncio.Transport | None = None
        self.calls: deque[Call] = deque()
        self._commands = wire.Commands()
        self._ready: dict[Call, bytes] = {}
        self._useless = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.gateway = self.box.gateway_of(transport)
        self.box.lines[self] = None

    def connection_lost(self, exc: Exception | None) -> None:
        self._useless = True
        self.box.left(self)

    def data_received(self, data: bytes) -> None:
        try:
            for words in self._commands.feed(data):
                self._command(words)
        except (wire.ForeignError, ValueError, IndexError) as err:
            self.box.witness.foreign(self.box.name, self.gateway, str(err))
            self.transport.write(b"-SYNTAX\r\n")
            self.transport.close()

    def _command(self, words: list[bytes]) -> None:
        if words[0] in (b"CALL.GET", b"CALL.POST"):
            if not 4 <= len(words) <= (4 if words[0] == b"CALL.GET" else 5):
                raise wire.ForeignError(f"{len(words)} words in a call")
            self.box.take(self, words)
        elif words == [b"PING"]:
            self.transport.write(b"+PONG\r\n")
        elif words == [b"INFO", b"load"]:
            report = self.box.report()
            self.transport.write(b"$%d\r\n%b\r\n" % (len(report), report))
        else:
            raise wire.ForeignError(f"no such command: {words[0][:20]!r}")

    def write(self, call: Call, data: bytes) -> None:
        """The answer to a call; it waits for those ahead of it."""
        call.over = True
        self._ready[call] = data
        while self.calls and self.calls[0] in self._ready:
            first = self._ready.pop(self.calls.popleft())
            if not self._useless:
                self.transport.write(first)

    def spoil(self, call: Call, data: bytes) -> None:
        """What comes after a spoilt answer is of no use: nothing more is sent here."""
        self.write(call, data)
        self._useless = True
