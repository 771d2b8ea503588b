"""The clients' side in RESP: connections, the commands on them, and answers in the order of the commands."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque

from .. import interface as i
from . import resp
from .counters import Counters
from .session import Answer, Call, Kind, Session
from .turn import Turn

READ, WRITE = b"CALL.GET", b"CALL.POST"
SERVED, DENIED = Kind.SERVED, Kind.DENIED


class CallError(ValueError):
    """A command that is no call; the text is for the client."""


class CallReader:
    """Reads a client's command: what it asks of the module, and what is passed on."""

    __slots__ = ("classes", "plans", "margin_ns")

    def __init__(self, settings: i.Settings, margin_ns: int) -> None:
        self.classes = {c.name.encode(): (k, c) for k, c in enumerate(settings.classes)}
        self.plans = {p.name.encode(): k for k, p in enumerate(settings.plans)}
        self.margin_ns = margin_ns

    def read(self, words: list[bytes], number: int, now: int) -> tuple[Call, i.Request]:
        verb = words[0].upper()
        if verb != READ and verb != WRITE:
            raise CallError("unknown command")
        if not 4 <= len(words) <= (4 if verb == READ else 5):
            raise CallError("wrong number of words")
        fields = words[3].split(b",")
        given: dict[bytes, bytes] = {}
        wait_at = -1
        for at, field in enumerate(fields):
            name, equals, value = field.partition(b"=")
            if not equals or name in given:
                raise CallError("malformed list of names and values")
            if name == b"d":
                wait_at = at
            given[name] = value
        try:
            cls, spec = self.classes[given[b"c"]]
            plan = self.plans[given[b"t"]]
            digits = (given[b"d"], given[b"spread"], given[b"first"])
            if not all(d.isdigit() for d in digits):  # int() would take signs, blanks and underlines too
                raise ValueError
            wait_ms, spread, first = (int(d) for d in digits)
            units, customer = float(given[b"units"]), int(words[1], 16)
        except KeyError as err:
            raise CallError(f"missing or unknown: {err.args[0]!r}") from None
        except ValueError:
            raise CallError("a value that is no number") from None
        if len(words[1]) != 16 or not words[1].isalnum() or customer >= 2**33 or not words[2]:
            raise CallError("no such customer or id")
        if not (0 < wait_ms <= 3_600_000 and 0 < units < 1e6 and 0 < spread < 2**16 and 0 <= first < 2**16):
            raise CallError("a value out of range")
        if (spec.effect is i.Effect.SAFE) != (verb == READ):
            raise CallError("the wrong command for this class")
        if spec.effect is i.Effect.KEYED and not given.get(b"k"):
            raise CallError("no key")
        wait_ns = wait_ms * 1_000_000
        give_up = now + wait_ns - min(self.margin_ns, wait_ns // 2)
        call = Call(verb == READ, words[1], words[2], fields, wait_at, words[4] if len(words) > 4 else None)
        return call, i.Request(number, cls, plan, customer, give_up, units, spread, first,
                               given.get(b"r") == b"1")


class ClientConnection(asyncio.BufferedProtocol):
    """One client. Its commands are answered in order; it is read no further while too much is unanswered."""

    __slots__ = ("door", "turn", "counters", "transport", "_parser", "_waiting", "_out", "_dirty", "_closing",
                 "_full", "_paused", "rested_ns", "begun_ns")

    def __init__(self, door: FrontDoor) -> None:
        self.door, self.turn, self.counters = door, door.turn, door.turn.counters
        self.transport: asyncio.Transport | None = None
        self._parser = resp.CommandParser(door.turn.limits)
        self._waiting: deque[Session | bytes] = deque()  # in the order of the commands; bytes: answered here
        self._out: list[bytes] = []
        self._dirty = self._closing = self._full = self._paused = False
        self.rested_ns = 0
        self.begun_ns = 0  # when the command that is not whole yet began

    # ---- asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(high=self.turn.limits.written_bytes)
        self.rested_ns = time.monotonic_ns()
        self.counters.clients += 1
        self.door.joined(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.door.buffer

    def buffer_updated(self, size: int) -> None:
        self._read(bytes(self.door.buffer[:size]))

    def pause_writing(self) -> None:
        """Guards the memory against clients that ask and do not read their answers."""
        self._full = True
        self._throttle()

    def resume_writing(self) -> None:
        self._full = False
        self._throttle()

    def eof_received(self) -> None:
        return None  # the client is gone: the transport closes itself

    def connection_lost(self, err: Exception | None) -> None:
        self._closing = True
        self.door.left(self)
        waiting, self._waiting = self._waiting, deque()
        for session in waiting:
            if isinstance(session, Session):
                self.turn.leave(session)

    # ---- commands in

    @property
    def idle(self) -> bool:
        return not self._waiting and not self._out and self._parser.idle and not self._closing

    def _read(self, data: bytes) -> None:
        if self._closing:
            return
        for words in self._parser.feed(data):
            self._command(words)
        self.begun_ns = 0 if self._parser.idle else self.begun_ns or time.monotonic_ns()
        if self._parser.error:  # nothing after it can be understood
            self.counters.malformed += 1
            self._reply(resp.error("Protocol error: " + self._parser.error))
            self._closing = True
            self.transport.pause_reading()
        self._throttle()

    def _command(self, words: list[bytes]) -> None:
        if not words:
            return
        turn = self.turn
        if len(words) == 1 and words[0].upper() == b"PING":
            self.counters.pings += 1
            self._reply(resp.PONG if self.door.ready else resp.error("not ready"))
            return
        number, now = turn.next_id(), time.monotonic_ns()
        try:
            call, request = self.door.reader.read(words, number, now)
        except CallError as err:
            self.counters.malformed += 1
            self._reply(resp.error(str(err)))
            return
        if len(turn.sessions) >= turn.limits.sessions or not self.door.ready:
            self.counters.denied += 1
            self._reply(resp.busy(0))
            return
        session = Session(number, call, self, request.give_up_ns)
        self._waiting.append(session)
        turn.take(session, request)

    def _throttle(self) -> None:
        if self._closing or self.transport.is_closing():
            return
        stop = self._full or len(self._waiting) > self.turn.limits.pipelined
        if stop != self._paused:
            self._paused = stop
            if stop:
                self.transport.pause_reading()
            else:
                self.transport.resume_reading()

    # ---- answers out

    def _reply(self, data: bytes) -> None:
        """An answer that needs no module."""
        if self._waiting:
            self._waiting.append(data)
        else:
            self._out.append(data)
        self._mark()

    def _mark(self) -> None:
        if not self._dirty:
            self._dirty = True
            self.turn.write_later(self)

    def answer(self, session: Session, answer: Answer) -> None:
        if answer.kind is SERVED:
            session.reply = resp.bulk(answer.value)
        elif answer.kind is DENIED:
            session.reply = resp.busy(answer.retry_ms)
        else:
            session.reply = resp.error("failed")
        self._mark()

    def flush(self) -> None:
        """Writes once what can be answered by now, in the order of the commands."""
        self._dirty = False
        waiting, out = self._waiting, self._out
        while waiting:
            first = waiting[0]
            reply = first.reply if isinstance(first, Session) else first
            if reply is None:
                break
            out.append(reply)
            waiting.popleft()
        if out:
            self._out = []
            if not self.transport.is_closing():
                self.transport.write(out[0] if len(out) == 1 else b"".join(out))
        if not waiting:
            self.rested_ns = time.monotonic_ns()
            if self._closing or self.door.closing:
                self.transport.close()
                return
        if self._paused:
            self._throttle()

    def drop_if_stuck(self, before: int) -> None:
        """Guards the descriptors against clients that begin a command and never end it."""
        if 0 < self.begun_ns < before and not self._waiting and not self.transport.is_closing():
            self.transport.abort()

    def close_if_idle(self) -> bool:
        if self.idle and not self.transport.is_closing():
            self._closing = True
            self.transport.close()
            return True
        return False


class FrontDoor:
    """The listening socket and all clients that came in by it."""

    def __init__(self, turn: Turn, settings: i.Settings, buffer: memoryview) -> None:
        self.turn, self.buffer = turn, buffer
        self.reader = CallReader(settings, turn.limits.margin_ns)
        self.ready = False
        self.closing = False  # every connection is closed as soon as nothing is owed on it
        self.clients: dict[ClientConnection, None] = {}
        self._socket: socket.socket | None = None
        self._coming = 0
        self._listening = False
        self._tasks: set[asyncio.Task] = set()

    def listen(self, address: tuple[str, int]) -> None:
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(address)
        self._socket.listen(self.turn.limits.backlog)
        self._resume()
        self._tend(None)

    def _tend(self, _: object) -> None:
        now, limits = time.monotonic_ns(), self.turn.limits
        for client in list(self.clients):
            client.drop_if_stuck(now - limits.command_ns)
        self.turn.deadlines.add(now + limits.tend_ns, self._tend)

    @property
    def address(self) -> str:
        return "{}:{}".format(*self._socket.getsockname()[:2])

    @property
    def counters(self) -> Counters:
        return self.turn.counters

    def _resume(self, _: object = None) -> None:
        if self._socket is not None and not self._listening:
            self._listening = True
            self.turn.loop.add_reader(self._socket.fileno(), self._accept)

    def _pause(self) -> None:
        if self._socket is not None and self._listening:
            self._listening = False
            self.turn.loop.remove_reader(self._socket.fileno())

    def _accept(self) -> None:
        limits = self.turn.limits
        for _ in range(limits.accepts):
            if len(self.clients) + self._coming >= limits.frontend_connections and not self._make_room():
                # Guards against running out of descriptors: the rest waits in the backlog until one is free.
                self.turn.log.often("full", f"{len(self.clients)} client connections: taking no more for now")
                self._pause()
                self.turn.deadlines.add(time.monotonic_ns() + limits.spare_ns, self._resume)
                self.turn.wake()
                return
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as err:
                self.turn.log.often("accept", f"failed: {err.strerror}")
                return
            connection.setblocking(False)
            self._coming += 1
            task = self.turn.loop.create_task(self._welcome(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _welcome(self, connection: socket.socket) -> None:
        try:
            await self.turn.loop.connect_accepted_socket(lambda: ClientConnection(self), connection)
        except OSError:
            connection.close()
        finally:
            self._coming -= 1

    def _make_room(self) -> bool:
        """Closes the client connection that has rested longest; its client opens another when needed. One
        that has only just come, or got its answer, is spared: its next request may be here, not yet read."""
        before = time.monotonic_ns() - self.turn.limits.spare_ns
        resting = [c for c in self.clients if c.idle and c.rested_ns < before]
        return bool(resting) and min(resting, key=lambda c: c.rested_ns).close_if_idle()

    def joined(self, client: ClientConnection) -> None:
        self.clients[client] = None

    def left(self, client: ClientConnection) -> None:
        self.clients.pop(client, None)
        if not self.closing:
            self._resume()

    def shut(self) -> None:
        """Takes no more connections, and closes each one when nothing is owed on it."""
        if self._socket is not None:
            self._accept()  # what the machine has accepted is taken
            self._pause()
            self._socket.close()
            self._socket = None
        self.closing = True
        self.close_idle()

    def close_idle(self) -> None:
        for client in list(self.clients):
            client.close_if_idle()

    @property
    def empty(self) -> bool:
        return not self.clients and not self._coming
