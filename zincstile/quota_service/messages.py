"""Calls to the quota service, and the heartbeats between gateways."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from .settings import COUNTER_LIFETIME_MS

MAX_TOTALS: Final = 8  # in a peer heartbeat, so that its datagram has at most 64 bytes


@dataclass(slots=True)
class CounterCall:
    """A call to the quota service: add `amount` units to the counter `name`.

    `on_answer(now, total)` is called exactly once; `total` is None if no total arrived in time.
    """

    name: str
    amount: float
    on_answer: Callable[[int, float | None], None]
    ttl_ms: int = COUNTER_LIFETIME_MS


@dataclass(frozen=True, slots=True)
class HeartbeatCall:
    """A heartbeat to the quota service: add 1 to the counter `name`.

    `counter_number` is passed to `FailureDetector.heartbeat_answered` together with the answer.
    """

    name: str
    counter_number: int


@dataclass(frozen=True, slots=True)
class PeerHeartbeat:
    """A gateway's report about its quota service to its peers. Times are on the gateways' common clock."""

    sender: int
    sent_ns: int
    trusts_service: bool
    counter_number: int  # the heartbeat counter that returned the totals; -1 before the first answer
    totals: tuple[int, ...]  # the latest totals that the sender's heartbeats returned
    last_answer_ns: int = 0  # when the last of them arrived
