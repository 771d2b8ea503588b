"""How gateways tell each other of the list of backend servers: datagrams of 256 bytes at most. A codec, no
I/O.

Each begins with a byte that no other message between gateways begins with, and has a check. A line of the
list is text, its fields parted by a byte that none of them may hold; what a line of more than one datagram
would need is not told at all, and its bucket stays unknown.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable
from dataclasses import dataclass

from ..serialization import datagrams

MAGIC = 0xBC
BUCKETS = 32
DIGEST = struct.Struct(f"<QHIB{BUCKETS}I")  # version, lines, age in 10 ms, rank, sums of the buckets
LINES = struct.Struct("<QBHH")  # version, bucket, part, parts
WANT = struct.Struct("<QI")  # version, buckets that are wanted, a bit each
AGE_NS = 10_000_000
AGE_MOST = 2**32 - 1
PART = "\x1f"
FIELDS = ("name", "address", "zone", "type", "group", "status", "weight", "since_ms")
ROOM = datagrams.LARGEST - datagrams.HEAD.size - LINES.size  # bytes of a datagram for lines
LINE_MOST = ROOM - 1  # bytes of a line, its length besides
OPEN = 128  # the bit beside the rank
RANKS = 3  # told by discovery, known before the start, told by peers


@dataclass(frozen=True, slots=True)
class What:
    """A word: which list have you?"""


@dataclass(frozen=True, slots=True)
class Digest:
    """A word: of which version mine is, how many lines (0: I have none to tell), how long ago discovery
    confirmed it, by whom I have it (`rank`), a sum of each bucket of lines; and whether my own admission is
    open, so that the fleet runs."""

    version: int
    count: int
    age_ns: int
    rank: int
    sums: tuple[int, ...]
    open: bool = False

    @property
    def same(self) -> tuple[int, int, tuple[int, ...]]:
        """Equal for equal lists."""
        return self.version, self.count, self.sums


@dataclass(frozen=True, slots=True)
class Want:
    """A word: tell me the lines of these buckets, if your list is of that version."""

    version: int
    buckets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Lines:
    """A word: a part of a bucket's lines."""

    version: int
    bucket: int
    part: int
    parts: int
    lines: tuple[bytes, ...]


Word = What | Digest | Want | Lines


def line(entry: dict) -> bytes | None:
    """An entry of discovery's list as it is told; None where it can't be."""
    fields = [str(entry.get(name, "")) for name in FIELDS]
    data = PART.join(fields).encode()
    return data if len(data) <= min(LINE_MOST, 255) and not any(PART in f for f in fields) else None


def entry(data: bytes) -> dict | None:
    """Such a line in discovery's words; None where it is none."""
    try:
        fields = data.decode().split(PART)
        if len(fields) != len(FIELDS):
            return None
        found: dict = dict(zip(FIELDS, fields, strict=True))
        found["group"], found["since_ms"] = int(found["group"] or 0), int(found["since_ms"] or 0)
        found["weight"] = float(found["weight"] or 1.0)
        return found if found["name"] and 0 < found["weight"] < 1e9 else None
    except ValueError:
        return None


def bucket(name: str) -> int:
    """The bucket of a server, by its name."""
    return zlib.crc32(name.encode()) % BUCKETS


def pack(word: Word) -> bytes:
    """The message as one datagram."""
    if isinstance(word, What):
        kind, body = 1, b""
    elif isinstance(word, Digest):
        age = min(AGE_MOST, -(-max(0, word.age_ns) // AGE_NS))  # rounded up: never told younger than it is
        kind, body = (
            2,
            DIGEST.pack(word.version % 2**64, word.count, age, word.rank + OPEN * word.open, *word.sums),
        )
    elif isinstance(word, Want):
        kind, body = 3, WANT.pack(word.version % 2**64, sum(1 << b for b in word.buckets))
    else:
        kind = 5  # 4 held the part and their number in a byte each, too few for buckets of 32,000 lines
        body = LINES.pack(word.version % 2**64, word.bucket, word.part, word.parts) + b"".join(
            bytes([len(x)]) + x for x in word.lines
        )
    return datagrams.framed(MAGIC, kind, body)


def unpack(data: bytes) -> Word | None:
    """None for what is damaged, or of another layout."""
    return datagrams.unpacked(MAGIC, data, READERS)


def _what(body: bytes) -> What | None:
    return What() if not body else None


def _digest(body: bytes) -> Digest | None:
    version, count, age, rank, *sums = DIGEST.unpack(body)
    rank, open_ = rank % OPEN, rank >= OPEN
    return Digest(version, count, age * AGE_NS, rank, tuple(sums), open_) if rank < RANKS else None


def _want(body: bytes) -> Want:
    version, bits = WANT.unpack(body)
    return Want(version, tuple(b for b in range(BUCKETS) if bits >> b & 1))


def _lines(body: bytes) -> Lines | None:
    version, number, part, parts = LINES.unpack_from(body)
    found, at = [], LINES.size
    while at < len(body):
        size = body[at]
        if at + 1 + size > len(body):
            return None
        found.append(body[at + 1 : at + 1 + size])
        at += 1 + size
    return Lines(version, number, part, parts, tuple(found)) if number < BUCKETS and part < parts else None


READERS: dict[int, Callable[[bytes], Word | None]] = {1: _what, 2: _digest, 3: _want, 5: _lines}


def parted(version: int, number: int, lines: list[bytes]) -> list[Lines]:
    """A bucket's lines as words that fit into a datagram each; the same parts whoever tells them."""
    parts: list[list[bytes]] = [[]]
    for one in sorted(lines):
        if sum(1 + len(x) for x in parts[-1]) + 1 + len(one) > ROOM:
            parts.append([])
        parts[-1].append(one)
    return [Lines(version, number, k, len(parts), tuple(x)) for k, x in enumerate(parts)]
