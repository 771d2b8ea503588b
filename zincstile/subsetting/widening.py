"""How far one slice is widened while its endpoints are in trouble: bounded, and back with hysteresis."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from .settings import SECOND

RELAPSE_NS: Final = 60 * SECOND  # trouble again within so long after a slice shrank: it waits twice as long
MOST_DOUBLED: Final = 16


class Health(IntEnum):
    """Of one endpoint, by what the decision module knows of it."""

    GOOD = 0
    UNEASY = 1  # better than when it was left, not yet good
    BAD = 2


@dataclass(slots=True)
class Widening:
    """Of one slice."""

    wait_ns: int
    extra: int = 0  # endpoints besides the usual ones
    beyond: bool = False  # the widest slice is not enough: zones further away have to help
    well_ns: int = -1  # since when all the usual endpoints are good
    shrunk_ns: int = -1

    @property
    def active(self) -> bool:
        return self.extra > 0 or self.beyond

    def look(self, now: int, usual: list[Health], more: list[Health], need: int, bound: int) -> bool:
        """`usual` and `more`: the endpoints of the slice now. At least `need` have to be usable, `bound` may
        be added at most. True where the slice changes."""
        before = self.extra, self.beyond
        self.extra = min(self.extra, bound)
        bad = sum(h is Health.BAD for h in (*usual, *more))
        if len(usual) + len(more) - bad < need:
            self.well_ns = -1
            self._widen(now, bad, bound, full=len(more) >= bound)
        elif not all(h is Health.GOOD for h in usual):
            self.well_ns = -1
        elif self.active:
            self._shrink(now)
        return (self.extra, self.beyond) != before

    def _widen(self, now: int, bad: int, bound: int, full: bool) -> None:
        if not self.active and self.shrunk_ns >= 0 and now - self.shrunk_ns < RELAPSE_NS:
            self.wait_ns *= 2
        self.extra = max(self.extra, min(bound, bad))
        self.beyond = self.beyond or full

    def _shrink(self, now: int) -> None:
        if self.well_ns < 0:
            self.well_ns = now
        if now - self.well_ns >= self.wait_ns:
            self.extra, self.beyond, self.well_ns, self.shrunk_ns = 0, False, -1, now

    def forgotten(self, now: int) -> bool:
        """Nothing of it is needed any more."""
        return not self.active and (self.shrunk_ns < 0 or now - self.shrunk_ns >= RELAPSE_NS)
