"""The feature `start`: a pace of admission after a start, before the policy's own choice of an endpoint.

The ramp ends when the budget has a bound of its own, or by itself.
"""

from __future__ import annotations

import math
import random

from ..decisions.endpoints import Endpoint
from ..decisions.load_balancing import EndpointChooser
from ..decisions.messages import AttemptOutcome, AttemptResult, LogMessage
from ..decisions.policy import Policy
from ..decisions.records import Attempt, PendingRequest
from ..decisions.settings import Settings
from .admission_ramp import AdmissionRamp
from .events import FleetServes
from .settings import ColdStartSettings


class AdmissionRampFeature:
    """Owner of the pace of a start; there is none any more once admission is open."""

    def __init__(self, settings: Settings, seed: int, start_settings: ColdStartSettings) -> None:
        """Takes the settings; it joins a policy by `attach`."""
        rng = random.Random(f"opening {seed}")
        self.ramp: AdmissionRamp | None = AdmissionRamp(
            start_settings, settings.gateway_count, settings.max_request_units, rng
        )

    def attach(self, policy: Policy) -> None:
        """Asks the pace before each attempt of the policy."""
        self.parts = policy.parts
        self._choose: EndpointChooser = self.parts.admission.choose
        self.parts.admission.choose = self.choose
        self.parts.outcomes.listeners.append(self.on_outcome)
        policy.ticker.limited.append(self.on_limit_updated)
        policy.handlers[FleetServes] = self.on_fleet_serves

    @property
    def is_open(self) -> bool:
        """Admission is open: there is no pace any more."""
        return self.ramp is None

    def before_start(self, now: int) -> None:
        """The ramp begins."""
        if self.ramp is not None:
            self.ramp.begin(now)

    def started(self, now: int) -> None:
        """Nothing goes by a timer of its own."""

    def state_inherited(self, now: int) -> None:
        """The old process of this gateway knew what the back end bears."""
        if self.ramp is not None:
            self.ramp.inherit(self.parts.limit.completed_per_s)

    def figures(self) -> dict[str, float]:
        """`pace`: units a second that may be sent; -1: admission is open."""
        healthy = self.parts.capacity.healthy
        return {"pace": -1.0 if self.ramp is None else round(self.ramp.pace(healthy), 2)}

    def choose(self, now: int, pending: PendingRequest) -> Endpoint | None:
        """Retries go by the pace too: at a start the budget for them is full everywhere."""
        ramp = self.ramp
        if ramp is None:
            return self._choose(now, pending)
        if not ramp.admits(now, self.parts.capacity.healthy):
            return None
        endpoint = self._choose(now, pending)
        if endpoint is not None:
            ramp.sent(pending.request.units)
        return endpoint

    def on_outcome(self, now: int, outcome: AttemptOutcome, attempt: Attempt) -> None:
        """What was answered in time raises the pace; a warming endpoint takes longer without being
        overloaded."""
        if self.ramp is not None and outcome.result is AttemptResult.OK:
            latency_ns = outcome.latency_ns * self.parts.capacity.warmth(now, attempt.endpoint)
            self.ramp.answered(attempt.units, in_time=latency_ns <= attempt.overload_ns)

    def on_limit_updated(self, now: int) -> None:
        """The ramp ends where the budget has a bound of its own, or nothing was rejected for a while."""
        if self.ramp is None:
            return
        limited = self.parts.limit.limit < math.inf
        if limited or self.ramp.is_over(now):
            self._open(now, "by the budget's own bound" if limited else "by what was seen")

    def on_fleet_serves(self, now: int, _: FleetServes) -> None:
        """The fleet serves with open admission: so does this gateway."""
        if self.ramp is not None:
            self._open(now, "as the fleet's is")

    def _open(self, now: int, why: str) -> None:
        after_ms = (now - self.parts.ledger.started_ns) // 1_000_000
        rejected = self.ramp.rejected
        text = f"start admission is open after {after_ms} ms, {why}; {rejected} tries turned away by the pace"
        self.parts.actions.append(LogMessage(text))
        self.ramp = None
