"""Constants for times, which are integer nanoseconds of one monotonic clock."""

from __future__ import annotations

from typing import Final

SECOND_NS: Final = 1_000_000_000
NEVER_NS: Final = -(10**18)  # the time of an event that has not happened: before any monotonic time
