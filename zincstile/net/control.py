"""The operators' control endpoint: HTTP/1.1 at `control`, one call a connection.

The calls are parsed and answered by `control.http` and `control.operator`; what they change is handed to the
gateway by `apply`. Every answer is written in the turn in which its call became whole. Guards against callers
that send nothing or half a call and stay: each is answered 408 and closed when its time is up, and where
there are as many as the limits allow, the oldest is, so that the next caller is heard.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ..admin.http import Bounds, Call, CallError, CallParser, answer
from ..admin.operator import Change, Operator, Reply
from .accept import Acceptor, Taken
from .config import Address
from .deadlines import every
from .dispatcher import Dispatcher
from .handover_file import HandoverFile
from .host import Host

LASTING = (Change.BAN, Change.UNBAN)  # what holds in later processes too


class ControlConnection(asyncio.BufferedProtocol):
    __slots__ = ("door", "transport", "parser", "came_ns", "done", "whole")

    def __init__(self, door: ControlDoor) -> None:
        self.door = door
        self.transport: asyncio.Transport | None = None
        self.parser = CallParser(door.bounds)
        self.came_ns = door.dispatcher.now_ns()
        self.done = False
        self.whole = False  # its call is carried out, and its yes has to wait

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.door.joined(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.door.buffer

    def buffer_updated(self, size: int) -> None:
        if self.done or self.whole:
            return
        try:
            call = self.parser.feed(bytes(self.door.buffer[:size]))
        except CallError as err:
            self.door.counters.control_bad += 1
            self.finish(err.status, str(err))
            return
        if call is not None:
            self._carry_out(call)

    def _carry_out(self, call: Call) -> None:
        door = self.door
        try:
            door.handover.refresh()  # what another process was told goes before
            reply = door.operator.call(call, door.ready())
            door.apply(reply)
        except Exception as err:  # guards the door: a fault fails this call alone
            door.counters.faults += 1
            door.dispatcher.log.often("control", f"fault: {type(err).__name__}: {err}")
            reply = Reply(500, "fault")
        if reply.change in LASTING and not door.handover.kept:
            self.whole = True
            door.wait_until_kept(self, reply)
        else:
            self.finish(reply.status, reply.text)

    def finish(self, status: int, text: str) -> None:
        if self.done:
            return
        self.done = True
        self.door.counters.control_calls += 1
        if status >= 400:
            self.door.counters.control_no += 1
        self.transport.write(answer(status, text))
        self.transport.close()

    def eof_received(self) -> bool:
        if not self.done and not self.whole:  # half a call and its end: nothing more will come
            self.finish(400, "the call ended before it was whole")
        return False

    def connection_lost(self, err: Exception | None) -> None:
        self.done = True
        self.door.left(self)


class ControlDoor:
    def __init__(
        self,
        dispatcher: Dispatcher,
        operator: Operator,
        apply: Callable[[Reply], None],
        ready: Callable[[], bool],
        host: Host,
        handover: HandoverFile,
    ) -> None:
        self.dispatcher, self.operator, self.apply, self.ready, self.host = (
            dispatcher,
            operator,
            apply,
            ready,
            host,
        )
        self.handover = handover
        handover.on_kept = self._kept
        self._unkept: dict[ControlConnection, Reply] = {}  # a yes that waits for its word to be in the file
        self.counters = dispatcher.counters
        limits = dispatcher.limits
        self.bounds = Bounds(limits.line_bytes, limits.header_lines, limits.line_bytes)
        self.connections: dict[ControlConnection, None] = {}
        self.buffer = memoryview(bytearray(limits.line_bytes))  # each read is taken out of it at once
        self._socket: socket.socket | None = None
        self._acceptor = Acceptor(dispatcher, lambda: ControlConnection(self))

    def open(self, where: Address) -> None:
        """With the clients' backlog: where one is full, the machine drops what comes, and a caller's own
        machine tries again only after 1 s, which is as long as an answer may take."""
        self._socket = self.host.listen(where, self.dispatcher.limits.backlog)
        self._listen(None)
        every(self.dispatcher, self.dispatcher.limits.control_call_ns // 4, self._tend)

    def _accept(self) -> None:
        """As many in one turn as the door holds: each that is too many is answered in the turns between, so
        that a crowd of callers costs no more descriptors than the door may hold and as many again."""
        for _ in range(self.dispatcher.limits.control_connections):
            taken = self._acceptor.take(self._socket)
            if taken is Taken.LACK:  # else the loop would spin
                self.dispatcher.loop.remove_reader(self._socket.fileno())
                self.dispatcher.deadlines.add(
                    self.dispatcher.now_ns() + self.dispatcher.limits.backoff_ns, self._listen
                )
                self.dispatcher.wake()
            if taken in (Taken.NONE, Taken.LACK):
                return

    def _listen(self, _: object) -> None:
        if self._socket is not None:
            self.dispatcher.loop.add_reader(self._socket.fileno(), self._accept)

    @property
    def address(self) -> str:
        return "{}:{}".format(*self._socket.getsockname()[:2]) if self._socket else "-"

    def joined(self, c: ControlConnection) -> None:
        self.connections[c] = None
        if len(self.connections) > self.dispatcher.limits.control_connections:
            oldest = next(iter(self.connections))
            oldest.finish(503, "too many callers at once")

    def left(self, c: ControlConnection) -> None:
        self.connections.pop(c, None)
        self._unkept.pop(c, None)

    def wait_until_kept(self, connection: ControlConnection, reply: Reply) -> None:
        """A yes is one that outlasts this process: it waits until its word is in the file, and is a no where
        that takes too long. What was said holds in this process from the call on, either way."""
        self._unkept[connection] = reply
        self.dispatcher.deadlines.add(
            self.dispatcher.now_ns() + self.dispatcher.limits.handover_kept_ns, self._give_up, connection
        )
        self.dispatcher.wake()

    def _kept(self) -> None:
        unkept, self._unkept = self._unkept, {}
        for connection, reply in unkept.items():
            connection.finish(reply.status, reply.text)

    def _give_up(self, connection: ControlConnection) -> None:
        reply = self._unkept.pop(connection, None)
        if reply is not None:
            connection.finish(503, f"{reply.text}, but not kept over a restart: it can't be written for now")

    def _tend(self) -> None:
        now, limits = self.dispatcher.now_ns(), self.dispatcher.limits
        for c in list(self.connections):
            if now - c.came_ns >= limits.control_call_ns and not c.whole:
                self.counters.control_bad += 1
                c.finish(408, "no whole call in time")

    def close(self) -> None:
        if self._socket is not None:
            self.dispatcher.loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
