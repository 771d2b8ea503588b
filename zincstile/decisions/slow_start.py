"""Slow start: how far a recently started endpoint is warmed up, and which share of all attempts it gets.

The share is applied by a random draw, not by a token bucket. Divided among many gateways, a bucket would be
waiting to fill most of the time, and leave the endpoint idle.
"""

from __future__ import annotations

from itertools import accumulate
from typing import Final

from .settings import Settings

# A warming endpoint gets at most this share of the load at which it is overloaded by the settings.
OVERLOAD_SHARE: Final = 0.5
# Before any endpoint has completed work, an endpoint is assumed to complete one largest request in this many
# seconds.
INITIAL_RATE_DIVISOR: Final = 4


def warmth(now: int, started_ns: int, settings: Settings) -> float:
    """Returns the warmth of an endpoint: from the configured share at its start up to 1 once it is warm.

    A start time of 0 stands for a start long ago.
    """
    age = (now - started_ns) / max(1, settings.slow_start_ns) if started_ns else 1.0
    return min(1.0, settings.slow_start_share + (1 - settings.slow_start_share) * max(0.0, age))


def max_share(settings: Settings, peak_endpoint_rate: float, sent_per_s: float) -> float:
    """Returns the largest share of all sent units that one warming endpoint may get from all gateways.

    It derives from the rate that healthy warm endpoints have reached, and from the multiple of it that the
    settings allow.
    """
    return OVERLOAD_SHARE * settings.slow_start_overload_multiple * peak_endpoint_rate / sent_per_s


def cumulative_shares(warmths: list[float], healthy: float, share_limit: float) -> list[float]:
    """Returns cumulative sums of the shares of the warming endpoints.

    The share of an endpoint is that of a warm one times its warmth, but at most `warmth * share_limit`.
    """
    return list(accumulate(endpoint_warmth * min(1 / healthy, share_limit) for endpoint_warmth in warmths))


class SlowStart:
    """Owns the shares of the warming endpoints in all attempts."""

    def __init__(self, settings: Settings) -> None:
        """Starts without warming endpoints."""
        self.settings = settings
        self.cumulative_shares: list[float] = []  # of all attempts; sums over the warming endpoints
        self.max_share_multiple = 1.0  # an endpoint may get up to this multiple of its share
        self.peak_endpoint_rate = 0.0  # highest rate, in units per second, of an endpoint for this gateway

    def warmth(self, now: int, started_ns: int) -> float:
        """Returns how far an endpoint is warmed up, above 0 and at most 1."""
        return warmth(now, started_ns, self.settings)

    def update(self, warmths: list[float], healthy: float, completed_per_s: float, sent_per_s: float) -> None:
        """Computes the shares again.

        `completed_per_s` is the rate at which each endpoint completed units for this gateway, `sent_per_s`
        the rate of units that this gateway sends.
        """
        settings = self.settings
        # This gateway's share of the rate that is assumed at first.
        min_rate = settings.max_request_units / INITIAL_RATE_DIVISOR / settings.gateway_count
        self.peak_endpoint_rate = max(self.peak_endpoint_rate, completed_per_s, min_rate)
        share_limit = max_share(settings, self.peak_endpoint_rate, max(1e-9, sent_per_s))
        self.max_share_multiple = max(1.0, share_limit * healthy)
        self.cumulative_shares = self.compute_shares(warmths, healthy, share_limit)

    def compute_shares(self, warmths: list[float], healthy: float, share_limit: float) -> list[float]:
        """Returns cumulative sums of the shares of the warming endpoints."""
        return cumulative_shares(warmths, healthy, share_limit)
