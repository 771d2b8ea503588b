"""Clients that send a gateway input that violates the protocol."""

from __future__ import annotations

import asyncio
import random
from collections import deque

from . import codec

CALL_WITH_INVALID_VALUES = codec.encode_command(
    b"CALL.GET", b"00000000b4d65521", b"rude", b"c=sheet-read,t=plus,d=-5,units=nan"
)
CALL_WITH_EXCESSIVE_UNITS = codec.encode_command(
    b"CALL.POST", b"00000000b4d65521", b"r2", b"c=new-order,t=plus,d=900,units=1e9,spread=1,first=0,k=1"
)
# Each tuple is the input of one client, in pieces. Their order and number determine what a seed draws.
MALFORMED_INPUTS = (
    (b"\x16\x03\x01\x02\x00\x01\x00",),  # TLS
    (b"GET / HTTP/1.1\r\n\r\n",),
    (b"*4\r\n$8\r\nCALL", b".GET\r\n$99999"),
    (b"x" * 900, b"x" * 900),
    (b"*-1\r\n",),
    (b"*3\r\n$-5\r\n",),
    (b"*99999999999\r\n",),
    (CALL_WITH_INVALID_VALUES,) * 6,
    (b"*4\r\n$8\r\nCALL.GET\r\n$70000000\r\n", b"v" * 4096),
    (b"",),
    (b"*0\r\n*0\r\n",),
    (codec.encode_command(b"CALL.GET", b"zz", b"i", b"c=none"),),
    (codec.encode_command(b"FLUSHALL"),) * 40,
    (CALL_WITH_EXCESSIVE_UNITS,),
)


def draw_malformed_input(rng: random.Random) -> list[bytes]:
    """Returns the pieces of a randomly chosen malformed input; takes one draw."""
    return list(rng.choice(MALFORMED_INPUTS))


class MisbehavingClient(asyncio.Protocol):
    """Sends pieces with a pause after each, records what it receives, and disconnects after a delay."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, pieces: list[bytes], pause_s: float, disconnect_after_s: float
    ) -> None:
        """Creates a client that sends `pieces`, `pause_s` apart, and disconnects `disconnect_after_s` later.

        Both delays count from the connection.
        """
        self.loop = loop
        self.pieces = deque(pieces)
        self.pause_s = pause_s
        self.disconnect_after_s = disconnect_after_s
        self.transport: asyncio.Transport | None = None
        self.received = b""
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the first piece and schedules the disconnect."""
        self.transport = transport  # type: ignore[assignment]
        self._send_next()
        self.loop.call_later(self.disconnect_after_s, transport.abort)  # type: ignore[attr-defined]

    def _send_next(self) -> None:
        if self.pieces and not self.ended and not self.transport.is_closing():
            self.transport.write(self.pieces.popleft())
            self.loop.call_later(self.pause_s, self._send_next)

    def data_received(self, data: bytes) -> None:
        """Records the data."""
        self.received += data

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops sending."""
        self.ended = True
