"""Discovery's times on this process's monotonic clock.

Discovery tells in Unix time when a backend server started. The wall clock of this machine may be wrong, by
a step before this process began; a step while it runs does no harm, as one difference between both clocks
is kept for good. What is known besides: no server has started in the future; and an older process of this
gateway, on the same run of the machine, may have had another difference. Of those that put no start into
the future the one is taken by which servers are youngest: one that is cold is not to be taken for warm.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

MS: Final = 1_000_000
AHEAD_NS: Final = 1000 * MS  # by which a start may lie in the future: clocks of a fleet differ a little
PINNED_KEPT: Final = 4096  # servers whose start is held otherwise than discovery tells it


class DiscoveryClock:
    """`apart_ns`: monotonic less Unix time."""

    def __init__(self, apart_ns: int) -> None:
        """By this machine's clocks, as they are at the start of the process."""
        self.apart_ns = apart_ns
        self._offered: list[int] = [apart_ns]
        self.settled = False
        self._pinned: dict[int, tuple[int, int]] = {}  # server: the start as told in ms, and as it is held

    def offer(self, apart_ns: int) -> None:
        """What an older process of this gateway had; before the first list that tells a start."""
        if not self.settled:
            self._offered.append(apart_ns)

    def settle(self, since_ms: Iterable[int], now_ns: int) -> None:
        """With the first list that tells any start: the difference is the same for good from then on, since
        a start has to stay the same number in every list."""
        latest_ms = max(since_ms, default=0)
        if self.settled or latest_ms <= 0:
            return
        self.settled = True
        possible = [a for a in self._offered if latest_ms * MS + a <= now_ns + AHEAD_NS]
        self.apart_ns = max(possible) if possible else min(self._offered)

    def started_ns(self, server: int, since_ms: int, now_ns: int) -> int:
        """A start, monotonic; never later than the moment at which it is first told. 0: long ago."""
        if not since_ms:
            return 0
        pinned = self._pinned.get(server)
        if pinned is not None and pinned[0] == since_ms:
            return pinned[1]
        started_ns = since_ms * MS + self.apart_ns
        return started_ns if started_ns <= now_ns else self.pin(server, since_ms, now_ns)

    def told_ms(self, server: int, started_ns: int) -> int:
        """The start as discovery tells it, of one that is held."""
        pinned = self._pinned.get(server)
        return pinned[0] if pinned is not None else (started_ns - self.apart_ns) // MS

    def pin(self, server: int, since_ms: int, started_ns: int) -> int:
        """Holds this start of a server otherwise than it is told, until discovery tells another one."""
        self._pinned.pop(server, None)
        self._pinned[server] = since_ms, started_ns
        if len(self._pinned) > PINNED_KEPT:
            del self._pinned[next(iter(self._pinned))]
        return started_ns
