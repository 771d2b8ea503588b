"""What a protocol's frontend and backend code share: a call, the session that owes its answer, the answer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from ..decisions.messages import AttemptResult, EndpointEntry
from ..decisions.settings import RequestClass


@dataclass(slots=True)
class Call:
    """What a client asked for, as it has to go on."""

    repeatable: bool  # of a class that is safe to repeat
    customer: bytes
    id: bytes
    fields: list[bytes]  # name=value
    wait_at: int  # place of the field that says how long the answer is waited for
    body: bytes | None


class Kind(Enum):
    SERVED = 0
    DENIED = 1
    FAILED = 2


@dataclass(slots=True)
class Answer:
    kind: Kind
    value: bytes = b""
    retry_ms: int = 0
    stream: Stream | None = None  # a large value, passed on as it comes; `value` is then empty


class Stream:
    """A value passed on as it comes, from one backend connection to one client connection, so that its first
    bytes go out at once and no more of it is held than the client has not read.

    The backend side pushes pieces and marks it whole, or cut; the client side takes the pieces. Each side
    tells the other by the object it hands in: `writer.poke()` where there is more to write, `reader.more()`
    where what is held was taken, `reader.abandon()` where the client left."""

    __slots__ = ("pieces", "pending", "whole", "cut", "reader", "writer")

    def __init__(self, reader: object) -> None:
        self.pieces: list[bytes] = []
        self.pending = 0  # bytes pushed and not yet taken
        self.whole = self.cut = False
        self.reader: object = reader
        self.writer: object | None = None

    def push(self, data: bytes) -> None:
        self.pieces.append(data)
        self.pending += len(data)
        self._poke()

    def end(self, cut: bool) -> None:
        if not self.whole and not self.cut:
            self.whole, self.cut = not cut, cut
            self._poke()

    def take(self) -> list[bytes]:
        pieces, self.pieces, self.pending = self.pieces, [], 0
        self.reader.more()  # type: ignore[attr-defined]
        return pieces

    def abandon(self) -> None:
        if not self.whole and not self.cut:
            self.cut = True
            self.reader.abandon()  # type: ignore[attr-defined]

    def _poke(self) -> None:
        if self.writer is not None:
            self.writer.poke()  # type: ignore[attr-defined]


FAILED = Answer(Kind.FAILED)
DENIED = Answer(Kind.DENIED)


class Frontend(Protocol):
    """A client's connection, of whatever protocol."""

    def answer(self, session: Session, answer: Answer) -> None: ...

    def gone(self) -> bool:
        """The client has left, though its end may lie unread; then its sessions are left too."""
        ...


class SentTo(Protocol):
    """A backend server, as far as an attempt on it has to be known here."""

    address: tuple[str, int]
    ready: bool  # it may be sent to
    entry: EndpointEntry | None  # as it is listed


class Sending(Protocol):
    """An attempt, as far as its session has to know it: `backends.attempt.Attempt`."""

    session: Session | None
    backend: SentTo
    sent_ns: int
    until_ns: int  # what the server is told of its client's time
    may_have_run: bool


class Session:
    """A request that was taken: it gets exactly one final answer, or its client has left."""

    __slots__ = (
        "id",
        "call",
        "frontend",
        "give_up_ns",
        "spec",
        "attempts",
        "carried",
        "last_result",
        "over",
        "reply",
    )

    def __init__(
        self,
        number: int,
        call: Call,
        frontend: Frontend,
        give_up_ns: int,
        spec: RequestClass | None = None,
    ) -> None:
        self.id, self.call, self.frontend, self.give_up_ns = number, call, frontend, give_up_ns
        self.spec = spec  # of its class; none: it is as one that is safe to repeat
        self.attempts = 0  # made so far
        self.carried: list[Sending] = []  # of these, the ones whose first byte may have left
        self.last_result: AttemptResult | None = None  # of the attempt that ended last
        self.over = False
        self.reply: bytes | Stream | None = None
