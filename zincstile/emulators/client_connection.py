"""One connection of the clients to a gateway, and what it needs of its owner."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable
from typing import Final, NamedTuple, Protocol

from . import codec
from .client_requests import Outcome, Request
from .observer import Observer

PAYLOAD: Final = b"x" * 40  # body of a call that changes something
ERROR_TEXT_LENGTH: Final = 60  # characters of an unexpected answer that are reported
REJECTION_PREFIX: Final = "-BUSY"


class ConnectionOwner(Protocol):
    """What a connection needs of the load balancer that opened it."""

    loop: asyncio.AbstractEventLoop
    observer: Observer

    def next_connection_number(self) -> int:
        """A number that no connection has had."""

    def connection_opened(self, connection: ClientConnection) -> None:
        """The connection is up."""

    def connection_idle(self, connection: ClientConnection) -> None:
        """Everything on the connection is answered."""

    def connection_closed(self, connection: ClientConnection, pending: Iterable[Request]) -> None:
        """The connection has ended with these requests unanswered."""

    def finish(self, request: Request, outcome: Outcome, retry_after_ms: int = 0) -> None:
        """A request has its outcome."""


class Answer(NamedTuple):
    """A gateway's answer as a client understands it."""

    outcome: Outcome
    value: bytes = b""
    retry_after_ms: int = 0


class ClientConnection(asyncio.Protocol):
    """One connection to a gateway; answers come in the order of the requests."""

    def __init__(self, owner: ConnectionOwner, gateway: str) -> None:
        """Make the protocol of a connection to the gateway of that name."""
        self.owner = owner
        self.gateway = gateway
        self.number = owner.next_connection_number()
        self.transport: asyncio.Transport | None = None
        self.pending: deque[Request] = deque()
        self.closed = False
        self._replies = codec.ReplyParser()
        self._bytes_written = 0
        self._pong: asyncio.Future | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report to the owner."""
        self.transport = transport  # type: ignore[assignment]
        self.owner.connection_opened(self)

    @property
    def usable(self) -> bool:
        """Whether the connection is up, as far as its client knows, and its gateway has answered PING."""
        return not self.closed and self._pong is None and not self.transport.is_closing()

    def ping(self, pong: asyncio.Future) -> None:
        """Send PING; the future gets the reply, or None where the connection ends before."""
        self._pong = pong
        self._write(codec.encode_command(b"PING"))

    def _write(self, data: bytes) -> None:
        self._bytes_written += len(data)
        self.transport.write(data)

    def send(self, request: Request) -> None:
        """Send a request with the time that its client has left."""
        planned, sent = request.planned, request.sent
        waited_ms = int(1000 * (self.owner.loop.time() - request.started_s))
        sent.timeout_ms = max(1, planned.timeout_ms - waited_ms)
        sent.connection = self.number
        self.pending.append(request)
        self._write(_encode_call(request))
        request.end_position = self._bytes_written
        self.owner.observer.request_sent(sent)
        if planned.disconnect_after_s:
            self.owner.loop.call_later(planned.disconnect_after_s, self._disconnect, request)

    def _disconnect(self, request: Request) -> None:
        """The client leaves in the middle of its request, with everything that this connection carries."""
        if request in self.pending:
            self.transport.abort()
            pending, self.pending = self.pending, deque()
            self.closed = True
            for one in pending:
                self.owner.observer.client_disconnected(one.sent.id)
                self.owner.finish(one, Outcome.DISCONNECTED)

    def data_received(self, data: bytes) -> None:
        """Handle the replies that the data completes; reset on what is none."""
        try:
            for reply in self._replies.feed(data):
                self._handle(reply)
        except codec.ProtocolError as err:
            self.owner.observer.unexpected_answer(self.gateway, self.number, str(err))
            self.transport.abort()

    def _handle(self, reply: object) -> None:
        if self._pong is not None:
            pong, self._pong = self._pong, None
            if not pong.done():
                pong.set_result(reply)
            self._check_idle()
            return
        if not self.pending:
            text = str(reply)[:ERROR_TEXT_LENGTH]
            self.owner.observer.unexpected_answer(self.gateway, self.number, text)
            return
        request = self.pending.popleft()
        answer = _parse_answer(reply)
        self.owner.observer.request_answered(request.sent.id, answer.outcome, answer.value)
        self.owner.finish(request, answer.outcome, answer.retry_after_ms)
        self._check_idle()

    def _check_idle(self) -> None:
        if not self.pending and not self.closed:
            self.owner.connection_idle(self)

    def eof_received(self) -> None:
        """Leave the end to `connection_lost`."""
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Hand what is unanswered back. A reset is a gateway that died, or a path that broke."""
        self.closed = True
        if self._pong is not None and not self._pong.done():
            self._pong.set_result(None)
        pending, self.pending = self.pending, deque()
        self.owner.connection_closed(self, pending)


def _encode_call(request: Request) -> bytes:
    planned, sent = request.planned, request.sent
    fields = f"c={planned.request_class},t={planned.plan},d={sent.timeout_ms}"
    if planned.key:
        fields += f",k={planned.key.decode()}"
    fields += f",units={planned.units:g},spread={planned.gateway_count},first={planned.first_gateway}"
    arguments = sent.customer, sent.id, fields.encode()
    if planned.idempotent:
        return codec.encode_command(b"CALL.GET", *arguments)
    return codec.encode_command(b"CALL.POST", *arguments, PAYLOAD)


def _parse_answer(reply: object) -> Answer:
    """The answer in a reply, which may come with others in a list."""
    if isinstance(reply, list) and reply:
        reply = reply[0]
    if isinstance(reply, bytes):
        return Answer(Outcome.SERVED, value=reply)
    if isinstance(reply, str) and reply.startswith(REJECTION_PREFIX):
        return Answer(Outcome.REJECTED, retry_after_ms=int(reply[len(REJECTION_PREFIX) + 1 :] or 0))
    return Answer(Outcome.FAILED)
