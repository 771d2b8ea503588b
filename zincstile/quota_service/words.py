"""How gateways tell each other of their keeper: one datagram a word, 64 bytes at most. A codec, no I/O.

It begins with a byte that no message of the decision module begins with, and ends with a check.
"""

from __future__ import annotations

import struct
import zlib

from .view import TOLD, Word

MAGIC = 0xBA
HEAD = struct.Struct("<BBBIQQ")  # magic, trusts, number of totals, period, sent, beaten
TOTAL, CHECK = struct.Struct("<I"), struct.Struct("<H")


def pack(word: Word) -> bytes:
    """Of a word whose totals are whole numbers below 2^32."""
    body = HEAD.pack(MAGIC, word.trusts, len(word.totals), max(0, word.period), word.sent_ns, word.beaten_ns)
    body += b"".join(TOTAL.pack(t) for t in word.totals[-TOLD:])
    return body + CHECK.pack(zlib.crc32(body) & 0xFFFF)


def unpack(sender: int, data: bytes) -> Word | None:
    """None for what is damaged, or of another layout."""
    if len(data) < HEAD.size + CHECK.size or data[0] != MAGIC:
        return None
    body, (check,) = data[: -CHECK.size], CHECK.unpack(data[-CHECK.size :])
    _, trusts, count, period, sent_ns, beaten_ns = HEAD.unpack_from(body)
    if check != zlib.crc32(body) & 0xFFFF or count > TOLD or len(body) != HEAD.size + count * TOTAL.size:
        return None
    totals = tuple(t for (t,) in TOTAL.iter_unpack(body[HEAD.size :]))
    return Word(sender, sent_ns, bool(trusts), period, totals, beaten_ns)
