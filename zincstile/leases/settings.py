"""Settings of shared state. Times in nanoseconds of each gateway's own monotonic clock; none is compared
with another's."""

from __future__ import annotations

from dataclasses import dataclass

from ..decisions.validation import require_above_zero, require_known, require_share

MS, SECOND = 1_000_000, 1_000_000_000
FAILURES = ("none", "cut", "restart", "paused", "all")


@dataclass(frozen=True, slots=True)
class SharedSettings:
    """ValueError names a field that can't work."""

    life_ns: int = 1500 * MS  # a lease ends so long after it was asked for
    held_ns: int = 83 * MS  # a try waits so long for an answer
    again_ns: int = 40 * MS  # an ask that is not answered is sent again after so long
    flight_ns: int = 200 * MS  # from a decision until its attempt has left, at most
    gap_ns: int = 300 * MS  # a process that looks about less often was asleep, and earns nothing for the rest
    beat_ns: int = 100 * MS  # how often it looks about
    ahead_ns: int = 300 * MS  # what recent use needs for so long is borrowed ahead of need
    quiet_ns: int = 200 * MS  # who left an ask unanswered is not asked for so long; doubled each time
    quiet_most_ns: int = 3 * SECOND
    holders: int = 4  # of a wide set, at least so many hold a part
    paused: int = 1  # so many gateways may be stopped between a decision and its sending, at once
    opening: float = 1.0  # part of the burst that a start finds in store, at most
    witnesses: int = 2  # zones that have to agree before a server is left for what was only told
    least_good: float = 0.5  # of the ready servers, that words alone never rule out
    told_ns: int = 4 * SECOND  # a judgement that was told ends so long after it was made
    most_out: float = 40.0  # units out for each ready server, by all gateways together
    endured: tuple[str, ...] = FAILURES[:-1]  # the failures whose bound has to be under most_overshoot
    most_overshoot: float = 0.05  # of what a quota gives in any minute

    def __post_init__(self) -> None:
        require_above_zero(
            self,
            "life_ns",
            "held_ns",
            "again_ns",
            "flight_ns",
            "gap_ns",
            "beat_ns",
            "ahead_ns",
            "quiet_ns",
            "quiet_most_ns",
            "holders",
            "witnesses",
            "told_ns",
        )
        if self.life_ns < 2 * self.held_ns:
            raise ValueError("life_ns: must be at least twice held_ns: a loan would end before it is used")
        if self.gap_ns < 2 * self.beat_ns:
            raise ValueError("gap_ns: must be at least twice beat_ns: one late beat would count as sleep")
        if self.paused < 0:
            raise ValueError("paused: must not be negative")
        if not 0 <= self.opening <= 1:
            raise ValueError("opening: a part from 0 to 1")
        if not 0 < self.least_good <= 1:
            raise ValueError("least_good: a part above 0, at most 1")
        if not self.most_out > 0:
            raise ValueError("most_out: must be above 0")
        require_share(self, "most_overshoot")
        require_known(self.endured, FAILURES)
