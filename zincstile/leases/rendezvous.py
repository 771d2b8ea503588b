"""Chooses the gateways that hold a part of a customer's quota, by rendezvous hashing."""

from __future__ import annotations

from typing import Final

UINT64_VALUES: Final = 2**64  # SplitMix64 uses 64-bit arithmetic
CUSTOMER_FACTOR: Final = 0x9E3779B97F4A7C15  # SplitMix64's increment: 2**64 divided by the golden ratio
GATEWAY_FACTOR: Final = 0xD1B54A32D192ED03  # another odd factor, so that the two terms don't cancel out
FIRST_MIX_FACTOR: Final = 0xBF58476D1CE4E5B9  # SplitMix64's finalizer
SECOND_MIX_FACTOR: Final = 0x94D049BB133111EB  # SplitMix64's finalizer


def choose_holders(customer: int, gateways: tuple[int, ...], count: int) -> list[int]:
    """Returns the `count` gateways with the lowest hashes of customer and gateway; all if there are fewer.

    The choice is the same at every gateway, and does not depend on the order of `gateways`.
    """
    if count >= len(gateways):
        return list(gateways)
    return sorted(sorted(gateways, key=lambda gateway: _hash(customer, gateway))[:count])


def _hash(customer: int, gateway: int) -> int:
    """Returns the SplitMix64 hash (Steele, Lea and Flood 2014) of customer and gateway."""
    mixed = (customer * CUSTOMER_FACTOR + (gateway + 1) * GATEWAY_FACTOR) % UINT64_VALUES
    mixed = (mixed ^ mixed >> 30) * FIRST_MIX_FACTOR % UINT64_VALUES
    mixed = (mixed ^ mixed >> 27) * SECOND_MIX_FACTOR % UINT64_VALUES
    return mixed ^ mixed >> 31
