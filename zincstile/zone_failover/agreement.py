"""One gateway's participation in the agreement on zones: its reports, the elections and the routing table.

No I/O and no clock. Messages come in by `receive` and go out by `take_messages`. Used by the policy feature
(`feature`) and by the model of any number of gateways (`simulation/place_model`).
"""

from __future__ import annotations

import random
from typing import Final

from .leader_terms import LeaderTerms
from .messages import RoutingTable, ZoneMessage, ZoneObservation, ZoneReport
from .routing_weights import route, to_weights
from .settings import ZoneFailoverSettings
from .zone_states import ZoneState, ZoneTracker
from .zone_view import FAILED_RATIO, ZoneView

# Number of gateways besides the leader that receive each report, so that the next leader has recent ones.
REPORT_FAN_OUT: Final = 2
# The renewal of an unchanged table is spread over this time for each gateway of the fleet.
RENEWAL_NS_PER_GATEWAY: Final = 5_000_000


class Agreement:
    """The participation of one gateway process in the agreement on zones."""

    def __init__(
        self,
        settings: ZoneFailoverSettings,
        gateway_index: int,
        gateway_count: int,
        own_zone: int,
        distance: list[list[int]],
        process: int,
        rng: random.Random,
    ) -> None:
        """Does not send anything before `start`.

        `distance` holds the nanoseconds between zones by their indexes. `process` is a number that differs
        between processes of a gateway. `rng` spreads the messages of the gateways over time.
        """
        self.settings = settings
        self.gateway_index = gateway_index
        self.gateway_count = gateway_count
        self.own_zone = own_zone
        self.distance = distance
        self.process = process
        self.rng = rng
        self.view = ZoneView(settings, gateway_count, len(distance))
        self.trackers = [ZoneTracker(settings) for _ in distance]
        self.terms: LeaderTerms | None = None  # None before `start`
        self.peers = [gateway for gateway in range(gateway_count) if gateway != gateway_index]
        self.table_changes = 0  # routing tables so far whose weights differed from the previous ones
        self._report_number = 0
        self._reported_ns = 0
        self._failed = [False] * len(distance)  # by zone: whether it failed at the last observation
        self._outbox: list[tuple[int, ZoneMessage]] = []

    def start(self, now: int) -> None:
        """Begins to take part in elections; the first report follows after a random delay."""
        self.terms = LeaderTerms(
            self.settings, self.gateway_index, self.gateway_count, self.process, now, self.rng
        )
        # random, so that gateways do not report in step
        self._reported_ns = now - self.rng.randrange(self.view.report_interval_ns)

    def table(self, now: int) -> RoutingTable | None:
        """Returns the valid routing table, if this gateway has one."""
        return self.terms.current_table(now) if self.terms is not None else None

    def observe(self, now: int, demand: float, observations: list[ZoneObservation]) -> None:
        """Processes this gateway's observations; has to be called once in each heartbeat interval.

        `demand` is in units a second, `observations` are by zone index.
        """
        self._report_number += 1
        table = self.table(now)
        self._bring_report_forward(now, table, observations)
        report = ZoneReport(
            self.gateway_index,
            self.process,
            self._report_number,
            self.own_zone,
            demand,
            tuple(observations),
            self.view.overrides,
            self.view.override_number,
        )
        self.view.record(now, report)
        self.terms.update(now, self.view.recent_gateways(now))
        if self.terms.is_leader(now):
            self._propose(now)
        if now - self._reported_ns >= self.view.report_interval_ns:
            self._send_report(now, table, report)

    def _bring_report_forward(
        self, now: int, table: RoutingTable | None, observations: list[ZoneObservation]
    ) -> None:
        """Brings the next report forward if a zone begins to fail that the table does not list as lost.

        The report is sent after a short random delay, as other gateways observe the same failure.
        """
        failed = [
            failed_before if observation.failed_ratio < 0 else observation.failed_ratio >= FAILED_RATIO
            for observation, failed_before in zip(observations, self._failed, strict=True)
        ]
        newly_failed = any(
            fails and not failed_before and (table is None or table.states[zone] != ZoneState.LOST)
            for zone, (fails, failed_before) in enumerate(zip(failed, self._failed, strict=True))
        )
        if newly_failed:
            interval_ns = self.view.report_interval_ns
            spread_ns = interval_ns // len(observations)
            self._reported_ns = now - self.rng.randrange(interval_ns - spread_ns, interval_ns + 1)
        self._failed = failed

    def _send_report(self, now: int, table: RoutingTable | None, report: ZoneReport) -> None:
        self._reported_ns = now - self.rng.randrange(self.view.report_interval_ns // 4)
        receivers = set(self._sample(self.peers))
        if table is None:
            receivers.update(self._sample(self.terms.electors))
        elif not self.terms.is_leader(now):
            receivers.add(table.generation.leader)
        self._outbox += [(gateway, report) for gateway in receivers if gateway != self.gateway_index]

    def _sample(self, candidates: list[int]) -> list[int]:
        return self.rng.sample(candidates, min(REPORT_FAN_OUT, len(candidates)))

    def _propose(self, now: int) -> None:
        """Proposes a routing table from the current view of the zones, or renews the last one.

        A new table is sent to all gateways at once. A renewal is sent to some of them at a time, as sending
        to the whole fleet at one moment would overflow buffers on the network path.
        """
        zones = self.view.evaluate(now, self.trackers)
        last = self.terms.table
        previous = last.weights if last is not None and len(last.weights) == len(zones) else None
        sent = route(zones, self.distance, self.settings.headroom)
        weights = to_weights(sent, zones, previous, self.settings.max_shift_ratio)
        states = tuple(int(tracker.state) for tracker in self.trackers)
        table = self.terms.propose(now, tuple(map(tuple, weights)), states)
        if table is None:
            return
        self.table_changes += last is None or last.weights != table.weights
        interval_ns = self.settings.heartbeat_interval_ns
        round_ns = max(interval_ns, len(self.peers) * RENEWAL_NS_PER_GATEWAY)
        count = max(1, -(-len(self.peers) * interval_ns // round_ns))
        renewed = table is last
        receivers = self.rng.sample(self.peers, min(len(self.peers), count)) if renewed else self.peers
        self._outbox += [(gateway, table) for gateway in receivers]

    def receive(self, now: int, sender: int, message: ZoneMessage) -> None:
        """Handles another gateway's message.

        A table with another number of zones comes from a gateway with another configuration and is ignored.
        """
        if not 0 <= sender < self.gateway_count or sender == self.gateway_index or self.terms is None:
            return
        if isinstance(message, ZoneReport):
            if message.gateway == sender:
                self.view.record(now, message)
        elif isinstance(message, RoutingTable):
            last = self.terms.table
            if len(message.weights) == len(self.distance) and self.terms.receive(now, sender, message):
                self.table_changes += last is None or last.weights != message.weights
                self._adopt_states(now, message)
        else:
            self.terms.receive(now, sender, message)

    def _adopt_states(self, now: int, table: RoutingTable) -> None:
        """Takes over the published states, to continue from them if this gateway becomes the leader."""
        for tracker, number in zip(self.trackers, table.states, strict=True):
            if tracker.state != number and number in ZoneState._value2member_map_:
                tracker.adopt(now, ZoneState(number))

    def override(self, zone: int, *, drained: bool, frozen: bool) -> None:
        """Applies an operator's override of a zone. The reports carry it to all other gateways."""
        self.view.override(zone, drained=drained, frozen=frozen)
        self._reported_ns = 0

    def take_messages(self) -> list[tuple[int, ZoneMessage]]:
        """Returns the messages to send that were added since the last call, each with its receiver."""
        messages = self._outbox
        self._outbox = []
        return messages + (self.terms.take_messages() if self.terms is not None else [])
