"""A clock that counts only the time for which this process was running."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RunningClock:
    """Counts running time, leaving out the time for which the process was suspended."""

    max_gap_ns: int  # a longer gap between two observations counts as this long
    running_ns: int = 0
    observed_ns: int = -1  # last observation, on the machine's clock; -1 if there is none

    def observe(self, now: int) -> int:
        """Returns the running time up to `now`, in nanoseconds."""
        if self.observed_ns >= 0:
            self.running_ns += min(self.max_gap_ns, max(0, now - self.observed_ns))
        self.observed_ns = max(now, self.observed_ns)
        return self.running_ns
