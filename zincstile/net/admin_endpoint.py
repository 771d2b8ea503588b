"""The operators' HTTP endpoint: HTTP/1.1 at the configuration's `control` address, one request a connection.

Requests are parsed by `admin.http` and answered by `admin.operator_state`; what they change is handed to the
gateway by `apply`. Every response is written in the loop's iteration in which its request became complete.

Guards against callers that send nothing or half a request and stay: each is answered 408 and closed when its
time is up, and where there are as many as the limits allow, the oldest is closed, so that the next caller
gets its answer.
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

# What holds in later processes too: a yes to it waits until it is in the hand-over file.
LASTING_CHANGES: Final = (OperatorChange.MAINTENANCE_ENTER, OperatorChange.MAINTENANCE_EXIT)
FIRST_ERROR_STATUS: Final = 400
CHECKS_PER_TIMEOUT: Final = 4  # a request that is too late is found within a quarter of its time


class AdminConnection(asyncio.BufferedProtocol):
    """One caller's connection: one request, one response, and its end."""

    __slots__ = ("_endpoint", "_transport", "_parser", "opened_ns", "_finished", "request_complete")

    def __init__(self, endpoint: AdminEndpoint) -> None:
        """Starts the time within which the request has to be complete."""
        self._endpoint = endpoint
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(endpoint.request_limits)
        self.opened_ns = endpoint.dispatcher.now_ns()
        self._finished = False
        self.request_complete = False  # its request is carried out, and its yes has to wait

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Joins the endpoint's connections (asyncio.BaseProtocol)."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._endpoint.add(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the one buffer of all callers (asyncio.BufferedProtocol)."""
        return self._endpoint.buffer

    def buffer_updated(self, size: int) -> None:
        """Takes what was read (asyncio.BufferedProtocol)."""
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
        """Writes the response and closes; the first one counts."""
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
        """Answers half a request at its end: nothing more will come (asyncio.BufferedProtocol)."""
        if not self._finished and not self.request_complete:
            self.finish(Status.BAD_REQUEST, "the call ended before it was whole")
        return False

    def connection_lost(self, err: Exception | None) -> None:
        """Leaves the endpoint's connections (asyncio.BaseProtocol)."""
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
        """apply: carries out what a request changes. is_ready: the process takes clients."""
        self.dispatcher = dispatcher
        self.handover = handover
        self._state = state
        self._host = host
        self._apply = apply
        self._is_ready = is_ready
        limits = dispatcher.limits
        self.request_limits = RequestLimits(limits.line_bytes, limits.header_lines, limits.line_bytes)
        self.buffer = memoryview(bytearray(limits.line_bytes))  # each read is taken out of it at once
        self._connections: dict[AdminConnection, None] = {}  # the oldest first
        self._unsaved: dict[AdminConnection, OperatorReply] = {}  # a yes that is not in the file yet
        self._socket: socket.socket | None = None
        self._acceptor = Acceptor(dispatcher, lambda: AdminConnection(self))
        handover.on_saved = self._answer_saved

    @property
    def address(self) -> str:
        """HOST:PORT of the listening socket, `-` where there is none."""
        return "{}:{}".format(*self._socket.getsockname()[:2]) if self._socket else "-"

    # ---- listening

    def open(self, address: Address) -> None:
        """Listens from now on; raises OSError where the address can't be had.

        With the clients' backlog: where one is full, the machine drops what comes, and a caller's own machine
        tries again only after 1 s, which is as long as a response may take.
        """
        self._socket = self._host.listen(address, self.dispatcher.limits.backlog)
        self._resume_accepting(None)
        run_every(
            self.dispatcher,
            self.dispatcher.limits.admin_request_timeout_ns // CHECKS_PER_TIMEOUT,
            self._close_late,
        )

    def close(self) -> None:
        """Listens no more; the connections go on."""
        if self._socket is not None:
            self.dispatcher.loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _accept(self) -> None:
        """Takes as many in one iteration of the loop as may be connected.

        Each that is too many is answered in the iterations between, so that a crowd of callers costs no more
        descriptors than the endpoint may hold and as many again.
        """
        if self._socket is None:
            return
        for _ in range(self.dispatcher.limits.admin_connections):
            taken = self._acceptor.accept(self._socket)
            if taken is AcceptResult.EXHAUSTED:
                self._pause_accepting(self._socket)
            if taken in (AcceptResult.QUEUE_EMPTY, AcceptResult.EXHAUSTED):
                return

    def _pause_accepting(self, listening: socket.socket) -> None:
        """Waits where the machine lacks descriptors or memory; else the loop would spin."""
        self.dispatcher.loop.remove_reader(listening.fileno())
        retry_ns = self.dispatcher.now_ns() + self.dispatcher.limits.backoff_ns
        self.dispatcher.deadlines.add(retry_ns, self._resume_accepting)
        self.dispatcher.wake()

    def _resume_accepting(self, _: object) -> None:
        if self._socket is not None:
            self.dispatcher.loop.add_reader(self._socket.fileno(), self._accept)

    # ---- connections

    def add(self, connection: AdminConnection) -> None:
        """Takes a connection in; answers the oldest where there are too many."""
        self._connections[connection] = None
        if len(self._connections) > self.dispatcher.limits.admin_connections:
            oldest = next(iter(self._connections))
            oldest.finish(Status.SERVICE_UNAVAILABLE, "too many callers at once")

    def remove(self, connection: AdminConnection) -> None:
        """Forgets a connection that has ended."""
        self._connections.pop(connection, None)
        self._unsaved.pop(connection, None)

    def _close_late(self) -> None:
        now_ns = self.dispatcher.now_ns()
        for connection in list(self._connections):
            age_ns = now_ns - connection.opened_ns
            if age_ns >= self.dispatcher.limits.admin_request_timeout_ns and not connection.request_complete:
                self.dispatcher.counters.control_malformed += 1
                connection.finish(Status.REQUEST_TIMEOUT, "no whole call in time")

    # ---- requests

    def handle_request(self, request: Request) -> OperatorReply:
        """Answers a request and applies what it changes; a fault fails this request alone, with 500."""
        try:
            self.handover.refresh()  # what another process was asked for goes before
            reply = self._state.handle(request, ready=self._is_ready())
            self._apply(reply)
        except Exception as err:
            self.dispatcher.counters.faults += 1
            self.dispatcher.log.line_limited("control", f"fault: {type(err).__name__}: {err}")
            return OperatorReply(Status.INTERNAL_SERVER_ERROR, "fault")
        return reply

    def wait_until_saved(self, connection: AdminConnection, reply: OperatorReply) -> None:
        """Holds a yes back until it is in the hand-over file; it is a no where that takes too long.

        What was asked for holds in this process from the request on, either way.
        """
        self._unsaved[connection] = reply
        until_ns = self.dispatcher.now_ns() + self.dispatcher.limits.handover_save_timeout_ns
        self.dispatcher.deadlines.add(until_ns, self._give_up, connection)
        self.dispatcher.wake()

    def _answer_saved(self) -> None:
        unsaved = self._unsaved
        self._unsaved = {}
        for connection, reply in unsaved.items():
            connection.finish(reply.status, reply.text)

    def _give_up(self, connection: AdminConnection) -> None:
        reply = self._unsaved.pop(connection, None)
        if reply is not None:
            text = f"{reply.text}, but not kept over a restart: it can't be written for now"
            connection.finish(Status.SERVICE_UNAVAILABLE, text)
