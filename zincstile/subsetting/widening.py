"""Widens a slice while its endpoints are unhealthy, within a bound, and shrinks it with hysteresis."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from .settings import SECOND_NS

# If a slice is widened again within this time after it shrank, its recovery time is doubled.
RELAPSE_NS: Final = 60 * SECOND_NS
MAX_RECOVERY_FACTOR: Final = 16  # four doublings: 80 s with the default settings


class Health(IntEnum):
    """The health of one endpoint, from the scores of the policy."""

    HEALTHY = 0
    RECOVERING = 1  # no longer unhealthy, but not healthy yet
    UNHEALTHY = 2


@dataclass(slots=True)
class Widening:
    """How far one slice is widened, and since when its regular endpoints are healthy."""

    recovery_ns: int  # time for which the regular endpoints must be healthy before the slice shrinks
    extra_count: int = 0  # number of endpoints added to the regular ones
    needs_further_zones: bool = False  # even the widest slice has too few usable endpoints
    healthy_since_ns: int | None = None
    shrunk_at_ns: int | None = None

    @property
    def active(self) -> bool:
        """Whether the slice is widened."""
        return self.extra_count > 0 or self.needs_further_zones

    def review(
        self, now: int, regular: list[Health], extra: list[Health], *, required: int, max_extra: int
    ) -> bool:
        """Widens or shrinks the slice by the health of its endpoints; returns whether it changes.

        At least `required` endpoints must be usable; at most `max_extra` may be added.
        """
        before = self.extra_count, self.needs_further_zones
        self.extra_count = min(self.extra_count, max_extra)
        unhealthy = sum(health is Health.UNHEALTHY for health in (*regular, *extra))
        if len(regular) + len(extra) - unhealthy < required:
            self.healthy_since_ns = None
            self._widen(now, unhealthy, max_extra, at_limit=len(extra) >= max_extra)
        elif not all(health is Health.HEALTHY for health in regular):
            self.healthy_since_ns = None
        elif self.active:
            self._shrink_if_recovered(now)
        return (self.extra_count, self.needs_further_zones) != before

    def is_obsolete(self, now: int) -> bool:
        """Returns whether this object may be dropped: no widening now, and no recent one."""
        return not self.active and not self._relapses(now)

    def _relapses(self, now: int) -> bool:
        """Returns whether a widening now would be a relapse."""
        return self.shrunk_at_ns is not None and now - self.shrunk_at_ns < RELAPSE_NS

    def _widen(self, now: int, unhealthy: int, max_extra: int, *, at_limit: bool) -> None:
        if not self.active and self._relapses(now):
            self.recovery_ns *= 2
        self.extra_count = max(self.extra_count, min(max_extra, unhealthy))
        self.needs_further_zones = self.needs_further_zones or at_limit

    def _shrink_if_recovered(self, now: int) -> None:
        if self.healthy_since_ns is None:
            self.healthy_since_ns = now
        if now - self.healthy_since_ns >= self.recovery_ns:
            self.extra_count = 0
            self.needs_further_zones = False
            self.healthy_since_ns = None
            self.shrunk_at_ns = now
