"""The decision module with an opening: any of the modules, with the pace of a start before its own choice.

All else is the module's. The opening ends when the budget has a bound of its own, or by itself.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from ..decisions.messages import AttemptOutcome, AttemptResult, LogMessage, Started, StateInherited
from ..decisions.policy import Policy
from ..decisions.settings import Settings
from ..decisions.state import Attempt, Live, Server
from .admission_ramp import AdmissionRamp
from .settings import ColdStartSettings


@dataclass(slots=True)
class Running:
    """An event: the fleet serves with open admission, this gateway starts into it."""


class OpeningPolicy(Policy):
    """The decision module with the pace of a start. `opening` puts it before the module that it slows."""

    start_settings: ColdStartSettings

    def __init__(self, settings: Settings, seed: int, *more: object) -> None:
        super().__init__(settings, seed, *more)
        self.opening: AdmissionRamp | None = AdmissionRamp(
            self.start_settings, settings.gateways, settings.largest_units, random.Random(f"opening {seed}")
        )

    def on_started(self, now: int, event: Started) -> None:
        self.opening.begin(now)
        super().on_started(now, event)

    def on_state_inherited(self, now: int, event: StateInherited) -> None:
        super().on_state_inherited(now, event)
        if self.opening is not None:  # the old process of this gateway knew what the back end bears
            self.opening.inherit(self.done_rate)

    def _choose(self, now: int, live: Live) -> Server | None:
        """Further attempts go by the pace too: at a start the credit for them is full everywhere."""
        paced = self.opening
        if paced is None:
            return super()._choose(now, live)
        if not paced.admits(now, self.good):
            return None
        server = super()._choose(now, live)
        if server is not None:
            paced.sent(live.ask.units)
        return server

    def _learn(self, now: int, e: AttemptOutcome, attempt: Attempt) -> None:
        super()._learn(now, e, attempt)
        if self.opening is not None and e.result is AttemptResult.OK:
            # a cold server takes the longer without being pressed
            took_ns = e.latency_ns * self._warmth(now, attempt.server)
            self.opening.answered(attempt.units, in_time=took_ns <= attempt.bound_ns)

    def _follow(self, now: int, span: float, ticks: float) -> None:
        super()._follow(now, span, ticks)
        if self.opening is not None and (self.level < math.inf or self.opening.is_over(now)):
            self._open(now, "by what was seen" if self.level == math.inf else "by the budget's own bound")

    def on_running(self, now: int, _: Running) -> None:
        if self.opening is not None:
            self._open(now, "as the fleet's is")

    def _open(self, now: int, why: str) -> None:
        after, refused = (now - self.start_ns) // 1_000_000, self.opening.rejected
        self.acts.append(
            LogMessage(
                f"start admission is open after {after} ms, {why}; {refused} tries turned away by the pace"
            )
        )
        self.opening = None

    def sight(self) -> dict[str, float]:
        pace = -1.0 if self.opening is None else round(self.opening.pace(self.good), 2)
        return super().sight() | {"pace": pace}


def opening(base: type[Policy], start: ColdStartSettings) -> type[Policy]:
    """`base` that opens by `start`."""
    return type("OpenedPolicy", (OpeningPolicy, base), {"start_settings": start})
