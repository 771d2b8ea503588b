"""TCP on the virtual network: one side of a connection, which is also an asyncio transport.

A `TcpTransport` is the transport that a protocol writes to, and the receive buffer of the machine. Bytes are
sent while the peer's receive window has space; they travel in segments that stay in order, with the FIN last.
A reset discards unread input. As with real sockets, bytes count as sent once they left the process, whether
or not they arrive.
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

MAX_READ_BYTES: Final = 262144  # per read of an unbuffered protocol, as in asyncio
HIGH_WATER_BYTES: Final = 65536  # asyncio's default high-water mark of a write buffer
LOW_WATER_DIVISOR: Final = 4  # the low-water mark is the high one divided by this, as in asyncio


class SegmentKind(StrEnum):
    """The kind of a segment; the values are written to the network's record."""

    DATA = "data"
    FIN = "end"
    RESET = "reset"


class Segment(NamedTuple):
    """A TCP segment."""

    kind: SegmentKind
    data: bytes = b""


class TcpTransport(asyncio.Transport):
    """One side of a connection. `peer` is the other side; None until the connection is established."""

    def __init__(self, process: BaseProcess, local: Address, remote: Address) -> None:
        """Creates a transport of `process`; the caller has acquired the descriptor."""
        super().__init__()
        self.process = process
        self.network = process.network
        self.local = local
        self.remote = remote
        self.peer: TcpTransport | None = None
        self.label = ""  # location in the network's record
        self.protocol: Any = None
        self.on_sent: Callable[[bytes], None] | None = None  # called with bytes as they are sent
        self.unread = bytearray()  # the receive buffer
        self.unsent = bytearray()  # the write buffer: written by the protocol, and not yet sent
        self.in_flight_bytes = 0  # sent, and not yet received by the peer
        self.bytes_read = 0
        self.bytes_read_at_fin: int | None = None  # `bytes_read` when the FIN was sent; None: not yet
        self.released = False  # nothing more is sent or read
        self._blocked_segments: deque[Segment] = deque()  # not sent, as the path is cut
        self._last_arrival_ns = 0  # arrival time of the last segment sent
        self._high_water_bytes = HIGH_WATER_BYTES
        self._low_water_bytes = HIGH_WATER_BYTES // LOW_WATER_DIVISOR
        self._writing_paused = False
        self._protocol_is_buffered = False
        self._reading_started = False
        self._reading = False
        self._read_scheduled = False
        self._closing = False
        self._eof_written = False
        self._fin_sent = False
        self._fin_received = False
        self._eof_delivered = False
        self._reset_received = False
        process.connections[self] = None

    # ---- the interface of asyncio's transports

    def attach(self, protocol: Any) -> None:
        """Attaches a protocol: schedules `connection_made`, and then reading."""
        self.set_protocol(protocol)
        self.process.loop.call_soon(protocol.connection_made, self)
        self.process.loop.call_soon(self._start_reading)

    def _start_reading(self) -> None:
        self._reading_started = True
        if not self._closing:
            self._reading = True
            self._schedule_read()

    def had_read_before_fin(self, position: int) -> bool:
        """Returns whether the process had read all bytes up to `position` before it sent its FIN.

        It can't answer what it reads after that.
        """
        bytes_read = self.bytes_read if self.bytes_read_at_fin is None else self.bytes_read_at_fin
        return bytes_read >= position

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns `sockname`, `peername` or `socket`, as asyncio's transports do."""
        return {"sockname": self.local, "peername": self.remote, "socket": self}.get(name, default)

    def is_closing(self) -> bool:
        """Returns whether the transport is closing or closed, by its owner or by an error."""
        return self._closing

    def set_protocol(self, protocol: Any) -> None:
        """Sets the protocol that input is delivered to."""
        self.protocol = protocol
        self._protocol_is_buffered = isinstance(protocol, asyncio.BufferedProtocol)

    def get_protocol(self) -> Any:
        """Returns the protocol that input is delivered to."""
        return self.protocol

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Sets the water marks in bytes at which the protocol's writing is paused and resumed."""
        self._high_water_bytes = high if high is not None else HIGH_WATER_BYTES
        self._low_water_bytes = low if low is not None else self._high_water_bytes // LOW_WATER_DIVISOR
        self._check_water_marks()

    def get_write_buffer_size(self) -> int:
        """Returns the number of bytes written and not yet sent."""
        return len(self.unsent)

    def is_reading(self) -> bool:
        """Returns whether input is delivered to the protocol."""
        return self._reading and not self._closing

    def pause_reading(self) -> None:
        """Leaves input in the receive buffer."""
        self._reading = False

    def resume_reading(self) -> None:
        """Resumes the delivery of input."""
        if not self._closing and self._reading_started and not self._reading:
            self._reading = True
            self._schedule_read()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Sends as much as the window allows and buffers the remainder."""
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
        """Writes the concatenated data."""
        self.write(b"".join(list_of_data))

    def can_write_eof(self) -> bool:
        """Returns True: a TCP connection can be closed in one direction."""
        return True

    def write_eof(self) -> None:
        """Sends a FIN once the write buffer is empty."""
        if self._closing or self._eof_written:
            return
        self._eof_written = True
        if not self.unsent:
            self._send_fin()

    def close(self) -> None:
        """Stops reading, and closes once the write buffer is empty."""
        if self._closing:
            return
        self._closing = True
        self._reading = False
        if not self.unsent:
            self.process.loop.call_soon(self._finish_close, None)

    def abort(self) -> None:
        """Closes at once; discards the write buffer."""
        self._close_at_once(None)

    def _close_at_once(self, err: Exception | None) -> None:
        if self.released:
            return
        self.unsent.clear()
        self._closing = True
        self._reading = False
        self.released = True
        self.process.loop.call_soon(self._finish_close, err)

    def _fail(self, err: Exception, message: str = "") -> None:
        """Closes on an error, as asyncio does; errors other than OSError go to the exception handler."""
        if not isinstance(err, OSError):
            self.process.loop.call_exception_handler(
                {"message": message, "exception": err, "protocol": self.protocol}
            )
        self._close_at_once(err)

    def _finish_close(self, err: Exception | None) -> None:
        if self not in self.process.connections:
            return
        self.released = True
        try:
            if self.protocol is not None:
                self.protocol.connection_lost(err)
        finally:
            self.release()

    def release(self) -> None:
        """Closes the socket: sends a FIN, or a reset if there is unread input."""
        del self.process.connections[self]
        self.process.release_descriptor()
        if self.peer is not None and not self._reset_received:
            if self.unread:
                self.send_reset()
            elif not self._fin_sent:
                self._send_fin()
        self.unread.clear()

    def reset_by_machine(self) -> None:
        """Resets the connection, as the operating system does when the process has died."""
        self.process.connections.pop(self, None)
        self.released = True
        self._closing = True
        if self.peer is not None and not self._reset_received:
            self.send_reset()

    def reset_both_sides(self) -> None:
        """Resets both sides, as a network device does that lost its state of the connection."""
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

    # ---- sending

    def _send_unsent(self) -> None:
        """Sends what the window allows, randomly split into segments."""
        window_space = self.network.settings.window_bytes - self.in_flight_bytes - len(self.peer.unread)
        if window_space <= 0:
            return
        data = bytes(self.unsent[:window_space])
        del self.unsent[:window_space]
        if self.on_sent is not None:
            self.on_sent(data)
        rng, split_ratio = self.network.rng, self.network.settings.split_ratio
        while split_ratio and len(data) > 1 and rng.random() < split_ratio:
            position = rng.randrange(1, len(data))
            self._send(Segment(SegmentKind.DATA, data[:position]))
            data = data[position:]
        self._send(Segment(SegmentKind.DATA, data))

    def window_opened(self) -> None:
        """Resumes sending after the peer has read, so that its window has space again."""
        if self.released or not self.unsent or self.peer is None:
            return
        self._send_unsent()
        self._check_water_marks()
        if not self.unsent:
            if self._closing:
                self._finish_close(None)
            elif self._eof_written:
                self._send_fin()

    def send_reset(self) -> None:
        """Sends a reset to the peer."""
        self._send(Segment(SegmentKind.RESET))

    def _send_fin(self) -> None:
        if not self._fin_sent:
            self._fin_sent = True
            self.bytes_read_at_fin = self.bytes_read
            self._send(Segment(SegmentKind.FIN))
            if self.network.on_fin_sent is not None:
                self.network.on_fin_sent(self)

    def _send(self, segment: Segment) -> None:
        network, peer = self.network, self.peer
        self.in_flight_bytes += len(segment.data)
        network.record(segment.kind.value, self.label, segment.data)
        if self._blocked_segments or network.is_cut(self.process.host, peer.process.host):
            self._blocked_segments.append(segment)
            return
        self.delay_arrivals_until(network.scheduler.now_ns + network.delay_ns(self.process, peer.process))
        network.scheduler.call_at(self._last_arrival_ns, peer.receive, segment)

    def delay_arrivals_until(self, arrival_ns: int) -> None:
        """Lets no later segment arrive before `arrival_ns`, when an earlier one arrives."""
        self._last_arrival_ns = max(arrival_ns, self._last_arrival_ns)

    def send_blocked_segments(self) -> None:
        """Sends the blocked segments, unless the path is still cut."""
        if not self._blocked_segments or self.network.is_cut(self.process.host, self.peer.process.host):
            return
        blocked, self._blocked_segments = self._blocked_segments, deque()
        for segment in blocked:
            self.in_flight_bytes -= len(segment.data)
            self._send(segment)

    # ---- receiving

    def receive(self, segment: Segment) -> None:
        """Adds a segment of the peer to the receive buffer."""
        self.peer.in_flight_bytes -= len(segment.data)
        if self not in self.process.connections or self._reset_received:
            if segment.kind is not SegmentKind.RESET and not self._reset_received:  # the socket is closed
                self._reset_received = True
                self.send_reset()
            return
        if segment.kind is SegmentKind.DATA:
            self.unread += segment.data
        elif segment.kind is SegmentKind.FIN:
            self._fin_received = True
        else:
            self._reset_received = True
            self.unread.clear()  # a reset discards unread input
            self.unsent.clear()
        self._schedule_read()

    @property
    def was_reset(self) -> bool:
        """Whether a reset has been received."""
        return self._reset_received

    @property
    def has_unread(self) -> bool:
        """Whether the process has not read all input: bytes, a FIN or a reset."""
        return bool(self.unread) or self._reset_received or self._fin_received and not self._eof_delivered

    @property
    def peer_has_closed(self) -> bool:
        """Whether a FIN or a reset has been received, whether or not the process has read it."""
        return self._fin_received or self._reset_received

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
                self._deliver_bytes()
            elif self._fin_received and not self._eof_delivered:
                self._deliver_eof()
                return
        except Exception as err:
            self._fail(
                err, f"Fatal error: {type(self.protocol).__name__} raised an exception while handling input"
            )
            return
        self._schedule_read()

    def _deliver_eof(self) -> None:
        self._eof_delivered = True
        self._reading = False
        if not self.protocol.eof_received():
            self.close()

    def _deliver_bytes(self) -> None:
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
        """Removes read bytes from the receive buffer, and schedules the window update to the peer."""
        del self.unread[:size]
        self.bytes_read += size
        peer = self.peer
        if peer.unsent and not peer.released:
            at_ns = self.process.scheduler.now_ns + self.network.delay_ns(self.process, peer.process)
            self.process.scheduler.call_at(at_ns, peer.window_opened, process=peer.process)
