"""The one place by which time, the machine's sockets and its log reach the network code.

`Host` is the real machine. The virtual one (`zincstile/virtual/host.py`) has the same attributes, so that the
modules of `net` run unchanged on either. A host is made at the top and handed down; nothing in `net` calls
the clock, a raw socket or the environment by itself. Functions of the clock are attributes that hold the
system's own, so that the real path pays no call more than it did.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import os
import resource
import select
import socket
import struct
import sys
import time
from typing import NamedTuple

from ..admin.timestamp import Timestamp
from .config import Address, Config, ConfigError, again

BOOT_PATH = "/proc/sys/kernel/random/boot_id"  # proc(5): names the run of the machine
# Of struct tcp_info (linux/tcp.h): tcpi_last_data_recv, in milliseconds
TCP_INFO_BYTES, LAST_DATA_RECEIVED_AT, LAST_DATA_RECEIVED = 104, 52, struct.Struct("=I")
MOST_UNREAD_MS = 60_000
FILE_BYTES = 1 << 20  # of a file in $TMPDIR, at most


class FileStat(NamedTuple):
    """A file as it was last seen; a rename gives a new inode."""

    inode: int
    modified_ns: int
    size_bytes: int


class Host:
    """The machine that the process runs on."""

    __slots__ = ()

    monotonic_ns = staticmethod(time.monotonic_ns)  # never goes back; all that is measured goes by it
    unix_ns = staticmethod(time.time_ns)  # what discovery's times and the log's lines go by

    def listen(self, address: Address, backlog: int) -> socket.socket:
        """A listening socket that does not block; OSError where the address can't be had."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        # By its protocol's number, which what is accepted inherits: asyncio sets TCP_NODELAY only where it is
        # told. Without, the system holds back a small answer behind one that is not acknowledged, and a reset
        # drops it.
        sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            sock.bind(address)
            sock.listen(backlog)
        except OSError:
            sock.close()
            raise
        return sock

    def inherit(self, fd: int) -> socket.socket:
        """The clients' listening socket that the platform holds and hands down (`$RELAY_SOCKET_FD`), so that
        an old and a new process take clients by one queue. ConfigError where the descriptor is no listening
        TCP socket: taken for one, it would fail later and far from its cause."""
        where = f"$RELAY_SOCKET_FD={fd}"
        try:
            sock = socket.socket(fileno=fd)
        except OSError as err:
            raise ConfigError(f"{where}: {err.strerror or err}") from None
        try:
            listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        except OSError as err:
            sock.detach()
            raise ConfigError(f"{where}: {err.strerror or err}") from None
        if (
            sock.family not in (socket.AF_INET, socket.AF_INET6)
            or sock.type != socket.SOCK_STREAM
            or not listening
        ):
            sock.detach()
            raise ConfigError(f"{where}: not a listening TCP socket")
        sock.setblocking(False)
        return sock

    def readable(self, transport: asyncio.Transport) -> bool:
        """Something has come on a connection that the loop has not read yet: bytes, or its end."""
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def ended(self, transport: asyncio.Transport) -> bool:
        """The other side has ended its sending, whatever lies unread before its end."""
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def unread_ns(self, transport: asyncio.Transport) -> int:
        """How long ago the machine received what came last on a connection; 0 where it doesn't say, or says
        what can't be (tcp(7), TCP_INFO)."""
        try:
            info = transport.get_extra_info("socket").getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
            )
            (age_ms,) = LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_RECEIVED_AT)
        except (OSError, AttributeError, struct.error):
            return 0
        return age_ms * 1_000_000 if age_ms <= MOST_UNREAD_MS else 0

    def again(self) -> Config:
        """The configuration as its file is by now; ConfigError or OSError where it can't be used."""
        return again(os.environ)

    def tmpdir(self) -> str:
        return os.environ.get("TMPDIR") or "/tmp"

    def timestamp(self) -> Timestamp:
        """Returns this instant, for another process of this machine."""
        return Timestamp(self.monotonic_ns(), self.unix_ns(), _boot())

    def read_file(self, path: str) -> bytes | None:
        """None where there is no such file. OSError where it can't be read, be it for a moment."""
        try:
            with open(path, "rb") as f:
                return f.read(FILE_BYTES)
        except FileNotFoundError:
            return None

    def write_file(self, path: str, data: bytes, sync: bool = False) -> None:
        """Whole or not at all: written beside it and renamed over it. `sync`: it outlasts the machine too.
        OSError where that fails; then nothing is left beside it."""
        part = f"{path}.{os.getpid()}"
        try:
            with open(part, "wb") as f:
                f.write(data)
                f.flush()
                if sync:
                    os.fsync(f.fileno())
            os.replace(part, path)
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(part)
            raise

    def touch(self, path: str) -> None:
        """Dates a file by the monotonic clock, which needs no room on the disk: its process lives. OSError
        where that fails too."""
        now_ns = self.monotonic_ns()
        os.utime(path, ns=(now_ns, now_ns))

    def remove_parts(self, path: str) -> None:
        """Takes away what processes that are no more left of their writes of this file."""
        folder, _, name = path.rpartition("/")
        with contextlib.suppress(OSError):
            for found in os.listdir(folder):
                start, _, number = found.rpartition(".")
                if start == name and number.isdigit() and not os.path.exists(f"/proc/{number}"):
                    os.unlink(f"{folder}/{found}")

    def stat(self, path: str) -> FileStat | None:
        """Returns what tells one content of a file from another; None where there is no such file."""
        try:
            st = os.stat(path)
        except OSError:
            return None
        return FileStat(st.st_ino, st.st_mtime_ns, st.st_size)

    def log(self, line: str) -> None:
        """A line of the log, whole; OSError where it can't be written."""
        sys.stderr.write(line)
        sys.stderr.flush()

    def usage(self) -> dict[str, int]:
        """What the process used so far: CPU in milliseconds, most memory held in KB."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        return {"cpu_ms": round((used.ru_utime + used.ru_stime) * 1000), "memory_kb": used.ru_maxrss}


@functools.cache
def _boot() -> str:
    """Of this run of the machine; empty where the system doesn't say."""
    try:
        with open(BOOT_PATH, encoding="ascii") as file:
            return file.read().strip()
    except (OSError, ValueError):
        return ""


HOST = Host()
