"""One instant by both clocks of a machine, so that another process can tell how long ago it was."""

from __future__ import annotations

from typing import NamedTuple


class Moment(NamedTuple):
    """`boot` names the run of the machine; empty where the system doesn't say. Within one run the monotonic
    clock is the same for all processes, and no step of the wall clock moves it."""

    monotonic_ns: int
    unix_ns: int
    boot: str = ""

    def same_boot(self, other: Moment) -> bool:
        """The monotonic clocks of both can be compared."""
        return bool(self.boot) and self.boot == other.boot

    def since_ns(self, earlier: Moment) -> int:
        """How long ago the other was; by the wall clock, where the machine was started anew since."""
        if self.same_boot(earlier):
            return max(0, self.monotonic_ns - earlier.monotonic_ns)
        return max(0, self.unix_ns - earlier.unix_ns)
