"""What goes to the quota service and between gateways: counter calls, and heartbeats of peers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from .settings import COUNTER_LIFETIME_MS

MAX_TOTALS: Final = 8  # latest totals in a peer heartbeat: its datagram stays at 64 bytes


@dataclass(slots=True)
class CounterCall:
    """A call to the quota service: add `amount` units to the counter `name`.

    Whoever carries it out calls `on_answer(now, total)` once, with None where no total came in time.
    """

    name: str
    amount: float
    on_answer: Callable[[int, float | None], None]
    ttl_ms: int = COUNTER_LIFETIME_MS


@dataclass(frozen=True, slots=True)
class HeartbeatCall:
    """The heartbeat that is due: add 1 to the counter `name`; the answer has to bear `counter_number`."""

    name: str
    counter_number: int


@dataclass(frozen=True, slots=True)
class PeerHeartbeat:
    """What a gateway sends its peers of its quota service. Times by the gateways' common clock."""

    sender: int
    sent_ns: int
    trusts_service: bool
    counter_number: int  # of the heartbeat counter that the totals are of; -1: none yet
    totals: tuple[int, ...]  # the latest answers to its own heartbeats
    last_answer_ns: int = 0  # when the last of these came
