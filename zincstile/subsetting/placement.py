"""Where a gateway's slice of a ring of endpoints lies: pure functions of numbers.

The endpoints of one service in one zone are on a ring in the order of a stable hash. The gateways are on it
too, exactly evenly: the one with index `i` among `count` at the `i * stride`-th of `count` places, with a
stride near the golden ratio's part of `count`, so that also any block or regular selection of indices is
spread out. Each gateway takes the endpoints from its place on. So an endpoint is taken by
`count * size / total` gateways, rounded down or up, and a change of one endpoint exchanges at most one other
of a slice.
"""

from __future__ import annotations

import hashlib
import math
from functools import lru_cache
from typing import Final

GOLDEN_RATIO_PART: Final = (math.sqrt(5) - 1) / 2  # multiples of this part spread most evenly round a ring
ID_BITS: Final = 64  # of an endpoint's number
ID_MASK: Final = (1 << ID_BITS) - 1
HASH_BYTES: Final = 6  # 48 bits: two of 32,000 endpoints have the same hash once in 550,000 lists
STRIDE_CANDIDATES: Final = 400  # enough to find an even one; they are compared once for each fleet size


def stable_hash(*parts: object) -> int:
    """A hash that is the same at every gateway and after restarts."""
    text = "/".join(map(str, parts)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=HASH_BYTES).digest(), "big")


def ring_key(service: int, endpoint: int) -> int:
    """An endpoint's place in the order of its service's rings; the lower bits are its number."""
    return stable_hash(service, endpoint) << ID_BITS | endpoint & ID_MASK


def endpoint_id_of(key: int) -> int:
    """The endpoint's number, from its key in a ring."""
    return key & ID_MASK


def largest_quotient(part: int, whole: int) -> int:
    """The largest quotient of the continued fraction of `part / whole`.

    The smaller it is, the more evenly the multiples of `part` spread over `whole`.
    """
    largest = 0
    while part:
        largest = max(largest, whole // part)
        part, whole = whole % part, part
    return largest


@lru_cache(maxsize=64)
def stride(count: int) -> int:
    """The distance between two gateways with consecutive indices, on a ring of `count` places.

    Coprime to `count` and near the golden ratio's part of it. Of those it is the one whose multiples spread
    most evenly, so that also a block of consecutive indices has no large gaps.
    """
    wanted = round(count * GOLDEN_RATIO_PART)
    first = max(1, wanted - STRIDE_CANDIDATES // 2)
    last = min(count, wanted + STRIDE_CANDIDATES // 2)
    coprime = [candidate for candidate in range(first, last + 1) if math.gcd(candidate, count) == 1]
    return min(coprime, key=lambda found: (largest_quotient(found, count), abs(found - wanted)))


def slice_size(total: int, min_endpoints: int, min_gateways: int, gateways: int) -> int:
    """How many of `total` endpoints each of `gateways` takes.

    It is `min_endpoints`, and more where each endpoint would be taken by fewer than `min_gateways`.
    """
    return min(total, max(min_endpoints, -(-min_gateways * total // gateways)))


def first_rank(index: int, count: int, total: int, offset: int = 0) -> int:
    """The rank at which the slice of gateway `index` of `count` begins, on a ring of `total` endpoints."""
    place = (offset + index * stride(count)) % count
    return place * total // count
