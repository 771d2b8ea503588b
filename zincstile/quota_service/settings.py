"""Settings of gateways that use a quota service: intervals, timeouts, and the failures that a bound covers.

All times are in nanoseconds. The gateways' clocks are synchronized to within `clock_skew_ns`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from ..decisions.validation import require_above_zero, require_known, require_share

MILLISECOND_NS: Final = 1_000_000
SECOND_NS: Final = 1_000 * MILLISECOND_NS
COUNTER_LIFETIME_MS: Final = 60_000  # requested with each call; no counter is used for longer than 30 s


class Failure(StrEnum):
    """A failure for which the overshoot has a stated bound. The values are the names in operators' files."""

    NONE = "none"
    UNREACHABLE = "gone"  # no call is answered
    SLOW = "slow"  # answers come after the call's timeout
    CALLS_LOST = "calls lost"  # some calls, or their answers, are lost
    GATEWAY_CRASH = "gateway dead"
    SPLIT = "split"  # two services answer, each for some of the gateways
    REPLACED = "swapped"  # an empty service has replaced the previous one


FAILURES: Final = tuple(Failure)


@dataclass(frozen=True, slots=True)
class QuotaServiceSettings:
    """How leases are taken and how failures are detected."""

    epoch_ns: int = SECOND_NS  # each customer gets a new counter in each epoch
    lease_cover_ns: int = 400 * MILLISECOND_NS  # a lease covers this much time of recent use
    max_lease_ns: int = 600 * MILLISECOND_NS  # and at most this much time of the plan's rate
    heartbeat_interval_ns: int = 250 * MILLISECOND_NS  # of heartbeats to the service and to all peers
    peer_timeout_ns: int = 900 * MILLISECOND_NS  # how long a peer's heartbeat is valid
    max_message_delay_ns: int = 150 * MILLISECOND_NS  # a peer's heartbeat that took longer is dropped
    call_timeout_ns: int = 50 * MILLISECOND_NS
    max_missed_heartbeats: int = 2  # after this many unanswered ones in a row, the service counts as lost
    clock_skew_ns: int = 5 * MILLISECOND_NS  # maximum difference between the clocks of two gateways
    split_parts: int = 2  # number of services into which a tolerated split divides the gateways
    tolerated_failures: tuple[str, ...] = FAILURES  # their bounds have to be within max_overshoot_ratio
    max_overshoot_ratio: float = 0.05  # relative to the units that a quota provides in one minute
    heartbeat_counter_ns: int = 30 * SECOND_NS  # a new heartbeat counter is used after this time

    def __post_init__(self) -> None:
        """Raises ValueError with the name of the field if a value is invalid."""
        require_above_zero(
            self,
            "epoch_ns",
            "lease_cover_ns",
            "max_lease_ns",
            "heartbeat_interval_ns",
            "peer_timeout_ns",
            "max_message_delay_ns",
            "call_timeout_ns",
            "max_missed_heartbeats",
            "heartbeat_counter_ns",
        )
        if self.clock_skew_ns < 0:
            raise ValueError("clock_skew_ns: must not be negative")
        if self.split_parts < 2:
            raise ValueError("split_parts: a split has at least 2 parts")
        require_share(self, "max_overshoot_ratio")
        if self.peer_timeout_ns < 2 * self.heartbeat_interval_ns + self.max_message_delay_ns:
            raise ValueError(
                "peer_timeout_ns: must cover two heartbeats and a late message: "
                "otherwise one lost message separates the gateways"
            )
        if self.heartbeat_counter_ns < 4 * self.peer_timeout_ns or self.heartbeat_counter_ns > 30 * SECOND_NS:
            raise ValueError(
                "heartbeat_counter_ns: must be at least four times peer_timeout_ns and at most 30 s, "
                "as the service keeps counters for 60 s"
            )
        if self.epoch_ns < 2 * self.call_timeout_ns or self.epoch_ns > 20 * SECOND_NS:
            raise ValueError("epoch_ns: must be at least twice call_timeout_ns, and at most 20 s")
        require_known(self, "tolerated_failures", FAILURES)

    @property
    def fallback_delay_ns(self) -> int:
        """Time from a gateway's last report of trust until it may fall back to its equal part.

        After this time no peer still counts the gateway as on the service, even if the report was delayed.
        """
        return self.peer_timeout_ns + self.max_message_delay_ns

    @property
    def separation_ns(self) -> int:
        """How long peers with contradictory totals are considered to use different services.

        While they do use different services, each heartbeat extends this time. If all gateways have moved to
        a replaced service, the contradictions end, and so does the separation.
        """
        return 4 * self.peer_timeout_ns

    @property
    def split_detection_ns(self) -> int:
        """Time from a split until the gateways on either side no longer count those on the other side.

        A split shows by missing heartbeats or by contradictory totals; this is the longer of the two times.
        """
        return max(self.peer_timeout_ns, 3 * self.heartbeat_interval_ns) + self.max_message_delay_ns
