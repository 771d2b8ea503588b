"""Types shared by the client and backend connections: a call, its session, and its answer.

They do not depend on the clients' protocol: another protocol needs only its own client connection.
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
    """A client's call, as it is forwarded to a backend."""

    idempotent: bool  # its class may always be retried
    customer: bytes
    id: bytes
    fields: list[bytes]  # name=value
    deadline_field_index: int  # index in `fields` of the client's timeout
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
    retry_after_ms: int = 0  # of a rejection: when the client may retry; 0: no hint
    stream: ValueStream | None = None  # a large value that is streamed; `value` is then empty


FAILED: Final = Answer(AnswerKind.FAILED)
REJECTED: Final = Answer(AnswerKind.REJECTED)


class Client(Protocol):
    """A client connection of any protocol."""

    def answer(self, session: Session, answer: Answer) -> None:
        """Accepts the final answer of one of its sessions."""
        ...

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected, even if this is not read yet; if so, abandons its sessions."""
        ...

    def is_next(self, session: Session) -> bool:
        """Whether no earlier answer of this connection is pending."""
        ...

    def is_only(self, session: Session) -> bool:
        """Whether no other answer of this connection is pending."""
        ...


class ArrivingValue(Protocol):
    """A large value that is buffered because other answers of its client's connection are pending."""

    def forward_value(self) -> None:
        """No other answer is pending any more: forwards the value from now on."""
        ...


class AttemptTarget(Protocol):
    """The part of an attempt's backend that the invariant checks use."""

    address: tuple[str, int]
    ready: bool  # requests may be sent to it
    entry: EndpointEntry | None  # its entry in the endpoint list


class UnsentAttempt(Protocol):
    """The part of `backends.attempt.Attempt` that the check before its first byte uses."""

    session: Session | None
    backend: AttemptTarget
    until_ns: int  # the deadline given to the backend


@dataclass(slots=True)
class SentAttempt:
    """An attempt of which a byte may have been sent, as its session remembers it.

    It does not refer to the session: in a reference cycle, the answer and the body of each request would stay
    in memory until Python's cyclic collector runs.
    """

    backend: AttemptTarget
    sent_ns: int
    may_have_run: bool = False  # the request was written completely and not rejected
    process_known: bool = True  # no other process could listen at the backend's address


class Session:
    """An accepted request; it gets exactly one final answer unless its client disconnects."""

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
        "arriving",
    )

    def __init__(
        self,
        request_id: int,
        call: Call,
        client: Client,
        deadline_ns: int,
        request_class: RequestClass | None = None,
    ) -> None:
        """`request_class` None stands for a class that may always be retried."""
        self.id = request_id
        self.call = call
        self.client = client
        self.deadline_ns = deadline_ns  # monotonic: when the client gives up
        self.request_class = request_class
        self.attempts = 0  # attempts made so far
        self.sent_attempts: list[SentAttempt] = []
        self.last_result: AttemptResult | None = None  # of the attempt that ended last
        self.ended = False  # answered, or abandoned by its client
        self.reply: bytes | ValueStream | None = (
            None  # encoded for the client; None: not answered, or written
        )
        self.arriving: ArrivingValue | None = None  # may become its answer

    def end(self) -> None:
        """It is answered or abandoned: nothing more is sent, so its body is freed.

        The answer may still wait for those of earlier commands, and the session with it.
        """
        self.ended = True
        self.call.body = None
