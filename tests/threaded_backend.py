"""A backend for real gateway processes that answers on all its connections, each in its own thread."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Callable

from scenario import GatewayHarness, RespConnection

Handler = Callable[
    [RespConnection, list[bytes]], bool
]  # gets a command; returns whether the connection stays


class ThreadedBackend:
    """Accepts the connections to some backends of a harness, and passes each command to a handler."""

    def __init__(self, harness: GatewayHarness, handler: Handler, names: str = "a") -> None:
        """`names` are the backends' names in the harness; it starts at once."""
        self._handler = handler
        for name in names:
            threading.Thread(target=self._accept, args=(harness.listeners[name],), daemon=True).start()

    def _accept(self, listener) -> None:
        listener.settimeout(None)
        with contextlib.suppress(OSError):
            while True:
                connection = RespConnection(listener.accept()[0])
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: RespConnection) -> None:
        with contextlib.suppress(OSError, IndexError):
            while self._handler(connection, connection.read_message()):
                pass


def encode_answer(value: bytes) -> bytes:
    """A backend's answer with this value, without figures and load report."""
    return b"*3\r\n$%d\r\n%b\r\n$-1\r\n$-1\r\n" % (len(value), value)


def request_number(command: list[bytes]) -> int:
    """The number that the test gave to the request."""
    return int(command[2], 16)
