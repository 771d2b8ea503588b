"""Units of time of the decisions: integer nanoseconds of one monotonic clock."""

from __future__ import annotations

from typing import Final

SECOND_NS: Final = 1_000_000_000
NEVER_NS: Final = -(10**18)  # "it has not happened yet": far before any monotonic time
