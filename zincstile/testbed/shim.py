"""Runs the program with faults of its machine: `python -m zincstile.testbed.shim CONTROL_FILE`.

Replaces, in this process alone, calls of the program to the system: the wall clock, sockets, the wait of
the event loop, and files in `$TMPDIR`. The program itself is unchanged. Each call reads from the control
file (`shim_control`) whether it may fail.

Calls fail with the errors that Linux documents for them (accept(2), connect(2), socket(2), write(2),
fsync(2), rename(2)). A failed accept leaves the connection in the queue. EINTR is not
simulated, as Python itself retries it (PEP 475); a wait without events stands in for it.
"""

from __future__ import annotations

import _socket
import builtins
import errno
import os
import random
import selectors
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any, Final

from .shim_control import Knob, ShimControl

# Errors that Linux documents for each call; a failing call draws one of them.
ACCEPT_ERRORS: Final = (
    errno.ECONNABORTED,
    errno.ENFILE,
    errno.EMFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPERM,
    errno.ENETDOWN,
    errno.EPROTO,
)
CONNECT_ERRORS: Final = (
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
    errno.ECONNREFUSED,
    errno.ENOBUFS,
)
SOCKET_ERRORS: Final = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM)
BROKEN_ERRORS: Final = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
WRITE_ERRORS: Final = (errno.ENOSPC, errno.EIO)
READ_ERRORS: Final = (errno.EIO, errno.ENFILE, errno.EMFILE)
MAX_SHORT_BYTES: Final = 16  # of a short read or write, so that most commands take several


class Shim:
    """Replacements for calls to the system; `install` activates them."""

    def __init__(self, control: ShimControl, folder: str) -> None:
        """`control`: failure rates of the calls; `folder`: the folder whose files have faults."""
        self.control = control
        self.folder = os.path.realpath(folder)
        # The size of the log is part of the seed, so that a restarted process draws differently.
        self.rng = random.Random(f"shim {control.get(Knob.SEED)} {os.fstat(2).st_size}")
        self.connected: dict[int, None] = {}  # descriptors of outgoing connections

    def draw(self, knob: Knob) -> bool:
        """Returns True with the probability set for this call; draws nothing if that is 0."""
        share = self.control.get(knob)
        return share > 0 and self.rng.random() < share

    def fail(self, knob: Knob, errors: tuple[int, ...]) -> None:
        """Raises OSError with one of these error numbers, with the probability set for this call."""
        if self.draw(knob):
            number = self.rng.choice(errors)
            raise OSError(number, os.strerror(number))

    def install(self) -> None:
        """Replaces the calls for the whole process."""
        self._install_clock()
        self._install_socket_setup()
        self._install_socket_transfers()
        self._install_wait()
        self._install_files()

    # ---- the wall clock

    def _install_clock(self) -> None:
        control = self.control
        real_ns = time.time_ns
        real = time.time
        time.time_ns = lambda: real_ns() + round(control.get(Knob.WALL_OFFSET_S) * 1e9)
        time.time = lambda: real() + control.get(Knob.WALL_OFFSET_S)

    # ---- sockets

    def _install_socket_setup(self) -> None:
        """Lets creating, accepting and connecting a socket fail."""
        shim = self
        real_init = socket.socket.__init__
        real_accept = socket.socket.accept

        def init(sock: Any, family: int = -1, type: int = -1, proto: int = -1, fileno: Any = None) -> None:
            if fileno is None:
                shim.fail(Knob.SOCKET_SHARE, SOCKET_ERRORS)
            real_init(sock, family, type, proto, fileno)
            shim.connected.pop(sock.fileno(), None)

        def accept(sock: Any) -> Any:
            shim.fail(Knob.ACCEPT_SHARE, ACCEPT_ERRORS)
            return real_accept(sock)

        def connect(sock: Any, address: Any) -> None:
            shim.fail(Knob.CONNECT_SHARE, CONNECT_ERRORS)
            shim.connected[sock.fileno()] = None
            _socket.socket.connect(sock, address)

        socket.socket.__init__ = init
        socket.socket.accept = accept
        socket.socket.connect = connect

    def _install_socket_transfers(self) -> None:
        """Lets socket reads and writes be short, and reads find the connection broken."""
        shim = self

        def recv_into(sock: Any, buffer: Any, size: int = 0, flags: int = 0) -> int:
            if sock.fileno() in shim.connected:
                shim.fail(Knob.BROKEN_SHARE, BROKEN_ERRORS)
            if shim.draw(Knob.SHORT_SHARE):
                size = shim.short_length(size or len(buffer))
            return _socket.socket.recv_into(sock, buffer, size, flags)

        def send(sock: Any, data: Any, flags: int = 0) -> int:
            if shim.draw(Knob.SHORT_SHARE) and sock.type == socket.SOCK_STREAM:
                data = memoryview(data)[: shim.short_length(len(data))]
            return _socket.socket.send(sock, data, flags)

        socket.socket.recv_into = recv_into
        socket.socket.send = send

    def short_length(self, size: int) -> int:
        """Returns the bytes of `size` that a short call transfers; raises BlockingIOError in place of 0."""
        number = self.rng.randint(0, min(size, MAX_SHORT_BYTES))
        if not number:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        return number

    # ---- the event loop's wait

    def _install_wait(self) -> None:
        shim = self
        owner = selectors.DefaultSelector
        real = owner.select

        def select(selector: Any, timeout: float | None = None) -> Any:
            return [] if shim.draw(Knob.WAIT_SHARE) else real(selector, timeout)

        owner.select = select

    # ---- files in $TMPDIR

    def is_faulty_path(self, path: object) -> bool:
        """Returns whether the path is in the folder whose files have faults."""
        return isinstance(path, str | Path) and os.path.realpath(path).startswith(self.folder + os.sep)

    def _install_files(self) -> None:
        shim = self
        real_open = builtins.open
        real_replace = os.replace
        real_sync = os.fsync

        def open_(path: Any, mode: str = "r", *more: Any, **named: Any) -> Any:
            if not shim.is_faulty_path(path):
                return real_open(path, mode, *more, **named)
            if "r" in mode:
                shim.fail(Knob.READ_SHARE, READ_ERRORS)
                return real_open(path, mode, *more, **named)
            return FaultyFile(shim, real_open(path, mode, *more, **named))

        def replace(source: Any, target: Any) -> None:
            if shim.is_faulty_path(target):
                shim.fail(Knob.WRITE_SHARE, WRITE_ERRORS)
            real_replace(source, target)

        def sync(number: int) -> None:
            shim.fail(Knob.WRITE_SHARE, WRITE_ERRORS)
            real_sync(number)

        builtins.open = open_
        os.replace = replace
        os.fsync = sync


class FaultyFile:
    """A file in `$TMPDIR` opened for writing, whose writes may fail."""

    def __init__(self, shim: Shim, file: Any) -> None:
        """`file`: the real file."""
        self._shim = shim
        self._file = file

    def __enter__(self) -> FaultyFile:
        """Returns itself, so that writes inside `with` may fail too."""
        return self

    def __exit__(self, *what: object) -> None:
        """Closes the file, without a fault."""
        self._file.close()

    def __getattr__(self, name: str) -> Any:
        """Returns the real file's member; only `write` is replaced."""
        return getattr(self._file, name)

    def write(self, data: bytes) -> int:
        """Writes the data, or only half of it before the process is killed or an error is raised."""
        shim = self._shim
        half = data[: len(data) // 2]
        if shim.control.get(Knob.KILL_IN_WRITE):
            shim.control.set(Knob.KILL_IN_WRITE, 0)
            self._file.write(half)
            self._file.flush()
            os.kill(os.getpid(), signal.SIGKILL)
        if shim.draw(Knob.WRITE_SHARE):
            self._file.write(half)
            number = shim.rng.choice(WRITE_ERRORS)
            raise OSError(number, os.strerror(number))
        return self._file.write(data)


def main(arguments: list[str]) -> int:
    """Installs the shim, then serves; returns the exit code."""
    Shim(ShimControl(Path(arguments[0])), os.environ.get("TMPDIR") or "/tmp").install()
    from ..serve import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
