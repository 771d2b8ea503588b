"""The listening socket of the clients, and the connections that it has accepted."""

from __future__ import annotations

import socket

from ...decisions.settings import Settings
from ..accept import Acceptor, Taken
from ..deadlines import every
from ..dispatcher import Dispatcher
from ..host import Host
from ..reasons import CloseReason, RefusalReason
from ..session import Session
from .call_reader import CallReader
from .connection import ClientConnection


class ClientListener:
    """The listening socket and all clients that came in by it."""

    def __init__(self, dispatcher: Dispatcher, settings: Settings, buffer: memoryview, host: Host) -> None:
        self.dispatcher, self.buffer, self.host, self.counters = dispatcher, buffer, host, dispatcher.counters
        self.reader = CallReader(settings, dispatcher.limits.margin_ns, dispatcher.limits.id_bytes)
        self.open: dict[bytes, Session] = {}  # by the id that the client gave
        self.ready = False
        self.heard_ns = 0  # the last call
        self.closing = False  # every connection is closed as soon as nothing is owed on it
        self.over = False  # too late for any request to be sent on: what still comes is refused
        self.standby = False  # by an operator: PING says no, and connections are closed when nothing is owed
        self.clients: dict[ClientConnection, None] = {}
        self._socket: socket.socket | None = None
        self._listening = False
        self.inherited = False
        self._resumed_ns = 0  # when connections were last taken again, or first
        self._acceptor = Acceptor(dispatcher, lambda: ClientConnection(self))

    def listen(self, address: tuple[str, int], inherited: int | None = None) -> None:
        """On the address, or on the socket that the platform hands down, which an old process shares."""
        self.inherited = inherited is not None
        self._socket = (
            self.host.inherit(inherited)
            if self.inherited
            else self.host.listen(address, self.dispatcher.limits.backlog)
        )
        self._resume()  # a shared queue is left to the old process until this one is ready: see `take`
        every(self.dispatcher, self.dispatcher.limits.tend_ns, self._tend)

    def _tend(self) -> None:
        now = self.dispatcher.now_ns()
        for client in list(self.clients):
            client.tend(now)

    @property
    def address(self) -> str:
        return "{}:{}".format(*self._socket.getsockname()[:2])

    @property
    def opened(self) -> bool:
        """It listens, or has."""
        return self._socket is not None or self.closing

    def refusal(self) -> RefusalReason | None:
        """Why no request is taken at present."""
        if not self.ready:
            return RefusalReason.NOT_READY
        if self.over:
            return RefusalReason.OVER
        full = len(self.dispatcher.sessions) >= self.dispatcher.limits.sessions
        return RefusalReason.SESSIONS if full else None

    def take(self) -> None:
        """Ready: connections are taken from now on, also from a queue shared with an old process."""
        self.ready = True
        self._resume()

    def _resume(self, _: object = None) -> None:
        may = self._socket is not None and not self.closing and (self.ready or not self.inherited)
        if may and not self._listening:
            self._listening = True
            self._resumed_ns = self.dispatcher.now_ns()
            self.dispatcher.loop.add_reader(self._socket.fileno(), self._take_queued)

    def _pause(self) -> None:
        if self._socket is not None and self._listening:
            self._listening = False
            self.dispatcher.loop.remove_reader(self._socket.fileno())

    def _take_queued(self) -> bool:
        """Takes what waits in the queue, as much as one turn may. True: it was found empty."""
        for _ in range(self.dispatcher.limits.accepts):
            held = len(self.clients) + self._acceptor.coming
            if held >= self.dispatcher.limits.frontend_connections and not self._make_room():
                # Guards against running out of descriptors: the rest waits in the backlog until one is free.
                self.dispatcher.log.often(
                    "full",
                    f"{len(self.clients)} client connections {self._kinds()}: " "taking no more for now",
                )
                self._take_later(self.dispatcher.limits.newcomer_ns)
                return False
            taken = self._acceptor.take(self._socket)
            if taken is Taken.NONE:
                return True
            if taken is Taken.LACK:
                self._make_room()
                self._take_later(self.dispatcher.limits.backoff_ns)
                return False
        return False

    def _take_later(self, after_ns: int) -> None:
        """Guards the processor against a queue that says at every look that something waits."""
        self._pause()
        if not self.closing:
            self.dispatcher.deadlines.add(self.dispatcher.now_ns() + after_ns, self._resume)
            self.dispatcher.wake()

    def _kinds(self) -> str:
        count = dict.fromkeys(("asking", "resting", "silent", "half", "ending"), 0)
        for client in self.clients:
            count[client.kind] += 1
        return "({})".format(", ".join(f"{n} {kind}" for kind, n in count.items()))

    def _make_room(self) -> bool:
        """Closes the client connection that has rested longest: first of those whose end was sent, then of
        those that never asked, then of those that asked once, which crowds of clients leave behind, and at
        last, after a longer rest, of those used again and again. Each is spared for a while: its next request
        may be on its way, or its last answer."""
        now, limits = self.dispatcher.now_ns(), self.dispatcher.limits
        for c in self.clients:
            if c.lingers and now - c.ended_ns > limits.newcomer_ns and not c.transport.is_closing():
                return c.give_way()
        least = (limits.newcomer_ns, limits.newcomer_ns, limits.spare_ns)
        resting = [
            (min(c.asked, 2), c.rested_ns, k, c)
            for k, c in enumerate(self.clients)
            if now - c.rested_ns > least[min(c.asked, 2)] and c.idle
        ]
        return any(c.give_way() for *_, c in sorted(resting))

    def done(self, session: Session) -> None:
        if self.open.get(session.call.id) is session:
            del self.open[session.call.id]

    def joined(self, client: ClientConnection) -> None:
        self.clients[client] = None
        # it may have come, and asked, while none were taken: before this process, on an inherited queue
        client.may_have_waited = (
            self.dispatcher.now_ns() - self._resumed_ns < self.dispatcher.limits.newcomer_ns
        )
        client._from_old_queue = client.may_have_waited and self.inherited

    def left(self, client: ClientConnection) -> None:
        self.clients.pop(client, None)
        if not self.closing:
            self._resume()

    def shut(self, take_queued: bool = True) -> None:
        """Takes no more connections, and closes each one when nothing is owed on it. take_queued: what the
        machine has accepted is taken first; not where another process shares the socket and takes it."""
        self.closing = True
        if take_queued:
            self._empty_queue(None)
        else:
            self._close_listening()
        self.close_idle()

    def _empty_queue(self, _: object) -> None:
        """Takes all that the machine has accepted, then closes the socket: what waits behind would be reset
        with it. Where the machine lacks descriptors for them it is tried again; the end of the process ends
        that."""
        while self._socket is not None:
            if self._take_queued():
                self._close_listening()
            elif not self._listening:
                self.dispatcher.deadlines.add(
                    self.dispatcher.now_ns() + self.dispatcher.limits.backoff_ns, self._empty_queue
                )
                self.dispatcher.wake()
                return

    def _close_listening(self) -> None:
        if self._socket is not None:
            self._pause()
            self._socket.close()
            self._socket = None

    def set_standby(self, standby: bool) -> None:
        """The front asks PING every 0.1 s and stops sending new connections soon after a no; clients keep
        what they have. So each connection is closed once nothing is owed on it, and one that rests closed
        after `standby_rest_ns`, so that none is held idle when the front counts. Requests that still come
        are served."""
        self.standby = standby
        if standby:
            self.counters.standby_closed += self.close_idle(CloseReason.STANDBY)

    def fit(self) -> None:
        """The limits have become narrower: connections that rest are closed as where new ones need room."""
        while len(self.clients) > self.dispatcher.limits.frontend_connections and self._make_room():
            pass

    def close_idle(self, reason: CloseReason = CloseReason.STOP) -> int:
        """All that rest; how many. Spared for a moment are those that came last and have not asked: what they
        came for is on its way."""
        now, least = self.dispatcher.now_ns(), self.dispatcher.limits.newcomer_ns
        return sum(
            [
                client.close_if_idle(reason)
                for client in list(self.clients)
                if client.asked or now - client.rested_ns > least
            ]
        )

    @property
    def empty(self) -> bool:
        """No connection is open, on its way, or waits to be taken."""
        return not self.clients and not self._acceptor.coming and self._socket is None
