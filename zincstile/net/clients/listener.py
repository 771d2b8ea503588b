"""The listening socket of the clients, and the connections that it has accepted."""

from __future__ import annotations

import socket
from collections import Counter
from typing import Final

from ...decisions.settings import Settings
from .. import resp
from ..acceptor import Acceptor, AcceptResult
from ..deadlines import every
from ..dispatcher import Dispatcher
from ..host import Host
from ..reasons import CloseReason, GatewayRejection
from ..session import Session
from .call_reader import CallReader
from .connection import ClientConnection, ConnectionState
from .eviction import evict_one

STANDBY_ANSWER: Final = resp.error("standby")  # to PING: the front sends new connections elsewhere
NOT_READY_ANSWER: Final = resp.error("not ready")


class ClientListener:
    """Accepts clients while there is room, and closes their connections when they are idle or it stops."""

    def __init__(self, dispatcher: Dispatcher, settings: Settings, buffer: memoryview, host: Host) -> None:
        """`buffer`: all connections read into it, one at a time."""
        self.dispatcher = dispatcher
        self.buffer = buffer
        self.host = host
        self.counters = dispatcher.counters
        self.reader = CallReader(settings, dispatcher.limits.request_transit_ns, dispatcher.limits.id_bytes)
        self.open_requests: dict[bytes, Session] = {}  # by the id that the client gave
        self.clients: dict[ClientConnection, None] = {}  # in the order in which they connected
        self.last_request_ns = 0
        self.ready = False  # requests are taken
        self.closing = False  # each connection is closed as soon as nothing is owed on it
        self.rejects_all = False  # too late before the end of the process for any request
        self.standby = False  # by an operator: no new clients, connections closed as for `closing`
        self.inherited = False  # the socket is the platform's, and an old process may share it
        self._socket: socket.socket | None = None
        self._accepting = False
        self._resumed_ns = 0  # when accepting began, or began again
        self._acceptor = Acceptor(dispatcher, lambda: ClientConnection(self))

    # ---- the socket

    def listen(self, address: tuple[str, int], inherited: int | None = None) -> None:
        """Listens on the address, or on the socket with that descriptor, which an old process may share.

        A shared queue is left to the old process until this one serves: see `start_serving`. Raises OSError.
        """
        self.inherited = inherited is not None
        if inherited is not None:
            self._socket = self.host.inherit_socket(inherited)
        else:
            self._socket = self.host.listen(address, self.dispatcher.limits.backlog)
        self._resume()
        every(self.dispatcher, self.dispatcher.limits.connection_check_interval_ns, self._check_timeouts)

    @property
    def address(self) -> str:
        """HOST:PORT of the socket."""
        return "{}:{}".format(*self._socket.getsockname()[:2])

    @property
    def has_listened(self) -> bool:
        """It listens, or has."""
        return self._socket is not None or self.closing

    @property
    def is_empty(self) -> bool:
        """No connection is open, on its way, or waits to be accepted."""
        return not self.clients and not self._acceptor.pending and self._socket is None

    def start_serving(self) -> None:
        """The gateway is ready: requests are taken, also from a queue that an old process shares."""
        self.ready = True
        self._resume()

    def _resume(self, _: object = None) -> None:
        may = self._socket is not None and not self.closing and (self.ready or not self.inherited)
        if may and not self._accepting:
            self._accepting = True
            self._resumed_ns = self.dispatcher.now_ns()
            self.dispatcher.loop.add_reader(self._socket.fileno(), self._accept_queued)

    def _pause(self) -> None:
        if self._socket is not None and self._accepting:
            self._accepting = False
            self.dispatcher.loop.remove_reader(self._socket.fileno())

    def _accept_queued(self) -> bool:
        """Accepts what waits in the queue, as much as one batch may; True: the queue was found empty."""
        limits = self.dispatcher.limits
        for _ in range(limits.accepts_per_iteration):
            held = len(self.clients) + self._acceptor.pending
            if held >= limits.frontend_connections and not self._evict_one():
                # The rest waits in the backlog until a descriptor is free.
                self.dispatcher.log.line_limited(
                    "full", f"{self._describe_clients()}: accepting no more for now"
                )
                self._resume_after(limits.new_client_grace_ns)
                return False
            result = self._acceptor.accept(self._socket)
            if result is AcceptResult.QUEUE_EMPTY:
                return True
            if result is AcceptResult.EXHAUSTED:
                self._evict_one()
                self._resume_after(limits.backoff_ns)
                return False
        return False

    def _resume_after(self, wait_ns: int) -> None:
        """Pauses: the queue would say at every look that something waits, and cost the processor."""
        self._pause()
        if not self.closing:
            self.dispatcher.deadlines.add(self.dispatcher.now_ns() + wait_ns, self._resume)
            self.dispatcher.wake()

    def _describe_clients(self) -> str:
        counts = Counter(client.state for client in self.clients)
        states = ", ".join(f"{counts[state]} {state.value}" for state in ConnectionState)
        return f"{len(self.clients)} client connections ({states})"

    # ---- what the connections ask

    def ping_answer(self) -> bytes:
        """The answer to PING, as it is written."""
        if self.standby:
            return STANDBY_ANSWER
        return resp.PONG if self.ready and not self.rejects_all else NOT_READY_ANSWER

    def rejection_reason(self) -> GatewayRejection | None:
        """Why no request is taken for now."""
        if not self.ready:
            return GatewayRejection.NOT_READY
        if self.rejects_all:
            return GatewayRejection.STOPPING
        full = len(self.dispatcher.sessions) >= self.dispatcher.limits.sessions
        return GatewayRejection.SESSIONS if full else None

    def on_request_ended(self, session: Session) -> None:
        """A request was answered or abandoned: its id may be used again."""
        if self.open_requests.get(session.call.id) is session:
            del self.open_requests[session.call.id]

    def on_connected(self, client: ClientConnection) -> None:
        """A connection has its transport."""
        self.clients[client] = None
        # It may have come, and asked, while none were accepted: before this process, on an inherited queue
        since_ns = self.dispatcher.now_ns() - self._resumed_ns
        client.may_have_waited = since_ns < self.dispatcher.limits.new_client_grace_ns
        client.from_inherited_queue = client.may_have_waited and self.inherited

    def on_disconnected(self, client: ClientConnection) -> None:
        """A connection is closed: there is room for another."""
        self.clients.pop(client, None)
        if not self.closing:
            self._resume()

    # ---- closing connections

    def _check_timeouts(self) -> None:
        now = self.dispatcher.now_ns()
        for client in list(self.clients):
            client.check_timeouts(now)

    def _evict_one(self) -> bool:
        return evict_one(self.clients, self.dispatcher.now_ns(), self.dispatcher.limits)

    def shrink_to_limits(self) -> None:
        """The limits have become narrower: idle connections are closed as where new ones need room."""
        while len(self.clients) > self.dispatcher.limits.frontend_connections and self._evict_one():
            pass

    def set_standby(self, *, standby: bool) -> None:
        """Takes the gateway out of the front's rotation, or back.

        The front asks PING every 0.1 s and stops sending new connections soon after a no, but clients keep
        what they have. So each connection is closed once nothing is owed on it, and an idle one after
        `standby_idle_timeout_ns`, so that none is idle when the front counts. Requests that still come are
        served.
        """
        self.standby = standby
        if standby:
            self.counters.standby_closed += self.close_idle(CloseReason.STANDBY)

    def close_idle(self, reason: CloseReason = CloseReason.STOP) -> int:
        """Closes all idle connections; returns how many.

        Those that came last and have not asked are spared for a moment: what they came for is on its way.
        """
        now, least_ns = self.dispatcher.now_ns(), self.dispatcher.limits.new_client_grace_ns
        closed = 0
        for client in list(self.clients):
            if client.commands or now - client.idle_since_ns > least_ns:
                closed += client.close_if_idle(reason)
        return closed

    def shut_down(self, *, accept_queued: bool = True) -> None:
        """Accepts no more connections, and closes each one when nothing is owed on it.

        `accept_queued`: what waits in the queue is accepted first; not where another process shares the
        socket and accepts it.
        """
        self.closing = True
        if accept_queued:
            self._drain_queue(None)
        else:
            self._close_socket()
        self.close_idle()

    def _drain_queue(self, _: object) -> None:
        """Accepts all that waits, then closes the socket: what is left in the queue would be reset with it.

        Where the machine lacks descriptors it is tried again, until the end of the process.
        """
        while self._socket is not None:
            if self._accept_queued():
                self._close_socket()
            elif not self._accepting:
                at_ns = self.dispatcher.now_ns() + self.dispatcher.limits.backoff_ns
                self.dispatcher.deadlines.add(at_ns, self._drain_queue)
                self.dispatcher.wake()
                return

    def _close_socket(self) -> None:
        if self._socket is not None:
            self._pause()
            self._socket.close()
            self._socket = None
