"""Clients behind their front: who asks, by which gateway, how long they wait, and when they ask again.

The front spreads a customer's requests over the gateways of its set, admits a gateway once it answers
PING, and notices that one has died only after some seconds. Connections carry requests of many customers,
are kept, and more are opened when every one is busy. A client that is refused or failed may ask again,
under a new id.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

from . import wire
from .witness import Asked, Witness


@dataclass(slots=True)
class Want:
    """What a client wants, before it is known which gateway it goes to."""

    at_s: float
    cls: str
    plan: str
    customer: int  # below 2^33
    units: float
    spread: int
    first: int
    wait_ms: int
    repeats: bool  # its class is safe to repeat
    key: bytes = b""
    tries: int = 0  # more of them after a refusal or failure
    again_s: float = 0.05  # wait before the next
    leaves_s: float = 0.0  # closes its connection after so long; 0: stays
    behind: bool = False  # goes out behind others on a busy connection, where there is one
    heeds: bool = False  # comes again when it is told to


class Front:
    """All clients. `weigh` gives the weight of each gateway of a customer's set at present."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        witness: Witness,
        gateways: dict[str, tuple[str, int]],
        dead_s: tuple[float, float] = (1.1, 3.7),
    ) -> None:
        self.loop, self.rng, self.witness = loop, rng, witness
        self.addresses, self.names = gateways, list(gateways)
        self.dead_s = dead_s
        self.up = dict.fromkeys(gateways, False)
        self._doubted: dict[str, None] = {}  # refuses, and is not yet known to be down
        self.resting: dict[str, list[Client]] = {name: [] for name in gateways}
        self.lines: dict[str, dict[Client, None]] = {name: {} for name in gateways}
        self.weigh: Callable[[Want, list[str]], list[float]] = lambda want, names: [1.0] * len(names)
        self.was_read: Callable[[asyncio.BaseTransport, Request], bool] = lambda transport, request: False
        self.tally: dict[tuple[str, str], int] = {}  # plan and kind of answer
        self.waits_s: list[float] = []  # of what was served
        self.asked = self.open = self.coming = 0  # tries; those on their way; those that will come again
        self.ready_s: dict[str, float] = {}  # when each gateway was first admitted
        self._number = self._lines = 0
        self._tasks: dict[asyncio.Task, None] = {}

    # ---- gateways

    def watch(self) -> None:
        """Begins to look which gateways are there."""
        for name in self.names:
            self._start(self._admit(name, 0.0))

    def _start(self, coro) -> None:
        task = self.loop.create_task(coro)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))

    async def _admit(self, name: str, after_s: float) -> None:
        """PING until it answers +PONG."""
        wait = after_s
        while True:
            if wait:
                await self._sleep(wait)
            wait = 0.1
            try:
                async with asyncio.timeout(1.0):
                    _, client = await self.loop.create_connection(
                        lambda: Client(self, name), *self.addresses[name]
                    )
                    pong = self.loop.create_future()
                    client.ping(pong)
                    answer = await pong
            except (OSError, TimeoutError):
                continue
            if answer == "+PONG":
                break
        self.up[name] = True
        self.ready_s.setdefault(name, self.loop.time())

    def _sleep(self, seconds: float) -> asyncio.Future:
        future = self.loop.create_future()
        self.loop.call_later(seconds, lambda: future.done() or future.set_result(None))
        return future

    def died(self, name: str) -> None:
        """A connection was refused or never came up. Only after some seconds is this known for what it is;
        until then, requests go on coming to that gateway."""
        if self.up[name] and name not in self._doubted:
            self._doubted[name] = None
            self.loop.call_later(self.rng.uniform(*self.dead_s), self._down, name)

    def _down(self, name: str) -> None:
        self._doubted.pop(name, None)
        self.up[name] = False
        self._start(self._admit(name, 0.0))

    # ---- requests

    def want(self, want: Want) -> None:
        """Asks now. Retries belong to it."""
        names = [self.names[(want.first + k) % len(self.names)] for k in range(want.spread)]
        up = [n for n in names if self.up[n]] or names
        weights = self.weigh(want, up)
        self._send(self._request(want, self.rng.choices(up, weights)[0] if sum(weights) > 0 else up[0]))

    def ask_on(self, client: Client, want: Want) -> None:
        """Asks on this very connection, whatever becomes of it."""
        if client.usable:
            if client in self.resting[client.gateway]:
                self.resting[client.gateway].remove(client)
            client.ask(self._request(want, client.gateway))

    def _request(self, want: Want, name: str) -> Request:
        self._number += 1
        asked = Asked(
            b"%016x" % (self._number * 2654435761 % 2**64),
            want.cls,
            want.plan,
            b"%016x" % want.customer,
            want.units,
            want.key,
            want.wait_ms,
            name,
        )
        self.asked += 1
        self.open += 1
        return Request(want, asked, self.loop.time())

    def _send(self, request: Request) -> None:
        name = request.asked.gateway
        busy = [c for c in self.lines[name] if c.pending and not c.shut] if request.want.behind else []
        if busy:
            busy[0].ask(request)
            return
        while self.resting[name]:
            client = self.resting[name].pop()
            if not client.shut:
                client.ask(request)
                return
        self._start(self._connect(request))

    def send_once_more(self, request: Request) -> None:
        """Its connection was closed before it was read: it goes out on a new one, not on one that rests."""
        self._start(self._connect(request))

    async def _connect(self, request: Request) -> None:
        name = request.asked.gateway
        try:
            async with asyncio.timeout(1.0):
                _, client = await self.loop.create_connection(
                    lambda: Client(self, name), *self.addresses[name]
                )
        except (OSError, TimeoutError):
            self.died(name)
            self.over(request, "unreached")
            return
        client.ask(request)

    def over(self, request: Request, kind: str, retry_ms: int = 0) -> None:
        """A try has ended; the client may come again."""
        want = request.want
        self.open -= 1
        self.tally[want.plan, kind] = self.tally.get((want.plan, kind), 0) + 1
        if kind == "served":
            self.waits_s.append(self.loop.time() - request.began_s)
        elif want.tries > 0 and kind != "left":
            wait = retry_ms / 1000 if retry_ms and want.heeds else want.again_s
            again = replace(want, tries=want.tries - 1, leaves_s=0.0)
            self.coming += 1
            self.loop.call_later(wait, self._again, again)

    def _again(self, want: Want) -> None:
        self.coming -= 1
        self.want(want)

    def next_line(self) -> int:
        self._lines += 1
        return self._lines


@dataclass(slots=True, eq=False)
class Request:
    """One try on its way."""

    want: Want
    asked: Asked
    began_s: float
    end: int = 0  # of its bytes on the connection
    crossed: bool = False  # sent once more, as its connection was closed before it was read


class Client(asyncio.Protocol):
    """One connection to a gateway."""

    def __init__(self, front: Front, gateway: str) -> None:
        self.front, self.gateway, self.number = front, gateway, front.next_line()
        self.transport: asyncio.Transport | None = None
        self.pending: deque[Request] = deque()
        self.shut = False
        self._replies = wire.Replies()
        self._written = 0
        self._pong: asyncio.Future | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.front.lines[self.gateway][self] = None

    @property
    def usable(self) -> bool:
        """It is up, as far as its client knows, and admitted."""
        return not self.shut and self._pong is None and not self.transport.is_closing()

    def ping(self, pong: asyncio.Future) -> None:
        self._pong = pong
        self._write(wire.command(b"PING"))

    def _write(self, data: bytes) -> None:
        self._written += len(data)
        self.transport.write(data)

    def ask(self, request: Request) -> None:
        want, asked = request.want, request.asked
        waited = int(1000 * (self.front.loop.time() - request.began_s))
        asked.wait_ms = max(1, want.wait_ms - waited)
        asked.line = self.number
        text = f"c={want.cls},t={want.plan},d={asked.wait_ms}"
        if want.key:
            text += f",k={want.key.decode()}"
        text += f",units={want.units:g},spread={want.spread},first={want.first}"
        words = [asked.customer, asked.id, text.encode()]
        body = [] if want.repeats else [b"x" * 40]
        self.pending.append(request)
        self._write(wire.command(b"CALL.GET" if want.repeats else b"CALL.POST", *words, *body))
        request.end = self._written
        self.front.witness.asked(asked)
        if want.leaves_s:
            self.front.loop.call_later(want.leaves_s, self._leave, request)

    def _leave(self, request: Request) -> None:
        """The client goes away in the middle, and all that this connection carries with it."""
        if request in self.pending:
            self.transport.abort()
            pending, self.pending = self.pending, deque()
            self.shut = True
            for one in pending:
                self.front.witness.left(one.asked.id)
                self.front.over(one, "left")

    def data_received(self, data: bytes) -> None:
        try:
            for reply in self._replies.feed(data):
                self._reply(reply)
        except wire.ForeignError as err:
            self.front.witness.unasked(self.gateway, self.number, str(err))
            self.transport.abort()

    def _reply(self, reply: object) -> None:
        if self._pong is not None:
            pong, self._pong = self._pong, None
            if not pong.done():
                pong.set_result(reply)
            self._rest()
            return
        if not self.pending:
            self.front.witness.unasked(self.gateway, self.number, str(reply)[:60])
            return
        request = self.pending.popleft()
        kind, value, retry_ms = "failed", b"", 0
        if isinstance(reply, list) and reply:
            reply = reply[0]
        if isinstance(reply, bytes):
            kind, value = "served", reply
        elif isinstance(reply, str) and reply.startswith("-BUSY"):
            kind, retry_ms = "denied", int(reply[6:] or 0)
        self.front.witness.answered(request.asked.id, kind, value)
        self.front.over(request, kind, retry_ms)
        self._rest()

    def _rest(self) -> None:
        if not self.pending and not self.shut:
            self.front.resting[self.gateway].append(self)

    def eof_received(self) -> None:
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """What it still carried was read by the gateway, and is lost, or crossed its close, and is sent anew.
        A reset is a gateway that died, or a path that broke."""
        front = self.front
        self.shut = True
        front.lines[self.gateway].pop(self, None)
        if self._pong is not None and not self._pong.done():
            self._pong.set_result(None)
        if self in front.resting[self.gateway]:
            front.resting[self.gateway].remove(self)
        pending, self.pending = self.pending, deque()
        for request in pending:
            if front.was_read(self.transport, request):
                front.witness.dropped(request.asked.id)
                front.over(request, "dropped")
                continue
            front.witness.crossed(request.asked.id)
            if request.crossed:
                front.over(request, "unreached")
            else:
                request.crossed = True
                front.send_once_more(request)


class Rude(asyncio.Protocol):
    """A bad client: sends what it is given, a piece at a time, reads what comes, and stays for a while."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, pieces: list[bytes], pause_s: float, stays_s: float
    ) -> None:
        self.loop, self.pieces, self.pause_s, self.stays_s = loop, deque(pieces), pause_s, stays_s
        self.transport: asyncio.Transport | None = None
        self.got = b""
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self._next()
        self.loop.call_later(self.stays_s, transport.abort)  # type: ignore[attr-defined]

    def _next(self) -> None:
        if self.pieces and not self.ended and not self.transport.is_closing():
            self.transport.write(self.pieces.popleft())
            self.loop.call_later(self.pause_s, self._next)

    def data_received(self, data: bytes) -> None:
        self.got += data

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True


def rude_pieces(rng: random.Random) -> list[bytes]:
    """One of the things that such clients send."""
    call = wire.command(b"CALL.GET", b"00000000b4d65521", b"rude", b"c=sheet-read,t=plus,d=-5,units=nan")
    kinds = [
        [b"\x16\x03\x01\x02\x00\x01\x00"],
        [b"GET / HTTP/1.1\r\n\r\n"],
        [b"*4\r\n$8\r\nCALL", b".GET\r\n$99999"],
        [b"x" * 900, b"x" * 900],
        [b"*-1\r\n"],
        [b"*3\r\n$-5\r\n"],
        [b"*99999999999\r\n"],
        [call] * 6,
        [b"*4\r\n$8\r\nCALL.GET\r\n$70000000\r\n", b"v" * 4096],
        [b""],
        [b"*0\r\n*0\r\n"],
        [wire.command(b"CALL.GET", b"zz", b"i", b"c=none")],
        [wire.command(b"FLUSHALL")] * 40,
        [
            wire.command(
                b"CALL.POST",
                b"00000000b4d65521",
                b"r2",
                b"c=new-order,t=plus,d=900,units=1e9," b"spread=1,first=0,k=1",
            )
        ],
    ]
    return rng.choice(kinds)
