"""One instant by both clocks of a machine, so that another process can tell how long ago it was."""

from __future__ import annotations

from typing import NamedTuple


class Timestamp(NamedTuple):
    """An instant, read by one process of a machine and compared by another.

    Within one run of the machine the monotonic clock is the same for all processes, and no step of the wall
    clock moves it.
    """

    monotonic_ns: int  # CLOCK_MONOTONIC
    unix_ns: int  # the wall clock
    boot_id: str = ""  # names the run of the machine; empty where the system doesn't say

    def same_boot(self, other: Timestamp) -> bool:
        """Tells whether the monotonic clocks of both can be compared."""
        return bool(self.boot_id) and self.boot_id == other.boot_id

    def elapsed_since_ns(self, earlier: Timestamp) -> int:
        """Returns how long ago the other was, 0 at least; after the machine restarted by the wall clock."""
        if self.same_boot(earlier):
            return max(0, self.monotonic_ns - earlier.monotonic_ns)
        return max(0, self.unix_ns - earlier.unix_ns)
