"""TCP on the virtual network: one side of a connection, which is an asyncio transport at once.

An endpoint is the transport that a protocol writes to, and the machine's buffer of what has come and is not
read. Bytes leave the transport while the other side's window has room; they travel in pieces whose order
holds, and whose end (FIN) comes last. A reset passes what is unread. As with real sockets, what was written
counts as sent once it left the process, whether it arrives or not.
"""

from __future__ import annotations

import asyncio
import errno
import os
from collections import deque
from collections.abc import Callable
from typing import Any

from .base_process import BaseProcess
from .network import Address

READ_MOST_BYTES = 262144  # largest read of a protocol that is not buffered, as asyncio's
HIGH_WATER_BYTES = 65536  # asyncio's usual high-water mark of a transport's buffer


class Endpoint(asyncio.Transport):
    """One side of a connection."""

    def __init__(self, process: BaseProcess, local: Address, remote: Address) -> None:
        super().__init__()
        self.process, self.network, self.local, self.remote = process, process.network, local, remote
        self.peer: Endpoint | None = None
        self.label = ""
        self.protocol: Any = None
        self.inbox = bytearray()  # the machine's: come and not read
        self.taken = 0  # bytes that the process has read
        self.taken_at_end: int | None = None  # of these, when it ended its own sending; None: not yet
        self.sent = 0  # bytes that have left the process
        self.on_sent: Callable[[bytes], None] | None = None  # told of these, as they leave
        self.flying = 0  # bytes on their way to the other side
        self._out = bytearray()  # written by the protocol, not yet sent
        self._high, self._low = HIGH_WATER_BYTES, HIGH_WATER_BYTES // 4
        self._full = self._buffered = False
        self._last_ns = 0  # when the last piece that was sent arrives
        self._held: deque[tuple[str, bytes]] = deque()  # kept back by a network that is cut
        self._reading = self._begun = self._closing = self._gone = self._waits = False
        self._eof_out = self._fin_sent = self._fin_in = self._fin_read = self._reset_in = False
        process.endpoints[self] = None

    # ---- asyncio's side

    def begin(self, protocol: Any) -> None:
        """A protocol takes over: it hears of the connection first, and then of what comes."""
        self.protocol, self._buffered = protocol, isinstance(protocol, asyncio.BufferedProtocol)
        self.process.loop.call_soon(protocol.connection_made, self)
        self.process.loop.call_soon(self._begin_reading)

    def _begin_reading(self) -> None:
        self._begun = True
        if not self._closing:
            self._reading = True
            self._wake()

    def took_before_end(self, position: int) -> bool:
        """The process had read all bytes up to this position before it ended its own sending. What it reads
        after that can't be answered any more."""
        taken = self.taken if self.taken_at_end is None else self.taken_at_end
        return taken >= position

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"sockname": self.local, "peername": self.remote, "socket": self}.get(name, default)

    def is_closing(self) -> bool:
        return self._closing

    def set_protocol(self, protocol: Any) -> None:
        self.protocol, self._buffered = protocol, isinstance(protocol, asyncio.BufferedProtocol)

    def get_protocol(self) -> Any:
        return self.protocol

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self._high = high if high is not None else HIGH_WATER_BYTES
        self._low = low if low is not None else self._high // 4
        self._check_water_marks()

    def get_write_buffer_size(self) -> int:
        return len(self._out)

    def is_reading(self) -> bool:
        return self._reading and not self._closing

    def pause_reading(self) -> None:
        self._reading = False

    def resume_reading(self) -> None:
        if not self._closing and self._begun and not self._reading:
            self._reading = True
            self._wake()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self._eof_out:
            raise RuntimeError("Cannot call write() after write_eof()")
        if not data or self._gone or self._closing and not self._out:
            return
        if self._reset_in or self.peer is None:
            self._fail(BrokenPipeError(errno.EPIPE, os.strerror(errno.EPIPE)))
            return
        self._out += data
        self._push()
        self._check_water_marks()

    def writelines(self, list_of_data: Any) -> None:
        self.write(b"".join(list_of_data))

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        if self._closing or self._eof_out:
            return
        self._eof_out = True
        if not self._out:
            self._send_fin()

    def close(self) -> None:
        """What was written still goes; nothing is read any more."""
        if self._closing:
            return
        self._closing = True
        self._reading = False
        if not self._out:
            self.process.loop.call_soon(self._lose, None)

    def abort(self) -> None:
        """What has not left the process is dropped."""
        self._force(None)

    def _force(self, err: Exception | None) -> None:
        if self._gone:
            return
        self._out.clear()
        self._closing, self._reading, self._gone = True, False, True
        self.process.loop.call_soon(self._lose, err)

    def _fail(self, err: Exception, message: str = "") -> None:
        """As asyncio does with what a connection can't bear. What is no trouble of the network is told."""
        if not isinstance(err, OSError):
            self.process.loop.call_exception_handler(
                {"message": message, "exception": err, "protocol": self.protocol}
            )
        self._force(err)

    def _lose(self, err: Exception | None) -> None:
        if self not in self.process.endpoints:
            return
        self._gone = True
        try:
            if self.protocol is not None:
                self.protocol.connection_lost(err)
        finally:
            self._release()

    def _release(self) -> None:
        """The socket is closed: the other side reads the end, or a reset where something lay unread."""
        del self.process.endpoints[self]
        self.process.give_descriptor()
        if self.peer is not None and not self._reset_in:
            if self.inbox:
                self._send("reset", b"")
            elif not self._fin_sent:
                self._send_fin()
        self.inbox.clear()

    def cut(self) -> None:
        """The process has died: its machine resets the connection."""
        self.process.endpoints.pop(self, None)
        self._gone = self._closing = True
        if self.peer is not None and not self._reset_in:
            self._send("reset", b"")

    def refuse(self) -> None:
        """The connection breaks beneath both sides, as a path does that forgets it."""
        if self.peer is not None:
            other = self.peer
            self._arrive("reset", b"")
            other._arrive("reset", b"")

    def _check_water_marks(self) -> None:
        if not self._full and len(self._out) > self._high:
            self._full = True
            self.protocol.pause_writing()
        elif self._full and len(self._out) <= self._low:
            self._full = False
            self.protocol.resume_writing()

    # ---- what leaves

    def _push(self) -> None:
        peer = self.peer
        room = self.network.ways.window_bytes - self.flying - len(peer.inbox)
        if room <= 0:
            return
        if len(self._out) <= room:
            data = bytes(self._out)
            self._out.clear()
        else:
            data = bytes(self._out[:room])
            del self._out[:room]
        self.sent += len(data)
        if self.on_sent is not None:
            self.on_sent(data)
        rng, ways = self.network.rng, self.network.ways
        while ways.split and len(data) > 1 and rng.random() < ways.split:
            at = rng.randrange(1, len(data))
            self._send("data", data[:at])
            data = data[at:]
        self._send("data", data)

    def _room(self) -> None:
        """The other side has read: its window has room again."""
        if self._gone or not self._out or self.peer is None:
            return
        self._push()
        self._check_water_marks()
        if not self._out:
            if self._closing:
                self._lose(None)
            elif self._eof_out:
                self._send_fin()

    def _send_fin(self) -> None:
        if not self._fin_sent:
            self._fin_sent = True
            self.taken_at_end = self.taken
            self._send("end", b"")
            if self.network.on_end is not None:
                self.network.on_end(self)

    def _send(self, what: str, data: bytes) -> None:
        network, peer = self.network, self.peer
        self.flying += len(data)
        network.note(what, self.label, data)
        if self._held or network.silent(self.process.host, peer.process.host):
            self._held.append((what, data))
            return
        at = network.scheduler.now_ns + network.way_ns(self.process, peer.process)
        self._last_ns = at = max(at, self._last_ns)
        network.scheduler.at(at, peer._arrive, what, data)

    def resume_held(self) -> None:
        """The network is mended: what was held back goes on its way."""
        if not self._held or self.network.silent(self.process.host, self.peer.process.host):
            return
        held, self._held = self._held, deque()
        for what, data in held:
            self.flying -= len(data)
            self._send(what, data)

    # ---- what arrives

    def _arrive(self, what: str, data: bytes) -> None:
        peer = self.peer
        peer.flying -= len(data)
        if self not in self.process.endpoints or self._reset_in:
            if what != "reset" and not self._reset_in:  # nobody is here any more
                self._reset_in = True
                self._send("reset", b"")
            return
        if what == "data":
            self.inbox += data
        elif what == "end":
            self._fin_in = True
        else:
            self._reset_in = True
            self.inbox.clear()  # as a reset passes what is unread
            self._out.clear()
        self._wake()

    @property
    def waiting(self) -> bool:
        """Something has come that the process has not read: bytes, or the end."""
        return bool(self.inbox) or self._reset_in or self._fin_in and not self._fin_read

    @property
    def over(self) -> bool:
        """The other side's end has come, read or not."""
        return self._fin_in or self._reset_in

    def _wake(self) -> None:
        if not self._waits and self._reading and self.waiting:
            self._waits = True
            process = self.process
            process.scheduler.at(process.ready_ns(process.scheduler.now_ns), self._read, process=process)

    def _read(self) -> None:
        self._waits = False
        if not self._reading or self._gone:
            return
        if self._reset_in:
            self._fail(ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET)))
            return
        try:
            if self.inbox:
                self._read_some()
            elif self._fin_in and not self._fin_read:
                self._fin_read = True
                self._reading = False
                if not self.protocol.eof_received():
                    self.close()
                return
        except Exception as err:
            self._fail(err, f"Fatal error: {type(self.protocol).__name__} could not bear what it read")
            return
        self._wake()

    def _read_some(self) -> None:
        most = self.network.ways.read_bytes or READ_MOST_BYTES
        if self._buffered:
            view = memoryview(self.protocol.get_buffer(-1))
            size = min(len(view), len(self.inbox), most)
            view[:size] = self.inbox[:size]
        else:
            size = min(READ_MOST_BYTES, len(self.inbox), most)
        data = b"" if self._buffered else bytes(self.inbox[:size])
        del self.inbox[:size]
        self.taken += size
        peer = self.peer
        if peer._out and not peer._gone:
            way = self.network.way_ns(self.process, peer.process)
            self.process.scheduler.at(self.process.scheduler.now_ns + way, peer._room, process=peer.process)
        if self._buffered:
            self.protocol.buffer_updated(size)
        else:
            self.protocol.data_received(data)
