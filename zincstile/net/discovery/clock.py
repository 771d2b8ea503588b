"""Discovery's times on this process's monotonic clock.

Discovery sends in Unix time when a backend started. The wall clock of this machine may be wrong, by a step
before this process began; a step while it runs does no harm, as one difference between both clocks is kept
for good. What is known besides: no backend has started in the future; and an older process of this gateway,
on the same run of the machine, may have had another difference. Of those that put no start into the future
the one is taken by which backends are youngest: one that is cold is not to be taken for warm.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

NS_PER_MS: Final = 1_000_000
# By which a start may lie in the future: clocks of a fleet differ a little.
FUTURE_TOLERANCE_NS: Final = 1000 * NS_PER_MS
# Backends whose start is held otherwise than discovery sends it; the oldest is dropped beyond.
MAX_OVERRIDES: Final = 4096


class DiscoveryClock:
    """`offset_ns`: monotonic less Unix time."""

    def __init__(self, offset_ns: int) -> None:
        """By this machine's clocks, as they are at the start of the process."""
        self.offset_ns = offset_ns
        self.offset_chosen = False  # the offset stays as it is
        self._candidate_offsets: list[int] = [offset_ns]
        self._overrides: dict[int, tuple[int, int]] = {}  # by backend: the start as sent in ms, and as held

    def add_candidate_offset(self, offset_ns: int) -> None:
        """What an older process of this gateway had; before the first list that has a start."""
        if not self.offset_chosen:
            self._candidate_offsets.append(offset_ns)

    def choose_offset(self, starts_ms: Iterable[int], now_ns: int) -> None:
        """Chooses the offset by the first list that has any start.

        It is the same for good from then on, since a start has to stay the same number in every list.
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
        """A start in monotonic time, never later than when it is first received. 0: long ago."""
        if not start_ms:
            return 0
        override = self._overrides.get(backend_id)
        if override is not None and override[0] == start_ms:
            return override[1]
        started_ns = start_ms * NS_PER_MS + self.offset_ns
        return started_ns if started_ns <= now_ns else self.override_start(backend_id, start_ms, now_ns)

    def sent_start_ms(self, backend_id: int, started_ns: int) -> int:
        """The start as discovery sends it, of one that is held as `started_ns`."""
        override = self._overrides.get(backend_id)
        return override[0] if override is not None else (started_ns - self.offset_ns) // NS_PER_MS

    def override_start(self, backend_id: int, start_ms: int, started_ns: int) -> int:
        """Holds a start otherwise than it is sent, until discovery sends another one; returns it."""
        self._overrides.pop(backend_id, None)
        self._overrides[backend_id] = start_ms, started_ns
        if len(self._overrides) > MAX_OVERRIDES:
            del self._overrides[next(iter(self._overrides))]
        return started_ns
