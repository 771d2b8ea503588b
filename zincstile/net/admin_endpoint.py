"""The operators' HTTP endpoint: HTTP/1.1 at the configured `control` address, one request per connection.

Requests are parsed by `admin.http` and answered by `admin.operator_state`; `apply` carries out their changes
in the gateway. A response is written in the loop iteration in which its request became complete, unless it
waits for the handover file.

Guards against callers that connect and send nothing or half a request: each is answered 408 and closed after
a timeout, and beyond the maximum of connections the oldest is closed, so that the next caller gets a
response.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Final

from ..admin.http import Request, RequestError, RequestLimits, RequestParser, Status, encode_response
from ..admin.operator_state import OperatorChange, OperatorReply, OperatorState
from .acceptor import Acceptor, AcceptResult
from .config import Address
from .deadlines import run_every
from .dispatcher import Dispatcher
from .handover_file import HandoverFile
from .host import Host

# Changes that outlast the process: they are confirmed once the handover file holds them.
LASTING_CHANGES: Final = (OperatorChange.MAINTENANCE_ENTER, OperatorChange.MAINTENANCE_EXIT)
FIRST_ERROR_STATUS: Final = 400
CHECKS_PER_TIMEOUT: Final = 4  # a late request is found within a quarter of its timeout


class AdminConnection(asyncio.BufferedProtocol):
    """One caller's connection, which carries one request and one response."""

    __slots__ = ("_endpoint", "_transport", "_parser", "opened_ns", "_finished", "request_complete")

    def __init__(self, endpoint: AdminEndpoint) -> None:
        """Starts the timeout of the request."""
        self._endpoint = endpoint
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(endpoint.request_limits)
        self.opened_ns = endpoint.dispatcher.now_ns()
        self._finished = False
        self.request_complete = False  # the request is applied, and its response waits for the file

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection at the endpoint (asyncio.BaseProtocol)."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._endpoint.add(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer that all connections share (asyncio.BufferedProtocol)."""
        return self._endpoint.buffer

    def buffer_updated(self, size: int) -> None:
        """Parses the received bytes (asyncio.BufferedProtocol)."""
        if self._finished or self.request_complete:
            return
        try:
            request = self._parser.feed(bytes(self._endpoint.buffer[:size]))
        except RequestError as err:
            self._endpoint.dispatcher.counters.control_malformed += 1
            self.finish(err.status, str(err))
            return
        if request is not None:
            self._answer(request)

    def _answer(self, request: Request) -> None:
        endpoint = self._endpoint
        reply = endpoint.handle_request(request)
        if reply.change in LASTING_CHANGES and not endpoint.handover.saved:
            self.request_complete = True
            endpoint.wait_until_saved(self, reply)
        else:
            self.finish(reply.status, reply.text)

    def finish(self, status: Status, text: str) -> None:
        """Writes the response and closes; does nothing once a response was written."""
        if self._finished or self._transport is None:
            return
        self._finished = True
        counters = self._endpoint.dispatcher.counters
        counters.control_calls += 1
        if status >= FIRST_ERROR_STATUS:
            counters.control_rejected += 1
        self._transport.write(encode_response(status, text))
        self._transport.close()

    def eof_received(self) -> bool:
        """Answers an incomplete request with an error (asyncio.BufferedProtocol)."""
        if not self._finished and not self.request_complete:
            self.finish(Status.BAD_REQUEST, "the call ended before it was whole")
        return False

    def connection_lost(self, err: Exception | None) -> None:
        """Removes the connection from the endpoint (asyncio.BaseProtocol)."""
        self._finished = True
        self._endpoint.remove(self)


class AdminEndpoint:
    """Owns the operators' listening socket and the connections of its callers."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        state: OperatorState,
        handover: HandoverFile,
        host: Host,
        *,
        apply: Callable[[OperatorReply], None],
        is_ready: Callable[[], bool],
    ) -> None:
        """apply: carries out the change of a request. is_ready: whether the process accepts clients."""
        self.dispatcher = dispatcher
        self.handover = handover
        self._state = state
        self._host = host
        self._apply = apply
        self._is_ready = is_ready
        limits = dispatcher.limits
        self.request_limits = RequestLimits(limits.line_bytes, limits.header_lines, limits.line_bytes)
        self.buffer = memoryview(bytearray(limits.line_bytes))  # each read is copied out at once
        self._connections: dict[AdminConnection, None] = {}  # the oldest first
        self._unsaved: dict[AdminConnection, OperatorReply] = {}  # responses that wait for the file
        self._socket: socket.socket | None = None
        self._acceptor = Acceptor(dispatcher, lambda: AdminConnection(self))
        handover.on_saved = self._answer_saved

    @property
    def address(self) -> str:
        """HOST:PORT of the listening socket, `-` where there is none."""
        return "{}:{}".format(*self._socket.getsockname()[:2]) if self._socket else "-"

    # ---- listening

    def open(self, address: Address) -> None:
        """Starts to listen. Raises OSError if the address can't be bound.

        Uses the backlog of the clients' socket: when a backlog is full, the kernel drops new connections and
        a caller's TCP retries only after 1 s, which is as long as a response may take.
        """
        self._socket = self._host.listen(address, self.dispatcher.limits.backlog)
        self._resume_accepting(None)
        run_every(
            self.dispatcher,
            self.dispatcher.limits.admin_request_timeout_ns // CHECKS_PER_TIMEOUT,
            self._close_timed_out,
        )

    def close(self) -> None:
        """Closes the listening socket; open connections stay."""
        if self._socket is not None:
            self.dispatcher.loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _accept(self) -> None:
        """Accepts at most the maximum of connections in one iteration of the loop.

        Surplus connections are answered between iterations, so that many callers at once use at most twice
        the endpoint's maximum of descriptors.
        """
        if self._socket is None:
            return
        for _ in range(self.dispatcher.limits.admin_connections):
            result = self._acceptor.accept(self._socket)
            if result is AcceptResult.EXHAUSTED:
                self._pause_accepting(self._socket)
            if result in (AcceptResult.QUEUE_EMPTY, AcceptResult.EXHAUSTED):
                return

    def _pause_accepting(self, listening: socket.socket) -> None:
        """Pauses while the machine lacks descriptors or memory, so that the loop doesn't spin."""
        self.dispatcher.loop.remove_reader(listening.fileno())
        retry_ns = self.dispatcher.now_ns() + self.dispatcher.limits.backoff_ns
        self.dispatcher.deadlines.add(retry_ns, self._resume_accepting)
        self.dispatcher.wake()

    def _resume_accepting(self, _: object) -> None:
        if self._socket is not None:
            self.dispatcher.loop.add_reader(self._socket.fileno(), self._accept)

    # ---- connections

    def add(self, connection: AdminConnection) -> None:
        """Adds a connection; beyond the maximum, answers and closes the oldest."""
        self._connections[connection] = None
        if len(self._connections) > self.dispatcher.limits.admin_connections:
            oldest = next(iter(self._connections))
            oldest.finish(Status.SERVICE_UNAVAILABLE, "too many callers at once")

    def remove(self, connection: AdminConnection) -> None:
        """Removes a closed connection."""
        self._connections.pop(connection, None)
        self._unsaved.pop(connection, None)

    def _close_timed_out(self) -> None:
        now_ns = self.dispatcher.now_ns()
        for connection in list(self._connections):
            age_ns = now_ns - connection.opened_ns
            if age_ns >= self.dispatcher.limits.admin_request_timeout_ns and not connection.request_complete:
                self.dispatcher.counters.control_malformed += 1
                connection.finish(Status.REQUEST_TIMEOUT, "no whole call in time")

    # ---- requests

    def handle_request(self, request: Request) -> OperatorReply:
        """Answers a request and applies its change; an unexpected exception fails it alone, with 500."""
        try:
            self.handover.refresh()  # earlier changes by another process come first
            reply = self._state.handle(request, ready=self._is_ready())
            self._apply(reply)
        except Exception as err:
            self.dispatcher.counters.faults += 1
            self.dispatcher.log.line_limited("control", f"unexpected {type(err).__name__}: {err}")
            return OperatorReply(Status.INTERNAL_SERVER_ERROR, "fault")
        return reply

    def wait_until_saved(self, connection: AdminConnection, reply: OperatorReply) -> None:
        """Delays a response until the handover file holds the change; after a timeout it becomes an error.

        In either case this process applies the change from the request on.
        """
        self._unsaved[connection] = reply
        until_ns = self.dispatcher.now_ns() + self.dispatcher.limits.handover_save_timeout_ns
        self.dispatcher.deadlines.add(until_ns, self._fail_unsaved, connection)
        self.dispatcher.wake()

    def _answer_saved(self) -> None:
        unsaved = self._unsaved
        self._unsaved = {}
        for connection, reply in unsaved.items():
            connection.finish(reply.status, reply.text)

    def _fail_unsaved(self, connection: AdminConnection) -> None:
        reply = self._unsaved.pop(connection, None)
        if reply is not None:
            text = f"{reply.text}, but not kept over a restart: it can't be written for now"
            connection.finish(Status.SERVICE_UNAVAILABLE, text)
