"""Settings of a cold start."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from ..decisions.validation import require_above_zero

MS: Final = 1_000_000  # nanoseconds
SECOND: Final = 1_000_000_000  # nanoseconds


@dataclass(frozen=True, slots=True)
class ColdStartSettings:
    """What an operator configures. Durations are in nanoseconds.

    `net/features` maps the keys of the operators' file to these fields, and the fields in errors to the keys.
    """

    # Enables the fetching of endpoint lists from peers. Requires that endpoint addresses are the same for all
    # gateways.
    use_peer_lists: bool = False
    # How long a starting gateway waits for peers before it polls the list service.
    peer_wait_ns: int = 80 * MS
    # The first poll is delayed further by a random time of up to this much for each gateway of the fleet.
    poll_spread_per_gateway_ns: int = 10 * MS
    # A request that a peer has not answered within this time is sent to another peer.
    retry_interval_ns: int = 150 * MS
    # A list is used at once when this many peers have the same one.
    min_agreeing_peers: int = 2
    # A list that only one peer has is used this long after the start.
    single_peer_wait_ns: int = 300 * MS
    # Number of peers that are queried at a time.
    query_fan_out: int = 3
    # Maximum number of datagrams a second that this gateway sends to peers about its list.
    max_sent_per_s: float = 120.0
    # A list that discovery confirmed longer ago than this is neither sent nor used.
    max_list_age_ns: int = 600 * SECOND
    # How long a gateway that starts with a cached list waits for a newer one.
    cached_list_wait_ns: int = 300 * MS
    # Units a second that all gateways together send to each ready endpoint at first.
    initial_units_per_s: float = 20.0
    # Time in which answers in time raise that rate by a factor of e (2.7).
    ramp_time_constant_ns: int = 200 * MS
    # Admission is open after this time in any case.
    max_ramp_ns: int = 10 * SECOND

    def __post_init__(self) -> None:
        """Raises ValueError that names the field with an invalid value."""
        require_above_zero(
            self,
            "peer_wait_ns",
            "poll_spread_per_gateway_ns",
            "retry_interval_ns",
            "min_agreeing_peers",
            "single_peer_wait_ns",
            "query_fan_out",
            "max_list_age_ns",
            "cached_list_wait_ns",
            "ramp_time_constant_ns",
            "max_ramp_ns",
        )
        if not self.max_sent_per_s > 0:
            raise ValueError("max_sent_per_s: must be above 0")
        if not self.initial_units_per_s > 0:
            raise ValueError("initial_units_per_s: must be above 0, or no request would ever be sent")
        if self.single_peer_wait_ns < self.peer_wait_ns:
            raise ValueError(
                "single_peer_wait_ns: must not be less than peer_wait_ns: "
                "a second peer would never be waited for"
            )
