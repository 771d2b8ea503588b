"""Timer tokens, which identify the kind of a timer and its request.

A token is `request id * TIMER_KINDS + kind`; timers without a request use the request id 0. Tokens from
`FIRST_FEATURE_TOKEN` on belong to the features, which each have their own.
"""

from __future__ import annotations

from typing import Final

DEADLINE_TIMER: Final = 0  # the earliest deadline of the pending requests
QUOTA_TIMER: Final = 1  # the end of a request's wait for its quota
TICK_TIMER: Final = 2  # the periodic tick (`ticker`)
GOSSIP_TIMER: Final = 3  # sends changed usage to the peers
TIMER_KINDS: Final = 4

FIRST_FEATURE_TOKEN: Final = 2**62  # above the tokens of all request ids
QUOTA_SERVICE_TOKEN: Final = FIRST_FEATURE_TOKEN  # shared: quota_service and leases are never used together
LEASE_HEARTBEAT_TOKEN: Final = FIRST_FEATURE_TOKEN
LEASE_RESEND_TOKEN: Final = FIRST_FEATURE_TOKEN + 1
ZONE_HEARTBEAT_TOKEN: Final = FIRST_FEATURE_TOKEN + 2
