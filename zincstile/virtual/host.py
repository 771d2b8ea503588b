"""The machine as `net` uses it, on virtual time: what `net.host.Host` is on the real one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..net.config import Address, Config
from .process import Process
from .tcp import TcpTransport
from .tcp_listen import Listener


class VirtualHost:
    """The host of one process. Its Unix clock may be wrong; what it logs is kept in `log_lines`."""

    def __init__(self, process: Process, config: Callable[[], Config], unix_offset_ns: int = 0) -> None:
        """`config` gives the configuration at present; the Unix time is the virtual one and the offset."""
        self._process = process
        self._config = config
        self.unix_offset_ns = unix_offset_ns
        self.log_lines: list[str] = []

    def monotonic_ns(self) -> int:
        """Virtual time."""
        return self._process.scheduler.now_ns

    def unix_ns(self) -> int:
        """Unix time on this machine's clock."""
        return self._process.scheduler.now_ns + self.unix_offset_ns

    def listen(self, address: Address, backlog: int) -> Listener:
        """A listening socket."""
        return Listener(self._process, address, backlog)

    def readable(self, transport: TcpTransport) -> bool:
        """Whether something has come on the connection that was not read."""
        return transport.has_unread

    def peer_has_ended(self, transport: TcpTransport) -> bool:
        """Whether the other side's end has come, read or not."""
        return transport.peer_has_ended

    def last_received_age_ns(self, transport: Any) -> int:
        """The age of what came last, which is not known here: always 0."""
        return 0

    def reload_config(self) -> Config:
        """The configuration at present, for a reload."""
        return self._config()

    def log(self, line: str) -> None:
        """Keep the line."""
        self.log_lines.append(line)

    def usage(self) -> dict[str, int]:
        """CPU and memory, which are not measured here: the same in every run."""
        return {"cpu_ms": 0, "memory_kb": 0}
