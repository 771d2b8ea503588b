"""Bytes of control messages, by the program's own packers on values of the usual form. No I/O, no clock.

Payloads only: what IP, UDP, TCP and chunked framing add is left out, as it differs from path to path.
"""

from __future__ import annotations

import json
import math
import struct
from functools import cache
from typing import Final

from ..cold_start import codec as list_codec
from ..cold_start.entry_lines import encode_entry
from ..cold_start.messages import BUCKETS, BucketPart
from ..decisions.fleet_estimates import FIXED_FIELDS
from ..decisions.messages import CustomerUsage, ErrorSample, SendGossip
from ..simulator import gossip_codec
from ..zone_failover import codec as zone_codec
from ..zone_failover.messages import ZoneObservation, ZoneReport

CLASSES: Final = 3  # request classes in a gateway's settings, as in the sites under deploy/
WATCH_LINE_BYTES: Final = 1  # discovery's empty line while nothing changes

ENTRY: Final = {
    "name": "s-5be2a07c",
    "address": "10.1.0.18:6379",
    "zone": "zone-03",
    "type": "m2",
    "group": 3,
    "status": "Ready",
    "weight": 1.0,
    "since_ms": 1764651600000,
}
ROUTE: Final = {
    "name": "r-9c41d2e0",
    "tenant": "00000000b4d65521",
    "class": "lookup",
    "host": "api.example.net",
    "prefix": "/v2/accounts/",
    "service": "svc-0417",
    "weight": 1.0,
}


def _json(value: object) -> int:
    return len(json.dumps(value, separators=(",", ":")))


def entry_bytes() -> int:
    """An entry of the endpoint table, as discovery writes it."""
    return _json(ENTRY)


def route_bytes() -> int:
    """An entry of a table of routes, written in the same way. The program has no such table."""
    return _json(ROUTE)


def list_bytes(entries: int) -> int:
    """A whole list, one line."""
    return _json({"index": 4_100_000, "snapshot": True, "endpoints": []}) + entries * (entry_bytes() + 1)


def change_bytes() -> int:
    """A line of the watch with one change."""
    return _json({"index": 4_100_000, "snapshot": False, "endpoints": [ENTRY]}) + 1


def gossip_bytes(shares: float, *, figures: bool = False, error_samples: int = 0) -> float:
    """Bytes of a message between gateways with so many shares, on average; `figures` go with queries
    and their answers, `error_samples` are the last ones of backends."""
    low = math.floor(shares)
    part = shares - low
    fewer = _gossip_bytes(low, figures, error_samples)
    more = _gossip_bytes(low + 1, figures, error_samples)
    return (1 - part) * fewer + part * more


@cache
def _gossip_bytes(shares: int, figures: bool, error_samples: int) -> int:
    message = SendGossip(
        peer=1,
        incarnation=2**31,
        usages=[CustomerUsage(2**32 + k, 1, 1234.5, 17.5, 1, 2.0, 77) for k in range(shares)],
        estimates=[1.0] * (FIXED_FIELDS + CLASSES) if figures else [],
        error_samples=[ErrorSample(4711, 1, 0.5)] * error_samples,
    )
    return sum(len(datagram) for datagram in gossip_codec.encode_gossip(message))


def report_bytes(zones: int) -> int:
    """A gateway's report on the zones (features.place)."""
    sights = tuple(ZoneObservation(100, 90.0, 0.1, 40.0) for _ in range(zones))
    return len(zone_codec.pack(ZoneReport(1, 2**31, 7, 0, 80.0, sights, 0, 0)))


def bucket_lines(entries: int) -> list[BucketPart]:
    """Lists from peers (features.start): a mean bucket of a list of so many entries, as datagrams."""
    count = -(-entries // BUCKETS)
    lines = [encode_entry(ENTRY | {"name": f"s-{k:08x}"}) for k in range(count)]
    return list_codec.split_bucket(41, 0, [line for line in lines if line is not None])


def can_be_numbered(parts: list[BucketPart]) -> bool:
    """Whether the format of lists from peers has room for the numbers of these datagrams."""
    try:
        list_codec.pack(parts[-1])
    except struct.error:
        return False
    return True


def most_parts() -> int:
    """Datagrams of one bucket that the format of lists from peers can count."""
    low, high = 1, 1 << 16
    while low < high:  # the largest count that packs
        middle = (low + high + 1) // 2
        if can_be_numbered([BucketPart(41, 0, middle - 1, middle, (b"x",))]):
            low = middle
        else:
            high = middle - 1
    return low
