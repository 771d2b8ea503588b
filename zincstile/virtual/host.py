"""The machine as `net` uses it, on virtual time: what `net.host.Host` is on the real one."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..net.config import Address, Config
from .process import Process
from .tcp_listen import Listener


class VirtualHost:
    """The host of one process. Its Unix clock may be wrong; what it logs is kept."""

    def __init__(self, process: Process, config: Callable[[], Config], unix_ns: int = 0) -> None:
        self._process, self._config = process, config
        self.unix_apart_ns = unix_ns  # its Unix time less the virtual one
        self.lines: list[str] = []

    def monotonic_ns(self) -> int:
        """Virtual time."""
        return self._process.scheduler.now_ns

    def unix_ns(self) -> int:
        """Virtual time, off by what this machine's clock is wrong."""
        return self._process.scheduler.now_ns + self.unix_apart_ns

    def listen(self, address: Address, backlog: int) -> Listener:
        """A listening socket."""
        return Listener(self._process, address, backlog)

    def readable(self, transport: Any) -> bool:
        """Something has come on the connection that was not read."""
        return transport.waiting

    def ended(self, transport: Any) -> bool:
        """The other side's end has come, read or not."""
        return transport.over

    def unread_ns(self, transport: Any) -> int:
        """Not told here."""
        return 0

    def reload_config(self) -> Config:
        """The configuration as it stands by now, for a reload."""
        return self._config()

    def log(self, line: str) -> None:
        """Keeps the line."""
        self.lines.append(line)

    def usage(self) -> dict[str, int]:
        """Nothing is measured here: the same in every run."""
        return {"cpu_ms": 0, "memory_kb": 0}
