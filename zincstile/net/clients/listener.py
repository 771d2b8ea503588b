"""The listening socket for clients and its accepted connections."""

from __future__ import annotations

import socket
from collections import Counter
from typing import Final

from ...decisions.settings import Settings
from .. import resp
from ..acceptor import Acceptor, AcceptResult
from ..deadlines import run_every
from ..dispatcher import Dispatcher
from ..host import Host
from ..reasons import CloseReason, GatewayRejection
from ..session import Session
from .call_reader import CallReader
from .connection import ClientConnection
from .connection_types import ConnectionState
from .eviction import evict_one
from .request_ids import RequestIds

# Answers to PING; after an error the front balancer sends new connections elsewhere.
STANDBY_ANSWER: Final = resp.encode_error("standby")
NOT_READY_ANSWER: Final = resp.encode_error("not ready")


class ClientListener:
    """Accepts clients while descriptors are free; closes connections when idle or at shutdown."""

    def __init__(
        self, dispatcher: Dispatcher, settings: Settings, read_buffer: memoryview, host: Host
    ) -> None:
        """`read_buffer` is shared by all connections, which read one at a time."""
        self.dispatcher = dispatcher
        self.read_buffer = read_buffer
        self.host = host
        self.counters = dispatcher.counters
        self.reader = CallReader(settings, dispatcher.limits.request_transit_ns, dispatcher.limits.id_bytes)
        self.request_ids = RequestIds()
        self.clients: dict[ClientConnection, None] = {}  # in the order in which they connected
        self.last_request_ns = 0
        self.ready = False  # requests are accepted
        self.closing = False  # each connection is closed once it has no unanswered request
        self.rejects_all = False  # the process ends too soon to serve any request
        self.standby = (
            False  # set by an operator: PING gets an error, connections are closed as for `closing`
        )
        self.inherited = False  # the platform passed the socket; an old process may share it
        self._socket: socket.socket | None = None
        self._accepting = False
        self._queue_emptied_ns: int | None = None  # since accepting was last started
        self._acceptor = Acceptor(dispatcher, lambda: ClientConnection(self))

    # ---- the socket

    def listen(self, address: tuple[str, int], inherited: int | None = None) -> None:
        """Listens on the address, or on the inherited socket with that descriptor. Raises OSError.

        An old process may share an inherited socket: it accepts alone until `start_serving` is called here.
        """
        self.inherited = inherited is not None
        if inherited is not None:
            self._socket = self.host.inherit_socket(inherited)
        else:
            self._socket = self.host.listen(address, self.dispatcher.limits.backlog)
        self._resume_accepting()
        run_every(self.dispatcher, self.dispatcher.limits.connection_check_interval_ns, self._check_timeouts)

    @property
    def address(self) -> str:
        """HOST:PORT of the socket."""
        return "{}:{}".format(*self._socket.getsockname()[:2])

    @property
    def has_listened(self) -> bool:
        """Whether the gateway listens or has listened."""
        return self._socket is not None or self.closing

    @property
    def is_empty(self) -> bool:
        """Whether no connection is open, being set up, or queued."""
        return not self.clients and not self._acceptor.pending and self._socket is None

    def count_receiving(self) -> int:
        """Returns the number of clients that still receive a value or other output."""
        return sum(client.is_receiving for client in self.clients)

    def start_serving(self) -> None:
        """The gateway is ready: starts to accept requests, and connections of an inherited socket."""
        self.ready = True
        self._resume_accepting()

    def _resume_accepting(self, _: object = None) -> None:
        can_accept = self._socket is not None and not self.closing and (self.ready or not self.inherited)
        if can_accept and not self._accepting:
            self._accepting = True
            self._queue_emptied_ns = None
            self.dispatcher.loop.add_reader(self._socket.fileno(), self._accept_queued)

    def _pause_accepting(self) -> None:
        if self._socket is not None and self._accepting:
            self._accepting = False
            self.dispatcher.loop.remove_reader(self._socket.fileno())

    def _accept_queued(self) -> bool:
        """Accepts queued connections up to the limit per batch; returns True if the queue was emptied."""
        limits = self.dispatcher.limits
        for _ in range(limits.accepts_per_iteration):
            connection_count = len(self.clients) + self._acceptor.pending
            if connection_count >= limits.frontend_connections and not self._evict_one():
                # Further connections stay in the backlog until a descriptor is free.
                self.dispatcher.log.line_limited(
                    "full", f"{self._describe_clients()}: accepting paused until a descriptor is free"
                )
                self._pause_accepting_for(limits.new_client_grace_ns)
                return False
            result = self._acceptor.accept(self._socket)
            if result is AcceptResult.QUEUE_EMPTY:
                if self._queue_emptied_ns is None:
                    self._queue_emptied_ns = self.dispatcher.now_ns()
                return True
            if result is AcceptResult.EXHAUSTED:
                self._evict_one()
                self._pause_accepting_for(limits.backoff_ns)
                return False
        return False

    def _pause_accepting_for(self, wait_ns: int) -> None:
        """Pauses accepting: the event loop would report the socket readable in each iteration and use CPU."""
        self._pause_accepting()
        if not self.closing:
            self.dispatcher.deadlines.add(self.dispatcher.now_ns() + wait_ns, self._resume_accepting)
            self.dispatcher.wake()

    def _describe_clients(self) -> str:
        counts = Counter(client.state for client in self.clients)
        states = ", ".join(f"{counts[state]} {state.value}" for state in ConnectionState)
        return f"{len(self.clients)} client connections ({states})"

    # ---- called by the connections

    def ping_answer(self) -> bytes:
        """Returns the encoded answer to PING."""
        if self.standby:
            return STANDBY_ANSWER
        return resp.PONG if self.ready and not self.rejects_all else NOT_READY_ANSWER

    def rejection_reason(self) -> GatewayRejection | None:
        """Returns why requests are rejected at present; None if they are accepted."""
        if not self.ready:
            return GatewayRejection.NOT_READY
        if self.rejects_all:
            return GatewayRejection.STOPPING
        full = len(self.dispatcher.sessions) >= self.dispatcher.limits.sessions
        return GatewayRejection.SESSION_LIMIT if full else None

    def on_request_ended(self, session: Session) -> None:
        """The request was answered or abandoned."""
        self.request_ids.end(session)

    def on_connected(self, client: ClientConnection) -> None:
        """Adds a connection that has its transport."""
        self.clients[client] = None
        # It may have connected and sent a request while accepting was paused, on an inherited socket even
        # before this process started
        may_have_waited = self._queue_emptied_ns is None
        if not may_have_waited:
            limits, emptied_ns = self.dispatcher.limits, self._queue_emptied_ns
            grace_ns = limits.new_client_grace_ns + limits.process_stall_ns
            may_have_waited = self.dispatcher.now_ns() - emptied_ns < grace_ns
        client.reading.input_age.may_have_waited = may_have_waited
        client.from_inherited_queue = may_have_waited and self.inherited

    def on_disconnected(self, client: ClientConnection) -> None:
        """Removes a closed connection; accepting may resume."""
        self.clients.pop(client, None)
        if not self.closing:
            self._resume_accepting()

    # ---- closing connections

    def _check_timeouts(self) -> None:
        now = self.dispatcher.now_ns()
        for client in list(self.clients):
            client.check_timeouts(now)

    def _evict_one(self) -> bool:
        return evict_one(self.clients, self.dispatcher.now_ns(), self.dispatcher.limits)

    def shrink_to_limits(self) -> None:
        """Evicts connections until their number is within the limits, which were lowered."""
        while len(self.clients) > self.dispatcher.limits.frontend_connections and self._evict_one():
            pass

    def set_standby(self, *, standby: bool) -> None:
        """Takes the gateway out of the front balancer's rotation, or puts it back.

        The balancer sends PING every 0.1 s and no new connections soon after an error, but clients keep their
        open ones. So each connection is closed once its requests are answered, and an idle one after
        `standby_idle_timeout_ns`, so that none is idle when the balancer counts them. New requests are
        still served.
        """
        self.standby = standby
        if standby:
            self.counters.standby_closed += self.close_idle(CloseReason.STANDBY)

    def close_idle(self, reason: CloseReason = CloseReason.SHUTDOWN) -> int:
        """Closes all idle connections and returns their number.

        New connections without a command are kept for a moment, as their first command may be in transit.
        """
        now, min_idle_ns = self.dispatcher.now_ns(), self.dispatcher.limits.new_client_grace_ns
        closed = 0
        for client in list(self.clients):
            if client.command_count or now - client.idle_since_ns > min_idle_ns:
                closed += client.close_if_idle(reason)
        return closed

    def shut_down(self, *, accept_queued: bool = True) -> None:
        """Stops accepting, and closes each connection once its requests are answered.

        With `accept_queued`, queued connections are accepted first. Not to be set if another process shares
        the socket and accepts them.
        """
        self.closing = True
        if accept_queued:
            self._accept_all_queued(None)
        else:
            self._close_socket()
        self.close_idle()

    def _accept_all_queued(self, _: object) -> None:
        """Accepts all queued connections, then closes the socket; closing resets those left in the queue.

        If descriptors are exhausted, it is tried again until the process ends.
        """
        while self._socket is not None:
            if self._accept_queued():
                self._close_socket()
            elif not self._accepting:
                at_ns = self.dispatcher.now_ns() + self.dispatcher.limits.backoff_ns
                self.dispatcher.deadlines.add(at_ns, self._accept_all_queued)
                self.dispatcher.wake()
                return

    def _close_socket(self) -> None:
        if self._socket is not None:
            self._pause_accepting()
            self._socket.close()
            self._socket = None
