"""The latest events of a gateway in a ring buffer, written to the log only after a fault.

There is one entry for each step of a request (received, sent, outcome, answered, abandoned) and for each
closed connection. Nothing is formatted while a request is handled; `describe` formats the entries that led
to a fault.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import Final, NamedTuple

RING_ENTRIES: Final = 2048  # a bound on memory, for the latest requests of all clients
DESCRIBED_ENTRIES: Final = 24  # more than a request has; further lines would hide the fault in the log


class Step(Enum):
    """The kind of an entry; the values are the names in the log."""

    RECEIVED = "received"
    REJECTED = "rejected"
    SENT = "sent"
    OUTCOME = "outcome"
    ANSWERED = "answered"
    ABANDONED = "abandoned"
    CLOSED = "closed"
    STATE = "state"  # of the gateway: ready, standby, shutdown, new endpoint list, maintenance


class Entry(NamedTuple):
    """One event."""

    at_ns: int  # monotonic
    step: Step
    subject: bytes | str | int  # the client's id of the request, or another subject
    detail: object


class Trace:
    """The ring buffer of entries."""

    __slots__ = ("_ring",)

    def __init__(self, max_entries: int = RING_ENTRIES) -> None:
        """`max_entries` is the capacity."""
        # Plain tuples with the fields of an Entry; an Entry is made only in `describe`.
        self._ring: deque[tuple[int, Step, bytes | str | int, object]] = deque(maxlen=max_entries)

    def __len__(self) -> int:
        """Returns the number of entries."""
        return len(self._ring)

    def record(self, at_ns: int, step: Step, subject: bytes | str | int, detail: object = "") -> None:
        """Adds an entry; drops the oldest if the ring is full."""
        self._ring.append((at_ns, step, subject, detail))

    def describe(self, now_ns: int, subject: bytes | str | int | None = None) -> list[str]:
        """Formats the latest entries, oldest first: those of one subject and of the gateway's state, or all.

        Each line begins with the age of the event in milliseconds, as a negative number.
        """
        selected = [
            entry
            for entry in map(Entry._make, self._ring)
            if subject is None or entry.subject == subject or entry.step is Step.STATE
        ]
        return [_format_entry(now_ns, entry) for entry in selected[-DESCRIBED_ENTRIES:]]


def _format_entry(now_ns: int, entry: Entry) -> str:
    subject, detail = entry.subject, entry.detail
    if isinstance(subject, bytes):
        subject = subject.decode("latin-1")
    if isinstance(detail, Enum):
        detail = detail.value
    age_ms = (now_ns - entry.at_ns) / 1e6
    return f"-{age_ms:.3f}ms {entry.step.value} {subject} {detail}".rstrip()
