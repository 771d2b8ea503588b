"""Frames of messages between gateways: a first byte of their own, the kind, a checksum, the body.

No I/O.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable
from typing import Final, NamedTuple, TypeVar

Message = TypeVar("Message")

MAX_BYTES: Final = 256  # of a datagram (PROTOCOL)
HEADER: Final = struct.Struct("<BBH")  # magic byte, kind of the message, checksum
CHECKSUM_MASK: Final = 0xFFFF  # the lower half of the CRC: two bytes are enough beside the checks of UDP


class Frame(NamedTuple):
    """What a datagram holds: the kind of its message, and the message's bytes."""

    kind: int
    body: bytes


def encode(magic: int, kind: int, body: bytes) -> bytes:
    """A datagram that holds one message."""
    return HEADER.pack(magic, kind, _checksum(kind, body)) + body


def decode_frame(magic: int, data: bytes) -> Frame | None:
    """The frame in a datagram; None where it is damaged, too long, or has another first byte."""
    if not HEADER.size <= len(data) <= MAX_BYTES:
        return None
    found_magic, kind, checksum = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    if found_magic != magic or checksum != _checksum(kind, body):
        return None
    return Frame(kind, body)


def decode(magic: int, data: bytes, decoders: dict[int, Callable[[bytes], Message | None]]) -> Message | None:
    """The message in a datagram, by the decoder of its kind; None where it is none of these."""
    frame = decode_frame(magic, data)
    if frame is None or frame.kind not in decoders:
        return None
    try:
        return decoders[frame.kind](frame.body)
    except struct.error:
        return None


def _checksum(kind: int, body: bytes) -> int:
    return zlib.crc32(body, kind) & CHECKSUM_MASK
