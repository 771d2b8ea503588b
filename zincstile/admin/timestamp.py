"""A point in time on both clocks of a machine, from which another process can compute the elapsed time."""

from __future__ import annotations

from typing import NamedTuple


class Timestamp(NamedTuple):
    """A point in time, recorded by one process and compared by another on the same machine.

    Until the machine reboots, all processes share the monotonic clock, and steps of the wall clock don't
    affect it.
    """

    monotonic_ns: int  # CLOCK_MONOTONIC
    unix_ns: int  # the wall clock
    boot_id: str = ""  # new at each boot of the machine; empty if the system provides none

    def same_boot(self, other: Timestamp) -> bool:
        """Returns whether both were taken in the same boot, so that their monotonic times compare."""
        return bool(self.boot_id) and self.boot_id == other.boot_id

    def elapsed_since_ns(self, earlier: Timestamp) -> int:
        """Returns the time since `earlier`, at least 0; across a reboot, measured on the wall clock."""
        if self.same_boot(earlier):
            return max(0, self.monotonic_ns - earlier.monotonic_ns)
        return max(0, self.unix_ns - earlier.unix_ns)
