"""The admission ramp after a start (`features.start`), before the policy's choice of an endpoint.

The ramp ends when a concurrency limit is known, or by itself.
"""

from __future__ import annotations

import math
import random
from typing import Final

from ..decisions.endpoints import Endpoint
from ..decisions.load_balancing import EndpointChooser
from ..decisions.messages import AttemptOutcome, AttemptResult, LogMessage
from ..decisions.policy import Policy
from ..decisions.records import Attempt, PendingRequest
from ..decisions.settings import Settings
from .admission_ramp import AdmissionRamp
from .events import FleetIsServing
from .settings import ColdStartSettings

NS_PER_MS: Final = 1_000_000


class AdmissionRampFeature:
    """Owner of the ramp of a start; there is none any more once admission is open."""

    def __init__(self, settings: Settings, seed: int, start_settings: ColdStartSettings) -> None:
        """Takes the seed of all random draws."""
        rng = random.Random(f"opening {seed}")
        self.ramp: AdmissionRamp | None = AdmissionRamp(
            start_settings, settings.gateway_count, settings.max_request_units, rng
        )

    # ---- the feature

    def attach(self, policy: Policy) -> None:
        """Stands before the choice of an endpoint for each attempt."""
        self.parts = policy.parts
        self._choose_endpoint: EndpointChooser = self.parts.admission.choose
        self.parts.admission.choose = self.choose
        self.parts.outcomes.listeners.append(self.on_outcome)
        policy.ticker.limit_listeners.append(self.on_limit_updated)
        policy.handlers[FleetIsServing] = self.on_fleet_is_serving

    @property
    def is_open(self) -> bool:
        """Admission is open: there is no ramp any more."""
        return self.ramp is None

    def before_start(self, now: int) -> None:
        """The ramp begins."""
        if self.ramp is not None:
            self.ramp.start(now)

    def started(self, now: int) -> None:
        """Nothing goes by a timer of its own."""

    def state_inherited(self, now: int) -> None:
        """The old process of this gateway knew what the backends can take."""
        if self.ramp is not None:
            self.ramp.inherit(self.parts.limit.completed_per_s)

    def state_values(self) -> dict[str, float]:
        """`pace`: units a second that may be sent; -1: admission is open.

        Stored results have this key.
        """
        healthy = self.parts.capacity.healthy_endpoints
        return {"pace": -1.0 if self.ramp is None else round(self.ramp.pace(healthy), 2)}

    def choose(self, now: int, pending: PendingRequest) -> Endpoint | None:
        """The endpoint of the next attempt; None where the ramp rejects it.

        The ramp rejects retries too: at a start the budget for them is full everywhere.
        """
        ramp = self.ramp
        if ramp is None:
            return self._choose_endpoint(now, pending)
        if not ramp.admits(now, self.parts.capacity.healthy_endpoints):
            return None
        endpoint = self._choose_endpoint(now, pending)
        if endpoint is not None:
            ramp.record_sent(pending.request.units)
        return endpoint

    def on_outcome(self, now: int, outcome: AttemptOutcome, attempt: Attempt) -> None:
        """An answer in time raises the pace; a warming endpoint takes longer without being overloaded."""
        if self.ramp is not None and outcome.result is AttemptResult.OK:
            latency_ns = outcome.latency_ns * self.parts.capacity.warmth(now, attempt.endpoint)
            self.ramp.record_answer(attempt.units, in_time=latency_ns <= attempt.overload_ns)

    def on_limit_updated(self, now: int) -> None:
        """The ramp ends once there is a concurrency limit, or nothing was rejected for a while."""
        ramp = self.ramp
        if ramp is None:
            return
        limited = self.parts.limit.limit < math.inf
        if limited or ramp.is_over(now):
            self._open_admission(now, ramp, "by the budget's own bound" if limited else "by what was seen")

    def on_fleet_is_serving(self, now: int, _: FleetIsServing) -> None:
        """The other gateways serve with open admission: so does this one."""
        if self.ramp is not None:
            self._open_admission(now, self.ramp, "as the fleet's is")

    def _open_admission(self, now: int, ramp: AdmissionRamp, reason: str) -> None:
        after_ms = (now - self.parts.ledger.started_ns) // NS_PER_MS
        text = (
            f"start admission is open after {after_ms} ms, {reason}; "
            f"{ramp.rejected_attempts} attempts rejected by it"
        )
        self.parts.actions.append(LogMessage(text))
        self.ramp = None
