"""Identifiers of timers: which part of the decisions a timer belongs to, and which request.

A timer's token is `request id * TIMER_KINDS + kind`; the timers of no request use the request id 0. Tokens
from `FIRST_FEATURE_TOKEN` on belong to the features, each of which has one of its own.
"""

from __future__ import annotations

from typing import Final

DEADLINE_TIMER: Final = 0  # the first deadline of a request that may still matter
QUOTA_TIMER: Final = 1  # a request has waited long enough for its quota
TICK_TIMER: Final = 2  # decay of estimates, concurrency limit, budget
GOSSIP_TIMER: Final = 3  # changed quotas are sent to the peers
TIMER_KINDS: Final = 4

FIRST_FEATURE_TOKEN: Final = 2**62  # no request id is so large
QUOTA_SERVICE_TOKEN: Final = FIRST_FEATURE_TOKEN  # quota_service and leases exclude each other
LEASE_HEARTBEAT_TOKEN: Final = FIRST_FEATURE_TOKEN
LEASE_RESEND_TOKEN: Final = FIRST_FEATURE_TOKEN + 1
ZONE_HEARTBEAT_TOKEN: Final = FIRST_FEATURE_TOKEN + 2
