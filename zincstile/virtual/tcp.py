"""TCP on the virtual network: one side of a connection, which is an asyncio transport at once.

A `TcpTransport` is what a protocol writes to, and the machine's buffer of what has come and is not read.
Bytes leave it while the other side's window has room; they travel in segments that keep their order, the end
(FIN) comes last. A reset overtakes what is unread. As with real sockets, what was written counts as sent
once it left the process, whether it arrives or not.
"""

from __future__ import annotations

import asyncio
import errno
import os
from collections import deque
from collections.abc import Callable
from enum import StrEnum
from typing import Any, Final, NamedTuple

from .base_process import BaseProcess
from .network import Address

MAX_READ_BYTES: Final = 262144  # of a protocol that is not buffered, as asyncio's
HIGH_WATER_BYTES: Final = 65536  # asyncio's usual high-water mark of a transport's buffer
LOW_WATER_DIVISOR: Final = 4  # the low-water mark is this part of the high one, as asyncio's


class SegmentKind(StrEnum):
    """What a segment carries; the values are those of the network's record."""

    DATA = "data"
    FIN = "end"
    RESET = "reset"


class Segment(NamedTuple):
    """A piece of a connection on its way to the other side."""

    kind: SegmentKind
    data: bytes = b""


class TcpTransport(asyncio.Transport):
    """One side of a connection. `peer` is the other one; None until the connection is up."""

    def __init__(self, process: BaseProcess, local: Address, remote: Address) -> None:
        """Belong to the process, which has acquired the descriptor."""
        super().__init__()
        self.process = process
        self.network = process.network
        self.local = local
        self.remote = remote
        self.peer: TcpTransport | None = None
        self.label = ""  # in the network's record
        self.protocol: Any = None
        self.on_sent: Callable[[bytes], None] | None = None  # called with bytes as they leave
        self.unread = bytearray()  # the machine's buffer
        self.unsent = bytearray()  # written by the protocol, and not yet sent
        self.in_flight_bytes = 0  # on their way to the other side
        self.bytes_read = 0
        self.bytes_read_at_fin: int | None = None  # when the process ended its own sending; None: not yet
        self.released = False  # nothing is sent or read any more
        self._held_segments: deque[Segment] = deque()  # kept back by a network that is cut
        self._last_arrival_ns = 0  # when the segment that was sent last arrives
        self._high_water_bytes = HIGH_WATER_BYTES
        self._low_water_bytes = HIGH_WATER_BYTES // LOW_WATER_DIVISOR
        self._writing_paused = False
        self._protocol_is_buffered = False
        self._reading_begun = False
        self._reading = False
        self._read_scheduled = False
        self._closing = False
        self._eof_written = False
        self._end_sent = False
        self._end_received = False
        self._end_read = False
        self._reset_received = False
        process.connections[self] = None

    # ---- asyncio's side

    def attach(self, protocol: Any) -> None:
        """Let a protocol take over: it learns of the connection first, and then of what comes."""
        self.set_protocol(protocol)
        self.process.loop.call_soon(protocol.connection_made, self)
        self.process.loop.call_soon(self._begin_reading)

    def _begin_reading(self) -> None:
        self._reading_begun = True
        if not self._closing:
            self._reading = True
            self._schedule_read()

    def had_read_before_fin(self, position: int) -> bool:
        """Whether the process had read all bytes up to a position before it ended its own sending.

        What it reads after that can't be answered any more.
        """
        bytes_read = self.bytes_read if self.bytes_read_at_fin is None else self.bytes_read_at_fin
        return bytes_read >= position

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Both addresses, as asyncio's transports give them."""
        return {"sockname": self.local, "peername": self.remote, "socket": self}.get(name, default)

    def is_closing(self) -> bool:
        """Whether it was closed or broken."""
        return self._closing

    def set_protocol(self, protocol: Any) -> None:
        """Hand what comes to this protocol from now on."""
        self.protocol = protocol
        self._protocol_is_buffered = isinstance(protocol, asyncio.BufferedProtocol)

    def get_protocol(self) -> Any:
        """The protocol that gets what comes."""
        return self.protocol

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the water marks in bytes at which the protocol is paused and resumed."""
        self._high_water_bytes = high if high is not None else HIGH_WATER_BYTES
        self._low_water_bytes = low if low is not None else self._high_water_bytes // LOW_WATER_DIVISOR
        self._check_water_marks()

    def get_write_buffer_size(self) -> int:
        """Bytes that were written and have not left the process."""
        return len(self.unsent)

    def is_reading(self) -> bool:
        """Whether the protocol gets what comes."""
        return self._reading and not self._closing

    def pause_reading(self) -> None:
        """Leave what comes in the machine's buffer."""
        self._reading = False

    def resume_reading(self) -> None:
        """Read again."""
        if not self._closing and self._reading_begun and not self._reading:
            self._reading = True
            self._schedule_read()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send as much as the window takes and buffer the rest."""
        if self._eof_written:
            raise RuntimeError("Cannot call write() after write_eof()")
        if not data or self.released or self._closing and not self.unsent:
            return
        if self._reset_received or self.peer is None:
            self._fail(BrokenPipeError(errno.EPIPE, os.strerror(errno.EPIPE)))
            return
        self.unsent += data
        self._send_unsent()
        self._check_water_marks()

    def writelines(self, list_of_data: Any) -> None:
        """Write these pieces as one."""
        self.write(b"".join(list_of_data))

    def can_write_eof(self) -> bool:
        """Always: a TCP connection may end in one direction."""
        return True

    def write_eof(self) -> None:
        """End the sending once everything written has left."""
        if self._closing or self._eof_written:
            return
        self._eof_written = True
        if not self.unsent:
            self._send_end()

    def close(self) -> None:
        """Read nothing any more, and close once what was written has left."""
        if self._closing:
            return
        self._closing = True
        self._reading = False
        if not self.unsent:
            self.process.loop.call_soon(self._lose, None)

    def abort(self) -> None:
        """Close at once; what has not left the process is dropped."""
        self._close_at_once(None)

    def _close_at_once(self, err: Exception | None) -> None:
        if self.released:
            return
        self.unsent.clear()
        self._closing = True
        self._reading = False
        self.released = True
        self.process.loop.call_soon(self._lose, err)

    def _fail(self, err: Exception, message: str = "") -> None:
        """Close on an error, as asyncio does; one that is not the network's goes to the exception handler."""
        if not isinstance(err, OSError):
            self.process.loop.call_exception_handler(
                {"message": message, "exception": err, "protocol": self.protocol}
            )
        self._close_at_once(err)

    def _lose(self, err: Exception | None) -> None:
        if self not in self.process.connections:
            return
        self.released = True
        try:
            if self.protocol is not None:
                self.protocol.connection_lost(err)
        finally:
            self.release()

    def release(self) -> None:
        """Close the socket: the other side reads the end, or a reset where something lay unread."""
        del self.process.connections[self]
        self.process.release_descriptor()
        if self.peer is not None and not self._reset_received:
            if self.unread:
                self.send_reset()
            elif not self._end_sent:
                self._send_end()
        self.unread.clear()

    def reset_by_machine(self) -> None:
        """Reset the connection, as the machine does when the process has died."""
        self.process.connections.pop(self, None)
        self.released = True
        self._closing = True
        if self.peer is not None and not self._reset_received:
            self.send_reset()

    def reset_both_sides(self) -> None:
        """Reset both sides from beneath, as a path does that forgets the connection."""
        if self.peer is not None:
            other = self.peer
            self.receive(Segment(SegmentKind.RESET))
            other.receive(Segment(SegmentKind.RESET))

    def _check_water_marks(self) -> None:
        if not self._writing_paused and len(self.unsent) > self._high_water_bytes:
            self._writing_paused = True
            self.protocol.pause_writing()
        elif self._writing_paused and len(self.unsent) <= self._low_water_bytes:
            self._writing_paused = False
            self.protocol.resume_writing()

    # ---- what leaves

    def _send_unsent(self) -> None:
        """Send what the window takes, cut up by the network's draws."""
        room = self.network.settings.window_bytes - self.in_flight_bytes - len(self.peer.unread)
        if room <= 0:
            return
        data = bytes(self.unsent[:room])
        del self.unsent[:room]
        if self.on_sent is not None:
            self.on_sent(data)
        rng, split_ratio = self.network.rng, self.network.settings.split_ratio
        while split_ratio and len(data) > 1 and rng.random() < split_ratio:
            position = rng.randrange(1, len(data))
            self._send(Segment(SegmentKind.DATA, data[:position]))
            data = data[position:]
        self._send(Segment(SegmentKind.DATA, data))

    def window_opened(self) -> None:
        """Go on sending: the other side has read, and its window has room again."""
        if self.released or not self.unsent or self.peer is None:
            return
        self._send_unsent()
        self._check_water_marks()
        if not self.unsent:
            if self._closing:
                self._lose(None)
            elif self._eof_written:
                self._send_end()

    def send_reset(self) -> None:
        """Send a reset to the other side."""
        self._send(Segment(SegmentKind.RESET))

    def _send_end(self) -> None:
        if not self._end_sent:
            self._end_sent = True
            self.bytes_read_at_fin = self.bytes_read
            self._send(Segment(SegmentKind.FIN))
            if self.network.on_fin_sent is not None:
                self.network.on_fin_sent(self)

    def _send(self, segment: Segment) -> None:
        network, peer = self.network, self.peer
        self.in_flight_bytes += len(segment.data)
        network.record(segment.kind.value, self.label, segment.data)
        if self._held_segments or network.is_cut(self.process.host, peer.process.host):
            self._held_segments.append(segment)
            return
        self.hold_order(network.scheduler.now_ns + network.delay_ns(self.process, peer.process))
        network.scheduler.call_at(self._last_arrival_ns, peer.receive, segment)

    def hold_order(self, arrival_ns: int) -> None:
        """Let no segment arrive before that time, since one before it does not."""
        self._last_arrival_ns = max(arrival_ns, self._last_arrival_ns)

    def send_held_segments(self) -> None:
        """Send what was held back, unless the network is still cut here."""
        if not self._held_segments or self.network.is_cut(self.process.host, self.peer.process.host):
            return
        held, self._held_segments = self._held_segments, deque()
        for segment in held:
            self.in_flight_bytes -= len(segment.data)
            self._send(segment)

    # ---- what arrives

    def receive(self, segment: Segment) -> None:
        """Take a segment of the other side into the machine's buffer."""
        self.peer.in_flight_bytes -= len(segment.data)
        if self not in self.process.connections or self._reset_received:
            if segment.kind is not SegmentKind.RESET and not self._reset_received:  # nobody is here any more
                self._reset_received = True
                self.send_reset()
            return
        if segment.kind is SegmentKind.DATA:
            self.unread += segment.data
        elif segment.kind is SegmentKind.FIN:
            self._end_received = True
        else:
            self._reset_received = True
            self.unread.clear()  # as a reset overtakes what is unread
            self.unsent.clear()
        self._schedule_read()

    @property
    def was_reset(self) -> bool:
        """Whether a reset of the other side has come."""
        return self._reset_received

    @property
    def has_unread(self) -> bool:
        """Whether something has come that the process has not read: bytes, or the end."""
        return bool(self.unread) or self._reset_received or self._end_received and not self._end_read

    @property
    def peer_has_ended(self) -> bool:
        """Whether the other side's end has come, read or not."""
        return self._end_received or self._reset_received

    def _schedule_read(self) -> None:
        if not self._read_scheduled and self._reading and self.has_unread:
            self._read_scheduled = True
            process = self.process
            at_ns = process.next_quantum_ns(process.scheduler.now_ns)
            process.scheduler.call_at(at_ns, self._read, process=process)

    def _read(self) -> None:
        self._read_scheduled = False
        if not self._reading or self.released:
            return
        if self._reset_received:
            self._fail(ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET)))
            return
        try:
            if self.unread:
                self._read_bytes()
            elif self._end_received and not self._end_read:
                self._read_end()
                return
        except Exception as err:
            self._fail(err, f"Fatal error: {type(self.protocol).__name__} raised on what it read")
            return
        self._schedule_read()

    def _read_end(self) -> None:
        self._end_read = True
        self._reading = False
        if not self.protocol.eof_received():
            self.close()

    def _read_bytes(self) -> None:
        limit = self.network.settings.max_read_bytes or MAX_READ_BYTES
        if self._protocol_is_buffered:
            view = memoryview(self.protocol.get_buffer(-1))
            size = min(len(view), len(self.unread), limit)
            view[:size] = self.unread[:size]
            self._consume(size)
            self.protocol.buffer_updated(size)
        else:
            size = min(MAX_READ_BYTES, len(self.unread), limit)
            data = bytes(self.unread[:size])
            self._consume(size)
            self.protocol.data_received(data)

    def _consume(self, size: int) -> None:
        """Drop what was read from the machine's buffer, and tell the other side of the room."""
        del self.unread[:size]
        self.bytes_read += size
        peer = self.peer
        if peer.unsent and not peer.released:
            at_ns = self.process.scheduler.now_ns + self.network.delay_ns(self.process, peer.process)
            self.process.scheduler.call_at(at_ns, peer.window_opened, process=peer.process)
