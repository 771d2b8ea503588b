"""Codec of the messages between gateways: datagrams of 256 bytes at most, with a check against damage.

Units travel in sixteenths, totals modulo 2^32. A datagram: head, figures, error samples, usages of customers.
"""

from __future__ import annotations

import struct
import zlib
from typing import Final

from ..decisions.messages import CustomerUsage, ErrorSample, GossipReceived, SendGossip

MAGIC: Final = 0xB9  # first byte of a datagram of this kind
MAX_DATAGRAM_BYTES: Final = 256
UNIT_STEPS: Final = 16.0  # of a unit
ANSWER_BIT: Final = 0x80  # in the high byte of a customer's number
MAX_FIGURE: Final = 60000.0  # of a half-precision float
MAX_GROUP: Final = 255  # of an error sample
ERROR_STEPS: Final = 255  # of an error from 0 to 1
CHECK_MASK: Final = 0xFFFF
MIN_SHORT: Final = -32768
MAX_SHORT: Final = 32767
MAX_IN_FLIGHT: Final = 255

HEAD: Final = struct.Struct("<BIHBB")  # magic, incarnation, check, counts of figures and of error samples
FIGURE: Final = struct.Struct("<e")
ERROR_SAMPLE: Final = struct.Struct("<HBB")
USAGE: Final = struct.Struct("<IBBIhBhH")


def encode_gossip(message: SendGossip) -> list[bytes]:
    """The datagrams of a message.

    Where the settings have many classes and plans, the figures of the last groups are left out, and error
    samples of groups past a byte: else a message would have no room for any usage, or be too long.
    """
    samples = [sample for sample in message.error_samples if sample.group <= MAX_GROUP]
    room = (
        MAX_DATAGRAM_BYTES - HEAD.size - USAGE.size * bool(message.usages) - ERROR_SAMPLE.size * len(samples)
    )
    figures = message.estimates[: max(0, room // FIGURE.size)]
    extra = b"".join(FIGURE.pack(min(MAX_FIGURE, max(0.0, figure))) for figure in figures)
    extra += b"".join(_encode_sample(sample) for sample in samples)
    counts = (len(figures), len(samples))
    datagrams: list[bytes] = []
    first = 0
    while not datagrams or first < len(message.usages):
        end = first + (MAX_DATAGRAM_BYTES - HEAD.size - len(extra)) // USAGE.size
        body = extra + b"".join(_encode_usage(usage) for usage in message.usages[first:end])
        check = zlib.crc32(body, message.incarnation) & CHECK_MASK
        datagrams.append(HEAD.pack(MAGIC, message.incarnation, check, *counts) + body)
        extra = b""
        counts = (0, 0)
        first = end
    return datagrams


def _encode_sample(sample: ErrorSample) -> bytes:
    return ERROR_SAMPLE.pack(sample.endpoint_hash, sample.group, int(sample.error * ERROR_STEPS))


def _encode_usage(usage: CustomerUsage) -> bytes:
    return USAGE.pack(
        usage.customer % 2**32,
        usage.customer >> 32 | ANSWER_BIT * usage.is_answer,
        usage.plan,
        round(usage.total * UNIT_STEPS) % 2**32,
        _short(usage.level),
        max(0, min(MAX_IN_FLIGHT, usage.in_flight)),
        _short(usage.requested_units),
        usage.query_id,
    )


def _short(units: float) -> int:
    return max(MIN_SHORT, min(MAX_SHORT, round(units * UNIT_STEPS)))


def decode_gossip(sender: int, data: bytes) -> GossipReceived | None:
    """The message in a datagram; None for one that is damaged or of another layout."""
    if len(data) < HEAD.size:
        return None
    magic, incarnation, check, figure_count, sample_count = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    samples_at = figure_count * FIGURE.size
    usages_at = samples_at + sample_count * ERROR_SAMPLE.size
    if magic != MAGIC or check != zlib.crc32(body, incarnation) & CHECK_MASK:
        return None
    if len(body) < usages_at or (len(body) - usages_at) % USAGE.size:
        return None
    return GossipReceived(
        sender,
        incarnation,
        [_decode_usage(*row) for row in USAGE.iter_unpack(body[usages_at:])],
        [figure for (figure,) in FIGURE.iter_unpack(body[:samples_at])],
        [
            ErrorSample(endpoint_hash, group, error / ERROR_STEPS)
            for endpoint_hash, group, error in ERROR_SAMPLE.iter_unpack(body[samples_at:usages_at])
        ],
    )


def _decode_usage(
    low: int, high: int, plan: int, total: int, level: int, in_flight: int, want: int, query_id: int
) -> CustomerUsage:
    return CustomerUsage(
        low | (high % ANSWER_BIT) << 32,
        plan,
        total / UNIT_STEPS,
        level / UNIT_STEPS,
        in_flight,
        want / UNIT_STEPS,
        query_id,
        high >= ANSWER_BIT,
    )
