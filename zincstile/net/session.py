"""What a protocol's frontend and backend code share: a call, the session that owes its answer, the answer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


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


FAILED = Answer(Kind.FAILED)
DENIED = Answer(Kind.DENIED)


class Frontend(Protocol):
    """A client's connection, of whatever protocol."""

    def answer(self, session: Session, answer: Answer) -> None: ...


class Session:
    """A request that was taken: it gets exactly one final answer, or its client has left."""

    __slots__ = ("id", "call", "frontend", "give_up_ns", "attempts", "over", "reply")

    def __init__(self, number: int, call: Call, frontend: Frontend, give_up_ns: int) -> None:
        self.id, self.call, self.frontend, self.give_up_ns = number, call, frontend, give_up_ns
        self.attempts = 0  # made so far
        self.over = False
        self.reply: bytes | None = None
