"""TCP on the virtual network: listening sockets, and what `create_server` makes of one."""

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

REPEATED_CALL_NS: Final = MS_NS  # until a watcher that left connections is called again: a poll would spin


class AcceptedSocket:
    """A connection as `accept` returns it, before a protocol is attached to its transport."""

    __slots__ = ("_transport",)

    def __init__(self, transport: TcpTransport) -> None:
        """Stand for the socket of that transport."""
        self._transport = transport

    def setblocking(self, flag: bool) -> None:
        """As sockets have it; ValueError where it shall block, which a virtual one never does."""
        if flag:
            raise ValueError("a virtual socket never blocks")

    def transport(self) -> TcpTransport:
        """The transport of the connection."""
        return self._transport

    def close(self) -> None:
        """Close the connection without a protocol."""
        self._transport.release()


class Listener:
    """A listening socket, with the machine's queue of connections that nobody has accepted yet."""

    def __init__(self, process: BaseProcess, address: Address, backlog: int) -> None:
        """Listen there, port 0: any; OSError where it is taken or no descriptor is left."""
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
        """The number of its descriptor."""
        return self._descriptor

    def getsockname(self) -> Address:
        """Where it listens."""
        return self.address

    @property
    def has_waiting(self) -> bool:
        """Whether connections wait to be accepted."""
        return bool(self._queue)

    @property
    def is_full(self) -> bool:
        """Whether the queue takes no more connections."""
        return len(self._queue) >= self.backlog

    def enqueue(self, transport: TcpTransport) -> None:
        """Let a new connection wait."""
        self._queue.append(transport)
        self._schedule_call(0)

    def accept(self) -> tuple[AcceptedSocket, Address]:
        """Take the connection that has waited longest.

        Raises BlockingIOError where none waits, and OSError where no descriptor is left.
        """
        while self._queue:
            transport = self._queue[0]
            if transport.was_reset:  # it ended while it waited
                self._queue.popleft()
                transport.process.connections.pop(transport, None)
                continue
            self.process.acquire_descriptor()
            self._queue.popleft()
            return AcceptedSocket(transport), transport.remote
        raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))

    def close(self) -> None:
        """Listen no more; what waits in the queue is reset, as the machine does."""
        if self.process.listeners.pop(self, self) is self:
            return
        self.network.listeners.pop(self.address, None)
        self.network.listeners_by_descriptor.pop(self._descriptor, None)
        self.process.release_descriptor()
        while self._queue:
            self._queue.popleft().reset_by_machine()

    def watch(self, callback: Callable[..., Any] | None, *args: Any) -> None:
        """Call while connections wait, as a level-triggered poll does; None: no more."""
        self._callback = callback
        self._args = args
        self._schedule_call(0)

    def _schedule_call(self, after_ns: int) -> None:
        if self._callback is not None and self._queue and not self._call_scheduled:
            self._call_scheduled = True
            process = self.process
            at_ns = process.next_quantum_ns(process.scheduler.now_ns + after_ns)
            process.scheduler.call_at(at_ns, self._call, process=process)

    def _call(self) -> None:
        self._call_scheduled = False
        if self._callback is None or not self._queue:
            return
        try:
            self._callback(*self._args)
        finally:
            self._schedule_call(REPEATED_CALL_NS)


class VirtualServer:
    """What `create_server` returns: takes every connection at once and makes a protocol for it."""

    def __init__(
        self, process: BaseProcess, address: Address, backlog: int, factory: Callable[[], Any]
    ) -> None:
        """Listen there; OSError as `Listener` raises it."""
        self.process = process
        self._factory = factory
        self._listener = Listener(process, address, backlog)
        self._listener.watch(self._accept_all)

    @property
    def sockets(self) -> tuple[Listener, ...]:
        """The one listening socket."""
        return (self._listener,)

    def _accept_all(self) -> None:
        while self._listener.has_waiting:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            accepted.transport().attach(self._factory())

    def close(self) -> None:
        """Listen no more."""
        self._listener.close()

    async def wait_closed(self) -> None:
        """Return at once: there is nothing to wait for."""
        return None
