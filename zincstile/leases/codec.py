"""How gateways tell each other of what they share: datagrams of 256 bytes at most. A codec, no I/O.

Each begins with a byte that no other message between gateways begins with, names the sender's process,
and has a check. Units travel in whole parts of `lease_messages.UNIT_PARTS`.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Iterable

from .concurrency_budget import LevelWord
from .failure_detector import Evidence
from .lease_messages import UNIT_PARTS, LeaseGrant, LeaseRelease, LeaseRequest
from .slot_messages import SlotGrant, SlotRelease, SlotRequest

MAGIC, LARGEST = 0xBB, 256
HEAD = struct.Struct("<BIHB")  # magic, process, check, number of words
KIND = struct.Struct("<B")
REQUEST = struct.Struct("<QBHHIIII")  # customer, plan, spread, first, mark, units, least, heard
GRANT = struct.Struct("<QIIIIII")  # customer, mark, units, level, number, the borrower's process, gain
RELEASE = struct.Struct("<QIII")  # customer, mark, left, the lender's process
SLOT_REQUEST = struct.Struct("<QBHHI")  # customer, plan, spread, first, mark
SLOT_GRANT = struct.Struct("<QIBI")  # customer, mark, given, the borrower's process
SLOT_RELEASE = struct.Struct("<QII")  # customer, mark, the lender's process
JUDGED = struct.Struct("<HBBBHH")  # server, group, how bad, zone, age in 10 ms, origin
LEVEL = struct.Struct("<HIIIHH")  # origin, its life, number, units out in 1/16, age in 10 ms, wants in 1/16
AGE_NS = 10_000_000
MOST = 2**32 - 1

AnyWord = (
    LeaseRequest | LeaseGrant | LeaseRelease | SlotRequest | SlotGrant | SlotRelease | Evidence | LevelWord
)


def _units(units: float) -> int:
    return min(MOST, max(0, int(units * UNIT_PARTS)))


def _aged(age_ns: int) -> int:
    """Rounded up: an age is never told less than it is."""
    return min(65535, -(-max(0, age_ns) // AGE_NS))


def _request(w: LeaseRequest) -> bytes:
    return REQUEST.pack(
        w.customer,
        w.plan,
        w.set_size,
        w.first_gateway,
        w.request_id,
        _units(w.units),
        _units(w.least_units),
        w.last_answer % 2**32,
    )


def _grant(w: LeaseGrant) -> bytes:
    return GRANT.pack(
        w.customer,
        w.request_id,
        _units(w.units),
        _units(w.available_units),
        w.answer_number % 2**32,
        w.process,
        _units(w.gain_per_s),
    )


def _release(w: LeaseRelease) -> bytes:
    return RELEASE.pack(w.customer, w.request_id, _units(w.unused_units), w.process)


def _slot_request(w: SlotRequest) -> bytes:
    return SLOT_REQUEST.pack(w.customer, w.plan, w.set_size, w.first_gateway, w.request_id)


def _slot_grant(w: SlotGrant) -> bytes:
    return SLOT_GRANT.pack(w.customer, w.request_id, w.granted, w.process)


def _slot_release(w: SlotRelease) -> bytes:
    return SLOT_RELEASE.pack(w.customer, w.request_id, w.process)


def _evidence(w: Evidence) -> bytes:
    return JUDGED.pack(
        w.server, w.group, int(255 * min(1.0, max(0.0, w.bad))), w.zone, _aged(w.age_ns), w.origin
    )


def _level(w: LevelWord) -> bytes:
    return LEVEL.pack(
        w.origin,
        w.life % 2**32,
        w.number,
        min(MOST, int(16 * w.out)),
        _aged(w.age_ns),
        min(65535, int(16 * w.wants)),
    )


def _of(form: struct.Struct, make: Callable[..., AnyWord]) -> tuple[struct.Struct, Callable[..., AnyWord]]:
    return form, make


PACKED: dict[type, tuple[int, Callable[..., bytes]]] = {
    LeaseRequest: (1, _request),
    LeaseGrant: (2, _grant),
    LeaseRelease: (3, _release),
    Evidence: (4, _evidence),
    LevelWord: (5, _level),
    SlotRequest: (6, _slot_request),
    SlotGrant: (7, _slot_grant),
    SlotRelease: (8, _slot_release),
}
READ: dict[int, tuple[struct.Struct, Callable[..., AnyWord]]] = {
    1: _of(
        REQUEST,
        lambda customer, plan, spread, first, mark, units, least, heard: LeaseRequest(
            -1, customer, plan, spread, first, mark, units / UNIT_PARTS, least / UNIT_PARTS, heard
        ),
    ),
    2: _of(
        GRANT,
        lambda customer, mark, units, level, number, process, gain: LeaseGrant(
            -1, customer, mark, units / UNIT_PARTS, level / UNIT_PARTS, number, process, gain / UNIT_PARTS
        ),
    ),
    3: _of(
        RELEASE,
        lambda customer, mark, left, process: LeaseRelease(-1, customer, mark, left / UNIT_PARTS, process),
    ),
    4: _of(
        JUDGED,
        lambda server, group, bad, zone, age, origin: Evidence(
            server, group, bad / 255, origin, zone, age * AGE_NS
        ),
    ),
    5: _of(
        LEVEL,
        lambda origin, life, number, out, age, wants: LevelWord(
            origin, life, number, out / 16, wants / 16, age * AGE_NS
        ),
    ),
    6: _of(
        SLOT_REQUEST,
        lambda customer, plan, spread, first, mark: SlotRequest(-1, customer, plan, spread, first, mark),
    ),
    7: _of(
        SLOT_GRANT, lambda customer, mark, given, process: SlotGrant(-1, customer, mark, bool(given), process)
    ),
    8: _of(SLOT_RELEASE, lambda customer, mark, process: SlotRelease(-1, customer, mark, process)),
}


def pack(process: int, words: Iterable[AnyWord]) -> list[bytes]:
    """Datagrams that hold all of the words, in their order."""
    made, body, count = [], b"", 0
    for word in words:
        kind, form = PACKED[type(word)]
        data = KIND.pack(kind) + form(word)
        if HEAD.size + len(body) + len(data) > LARGEST or count == 255:
            made.append(_datagram(process, body, count))
            body, count = b"", 0
        body, count = body + data, count + 1
    if count:
        made.append(_datagram(process, body, count))
    return made


def _datagram(process: int, body: bytes, count: int) -> bytes:
    return HEAD.pack(MAGIC, process, zlib.crc32(body, process) & 0xFFFF, count) + body


def unpack(data: bytes) -> tuple[int, list[AnyWord]] | None:
    """The sender's process and its words; None for what is damaged, or of another layout."""
    if len(data) < HEAD.size or len(data) > LARGEST:
        return None
    magic, process, check, count = HEAD.unpack_from(data)
    body, at, words = data[HEAD.size :], 0, []
    if magic != MAGIC or check != zlib.crc32(body, process) & 0xFFFF:
        return None
    for _ in range(count):
        if at >= len(body) or body[at] not in READ:
            return None
        form, make = READ[body[at]]
        if at + 1 + form.size > len(body):
            return None
        words.append(make(*form.unpack_from(body, at + 1)))
        at += 1 + form.size
    return (process, words) if at == len(body) else None
