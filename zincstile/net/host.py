"""The one place by which time, the machine's sockets and its log reach the network code.

`Host` is the real machine. The virtual one (`zincstile/virtual/host.py`) has the same attributes, so that the
modules of `net` run unchanged on either. A host is made at the top and handed down; nothing in `net` calls
the clock, a raw socket or the environment by itself. Functions of the clock are attributes that hold the
system's own, so that the real path pays no call more than it did.
"""

from __future__ import annotations

import asyncio
import os
import resource
import select
import socket
import sys
import time

from .config import Address, Config, again


class Host:
    """The machine that the process runs on."""

    __slots__ = ()

    monotonic_ns = staticmethod(time.monotonic_ns)  # never goes back; all that is measured goes by it
    unix_ns = staticmethod(time.time_ns)  # what discovery's times and the log's lines go by

    def listen(self, address: Address, backlog: int) -> socket.socket:
        """A listening socket that does not block; OSError where the address can't be had."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(backlog)
        return sock

    def readable(self, transport: asyncio.Transport) -> bool:
        """Something has come on a connection that the loop has not read yet: bytes, or its end."""
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def again(self) -> Config:
        """The configuration as its file is by now; ConfigError or OSError where it can't be used."""
        return again(os.environ)

    def log(self, line: str) -> None:
        """A line of the log, whole; OSError where it can't be written."""
        sys.stderr.write(line)
        sys.stderr.flush()

    def usage(self) -> dict[str, int]:
        """What the process used so far: CPU in milliseconds, most memory held in KB."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        return {"cpu_ms": round((used.ru_utime + used.ru_stime) * 1000), "memory_kb": used.ru_maxrss}


HOST = Host()
