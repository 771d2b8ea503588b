"""A clock that counts the time for which this process was seen to run."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RunningClock:
    """Time awake: a process that was stopped earns nothing while it does not run."""

    gap_ns: int  # a longer gap between two looks counts as this
    awake_ns: int = 0
    last_ns: int = -1

    def look(self, now: int) -> int:
        """Nanoseconds awake so far; a longer gap since the last look counts as `gap_ns`."""
        if self.last_ns >= 0:
            self.awake_ns += min(self.gap_ns, max(0, now - self.last_ns))
        self.last_ns = max(now, self.last_ns)
        return self.awake_ns
