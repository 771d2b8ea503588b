"""How gateways tell each other of zones: datagrams of 256 bytes at most. A codec, no I/O. Each begins with a
byte that no other message between gateways begins with, and has a check."""

from __future__ import annotations

import math
import struct
from collections.abc import Callable

from ..serialization import datagrams
from .settings import MOST_ZONES
from .terms import CallWord, Generation, Table, Voice
from .view import Report, Sight

MAGIC = 0xBD
CALL = struct.Struct("<II")  # term, process
VOICE = struct.Struct("<IIB")  # term, process, given
TABLE = struct.Struct("<IIHIHB")  # term, number, proposer, process, age in 10 ms, zones
REPORT = struct.Struct("<HIIBIHIB")  # origin, process, number, zone, demand / 16, said, its number, zones
SIGHT = struct.Struct("<HHBI")  # ready, good / 16, dead / 254 (255: not tried), room / 16 (most: no bound)
AGE_NS, GRAIN = 10_000_000, 16
U32, U16 = 2**32 - 1, 2**16 - 1

Word = CallWord | Voice | Table | Report


def _grains(x: float, most: int) -> int:
    return most if x == math.inf else min(most - 1, max(0, int(x * GRAIN)))


def pack(word: Word) -> bytes:
    """The message as one datagram."""
    if isinstance(word, CallWord):
        kind, body = 1, CALL.pack(word.term, word.process)
    elif isinstance(word, Voice):
        kind, body = 2, VOICE.pack(word.term, word.process, word.given)
    elif isinstance(word, Table):
        g = word.generation
        age = min(U16, -(-max(0, word.age_ns) // AGE_NS))  # rounded up: never told younger than it is
        kind = 3
        body = (
            TABLE.pack(g.term, g.number, g.proposer, g.process, age, len(word.shares))
            + bytes(word.states)
            + b"".join(bytes(row) for row in word.shares)
        )
    else:
        kind = 4
        body = REPORT.pack(
            word.origin,
            word.process,
            word.number % 2**32,
            word.zone,
            _grains(word.demand, U32),
            word.said,
            word.said_number,
            len(word.sights),
        )
        for s in word.sights:
            dead = 255 if s.dead < 0 else min(254, int(254 * s.dead))
            body += SIGHT.pack(min(U16, s.ready), _grains(s.good, U16), dead, _grains(s.room, U32))
    return datagrams.framed(MAGIC, kind, body)


def unpack(data: bytes) -> Word | None:
    """None for what is damaged, or of another layout."""
    return datagrams.unpacked(MAGIC, data, READERS)


def _call(body: bytes) -> CallWord:
    return CallWord(*CALL.unpack(body))


def _voice(body: bytes) -> Voice:
    term, process, given = VOICE.unpack(body)
    return Voice(term, process, bool(given))


def _table(body: bytes) -> Table | None:
    term, number, proposer, process, age, zones = TABLE.unpack_from(body)
    rest = body[TABLE.size :]
    if not 0 < zones <= MOST_ZONES or len(rest) != zones * (zones + 1):
        return None
    shares = tuple(tuple(rest[zones * (1 + a) : zones * (2 + a)]) for a in range(zones))
    if any(sum(row) > 250 for row in shares):
        return None
    return Table(Generation(term, number, proposer, process), shares, tuple(rest[:zones]), age * AGE_NS)


def _report(body: bytes) -> Report | None:
    origin, process, number, zone, demand, said, said_number, zones = REPORT.unpack_from(body)
    if not 0 < zones <= MOST_ZONES or len(body) != REPORT.size + zones * SIGHT.size or zone >= zones:
        return None
    sights = []
    for k in range(zones):
        ready, good, dead, room = SIGHT.unpack_from(body, REPORT.size + k * SIGHT.size)
        sights.append(
            Sight(
                ready,
                good / GRAIN,
                -1.0 if dead == 255 else dead / 254,
                math.inf if room == U32 else room / GRAIN,
            )
        )
    return Report(origin, process, number, zone, demand / GRAIN, tuple(sights), said, said_number)


READERS: dict[int, Callable[[bytes], Word | None]] = {1: _call, 2: _voice, 3: _table, 4: _report}
