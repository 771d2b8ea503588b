"""The interface of `net.host.Host`, implemented on virtual time and the virtual network."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..net.config import Address, Config
from .process import Process
from .tcp import TcpTransport
from .tcp_listen import Listener


class VirtualHost:
    """The host of one process. Its Unix clock may be off; log lines are collected in `log_lines`."""

    def __init__(self, process: Process, config: Callable[[], Config], unix_offset_ns: int = 0) -> None:
        """`config` returns the current configuration; Unix time is virtual time plus `unix_offset_ns`."""
        self._process = process
        self._config = config
        self.unix_offset_ns = unix_offset_ns
        self.log_lines: list[str] = []

    def monotonic_ns(self) -> int:
        """Returns the virtual time."""
        return self._process.scheduler.now_ns

    def unix_ns(self) -> int:
        """Returns the Unix time of this machine's clock."""
        return self._process.scheduler.now_ns + self.unix_offset_ns

    def listen(self, address: Address, backlog: int) -> Listener:
        """Opens a listening socket."""
        return Listener(self._process, address, backlog)

    def readable(self, transport: TcpTransport) -> bool:
        """Returns whether the connection has unread input."""
        return transport.has_unread

    def peer_has_ended(self, transport: TcpTransport) -> bool:
        """Returns whether the peer has closed its side of the connection, whether or not that was read."""
        return transport.peer_has_closed

    def last_received_age_ns(self, transport: Any) -> int:
        """Returns the age of the last received bytes; always 0, as the virtual network does not track it."""
        return 0

    def unacknowledged_bytes(self, transport: TcpTransport) -> int:
        """Returns how many sent bytes have not arrived at the peer's machine."""
        return transport.in_flight_bytes

    def reload_config(self) -> Config:
        """Returns the current configuration for a reload."""
        return self._config()

    def log(self, line: str) -> None:
        """Appends the line to `log_lines`."""
        self.log_lines.append(line)

    def usage(self) -> dict[str, int]:
        """Returns zero CPU and memory usage: real values would differ between runs of one seed."""
        return {"cpu_ms": 0, "memory_kb": 0}
