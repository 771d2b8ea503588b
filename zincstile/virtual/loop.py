"""An asyncio event loop on virtual time: what `net` and the emulators use of one, and nothing else.

It keeps asyncio's order: callbacks that were scheduled together run together, a connection's
`connection_made` comes before its first bytes, what a protocol raises closes its connection, and
`connection_lost` comes by a callback of its own. Contexts (`contextvars`) are not kept apart: none of the
code that runs here uses them. A method that is missing raises NotImplementedError by asyncio's own base
class, and so shows at once.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from .base_process import BaseProcess
from .clock import ScheduledCall
from .tcp import TcpTransport
from .tcp_connect import connect
from .tcp_listen import AcceptedSocket, Listener, VirtualServer
from .udp import DatagramSocket

ProtocolFactory = Callable[[], asyncio.BaseProtocol]


class Handler(NamedTuple):
    """What is called for a signal or a descriptor that is ready."""

    callback: Callable[..., Any]
    args: tuple[Any, ...]


class VirtualLoop(asyncio.AbstractEventLoop):
    """The loop of one process."""

    def __init__(self, process: BaseProcess) -> None:
        """Run on the scheduler of the process."""
        self.process = process
        self.scheduler = process.scheduler
        self.signal_handlers: dict[int, Handler] = {}
        self.unhandled_errors: list[str] = []
        self.tasks: dict[asyncio.Task, None] = {}  # begun and not done
        self._readers: dict[int, tuple[Listener, Handler]] = {}  # by descriptor
        self._exception_handler: Callable[[asyncio.AbstractEventLoop, dict[str, Any]], Any] | None = None

    # ---- time

    def time(self) -> float:
        """Virtual time in seconds."""
        return self.scheduler.now_ns / 1e9

    def call_soon(self, callback: Callable[..., Any], *args: Any, context: Any = None) -> ScheduledCall:
        """Call at this very instant, after what was scheduled before."""
        return self.scheduler.call_at(self.scheduler.now_ns, callback, *args, process=self.process)

    def call_soon_threadsafe(
        self, callback: Callable[..., Any], *args: Any, context: Any = None
    ) -> ScheduledCall:
        """As `call_soon`: there are no threads here."""
        return self.call_soon(callback, *args)

    def call_at(
        self, when: float, callback: Callable[..., Any], *args: Any, context: Any = None
    ) -> ScheduledCall:
        """Call at that virtual time in seconds, or when the process next looks."""
        at_ns = self.process.next_quantum_ns(round(when * 1e9))
        return self.scheduler.call_at(at_ns, callback, *args, process=self.process)

    def call_later(
        self, delay: float, callback: Callable[..., Any], *args: Any, context: Any = None
    ) -> ScheduledCall:
        """Call after so many seconds, or when the process next looks."""
        at_ns = self.process.next_quantum_ns(self.scheduler.now_ns + round(delay * 1e9))
        return self.scheduler.call_at(at_ns, callback, *args, process=self.process)

    # ---- tasks

    def create_future(self) -> asyncio.Future:
        """A future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Coroutine, *, name: str | None = None, context: Any = None) -> asyncio.Task:
        """Begin a task; what it raises is an unhandled error."""
        task = asyncio.Task(coro, loop=self, name=name or "task")
        self.tasks[task] = None
        task.add_done_callback(self._finish_task)
        return task

    def _finish_task(self, task: asyncio.Task) -> None:
        self.tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            self.call_exception_handler({"message": "Exception in task", "exception": task.exception()})

    def get_debug(self) -> bool:
        """Never in debug mode."""
        return False

    def is_running(self) -> bool:
        """Always, as long as the run steps."""
        return True

    def is_closed(self) -> bool:
        """Whether the process has died."""
        return not self.process.alive

    # ---- errors and signals

    def set_exception_handler(self, handler: Callable[..., Any] | None) -> None:
        """Call this handler too with what nobody handled."""
        self._exception_handler = handler

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record what nobody handled."""
        if not self.process.alive:  # a task of a dead process that the collector found
            return
        err = context.get("exception")
        if err is not None:
            self.unhandled_errors.append(f"{type(err).__name__}: {err} in {context.get('message')}")
        if self._exception_handler is not None:
            self._exception_handler(self, context)

    def add_signal_handler(self, sig: int, callback: Callable[..., Any], *args: Any) -> None:
        """Call this when `Process.signal` sends that signal."""
        self.signal_handlers[int(sig)] = Handler(callback, args)

    def remove_signal_handler(self, sig: int) -> bool:
        """Forget the handler; whether there was one."""
        return self.signal_handlers.pop(int(sig), None) is not None

    # ---- connections

    def add_reader(self, fd: int, callback: Callable[..., Any], *args: Any) -> None:
        """Call while connections wait at the listener of that descriptor."""
        listener = self.process.network.listeners_by_descriptor[fd]
        self._readers[fd] = listener, Handler(callback, args)
        listener.watch(self._call_reader, fd)

    def remove_reader(self, fd: int) -> bool:
        """Call no more; whether there was a reader."""
        found = self._readers.pop(fd, None)
        if found is None:
            return False
        listener, _ = found
        listener.watch(None)
        return True

    def _call_reader(self, fd: int) -> None:
        found = self._readers.get(fd)
        if found is not None:
            _, handler = found
            handler.callback(*handler.args)

    async def connect_accepted_socket(
        self, protocol_factory: ProtocolFactory, sock: AcceptedSocket, **_: Any
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        """A transport and a protocol on a connection that a listener accepted."""
        return await self._attach_protocol(sock.transport(), protocol_factory)

    async def create_connection(
        self, protocol_factory: ProtocolFactory, host: str, port: int, **_: Any
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        """A connection that is up; OSError as `tcp_connect.connect` raises it."""
        transport = await connect(self.process, (host, port))
        return await self._attach_protocol(transport, protocol_factory)

    async def _attach_protocol(
        self, transport: TcpTransport, factory: ProtocolFactory
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        """Make a protocol, let it read, then return, as asyncio does; cancelled meanwhile, close it."""
        protocol = factory()
        waiter = self.create_future()
        transport.attach(protocol)
        self.call_soon(_resolve, waiter)
        try:
            await waiter
        except BaseException:
            transport.close()
            raise
        return transport, protocol

    async def create_server(
        self, protocol_factory: ProtocolFactory, host: str, port: int, *, backlog: int = 100, **_: Any
    ) -> VirtualServer:
        """A server that takes every connection at once."""
        return VirtualServer(self.process, (host, port), backlog, protocol_factory)

    async def create_datagram_endpoint(
        self, protocol_factory: ProtocolFactory, local_addr: tuple[str, int], **_: Any
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        """A datagram socket that is bound to that address."""
        protocol = protocol_factory()
        return DatagramSocket(self.process, local_addr, protocol), protocol


def _resolve(waiter: asyncio.Future) -> None:
    if not waiter.done():
        waiter.set_result(None)
