"""Routing by zones (`features.place`): chooses the zone of an attempt before the policy chooses an endpoint.

The agreed routing table contains the share of this gateway's traffic for each zone. The zone of each first
attempt is drawn by these shares, and the policy chooses among the endpoints of that zone as usual. A zone
that fails from this gateway's view gets no more traffic at once, regardless of the table. Without a table,
and for requests that no endpoint of the drawn zone can take, a gateway sends other zones at most an even
share of `max_spill_ratio`. The sum over all gateways is thus bounded whatever their views are, so that
gateways that are cut off from the others can't overload a zone.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from typing import Final

from ..decisions.endpoints import Endpoint
from ..decisions.load_balancing import EndpointChooser
from ..decisions.policy import Policy
from ..decisions.records import PendingRequest
from ..decisions.settings import Idempotency, Settings
from ..decisions.timers import ZONE_HEARTBEAT_TOKEN
from .agreement import Agreement
from .events import SendZoneMessage, ZoneMessageReceived, ZoneOverridden
from .messages import ZoneObservation
from .routing_weights import WEIGHT_TOTAL
from .settings import ZoneFailoverSettings
from .zone_capacity import SpillBudget, ZoneCapacity
from .zone_description import describe_zones
from .zone_health import ZoneHealth
from .zone_states import UNUSABLE_STATES, ZoneState

# Mean time between two probes of an unused zone, as a ratio of `recovery_ns`.
PROBE_INTERVAL_RATIO: Final = 0.5
ANY_ZONE: Final = -1  # used in place of a zone index
UNNAMED_ZONE: Final = "?"  # stands for all zones of endpoints that the settings don't name


@dataclass(slots=True)
class AttemptCounts:
    """Numbers of attempts since the start, by destination."""

    local: int = 0  # to this gateway's own zone
    remote: int = 0  # to another zone
    spilled: int = 0  # of the remote ones, those that were not sent by a routing table
    unroutable: int = 0  # rejected, as the routing table has no zone for this share of the traffic


class ZoneRoutingFeature:
    """Policy feature that chooses zones and takes part in the agreement on zones (`agreement`)."""

    def __init__(
        self, settings: Settings, seed: int, zone_settings: ZoneFailoverSettings, zones: list[str]
    ) -> None:
        """`zones` are the names of the zones in the settings' order; `seed` is that of all random draws.

        Endpoints of other zones are assigned to an additional zone, `UNNAMED_ZONE`.
        """
        self.settings = settings
        self.zone_settings = zone_settings
        self.zone_names = [*zones, UNNAMED_ZONE]
        self.zone_count = len(self.zone_names)
        self.distance = zone_settings.distance_matrix(self.zone_names)  # between zones, by zone index
        self.rng = random.Random(f"place {seed}")
        self.own_zone = min(settings.zone, self.zone_count - 1)
        self.agreement = Agreement(
            zone_settings,
            settings.gateway_index,
            settings.gateway_count,
            self.own_zone,
            self.distance,
            self.rng.getrandbits(32),
            self.rng,
        )
        self.spill_budgets = [SpillBudget() for _ in self.zone_names]
        self.probe_due_ns = [0] * self.zone_count  # by zone index; only for unused zones
        self.excluded_zones: list[bool] = []  # by zone index, during the choice of a retry; empty: none
        self.target_zone = ANY_ZONE  # zone of the attempt during the choice of its endpoint
        self.attempt_counts = AttemptCounts()

    # ---- the feature

    def attach(self, policy: Policy) -> None:
        """Installs the choice of a zone before each choice of an endpoint."""
        self.parts = policy.parts
        self.health = ZoneHealth(policy.parts, self.zone_count)
        self.capacity = ZoneCapacity(policy.parts, self.health)
        self._choose_endpoint: EndpointChooser = self.parts.admission.choose
        self.parts.admission.choose = self.choose
        self.parts.balancer.is_eligible = self.accepts
        self.parts.capacity.on_classified = self.on_classified
        self.parts.outcomes.listeners.append(self.health.on_outcome)
        policy.ticker.decay_listeners.append(self.health.on_decayed)
        policy.timers[ZONE_HEARTBEAT_TOKEN] = self._heartbeat
        policy.handlers[ZoneMessageReceived] = self.on_message_received
        policy.handlers[ZoneOverridden] = self.on_zone_overridden

    def before_start(self, now: int) -> None:
        """Starts to take part in the agreement."""
        self.agreement.start(now)

    def started(self, now: int) -> None:
        """Schedules the first heartbeat at a random time, so that gateways do not send in step."""
        first_ns = now + self.rng.randrange(self.zone_settings.heartbeat_interval_ns)
        self.parts.actions.set_timer(first_ns, ZONE_HEARTBEAT_TOKEN)

    def state_inherited(self, now: int) -> None:
        """Nothing is inherited, as the table comes from peers."""

    def state_values(self) -> dict[str, float]:
        """Returns attempts by destination, the number of table changes, and the last table's leader term.

        Stored results contain these keys.
        """
        terms = self.agreement.terms
        term = terms.table.generation.term if terms is not None and terms.table is not None else 0
        return {
            "near": self.attempt_counts.local,
            "far": self.attempt_counts.remote,
            "spilled": self.attempt_counts.spilled,
            "nowhere": self.attempt_counts.unroutable,
            "tables": self.agreement.table_changes,
            "term": term,
        }

    def describe(self, now: int) -> str:
        """Returns the description of the routing table and of each zone, for operators."""
        return describe_zones(now, self.zone_names, self.agreement, self.health)

    # ---- the agreement

    def on_message_received(self, now: int, event: ZoneMessageReceived) -> None:
        """Handles a message of a peer."""
        self.agreement.receive(now, event.sender, event.message)
        self._send_messages()

    def on_zone_overridden(self, _: int, event: ZoneOverridden) -> None:
        """Applies an operator's override of a zone."""
        self.agreement.override(event.zone, drained=event.drained, frozen=event.frozen)

    def _heartbeat(self, now: int) -> None:
        self.parts.actions.set_timer(now + self.zone_settings.heartbeat_interval_ns, ZONE_HEARTBEAT_TOKEN)
        budget_per_s = self.capacity.budget_per_s()
        observations = [self._observation(zone, budget_per_s) for zone in range(self.zone_count)]
        self.agreement.observe(now, self.parts.budget.arrivals, observations)
        self._send_messages()

    def _observation(self, zone: int, budget_per_s: float) -> ZoneObservation:
        """Returns the observation of a zone; its capacity is a share of the budget by healthy endpoints."""
        all_healthy = self.parts.capacity.healthy_endpoints
        healthy = self.health.healthy[zone]
        share = healthy / all_healthy if all_healthy else 0.0
        capacity_per_s = budget_per_s * share if budget_per_s < math.inf else math.inf
        failed_ratio = self.health.connections[zone].failed_ratio
        return ZoneObservation(self.health.ready[zone], healthy, failed_ratio, capacity_per_s)

    def _send_messages(self) -> None:
        messages = self.agreement.take_messages()
        if self.settings.gossips:
            self.parts.actions += [SendZoneMessage(peer, message) for peer, message in messages]

    # ---- weights

    def on_classified(self, now: int) -> None:
        """Counts the endpoints of each zone, and raises the initial traffic shares of warming endpoints.

        A warming endpoint gets traffic only from gateways that send to its zone. So its share is relative to
        the endpoints in the zones that this gateway sends to, instead of all endpoints.
        """
        self.health.count_endpoints(now)
        healthy = self.health.healthy
        weights = self._weights(now)
        used_zones = (zone for zone in range(self.zone_count) if zone != self.own_zone and weights[zone] > 0)
        total = sum(healthy)
        used = healthy[self.own_zone] + sum(healthy[zone] for zone in used_zones)
        if self.parts.endpoints.warming and 0 < used < total:
            slow_start = self.parts.slow_start
            slow_start.cumulative_shares = [
                min(1.0, share * total / used) for share in slow_start.cumulative_shares
            ]

    def _weights(self, now: int) -> list[float]:
        """Returns the share of this gateway's traffic for each zone; 0 for a zone that fails in its view."""
        is_failing = self.health.is_failing
        table = self.agreement.table(now)
        if table is not None:
            weights = [weight / WEIGHT_TOTAL for weight in table.weights[self.own_zone]]
            return [0.0 if is_failing(zone) else weight for zone, weight in enumerate(weights)]
        own_usable = self.health.ready[self.own_zone] > 0 and not is_failing(self.own_zone)
        return [float(own_usable) if zone == self.own_zone else 0.0 for zone in range(self.zone_count)]

    def _draw_zone(self, now: int) -> int:
        """Draws a zone by the weights; `ANY_ZONE` for the share of the traffic that has no zone."""
        draw = self.rng.random()
        for zone, weight in enumerate(self._weights(now)):
            draw -= weight
            if draw < 0:
                return zone
        return ANY_ZONE

    # ---- the choice

    def accepts(self, endpoint: Endpoint) -> bool:
        """Returns whether the endpoint is in a zone that the attempt may go to."""
        zone = self.health.zone_of(endpoint)
        if self.target_zone not in (ANY_ZONE, zone):
            return False
        return not (self.excluded_zones and self.excluded_zones[zone])

    def choose(self, now: int, pending: PendingRequest) -> Endpoint | None:
        """Chooses the endpoint of the next attempt, in a zone that is drawn by the weights."""
        idempotent = pending.request_class.idempotency is Idempotency.ALWAYS
        if pending.may_have_run_at is not None and pending.attempted_endpoints:
            return self._choose_retry(now, pending, idempotent=idempotent)
        if idempotent and not pending.attempted_endpoints:
            endpoint = self._choose_probe(now, pending)
            if endpoint is not None:
                return endpoint
        zone = self._draw_zone(now)
        endpoint = self._choose_within(now, pending, zone) if zone != ANY_ZONE else None
        if endpoint is not None:
            self._count_attempt(zone)
            return endpoint
        return self._choose_spilled(now, pending, zone)

    def _choose_retry(self, now: int, pending: PendingRequest, *, idempotent: bool) -> Endpoint | None:
        """Chooses the endpoint of a retry, within the deduplication scope of its class."""
        table = self.agreement.table(now)
        if idempotent and table is not None:
            self.excluded_zones = [state in UNUSABLE_STATES for state in table.states]
        try:
            return self._choose_endpoint(now, pending)
        finally:
            self.excluded_zones = []

    def _choose_probe(self, now: int, pending: PendingRequest) -> Endpoint | None:
        """Chooses an endpoint of an unused zone that is due for a probe, if there is one.

        Without probes no gateway would notice that the zone is back. Only requests that may be repeated
        elsewhere are used. The times are random, so that the gateways of a fleet do not probe in step.
        """
        for zone in range(self.zone_count):
            if now < self.probe_due_ns[zone] or not self.health.ready[zone] or not self._is_unused(now, zone):
                continue
            wait_ns = self.zone_settings.recovery_ns * PROBE_INTERVAL_RATIO * (0.5 + self.rng.random())
            self.probe_due_ns[zone] = now + int(wait_ns)
            endpoint = self._choose_within(now, pending, zone)
            if endpoint is not None:
                self._count_attempt(zone)
                return endpoint
        return None

    def _is_unused(self, now: int, zone: int) -> bool:
        """Returns whether the zone gets no traffic because it is lost or fails from this gateway's view."""
        table = self.agreement.table(now)
        if table is not None:
            state = table.states[zone]
            own_zone_unused = zone == self.own_zone and not table.weights[zone][zone]
            if state == ZoneState.LOST or (state != ZoneState.DRAINING and own_zone_unused):
                return True
        return self.health.is_failing(zone)

    def _choose_within(self, now: int, pending: PendingRequest, zone: int) -> Endpoint | None:
        self.target_zone = zone
        try:
            return self._choose_endpoint(now, pending)
        finally:
            self.target_zone = ANY_ZONE

    def _choose_spilled(self, now: int, pending: PendingRequest, tried_zone: int) -> Endpoint | None:
        """Chooses an endpoint in the nearest zone with spill budget left.

        Returns None for the share of the traffic that the table leaves without a zone: it is rejected.
        """
        table = self.agreement.table(now)
        failing = [zone for zone in range(self.zone_count) if self.health.is_failing(zone)]
        if table is not None and tried_zone == ANY_ZONE and not failing:
            self.attempt_counts.unroutable += 1
            return None
        for zone in self._by_distance():
            if zone == tried_zone or zone in failing or not self.health.ready[zone]:
                continue
            if table is not None and table.states[zone] in UNUSABLE_STATES:
                continue
            if zone != self.own_zone and not self._spend_spill_budget(now, zone, pending.request.units):
                continue
            endpoint = self._choose_within(now, pending, zone)
            if endpoint is not None:
                self.attempt_counts.spilled += zone != self.own_zone
                self._count_attempt(zone)
                return endpoint
        return None

    def _by_distance(self) -> list[int]:
        """Returns all zones, the nearest first; zones at the same distance are in random order."""
        distance = self.distance[self.own_zone]
        return sorted(range(self.zone_count), key=lambda zone: (distance[zone], self.rng.random()))

    def _spend_spill_budget(self, now: int, zone: int, units: float) -> bool:
        """Takes the units from this gateway's even share of the zone's spill; returns whether it could."""
        fleet_rate = self.zone_settings.max_spill_ratio * self.capacity.capacity_per_s(zone)
        return self.spill_budgets[zone].try_spend(now, fleet_rate / self.settings.gateway_count, units)

    def _count_attempt(self, zone: int) -> None:
        if zone == self.own_zone:
            self.attempt_counts.local += 1
        else:
            self.attempt_counts.remote += 1
