"""The feature `place`: routing weights of zones, before the policy's own choice of an endpoint.

The agreed table says which part of this gateway's traffic goes to which zone; each first attempt draws its
zone by that, and the policy chooses among that zone's endpoints as ever. A zone whose connections fail here
is left at once, whatever the table says. Without a table, and for what a zone here can't take, a gateway
sends other zones at most its even part of `spill`: the sum over all gateways stays under that whatever each
believes, so that a part of the fleet that hears nothing can't overload a zone.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from typing import Final

from ..decisions.endpoints import Endpoint
from ..decisions.load_balancing import EndpointChooser
from ..decisions.messages import AttemptOutcome, AttemptResult
from ..decisions.outlier_detection import OUTLIER_SCORE, SCORE_DECAY_S
from ..decisions.policy import Policy
from ..decisions.records import Attempt, PendingRequest
from ..decisions.settings import Idempotency, Settings
from ..decisions.timers import ZONE_HEARTBEAT_TOKEN
from .agreement import Agreement
from .events import SendZoneMessage, ZoneMessageReceived, ZoneOverridden
from .messages import ZoneObservation
from .routing_weights import WEIGHT_TOTAL
from .settings import SECOND, ZoneFailoverSettings
from .zone_states import ZoneState
from .zone_view import FAILED_RATIO

CONNECTION_MEMORY_S: Final = 3.0  # a connection that failed, or came up, counts for so long
LEAST_TRIES: Final = 2.5  # one failure alone says nothing of a zone
ANY_TRIES: Final = 0.3  # a connection that came up does
PROBE_PART: Final = 0.5  # of `back`, in which each gateway tries a zone that is left, once
SLOW_RATIO: Final = 1.5  # latency ratio of an endpoint, from which it counts the less the slower it is
ANY_ZONE: Final = -1
ANSWERED: Final = (
    AttemptResult.OK,
    AttemptResult.ERROR,
    AttemptResult.REJECTED,
    AttemptResult.MALFORMED,
)


@dataclass(slots=True)
class Tries:
    """Of one zone: connections that failed, and others, fading."""

    failed: float = 0.0
    all: float = 0.0

    def add(self, failed: bool) -> None:
        """A try that came up says more of now than those that failed before it."""
        self.failed, self.all = self.failed + 1 if failed else self.failed / 2, self.all + 1

    @property
    def dead(self) -> float:
        """The share of connections that failed; -1 where too few were tried."""
        return self.failed / max(LEAST_TRIES, self.all) if self.all >= ANY_TRIES else -1.0


@dataclass(slots=True)
class Spill:
    """Units that may be sent to another zone without a table, as a store."""

    level: float = 0.0
    at_ns: int = 0

    def take(self, now: int, rate: float, units: float) -> bool:
        """Takes the units, if the store holds them after filling at this rate."""
        if rate == math.inf:
            return True
        self.level = min(max(units, rate), self.level + rate * (now - self.at_ns) / SECOND)
        self.at_ns = now
        if self.level < units:
            return False
        self.level -= units
        return True


@dataclass(slots=True)
class Counts:
    """Attempts by where they went."""

    near: int = 0
    far: int = 0
    spilled: int = 0
    nowhere: int = 0


class ZoneRoutingFeature:
    """Owner of what this gateway sees of each zone, and of its part in the agreement (`agreement`).

    `zones`: their names in the settings' order. An endpoint whose zone is in none of them is of one more.
    """

    def __init__(self, settings: Settings, seed: int, place: ZoneFailoverSettings, zones: list[str]) -> None:
        """Takes the settings; it joins a policy by `attach`."""
        self.settings = settings
        self.place = place
        self.zone_names = [*zones, "?"]
        self.zone_count = len(self.zone_names)
        self.distance = place.matrix(self.zone_names)  # between zones, by number
        self.rng = random.Random(f"place {seed}")
        self.home = min(settings.zone, self.zone_count - 1)
        self.agreement = Agreement(
            place,
            settings.gateway_index,
            settings.gateway_count,
            self.home,
            self.distance,
            self.rng.getrandbits(32),
            self.rng,
        )
        self.tries = [Tries() for _ in self.zone_names]
        self.spills = [Spill() for _ in self.zone_names]
        self.good_in = [0.0] * self.zone_count  # healthy endpoints, in warm ones
        self.warm_in = [0.0] * self.zone_count
        self.ready_in = [0] * self.zone_count
        self.try_ns = [0] * self.zone_count  # when a zone that is left is tried again
        self.barred: list[bool] = []  # zones that a retry may not go to; empty: none
        self.target = ANY_ZONE  # zone of the attempt that is chosen just now
        self.counted = Counts()

    # ---- the feature

    def attach(self, policy: Policy) -> None:
        """Chooses the zone before each choice of an endpoint."""
        self.parts = policy.parts
        self._choose: EndpointChooser = self.parts.admission.choose
        self.parts.admission.choose = self.choose
        self.parts.balancer.accepts = self.accepts
        self.parts.capacity.classified = self.on_classified
        self.parts.outcomes.listeners.append(self.on_outcome)
        policy.ticker.decayed.append(self.on_decayed)
        policy.timers[ZONE_HEARTBEAT_TOKEN] = self._heartbeat
        policy.handlers[ZoneMessageReceived] = self.on_message_received
        policy.handlers[ZoneOverridden] = self.on_zone_overridden

    def before_start(self, now: int) -> None:
        """The agreement begins."""
        self.agreement.start(now)

    def started(self, now: int) -> None:
        """The first heartbeat, at a drawn moment."""
        first_ns = now + self.rng.randrange(self.place.beat_ns)
        self.parts.actions.set_timer(first_ns, ZONE_HEARTBEAT_TOKEN)

    def state_inherited(self, now: int) -> None:
        """The table is heard from the peers."""

    def figures(self) -> dict[str, float]:
        """Attempts by where they went, tables seen so far, and the leader term of the last."""
        terms = self.agreement.terms
        term = terms.table.generation.term if terms is not None and terms.table is not None else 0
        return {
            "near": self.counted.near,
            "far": self.counted.far,
            "spilled": self.counted.spilled,
            "nowhere": self.counted.nowhere,
            "tables": self.agreement.changes,
            "term": term,
        }

    # ---- the agreement

    def _heartbeat(self, now: int) -> None:
        self.parts.actions.set_timer(now + self.place.beat_ns, ZONE_HEARTBEAT_TOKEN)
        budget = self._budget_per_s()
        healthy = self.parts.capacity.healthy
        observations = []
        for zone in range(self.zone_count):
            part = self.good_in[zone] / healthy if healthy else 0.0
            capacity = budget * part if budget < math.inf else math.inf
            observations.append(
                ZoneObservation(self.ready_in[zone], self.good_in[zone], self.tries[zone].dead, capacity)
            )
        self.agreement.observe(now, self.parts.budget.arrivals, observations)
        self._send_messages()

    def _budget_per_s(self) -> float:
        """Units a second that the limit leads to; infinite where there is no limit yet."""
        if self.parts.limit.limit == math.inf:
            return math.inf
        return self.parts.limit.limit * self.parts.capacity.healthy / self._latency_s()

    def _latency_s(self) -> float:
        limit = self.parts.limit
        return max(1e-3, (limit.units_in_flight + 1.0) / (limit.completed_per_s + 1.0))

    def _send_messages(self) -> None:
        messages = self.agreement.take_messages()
        if self.settings.gossips:
            self.parts.actions += [SendZoneMessage(peer, message) for peer, message in messages]

    def on_message_received(self, now: int, event: ZoneMessageReceived) -> None:
        """A message of a peer."""
        self.agreement.receive(now, event.sender, event.message)
        self._send_messages()

    def on_zone_overridden(self, now: int, event: ZoneOverridden) -> None:
        """An operator drains a zone, holds it, or neither."""
        self.agreement.override(event.zone, drained=event.drained, frozen=event.frozen)

    # ---- what is learnt

    def _zone_of(self, endpoint: Endpoint) -> int:
        return min(endpoint.entry.zone, self.zone_count - 1)

    def on_classified(self, now: int) -> None:
        """Counts the endpoints of each zone; a warming endpoint's due comes from those that send to its
        zone."""
        self._count_endpoints(now)
        slow_start = self.parts.slow_start
        total = sum(self.good_in)
        weights = self._weights(now)
        others = (z for z in range(self.zone_count) if z != self.home and weights[z] > 0)
        mine = self.good_in[self.home] + sum(self.good_in[z] for z in others)
        if self.parts.endpoints.warming and 0 < mine < total:
            slow_start.shares = [min(1.0, share * total / mine) for share in slow_start.shares]

    def _count_endpoints(self, now: int) -> None:
        detector = self.parts.detector
        classes = range(len(self.settings.classes))
        self.good_in = [0.0] * self.zone_count
        self.ready_in = [0] * self.zone_count
        self.warm_in = [0.0] * self.zone_count
        for endpoint in self.parts.endpoints.ready:
            zone = self._zone_of(endpoint)
            self.ready_in[zone] += 1
            excess = min((detector.excess_of_class(endpoint, group) for group in classes), default=0.0)
            warmth = self.parts.capacity.warmth(now, endpoint)
            self.warm_in[zone] += warmth
            slowed = min(1.0, SLOW_RATIO / max(SLOW_RATIO, endpoint.latency_ratio))
            self.good_in[zone] += warmth * (excess < OUTLIER_SCORE) * slowed

    def on_decayed(self, keep: float) -> None:
        """Connections decay faster than scores do."""
        span = math.log(1 / keep) if 0 < keep < 1 else 0.0
        for tries in self.tries:
            fade = math.exp(-span * SCORE_DECAY_S / CONNECTION_MEMORY_S)
            tries.failed = tries.failed * fade
            tries.all = tries.all * fade

    def on_outcome(self, _: int, outcome: AttemptOutcome, attempt: Attempt) -> None:
        """Whether a connection to the zone came up."""
        tries = self.tries[self._zone_of(attempt.endpoint)]
        if outcome.result is AttemptResult.CONNECT_FAILED:
            tries.add(True)
        elif outcome.result in ANSWERED:
            tries.add(False)
        elif outcome.result is AttemptResult.TIMEOUT and attempt.late:  # silent for long
            tries.add(True)

    # ---- the choice

    def _fails(self, zone: int) -> bool:
        """A zone fails here: its connections, or most of its endpoints by all that is known of them."""
        return (
            self.tries[zone].dead >= FAILED_RATIO
            or self.good_in[zone] < (1 - FAILED_RATIO) * self.warm_in[zone]
        )

    def _weights(self, now: int) -> list[float]:
        """Parts of this gateway's traffic by zone. What fails here is left at once."""
        table = self.agreement.table(now)
        if table is not None:
            row = [x / WEIGHT_TOTAL for x in table.weights[self.home]]
            return [0.0 if self._fails(zone) else x for zone, x in enumerate(row)]
        own = float(self.ready_in[self.home] > 0 and not self._fails(self.home))
        return [own if zone == self.home else 0.0 for zone in range(self.zone_count)]

    def choose(self, now: int, pending: PendingRequest) -> Endpoint | None:
        """The endpoint of the next attempt, in the zone that the weights draw."""
        idempotent = pending.request_class.idempotency is Idempotency.ALWAYS
        if pending.may_have_run_at is not None and pending.tried:
            return self._choose_retry(now, pending, idempotent=idempotent)
        if idempotent and not pending.tried:
            endpoint = self._probe(now, pending)
            if endpoint is not None:
                return endpoint
        zone = self._drawn_zone(now)
        endpoint = self._choose_within(now, pending, zone) if zone != ANY_ZONE else None
        if endpoint is not None:
            self._count_attempt(zone)
            return endpoint
        return self._choose_spilled(now, pending, zone)

    def _drawn_zone(self, now: int) -> int:
        """By the weights; ANY_ZONE where they leave a part without a zone."""
        draw = self.rng.random()
        for zone, weight in enumerate(self._weights(now)):
            draw -= weight
            if draw < 0:
                return zone
        return ANY_ZONE

    def _choose_retry(self, now: int, pending: PendingRequest, *, idempotent: bool) -> Endpoint | None:
        """Where a retry may go says the scope in which its repeats are dropped."""
        table = self.agreement.table(now)
        if idempotent and table is not None:
            self.barred = [state in (ZoneState.LOST, ZoneState.DRAINING) for state in table.states]
        try:
            return self._choose(now, pending)
        finally:
            self.barred = []

    def _probe(self, now: int, pending: PendingRequest) -> Endpoint | None:
        """A zone that is left gets one request now and then that may be repeated elsewhere: else nobody
        would ever know that it is back. Drawn, so that the probes of a fleet are apart."""
        for zone in range(self.zone_count):
            if now < self.try_ns[zone] or not self.ready_in[zone] or not self._is_left(now, zone):
                continue
            wait_ns = self.place.back_ns * PROBE_PART * (0.5 + self.rng.random())
            self.try_ns[zone] = now + int(wait_ns)
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
            own_unused = zone == self.home and not table.weights[zone][zone]
            if state == ZoneState.LOST or (state != ZoneState.DRAINING and own_unused):
                return True
        return self._fails(zone)

    def _choose_within(self, now: int, pending: PendingRequest, zone: int) -> Endpoint | None:
        self.target = zone
        try:
            return self._choose(now, pending)
        finally:
            self.target = ANY_ZONE

    def _choose_spilled(self, now: int, pending: PendingRequest, tried: int) -> Endpoint | None:
        """Nothing by the table: the nearest zones, by this gateway's even part of what they may be sent
        besides. Where the table leaves a part without a zone, that part is rejected."""
        table = self.agreement.table(now)
        failing = [zone for zone in range(self.zone_count) if self._fails(zone)]
        if table is not None and tried < 0 and not failing:
            self.counted.nowhere += 1
            return None
        states = table.states if table is not None else (0,) * self.zone_count
        for zone in self._by_distance():
            unusable = zone == tried or zone in failing or not self.ready_in[zone]
            if unusable or states[zone] in (ZoneState.LOST, ZoneState.DRAINING):
                continue
            rate = self.place.spill * self._capacity_per_s(zone) / self.settings.gateway_count
            if zone != self.home and not self.spills[zone].take(now, rate, pending.request.units):
                continue
            endpoint = self._choose_within(now, pending, zone)
            if endpoint is not None:
                self.counted.spilled += zone != self.home
                self._count_attempt(zone)
                return endpoint
        return None

    def _by_distance(self) -> list[int]:
        """All zones, the nearest first; those at the same distance by chance."""
        return sorted(
            range(self.zone_count), key=lambda zone: (self.distance[self.home][zone], self.rng.random())
        )

    def _capacity_per_s(self, zone: int) -> float:
        """What a zone bears, by the fleet's budget as this gateway has it; no bound where none was seen
        yet: the budget's own first bound, in units in flight, then holds what is sent."""
        limit = self.parts.limit.limit
        if limit == math.inf:
            return math.inf
        return limit * self.good_in[zone] / self._latency_s() * self.settings.gateway_count

    def _count_attempt(self, zone: int) -> None:
        if zone == self.home:
            self.counted.near += 1
        else:
            self.counted.far += 1

    def accepts(self, endpoint: Endpoint) -> bool:
        """The endpoint is of the zone that the attempt is to go to."""
        zone = self._zone_of(endpoint)
        if self.target != ANY_ZONE and zone != self.target:
            return False
        return not (self.barred and self.barred[zone])

    def describe(self, now: int) -> str:
        """The table with its reasons, for operators."""
        table = self.agreement.table(now)
        head = (
            "no table: each gateway by its stated part"
            if table is None
            else (
                f"table {table.generation.term}.{table.generation.number} by gateway "
                f"{table.generation.leader}, {(now - self.agreement.terms.table_ns) // 1_000_000} ms old"
            )
        )
        lines = [head]
        for z, name in enumerate(self.zone_names):
            if not self.ready_in[z] and z != self.home:
                continue
            state = ZoneState(table.states[z]).name.lower() if table else "-"
            row = (
                ""
                if table is None
                else " ".join(
                    f"{self.zone_names[b]}:{100 * x / WEIGHT_TOTAL:.0f}%"
                    for b, x in enumerate(table.weights[z])
                    if x
                )
            )
            lines.append(
                f"{name} {state} ready={self.ready_in[z]} good={self.good_in[z]:.1f} "
                f"dead={self.tries[z].dead:.2f} sends {row or 'nothing'}"
            )
        return "\n".join(lines)
