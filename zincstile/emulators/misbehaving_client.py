"""Clients that send a gateway what the protocol does not have."""

from __future__ import annotations

import asyncio
import random
from collections import deque

from . import codec

CALL_OF_ABSURD_VALUES = codec.encode_command(
    b"CALL.GET", b"00000000b4d65521", b"rude", b"c=sheet-read,t=plus,d=-5,units=nan"
)
CALL_OF_ABSURD_SIZE = codec.encode_command(
    b"CALL.POST", b"00000000b4d65521", b"r2", b"c=new-order,t=plus,d=900,units=1e9,spread=1,first=0,k=1"
)
# Each row is what one client sends, in pieces. Their order and number decide what a seed draws.
MALFORMED_INPUTS = (
    (b"\x16\x03\x01\x02\x00\x01\x00",),  # TLS
    (b"GET / HTTP/1.1\r\n\r\n",),
    (b"*4\r\n$8\r\nCALL", b".GET\r\n$99999"),
    (b"x" * 900, b"x" * 900),
    (b"*-1\r\n",),
    (b"*3\r\n$-5\r\n",),
    (b"*99999999999\r\n",),
    (CALL_OF_ABSURD_VALUES,) * 6,
    (b"*4\r\n$8\r\nCALL.GET\r\n$70000000\r\n", b"v" * 4096),
    (b"",),
    (b"*0\r\n*0\r\n",),
    (codec.encode_command(b"CALL.GET", b"zz", b"i", b"c=none"),),
    (codec.encode_command(b"FLUSHALL"),) * 40,
    (CALL_OF_ABSURD_SIZE,),
)


def draw_malformed_input(rng: random.Random) -> list[bytes]:
    """The pieces of one malformed input, by one draw."""
    return list(rng.choice(MALFORMED_INPUTS))


class MisbehavingClient(asyncio.Protocol):
    """Sends pieces with a pause after each, reads what comes, and disconnects after a while."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, pieces: list[bytes], pause_s: float, stays_s: float
    ) -> None:
        """Send these pieces `pause_s` apart once connected, and disconnect after `stays_s`."""
        self.loop = loop
        self.pieces = deque(pieces)
        self.pause_s = pause_s
        self.stays_s = stays_s
        self.transport: asyncio.Transport | None = None
        self.received = b""
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first piece, and plan the end."""
        self.transport = transport  # type: ignore[assignment]
        self._send_next()
        self.loop.call_later(self.stays_s, transport.abort)  # type: ignore[attr-defined]

    def _send_next(self) -> None:
        if self.pieces and not self.ended and not self.transport.is_closing():
            self.transport.write(self.pieces.popleft())
            self.loop.call_later(self.pause_s, self._send_next)

    def data_received(self, data: bytes) -> None:
        """Keep what comes."""
        self.received += data

    def connection_lost(self, exc: Exception | None) -> None:
        """Send nothing more."""
        self.ended = True
