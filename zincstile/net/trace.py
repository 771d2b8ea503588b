"""The last events of a gateway in a bounded ring, told only when something is wrong.

One entry for each step of a request (come, sent, outcome, answered, left) and each end of a connection. No
line of it is written on the way of a request; `tell` gives the entries that led to a fault.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import Final, NamedTuple

RING_ENTRIES: Final = 2048
TOLD_ENTRIES: Final = 24  # of the ring, in one telling


class Step(Enum):
    """What an entry is about."""

    COME = "come"
    REFUSED = "refused"
    SENT = "sent"
    OUTCOME = "outcome"
    ANSWERED = "answered"
    LEFT = "left"
    CLOSED = "closed"
    STATE = "state"  # of the gateway: ready, standby, stop, a list, maintenance


class Entry(NamedTuple):
    """One event. `subject`: the client's id of the request, or what else it is about."""

    at_ns: int  # monotonic
    step: Step
    subject: bytes | str | int
    detail: object


class Trace:
    """The ring. `note` takes what is at hand and formats nothing."""

    __slots__ = ("_ring",)

    def __init__(self, entries: int = RING_ENTRIES) -> None:
        # plain rows in the order of an Entry, which is made of one only when it is told
        self._ring: deque[tuple[int, Step, bytes | str | int, object]] = deque(maxlen=entries)

    def __len__(self) -> int:
        return len(self._ring)

    def note(self, at_ns: int, step: Step, subject: bytes | str | int, detail: object = "") -> None:
        """Adds an entry; the oldest goes where the ring is full."""
        self._ring.append((at_ns, step, subject, detail))

    def tell(self, now_ns: int, subject: bytes | str | int | None = None) -> list[str]:
        """The last entries, oldest first: of one subject and of the gateway's state, or all. Milliseconds
        before now come first in each line."""
        chosen = [
            entry
            for entry in map(Entry._make, self._ring)
            if subject is None or entry.subject == subject or entry.step is Step.STATE
        ]
        return [_line(now_ns, entry) for entry in chosen[-TOLD_ENTRIES:]]


def _line(now_ns: int, entry: Entry) -> str:
    subject, detail = entry.subject, entry.detail
    if isinstance(subject, bytes):
        subject = subject.decode("latin-1")
    if isinstance(detail, Enum):
        detail = detail.value
    before_ms = (now_ns - entry.at_ns) / 1e6
    return f"-{before_ms:.3f}ms {entry.step.value} {subject} {detail}".rstrip()
