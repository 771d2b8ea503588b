"""The state of one zone, with hysteresis.

A zone is left at once where its connections fail. It returns only after it was reached for a while, and later
each time if it keeps failing.

| state | from | to |
| --- | --- | --- |
| well | | short, draining, lost |
| short | its capacity is below its demand | well, draining, lost |
| draining | an operator drains it | returning, once the operator takes that back |
| lost | its endpoints can't be reached for `lost` | returning, after `back` (doubled by each recent loss) |
| returning | its used ratio doubles each `ramp`, from a tenth | well, lost, draining |
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from .settings import SECOND, ZoneFailoverSettings

FIRST_RATIO: Final = 0.1  # of its capacity that a returning zone gets at first: enough to see it fail again
MAX_DOUBLINGS: Final = 4  # of the time before a return: 32 s by the usual settings
FORGET_LOSS_NS: Final = 60 * SECOND  # a zone without a loss for this long begins anew with the shortest time


class ZoneState(IntEnum):
    """State of a zone. The numbers travel between gateways."""

    WELL = 0
    SHORT = 1
    DRAINING = 2
    LOST = 3
    RETURNING = 4


UNUSABLE: Final = (ZoneState.LOST, ZoneState.DRAINING)  # states in which a zone gets no traffic


@dataclass(slots=True)
class ZoneTracker:
    """The state of one zone, as the gateway that proposes routing tables follows it."""

    settings: ZoneFailoverSettings
    state: ZoneState = ZoneState.WELL
    changes: int = 0  # of the state
    losses: int = 0  # in a row, each within FORGET_LOSS_NS of the one before
    since_ns: int = 0  # when the zone entered the state
    contradicted_ns: int = -1  # since when observations contradict the state; -1: they don't
    lost_ns: int = -1  # when the zone was lost last

    def update(
        self,
        now: int,
        *,
        reached: bool | None,
        short: bool,
        relieved: bool,
        draining: bool,
        frozen: bool = False,
    ) -> ZoneState:
        """Returns the state that follows from what is observed by now.

        `reached` is None where no gateway tried the zone; `short` and `relieved` compare capacity and demand.
        `draining` and `frozen` are an operator's overrides; a frozen zone keeps its state.
        """
        if frozen:
            self.contradicted_ns = -1
        elif draining:
            if self.state is not ZoneState.DRAINING:
                self._enter(now, ZoneState.DRAINING)
        elif self.state is ZoneState.DRAINING:
            self._enter(now, ZoneState.RETURNING)
        elif self.state is ZoneState.LOST:
            if self._contradicted_for(now, reached, self._return_delay_ns()):
                self._enter(now, ZoneState.RETURNING)
        elif self._contradicted_for(now, None if reached is None else not reached, self.settings.lost_ns):
            self._lose(now)
        else:
            self._update_in_service(now, reached, short, relieved)
        return self.state

    def _update_in_service(self, now: int, reached: bool | None, short: bool, relieved: bool) -> None:
        if self.state is ZoneState.RETURNING:
            if self.usable_ratio(now) >= 1:
                self._enter(now, ZoneState.WELL)
        elif self.state is ZoneState.WELL:
            if short and reached is not False:
                self._enter(now, ZoneState.SHORT)
        elif relieved and now - self.since_ns >= self.settings.back_ns:
            self._enter(now, ZoneState.WELL)

    def usable_ratio(self, now: int) -> float:
        """Returns the ratio of the zone's capacity that may be used, from 0 to 1."""
        if self.state in UNUSABLE:
            return 0.0
        if self.state is not ZoneState.RETURNING:
            return 1.0
        return min(1.0, FIRST_RATIO * 2 ** ((now - self.since_ns) / self.settings.ramp_ns))

    def adopt(self, now: int, state: ZoneState) -> None:
        """Takes over the state that the leader published, so that the next leader goes on from it."""
        self.state = state
        self.since_ns = now
        self.contradicted_ns = -1
        if state is ZoneState.LOST:
            self.losses += 1
            self.lost_ns = now

    def _return_delay_ns(self) -> int:
        return self.settings.back_ns << min(max(0, self.losses - 1), MAX_DOUBLINGS)

    def _contradicted_for(self, now: int, contradicts: bool | None, span_ns: int) -> bool:
        """Whether observations have contradicted the state for so long; None: there is no observation."""
        if contradicts is None:
            return False
        if not contradicts:
            self.contradicted_ns = -1
            return False
        if self.contradicted_ns < 0:
            self.contradicted_ns = now
        return now - self.contradicted_ns >= span_ns

    def _lose(self, now: int) -> None:
        again = self.lost_ns >= 0 and now - self.lost_ns < FORGET_LOSS_NS
        self.losses = self.losses + 1 if again else 1
        self.lost_ns = now
        self._enter(now, ZoneState.LOST)

    def _enter(self, now: int, state: ZoneState) -> None:
        self.state = state
        self.since_ns = now
        self.contradicted_ns = -1
        self.changes += 1
