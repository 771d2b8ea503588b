"""Settings of leases, failure detection and the concurrency budget, and the failures that a bound covers.

All times are in nanoseconds of a gateway's own monotonic clock; clocks of two gateways are never compared.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from ..decisions.validation import require_above_zero, require_known, require_share

MILLISECOND_NS: Final = 1_000_000
SECOND_NS: Final = 1_000 * MILLISECOND_NS


class Failure(StrEnum):
    """A failure for which the overshoot has a stated bound. The values are the names in operators' files."""

    NONE = "none"
    PARTITION = "cut"  # messages are lost, delayed, duplicated or reordered
    RESTART = "restart"  # every gateway starts once
    PAUSE = "paused"  # processes are suspended and resumed
    ALL = "all"  # all of these at the same time


FAILURES: Final = tuple(Failure)


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """How units and slots are leased, and how failures of gateways and endpoints are detected."""

    lease_ns: int = 1500 * MILLISECOND_NS  # term of a lease, from its request
    answer_timeout_ns: int = 83 * MILLISECOND_NS  # how long an attempt waits for an answer
    resend_interval_ns: int = 40 * MILLISECOND_NS  # an unanswered request is sent again after this time
    max_send_delay_ns: int = 200 * MILLISECOND_NS  # from a decision until its attempt has been sent
    max_tick_gap_ns: int = 300 * MILLISECOND_NS  # time beyond this between two ticks gains no units
    tick_interval_ns: int = 100 * MILLISECOND_NS  # between two checks of what has expired
    request_ahead_ns: int = 300 * MILLISECOND_NS  # leases cover the recent use for this much time ahead
    backoff_ns: int = 200 * MILLISECOND_NS  # first backoff of requests to a silent gateway; it doubles
    max_backoff_ns: int = 3 * SECOND_NS
    min_holders: int = 4  # of a customer with at least as many gateways
    paused_gateways: int = 1  # may be suspended at the same time between a decision and its sending
    max_initial_fill_ratio: float = 1.0  # limit of a token bucket's level at the start, relative to the burst
    observer_zones: int = 2  # zones that have to share a suspicion before it counts
    # fraction of the ready endpoints that others' suspicions never exclude
    min_unsuspected_ratio: float = 0.5
    suspicion_ns: int = 4 * SECOND_NS  # lifetime of a suspicion
    units_per_endpoint: float = 40.0  # limit in flight per ready endpoint, for all gateways together
    tolerated_failures: tuple[str, ...] = FAILURES[:-1]  # their bounds have to be within max_overshoot_ratio
    max_overshoot_ratio: float = 0.05  # relative to the units that a quota provides in one minute

    def __post_init__(self) -> None:
        """Raises ValueError with the name of the field if a value is invalid."""
        require_above_zero(
            self,
            "lease_ns",
            "answer_timeout_ns",
            "resend_interval_ns",
            "max_send_delay_ns",
            "max_tick_gap_ns",
            "tick_interval_ns",
            "request_ahead_ns",
            "backoff_ns",
            "max_backoff_ns",
            "min_holders",
            "observer_zones",
            "suspicion_ns",
        )
        if self.lease_ns < 2 * self.answer_timeout_ns:
            raise ValueError(
                "lease_ns: must be at least twice answer_timeout_ns: otherwise a lease ends before it is used"
            )
        if self.max_tick_gap_ns < 2 * self.tick_interval_ns:
            raise ValueError(
                "max_tick_gap_ns: must be at least twice tick_interval_ns: "
                "otherwise one late tick counts as a suspension"
            )
        if self.paused_gateways < 0:
            raise ValueError("paused_gateways: must not be negative")
        if not 0 <= self.max_initial_fill_ratio <= 1:
            raise ValueError("max_initial_fill_ratio: must be between 0 and 1")
        if not 0 < self.min_unsuspected_ratio <= 1:
            raise ValueError("min_unsuspected_ratio: must be above 0 and at most 1")
        if not self.units_per_endpoint > 0:
            raise ValueError("units_per_endpoint: must be above 0")
        require_share(self, "max_overshoot_ratio")
        require_known(self, "tolerated_failures", FAILURES)
