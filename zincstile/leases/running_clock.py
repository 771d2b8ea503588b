"""A clock that counts the time for which this process was observed to run."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RunningClock:
    """Counts running time: a process that was stopped gains nothing for the time in which it did not run."""

    max_gap_ns: int  # a longer gap between two observations counts as this
    running_ns: int = 0
    observed_ns: int = -1  # the last observation, by the machine's clock; -1: none

    def observe(self, now: int) -> int:
        """Returns the running time so far, in nanoseconds, with the time since the last observation."""
        if self.observed_ns >= 0:
            self.running_ns += min(self.max_gap_ns, max(0, now - self.observed_ns))
        self.observed_ns = max(now, self.observed_ns)
        return self.running_ns
