"""What the gateway took in, sent and answered; printed on SIGUSR1 and at the end."""

from __future__ import annotations

import json

from .host import HOST, Host


class Counters:
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
        "keeper_calls",
        "keeper_unanswered",
        "keeper_full",
        "control_calls",
        "control_no",
        "control_bad",
        "handover_bad",
        "standby_closed",
        "streamed",
        "streams_cut",
    )

    def __init__(self) -> None:
        for name in self.__slots__:
            setattr(self, name, 0)

    def line(self, host: Host = HOST) -> str:
        counts = {name: getattr(self, name) for name in self.__slots__}
        return "counters " + json.dumps(counts | host.usage())
