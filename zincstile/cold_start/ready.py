"""When a gateway says yes to `PING`, and with what right. No I/O, no clock.

| list | when |
| --- | --- |
| discovery's own word | at once |
| a peer's, of one list that `agree` peers tell of | at once |
| one peer's alone | `lone` after the start |
| the one known before the start, which a peer's newest equals | at once |
| the one known before the start | `known` after the start |
| none | never: a gateway without servers could only deny |

So with a dead list service a gateway that knows a list is ready `known` after its start at the latest;
one that knows none is ready once a peer that has one was reached, `lone` after its start at the soonest
where only one tells.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .settings import StartSettings


class Right(Enum):
    """By what list a gateway serves."""

    NONE = "no list"
    KNOWN = "known before"
    LONE = "one peer's list"
    AGREED = "a list that peers agree on"
    TOLD = "told by discovery"


ORDER = list(Right)


@dataclass(slots=True)
class Readiness:
    """Of one start."""

    settings: StartSettings
    began_ns: int
    right: Right = Right.NONE
    confirmed: bool = False  # peers' newest list is the one that is known here

    def has(self, right: Right, confirmed: bool = False) -> None:
        """A list has come; a lesser right takes nothing away."""
        self.confirmed = self.confirmed or confirmed
        if ORDER.index(right) > ORDER.index(self.right):
            self.right = right

    def at_ns(self) -> int | None:
        """From when on it is ready by what it has; None: by nothing that it has."""
        if self.right is Right.NONE:
            return None
        if self.right in (Right.TOLD, Right.AGREED) or self.confirmed:
            return self.began_ns
        return self.began_ns + (self.settings.lone_ns if self.right is Right.LONE else self.settings.known_ns)

    def ready(self, now: int) -> bool:
        """This gateway may be told to be ready."""
        at = self.at_ns()
        return at is not None and now >= at
