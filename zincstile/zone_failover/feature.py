"""Routing by zones (`features.place`): before each choice of an endpoint, the zone it is chosen from.

The agreed routing table says which part of this gateway's traffic goes to which zone; each first attempt
draws its zone by that, and the policy chooses among that zone's endpoints as ever. A zone that fails here is
left at once, whatever the table says. Without a table, and for what a zone here can't take, a gateway
sends other zones at most its even part of `spill`: the sum over all gateways stays under that whatever each
believes, so that a part of the fleet that receives nothing can't overload a zone.
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

PROBE_INTERVAL_RATIO: Final = 0.5  # of `back`: a zone that is left is probed at least once within that time
ANY_ZONE: Final = -1  # in place of a zone index
UNNAMED_ZONE: Final = "?"  # the one more zone: of endpoints whose zone the settings don't name


@dataclass(slots=True)
class AttemptCounts:
    """Attempts since the start, by where they went."""

    local: int = 0  # to this gateway's own zone
    remote: int = 0  # to another
    spilled: int = 0  # those of `remote` that no routing table sent there
    unroutable: int = 0  # to none: the table leaves this part of the traffic without a zone


class ZoneRoutingFeature:
    """Owner of the choice of zones, and of this gateway's part in the agreement (`agreement`)."""

    def __init__(
        self, settings: Settings, seed: int, zone_settings: ZoneFailoverSettings, zones: list[str]
    ) -> None:
        """Takes the seed of all random draws, and the names of the zones in the settings' order.

        Endpoints of a zone that is not among them are of one more, `UNNAMED_ZONE`.
        """
        self.settings = settings
        self.zone_settings = zone_settings
        self.zone_names = [*zones, UNNAMED_ZONE]
        self.zone_count = len(self.zone_names)
        self.distance = zone_settings.distance_matrix(self.zone_names)  # between zones, by index
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
        self.probe_due_ns = [0] * self.zone_count  # for a zone that is left
        self.excluded_zones: list[bool] = []  # that a retry may not go to, while it is chosen; empty: none
        self.target_zone = ANY_ZONE  # of the attempt that is chosen just now
        self.attempt_counts = AttemptCounts()

    # ---- the feature

    def attach(self, policy: Policy) -> None:
        """Chooses the zone before each choice of an endpoint."""
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
        """The agreement begins."""
        self.agreement.start(now)

    def started(self, now: int) -> None:
        """The first heartbeat, at a random moment: else all gateways send in step."""
        first_ns = now + self.rng.randrange(self.zone_settings.heartbeat_interval_ns)
        self.parts.actions.set_timer(first_ns, ZONE_HEARTBEAT_TOKEN)

    def state_inherited(self, now: int) -> None:
        """Nothing is inherited: the table comes from the peers."""

    def state_values(self) -> dict[str, float]:
        """Attempts by where they went, tables seen so far, and the leader term of the last.

        Stored results have these keys.
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
        """The routing table and what is seen of each zone, for operators."""
        return describe_zones(now, self.zone_names, self.agreement, self.health)

    # ---- the agreement

    def on_message_received(self, now: int, event: ZoneMessageReceived) -> None:
        """A message of a peer."""
        self.agreement.receive(now, event.sender, event.message)
        self._send_messages()

    def on_zone_overridden(self, _: int, event: ZoneOverridden) -> None:
        """An operator drains a zone, freezes its state, or ends both."""
        self.agreement.override(event.zone, drained=event.drained, frozen=event.frozen)

    def _heartbeat(self, now: int) -> None:
        self.parts.actions.set_timer(now + self.zone_settings.heartbeat_interval_ns, ZONE_HEARTBEAT_TOKEN)
        budget_per_s = self.capacity.budget_per_s()
        observations = [self._observation(zone, budget_per_s) for zone in range(self.zone_count)]
        self.agreement.observe(now, self.parts.budget.arrivals, observations)
        self._send_messages()

    def _observation(self, zone: int, budget_per_s: float) -> ZoneObservation:
        """What is reported of a zone; its capacity is the budget's part by healthy endpoints."""
        all_healthy = self.parts.capacity.healthy_endpoints
        healthy = self.health.healthy[zone]
        part = healthy / all_healthy if all_healthy else 0.0
        capacity_per_s = budget_per_s * part if budget_per_s < math.inf else math.inf
        failed_ratio = self.health.connections[zone].failed_ratio
        return ZoneObservation(self.health.ready[zone], healthy, failed_ratio, capacity_per_s)

    def _send_messages(self) -> None:
        messages = self.agreement.take_messages()
        if self.settings.gossips:
            self.parts.actions += [SendZoneMessage(peer, message) for peer, message in messages]

    # ---- weights

    def on_classified(self, now: int) -> None:
        """Counts the endpoints of each zone, and raises the first rates of those that are warming up.

        A warming endpoint gets its part from the gateways alone that send to its zone, so each of these
        compares it with the endpoints of the zones that it sends to.
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
        """The part of this gateway's traffic for each zone; 0 for one that fails here."""
        is_failing = self.health.is_failing
        table = self.agreement.table(now)
        if table is not None:
            weights = [weight / WEIGHT_TOTAL for weight in table.weights[self.own_zone]]
            return [0.0 if is_failing(zone) else weight for zone, weight in enumerate(weights)]
        own_usable = self.health.ready[self.own_zone] > 0 and not is_failing(self.own_zone)
        return [float(own_usable) if zone == self.own_zone else 0.0 for zone in range(self.zone_count)]

    def _draw_zone(self, now: int) -> int:
        """A zone by the weights; `ANY_ZONE` where they leave a part of the traffic without a zone."""
        draw = self.rng.random()
        for zone, weight in enumerate(self._weights(now)):
            draw -= weight
            if draw < 0:
                return zone
        return ANY_ZONE

    # ---- the choice

    def accepts(self, endpoint: Endpoint) -> bool:
        """The endpoint is of a zone that the attempt may go to."""
        zone = self.health.zone_of(endpoint)
        if self.target_zone not in (ANY_ZONE, zone):
            return False
        return not (self.excluded_zones and self.excluded_zones[zone])

    def choose(self, now: int, pending: PendingRequest) -> Endpoint | None:
        """The endpoint of the next attempt, in the zone that the weights draw."""
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
        """The endpoint of a retry: the scope in which its repeats are dropped says where it may go."""
        table = self.agreement.table(now)
        if idempotent and table is not None:
            self.excluded_zones = [state in UNUSABLE_STATES for state in table.states]
        try:
            return self._choose_endpoint(now, pending)
        finally:
            self.excluded_zones = []

    def _choose_probe(self, now: int, pending: PendingRequest) -> Endpoint | None:
        """An endpoint of a zone that is left and due for a probe.

        Now and then such a zone gets one request that may be repeated elsewhere: else nobody would ever know
        that it is back. The times are random, so that the probes of a fleet are apart.
        """
        for zone in range(self.zone_count):
            if now < self.probe_due_ns[zone] or not self.health.ready[zone] or not self._is_left(now, zone):
                continue
            wait_ns = self.zone_settings.recovery_ns * PROBE_INTERVAL_RATIO * (0.5 + self.rng.random())
            self.probe_due_ns[zone] = now + int(wait_ns)
            endpoint = self._choose_within(now, pending, zone)
            if endpoint is not None:
                self._count_attempt(zone)
                return endpoint
        return None

    def _is_left(self, now: int, zone: int) -> bool:
        """Nothing is sent to the zone, because it is lost or fails here."""
        table = self.agreement.table(now)
        if table is not None:
            state = table.states[zone]
            own_unused = zone == self.own_zone and not table.weights[zone][zone]
            if state == ZoneState.LOST or (state != ZoneState.DRAINING and own_unused):
                return True
        return self.health.is_failing(zone)

    def _choose_within(self, now: int, pending: PendingRequest, zone: int) -> Endpoint | None:
        self.target_zone = zone
        try:
            return self._choose_endpoint(now, pending)
        finally:
            self.target_zone = ANY_ZONE

    def _choose_spilled(self, now: int, pending: PendingRequest, tried_zone: int) -> Endpoint | None:
        """An endpoint of the nearest zone that has something left of what it may be sent without a table.

        Where the table leaves a part of the traffic without a zone, that part is rejected.
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
            if zone != self.own_zone and not self._take_spill(now, zone, pending.request.units):
                continue
            endpoint = self._choose_within(now, pending, zone)
            if endpoint is not None:
                self.attempt_counts.spilled += zone != self.own_zone
                self._count_attempt(zone)
                return endpoint
        return None

    def _by_distance(self) -> list[int]:
        """All zones, the nearest first; those at the same distance in random order."""
        distance = self.distance[self.own_zone]
        return sorted(range(self.zone_count), key=lambda zone: (distance[zone], self.rng.random()))

    def _take_spill(self, now: int, zone: int, units: float) -> bool:
        """Takes the units from this gateway's even part of what the zone may be sent without a table."""
        fleet_rate = self.zone_settings.max_spill_ratio * self.capacity.capacity_per_s(zone)
        return self.spill_budgets[zone].take(now, fleet_rate / self.settings.gateway_count, units)

    def _count_attempt(self, zone: int) -> None:
        if zone == self.own_zone:
            self.attempt_counts.local += 1
        else:
            self.attempt_counts.remote += 1
