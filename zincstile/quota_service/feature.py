"""Enforces quotas through a quota service (`features.keeper`) instead of by gossip.

A request whose units are not available waits for a lease, at most some tens of milliseconds, if a call to the
service is in flight. Otherwise it counts as over quota at this gateway. Gossip continues, as ceilings and
limits on attempts in flight depend on it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from ..decisions.deferred_admission import DeferredQuotas, Reservation
from ..decisions.messages import LogMessage
from ..decisions.policy import Policy
from ..decisions.quota_bounds import Quota
from ..decisions.records import Customer, PendingRequest
from ..decisions.settings import CustomerPlan, Settings
from ..decisions.timers import QUOTA_SERVICE_TOKEN
from ..decisions.units import SECOND_NS
from .account import Account
from .accounts import Accounts
from .events import CallQuotaService, PeerHeartbeatReceived, QuotaServiceAnswered, SendPeerHeartbeat
from .failure_detector import FailureDetector, ServiceState
from .settings import COUNTER_LIFETIME_MS, QuotaServiceSettings

# How long a request waits for a lease. It covers one call to the service, which times out after 50 ms by
# default, and the processing before and after it.
LEASE_WAIT_NS: Final = SECOND_NS // 12

OnAnswer = Callable[[int, float | None], None]  # time on the common clock, total


class QuotaServiceFeature:
    """Owns the customers' accounts and the failure detector of the quota service.

    Both are created by `started`, and use the gateways' common clock.
    """

    detector: FailureDetector
    accounts: Accounts

    def __init__(
        self, settings: Settings, service_settings: QuotaServiceSettings, clock_offset_ns: int
    ) -> None:
        """Stores the settings; `clock_offset_ns` is the common clock minus the policy's clock."""
        self.settings = settings
        self.service_settings = service_settings
        self.clock_offset_ns = clock_offset_ns
        self.calls: dict[int, OnAnswer] = {}  # calls in flight, by call id
        self.logged_state: ServiceState | None = None
        self._last_call_id = 0

    # ---- the feature

    def attach(self, policy: Policy) -> None:
        """Replaces the policy's quotas, and registers the timer and the event handlers."""
        self.parts = policy.parts
        self.deferred = DeferredQuotas(
            self.parts, self, LEASE_WAIT_NS, reports_usage=True, limits_in_flight=True
        )
        self.parts.use_quotas(self.deferred)
        policy.timers[QUOTA_SERVICE_TOKEN] = self._heartbeat
        policy.handlers[QuotaServiceAnswered] = self.on_answer
        policy.handlers[PeerHeartbeatReceived] = self.on_peer_heartbeat

    def before_start(self, now: int) -> None:
        """Does nothing: no call is made before the start."""

    def state_inherited(self, now: int) -> None:
        """Does nothing: leases belong to a process and are not inherited."""

    def started(self, now: int) -> None:
        """Creates the failure detector and the accounts, and sends the first heartbeat."""
        self.detector = FailureDetector(
            self.service_settings, self.settings.gateway_index, self._common_ns(now)
        )
        self.accounts = Accounts(self.service_settings, self.detector)
        self._heartbeat(now)

    def state_values(self) -> dict[str, float]:
        """Returns no figures besides those of the policy."""
        return {}

    # ---- the quota service

    def on_answer(self, now: int, event: QuotaServiceAnswered) -> None:
        """Handles the answer to a call, and retries the requests that wait for units."""
        on_answer = self.calls.pop(event.call_id, None)
        if on_answer is None:
            return
        on_answer(self._common_ns(now), event.total)
        self.deferred.retry_waiting(now, list(self.deferred.waiting))
        self.flush(now)
        if self.detector.state is not self.logged_state:
            self.logged_state = self.detector.state
            self.parts.actions.append(LogMessage(self.detector.log_line(self._common_ns(now))))
            self._report_to_peers(now)  # without waiting for the next heartbeat, as trust may have ended

    def on_peer_heartbeat(self, now: int, event: PeerHeartbeatReceived) -> None:
        """Handles a peer's report about its quota service."""
        if 0 <= event.heartbeat.sender < self.settings.gateway_count:
            self.detector.peers.receive(self._common_ns(now), event.heartbeat)

    def _common_ns(self, now: int) -> int:
        return now + self.clock_offset_ns

    def _heartbeat(self, now: int) -> None:
        heartbeat = self.detector.heartbeat_call(self._common_ns(now))

        def on_answer(answered_ns: int, total: float | None) -> None:
            self.detector.heartbeat_answered(answered_ns, heartbeat.counter_number, total)

        self._call(heartbeat.name, 1.0, COUNTER_LIFETIME_MS, on_answer)
        self._report_to_peers(now)
        self.parts.actions.set_timer(now + self.service_settings.heartbeat_interval_ns, QUOTA_SERVICE_TOKEN)

    def _report_to_peers(self, now: int) -> None:
        heartbeat = self.detector.peer_heartbeat(self._common_ns(now))
        peers = (
            gateway
            for gateway in range(self.settings.gateway_count)
            if gateway != self.settings.gateway_index
        )
        self.parts.actions += [SendPeerHeartbeat(peer, heartbeat) for peer in peers]

    def _call(self, name: str, amount: float, ttl_ms: int, on_answer: OnAnswer) -> None:
        self._last_call_id += 1
        self.calls[self._last_call_id] = on_answer
        self.parts.actions.append(CallQuotaService(self._last_call_id, name, amount, ttl_ms))

    # ---- the units of quotas

    def reserve(self, now: int, pending: PendingRequest, *, waited: bool) -> Reservation:
        """Reserves the units of a request from the customer's account."""
        account = self._account(now, pending)
        common_ns = self._common_ns(now)
        if self.accounts.reserve(common_ns, account, pending.request.units, waited=waited):
            return Reservation.RESERVED
        waits = self.accounts.awaits_answer(account)
        return Reservation.PENDING if waits else Reservation.REFUSED

    def release(self, now: int, customer: Customer, units: float) -> None:
        """Puts units back into the customer's account; a negative number takes more out."""
        account = self.accounts.accounts.get(customer.key)
        if account is not None:
            self.accounts.release(account, units)

    def flush(self, now: int) -> None:
        """Makes the calls that the accounts have queued."""
        for call in self.accounts.calls():
            self._call(call.name, call.amount, call.ttl_ms, call.on_answer)

    def decided(self, pending: PendingRequest) -> None:
        """Does nothing: no state is kept per request."""

    def request_closed(self, pending: PendingRequest) -> None:
        """Does nothing: no state is kept per request."""

    def customers_forgotten(self, keys: list[int]) -> None:
        """Drops the accounts of these customers."""
        for key in keys:
            self.accounts.accounts.pop(key, None)

    def ceiling_part(self, now: int, customer: Customer, plan: CustomerPlan) -> float:
        """Returns the same part as with quotas by gossip."""
        return self.parts.ledger.ceiling_part(now, customer, plan)

    def _account(self, now: int, pending: PendingRequest) -> Account:
        customer = pending.customer
        plan = self.settings.plans[customer.plan]
        gateways = self.settings.gateway_count
        first = pending.request.first_gateway
        members = [(first + offset) % gateways for offset in range(customer.gateway_set_size)]
        quota = Quota(
            plan.name, plan.rate, plan.burst, customer.gateway_set_size, self.settings.max_request_units
        )
        return self.accounts.account(customer.key, quota, members, self._common_ns(now))
