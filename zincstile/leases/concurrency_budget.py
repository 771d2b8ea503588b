"""Concurrency budget: a limit on the units that all gateways together have in flight at the back end.

Each gateway's part of the limit is even. Where others are silent, the rest may take over their parts, up to a
factor. The sum over all sides of a partition is then at most the factor times the limit: a side of `k` out of
`n` gateways holds `k / n` of it, times at most the factor. So nobody has to know whether the silent gateways
are dead or cut off.

Which gateways are there is known by reports that are relayed: each gateway sends some others what it knows,
with origin, incarnation and sequence number. Of one origin the last report of its last incarnation holds, in
any order and however often it comes. A part is taken over only once there was no report of its owner for
`silence_ns`, by steps; it is given back at once. A gateway that was suspended knows nothing of the others,
and begins with its own part.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Final

from .settings import MILLISECOND_NS, SECOND_NS

MIN_SILENCE_NS: Final = 2 * SECOND_NS  # without a report for so long, a part may be taken over: four rounds
SILENCE_PER_GATEWAY_NS: Final = (
    30 * MILLISECOND_NS
)  # and for so long for each gateway: reports take longer to come round
FACTOR_DOUBLING_S: Final = 0.5  # in which the factor doubles at most: the back end's latency shows meanwhile
MAX_FACTOR: Final = 3.4  # on the own part: three in ten gateways carry all
SUSPENDED_NS: Final = (
    500 * MILLISECOND_NS
)  # between two ticks, from which this process counts as suspended: five ticks
FORGET_NS: Final = 60 * SECOND_NS  # after which a report is dropped: its origin is long silent
RECIPIENTS: Final = 3  # gateways that get a message in one round: all hear of it within a few rounds
MAX_RELAYED_REPORTS: Final = 10  # in one message: they fit into one datagram with the own one
AGE_STEPS: Final = 8  # of `silence_ns`, by which reports are ordered by age; within one the order is drawn


@dataclass(slots=True)
class ConcurrencyReport:
    """A message: the units that a gateway has in flight and would have, and how old that is."""

    origin: int  # gateway
    incarnation: int  # of its process
    sequence: int
    units_in_flight: float
    wanted_units: float
    age_ns: int


@dataclass(slots=True)
class KnownReport:
    """The last report of another gateway."""

    incarnation: int
    sequence: int
    units_in_flight: float
    wanted_units: float
    created_ns: int  # by this gateway's clock


@dataclass(slots=True)
class ConcurrencyBudget:
    """The part of one gateway among `gateway_count`."""

    gateway: int  # this one
    gateway_count: int
    incarnation: int  # grows with each start of the process, and past any that is still reported
    units_per_endpoint: float  # limit for all gateways together, for each ready endpoint
    known_reports: dict[int, KnownReport] = field(default_factory=dict)  # by gateway
    factor: float = 1.0  # on the own part
    sequence: int = 0  # of the last own report
    last_tick_ns: int = -1
    running_since_ns: int = -1  # without being suspended

    @property
    def silence_ns(self) -> int:
        """A gateway without a report for so long counts as silent."""
        return max(MIN_SILENCE_NS, self.gateway_count * SILENCE_PER_GATEWAY_NS)

    def merge(self, now: int, report: ConcurrencyReport) -> bool:
        """Takes a report; returns whether it is news.

        A process that was followed by another never counts again, however late its reports come, as
        incarnations only grow. A gateway that gets a report of a later incarnation of its own (its machine's
        clock began anew) goes past that one.
        """
        if not 0 <= report.origin < self.gateway_count or report.age_ns > FORGET_NS:
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
        """Returns the number of gateways that are not silent, this one among them."""
        return 1 + sum(now - report.created_ns < self.silence_ns for report in self.known_reports.values())

    def tick(self, now: int) -> float:
        """Updates and returns the factor on this gateway's part; it falls at once and rises by steps."""
        if self.last_tick_ns < 0 or now - self.last_tick_ns > SUSPENDED_NS:
            self.running_since_ns = now
            self.factor = 1.0
        elapsed_s = (now - self.last_tick_ns) / SECOND_NS if self.last_tick_ns >= 0 else 0.0
        self.last_tick_ns = now
        for origin in [
            key for key, report in self.known_reports.items() if now - report.created_ns > FORGET_NS
        ]:
            del self.known_reports[origin]
        wanted_factor = min(MAX_FACTOR, self.gateway_count / self.live_gateways(now))
        if now - self.running_since_ns < self.silence_ns:
            wanted_factor = 1.0
        self.factor = min(wanted_factor, self.factor * 2 ** (elapsed_s / FACTOR_DOUBLING_S))
        return self.factor

    def limit_units(self, ready: float) -> float:
        """Returns the units that this gateway may have in flight, with so many ready endpoints."""
        return self.units_per_endpoint * ready * self.factor / self.gateway_count

    def total_limit_units(self, ready: float) -> float:
        """Returns the units that all gateways together have in flight at most, under any partition."""
        return self.units_per_endpoint * ready * min(MAX_FACTOR, self.gateway_count)

    def reports_to_send(
        self, now: int, units_in_flight: float, wanted_units: float, rng: random.Random
    ) -> list[ConcurrencyReport]:
        """Returns a new own report, and the youngest of others."""
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
        """Returns the gateways that get this round's message, drawn anew each time."""
        others = [gateway for gateway in range(self.gateway_count) if gateway != self.gateway]
        return rng.sample(others, min(RECIPIENTS, len(others)))
