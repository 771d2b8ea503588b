"""The interface between the network code and the machine: clocks, sockets, files and the log.

`Host` is the real machine. The virtual one (`zincstile/virtual/host.py`) has the same attributes, so that the
modules of `net` run unchanged on either. A host is created at the top and passed down; nothing in `net` uses
the clock, a raw socket or the environment directly. The clocks are attributes that hold the system's own
functions, which avoids a call for each reading.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import functools
import os
import resource
import select
import socket
import struct
import sys
import termios
import time
from typing import Final, NamedTuple

from ..admin.timestamp import Timestamp
from .config import Address, Config, ConfigError, reload

NS_PER_MS: Final = 1_000_000
BOOT_ID_PATH: Final = "/proc/sys/kernel/random/boot_id"  # proc(5): an id of this boot of the machine
IP_FAMILIES: Final = (socket.AF_INET, socket.AF_INET6)
TCP_INFO_BYTES: Final = 104  # the part of struct tcp_info (linux/tcp.h) that is read
LAST_DATA_RECEIVED_OFFSET: Final = 52  # offset of its tcpi_last_data_recv
LAST_DATA_RECEIVED: Final = struct.Struct("=I")  # in milliseconds
MAX_UNREAD_MS: Final = 60_000  # a larger value is invalid: a client's connection is closed well before
QUEUE_SIZE: Final = struct.Struct("=i")  # the result of SIOCOUTQ, in bytes
MAX_FILE_BYTES: Final = 1 << 20  # read of a file in $TMPDIR; bounds the memory if it is a foreign file


class FileStat(NamedTuple):
    """The status of a file when it was last read; a rename gives a new inode."""

    inode: int
    modified_ns: int
    size_bytes: int


class Host:
    """The machine that the process runs on."""

    __slots__ = ()

    monotonic_ns = staticmethod(time.monotonic_ns)  # never goes back; used for all durations
    unix_ns = staticmethod(time.time_ns)  # used for discovery's timestamps and the log

    def listen(self, address: Address, backlog: int) -> socket.socket:
        """Returns a non-blocking listening socket. Raises OSError if the address can't be bound."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        # The explicit protocol number is inherited by accepted connections; asyncio sets TCP_NODELAY only on
        # sockets that have it. Without TCP_NODELAY the kernel delays a small answer until the previous one is
        # acknowledged, and a reset drops it.
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
        """Returns the clients' listening socket inherited from the platform (`$RELAY_SOCKET_FD`).

        An old and a new process accept clients from its one queue. Raises ConfigError if the descriptor is
        not a listening TCP socket, which would otherwise fail later and far from the cause.
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
        """Tells whether a connection has unread bytes or an unread end of stream."""
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def peer_has_ended(self, transport: asyncio.Transport) -> bool:
        """Tells whether the peer has shut down its sending side, even if bytes before that are unread."""
        poll = select.poll()
        poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def last_received_age_ns(self, transport: asyncio.Transport) -> int:
        """Returns how long ago the machine last received data on a connection (tcp(7), TCP_INFO).

        Returns 0 if that is not available or not plausible.
        """
        try:
            info = transport.get_extra_info("socket").getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
            )
            (age_ms,) = LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)
        except (OSError, AttributeError, struct.error):
            return 0
        return age_ms * NS_PER_MS if age_ms <= MAX_UNREAD_MS else 0

    def unacknowledged_bytes(self, transport: asyncio.Transport) -> int:
        """Returns how many sent bytes the peer's machine has not acknowledged (tcp(7), SIOCOUTQ).

        Returns 0 if that is not available.
        """
        try:
            file_descriptor = transport.get_extra_info("socket").fileno()
            result = fcntl.ioctl(file_descriptor, termios.TIOCOUTQ, bytes(QUEUE_SIZE.size))
        except (OSError, AttributeError, ValueError):
            return 0
        (size_bytes,) = QUEUE_SIZE.unpack(result)
        return max(0, size_bytes)

    def reload_config(self) -> Config:
        """Reads the configuration file again. Raises ConfigError or OSError if it can't be used."""
        return reload(os.environ)

    def tmpdir(self) -> str:
        """Returns the folder for files shared with other processes of this gateway."""
        return os.environ.get("TMPDIR") or "/tmp"

    def timestamp(self) -> Timestamp:
        """Returns the current time in a form that other processes of this machine can compare."""
        return Timestamp(self.monotonic_ns(), self.unix_ns(), _boot_id())

    def read_file(self, path: str) -> bytes | None:
        """Returns at most `MAX_FILE_BYTES` of a file's content, or None if there is no such file.

        Raises OSError if it can't be read, even if only temporarily.
        """
        try:
            with open(path, "rb") as file:
                return file.read(MAX_FILE_BYTES)
        except FileNotFoundError:
            return None

    def write_file(self, path: str, data: bytes, *, sync: bool = False) -> None:
        """Replaces a file atomically: writes a temporary file and renames it.

        sync: the new content also survives a crash of the machine. Raises OSError if that fails; then the
        temporary file is removed.
        """
        temporary_path = f"{path}.{os.getpid()}"
        try:
            with open(temporary_path, "wb") as file:
                file.write(data)
                file.flush()
                if sync:
                    os.fsync(file.fileno())
            os.replace(temporary_path, path)
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(temporary_path)
            raise

    def append_file(self, path: str, data: bytes) -> None:
        """Appends to a file in one write, so that lines of several processes don't mix. Raises OSError."""
        descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
        try:
            os.write(descriptor, data)
        finally:
            os.close(descriptor)

    def touch(self, path: str) -> None:
        """Sets a file's modification time to the monotonic clock, to show that its process is running.

        That needs no disk space. Raises OSError if it fails.
        """
        now_ns = self.monotonic_ns()
        os.utime(path, ns=(now_ns, now_ns))

    def remove_temporary_files(self, path: str) -> None:
        """Removes the temporary files that ended processes left when they wrote this file."""
        folder, _, name = path.rpartition("/")
        with contextlib.suppress(OSError):
            for entry in os.listdir(folder):
                base, _, pid = entry.rpartition(".")
                if base == name and pid.isdigit() and not os.path.exists(f"/proc/{pid}"):
                    os.unlink(f"{folder}/{entry}")

    def stat(self, path: str) -> FileStat | None:
        """Returns the status by which a change of a file is detected, or None if there is no such file."""
        try:
            status = os.stat(path)
        except OSError:
            return None
        return FileStat(status.st_ino, status.st_mtime_ns, status.st_size)

    def log(self, line: str) -> None:
        """Writes a complete line of the log. Raises OSError if it can't be written."""
        sys.stderr.write(line)
        sys.stderr.flush()

    def usage(self) -> dict[str, int]:
        """Returns the CPU time in milliseconds and the peak memory in KB that the process has used."""
        used = resource.getrusage(resource.RUSAGE_SELF)
        return {"cpu_ms": round((used.ru_utime + used.ru_stime) * 1000), "memory_kb": used.ru_maxrss}


@functools.cache
def _boot_id() -> str:
    """Returns the id of this boot of the machine; empty if the system doesn't provide it."""
    try:
        with open(BOOT_ID_PATH, encoding="ascii") as file:
            return file.read().strip()
    except (OSError, ValueError):
        return ""


HOST = Host()
