"""Settings of leases, failure detection and the concurrency budget, and the failures that a bound covers.

All times are in nanoseconds of each gateway's own monotonic clock; none is compared with another's.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from ..decisions.validation import require_above_zero, require_known, require_share

MILLISECOND_NS: Final = 1_000_000
SECOND_NS: Final = 1_000 * MILLISECOND_NS


class Failure(StrEnum):
    """A failure for which the overshoot has a stated bound. The values are the names that operators write."""

    NONE = "none"
    PARTITION = "cut"  # messages are lost, late, duplicated or out of order
    RESTART = "restart"  # every gateway starts once
    PAUSE = "paused"  # processes are stopped and run on
    ALL = "all"  # these one over the other


FAILURES: Final = tuple(Failure)


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """How units and slots are leased, and how failures of gateways and endpoints are detected."""

    lease_ns: int = 1500 * MILLISECOND_NS  # a lease ends so long after it was requested
    answer_timeout_ns: int = 83 * MILLISECOND_NS  # an attempt waits so long for an answer
    resend_interval_ns: int = 40 * MILLISECOND_NS  # a request without an answer is sent again after so long
    max_send_delay_ns: int = 200 * MILLISECOND_NS  # from a decision until its attempt has left
    max_tick_gap_ns: int = 300 * MILLISECOND_NS  # a longer one is a pause, of which the rest gains no units
    tick_interval_ns: int = 100 * MILLISECOND_NS  # between two looks at what expires
    request_ahead_ns: int = 300 * MILLISECOND_NS  # what recent use needs for so long is leased ahead of need
    backoff_ns: int = 200 * MILLISECOND_NS  # a silent gateway gets no request for so long; doubled each time
    max_backoff_ns: int = 3 * SECOND_NS
    min_holders: int = 4  # of a wide set, at least so many gateways hold a part
    paused_gateways: int = 1  # so many may be stopped between a decision and its sending at once
    max_initial_fill_ratio: float = 1.0  # of the burst, that a gateway which starts has at most
    observer_zones: int = 2  # have to share a suspicion before an endpoint is left for it
    min_unsuspected_ratio: float = 0.5  # of the ready endpoints, that others' suspicions never rule out
    suspicion_ns: int = 4 * SECOND_NS  # a suspicion ends so long after it was made
    units_per_endpoint: float = 40.0  # in flight for each ready endpoint, by all gateways together
    tolerated_failures: tuple[str, ...] = FAILURES[:-1]  # their bounds have to be under max_overshoot_ratio
    max_overshoot_ratio: float = 0.05  # of what a quota gives in any minute

    def __post_init__(self) -> None:
        """Raises ValueError, which names the field, where a value can't work."""
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
                "lease_ns: must be at least twice answer_timeout_ns: a lease would end before it is used"
            )
        if self.max_tick_gap_ns < 2 * self.tick_interval_ns:
            raise ValueError(
                "max_tick_gap_ns: must be at least twice tick_interval_ns: "
                "one late tick would count as a pause"
            )
        if self.paused_gateways < 0:
            raise ValueError("paused_gateways: must not be negative")
        if not 0 <= self.max_initial_fill_ratio <= 1:
            raise ValueError("max_initial_fill_ratio: a part from 0 to 1")
        if not 0 < self.min_unsuspected_ratio <= 1:
            raise ValueError("min_unsuspected_ratio: a part above 0, at most 1")
        if not self.units_per_endpoint > 0:
            raise ValueError("units_per_endpoint: must be above 0")
        require_share(self, "max_overshoot_ratio")
        require_known(self, "tolerated_failures", FAILURES)
