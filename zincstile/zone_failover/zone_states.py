"""The state of one zone, with hysteresis.

A zone gets no more traffic soon after connections to it fail. It returns only when it has been reachable for
some time, which is longer after repeated losses.

| state | entered when | next states |
| --- | --- | --- |
| well | | short, draining, lost |
| short | its capacity is below its demand | well, draining, lost |
| draining | an operator drains it | returning, when the operator ends that |
| lost | it can't be reached for `loss_detection_ns` | returning, after `recovery_ns` or a multiple |
| returning | it comes back; its used ratio doubles in each `ramp_doubling_ns` | well, lost, draining |
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from .settings import SECOND, ZoneFailoverSettings

# Ratio of its capacity that a returning zone gets at first, which is enough to detect another failure.
INITIAL_RATIO: Final = 0.1
# Limits the doublings of `recovery_ns`: 32 s with the default settings.
MAX_DOUBLINGS: Final = 4
# A loss that is this long ago does not extend the time before a return any more.
LOSS_MEMORY_NS: Final = 60 * SECOND


class ZoneState(IntEnum):
    """State of a zone. Gateways send each other the numbers."""

    WELL = 0
    SHORT = 1
    DRAINING = 2
    LOST = 3
    RETURNING = 4


UNUSABLE_STATES: Final = (ZoneState.LOST, ZoneState.DRAINING)  # states in which a zone gets no traffic


@dataclass(slots=True)
class ZoneTracker:
    """The state of one zone, updated by the gateway that proposes routing tables."""

    settings: ZoneFailoverSettings
    state: ZoneState = ZoneState.WELL
    state_changes: int = 0  # number of state changes
    recent_losses: int = 0  # in a row, each within LOSS_MEMORY_NS of the one before
    entered_ns: int = 0  # when the zone entered the state
    contradicted_since_ns: int = -1  # since when observations contradict the state; -1 if they don't
    last_lost_ns: int = -1  # when the zone was last lost

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
        """Updates the state by the current observations, and returns it.

        `reached` is None if no gateway tried to reach the zone. `short`: the demand exceeds the capacity;
        `relieved`: the capacity exceeds the demand by a margin. `draining` and `frozen` are an operator's
        overrides; a frozen zone keeps its state.
        """
        if frozen:
            self.contradicted_since_ns = -1
        elif draining:
            if self.state is not ZoneState.DRAINING:
                self._enter(now, ZoneState.DRAINING)
        elif self.state is ZoneState.DRAINING:
            self._enter(now, ZoneState.RETURNING)
        elif self.state is ZoneState.LOST:
            if self._contradicted_for(now, reached, self._return_delay_ns()):
                self._enter(now, ZoneState.RETURNING)
        elif self._contradicted_for(
            now, None if reached is None else not reached, self.settings.loss_detection_ns
        ):
            self._mark_lost(now)
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
        elif relieved and now - self.entered_ns >= self.settings.recovery_ns:
            self._enter(now, ZoneState.WELL)

    def usable_ratio(self, now: int) -> float:
        """Returns the ratio of the zone's capacity that may be used, from 0 to 1."""
        if self.state in UNUSABLE_STATES:
            return 0.0
        if self.state is not ZoneState.RETURNING:
            return 1.0
        return min(1.0, INITIAL_RATIO * 2 ** ((now - self.entered_ns) / self.settings.ramp_doubling_ns))

    def adopt(self, now: int, state: ZoneState) -> None:
        """Takes over the state that the leader published, so that the next leader continues from it."""
        self.state = state
        self.entered_ns = now
        self.contradicted_since_ns = -1
        if state is ZoneState.LOST:
            self.recent_losses += 1
            self.last_lost_ns = now

    def _return_delay_ns(self) -> int:
        return self.settings.recovery_ns << min(max(0, self.recent_losses - 1), MAX_DOUBLINGS)

    def _contradicted_for(self, now: int, contradicts: bool | None, span_ns: int) -> bool:
        """Returns whether observations have contradicted the state for `span_ns`.

        `contradicts` is None if there is no observation.
        """
        if contradicts is None:
            return False
        if not contradicts:
            self.contradicted_since_ns = -1
            return False
        if self.contradicted_since_ns < 0:
            self.contradicted_since_ns = now
        return now - self.contradicted_since_ns >= span_ns

    def _mark_lost(self, now: int) -> None:
        recent = self.last_lost_ns >= 0 and now - self.last_lost_ns < LOSS_MEMORY_NS
        self.recent_losses = self.recent_losses + 1 if recent else 1
        self.last_lost_ns = now
        self._enter(now, ZoneState.LOST)

    def _enter(self, now: int, state: ZoneState) -> None:
        self.state = state
        self.entered_ns = now
        self.contradicted_since_ns = -1
        self.state_changes += 1
