"""A datagram between gateways of one kind: a byte that no other begins with, what it holds, a check.

No I/O.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable
from typing import TypeVar

Message = TypeVar("Message")

LARGEST = 256  # bytes of a datagram
HEAD = struct.Struct("<BBH")  # the kind of datagram, of the message in it, and the check


def framed(magic: int, kind: int, body: bytes) -> bytes:
    """A datagram that holds one message."""
    return HEAD.pack(magic, kind, zlib.crc32(body, kind) & 0xFFFF) + body


def read(magic: int, data: bytes) -> tuple[int, bytes] | None:
    """The message's kind and its body; None for what is damaged, too long, or of another kind of datagram."""
    if not HEAD.size <= len(data) <= LARGEST:
        return None
    found, kind, check = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    if found != magic or check != zlib.crc32(body, kind) & 0xFFFF:
        return None
    return kind, body


def unpacked(
    magic: int, data: bytes, readers: dict[int, Callable[[bytes], Message | None]]
) -> Message | None:
    """The message in a datagram, by the reader of its kind; None for what is damaged or of another layout."""
    found = read(magic, data)
    if found is None or found[0] not in readers:
        return None
    kind, body = found
    try:
        return readers[kind](body)
    except struct.error:
        return None
