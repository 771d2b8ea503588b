"""Converts discovery's start times to the monotonic clock of this process.

Discovery sends the start of a backend in Unix time, but the wall clock of this machine may have been stepped
before this process started. Later steps do no harm, because the offset between the two clocks is chosen once.
An earlier process of this gateway, since the same boot, may have had a different offset. No backend has
started in the future, which rules some offsets out. Of the others, the one that makes the backends youngest
is chosen, so that no cold backend is taken for a warm one.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

NS_PER_MS: Final = 1_000_000
# Tolerance for start times in the future, as the clocks of a fleet differ slightly.
FUTURE_TOLERANCE_NS: Final = 1000 * NS_PER_MS
# Maximum number of backends with an overridden start; beyond it the oldest override is dropped.
MAX_OVERRIDES: Final = 4096


class DiscoveryClock:
    """Converts start times; `offset_ns`: monotonic time minus Unix time."""

    def __init__(self, offset_ns: int) -> None:
        """`offset_ns`: the offset between the clocks of this machine when the process started."""
        self.offset_ns = offset_ns
        self.offset_chosen = False  # the offset is final
        self._candidate_offsets: list[int] = [offset_ns]
        self._overrides: dict[int, tuple[int, int]] = {}  # by backend id: start as sent, in ms, and as used

    def add_candidate_offset(self, offset_ns: int) -> None:
        """Adds the offset of an earlier process of this gateway; ignored once the offset is chosen."""
        if not self.offset_chosen:
            self._candidate_offsets.append(offset_ns)

    def choose_offset(self, starts_ms: Iterable[int], now_ns: int) -> None:
        """Chooses the offset from the first list that contains a start time.

        The offset is final, because the converted start of a backend has to be the same in every list.
        """
        latest_ms = max(starts_ms, default=0)
        if self.offset_chosen or latest_ms <= 0:
            return
        self.offset_chosen = True
        latest_allowed_ns = now_ns + FUTURE_TOLERANCE_NS
        possible = [
            offset_ns
            for offset_ns in self._candidate_offsets
            if latest_ms * NS_PER_MS + offset_ns <= latest_allowed_ns
        ]
        self.offset_ns = max(possible) if possible else min(self._candidate_offsets)

    def started_ns(self, backend_id: int, start_ms: int, now_ns: int) -> int:
        """Converts a start to monotonic time, at most the time of its first receipt. 0: long ago."""
        if not start_ms:
            return 0
        override = self._overrides.get(backend_id)
        if override is not None and override[0] == start_ms:
            return override[1]
        started_ns = start_ms * NS_PER_MS + self.offset_ns
        return started_ns if started_ns <= now_ns else self.override_start(backend_id, start_ms, now_ns)

    def sent_start_ms(self, backend_id: int, started_ns: int) -> int:
        """Returns the start as sent by discovery that was converted to `started_ns`."""
        override = self._overrides.get(backend_id)
        return override[0] if override is not None else (started_ns - self.offset_ns) // NS_PER_MS

    def override_start(self, backend_id: int, start_ms: int, started_ns: int) -> int:
        """Replaces a start until discovery sends a different one; returns the replacement."""
        self._overrides.pop(backend_id, None)
        self._overrides[backend_id] = start_ms, started_ns
        if len(self._overrides) > MAX_OVERRIDES:
            del self._overrides[next(iter(self._overrides))]
        return started_ns
