"""A datagram between gateways of one kind: a byte that no other begins with, what it holds, a check.

No I/O.
"""

from __future__ import annotations

import struct
import zlib

LARGEST = 256  # bytes of a datagram
HEAD = struct.Struct("<BBH")  # the kind of datagram, of the word in it, and the check


def framed(magic: int, kind: int, body: bytes) -> bytes:
    return HEAD.pack(magic, kind, zlib.crc32(body, kind) & 0xFFFF) + body


def read(magic: int, data: bytes) -> tuple[int, bytes] | None:
    """The word's kind and its body; None for what is damaged, too long, or of another kind of datagram."""
    if not HEAD.size <= len(data) <= LARGEST:
        return None
    found, kind, check = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    if found != magic or check != zlib.crc32(body, kind) & 0xFFFF:
        return None
    return kind, body
