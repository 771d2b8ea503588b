"""A zone's state, with hysteresis: out at once where its connections fail, back only after it was reached
for a while, and each time later where it goes and comes.

| state | from | to |
| --- | --- | --- |
| well | | short, draining, lost |
| short | it bears less than it is asked for | well, draining, lost |
| draining | an operator's word | returning, once that is taken back |
| lost | its servers can't be reached for `lost` | returning, after `back` (doubled for each loss of late) |
| returning | a part that doubles each `ramp`, from a tenth | well, lost, draining |
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from .settings import SECOND, PlaceSettings

FIRST, DOUBLINGS = 0.1, 4
CALM_NS = 60 * SECOND  # without a loss: the next one is a first one again


class State(IntEnum):
    """How a zone stands. The numbers travel between gateways."""

    WELL = 0
    SHORT = 1
    DRAINING = 2
    LOST = 3
    RETURNING = 4


@dataclass(slots=True)
class Zone:
    """As whoever proposes keeps it."""

    settings: PlaceSettings
    state: State = State.WELL
    changes: int = 0
    losses: int = 0
    since_ns: int = 0  # of the state
    against_ns: int = -1  # since when what is seen speaks against the state
    lost_ns: int = -1

    def look(
        self, now: int, reached: bool | None, short: bool, eased: bool, draining: bool, held: bool = False
    ) -> State:
        """What is seen by now; `reached` is None where nobody says anything of it. Held: it stays."""
        if held:
            self.against_ns = -1
        elif draining:
            if self.state is not State.DRAINING:
                self._to(now, State.DRAINING)
        elif self.state is State.DRAINING:
            self._to(now, State.RETURNING)
        elif self.state is State.LOST:
            wait = self.settings.back_ns << min(max(0, self.losses - 1), DOUBLINGS)
            if self._lasts(now, reached, wait):
                self._to(now, State.RETURNING)
        elif self._lasts(now, None if reached is None else not reached, self.settings.lost_ns):
            self.losses = self.losses + 1 if self.lost_ns >= 0 and now - self.lost_ns < CALM_NS else 1
            self.lost_ns = now
            self._to(now, State.LOST)
        elif self.state is State.RETURNING:
            if self.part(now) >= 1:
                self._to(now, State.WELL)
        elif self.state is State.WELL and short and reached is not False:
            self._to(now, State.SHORT)
        elif self.state is State.SHORT and eased and now - self.since_ns >= self.settings.back_ns:
            self._to(now, State.WELL)
        return self.state

    def _lasts(self, now: int, so: bool | None, wait: int) -> bool:
        if so is None:  # nobody says anything: neither for nor against
            return False
        if not so:
            self.against_ns = -1
            return False
        if self.against_ns < 0:
            self.against_ns = now
        return now - self.against_ns >= wait

    def _to(self, now: int, state: State) -> None:
        self.state, self.since_ns, self.against_ns = state, now, -1
        self.changes += 1

    def part(self, now: int) -> float:
        """Of what it bears, that may be used."""
        if self.state in (State.LOST, State.DRAINING):
            return 0.0
        if self.state is not State.RETURNING:
            return 1.0
        return min(1.0, FIRST * 2 ** ((now - self.since_ns) / self.settings.ramp_ns))
