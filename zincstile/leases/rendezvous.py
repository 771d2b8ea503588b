"""Which gateways of a customer's set hold a part of its quota, by rendezvous hashing."""

from __future__ import annotations


def choose_holders(key: int, gateways: tuple[int, ...], count: int) -> list[int]:
    """All gateways of a small set, else the first `count` by a hash of customer and gateway.

    The same wherever it is asked, and in whichever order the gateways are named.
    """
    if count >= len(gateways):
        return list(gateways)
    return sorted(sorted(gateways, key=lambda g: _mix(key, g))[:count])


def _mix(key: int, gateway: int) -> int:
    """SplitMix64 (Steele, Lea, Flood 2014) of both numbers."""
    x = (key * 0x9E3779B97F4A7C15 + (gateway + 1) * 0xD1B54A32D192ED03) % 2**64
    x = (x ^ x >> 30) * 0xBF58476D1CE4E5B9 % 2**64
    x = (x ^ x >> 27) * 0x94D049BB133111EB % 2**64
    return x ^ x >> 31
