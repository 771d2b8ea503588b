"""Encodes the messages between gateways about zones as datagrams of at most 256 bytes. No I/O.

The first byte differs from that of all other message types between gateways. Each datagram has a checksum.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable
from enum import IntEnum
from typing import Final

from ..serialization import datagrams
from .messages import (
    Generation,
    RoutingTable,
    VoteReply,
    VoteRequest,
    ZoneMessage,
    ZoneObservation,
    ZoneReport,
)
from .routing_weights import WEIGHT_TOTAL
from .settings import MAX_ZONES

MAGIC: Final = 0xBD  # first byte of each datagram
VOTE_REQUEST: Final = struct.Struct("<II")  # term, process
VOTE_REPLY: Final = struct.Struct("<IIB")  # term, process, granted
TABLE: Final = struct.Struct("<IIHIHB")  # term, number, leader, process, age in 10 ms, zones
# gateway, process, number, zone, demand, overrides, override number, zones
REPORT: Final = struct.Struct("<HIIBIHIB")
OBSERVATION: Final = struct.Struct("<HHBI")  # ready endpoints, healthy endpoints, failed ratio, capacity
AGE_UNIT_NS: Final = 10_000_000
STEPS_PER_UNIT: Final = 16  # demand, capacity and healthy endpoints are encoded in sixteenths
RATIO_STEPS: Final = 254  # a ratio is encoded as 0 to 254
NOT_TRIED: Final = 255  # encodes a ratio that is unknown, as no connection was tried
U16_MAX: Final = 2**16 - 1
U32_MAX: Final = 2**32 - 1


class MessageKind(IntEnum):
    """The second byte of a datagram."""

    VOTE_REQUEST = 1
    VOTE_REPLY = 2
    TABLE = 3
    REPORT = 4


def pack(message: ZoneMessage) -> bytes:
    """Encodes a message as one datagram."""
    if isinstance(message, VoteRequest):
        kind = MessageKind.VOTE_REQUEST
        body = VOTE_REQUEST.pack(message.term, message.process)
    elif isinstance(message, VoteReply):
        kind = MessageKind.VOTE_REPLY
        body = VOTE_REPLY.pack(message.term, message.process, message.granted)
    elif isinstance(message, RoutingTable):
        kind = MessageKind.TABLE
        body = _pack_table(message)
    else:
        kind = MessageKind.REPORT
        body = _pack_report(message)
    return datagrams.encode(MAGIC, kind, body)


def unpack(data: bytes) -> ZoneMessage | None:
    """Decodes a datagram; returns None if it is damaged or has another layout."""
    return datagrams.decode(MAGIC, data, READERS)


def _pack_table(table: RoutingTable) -> bytes:
    generation = table.generation
    age = min(
        U16_MAX, -(-max(0, table.age_ns) // AGE_UNIT_NS)
    )  # rounded up, so that it does not appear newer
    head = TABLE.pack(
        generation.term,
        generation.number,
        generation.leader,
        generation.process,
        age,
        len(table.weights),
    )
    return head + bytes(table.states) + b"".join(bytes(row) for row in table.weights)


def _pack_report(report: ZoneReport) -> bytes:
    head = REPORT.pack(
        report.gateway,
        report.process,
        report.number % 2**32,
        report.zone,
        _to_steps(report.demand, U32_MAX),
        report.overrides,
        report.override_number,
        len(report.observations),
    )
    return head + b"".join(_pack_observation(observation) for observation in report.observations)


def _pack_observation(observation: ZoneObservation) -> bytes:
    failed = NOT_TRIED
    if observation.failed_ratio >= 0:
        failed = min(RATIO_STEPS, int(RATIO_STEPS * observation.failed_ratio))
    return OBSERVATION.pack(
        min(U16_MAX, observation.ready_endpoints),
        _to_steps(observation.healthy_endpoints, U16_MAX),
        failed,
        _to_steps(observation.capacity, U32_MAX),
    )


def _to_steps(value: float, infinite: int) -> int:
    """Converts a value to steps; `infinite` is the encoding of infinity."""
    if value == math.inf:
        return infinite
    return min(infinite - 1, max(0, int(value * STEPS_PER_UNIT)))


def _read_vote_request(body: bytes) -> VoteRequest:
    return VoteRequest(*VOTE_REQUEST.unpack(body))


def _read_vote_reply(body: bytes) -> VoteReply:
    term, process, granted = VOTE_REPLY.unpack(body)
    return VoteReply(term, process, bool(granted))


def _read_table(body: bytes) -> RoutingTable | None:
    term, number, leader, process, age, zones = TABLE.unpack_from(body)
    rest = body[TABLE.size :]
    if not 0 < zones <= MAX_ZONES or len(rest) != zones * (zones + 1):
        return None
    rows = [rest[zones * (1 + zone) : zones * (2 + zone)] for zone in range(zones)]
    if any(sum(row) > WEIGHT_TOTAL for row in rows):
        return None
    generation = Generation(term, number, leader, process)
    weights = tuple(tuple(row) for row in rows)
    return RoutingTable(generation, weights, tuple(rest[:zones]), age * AGE_UNIT_NS)


def _read_report(body: bytes) -> ZoneReport | None:
    gateway, process, number, zone, demand, overrides, override_number, zones = REPORT.unpack_from(body)
    if not 0 < zones <= MAX_ZONES or len(body) != REPORT.size + zones * OBSERVATION.size or zone >= zones:
        return None
    return ZoneReport(
        gateway,
        process,
        number,
        zone,
        demand / STEPS_PER_UNIT,
        tuple(
            _read_observation(body, REPORT.size + zone_index * OBSERVATION.size)
            for zone_index in range(zones)
        ),
        overrides,
        override_number,
    )


def _read_observation(body: bytes, offset: int) -> ZoneObservation:
    ready, healthy, failed, capacity = OBSERVATION.unpack_from(body, offset)
    return ZoneObservation(
        ready,
        healthy / STEPS_PER_UNIT,
        -1.0 if failed == NOT_TRIED else failed / RATIO_STEPS,
        math.inf if capacity == U32_MAX else capacity / STEPS_PER_UNIT,
    )


READERS: Final[dict[int, Callable[[bytes], ZoneMessage | None]]] = {
    MessageKind.VOTE_REQUEST: _read_vote_request,
    MessageKind.VOTE_REPLY: _read_vote_reply,
    MessageKind.TABLE: _read_table,
    MessageKind.REPORT: _read_report,
}
