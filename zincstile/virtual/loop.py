"""An asyncio event loop on virtual time: what `net` and the stand-ins use of one, and nothing else.

It keeps asyncio's order: callbacks that were asked for together run together, a connection's
`connection_made` comes before its first bytes, what a protocol raises closes its connection, and
`connection_lost` comes by a callback of its own. Contexts (`contextvars`) are not kept apart: none of the
code that runs here uses them. A method that is missing raises NotImplementedError by asyncio's own base
class, and so shows at once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from . import udp
from .base_process import BaseProcess
from .clock import ScheduledCall
from .tcp import Endpoint
from .tcp_connect import connect
from .tcp_listen import Accepted, Listener, Server

Factory = Callable[[], asyncio.BaseProtocol]


class VirtualLoop(asyncio.AbstractEventLoop):
    """The loop of one process."""

    def __init__(self, process: BaseProcess) -> None:
        self.process, self.scheduler = process, process.scheduler
        self.signals: dict[int, tuple[Callable[..., Any], tuple[Any, ...]]] = {}
        self.readers: dict[int, tuple[Listener, Callable[..., Any], tuple[Any, ...]]] = {}
        self.faults: list[str] = []  # what nobody handled
        self.tasks: dict[asyncio.Task, None] = {}  # begun and not done
        self._handler: Callable[[asyncio.AbstractEventLoop, dict[str, Any]], Any] | None = None

    # ---- time

    def time(self) -> float:
        """Virtual time in seconds."""
        return self.scheduler.now_ns / 1e9

    def call_soon(self, callback: Callable[..., Any], *args: Any, context: Any = None) -> ScheduledCall:
        return self.scheduler.at(self.scheduler.now_ns, callback, *args, process=self.process)

    call_soon_threadsafe = call_soon

    def call_at(
        self, when: float, callback: Callable[..., Any], *args: Any, context: Any = None
    ) -> ScheduledCall:
        at_ns = self.process.ready_ns(round(when * 1e9))
        return self.scheduler.at(at_ns, callback, *args, process=self.process)

    def call_later(
        self, delay: float, callback: Callable[..., Any], *args: Any, context: Any = None
    ) -> ScheduledCall:
        at_ns = self.process.ready_ns(self.scheduler.now_ns + round(delay * 1e9))
        return self.scheduler.at(at_ns, callback, *args, process=self.process)

    # ---- tasks

    def create_future(self) -> asyncio.Future:
        return asyncio.Future(loop=self)

    def create_task(self, coro: Coroutine, *, name: str | None = None, context: Any = None) -> asyncio.Task:
        task = asyncio.Task(coro, loop=self, name=name or "task")
        self.tasks[task] = None
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task) -> None:
        self.tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            self.call_exception_handler({"message": "Exception in task", "exception": task.exception()})

    def get_debug(self) -> bool:
        return False

    def is_running(self) -> bool:
        return True

    def is_closed(self) -> bool:
        return not self.process.alive

    # ---- faults and signals

    def set_exception_handler(self, handler: Callable[..., Any] | None) -> None:
        self._handler = handler

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        if not self.process.alive:  # a task of a dead process that the collector found
            return
        err = context.get("exception")
        if err is not None:
            self.faults.append(f"{type(err).__name__}: {err} in {context.get('message')}")
        if self._handler is not None:
            self._handler(self, context)

    def add_signal_handler(self, sig: int, callback: Callable[..., Any], *args: Any) -> None:
        self.signals[int(sig)] = callback, args

    def remove_signal_handler(self, sig: int) -> bool:
        return self.signals.pop(int(sig), None) is not None

    # ---- connections

    def add_reader(self, fd: int, callback: Callable[..., Any], *args: Any) -> None:
        listener = self.process.network.listening[fd]
        self.readers[fd] = listener, callback, args
        listener.watch(self._ready, fd)

    def remove_reader(self, fd: int) -> bool:
        found = self.readers.pop(fd, None)
        if found is not None:
            found[0].watch(None)
        return found is not None

    def _ready(self, fd: int) -> None:
        found = self.readers.get(fd)
        if found is not None:
            found[1](*found[2])

    async def connect_accepted_socket(
        self,
        protocol_factory: Factory,
        sock: Accepted,
        **_: Any,
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        return await self._begin(sock.take(), protocol_factory)

    async def create_connection(
        self,
        protocol_factory: Factory,
        host: str,
        port: int,
        **_: Any,
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        endpoint = await connect(self.process, (host, port))
        return await self._begin(endpoint, protocol_factory)

    async def _begin(
        self,
        endpoint: Endpoint,
        factory: Factory,
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        """As asyncio's transports do: made, then read, then told; given up while that lasts, it is closed."""
        protocol, waiter = factory(), self.create_future()
        endpoint.begin(protocol)
        self.call_soon(_wake, waiter)
        try:
            await waiter
        except BaseException:
            endpoint.close()
            raise
        return endpoint, protocol

    async def create_server(
        self, protocol_factory: Factory, host: str, port: int, *, backlog: int = 100, **_: Any
    ) -> Server:
        return Server(self.process, (host, port), backlog, protocol_factory)

    async def create_datagram_endpoint(
        self,
        protocol_factory: Factory,
        local_addr: tuple[str, int],
        **_: Any,
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        protocol = protocol_factory()
        return udp.Datagrams(self.process, local_addr, protocol), protocol


def _wake(waiter: asyncio.Future) -> None:
    if not waiter.done():
        waiter.set_result(None)
