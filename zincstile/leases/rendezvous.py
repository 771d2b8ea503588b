"""Choice of the gateways that hold a part of a customer's quota, by rendezvous hashing."""

from __future__ import annotations

from typing import Final

WORD_VALUES: Final = 2**64  # SplitMix64 counts in 64 bits
CUSTOMER_FACTOR: Final = 0x9E3779B97F4A7C15  # SplitMix64's increment, 2**64 by the golden ratio
GATEWAY_FACTOR: Final = 0xD1B54A32D192ED03  # an odd factor unlike the first, so that the two don't cancel out
FIRST_MIX_FACTOR: Final = 0xBF58476D1CE4E5B9  # SplitMix64's finalizer
SECOND_MIX_FACTOR: Final = 0x94D049BB133111EB  # SplitMix64's finalizer


def choose_holders(customer: int, gateways: tuple[int, ...], count: int) -> list[int]:
    """Returns all gateways of a small set, else the first `count` by a hash of customer and gateway.

    The result is the same at every gateway, and in whichever order the gateways are named.
    """
    if count >= len(gateways):
        return list(gateways)
    return sorted(sorted(gateways, key=lambda gateway: _hash(customer, gateway))[:count])


def _hash(customer: int, gateway: int) -> int:
    """Returns the SplitMix64 hash (Steele, Lea, Flood 2014) of both numbers."""
    mixed = (customer * CUSTOMER_FACTOR + (gateway + 1) * GATEWAY_FACTOR) % WORD_VALUES
    mixed = (mixed ^ mixed >> 30) * FIRST_MIX_FACTOR % WORD_VALUES
    mixed = (mixed ^ mixed >> 27) * SECOND_MIX_FACTOR % WORD_VALUES
    return mixed ^ mixed >> 31
