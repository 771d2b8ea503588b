"""The last events of a gateway in a bounded ring, written to the log only when something is wrong.

There is one entry for each step of a request (received, sent, outcome, answered, abandoned) and for each end
of a connection. Nothing is formatted on the path of a request; `describe` formats the entries that led to a
fault.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import Final, NamedTuple

RING_ENTRIES: Final = 2048  # the last requests of all clients, in bounded memory
DESCRIBED_ENTRIES: Final = 24  # a request has fewer; more lines would bury the fault in the log


class Step(Enum):
    """What an entry is about; the values are the names in the log."""

    RECEIVED = "received"
    REJECTED = "rejected"
    SENT = "sent"
    OUTCOME = "outcome"
    ANSWERED = "answered"
    ABANDONED = "abandoned"
    CLOSED = "closed"
    STATE = "state"  # of the gateway: ready, standby, stop, a list, maintenance


class Entry(NamedTuple):
    """One event."""

    at_ns: int  # monotonic
    step: Step
    subject: bytes | str | int  # the client's id of the request, or what else it is about
    detail: object


class Trace:
    """The ring of entries."""

    __slots__ = ("_ring",)

    def __init__(self, entries: int = RING_ENTRIES) -> None:
        """`entries`: the most that it holds."""
        # Plain tuples with the fields of an Entry: an Entry is made only when it is described.
        self._ring: deque[tuple[int, Step, bytes | str | int, object]] = deque(maxlen=entries)

    def __len__(self) -> int:
        """How many entries it holds."""
        return len(self._ring)

    def record(self, at_ns: int, step: Step, subject: bytes | str | int, detail: object = "") -> None:
        """Adds an entry; the oldest is dropped where the ring is full."""
        self._ring.append((at_ns, step, subject, detail))

    def describe(self, now_ns: int, subject: bytes | str | int | None = None) -> list[str]:
        """The last entries as lines, oldest first: of one subject and of the gateway's state, or all.

        Each line begins with how many milliseconds before now the event was.
        """
        chosen = [
            entry
            for entry in map(Entry._make, self._ring)
            if subject is None or entry.subject == subject or entry.step is Step.STATE
        ]
        return [_line(now_ns, entry) for entry in chosen[-DESCRIBED_ENTRIES:]]


def _line(now_ns: int, entry: Entry) -> str:
    subject, detail = entry.subject, entry.detail
    if isinstance(subject, bytes):
        subject = subject.decode("latin-1")
    if isinstance(detail, Enum):
        detail = detail.value
    before_ms = (now_ns - entry.at_ns) / 1e6
    return f"-{before_ms:.3f}ms {entry.step.value} {subject} {detail}".rstrip()
