"""Settings of the quota service's users: intervals, timeouts, and which failures a bound has to cover.

All times are in nanoseconds of one clock that the gateways share, up to `clock_skew_ns`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from ..decisions.validation import require_above_zero, require_known, require_share

MILLISECOND_NS: Final = 1_000_000
SECOND_NS: Final = 1_000 * MILLISECOND_NS
COUNTER_LIFETIME_MS: Final = 60_000  # asked for with each call; no counter is used for longer than 30 s


class Failure(StrEnum):
    """A failure for which the overshoot has a stated bound. The values are the names that operators write."""

    NONE = "none"
    UNREACHABLE = "gone"  # no call is answered
    SLOW = "slow"  # answers come after the call's timeout
    CALLS_LOST = "calls lost"  # some calls, or their answers, are lost
    GATEWAY_CRASH = "gateway dead"
    SPLIT = "split"  # two services answer, each to a part of the gateways
    REPLACED = "swapped"  # an empty service answers in place of the one before


FAILURES: Final = tuple(Failure)


@dataclass(frozen=True, slots=True)
class QuotaServiceSettings:
    """How leases are taken and how failures are detected."""

    epoch_ns: int = SECOND_NS  # each customer has a new counter every epoch
    lease_cover_ns: int = 400 * MILLISECOND_NS  # a lease covers the recent use for this long
    max_lease_ns: int = 600 * MILLISECOND_NS  # and the plan's rate for this long at most
    heartbeat_interval_ns: int = 250 * MILLISECOND_NS  # to the service and to all peers
    peer_timeout_ns: int = 900 * MILLISECOND_NS  # a peer's heartbeat counts for this long
    max_message_delay_ns: int = 150 * MILLISECOND_NS  # a peer's heartbeat that took longer is dropped
    call_timeout_ns: int = 50 * MILLISECOND_NS
    max_missed_heartbeats: int = 2  # after so many unanswered ones in a row the service counts as lost
    clock_skew_ns: int = 5 * MILLISECOND_NS  # between the clocks of two gateways, at most
    split_parts: int = 2  # a split into so many services has to be tolerated
    tolerated_failures: tuple[str, ...] = FAILURES  # their bounds have to be under max_overshoot_ratio
    max_overshoot_ratio: float = 0.05  # of what a quota gives in any minute
    heartbeat_counter_ns: int = 30 * SECOND_NS  # heartbeats go to a new counter this often

    def __post_init__(self) -> None:
        """Raises ValueError, which names the field, where a value can't work."""
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
                "one lost message would part the gateways"
            )
        if self.heartbeat_counter_ns < 4 * self.peer_timeout_ns or self.heartbeat_counter_ns > 30 * SECOND_NS:
            raise ValueError(
                "heartbeat_counter_ns: must be at least four times peer_timeout_ns, and 30 s at most, "
                "as names live 60 s"
            )
        if self.epoch_ns < 2 * self.call_timeout_ns or self.epoch_ns > 20 * SECOND_NS:
            raise ValueError("epoch_ns: must be at least twice call_timeout_ns, and 20 s at most")
        require_known(self, "tolerated_failures", FAILURES)

    @property
    def fallback_delay_ns(self) -> int:
        """From a gateway's last message of trust until it may use its even part.

        By then no peer counts on it any more, however late that message came.
        """
        return self.peer_timeout_ns + self.max_message_delay_ns

    @property
    def separation_ns(self) -> int:
        """How long two peers whose totals contradict each other are taken to use different services.

        On two services each heartbeat renews the contradiction. After a replacement that all gateways went
        through, it ends.
        """
        return 4 * self.peer_timeout_ns

    @property
    def split_detection_ns(self) -> int:
        """From a split until both sides have stopped counting each other.

        The later of the two signs decides: silence, and totals that contradict each other.
        """
        return max(self.peer_timeout_ns, 3 * self.heartbeat_interval_ns) + self.max_message_delay_ns
