"""An asyncio event loop on virtual time, with only the methods that `net` and the emulators use.

It keeps asyncio's guarantees: callbacks scheduled for the same time run in the order of scheduling,
`connection_made` is called before the first bytes are delivered, an exception raised by a protocol closes its
connection, and `connection_lost` is called in a separate callback. Contexts (`contextvars`) are not kept
apart, since none of the code that runs here uses them. A missing method raises NotImplementedError, as
asyncio's abstract base class does.
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
    """A callback for a signal or for a descriptor that is ready."""

    callback: Callable[..., Any]
    args: tuple[Any, ...]


class VirtualLoop(asyncio.AbstractEventLoop):
    """The event loop of one process."""

    def __init__(self, process: BaseProcess) -> None:
        """Creates a loop that runs on the scheduler of the process."""
        self.process = process
        self.scheduler = process.scheduler
        self.signal_handlers: dict[int, Handler] = {}
        self.unhandled_errors: list[str] = []
        self.tasks: dict[asyncio.Task, None] = {}  # started and not done
        self._readers: dict[int, tuple[Listener, Handler]] = {}  # by descriptor
        self._exception_handler: Callable[[asyncio.AbstractEventLoop, dict[str, Any]], Any] | None = None

    # ---- time

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self.scheduler.now_ns / 1e9

    def call_soon(self, callback: Callable[..., Any], *args: Any, context: Any = None) -> ScheduledCall:
        """Schedules a call for the present instant, after the calls already scheduled for it."""
        return self.scheduler.call_at(self.scheduler.now_ns, callback, *args, process=self.process)

    def call_soon_threadsafe(
        self, callback: Callable[..., Any], *args: Any, context: Any = None
    ) -> ScheduledCall:
        """Does the same as `call_soon`, since virtual processes have no threads."""
        return self.call_soon(callback, *args)

    def call_at(
        self, when: float, callback: Callable[..., Any], *args: Any, context: Any = None
    ) -> ScheduledCall:
        """Schedules a call for virtual time `when` in seconds, rounded up to the process's quantum."""
        at_ns = self.process.next_quantum_ns(round(when * 1e9))
        return self.scheduler.call_at(at_ns, callback, *args, process=self.process)

    def call_later(
        self, delay: float, callback: Callable[..., Any], *args: Any, context: Any = None
    ) -> ScheduledCall:
        """Schedules a call `delay` seconds from now, rounded up to the process's quantum."""
        at_ns = self.process.next_quantum_ns(self.scheduler.now_ns + round(delay * 1e9))
        return self.scheduler.call_at(at_ns, callback, *args, process=self.process)

    # ---- tasks

    def create_future(self) -> asyncio.Future:
        """Creates a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Coroutine, *, name: str | None = None, context: Any = None) -> asyncio.Task:
        """Starts a task; an exception that it raises is passed to the exception handler."""
        task = asyncio.Task(coro, loop=self, name=name or "task")
        self.tasks[task] = None
        task.add_done_callback(self._finish_task)
        return task

    def _finish_task(self, task: asyncio.Task) -> None:
        self.tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            self.call_exception_handler({"message": "Exception in task", "exception": task.exception()})

    def get_debug(self) -> bool:
        """Returns False: there is no debug mode."""
        return False

    def is_running(self) -> bool:
        """Returns True: the scheduler drives the loop for the whole run."""
        return True

    def is_closed(self) -> bool:
        """Returns whether the process has died."""
        return not self.process.alive

    # ---- errors and signals

    def set_exception_handler(self, handler: Callable[..., Any] | None) -> None:
        """Sets a handler that is called for unhandled exceptions, besides recording them."""
        self._exception_handler = handler

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Records an unhandled exception and passes it to the exception handler."""
        if not self.process.alive:  # the garbage collector reports a pending task of a dead process
            return
        err = context.get("exception")
        if err is not None:
            self.unhandled_errors.append(f"{type(err).__name__}: {err} in {context.get('message')}")
        if self._exception_handler is not None:
            self._exception_handler(self, context)

    def add_signal_handler(self, sig: int, callback: Callable[..., Any], *args: Any) -> None:
        """Sets the callback for a signal sent by `Process.signal`."""
        self.signal_handlers[int(sig)] = Handler(callback, args)

    def remove_signal_handler(self, sig: int) -> bool:
        """Removes the handler and returns whether there was one."""
        return self.signal_handlers.pop(int(sig), None) is not None

    # ---- connections

    def add_reader(self, fd: int, callback: Callable[..., Any], *args: Any) -> None:
        """Calls the callback while connections wait to be accepted at the listener of that descriptor."""
        listener = self.process.network.listeners_by_descriptor[fd]
        self._readers[fd] = listener, Handler(callback, args)
        listener.watch(self._call_reader, fd)

    def remove_reader(self, fd: int) -> bool:
        """Removes the reader of a descriptor and returns whether there was one."""
        reader = self._readers.pop(fd, None)
        if reader is None:
            return False
        listener, _ = reader
        listener.watch(None)
        return True

    def _call_reader(self, fd: int) -> None:
        reader = self._readers.get(fd)
        if reader is not None:
            _, handler = reader
            handler.callback(*handler.args)

    async def connect_accepted_socket(
        self, protocol_factory: ProtocolFactory, sock: AcceptedSocket, **_: Any
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        """Attaches a new protocol to an accepted connection; returns its transport and the protocol."""
        return await self._attach_protocol(sock.transport(), protocol_factory)

    async def create_connection(
        self, protocol_factory: ProtocolFactory, host: str, port: int, **_: Any
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        """Opens a connection; raises OSError as `tcp_connect.connect` does."""
        transport = await connect(self.process, (host, port))
        return await self._attach_protocol(transport, protocol_factory)

    async def _attach_protocol(
        self, transport: TcpTransport, factory: ProtocolFactory
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        """Creates a protocol, lets it start reading and returns, as asyncio does.

        If the caller is cancelled meanwhile, the transport is closed.
        """
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
        """Creates a server that accepts every connection as soon as it arrives."""
        return VirtualServer(self.process, (host, port), backlog, protocol_factory)

    async def create_datagram_endpoint(
        self, protocol_factory: ProtocolFactory, local_addr: tuple[str, int], **_: Any
    ) -> tuple[asyncio.BaseTransport, asyncio.BaseProtocol]:
        """Creates a datagram socket bound to `local_addr`."""
        protocol = protocol_factory()
        return DatagramSocket(self.process, local_addr, protocol), protocol


def _resolve(waiter: asyncio.Future) -> None:
    if not waiter.done():
        waiter.set_result(None)
