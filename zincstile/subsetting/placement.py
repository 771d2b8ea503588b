"""Position and size of a gateway's slice of a ring of endpoints, as pure functions.

The endpoints of one service in one zone are on a ring, in the order of a stable hash. The gateways are placed
on the ring at even distances: the one with index `i` among `count` is at position `i * stride` of `count`.
The stride is near `count` divided by the golden ratio, so that any block or regular selection of indices is
spread out too. Each gateway takes the endpoints that follow its position. So each endpoint is taken by
`count * size / total` gateways, rounded down or up, and a change of one endpoint exchanges at most one other
endpoint of a slice.
"""

from __future__ import annotations

import hashlib
import math
from functools import lru_cache
from typing import Final

GOLDEN_RATIO_PART: Final = (math.sqrt(5) - 1) / 2  # multiples of this part are spread most evenly on a ring
ID_BITS: Final = 64  # of an endpoint id
ID_MASK: Final = (1 << ID_BITS) - 1
HASH_BYTES: Final = 6  # 48 bits: among 32,000 endpoints, one list in 550,000 has a collision
STRIDE_CANDIDATES: Final = 400  # enough to find an even stride; compared once for each fleet size


def stable_hash(*parts: object) -> int:
    """Returns a hash that is the same at all gateways and after restarts."""
    text = "/".join(map(str, parts)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=HASH_BYTES).digest(), "big")


def ring_key(service: int, endpoint: int) -> int:
    """Returns the sort key of an endpoint in the rings of its service; the lower bits are its id."""
    return stable_hash(service, endpoint) << ID_BITS | endpoint & ID_MASK


def endpoint_id_of(key: int) -> int:
    """Returns the endpoint id in a ring key."""
    return key & ID_MASK


def largest_quotient(part: int, whole: int) -> int:
    """Returns the largest quotient of the continued fraction of `part / whole`.

    The smaller it is, the more evenly the multiples of `part` are spread over `whole`.
    """
    largest = 0
    while part:
        largest = max(largest, whole // part)
        part, whole = whole % part, part
    return largest


@lru_cache(maxsize=64)
def stride(count: int) -> int:
    """Returns the distance between two gateways with consecutive indexes on a ring of `count` positions.

    It is coprime to `count` and near `count` divided by the golden ratio. Among such numbers, it is the one
    whose multiples are spread most evenly, so that a block of consecutive indexes has no large gaps either.
    """
    wanted = round(count * GOLDEN_RATIO_PART)
    first = max(1, wanted - STRIDE_CANDIDATES // 2)
    last = min(count, wanted + STRIDE_CANDIDATES // 2)
    coprime = [candidate for candidate in range(first, last + 1) if math.gcd(candidate, count) == 1]
    return min(coprime, key=lambda part: (largest_quotient(part, count), abs(part - wanted)))


def slice_size(total: int, min_endpoints: int, min_gateways: int, gateway_count: int) -> int:
    """Returns how many of `total` endpoints each gateway takes.

    This is `min_endpoints`, or more if each endpoint would otherwise be taken by fewer than `min_gateways`.
    """
    return min(total, max(min_endpoints, -(-min_gateways * total // gateway_count)))


def first_rank(index: int, count: int, total: int, offset: int = 0) -> int:
    """Returns the rank at which the slice of gateway `index` begins on a ring of `total` endpoints."""
    position = (offset + index * stride(count)) % count
    return position * total // count
