"""What the gateway received, sent and answered; written to the log on SIGUSR1 and at the end."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Final

from .host import HOST, Host
from .reasons import CloseReason, GatewayRejection, RetryReason

CLOSE_COUNTERS: Final = {reason: f"close_{reason.value}" for reason in CloseReason}
REJECT_COUNTERS: Final = {reason: f"reject_{reason.value}" for reason in GatewayRejection}
RETRY_COUNTERS: Final = {reason: f"retry_{reason.value}" for reason in RetryReason}


class Counters:
    """All counters of one process by name, as whole numbers; docs/on-call.md explains each."""

    if TYPE_CHECKING:  # type checkers don't read the names of the slots below

        def __getattr__(self, name: str) -> int:
            """Returns a counter."""

        def __setattr__(self, name: str, value: int) -> None:
            """Sets a counter."""

    __slots__ = (
        # clients
        "clients",
        "requests",
        "pings",
        "malformed",
        # answers to requests
        "served",
        "rejected",
        "failed",
        "abandoned",
        # attempts, and how they ended
        "attempts",
        "ok",
        "error",
        "attempt_rejected",
        "timeout",
        "connect_failed",
        "reset",
        "cancelled",
        "not_sent",
        "malformed_response",
        "stale_connection",
        "connects",
        # peers
        "messages_in",
        "messages_out",
        "messages_bad",
        # discovery
        "tables",
        "watches",
        # the process
        "faults",
        "batches",
        "reloads",
        "held_up",  # times that the process got no processor for longer than it is made for
        # the quota service
        "quota_service_calls",
        "quota_service_unanswered",
        "quota_service_overflow",
        # operators
        "control_calls",
        "control_rejected",
        "control_malformed",
        "handover_bad",
        "standby_closed",
        # large values
        "streamed",
        "streams_truncated",
        # invariants (`invariants.Invariant`) that did not hold: each is always 0
        "violated_send",
        "violated_repeat",
        "violated_close",
        "violated_start",
        *CLOSE_COUNTERS.values(),
        *REJECT_COUNTERS.values(),
        *RETRY_COUNTERS.values(),
    )

    def __init__(self) -> None:
        """All are 0."""
        for name in self.__slots__:
            setattr(self, name, 0)

    def count_close(self, reason: CloseReason) -> None:
        """Counts the end of a client's connection."""
        self._add(CLOSE_COUNTERS[reason])

    def count_rejection(self, reason: GatewayRejection) -> None:
        """Counts a request that is answered -BUSY."""
        self._add(REJECT_COUNTERS[reason])

    def count_retry(self, reason: RetryReason) -> None:
        """Counts another attempt for a request."""
        self._add(RETRY_COUNTERS[reason])

    def _add(self, name: str) -> None:
        setattr(self, name, getattr(self, name) + 1)

    def line(self, host: Host = HOST) -> str:
        """All counters and what the process used, as a line of the log."""
        counts = {name: getattr(self, name) for name in self.__slots__}
        return "counters " + json.dumps(counts | host.usage())
