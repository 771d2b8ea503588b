"""Slow start: how far an endpoint that has just started is warmed up, and which share of all sends is due
to it.

A draw decides, and no token bucket: divided among many gateways a bucket would stand idle while it fills.
"""

from __future__ import annotations

from itertools import accumulate
from typing import Final

from .settings import Settings

OVERLOAD_SHARE: Final = 0.5  # of the multiple of its capacity by which a warming endpoint is overloaded
INITIAL_RATE_DIVISOR: Final = 4  # a warming endpoint's first rate: this part of the largest request a second


def warmth(now: int, started_ns: int, settings: Settings) -> float:
    """From the settings' share at its start to 1 once it is warm; 1 where its start is long ago (0)."""
    age = (now - started_ns) / max(1, settings.slow_start_ns) if started_ns else 1.0
    return min(1.0, settings.slow_start_share + (1 - settings.slow_start_share) * max(0.0, age))


def max_share(settings: Settings, peak_endpoint_rate: float, sent_per_s: float) -> float:
    """Of all that is sent (units a second), the most that one warming endpoint may get from all gateways
    together: a part of the multiple that the settings allow of what healthy warm ones were seen to work."""
    return OVERLOAD_SHARE * settings.slow_start_overload_multiple * peak_endpoint_rate / sent_per_s


def cumulative_shares(warmths: list[float], healthy: float, most: float) -> list[float]:
    """The share of all sends that is due to each warming endpoint, summed up: as much of a warm one's as it
    is warm, but no more than `most`."""
    return list(accumulate(w * min(1 / healthy, most) for w in warmths))


class SlowStart:
    """Owner of the shares that are due to warming endpoints."""

    def __init__(self, settings: Settings) -> None:
        """Starts without any warming endpoint."""
        self.settings = settings
        self.cumulative_shares: list[float] = []  # of all sends, of each warming endpoint, summed up
        self.max_share_multiple = 1.0  # so many times its due each may get at most
        self.peak_endpoint_rate = (
            0.0  # units a second that a warm one was seen to work for this gateway, at most
        )

    def warmth(self, now: int, started_ns: int) -> float:
        """How far an endpoint is warmed up, above 0 to 1."""
        return warmth(now, started_ns, self.settings)

    def update(self, warmths: list[float], healthy: float, worked_per_s: float, sent_per_s: float) -> None:
        """Takes the shares anew: `worked_per_s`: units that each endpoint completed for this gateway."""
        settings = self.settings
        least = (
            settings.max_request_units / INITIAL_RATE_DIVISOR / settings.gateway_count
        )  # where none was seen to work
        self.peak_endpoint_rate = max(self.peak_endpoint_rate, worked_per_s, least)
        most = max_share(settings, self.peak_endpoint_rate, max(1e-9, sent_per_s))
        self.max_share_multiple = max(1.0, most * healthy)
        self.cumulative_shares = self.compute_shares(warmths, healthy, most)

    def compute_shares(self, warmths: list[float], healthy: float, most: float) -> list[float]:
        """The share due to each warming endpoint, summed up."""
        return cumulative_shares(warmths, healthy, most)
