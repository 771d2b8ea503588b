"""What the gateway took in, sent and answered; printed on SIGUSR1 and at the end."""

from __future__ import annotations

import json
from typing import Final

from .host import HOST, Host
from .reasons import CloseReason, RefusalReason, RetryReason

CLOSED = {reason: f"close_{reason.value}" for reason in CloseReason}
REFUSED = {reason: f"refuse_{reason.value}" for reason in RefusalReason}
RETRIED = {reason: f"retry_{reason.value}" for reason in RetryReason}
# Printed under their names of before, by which the testbed's stored results hold them.
PRINTED_NAMES: Final = {
    "quota_service_calls": "keeper_calls",
    "quota_service_unanswered": "keeper_unanswered",
    "quota_service_overflow": "keeper_full",
}


class Counters:
    """All of one process, by name; whole numbers."""

    __slots__ = (
        "clients",
        "requests",
        "pings",
        "malformed",
        "served",
        "denied",
        "failed",
        "left",
        "attempts",
        "ok",
        "error",
        "full",
        "timeout",
        "connect_failed",
        "reset",
        "cancelled",
        "moot",
        "spoilt",
        "stale",
        "connects",
        "messages_in",
        "messages_out",
        "messages_bad",
        "tables",
        "watches",
        "faults",
        "turns",
        "reloads",
        "quota_service_calls",
        "quota_service_unanswered",
        "quota_service_overflow",
        "control_calls",
        "control_no",
        "control_bad",
        "handover_bad",
        "standby_closed",
        "streamed",
        "streams_cut",
        "held_up",  # times that the process got no processor for longer than it is made for
        "violated_send",  # invariants (`invariants.Invariant`): each is nought, always
        "violated_repeat",
        "violated_close",
        "violated_start",
        *CLOSED.values(),
        *REFUSED.values(),
        *RETRIED.values(),
    )

    def __init__(self) -> None:
        for name in self.__slots__:
            setattr(self, name, 0)

    def closed(self, reason: CloseReason) -> None:
        """A client's connection has ended."""
        self._add(CLOSED[reason])

    def refused(self, reason: RefusalReason) -> None:
        """A request is answered -BUSY."""
        self._add(REFUSED[reason])

    def retried(self, reason: RetryReason) -> None:
        """A request has a further attempt."""
        self._add(RETRIED[reason])

    def _add(self, name: str) -> None:
        setattr(self, name, getattr(self, name) + 1)

    def line(self, host: Host = HOST) -> str:
        """All of them, and what the process used, as a line of the log."""
        counts = {PRINTED_NAMES.get(name, name): getattr(self, name) for name in self.__slots__}
        return "counters " + json.dumps(counts | host.usage())
