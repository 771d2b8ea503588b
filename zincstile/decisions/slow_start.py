"""Slow start: how warm a backend that has just started is, and which part of all sends is due to it."""

from __future__ import annotations

from itertools import accumulate

from .settings import Settings

COLD_USE = 0.5  # of the multiple of its capacity by which a cold backend falls


def warmth(now: int, started_ns: int, settings: Settings) -> float:
    """From the settings' share at its start to 1 once it is warm; 1 where its start is long ago (0)."""
    age = (now - started_ns) / max(1, settings.cold_ns) if started_ns else 1.0
    return min(1.0, settings.cold_share + (1 - settings.cold_share) * max(0.0, age))


def most_share(settings: Settings, seen_rate: float, sending: float) -> float:
    """Of all that is sent (units a second), the most that one cold backend may get from all gateways
    together: a part of the multiple that the rule allows of what good warm ones were seen to work."""
    return COLD_USE * settings.cold_multiple * seen_rate / sending


def parts(warmths: list[float], good: float, most: float) -> list[float]:
    """The part of all sends that is due to each cold backend, summed up: as much of a warm one's as it is
    warm, but no more than the most."""
    return list(accumulate(w * min(1 / good, most) for w in warmths))
