"""The operators' door: HTTP/1.1 at `control`, one call a connection, and the hand-over file in `$TMPDIR`.

The calls are parsed and answered by `control.http` and `control.operator`; what they change is handed to the
gateway by `apply`. Every answer is written in the turn in which its call became whole. Guards against callers
that send nothing or half a call and stay: each is answered 408 and closed when its time is up, and where
there are as many as the limits allow, the oldest is, so that the next caller is heard.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ..control import handover as ho
from ..control.http import Bounds, CallError, CallParser, answer
from ..control.operator import Operator, Reply
from .accept import Acceptor, Taken
from .config import Address
from .host import Host
from .turn import Turn


class ControlConnection(asyncio.BufferedProtocol):
    __slots__ = ("door", "transport", "parser", "came_ns", "done")

    def __init__(self, door: ControlDoor) -> None:
        self.door = door
        self.transport: asyncio.Transport | None = None
        self.parser = CallParser(door.bounds)
        self.came_ns = door.turn.now_ns()
        self.done = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.door.joined(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.door.buffer

    def buffer_updated(self, size: int) -> None:
        if self.done:
            return
        try:
            call = self.parser.feed(bytes(self.door.buffer[:size]))
        except CallError as err:
            self.door.counters.control_bad += 1
            self.finish(err.status, str(err))
            return
        if call is not None:
            try:
                reply = self.door.operator.call(call, self.door.ready())
                self.door.apply(reply)
            except Exception as err:  # guards the door: a fault fails this call alone
                self.door.counters.faults += 1
                self.door.turn.log.often("control", f"fault: {type(err).__name__}: {err}")
                reply = Reply(500, "fault")
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
        if not self.done:  # half a call and its end: nothing more will come
            self.finish(400, "the call ended before it was whole")
        return False

    def connection_lost(self, err: Exception | None) -> None:
        self.done = True
        self.door.left(self)


class ControlDoor:
    def __init__(
        self,
        turn: Turn,
        operator: Operator,
        apply: Callable[[Reply], None],
        ready: Callable[[], bool],
        host: Host,
    ) -> None:
        self.turn, self.operator, self.apply, self.ready, self.host = turn, operator, apply, ready, host
        self.counters = turn.counters
        limits = turn.limits
        self.bounds = Bounds(limits.line_bytes, limits.header_lines, limits.line_bytes)
        self.connections: dict[ControlConnection, None] = {}
        self.buffer = memoryview(bytearray(limits.line_bytes))  # each read is taken out of it at once
        self._socket: socket.socket | None = None
        self._acceptor = Acceptor(turn, lambda: ControlConnection(self))

    def open(self, where: Address) -> None:
        """With the clients' backlog: where one is full, the machine drops what comes, and a caller's own
        machine tries again only after 1 s, which is as long as an answer may take."""
        self._socket = self.host.listen(where, self.turn.limits.backlog)
        self._listen(None)
        self._tend(None)

    def _accept(self) -> None:
        """As many in one turn as the door holds: each that is too many is answered in the turns between, so
        that a crowd of callers costs no more descriptors than the door may hold and as many again."""
        for _ in range(self.turn.limits.control_connections):
            taken = self._acceptor.take(self._socket)
            if taken is Taken.LACK:  # else the loop would spin
                self.turn.loop.remove_reader(self._socket.fileno())
                self.turn.deadlines.add(self.turn.now_ns() + self.turn.limits.backoff_ns, self._listen)
                self.turn.wake()
            if taken in (Taken.NONE, Taken.LACK):
                return

    def _listen(self, _: object) -> None:
        if self._socket is not None:
            self.turn.loop.add_reader(self._socket.fileno(), self._accept)

    @property
    def address(self) -> str:
        return "{}:{}".format(*self._socket.getsockname()[:2]) if self._socket else "-"

    def joined(self, c: ControlConnection) -> None:
        self.connections[c] = None
        if len(self.connections) > self.turn.limits.control_connections:
            oldest = next(iter(self.connections))
            oldest.finish(503, "too many callers at once")

    def left(self, c: ControlConnection) -> None:
        self.connections.pop(c, None)

    def _tend(self, _: object) -> None:
        now, limits = self.turn.now_ns(), self.turn.limits
        for c in list(self.connections):
            if now - c.came_ns >= limits.control_call_ns:
                self.counters.control_bad += 1
                c.finish(408, "no whole call in time")
        self.turn.deadlines.add(now + limits.control_call_ns // 4, self._tend)
        self.turn.wake()

    def close(self) -> None:
        if self._socket is not None:
            self.turn.loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None


class HandoverFile:
    """The file by which processes of one gateway share what operators said: written whole on each change
    and well within `handover_stale_ns`, read where another process wrote it since."""

    def __init__(
        self,
        turn: Turn,
        operator: Operator,
        gateway: str,
        path: str,
        host: Host,
        adopt: Callable[[set[str], set[str]], None],
    ) -> None:
        self.turn, self.operator, self.gateway, self.path, self.host = turn, operator, gateway, path, host
        self.adopt = adopt
        self.me = ""  # this process, as `ready_by` names it
        self.ready_by = ""  # the process that said last that it takes clients
        self.taken_over: Callable[[], None] | None = None  # called once another has said so
        self.back: Callable[[], dict[str, int]] = dict  # put back from maintenance and cold since, Unix time
        self.found_back: dict[str, int] = {}
        self.found = False  # at the start, another process's file that is trusted
        self.also: Callable[[], None] = lambda: None  # looked at as often
        self._seen: tuple[int, int, int] | None = None  # (inode, mtime_ns, size), as last read or written
        self._written_ns = 0

    def first(self) -> str:
        """At the start: takes what an earlier or older process left. The log line says what was found."""
        if self.host.read_file(self.path) is None:
            return "none"
        h, why = self._read()
        if h is None:
            return f"ignored: {self.path}: {why}"
        self.operator.adopt(set(h.banned), h.version)
        self.found, self.found_back = True, h.back
        return f"{len(h.banned)} under maintenance, version {h.version}"

    def _read(self) -> tuple[ho.Handover | None, str]:
        """The file as it is, or None and why it is not trusted (counted)."""
        self._seen = self.host.stat(self.path)
        data = self.host.read_file(self.path) or b""
        try:
            h = ho.unpack(data, self.gateway, self.host.unix_ns(), self.turn.limits.handover_stale_ns)
        except ho.HandoverError as err:
            self.turn.counters.handover_bad += 1
            return None, str(err)
        self.ready_by = h.ready_by
        return h, ""

    def write(self) -> None:
        o = self.operator
        data = ho.pack(
            ho.Handover(
                self.gateway, o.version, self.host.unix_ns(), frozenset(o.banned), self.ready_by, self.back()
            )
        )
        try:
            self.host.write_file(self.path, data)
            self._seen = self.host.stat(self.path)
            self._written_ns = self.turn.now_ns()
        except OSError as err:
            self.turn.log.often("handover", f"can't write {self.path}: {err.strerror or err}")

    @property
    def other_ready(self) -> bool:
        return self.ready_by not in ("", self.me)

    def say_ready(self) -> None:
        self.ready_by = self.me
        self.write()

    def watch(self, _: object = None) -> None:
        """Reads the file where it changed, and keeps it fresh."""
        limits, now = self.turn.limits, self.turn.now_ns()
        seen = self.host.stat(self.path)
        if seen is not None and seen != self._seen:
            h, why = self._read()
            if h is None:
                self.turn.log.often("handover", f"ignored: {self.path}: {why}")
            else:
                newly, back = self.operator.adopt(set(h.banned), h.version)
                if newly or back:
                    self.adopt(newly, back)
                if self.taken_over is not None and self.other_ready:
                    self.taken_over()
        if now - self._written_ns >= limits.handover_keep_ns:
            self.write()
        self.also()
        self.turn.deadlines.add(now + limits.handover_poll_ns, self.watch)
        self.turn.wake()
