"""The settings of a start. Times in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

from ..decisions.validation import require_above_zero

MS, SECOND = 1_000_000, 1_000_000_000


@dataclass(frozen=True, slots=True)
class StartSettings:
    """ValueError names a field that can't work."""

    peers: bool = False  # lists from peers: only where a server's address is the same for all gateways
    wait_ns: int = 80 * MS  # so long a start waits for a peer's word before it asks the service
    each_ns: int = 10 * MS  # and then a drawn time, up to so long for each gateway, where it has to be asked
    again_ns: int = 150 * MS  # an ask of a peer that was not answered goes to another after so long
    agree: int = 2  # peers that have to tell of one list before it is taken at once
    lone_ns: int = 300 * MS  # one peer's alone is taken after so long
    fan: int = 3  # peers asked at once
    told_per_s: float = 120.0  # datagrams with lines that a gateway tells in a second, at most
    oldest_ns: int = 600 * SECOND  # a list that discovery confirmed longer ago is neither told nor taken
    known_ns: int = 300 * MS  # a start with a list of its own waits so long for a younger one
    first_per_s: float = 20.0  # units a second that all gateways together send each ready server at first
    double_ns: int = 200 * MS  # the time in which good answers raise that to 2.7 times it
    open_ns: int = 10 * SECOND  # after so long admission is open whatever was seen

    def __post_init__(self) -> None:
        require_above_zero(
            self,
            "wait_ns",
            "each_ns",
            "again_ns",
            "agree",
            "lone_ns",
            "fan",
            "oldest_ns",
            "known_ns",
            "double_ns",
            "open_ns",
        )
        if not self.told_per_s > 0:
            raise ValueError("told_per_s: must be above 0")
        if not self.first_per_s > 0:
            raise ValueError("first_per_s: must be above 0: nothing would ever be sent")
        if self.lone_ns < self.wait_ns:
            raise ValueError("lone_ns: must not be less than wait_ns: two peers would never be waited for")
