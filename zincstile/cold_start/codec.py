"""Encodes the messages by which gateways exchange endpoint lists as datagrams of at most 256 bytes. No I/O.

The first byte differs from that of all other message types between gateways. Each datagram has a checksum. A
list with a line that does not fit into one datagram is not sent.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from enum import IntEnum
from typing import Final

from ..serialization import datagrams
from .messages import BUCKETS, BucketPart, BucketRequest, ListDigest, ListMessage, ListQuery, Provenance

MAGIC: Final = 0xBC  # first byte of each datagram
DIGEST: Final = struct.Struct(f"<QHIB{BUCKETS}I")  # version, count, age in 10 ms, provenance, checksums
REQUEST: Final = struct.Struct("<QI")  # version, bit set of the requested buckets
PART: Final = struct.Struct("<QBHH")  # version, bucket, part, parts
AGE_UNIT_NS: Final = 10_000_000
MAX_AGE: Final = 2**32 - 1
OPEN_BIT: Final = 128  # added to the provenance if the sender's admission is open
# Bytes of a datagram that lines may use.
PART_ROOM_BYTES: Final = datagrams.MAX_BYTES - datagrams.HEADER.size - PART.size
LENGTH_BYTES: Final = 1  # length prefix of each line
MAX_LINE_BYTES: Final = PART_ROOM_BYTES - LENGTH_BYTES


class MessageKind(IntEnum):
    """The second byte of a datagram. 4 was a part with a one-byte index, too small for 32,000 entries."""

    QUERY = 1
    DIGEST = 2
    REQUEST = 3
    PART = 5


def pack(message: ListMessage) -> bytes:
    """Encodes a message as one datagram."""
    if isinstance(message, ListQuery):
        kind = MessageKind.QUERY
        body = b""
    elif isinstance(message, ListDigest):
        kind = MessageKind.DIGEST
        body = _pack_digest(message)
    elif isinstance(message, BucketRequest):
        kind = MessageKind.REQUEST
        body = REQUEST.pack(message.version % 2**64, sum(1 << bucket for bucket in message.buckets))
    else:
        kind = MessageKind.PART
        head = PART.pack(message.version % 2**64, message.bucket, message.part_index, message.part_count)
        body = head + b"".join(bytes([len(line)]) + line for line in message.lines)
    return datagrams.encode(MAGIC, kind, body)


def unpack(data: bytes) -> ListMessage | None:
    """Decodes a datagram; returns None if it is damaged or has another layout."""
    return datagrams.decode(MAGIC, data, READERS)


def split_bucket(version: int, bucket: int, lines: Iterable[bytes]) -> list[BucketPart]:
    """Splits a bucket's lines into parts that fit into a datagram each, the same way at all senders."""
    parts: list[list[bytes]] = [[]]
    for line in sorted(lines):
        used = sum(LENGTH_BYTES + len(other) for other in parts[-1])
        if used + LENGTH_BYTES + len(line) > PART_ROOM_BYTES:
            parts.append([])
        parts[-1].append(line)
    return [BucketPart(version, bucket, index, len(parts), tuple(part)) for index, part in enumerate(parts)]


def _pack_digest(digest: ListDigest) -> bytes:
    age = min(
        MAX_AGE, -(-max(0, digest.age_ns) // AGE_UNIT_NS)
    )  # rounded up, so that it does not appear newer
    flags = digest.provenance + (OPEN_BIT if digest.admission_open else 0)
    return DIGEST.pack(digest.version % 2**64, digest.entry_count, age, flags, *digest.checksums)


def _read_query(body: bytes) -> ListQuery | None:
    return ListQuery() if not body else None


def _read_digest(body: bytes) -> ListDigest | None:
    version, count, age, flags, *checksums = DIGEST.unpack(body)
    number = flags % OPEN_BIT
    if number >= len(Provenance):
        return None
    provenance = Provenance(number)
    return ListDigest(version, count, age * AGE_UNIT_NS, provenance, tuple(checksums), flags >= OPEN_BIT)


def _read_request(body: bytes) -> BucketRequest:
    version, bits = REQUEST.unpack(body)
    return BucketRequest(version, tuple(bucket for bucket in range(BUCKETS) if bits >> bucket & 1))


def _read_part(body: bytes) -> BucketPart | None:
    version, bucket, part, parts = PART.unpack_from(body)
    lines = []
    offset = PART.size
    while offset < len(body):
        begin = offset + LENGTH_BYTES
        offset = begin + body[offset]
        if offset > len(body):
            return None
        lines.append(body[begin:offset])
    return (
        BucketPart(version, bucket, part, parts, tuple(lines)) if bucket < BUCKETS and part < parts else None
    )


READERS: Final[dict[int, Callable[[bytes], ListMessage | None]]] = {
    MessageKind.QUERY: _read_query,
    MessageKind.DIGEST: _read_digest,
    MessageKind.REQUEST: _read_request,
    MessageKind.PART: _read_part,
}
