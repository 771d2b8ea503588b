"""The one place by which time, the machine's sockets, its files and its log reach the network code.

`Host` is the real machine. The virtual one (`zincstile/virtual/host.py`) has the same attributes, so that the
modules of `net` run unchanged on either. A host is made at the top and handed down; nothing in `net` calls
the clock, a raw socket or the environment by itself. The clocks are attributes that hold the system's own
functions, so that reading one costs no further call.
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
from typing import Final, NamedTuple

from ..admin.timestamp import Timestamp
from .config import Address, Config, ConfigError, reload

NS_PER_MS: Final = 1_000_000
BOOT_ID_PATH: Final = "/proc/sys/kernel/random/boot_id"  # proc(5): names the run of the machine
IP_FAMILIES: Final = (socket.AF_INET, socket.AF_INET6)
TCP_INFO_BYTES: Final = 104  # of struct tcp_info (linux/tcp.h), as far as it is read here
LAST_DATA_RECEIVED_OFFSET: Final = 52  # of its tcpi_last_data_recv
LAST_DATA_RECEIVED: Final = struct.Struct("=I")  # in milliseconds
MAX_UNREAD_MS: Final = 60_000  # more can't be: a client's connection is closed well before
MAX_FILE_BYTES: Final = 1 << 20  # of a file in $TMPDIR; guards the memory against one that is not ours


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
        """Returns a listening socket that does not block; OSError where the address can't be had."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        # By its protocol's number, which accepted connections inherit: asyncio sets TCP_NODELAY only where it
        # is there. Without, the system holds back a small answer behind one that is not acknowledged, and a
        # reset drops it.
        listening = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.setblocking(False)
            listening.bind(address)
            listening.listen(backlog)
        except OSError:
            listening.close()
            raise
        return listening

    def inherit_socket(self, fd: int) -> socket.socket:
        """Returns the clients' listening socket that the platform hands down (`$RELAY_SOCKET_FD`).

        By it an old and a new process take clients from one queue. ConfigError where the descriptor is no
        listening TCP socket: taken for one, it would fail later and far from its cause.
        """
        where = f"$RELAY_SOCKET_FD={fd}"
        try:
            inherited = socket.socket(fileno=fd)
        except OSError as err:
            raise ConfigError(f"{where}: {err.strerror or err}") from None
        try:
            listening = inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        except OSError as err:
            inherited.detach()
            raise ConfigError(f"{where}: {err.strerror or err}") from None
        is_tcp = inherited.family in IP_FAMILIES and inherited.type == socket.SOCK_STREAM
        if not is_tcp or not listening:
            inherited.detach()
            raise ConfigError(f"{where}: not a listening TCP socket")
        inherited.setblocking(False)
        return inherited

    def readable(self, transport: asyncio.Transport) -> bool:
        """Tells whether something has come on a connection that the loop has not read: bytes, or its end."""
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def peer_has_ended(self, transport: asyncio.Transport) -> bool:
        """Tells whether the other side has ended its sending, whatever lies unread before its end."""
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def last_received_age_ns(self, transport: asyncio.Transport) -> int:
        """Returns how long ago the machine received what came last on a connection (tcp(7), TCP_INFO).

        0 where it doesn't say, or says what can't be.
        """
        try:
            info = transport.get_extra_info("socket").getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
            )
            (age_ms,) = LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)
        except (OSError, AttributeError, struct.error):
            return 0
        return age_ms * NS_PER_MS if age_ms <= MAX_UNREAD_MS else 0

    def reload_config(self) -> Config:
        """Returns the configuration as its file is by now; ConfigError or OSError where it can't be used."""
        return reload(os.environ)

    def tmpdir(self) -> str:
        """Returns the folder for files that another process of this gateway reads."""
        return os.environ.get("TMPDIR") or "/tmp"

    def timestamp(self) -> Timestamp:
        """Returns this instant, for another process of this machine."""
        return Timestamp(self.monotonic_ns(), self.unix_ns(), _boot_id())

    def read_file(self, path: str) -> bytes | None:
        """Returns a file's content, `MAX_FILE_BYTES` of it at most; None where there is no such file.

        OSError where it can't be read, be it for a moment.
        """
        try:
            with open(path, "rb") as file:
                return file.read(MAX_FILE_BYTES)
        except FileNotFoundError:
            return None

    def write_file(self, path: str, data: bytes, *, sync: bool = False) -> None:
        """Writes a file whole or not at all: beside it, and renamed over it.

        sync: it outlasts a crash of the machine too. OSError where that fails; then no part is left.
        """
        part = f"{path}.{os.getpid()}"
        try:
            with open(part, "wb") as file:
                file.write(data)
                file.flush()
                if sync:
                    os.fsync(file.fileno())
            os.replace(part, path)
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(part)
            raise

    def touch(self, path: str) -> None:
        """Dates a file by the monotonic clock: its process is running. That needs no space on the disk.

        OSError where that fails too.
        """
        now_ns = self.monotonic_ns()
        os.utime(path, ns=(now_ns, now_ns))

    def remove_temporary_files(self, path: str) -> None:
        """Removes what ended processes left of their writes of this file."""
        folder, _, name = path.rpartition("/")
        with contextlib.suppress(OSError):
            for found in os.listdir(folder):
                start, _, pid = found.rpartition(".")
                if start == name and pid.isdigit() and not os.path.exists(f"/proc/{pid}"):
                    os.unlink(f"{folder}/{found}")

    def stat(self, path: str) -> FileStat | None:
        """Returns what tells one content of a file from another; None where there is no such file."""
        try:
            found = os.stat(path)
        except OSError:
            return None
        return FileStat(found.st_ino, found.st_mtime_ns, found.st_size)

    def log(self, line: str) -> None:
        """Writes a complete line of the log; OSError where it can't be written."""
        sys.stderr.write(line)
        sys.stderr.flush()

    def usage(self) -> dict[str, int]:
        """Returns what the process used so far: CPU in milliseconds, the most memory it held in KB."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        return {"cpu_ms": round((used.ru_utime + used.ru_stime) * 1000), "memory_kb": used.ru_maxrss}


@functools.cache
def _boot_id() -> str:
    """Returns the name of this run of the machine; empty where the system doesn't say."""
    try:
        with open(BOOT_ID_PATH, encoding="ascii") as file:
            return file.read().strip()
    except (OSError, ValueError):
        return ""


HOST = Host()
