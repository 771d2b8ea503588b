"""Types of a client connection: its state, and the part of the listener that it uses."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import Protocol

from ..counters import Counters
from ..dispatcher import Dispatcher
from ..host import Host
from ..reasons import GatewayRejection
from ..session import Session
from .call_reader import CallReader
from .request_ids import RequestIds


class Listener(Protocol):
    """The part of the listener that its connections use."""

    dispatcher: Dispatcher
    counters: Counters
    host: Host
    read_buffer: memoryview  # shared by all connections; input is copied out of it at once
    reader: CallReader
    request_ids: RequestIds
    closing: bool
    standby: bool
    last_request_ns: int

    def ping_answer(self) -> bytes:
        """Returns the encoded answer to PING."""
        ...

    def rejection_reason(self) -> GatewayRejection | None:
        """Returns why requests are rejected at present; None if they are accepted."""
        ...

    def on_request_ended(self, session: Session) -> None:
        """Called when a request was answered or abandoned."""
        ...

    def on_connected(self, client: asyncio.BufferedProtocol) -> None:
        """Called when the connection has its transport."""
        ...

    def on_disconnected(self, client: asyncio.BufferedProtocol) -> None:
        """Called when the connection is closed."""
        ...


class ConnectionState(Enum):
    """The state of a connection; the values are the names in the log."""

    BUSY = "busy"  # a request is unanswered
    IDLE = "idle"  # between commands
    SILENT = "silent"  # no command received yet
    INCOMPLETE = "incomplete"  # a command is partly received
    CLOSING = "closing"
