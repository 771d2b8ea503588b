"""Codec of gossip messages between gateways: datagrams of at most 256 bytes, protected by a checksum.

Units are sent in sixteenths, totals modulo 2^32. A datagram holds a header, estimates, error samples, and the
usage of customers, in this order.
"""

from __future__ import annotations

import struct
import zlib
from typing import Final

from ..decisions.messages import CustomerUsage, ErrorSample, GossipReceived, SendGossip

MAGIC: Final = 0xB9  # first byte of each datagram; identifies this layout
MAX_DATAGRAM_BYTES: Final = 256
UNIT_STEPS: Final = 16.0  # steps per unit
ANSWER_BIT: Final = 0x80  # in the high byte of the customer's number
MAX_ESTIMATE: Final = 60000.0  # fits into a half-precision float
MAX_GROUP: Final = 255  # group of an error sample; one byte
ERROR_STEPS: Final = 255  # steps of an error between 0 and 1
CHECKSUM_MASK: Final = 0xFFFF
MIN_INT16: Final = -32768
MAX_INT16: Final = 32767
MAX_IN_FLIGHT: Final = 255

HEADER: Final = struct.Struct("<BIHBB")  # magic, incarnation, checksum, estimate count, sample count
ESTIMATE: Final = struct.Struct("<e")
ERROR_SAMPLE: Final = struct.Struct("<HBB")
USAGE: Final = struct.Struct("<IBBIhBhH")


def encode_gossip(message: SendGossip) -> list[bytes]:
    """Encodes a message into one or more datagrams.

    With many classes and plans, the estimates of the last groups are omitted, and so are error samples with a
    group above `MAX_GROUP`: otherwise a datagram would be too long, or have no room for a usage.
    """
    samples = [sample for sample in message.error_samples if sample.group <= MAX_GROUP]
    free_bytes = (
        MAX_DATAGRAM_BYTES
        - HEADER.size
        - USAGE.size * bool(message.usages)
        - ERROR_SAMPLE.size * len(samples)
    )
    estimates = message.estimates[: max(0, free_bytes // ESTIMATE.size)]
    leading_sections = b"".join(
        ESTIMATE.pack(min(MAX_ESTIMATE, max(0.0, estimate))) for estimate in estimates
    )
    leading_sections += b"".join(_encode_sample(sample) for sample in samples)
    counts = (len(estimates), len(samples))
    datagrams: list[bytes] = []
    start = 0
    while not datagrams or start < len(message.usages):
        end = start + (MAX_DATAGRAM_BYTES - HEADER.size - len(leading_sections)) // USAGE.size
        body = leading_sections + b"".join(_encode_usage(usage) for usage in message.usages[start:end])
        checksum = zlib.crc32(body, message.incarnation) & CHECKSUM_MASK
        datagrams.append(HEADER.pack(MAGIC, message.incarnation, checksum, *counts) + body)
        leading_sections = b""
        counts = (0, 0)
        start = end
    return datagrams


def _encode_sample(sample: ErrorSample) -> bytes:
    return ERROR_SAMPLE.pack(sample.endpoint_hash, sample.group, int(sample.error * ERROR_STEPS))


def _encode_usage(usage: CustomerUsage) -> bytes:
    return USAGE.pack(
        usage.customer % 2**32,
        usage.customer >> 32 | ANSWER_BIT * usage.is_answer,
        usage.plan,
        round(usage.total * UNIT_STEPS) % 2**32,
        _to_int16_steps(usage.level),
        max(0, min(MAX_IN_FLIGHT, usage.in_flight)),
        _to_int16_steps(usage.requested_units),
        usage.query_id,
    )


def _to_int16_steps(units: float) -> int:
    return max(MIN_INT16, min(MAX_INT16, round(units * UNIT_STEPS)))


def decode_gossip(sender: int, data: bytes) -> GossipReceived | None:
    """Decodes a datagram; returns None if it is damaged or has another layout."""
    if len(data) < HEADER.size:
        return None
    magic, incarnation, checksum, estimate_count, sample_count = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    samples_offset = estimate_count * ESTIMATE.size
    usages_offset = samples_offset + sample_count * ERROR_SAMPLE.size
    if magic != MAGIC or checksum != zlib.crc32(body, incarnation) & CHECKSUM_MASK:
        return None
    if len(body) < usages_offset or (len(body) - usages_offset) % USAGE.size:
        return None
    return GossipReceived(
        sender,
        incarnation,
        [_decode_usage(*row) for row in USAGE.iter_unpack(body[usages_offset:])],
        [estimate for (estimate,) in ESTIMATE.iter_unpack(body[:samples_offset])],
        [
            ErrorSample(endpoint_hash, group, error / ERROR_STEPS)
            for endpoint_hash, group, error in ERROR_SAMPLE.iter_unpack(body[samples_offset:usages_offset])
        ],
    )


def _decode_usage(
    customer_low: int,
    customer_high: int,
    plan: int,
    total: int,
    level: int,
    in_flight: int,
    requested_units: int,
    query_id: int,
) -> CustomerUsage:
    return CustomerUsage(
        customer_low | (customer_high % ANSWER_BIT) << 32,
        plan,
        total / UNIT_STEPS,
        level / UNIT_STEPS,
        in_flight,
        requested_units / UNIT_STEPS,
        query_id,
        customer_high >= ANSWER_BIT,
    )
