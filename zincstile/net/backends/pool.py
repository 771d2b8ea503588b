"""The listed backends and the pool of connections to them."""

from __future__ import annotations

from collections.abc import Callable

from ...decisions.messages import EndpointState
from ..deadlines import run_every
from ..discovery.messages import ListedEndpoint
from ..dispatcher import Dispatcher
from .attempt import Attempt, Backend
from .connection import BackendConnection


def _ignore_withdrawal(_: Attempt) -> None:
    """Without attempts nothing waits for a connection."""


class ConnectionPool:
    """Knows which backends are listed, holds all connections to them, and closes those idle for long.

    A `Backend` record exists only while there is a connection to the backend, or an attempt waits for one:
    most backends of a long list are never connected to.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        """An empty pool; idle connections are looked at from here on."""
        self.dispatcher = dispatcher
        self.listed: dict[int, ListedEndpoint] = {}  # by id, as discovery last sent them
        self.backends: dict[int, Backend] = {}  # of those listed, the ones with a record
        self.connections: set[BackendConnection] = set()  # those that are not up yet included
        self.idle: dict[BackendConnection, None] = {}  # of these, in the order in which they became idle
        self.on_withdrawn: Callable[[Attempt], None] = (
            _ignore_withdrawal  # gets what must not be sent any more
        )
        run_every(dispatcher, dispatcher.limits.backend_idle_timeout_ns // 8, self.close_expired)

    # ---- listed backends

    def update(self, endpoints: list[ListedEndpoint], *, complete: bool) -> None:
        """Takes over an endpoint list (`complete`), or a change of it."""
        if complete:
            received = {entry.id for entry, _ in endpoints}
            for backend_id in [known for known in self.listed if known not in received]:
                self._remove(backend_id)
        for listed in endpoints:
            entry, address = listed
            if entry.state is EndpointState.REMOVED:
                self._remove(entry.id)
                continue
            self.listed[entry.id] = listed
            backend = self.backends.get(entry.id)
            if backend is None:
                continue
            if (backend.address, backend.started_ns) != (address, entry.started_ns):
                self._retire(backend)  # another process: connections to the old one lead nowhere
                continue
            backend.ready = entry.state is EndpointState.READY
            backend.entry = entry
            if not backend.ready:
                self.withdraw(backend)

    def _remove(self, backend_id: int) -> None:
        self.listed.pop(backend_id, None)
        backend = self.backends.get(backend_id)
        if backend is not None:
            self._retire(backend)

    def _retire(self, backend: Backend) -> None:
        """Forgets a backend. Connections that still carry an attempt end with it."""
        backend.ready = False
        del self.backends[backend.id]
        self.withdraw(backend)

    def withdraw(self, backend: Backend) -> None:
        """Gives up the attempts that wait for a connection to a backend, and closes its idle connections."""
        # Rule 3: nothing is begun at a backend that drains or is gone, nor at a restarted one, which is cold.
        for attempt in list(backend.queued):
            self.on_withdrawn(attempt)
        self.close_idle_of(backend)

    def ready_backend(self, backend_id: int) -> Backend | None:
        """The record of a backend that takes attempts now, made where there is none yet; else None."""
        backend = self.backends.get(backend_id)
        if backend is None:
            listed = self.listed.get(backend_id)
            if listed is None or listed.entry.state is not EndpointState.READY:
                return None
            entry, address = listed
            backend = Backend(backend_id, address, entry.started_ns, ready=True, entry=entry)
            self.backends[backend_id] = backend
        return backend if backend.ready else None

    def forget_if_unused(self, backend: Backend) -> None:
        """Forgets the record of a backend without connections, for which no attempt waits either."""
        if not backend.connections and self.backends.get(backend.id) is backend:
            del self.backends[backend.id]

    # ---- connections

    def add(self, connection: BackendConnection) -> None:
        """Counts a connection from the moment at which it is asked for."""
        self.connections.add(connection)
        connection.backend.connections += 1

    def remove(self, connection: BackendConnection) -> None:
        """Forgets a connection that is closed, or never came up."""
        if connection in self.connections:
            self.connections.remove(connection)
            connection.backend.connections -= 1
            self.forget_if_unused(connection.backend)

    def on_connection_lost(self, connection: BackendConnection) -> None:
        """A connection that was up has ended."""
        if connection in self.idle:
            self._remove_idle(connection)
        self.remove(connection)

    def take_reusable(self, backend: Backend, now_ns: int) -> BackendConnection | None:
        """Takes the idle connection to a backend that was used last and can carry another attempt."""
        for connection in reversed(backend.idle):  # the current one may be removed on the way
            # A second answer may come some milliseconds late: it must not be taken for the next request's.
            if connection.reusable_from_ns <= now_ns:
                self._remove_idle(connection)
                if connection.has_no_unread_data:
                    return connection
                connection.transport.abort()
        return None

    def add_idle(self, connection: BackendConnection, *, unused: bool = False) -> None:
        """Keeps a connection for further attempts, or closes it where its backend takes none.

        `unused`: it has carried nothing, so that nothing can come behind an answer.
        """
        backend = connection.backend
        if self.backends.get(backend.id) is not backend or not backend.ready:
            connection.transport.close()
            return
        now_ns = self.dispatcher.now_ns()
        connection.idle_since_ns = now_ns
        connection.reusable_from_ns = (
            now_ns if unused else now_ns + self.dispatcher.limits.surplus_answer_wait_ns
        )
        backend.idle.append(connection)
        self.idle[connection] = None

    def _remove_idle(self, connection: BackendConnection) -> None:
        connection.backend.idle.remove(connection)
        del self.idle[connection]

    def close_idle(self, connection: BackendConnection) -> None:
        """Closes one idle connection."""
        self._remove_idle(connection)
        connection.transport.close()

    def close_idle_of(self, backend: Backend) -> None:
        """Closes all idle connections to a backend."""
        for connection in backend.idle.copy():
            self.close_idle(connection)

    def close_oldest_idle(self) -> bool:
        """Closes the connection that has been idle for longest, at any backend; False where none is idle."""
        oldest = next(iter(self.idle), None)
        if oldest is None:
            return False
        self.close_idle(oldest)
        return True

    def close_expired(self) -> None:
        """Closes what has been idle for long, before the backend does it beneath a request."""
        now_ns = self.dispatcher.now_ns()
        idle_ns = self.dispatcher.limits.backend_idle_timeout_ns
        while (oldest := next(iter(self.idle), None)) and now_ns - oldest.idle_since_ns > idle_ns:
            self.close_idle(oldest)
