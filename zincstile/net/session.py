"""What the clients' side and the backends' side share: a call, the session that owes its answer, the answer.

Nothing here knows a protocol: a second one needs a client connection of its own that makes sessions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final, Protocol

from ..decisions.messages import AttemptResult, EndpointEntry
from ..decisions.settings import RequestClass
from .value_stream import ValueStream


@dataclass(slots=True)
class Call:
    """What a client asked for, as it is forwarded to a backend server."""

    idempotent: bool  # of a class that may always run again
    customer: bytes
    id: bytes
    fields: list[bytes]  # name=value
    deadline_field_index: int  # index in `fields` of the one that says how long the client waits
    body: bytes | None


class AnswerKind(Enum):
    """How a request was answered; the values are the names in the trace."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(slots=True)
class Answer:
    """The final answer to one request."""

    kind: AnswerKind
    value: bytes = b""
    retry_ms: int = 0  # of a rejection: when the client may retry; 0: nothing is said
    stream: ValueStream | None = None  # a large value, passed on as it comes; `value` is then empty


FAILED: Final = Answer(AnswerKind.FAILED)
REJECTED: Final = Answer(AnswerKind.REJECTED)


class Client(Protocol):
    """A client's connection, of whatever protocol."""

    def answer(self, session: Session, answer: Answer) -> None:
        """Takes the final answer of one of its sessions."""
        ...

    def has_disconnected(self) -> bool:
        """The client has left, though its end may not be read yet; then its sessions are abandoned too."""
        ...


class AttemptTarget(Protocol):
    """The backend server of an attempt, as far as the invariants look at it."""

    address: tuple[str, int]
    ready: bool  # requests may be sent to it
    entry: EndpointEntry | None  # its entry in the endpoint list


class SentAttempt(Protocol):
    """An attempt, as far as its session has to know it: `backends.attempt.Attempt`."""

    session: Session | None
    backend: AttemptTarget
    sent_ns: int
    until_ns: int  # the deadline that the server is given
    may_have_run: bool


class Session:
    """A request that was taken: it gets exactly one final answer, or its client has left."""

    __slots__ = (
        "id",
        "call",
        "client",
        "deadline_ns",
        "request_class",
        "attempts",
        "sent_attempts",
        "last_result",
        "ended",
        "reply",
    )

    def __init__(
        self,
        request_id: int,
        call: Call,
        client: Client,
        deadline_ns: int,
        request_class: RequestClass | None = None,
    ) -> None:
        """`request_class`: none stands for a class that may always run again."""
        self.id = request_id
        self.call = call
        self.client = client
        self.deadline_ns = deadline_ns  # monotonic: when the client gives up
        self.request_class = request_class
        self.attempts = 0  # made so far
        self.sent_attempts: list[SentAttempt] = []  # those of which the first byte may have left
        self.last_result: AttemptResult | None = None  # of the attempt that ended last
        self.ended = False  # answered, or abandoned by its client
        self.reply: bytes | ValueStream | None = None  # as it is written; none: not answered
