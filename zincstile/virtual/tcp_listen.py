"""TCP on the virtual network: listening sockets, and what `create_server` makes of one."""

from __future__ import annotations

import errno
import os
from collections import deque
from collections.abc import Callable
from typing import Any

from .base_process import BaseProcess
from .clock import MS
from .network import Address
from .tcp import Endpoint


class Accepted:
    """A connection as `accept` hands it over, before a transport stands on it."""

    __slots__ = ("_endpoint",)

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint

    def setblocking(self, flag: bool) -> None:
        """As sockets have it; a virtual one never blocks."""
        if flag:
            raise ValueError("a virtual socket never blocks")

    def take(self) -> Endpoint:
        """The endpoint, for its transport."""
        return self._endpoint

    def close(self) -> None:
        """Closes the connection without a transport."""
        self._endpoint._release()


class Listener:
    """A listening socket, with the machine's queue of connections that nobody has taken yet."""

    def __init__(self, process: BaseProcess, address: Address, backlog: int) -> None:
        self.process, self.network = process, process.network
        host, port = address
        self.address = host, port or self.network.port()
        if self.address in self.network.listeners:
            raise OSError(errno.EADDRINUSE, os.strerror(errno.EADDRINUSE))
        process.take_descriptor()
        self.backlog, self.queue = backlog, deque()
        self._fd = self.network.descriptor()
        self._call: Callable[..., Any] | None = None
        self._args: tuple[Any, ...] = ()
        self._waits = False
        self.network.listeners[self.address] = self.network.listening[self._fd] = self
        process.listeners[self] = None

    def fileno(self) -> int:
        return self._fd

    def getsockname(self) -> Address:
        """Where it listens."""
        return self.address

    def accept(self) -> tuple[Accepted, Address]:
        while self.queue:
            endpoint = self.queue[0]
            if endpoint._reset_in:  # it went while it waited
                self.queue.popleft()
                endpoint.process.endpoints.pop(endpoint, None)
                continue
            self.process.take_descriptor()
            self.queue.popleft()
            return Accepted(endpoint), endpoint.remote
        raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))

    def close(self) -> None:
        """Who waits in the queue is reset, as the machine does."""
        if self.process.listeners.pop(self, self) is self:
            return
        self.network.listeners.pop(self.address, None)
        self.network.listening.pop(self._fd, None)
        self.process.give_descriptor()
        while self.queue:
            self.queue.popleft().cut()

    def watch(self, call: Callable[..., Any] | None, *args: Any) -> None:
        """Calls while connections wait, as a level-triggered poll does."""
        self._call, self._args = call, args
        self._wake(0)

    def _wake(self, after_ns: int) -> None:
        if self._call is not None and self.queue and not self._waits:
            self._waits = True
            process = self.process
            at = process.ready_ns(process.scheduler.now_ns + after_ns)
            process.scheduler.at(at, self._run, process=process)

    def _run(self) -> None:
        self._waits = False
        if self._call is None or not self.queue:
            return
        try:
            self._call(*self._args)
        finally:
            self._wake(MS)  # where it left some: a poll would spin, which is no use here

    def come(self, endpoint: Endpoint) -> None:
        self.queue.append(endpoint)
        self._wake(0)


class Server:
    """What `create_server` gives: takes every connection at once and makes a protocol for it."""

    def __init__(
        self, process: BaseProcess, address: Address, backlog: int, factory: Callable[[], Any]
    ) -> None:
        self.process, self._factory = process, factory
        self._listener = Listener(process, address, backlog)
        self._listener.watch(self._take)

    @property
    def sockets(self) -> tuple[Listener, ...]:
        return (self._listener,)

    def _take(self) -> None:
        while self._listener.queue:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            accepted.take().begin(self._factory())

    def close(self) -> None:
        self._listener.close()

    async def wait_closed(self) -> None:
        return None
