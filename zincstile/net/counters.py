"""Counters of requests, attempts, messages and errors; logged on SIGUSR1 and at the end."""

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
        "held_up",  # times that the process got no CPU for longer than `process_stall_ns`
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
        "buffered",  # values buffered because other requests waited behind them
        "buffer_waits",  # of these, the ones that waited for memory
        # violations of invariants (`invariants.Invariant`): 0 unless there is a defect
        "violated_send",
        "violated_repeat",
        "violated_close",
        "violated_start",
        *CLOSE_COUNTERS.values(),
        *REJECT_COUNTERS.values(),
        *RETRY_COUNTERS.values(),
    )

    def __init__(self) -> None:
        """Sets all counters to 0."""
        for name in self.__slots__:
            setattr(self, name, 0)

    def count_close(self, reason: CloseReason) -> None:
        """Counts a closed client connection."""
        self._add(CLOSE_COUNTERS[reason])

    def count_rejection(self, reason: GatewayRejection) -> None:
        """Counts a request that is answered -BUSY."""
        self._add(REJECT_COUNTERS[reason])

    def count_retry(self, reason: RetryReason) -> None:
        """Counts a further attempt for a request."""
        self._add(RETRY_COUNTERS[reason])

    def _add(self, name: str) -> None:
        setattr(self, name, getattr(self, name) + 1)

    def line(self, host: Host = HOST) -> str:
        """Returns the log line with all counters and the resource usage of the process."""
        counts = {name: getattr(self, name) for name in self.__slots__}
        return "counters " + json.dumps(counts | host.usage())
