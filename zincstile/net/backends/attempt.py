"""One attempt of a request, and the backend that it goes to."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from ...decisions.messages import EndpointEntry
from ..deadlines import DeadlineKey
from ..session import Session
from ..value_stream import ValueStream


class Connection(Protocol):
    """A connection to a backend, as far as attempts and backends have to know it."""

    attempt: Attempt | None
    stream: ValueStream | None
    last_received_ns: int

    @property
    def request_written(self) -> bool:
        """Whether the last byte of the request has left this process."""
        ...

    def drop(self) -> None:
        """Closes the connection without an outcome of the attempt that it carries."""
        ...


class Attempt:
    """One attempt of a session's call; without a session it is a health check.

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
        "may_have_run",
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
        """An attempt that is not sent yet."""
        self.session = session
        self.number = number  # among the attempts of its session, from 0
        self.backend = backend
        self.sent_ns = sent_ns
        self.until_ns = until_ns  # it is given up then
        self.write_deadline_ns = write_deadline_ns  # its last byte is written by then, or never
        self.deadline: DeadlineKey | None = None
        self.connection: Connection | None = None
        self.write_started = False  # its first byte may have left
        self.may_have_run = False  # its last byte is written, and it was not rejected


@dataclass(slots=True, eq=False)
class Backend:
    """One process in the endpoint list, while there is a connection to it or an attempt waits for one."""

    id: int
    address: tuple[str, int]
    started_ns: int
    ready: bool  # new attempts may go to it
    idle: list[Connection] = field(default_factory=list)  # the last used comes last
    queued: dict[Attempt, None] = field(default_factory=dict)  # these wait for a connection of their own
    connections: int = 0  # those that are not up yet included
    entry: EndpointEntry | None = None  # as it is listed
