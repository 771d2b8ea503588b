"""Encodes and decodes peer heartbeats as datagrams of at most 64 bytes. No I/O.

A datagram starts with a magic byte that no other message between gateways starts with, and ends with a
checksum.
"""

from __future__ import annotations

import struct
import zlib
from typing import Final

from .messages import MAX_TOTALS, PeerHeartbeat

MAGIC: Final = 0xBA
CHECKSUM_MASK: Final = 0xFFFF  # half of a CRC-32 detects damage well enough and saves two bytes
# Magic byte, trusts_service, number of totals, counter_number, sent_ns, last_answer_ns.
HEADER: Final = struct.Struct("<BBBIQQ")
TOTAL: Final = struct.Struct("<I")
CHECKSUM: Final = struct.Struct("<H")


def pack(message: PeerHeartbeat) -> bytes:
    """Encodes a heartbeat, whose totals have to be integers below 2^32."""
    header = HEADER.pack(
        MAGIC,
        message.trusts_service,
        len(message.totals),
        max(0, message.counter_number),
        message.sent_ns,
        message.last_answer_ns,
    )
    body = header + b"".join(TOTAL.pack(total) for total in message.totals[-MAX_TOTALS:])
    return body + CHECKSUM.pack(zlib.crc32(body) & CHECKSUM_MASK)


def unpack(sender: int, data: bytes) -> PeerHeartbeat | None:
    """Decodes a datagram; returns None if it is damaged or has another layout."""
    if len(data) < HEADER.size + CHECKSUM.size or data[0] != MAGIC:
        return None
    body = data[: -CHECKSUM.size]
    (checksum,) = CHECKSUM.unpack(data[-CHECKSUM.size :])
    _, trusts_service, count, counter_number, sent_ns, last_answer_ns = HEADER.unpack_from(body)
    if checksum != zlib.crc32(body) & CHECKSUM_MASK or count > MAX_TOTALS:
        return None
    if len(body) != HEADER.size + count * TOTAL.size:
        return None
    totals = tuple(total for (total,) in TOTAL.iter_unpack(body[HEADER.size :]))
    return PeerHeartbeat(sender, sent_ns, bool(trusts_service), counter_number, totals, last_answer_ns)
