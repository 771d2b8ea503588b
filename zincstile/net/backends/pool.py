"""The listed backends, and the pool of connections to them."""

from __future__ import annotations

from collections.abc import Callable

from ...decisions.messages import EndpointState
from ..deadlines import run_every
from ..discovery.messages import ListedEndpoint
from ..dispatcher import Dispatcher
from .attempt import Attempt, Backend
from .connection import BackendConnection


def _ignore_withdrawal(_: Attempt) -> None:
    """Default of `on_withdrawn`: without `Attempts` no attempt is queued."""


class ConnectionPool:
    """Tracks the listed backends and all connections to them, and closes connections that are idle too long.

    A `Backend` record exists only while there is a connection to the backend or an attempt waits for one, as
    most backends of a long list are never connected to.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Creates an empty pool, and starts the periodic check of idle connections."""
        self.dispatcher = dispatcher
        self.listed: dict[int, ListedEndpoint] = {}  # by id, as last listed by discovery
        self.backends: dict[int, Backend] = {}  # listed backends with a record, by id
        self.connections: set[BackendConnection] = set()  # includes connections that are still being opened
        self.idle: dict[BackendConnection, None] = {}  # longest idle first
        # By id, when a backend last ended the last of its connections, unless discovery has listed it since
        self._ended_by_backend_ns: dict[int, int] = {}
        # Called with each queued attempt that must not be sent any more.
        self.on_withdrawn: Callable[[Attempt], None] = _ignore_withdrawal
        run_every(dispatcher, dispatcher.limits.backend_idle_timeout_ns // 8, self.close_expired)

    # ---- listed backends

    def update(self, endpoints: list[ListedEndpoint], *, complete: bool) -> None:
        """Applies an endpoint list (`complete`) or a change of it."""
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
            self._ended_by_backend_ns.pop(entry.id, None)
            backend = self.backends.get(entry.id)
            if backend is None:
                continue
            if (backend.address, backend.started_ns) != (address, entry.started_ns):
                self._retire(backend)  # another process: connections to the old one are useless
                continue
            backend.ready = entry.state is EndpointState.READY
            backend.entry = entry
            if not backend.ready:
                self.withdraw(backend)

    def _remove(self, backend_id: int) -> None:
        self.listed.pop(backend_id, None)
        self._ended_by_backend_ns.pop(backend_id, None)
        backend = self.backends.get(backend_id)
        if backend is not None:
            self._retire(backend)

    def _retire(self, backend: Backend) -> None:
        """Removes a backend. Connections that carry an attempt close when it ends."""
        backend.ready = False
        del self.backends[backend.id]
        self.withdraw(backend)

    def withdraw(self, backend: Backend) -> None:
        """Withdraws the attempts that wait for a connection to a backend, and closes its idle connections."""
        # Rule 3: no attempt starts at a backend that drains, is gone, or was restarted and so is cold.
        for attempt in list(backend.queued):
            self.on_withdrawn(attempt)
        self.close_idle_of(backend)

    def ready_backend(self, backend_id: int) -> Backend | None:
        """Returns the record of a backend that accepts attempts, creating it if needed; else None."""
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
        """Removes the record of a backend that has no connection and no waiting attempt."""
        if not backend.connections and self.backends.get(backend.id) is backend:
            del self.backends[backend.id]

    def _on_all_ended(self, backend: Backend) -> None:
        """A backend has ended the last of its connections: its process may be gone."""
        if self.backends.get(backend.id) is backend:
            self._ended_by_backend_ns[backend.id] = self.dispatcher.now_ns()

    def may_be_replaced(self, backend: Backend) -> bool:
        """Whether another process may listen at the address of a backend, of which discovery has not told.

        That is so for a while after the backend has ended all its connections, as a process does that ends.
        What the other process deduplicates is not known.
        """
        ended_ns = self._ended_by_backend_ns.get(backend.id)
        if ended_ns is None:
            return False
        if self.dispatcher.now_ns() - ended_ns <= self.dispatcher.limits.replacement_notice_ns:
            return True
        del self._ended_by_backend_ns[backend.id]
        return False

    # ---- connections

    def add(self, connection: BackendConnection) -> None:
        """Adds a connection that is about to be opened."""
        self.connections.add(connection)
        connection.backend.connections += 1

    def remove(self, connection: BackendConnection) -> None:
        """Removes a connection that closed or failed to open."""
        if connection in self.connections:
            self.connections.remove(connection)
            connection.backend.connections -= 1
            self.forget_if_unused(connection.backend)

    def on_connection_lost(self, connection: BackendConnection) -> None:
        """Called when an open connection has closed."""
        if connection in self.idle:
            self._remove_idle(connection)
        backend = connection.backend
        if connection.ended_by_backend and backend.connections == 1:
            self._on_all_ended(backend)
        self.remove(connection)

    def take_reusable(self, backend: Backend, now_ns: int) -> BackendConnection | None:
        """Takes the most recently used idle connection to a backend that is reusable, if any."""
        ended = 0
        for connection in reversed(backend.idle):  # a removal does not disturb reversed iteration
            # An unsolicited answer may arrive some milliseconds late: it must not answer the next request.
            if connection.reusable_from_ns <= now_ns:
                self._remove_idle(connection)
                if connection.has_no_unread_data:
                    return connection
                connection.transport.abort()
                ended += 1
                if ended == backend.connections:
                    self._on_all_ended(backend)
        return None

    def add_idle(self, connection: BackendConnection, *, unused: bool = False) -> None:
        """Keeps a connection for further attempts, or closes it if its backend accepts none.

        `unused`: it has carried no request, so no unsolicited answer can follow and it is reusable at once.
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
        """Closes the longest idle connection of all backends; returns False if none is idle."""
        oldest = next(iter(self.idle), None)
        if oldest is None:
            return False
        self.close_idle(oldest)
        return True

    def close_expired(self) -> None:
        """Closes connections that are idle too long, before the backend does so while a request is sent."""
        now_ns = self.dispatcher.now_ns()
        idle_ns = self.dispatcher.limits.backend_idle_timeout_ns
        while (oldest := next(iter(self.idle), None)) and now_ns - oldest.idle_since_ns > idle_ns:
            self.close_idle(oldest)
