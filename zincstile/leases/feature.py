"""Shared state within stated bounds (`features.shared`): the leases, suspicions and budgets join a policy.

Quotas by leases (`leased_units`), endpoints that other gateways suspect (`suspected_endpoints`), and a
stated limit for what all gateways have in flight (`in_flight_limit`), in place of the gossip's parts, its
sum of samples and the limit's free rise. All else is as ever: budget, draws, choice of endpoint, attempts.
The gossip goes on beside it, for ceilings and limits on attempts in flight.
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

# Between two reports of suspicions and budgets to some peers.
REPORT_INTERVAL_NS: Final = 500 * MILLISECOND_NS
# An incarnation counts these since the machine's start; its 32 bits last for 497 days.
INCARNATION_UNIT_NS: Final = 10 * MILLISECOND_NS
INCARNATIONS: Final = 2**32


class LeasesFeature:
    """Connects the owners of leases, suspicions and budgets to a policy, and has them tick and report."""

    def __init__(self, settings: Settings, seed: int, lease_settings: LeaseSettings) -> None:
        """Takes the seed of all random draws, and times and sizes."""
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
        """Holds quotas, suspects endpoints and limits what is in flight from now on."""
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
        """Opens the accounts, and numbers this process by its start."""
        self.units.start(now)
        # a machine's clock goes on over its processes' starts
        self.budget.incarnation = now // INCARNATION_UNIT_NS % INCARNATIONS

    def started(self, now: int) -> None:
        """The first heartbeat."""
        self._heartbeat(now)

    def state_inherited(self, now: int) -> None:
        """Nothing is inherited: leases belong to a process."""

    def state_values(self) -> dict[str, float]:
        """The accounts of units, the budget's factor, gateways alive, suspected endpoints, isolation.

        Stored results have these keys.
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
        """Messages of a peer, which may let requests go that wait for units."""
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
        """Sends suspicions and budgets to some peers."""
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
