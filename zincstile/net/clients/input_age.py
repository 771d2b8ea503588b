"""How long the input of a client connection waited in its socket before it was read."""

from __future__ import annotations

import asyncio

from ..dispatcher import Dispatcher
from ..host import Host


class InputAge:
    """Ages of the commands in the input that is being processed; 0 unless it may have waited.

    The system tells only when the last bytes were received. Commands before the last one were received after
    reading was paused, and after the last moment at which the socket was seen empty.
    """

    __slots__ = (
        "may_have_waited",
        "first_ns",
        "last_ns",
        "_dispatcher",
        "_host",
        "_empty_ns",
        "_seen_waiting",
    )

    def __init__(self, dispatcher: Dispatcher, host: Host) -> None:
        """`host` tells when data was received."""
        self._dispatcher = dispatcher
        self._host = host
        self.may_have_waited = False  # whether the next input may have waited
        self.first_ns = 0  # age of all commands but the last, at most
        self.last_ns = 0  # age of the last command
        self._empty_ns = 0  # while reading is paused: when the socket was last seen empty; 0: unknown
        self._seen_waiting = False  # unread input was seen since reading was paused

    def on_pause(self) -> None:
        """Reading is paused: later input waits in the socket."""
        self._empty_ns = self._dispatcher.now_ns()
        self._seen_waiting = False

    def check_socket(self, transport: asyncio.Transport) -> None:
        """Narrows the ages down; called now and then while reading is paused."""
        if not self._seen_waiting:
            now_ns = self._dispatcher.now_ns()
            self._seen_waiting = self._dispatcher.readable(transport)
            if not self._seen_waiting:
                self._empty_ns = now_ns

    def measure(self, transport: asyncio.Transport, *, more_is_unread: bool) -> None:
        """Sets both ages for input that was just read. more_is_unread: the socket may hold more of it."""
        self.may_have_waited = more_is_unread
        self.last_ns = self._host.last_received_age_ns(transport)
        waited_ns = self._dispatcher.now_ns() - self._empty_ns if self._empty_ns else 0
        self.first_ns = max(self.last_ns, waited_ns)
        if more_is_unread:
            self.last_ns = self.first_ns
        else:
            self._empty_ns = 0

    def clear(self) -> None:
        """The input is processed: the next one is new."""
        self.first_ns = self.last_ns = 0
