"""Applies the admission ramp after a start (`features.start`) before the policy chooses an endpoint.

The ramp ends when there is a concurrency limit, or when `AdmissionRamp.is_over`.
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
    """Policy feature with the admission ramp, which it drops when admission is open."""

    def __init__(self, settings: Settings, seed: int, start_settings: ColdStartSettings) -> None:
        """`seed` is that of all random draws."""
        rng = random.Random(f"opening {seed}")
        self.ramp: AdmissionRamp | None = AdmissionRamp(
            start_settings, settings.gateway_count, settings.max_request_units, rng
        )

    # ---- the feature

    def attach(self, policy: Policy) -> None:
        """Installs the ramp before each choice of an endpoint."""
        self.parts = policy.parts
        self._choose_endpoint: EndpointChooser = self.parts.admission.choose
        self.parts.admission.choose = self.choose
        self.parts.outcomes.listeners.append(self.on_outcome)
        policy.ticker.limit_listeners.append(self.on_limit_updated)
        policy.handlers[FleetIsServing] = self.on_fleet_is_serving

    @property
    def is_open(self) -> bool:
        """Whether admission is open, that is, the ramp is over."""
        return self.ramp is None

    def before_start(self, now: int) -> None:
        """Starts the ramp."""
        if self.ramp is not None:
            self.ramp.start(now)

    def started(self, now: int) -> None:
        """The feature has no timer."""

    def state_inherited(self, now: int) -> None:
        """Raises the pace to the rate of the previous process, which the backends can serve."""
        if self.ramp is not None:
            self.ramp.inherit(self.parts.limit.completed_per_s)

    def state_values(self) -> dict[str, float]:
        """Returns `pace`: the units a second that may be sent, or -1 if admission is open.

        Stored results contain this key.
        """
        healthy = self.parts.capacity.healthy_endpoints
        return {"pace": -1.0 if self.ramp is None else round(self.ramp.pace(healthy), 2)}

    def choose(self, now: int, pending: PendingRequest) -> Endpoint | None:
        """Chooses the endpoint of the next attempt; returns None if the ramp rejects the attempt.

        The ramp applies to retries too, as the retry budgets of all gateways are full after a start.
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
        """Raises the pace for an answer in time; a warming endpoint is slower without being overloaded."""
        if self.ramp is not None and outcome.result is AttemptResult.OK:
            latency_ns = outcome.latency_ns * self.parts.capacity.warmth(now, attempt.endpoint)
            self.ramp.record_answer(attempt.units, in_time=latency_ns <= attempt.overload_ns)

    def on_limit_updated(self, now: int) -> None:
        """Ends the ramp if there is a concurrency limit or the ramp is over."""
        ramp = self.ramp
        if ramp is None:
            return
        limit_known = self.parts.limit.limit < math.inf
        if limit_known or ramp.is_over(now):
            self._open_admission(now, ramp, "concurrency limit found" if limit_known else "end of the ramp")

    def on_fleet_is_serving(self, now: int, _: FleetIsServing) -> None:
        """Ends the ramp, as the other gateways serve with open admission."""
        if self.ramp is not None:
            self._open_admission(now, self.ramp, "the fleet is serving")

    def _open_admission(self, now: int, ramp: AdmissionRamp, reason: str) -> None:
        after_ms = (now - self.parts.ledger.started_ns) // NS_PER_MS
        text = (
            f"start admission is open after {after_ms} ms: {reason}; "
            f"{ramp.rejected_attempts} attempts were rejected"
        )
        self.parts.actions.append(LogMessage(text))
        self.ramp = None
