"""One attempt of a request, and the backend that it goes to."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from ...decisions.messages import EndpointEntry
from ..deadlines import DeadlineKey
from ..session import SentAttempt, Session
from ..value_stream import ValueStream


class Connection(Protocol):
    """A connection to a backend, as seen by attempts and backends."""

    attempt: Attempt | None
    stream: ValueStream | None
    last_received_ns: int
    waits_for_memory: bool  # the answer is not read until there is memory for it

    @property
    def request_written(self) -> bool:
        """Whether the last byte of the request has left this process."""
        ...

    def drop(self) -> None:
        """Closes the connection without reporting an outcome for its attempt."""
        ...


class Attempt:
    """One attempt to forward a session's call; without a session it is a health check.

    Times are monotonic, in nanoseconds.
    """

    __slots__ = (
        "session",
        "number",
        "backend",
        "sent_ns",
        "until_ns",
        "write_deadline_ns",
        "deadline",
        "connection",
        "write_started",
        "outcome_reported",
        "sent",
    )

    def __init__(
        self,
        session: Session | None,
        number: int,
        backend: Backend,
        sent_ns: int,
        until_ns: int,
        write_deadline_ns: int,
    ) -> None:
        """Creates an attempt that has not been sent."""
        self.session = session
        self.number = number  # index among the attempts of its session
        self.backend = backend
        self.sent_ns = sent_ns
        self.until_ns = until_ns  # deadline of the attempt
        self.write_deadline_ns = write_deadline_ns  # the request has to be written completely by then
        self.deadline: DeadlineKey | None = None
        self.connection: Connection | None = None
        self.outcome_reported = False  # of a value that is forwarded: before its end, as its client is slow
        self.write_started = False  # the first byte of the request may have been sent
        self.sent = SentAttempt(backend, sent_ns)  # what the session keeps of it


@dataclass(slots=True, eq=False)
class Backend:
    """One listed backend process; exists while it has connections or attempts that wait for one."""

    id: int
    address: tuple[str, int]
    started_ns: int
    ready: bool  # accepts new attempts
    idle: list[Connection] = field(default_factory=list)  # least recently used first
    queued: dict[Attempt, None] = field(default_factory=dict)  # attempts that wait for their connection
    connections: int = 0  # includes connections that are still being opened
    entry: EndpointEntry | None = None  # as last listed by discovery
