"""Concurrency budget: a limit on the units that all gateways together have in flight at the back end.

Each gateway has an equal part of the limit. When some gateways are silent, the others take over their parts
by raising their own part by a factor, up to a maximum. In a partition, a side with `k` of `n` gateways then
uses `k / n` of the limit times at most this maximum, so all sides together use at most the limit times the
maximum. Therefore no gateway has to know whether the silent ones are dead or cut off.

Gateways learn about each other by gossip: each gateway sends its own report and those that it knows to some
others, with origin, incarnation and sequence number. For each origin the last report of the last incarnation
counts, no matter in which order and how often reports arrive. A part is taken over gradually, and only if its
owner has not been reported for `silence_ns`; it is given back at once. A gateway that was suspended has no
current reports, so it starts with its own part.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Final

from .settings import MILLISECOND_NS, SECOND_NS

# A part may be taken over after this time without a report from its owner: four rounds of reports.
MIN_SILENCE_NS: Final = 2 * SECOND_NS
# Or after this time per gateway, if that is longer: reports take longer to reach all of a large fleet.
SILENCE_PER_GATEWAY_NS: Final = 30 * MILLISECOND_NS
# The factor takes at least this time to double, so that overload shows in the back end's latency meanwhile.
FACTOR_DOUBLING_S: Final = 0.5
MAX_FACTOR: Final = 3.4  # three in ten gateways can take over the whole limit
# A longer time between two ticks counts as a suspension of this process: five ticks.
SUSPENSION_GAP_NS: Final = 500 * MILLISECOND_NS
REPORT_EXPIRY_NS: Final = (
    60 * SECOND_NS
)  # a report of this age is dropped, as its origin has long been silent
RECIPIENTS_PER_ROUND: Final = (
    3  # gateways that get a message in each round, so that it reaches all in a few rounds
)
MAX_RELAYED_REPORTS: Final = 10  # in one message, which fits into one datagram together with the own report
AGE_STEPS: Final = 8  # steps of `silence_ns` by which reports are sorted; their order within a step is random


@dataclass(slots=True)
class ConcurrencyReport:
    """A message: how many units a gateway has in flight and wants to have, and the age of this report."""

    origin: int  # the gateway that made the report
    incarnation: int  # of the origin's process
    sequence: int
    units_in_flight: float
    wanted_units: float
    age_ns: int


@dataclass(slots=True)
class KnownReport:
    """The last report from another gateway."""

    incarnation: int
    sequence: int
    units_in_flight: float
    wanted_units: float
    created_ns: int  # on this gateway's clock


@dataclass(slots=True)
class ConcurrencyBudget:
    """One gateway's part of the budget."""

    gateway: int  # this gateway
    gateway_count: int
    incarnation: int  # grows with each start of the process, and beyond any that is still reported
    units_per_endpoint: float  # limit for all gateways together, per ready endpoint
    known_reports: dict[int, KnownReport] = field(default_factory=dict)  # by gateway
    factor: float = 1.0  # by which this gateway's part is raised
    sequence: int = 0  # of this gateway's last report
    last_tick_ns: int = -1
    running_since_ns: int = -1  # start, or end of the last suspension

    @property
    def silence_ns(self) -> int:
        """A gateway counts as silent if no report of it is younger than this."""
        return max(MIN_SILENCE_NS, self.gateway_count * SILENCE_PER_GATEWAY_NS)

    def merge(self, now: int, report: ConcurrencyReport) -> bool:
        """Records a report; returns whether it was new.

        Incarnations only grow, so reports of a process that has been replaced are ignored, however late they
        arrive. If this gateway gets a report with a later incarnation of itself, because its machine's clock
        was reset, it continues with an incarnation beyond that.
        """
        if not 0 <= report.origin < self.gateway_count or report.age_ns > REPORT_EXPIRY_NS:
            return False
        if report.origin == self.gateway:
            if (report.incarnation, report.sequence) > (self.incarnation, self.sequence):
                self.incarnation = report.incarnation + 1
            return False
        known = self.known_reports.get(report.origin)
        if known is not None and (report.incarnation, report.sequence) <= (known.incarnation, known.sequence):
            return False
        self.known_reports[report.origin] = KnownReport(
            report.incarnation,
            report.sequence,
            report.units_in_flight,
            report.wanted_units,
            now - report.age_ns,
        )
        return True

    def live_gateways(self, now: int) -> int:
        """Returns the number of gateways that are not silent, including this one."""
        return 1 + sum(now - report.created_ns < self.silence_ns for report in self.known_reports.values())

    def tick(self, now: int) -> float:
        """Updates and returns the factor of this gateway's part; it falls at once and rises gradually."""
        if self.last_tick_ns < 0 or now - self.last_tick_ns > SUSPENSION_GAP_NS:
            self.running_since_ns = now
            self.factor = 1.0
        elapsed_s = (now - self.last_tick_ns) / SECOND_NS if self.last_tick_ns >= 0 else 0.0
        self.last_tick_ns = now
        for origin in [
            key for key, report in self.known_reports.items() if now - report.created_ns > REPORT_EXPIRY_NS
        ]:
            del self.known_reports[origin]
        wanted_factor = min(MAX_FACTOR, self.gateway_count / self.live_gateways(now))
        if now - self.running_since_ns < self.silence_ns:
            wanted_factor = 1.0
        self.factor = min(wanted_factor, self.factor * 2 ** (elapsed_s / FACTOR_DOUBLING_S))
        return self.factor

    def limit_units(self, ready: float) -> float:
        """Returns the units that this gateway may have in flight, given the number of ready endpoints."""
        return self.units_per_endpoint * ready * self.factor / self.gateway_count

    def total_limit_units(self, ready: float) -> float:
        """Returns the maximum of units that all gateways together have in flight, under any partition."""
        return self.units_per_endpoint * ready * min(MAX_FACTOR, self.gateway_count)

    def reports_to_send(
        self, now: int, units_in_flight: float, wanted_units: float, rng: random.Random
    ) -> list[ConcurrencyReport]:
        """Returns a new report of this gateway, and the youngest reports of others."""
        self.sequence += 1
        own = ConcurrencyReport(
            self.gateway, self.incarnation, self.sequence, units_in_flight, wanted_units, age_ns=0
        )
        relayed = [
            ConcurrencyReport(
                origin,
                report.incarnation,
                report.sequence,
                report.units_in_flight,
                report.wanted_units,
                now - report.created_ns,
            )
            for origin, report in self.known_reports.items()
            if now - report.created_ns < self.silence_ns
        ]
        rng.shuffle(relayed)
        step_ns = self.silence_ns // AGE_STEPS
        relayed.sort(key=lambda report: report.age_ns // step_ns)
        return [own, *relayed[:MAX_RELAYED_REPORTS]]

    def draw_recipients(self, rng: random.Random) -> list[int]:
        """Returns the gateways that get this round's message, chosen at random."""
        others = [gateway for gateway in range(self.gateway_count) if gateway != self.gateway]
        return rng.sample(others, min(RECIPIENTS_PER_ROUND, len(others)))
