"""Where a gateway's slice of a ring of endpoints lies: pure functions of numbers.

The endpoints of one service in one zone stand on a ring in the order of a stable hash. The gateways stand
on it too, exactly evenly: the one with index `i` among `count` at the `i * stride`-th of `count` places, with
a stride near the golden ratio's part of `count`, so that also any block or regular selection of indices is
spread out. Each takes the endpoints from its place on. So an endpoint is taken by `count * size / total`
gateways, rounded down or up, and a change of one endpoint exchanges at most one other of a slice.
"""

from __future__ import annotations

import hashlib
import math
from functools import lru_cache
from typing import Final

GOLDEN: Final = (math.sqrt(5) - 1) / 2
ID_BITS: Final = 64
ID_MASK: Final = (1 << ID_BITS) - 1
HASH_BYTES: Final = 6
STRIDES: Final = 400  # candidates that are compared


def stable_hash(*parts: object) -> int:
    """The same at every gateway and after restarts."""
    text = "/".join(map(str, parts)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=HASH_BYTES).digest(), "big")


def ring_key(service: int, endpoint: int) -> int:
    """Its place in the order of the service's rings; the lower bits are its number."""
    return stable_hash(service, endpoint) << ID_BITS | endpoint & ID_MASK


def largest_quotient(part: int, whole: int) -> int:
    """Of the continued fraction of `part / whole`: the smaller, the more evenly its multiples spread."""
    largest = 0
    while part:
        largest = max(largest, whole // part)
        part, whole = whole % part, part
    return largest


@lru_cache(maxsize=64)
def stride(count: int) -> int:
    """Coprime to `count` and near the golden ratio's part of it; of those the one whose multiples spread most
    evenly, so that also a block of consecutive indices has no large gaps."""
    wanted = round(count * GOLDEN)
    near = range(max(1, wanted - STRIDES // 2), min(count, wanted + STRIDES // 2) + 1)
    coprime = [candidate for candidate in near if math.gcd(candidate, count) == 1]
    return min(coprime, key=lambda c: (largest_quotient(c, count), abs(c - wanted)))


def slice_size(total: int, least: int, holders: int, gateways: int) -> int:
    """How many of `total` endpoints each of `gateways` takes: `least`, and more where each endpoint would
    be taken by fewer than `holders` gateways."""
    return min(total, max(least, -(-holders * total // gateways)))


def first_rank(index: int, count: int, total: int, offset: int = 0) -> int:
    """The rank at which the slice of gateway `index` of `count` begins, on a ring of `total` endpoints."""
    place = (offset + index * stride(count)) % count
    return place * total // count
