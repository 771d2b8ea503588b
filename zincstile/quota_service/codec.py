"""Peer heartbeats as datagrams of 64 bytes at most: packing and unpacking, no I/O.

A datagram begins with a byte that no message of the decision module begins with, and ends with a checksum.
"""

from __future__ import annotations

import struct
import zlib
from typing import Final

from .messages import MAX_TOTALS, PeerHeartbeat

MAGIC: Final = 0xBA
CHECKSUM_MASK: Final = 0xFFFF  # the lower half of a CRC-32: enough for damage, and two bytes shorter
# First byte, trusts the service, number of totals, counter number, sent at, last answer at.
HEADER: Final = struct.Struct("<BBBIQQ")
TOTAL: Final = struct.Struct("<I")
CHECKSUM: Final = struct.Struct("<H")


def pack(message: PeerHeartbeat) -> bytes:
    """The datagram of a heartbeat whose totals are integers below 2^32."""
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
    """The heartbeat of a datagram; None where it is damaged, or of another layout."""
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
