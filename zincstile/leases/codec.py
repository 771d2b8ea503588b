"""Encodes and decodes the messages by which gateways share state, as datagrams of at most 256 bytes. No I/O.

A datagram consists of a header (little endian: magic byte, sender's process, checksum, number of messages)
and the messages, each preceded by a byte for its kind. No other datagram between gateways starts with the
magic byte. Units are encoded as fixed-point numbers, rounded down, and ages in steps of 10 ms, rounded up.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Iterable
from typing import Any, Final, NamedTuple

from .concurrency_budget import ConcurrencyReport
from .failure_detector import Suspicion
from .lease_messages import UNIT_PARTS, LeaseGrant, LeaseRelease, LeaseRequest
from .slot_messages import SlotGrant, SlotRelease, SlotRequest

MAGIC: Final = 0xBB  # differs from the first byte of all other datagrams between gateways
MAX_DATAGRAM_BYTES: Final = 256  # the limit of all datagrams between gateways
MAX_MESSAGES: Final = 255  # in one datagram, as the header has one byte for their number
HEADER: Final = struct.Struct("<BIHB")  # magic, process, checksum, number of messages
KIND: Final = struct.Struct("<B")
AGE_STEP_NS: Final = 10_000_000  # 16 bits count up to 655 s, which exceeds every age that is used
MAX_AGE_STEPS: Final = 2**16 - 1
MAX_UINT32: Final = 2**32 - 1
MAX_UINT16: Final = 2**16 - 1
ERROR_SCORE_PARTS: Final = 255  # an error score is encoded in one byte
BUDGET_UNIT_PARTS: Final = 16  # units in flight are encoded in 1/16 units, as they are informative only
UNKNOWN_GATEWAY: Final = -1  # recipient of an unpacked message, which a datagram does not contain

SharedMessage = (
    LeaseRequest
    | LeaseGrant
    | LeaseRelease
    | SlotRequest
    | SlotGrant
    | SlotRelease
    | Suspicion
    | ConcurrencyReport
)


class Datagram(NamedTuple):
    """An unpacked datagram."""

    process: int  # of the sender
    messages: list[SharedMessage]


class MessageFormat(NamedTuple):
    """The encoding of one kind of message: its fields as the numbers of a struct."""

    kind: int
    layout: struct.Struct
    to_numbers: Callable[[Any], tuple[int, ...]]  # takes a message of this kind
    from_numbers: Callable[..., SharedMessage]


def _unit_parts(units: float) -> int:
    return min(MAX_UINT32, max(0, int(units * UNIT_PARTS)))


def _age_steps(age_ns: int) -> int:
    """Returns an age in steps, rounded up so that a message never seems younger than it is."""
    return min(MAX_AGE_STEPS, -(-max(0, age_ns) // AGE_STEP_NS))


# ---- one pair of functions for each kind of message


def _lease_request_numbers(message: LeaseRequest) -> tuple[int, ...]:
    return (
        message.customer,
        message.plan,
        message.set_size,
        message.first_gateway,
        message.request_id,
        _unit_parts(message.units),
        _unit_parts(message.min_units),
        message.last_answer % 2**32,
    )


def _lease_request(
    customer: int,
    plan: int,
    set_size: int,
    first_gateway: int,
    request_id: int,
    unit_parts: int,
    min_unit_parts: int,
    last_answer: int,
) -> LeaseRequest:
    return LeaseRequest(
        UNKNOWN_GATEWAY,
        customer,
        plan,
        set_size,
        first_gateway,
        request_id,
        unit_parts / UNIT_PARTS,
        min_unit_parts / UNIT_PARTS,
        last_answer,
    )


def _lease_grant_numbers(message: LeaseGrant) -> tuple[int, ...]:
    return (
        message.customer,
        message.request_id,
        _unit_parts(message.units),
        _unit_parts(message.available_units),
        message.answer_number % 2**32,
        message.process,
        _unit_parts(message.gain_per_s),
    )


def _lease_grant(
    customer: int,
    request_id: int,
    unit_parts: int,
    available_unit_parts: int,
    answer_number: int,
    process: int,
    gain_parts: int,
) -> LeaseGrant:
    return LeaseGrant(
        UNKNOWN_GATEWAY,
        customer,
        request_id,
        unit_parts / UNIT_PARTS,
        available_unit_parts / UNIT_PARTS,
        answer_number,
        process,
        gain_parts / UNIT_PARTS,
    )


def _lease_release_numbers(message: LeaseRelease) -> tuple[int, ...]:
    return message.customer, message.request_id, _unit_parts(message.unused_units), message.process


def _lease_release(customer: int, request_id: int, unused_unit_parts: int, process: int) -> LeaseRelease:
    return LeaseRelease(UNKNOWN_GATEWAY, customer, request_id, unused_unit_parts / UNIT_PARTS, process)


def _suspicion_numbers(message: Suspicion) -> tuple[int, ...]:
    return (
        message.endpoint,
        message.group,
        int(ERROR_SCORE_PARTS * min(1.0, max(0.0, message.error_score))),
        message.zone,
        _age_steps(message.age_ns),
        message.origin,
    )


def _suspicion(
    endpoint: int, group: int, error_score_parts: int, zone: int, age_steps: int, origin: int
) -> Suspicion:
    error_score = error_score_parts / ERROR_SCORE_PARTS
    return Suspicion(endpoint, group, error_score, origin, zone, age_steps * AGE_STEP_NS)


def _report_numbers(message: ConcurrencyReport) -> tuple[int, ...]:
    return (
        message.origin,
        message.incarnation % 2**32,
        message.sequence,
        min(MAX_UINT32, int(BUDGET_UNIT_PARTS * message.units_in_flight)),
        _age_steps(message.age_ns),
        min(MAX_UINT16, int(BUDGET_UNIT_PARTS * message.wanted_units)),
    )


def _report(
    origin: int, incarnation: int, sequence: int, in_flight_parts: int, age_steps: int, wanted_parts: int
) -> ConcurrencyReport:
    return ConcurrencyReport(
        origin,
        incarnation,
        sequence,
        in_flight_parts / BUDGET_UNIT_PARTS,
        wanted_parts / BUDGET_UNIT_PARTS,
        age_steps * AGE_STEP_NS,
    )


def _slot_request_numbers(message: SlotRequest) -> tuple[int, ...]:
    return message.customer, message.plan, message.set_size, message.first_gateway, message.request_id


def _slot_request(
    customer: int, plan: int, set_size: int, first_gateway: int, request_id: int
) -> SlotRequest:
    return SlotRequest(UNKNOWN_GATEWAY, customer, plan, set_size, first_gateway, request_id)


def _slot_grant_numbers(message: SlotGrant) -> tuple[int, ...]:
    return message.customer, message.request_id, message.granted, message.process


def _slot_grant(customer: int, request_id: int, granted: int, process: int) -> SlotGrant:
    return SlotGrant(UNKNOWN_GATEWAY, customer, request_id, bool(granted), process)


def _slot_release_numbers(message: SlotRelease) -> tuple[int, ...]:
    return message.customer, message.request_id, message.process


def _slot_release(customer: int, request_id: int, process: int) -> SlotRelease:
    return SlotRelease(UNKNOWN_GATEWAY, customer, request_id, process)


FORMATS: Final[dict[type, MessageFormat]] = {
    LeaseRequest: MessageFormat(1, struct.Struct("<QBHHIIII"), _lease_request_numbers, _lease_request),
    LeaseGrant: MessageFormat(2, struct.Struct("<QIIIIII"), _lease_grant_numbers, _lease_grant),
    LeaseRelease: MessageFormat(3, struct.Struct("<QIII"), _lease_release_numbers, _lease_release),
    Suspicion: MessageFormat(4, struct.Struct("<HBBBHH"), _suspicion_numbers, _suspicion),
    ConcurrencyReport: MessageFormat(5, struct.Struct("<HIIIHH"), _report_numbers, _report),
    SlotRequest: MessageFormat(6, struct.Struct("<QBHHI"), _slot_request_numbers, _slot_request),
    SlotGrant: MessageFormat(7, struct.Struct("<QIBI"), _slot_grant_numbers, _slot_grant),
    SlotRelease: MessageFormat(8, struct.Struct("<QII"), _slot_release_numbers, _slot_release),
}
FORMATS_BY_KIND: Final = {message_format.kind: message_format for message_format in FORMATS.values()}


# ---- datagrams


def pack(process: int, messages: Iterable[SharedMessage]) -> list[bytes]:
    """Returns datagrams with all messages, in their order; `process` is the sender's process."""
    datagrams: list[bytes] = []
    body = b""
    count = 0
    for message in messages:
        message_format = FORMATS[type(message)]
        data = KIND.pack(message_format.kind) + message_format.layout.pack(
            *message_format.to_numbers(message)
        )
        if HEADER.size + len(body) + len(data) > MAX_DATAGRAM_BYTES or count == MAX_MESSAGES:
            datagrams.append(_datagram(process, body, count))
            body = b""
            count = 0
        body += data
        count += 1
    if count:
        datagrams.append(_datagram(process, body, count))
    return datagrams


def _datagram(process: int, body: bytes, count: int) -> bytes:
    return HEADER.pack(MAGIC, process, _checksum(process, body), count) + body


def _checksum(process: int, body: bytes) -> int:
    return zlib.crc32(body, process) & MAX_UINT16


def unpack(data: bytes) -> Datagram | None:
    """Decodes a datagram; returns None if it is damaged or has another layout."""
    if not HEADER.size <= len(data) <= MAX_DATAGRAM_BYTES:
        return None
    magic, process, checksum, count = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    if magic != MAGIC or checksum != _checksum(process, body):
        return None
    messages: list[SharedMessage] = []
    position = 0
    for _ in range(count):
        message_format = FORMATS_BY_KIND.get(body[position]) if position < len(body) else None
        if message_format is None or position + KIND.size + message_format.layout.size > len(body):
            return None
        messages.append(
            message_format.from_numbers(*message_format.layout.unpack_from(body, position + KIND.size))
        )
        position += KIND.size + message_format.layout.size
    return Datagram(process, messages) if position == len(body) else None
