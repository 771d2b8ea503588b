"""Framing of messages between gateways: a magic byte, the message kind, a checksum, and the body.

No I/O.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable
from typing import Final, NamedTuple, TypeVar

Message = TypeVar("Message")

MAX_BYTES: Final = 256  # size limit of a datagram (PROTOCOL)
HEADER: Final = struct.Struct("<BBH")  # magic byte, message kind, checksum
CHECKSUM_MASK: Final = 0xFFFF  # the lower half of the CRC; two bytes suffice, as UDP has a checksum too


class Frame(NamedTuple):
    """The content of a datagram: the message kind and the encoded message."""

    kind: int
    body: bytes


def encode(magic: int, kind: int, body: bytes) -> bytes:
    """Encodes one message as a datagram."""
    return HEADER.pack(magic, kind, _checksum(kind, body)) + body


def decode_frame(magic: int, data: bytes) -> Frame | None:
    """Decodes a datagram; None if it is damaged, too long, or has another magic byte."""
    if not HEADER.size <= len(data) <= MAX_BYTES:
        return None
    received_magic, kind, checksum = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    if received_magic != magic or checksum != _checksum(kind, body):
        return None
    return Frame(kind, body)


def decode(magic: int, data: bytes, decoders: dict[int, Callable[[bytes], Message | None]]) -> Message | None:
    """Decodes a datagram with the decoder of its kind; None if malformed or of a kind not in `decoders`."""
    frame = decode_frame(magic, data)
    if frame is None or frame.kind not in decoders:
        return None
    try:
        return decoders[frame.kind](frame.body)
    except struct.error:
        return None


def _checksum(kind: int, body: bytes) -> int:
    return zlib.crc32(body, kind) & CHECKSUM_MASK
