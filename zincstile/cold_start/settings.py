"""Settings of a cold start."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from ..decisions.validation import require_above_zero

MS: Final = 1_000_000  # nanoseconds
SECOND: Final = 1_000_000_000  # nanoseconds


@dataclass(frozen=True, slots=True)
class ColdStartSettings:
    """What an operator configures; a field has the name of its key in the file, so that errors name the key.

    Durations are in nanoseconds.
    """

    peers: bool = False  # lists from peers: only where an endpoint's address is the same for all gateways
    wait_ns: int = 80 * MS  # a start waits this long for peers before it polls the list service
    each_ns: int = 10 * MS  # and then a random time, up to this long for each gateway of the fleet
    again_ns: int = 150 * MS  # a request that a peer did not answer goes to another after this long
    agree: int = 2  # peers that have to send the same list before it is used at once
    lone_ns: int = 300 * MS  # the list of one peer alone is used after this long
    fan: int = 3  # peers that are queried at once
    told_per_s: float = 120.0  # datagrams of list lines that a gateway sends in a second, at most
    oldest_ns: int = 600 * SECOND  # a list that discovery confirmed longer ago is neither sent nor used
    known_ns: int = 300 * MS  # a start with a cached list waits this long for a newer one
    first_per_s: float = 20.0  # units a second that all gateways together send each ready endpoint at first
    double_ns: int = 200 * MS  # time in which good answers raise that to 2.7 times as much
    open_ns: int = 10 * SECOND  # admission is open after this long, whatever was observed

    def __post_init__(self) -> None:
        """Raises ValueError for a field that can't work, and names it."""
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
