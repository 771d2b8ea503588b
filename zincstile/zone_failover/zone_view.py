"""Merges the zone reports of all gateways into the view from which routing weights are computed.

The newest report of a gateway's newest process counts, regardless of reordered and duplicated reports. In a
large fleet no gateway receives all reports: the report interval grows so that the leader can process them,
and the demand of a gateway without a recent report is taken to be the mean of the others in its zone.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Final

from .messages import ZoneReport
from .routing_weights import ZoneLoad
from .settings import SECOND, ZoneFailoverSettings
from .zone_states import UNUSABLE_STATES, ZoneState, ZoneTracker

# Number of report intervals for which a report counts, so that three lost datagrams in a row have no effect.
REPORT_LIFETIME: Final = 4
# Reports a second that all gateways together send to the leader: half of what it can usually receive.
REPORTS_PER_S: Final = 30
# A gateway can't reach a zone if at least this ratio of its connection attempts to it failed.
FAILED_RATIO: Final = 0.5
# A zone can't reach another one if at least this ratio of its gateways can't.
UNREACHED_RATIO: Final = 0.5
# A zone is lost if at least this ratio of all gateways that tried to reach it can't.
LOST_RATIO: Final = 0.5
# A short zone is well again when its capacity is at least its demand times this factor.
RELIEF_FACTOR: Final = 1.1
# First bit of the frozen zones in an override; the bits below are the drained zones.
FROZEN_BIT: Final = 16
# Lower bound for a zone that has ready endpoints, as zero would mean that it has none.
MIN_HEALTHY_ENDPOINTS: Final = 1e-3


@dataclass(slots=True)
class _ConnectionTries:
    """Connection attempts of the gateways of one zone to another zone."""

    tried: int = 0  # gateways that tried to connect recently
    failed: int = 0  # of these, gateways that can't reach the zone


@dataclass(slots=True)
class ReceivedReport:
    """The last report of a gateway, and when it was received."""

    report: ZoneReport
    received_ns: int


@dataclass(slots=True)
class ZoneView:
    """One gateway's view of all zones, from the reports of all gateways."""

    settings: ZoneFailoverSettings
    gateway_count: int
    zones: int
    reports: dict[int, ReceivedReport] = field(default_factory=dict)  # by gateway
    ended_processes: dict[int, int] = field(default_factory=dict)  # by gateway: the one before its newest
    home_zones: dict[int, int] = field(default_factory=dict)  # by gateway, for all that ever reported
    overrides: int = 0  # of operators, as in `ZoneReport`
    override_number: int = 0
    # By zone and target zone that its gateways can't reach: since when they reach it again; -1 if they don't.
    unreachable: dict[tuple[int, int], int] = field(default_factory=dict)

    @property
    def report_lifetime_ns(self) -> int:
        """The time for which a report counts."""
        interval_ns = max(self.settings.heartbeat_interval_ns, self.report_interval_ns)
        return max(SECOND, REPORT_LIFETIME * interval_ns)

    @property
    def report_interval_ns(self) -> int:
        """The time between two reports of a gateway; long enough for the leader to process all reports."""
        return max(self.settings.heartbeat_interval_ns, self.gateway_count * SECOND // REPORTS_PER_S)

    def record(self, now: int, report: ZoneReport) -> bool:
        """Records a report; returns False if it is outdated or invalid."""
        if (
            not 0 <= report.gateway < self.gateway_count
            or not 0 <= report.zone < self.zones
            or len(report.observations) != self.zones
        ):
            return False
        if report.override_number > self.override_number:
            self.overrides = report.overrides
            self.override_number = report.override_number
        received = self.reports.get(report.gateway)
        if received is not None and not self._is_newer(report, received.report):
            return False
        self.reports[report.gateway] = ReceivedReport(report, now)
        self.home_zones[report.gateway] = report.zone
        return True

    def _is_newer(self, report: ZoneReport, last: ZoneReport) -> bool:
        """Returns whether a report replaces the last one of its gateway; records the end of a process."""
        if report.process == last.process:
            return report.number > last.number
        if self.ended_processes.get(report.gateway) == report.process:
            return False
        self.ended_processes[report.gateway] = last.process
        return True

    def override(self, zone: int, *, drained: bool, frozen: bool) -> None:
        """Replaces an operator's override of a zone; with neither flag, the override ends."""
        drained_bit = 1 << zone
        frozen_bit = 1 << (zone + FROZEN_BIT)
        self.overrides &= ~(drained_bit | frozen_bit)
        if drained:
            self.overrides |= drained_bit
        if frozen:
            self.overrides |= frozen_bit
        self.override_number += 1

    def recent_gateways(self, now: int) -> set[int]:
        """Returns the gateways whose last report still counts."""
        lifetime_ns = self.report_lifetime_ns
        return {gateway for gateway, last in self.reports.items() if now - last.received_ns < lifetime_ns}

    def evaluate(self, now: int, trackers: list[ZoneTracker]) -> list[ZoneLoad]:
        """Updates the state of each zone, and returns the load of each zone for the routing weights."""
        lifetime_ns = self.report_lifetime_ns
        reports = [last.report for last in self.reports.values() if now - last.received_ns < lifetime_ns]
        tries = _count_tries(reports, self.zones)
        self._update_unreachable(now, tries)
        return [self._evaluate_zone(now, zone, trackers[zone], reports, tries) for zone in range(self.zones)]

    def _evaluate_zone(
        self,
        now: int,
        zone: int,
        tracker: ZoneTracker,
        reports: list[ZoneReport],
        tries: list[list[_ConnectionTries]],
    ) -> ZoneLoad:
        demand = self._demand(zone, reports)
        observations = [report.observations[zone] for report in reports]
        bounds = [observation.capacity for observation in observations if observation.capacity < math.inf]
        capacity = math.inf
        if len(bounds) * 2 > len(reports):
            capacity = sum(bounds) / len(bounds) * self.gateway_count
        healthy = (
            sorted(observation.healthy_endpoints for observation in observations)[len(observations) // 2]
            if observations
            else 0.0
        )
        state = tracker.update(
            now,
            reached=self._reached(zone, tries),
            short=demand > capacity,
            relieved=demand * RELIEF_FACTOR <= capacity,
            draining=bool(self.overrides >> zone & 1),
            frozen=bool(self.overrides >> (zone + FROZEN_BIT) & 1),
        )
        if state is ZoneState.RETURNING and capacity == math.inf:
            # must be finite, so that a ratio of it can be used
            capacity = max(demand, sum(report.demand for report in reports) / self.zones)
        return ZoneLoad(
            demand,
            capacity,
            max(healthy, MIN_HEALTHY_ENDPOINTS)
            if any(observation.ready_endpoints for observation in observations)
            else 0.0,
            tracker.usable_ratio(now),
            state not in UNUSABLE_STATES,
            tuple((origin, zone) not in self.unreachable for origin in range(self.zones)),
        )

    def _demand(self, zone: int, reports: list[ZoneReport]) -> float:
        """Returns the demand of all gateways of a zone, extrapolated from those with recent reports."""
        local = [report.demand for report in reports if report.zone == zone]
        members = sum(home == zone for home in self.home_zones.values())
        return sum(local) * (members / len(local) if local else 0.0)

    def _reached(self, zone: int, tries: list[list[_ConnectionTries]]) -> bool | None:
        """Returns whether the gateways that tried to reach a zone succeed; None if none tried."""
        tried = sum(row[zone].tried for row in tries)
        failed = sum(row[zone].failed for row in tries)
        return failed < LOST_RATIO * tried if tried else None

    def _update_unreachable(self, now: int, tries: list[list[_ConnectionTries]]) -> None:
        """Updates which zones can't be reached from which zone.

        Prevents routing tables from alternating: gateways whose traffic goes elsewhere no longer try to reach
        the zone, and a lack of failures does not mean that it is reachable. It counts as reachable only when
        connections have succeeded for `recovery_ns`.
        """
        for origin, row in enumerate(tries):
            for zone, tries_to_zone in enumerate(row):
                if not tries_to_zone.tried:
                    continue
                if tries_to_zone.failed >= UNREACHED_RATIO * tries_to_zone.tried:
                    self.unreachable[origin, zone] = -1
                elif (origin, zone) in self.unreachable:
                    since = self.unreachable[origin, zone]
                    self.unreachable[origin, zone] = now if since < 0 else since
                    if 0 <= since <= now - self.settings.recovery_ns:
                        del self.unreachable[origin, zone]


def _count_tries(reports: list[ZoneReport], zones: int) -> list[list[_ConnectionTries]]:
    """Counts the connection attempts of the gateways of each zone (row) to each zone (column)."""
    counts = [[_ConnectionTries() for _ in range(zones)] for _ in range(zones)]
    for report in reports:
        row = counts[report.zone]
        for zone, observation in enumerate(report.observations):
            if observation.failed_ratio >= 0:
                row[zone].tried += 1
                row[zone].failed += observation.failed_ratio >= FAILED_RATIO
    return counts
