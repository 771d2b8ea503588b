"""Connects leases, suspicions and the concurrency budget to a policy (`features.shared`).

It replaces three parts of the policy: quotas are enforced by leases (`leased_units`) instead of by gossip,
other gateways' errors count as suspicions (`suspected_endpoints`) instead of as summed samples, and all
gateways together have a limit on the units in flight (`in_flight_limit`). The rest of the policy is
unchanged. Gossip continues, for ceilings and limits on attempts in flight.
"""

from __future__ import annotations

import random
from typing import Final

from ..decisions.deferred_admission import DeferredQuotas
from ..decisions.policy import Policy
from ..decisions.settings import Settings
from ..decisions.timers import LEASE_HEARTBEAT_TOKEN, LEASE_RESEND_TOKEN
from .codec import SharedMessage
from .concurrency_budget import ConcurrencyBudget
from .events import SendSharedMessages, SharedMessagesReceived
from .failure_detector import FailureDetector
from .in_flight_limit import InFlightLimit
from .leased_units import LeasedUnits
from .message_receiver import MessageReceiver
from .settings import MILLISECOND_NS, LeaseSettings
from .suspected_endpoints import SuspectedEndpoints

# Minimum time between two reports of suspicions and budgets to peers.
REPORT_INTERVAL_NS: Final = 500 * MILLISECOND_NS
# An incarnation is the time since the machine's start in this unit; its 32 bits last for 497 days.
INCARNATION_UNIT_NS: Final = 10 * MILLISECOND_NS
INCARNATIONS: Final = 2**32


class LeasesFeature:
    """Connects leases, suspicions and the budget to a policy, and runs their timers and reports."""

    def __init__(self, settings: Settings, seed: int, lease_settings: LeaseSettings) -> None:
        """Creates all parts of the feature; `seed` is the seed of their random numbers."""
        self.settings = settings
        self.lease_settings = lease_settings
        self.rng = random.Random(f"shared {seed}")
        self.process = self.rng.getrandbits(32)
        self.failure_detector = FailureDetector(lease_settings, settings.gateway_index, settings.zone)
        self.budget = ConcurrencyBudget(
            settings.gateway_index, settings.gateway_count, 0, lease_settings.units_per_endpoint
        )
        self.units = LeasedUnits(settings, lease_settings, self.process, self.rng)
        self.suspected_endpoints = SuspectedEndpoints(self.failure_detector)
        self.in_flight = InFlightLimit(self.budget)
        self.receiver = MessageReceiver(settings, self.units, self.failure_detector, self.budget)
        self._reported_ns = 0

    # ---- the feature

    def attach(self, policy: Policy) -> None:
        """Replaces the policy's quotas, outlier reports and in-flight limit, and registers handlers."""
        self.parts = policy.parts
        self.deferred = DeferredQuotas(
            self.parts,
            self.units,
            self.lease_settings.answer_timeout_ns,
            reports_usage=False,
            limits_in_flight=False,
        )
        self.parts.use_quotas(self.deferred)
        self.units.attach(self.parts)
        self.suspected_endpoints.attach(self.parts)
        self.in_flight.attach(policy)
        policy.timers[LEASE_HEARTBEAT_TOKEN] = self._heartbeat
        policy.timers[LEASE_RESEND_TOKEN] = self._resend
        policy.handlers[SharedMessagesReceived] = self.on_messages_received

    def before_start(self, now: int) -> None:
        """Starts the accounts, and sets the incarnation from the start time of this process."""
        self.units.start(now)
        # The machine's monotonic clock goes on across restarts of a process, so incarnations grow.
        self.budget.incarnation = now // INCARNATION_UNIT_NS % INCARNATIONS

    def started(self, now: int) -> None:
        """Runs the first heartbeat."""
        self._heartbeat(now)

    def state_inherited(self, now: int) -> None:
        """Does nothing: leases belong to a process and are not inherited."""

    def state_values(self) -> dict[str, float]:
        """Returns figures about accounts, budget, live gateways, suspected endpoints and isolation.

        Their keys are part of stored results.
        """
        ticked_ns = self.parts.gossip.last_tick_ns
        accounts = self.units.leases.snapshot(ticked_ns) if self.units.started else {}
        return accounts | {
            "factor": round(self.budget.factor, 2),
            "alive": self.budget.live_gateways(ticked_ns),
            "accused": len(self.suspected_endpoints.scores),
            "trouble": int(self.failure_detector.isolated),
        }

    # ---- time and messages

    def on_messages_received(self, now: int, event: SharedMessagesReceived) -> None:
        """Handles messages from a peer, and retries requests for which units or slots have arrived."""
        if not self.receiver.is_from_peer(event):
            return
        customers = self.receiver.receive(now, event)
        waiting = self.deferred.waiting
        self.deferred.retry_waiting(now, [customer for customer in customers if customer in waiting])
        self.units.flush(now)

    def _heartbeat(self, now: int) -> None:
        self.units.tick(now)
        self.parts.capacity.fleet_gateways = self.settings.gateway_count / self.budget.tick(now)
        self.suspected_endpoints.tick(now)
        self.units.drop_idle_accounts(now)
        if now - self._reported_ns >= REPORT_INTERVAL_NS:
            self._reported_ns = now + self.rng.randrange(self.lease_settings.tick_interval_ns)
            self._send_reports(now)
        self.units.flush(now)
        self.parts.actions.set_timer(now + self.lease_settings.tick_interval_ns, LEASE_HEARTBEAT_TOKEN)

    def _send_reports(self, now: int) -> None:
        """Sends suspicions and concurrency reports to randomly chosen peers."""
        wanted_per_s = self.parts.budget.arrivals
        units_in_flight = self.in_flight.units_in_flight
        messages: list[SharedMessage] = [
            *self.failure_detector.suspicions_to_send(now),
            *self.budget.reports_to_send(now, units_in_flight, wanted_per_s, self.rng),
        ]
        for peer in self.budget.draw_recipients(self.rng) if self.settings.gossips else ():
            self.parts.actions.append(SendSharedMessages(peer, self.process, messages))

    def _resend(self, now: int) -> None:
        self.deferred.retry_waiting(now, self.units.on_resend_due(now))
