"""TCP on the virtual network: listening sockets, and the server that `create_server` returns."""

from __future__ import annotations

import errno
import os
from collections import deque
from collections.abc import Callable
from typing import Any, Final

from .base_process import BaseProcess
from .clock import MS_NS
from .network import Address
from .tcp import TcpTransport

# A callback that leaves connections in the queue is called again after this long. A level-triggered poll
# would call it again at once, and virtual time would never advance.
CALL_RETRY_NS: Final = MS_NS


class AcceptedSocket:
    """A connection as `accept` returns it, before a protocol is attached to its transport."""

    __slots__ = ("_transport",)

    def __init__(self, transport: TcpTransport) -> None:
        """Creates the socket of `transport`."""
        self._transport = transport

    def setblocking(self, flag: bool) -> None:
        """Raises ValueError if `flag` is true: a virtual socket can't block."""
        if flag:
            raise ValueError("a virtual socket does not support blocking mode")

    def transport(self) -> TcpTransport:
        """Returns the transport of the connection."""
        return self._transport

    def close(self) -> None:
        """Closes the connection; no protocol was attached."""
        self._transport.release()


class Listener:
    """A listening socket, with the queue of connections that have not been accepted yet."""

    def __init__(self, process: BaseProcess, address: Address, backlog: int) -> None:
        """Listens on `address`; port 0 means any free port.

        Raises OSError if the address is in use or the process is out of descriptors.
        """
        host, port = address
        self.process = process
        self.network = process.network
        self.address = host, port or self.network.allocate_port()
        if self.address in self.network.listeners:
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        process.acquire_descriptor()
        self.backlog = backlog
        self._queue: deque[TcpTransport] = deque()
        self._descriptor = self.network.allocate_descriptor()
        self._callback: Callable[..., Any] | None = None
        self._args: tuple[Any, ...] = ()
        self._call_scheduled = False
        self.network.listeners[self.address] = self
        self.network.listeners_by_descriptor[self._descriptor] = self
        process.listeners[self] = None

    def fileno(self) -> int:
        """Returns the descriptor number."""
        return self._descriptor

    def getsockname(self) -> Address:
        """Returns the listening address."""
        return self.address

    @property
    def has_waiting_connections(self) -> bool:
        """Whether connections wait to be accepted."""
        return bool(self._queue)

    @property
    def is_full(self) -> bool:
        """Whether the queue is full."""
        return len(self._queue) >= self.backlog

    def enqueue(self, transport: TcpTransport) -> None:
        """Adds a new connection to the queue."""
        self._queue.append(transport)
        self._schedule_call(0)

    def accept(self) -> tuple[AcceptedSocket, Address]:
        """Accepts the oldest connection in the queue.

        Raises BlockingIOError if the queue is empty, and OSError if the process is out of descriptors.
        """
        while self._queue:
            transport = self._queue[0]
            if transport.was_reset:  # reset while it was in the queue
                self._queue.popleft()
                transport.process.connections.pop(transport, None)
                continue
            self.process.acquire_descriptor()
            self._queue.popleft()
            return AcceptedSocket(transport), transport.remote
        raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))

    def close(self) -> None:
        """Stops listening and resets the connections in the queue, as an operating system does."""
        if self.process.listeners.pop(self, self) is self:
            return
        self.network.listeners.pop(self.address, None)
        self.network.listeners_by_descriptor.pop(self._descriptor, None)
        self.process.release_descriptor()
        while self._queue:
            self._queue.popleft().reset_by_machine()

    def watch(self, callback: Callable[..., Any] | None, *args: Any) -> None:
        """Calls `callback` while connections wait, as a level-triggered poll does; None: stops calling."""
        self._callback = callback
        self._args = args
        self._schedule_call(0)

    def _schedule_call(self, after_ns: int) -> None:
        if self._callback is not None and self._queue and not self._call_scheduled:
            self._call_scheduled = True
            process = self.process
            at_ns = process.next_quantum_ns(process.scheduler.now_ns + after_ns)
            process.scheduler.call_at(at_ns, self._call_callback, process=process)

    def _call_callback(self) -> None:
        self._call_scheduled = False
        if self._callback is None or not self._queue:
            return
        try:
            self._callback(*self._args)
        finally:
            self._schedule_call(CALL_RETRY_NS)


class VirtualServer:
    """The server that `create_server` returns: accepts every connection at once and creates its protocol."""

    def __init__(
        self, process: BaseProcess, address: Address, backlog: int, factory: Callable[[], Any]
    ) -> None:
        """Listens on `address`; raises OSError as `Listener` does."""
        self.process = process
        self._factory = factory
        self._listener = Listener(process, address, backlog)
        self._listener.watch(self._accept_all)

    @property
    def sockets(self) -> tuple[Listener, ...]:
        """The one listening socket."""
        return (self._listener,)

    def _accept_all(self) -> None:
        while self._listener.has_waiting_connections:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            accepted.transport().attach(self._factory())

    def close(self) -> None:
        """Stops listening."""
        self._listener.close()

    async def wait_closed(self) -> None:
        """Returns at once: `close` has immediate effect."""
        return None
