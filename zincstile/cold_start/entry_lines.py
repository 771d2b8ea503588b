"""Encodes entries of discovery's endpoint list as lines of text, and computes buckets and checksums."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Any, Final

from .codec import MAX_LINE_BYTES
from .messages import BUCKETS

SEPARATOR: Final = "\x1f"  # between the fields of a line; no field may contain it
FIELDS: Final = ("name", "address", "zone", "type", "group", "status", "weight", "since_ms")
MAX_WEIGHT: Final = 1e9  # an entry with a greater weight is invalid


def encode_entry(entry: dict[str, Any]) -> bytes | None:
    """Encodes an entry of discovery's list; returns None if it can't be encoded or is too long."""
    fields = [str(entry.get(name, "")) for name in FIELDS]
    line = SEPARATOR.join(fields).encode()
    if len(line) > MAX_LINE_BYTES or any(SEPARATOR in field for field in fields):
        return None
    return line


def decode_entry(line: bytes) -> dict[str, Any] | None:
    """Decodes a line to an entry in discovery's format; returns None if the line is damaged."""
    try:
        fields = line.decode().split(SEPARATOR)
        if len(fields) != len(FIELDS):
            return None
        entry: dict[str, Any] = dict(zip(FIELDS, fields, strict=True))
        entry["group"] = int(entry["group"] or 0)
        entry["since_ms"] = int(entry["since_ms"] or 0)
        entry["weight"] = float(entry["weight"] or 1.0)
    except ValueError:
        return None
    return entry if entry["name"] and 0 < entry["weight"] < MAX_WEIGHT else None


def bucket_of(name: str) -> int:
    """Returns the bucket of the endpoint with this name."""
    return zlib.crc32(name.encode()) % BUCKETS


def checksum(lines: Iterable[bytes]) -> int:
    """Returns the checksum of a bucket's lines, which is independent of their order."""
    total = 0
    for line in lines:
        total = (total + zlib.crc32(line) * (1 + zlib.adler32(line))) % 2**32
    return total
