"""One connection of the clients to a gateway, and the interface of its owner."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable
from typing import Final, NamedTuple, Protocol

from . import codec
from .client_requests import Outcome, Request
from .observer import Observer

PAYLOAD: Final = b"x" * 40  # body of a call that is not idempotent
ERROR_TEXT_LENGTH: Final = 60  # reported characters of an unexpected answer
REJECTION_PREFIX: Final = "-BUSY"


class ConnectionOwner(Protocol):
    """What a connection needs from the load balancer that opened it."""

    loop: asyncio.AbstractEventLoop
    observer: Observer

    def next_connection_number(self) -> int:
        """Returns a number that no other connection has."""

    def connection_opened(self, connection: ClientConnection) -> None:
        """Called when the connection is established."""

    def connection_idle(self, connection: ClientConnection) -> None:
        """Called when the connection has no unanswered request."""

    def connection_closed(self, connection: ClientConnection, pending: Iterable[Request]) -> None:
        """Called when the connection was lost; `pending` are its unanswered requests."""

    def finish(self, request: Request, outcome: Outcome, retry_after_ms: int = 0) -> None:
        """Called with the outcome of a request."""


class Answer(NamedTuple):
    """A gateway's answer as interpreted by a client."""

    outcome: Outcome
    value: bytes = b""
    retry_after_ms: int = 0


class ClientConnection(asyncio.Protocol):
    """One connection to a gateway; answers arrive in the order of the requests."""

    def __init__(self, owner: ConnectionOwner, gateway: str) -> None:
        """Creates the protocol of a connection to the gateway named `gateway`."""
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
        """Notifies the owner."""
        self.transport = transport  # type: ignore[assignment]
        self.owner.connection_opened(self)

    @property
    def usable(self) -> bool:
        """Whether requests can be sent: not closed, as far as the client knows, and no PING is unanswered."""
        return not self.closed and self._pong is None and not self.transport.is_closing()

    def ping(self, pong: asyncio.Future) -> None:
        """Sends PING; sets `pong` to the reply, or to None if the connection is lost first."""
        self._pong = pong
        self._write(codec.encode_command(b"PING"))

    def _write(self, data: bytes) -> None:
        self._bytes_written += len(data)
        self.transport.write(data)

    def send(self, request: Request) -> None:
        """Sends a request with its client's remaining time as timeout."""
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
        """Aborts the connection if the request is still pending, and with it all requests on it."""
        if request in self.pending:
            self.transport.abort()
            pending, self.pending = self.pending, deque()
            self.closed = True
            for one in pending:
                self.owner.observer.client_disconnected(one.sent.id)
                self.owner.finish(one, Outcome.DISCONNECTED)

    def data_received(self, data: bytes) -> None:
        """Handles the replies that the data completes; resets the connection on a malformed reply."""
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
        """Lets asyncio close the transport; `connection_lost` does the cleanup."""
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        """Returns the unanswered requests to the owner, whether the gateway closed, died or was cut off."""
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
    """Returns the answer in a reply; in an array it is the first element."""
    if isinstance(reply, list) and reply:
        reply = reply[0]
    if isinstance(reply, bytes):
        return Answer(Outcome.SERVED, value=reply)
    if isinstance(reply, str) and reply.startswith(REJECTION_PREFIX):
        return Answer(Outcome.REJECTED, retry_after_ms=int(reply[len(REJECTION_PREFIX) + 1 :] or 0))
    return Answer(Outcome.FAILED)
