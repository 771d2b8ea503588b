"""The program under faults of its machine: `python -m zincstile.testbed.shim CONTROL_FILE`.

Replaces, in this process alone, what the program calls of the system: the wall clock, sockets, the wait of
the event loop, and files in `$TMPDIR`. Nothing of the program is changed. When and how often something
fails is read from the control file at each call (`shim_control`).

Calls fail with the errors that Linux documents for them (accept(2), connect(2), socket(2), write(2),
fsync(2), rename(2)). An accept that fails leaves the connection in the queue. Not shown: EINTR, which
Python itself tries again (PEP 475), so that here a wait ends with nothing instead.
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
FEW_BYTES: Final = 16  # of a short read or write, at most


class Shim:
    """The replaced calls. `install` puts them in place."""

    def __init__(self, control: ShimControl, folder: str) -> None:
        self.control, self.folder = control, os.path.realpath(folder)
        # a process that is started again draws otherwise, by how many bytes its log has
        self.rng = random.Random(f"shim {control.get(Knob.SEED)} {os.fstat(2).st_size}")
        self.dialled: dict[int, None] = {}  # descriptors that this process has connected

    def _draw(self, knob: Knob) -> bool:
        share = self.control.get(knob)
        return share > 0 and self.rng.random() < share

    def _fail(self, knob: Knob, errors: tuple[int, ...]) -> None:
        if self._draw(knob):
            number = self.rng.choice(errors)
            raise OSError(number, os.strerror(number))

    def install(self) -> None:
        """From here on the process calls these."""
        self._install_clock()
        self._install_sockets()
        self._install_wait()
        self._install_files()

    # ---- the wall clock

    def _install_clock(self) -> None:
        control, real_ns, real = self.control, time.time_ns, time.time
        time.time_ns = lambda: real_ns() + round(control.get(Knob.WALL_OFFSET_S) * 1e9)
        time.time = lambda: real() + control.get(Knob.WALL_OFFSET_S)

    # ---- sockets

    def _install_sockets(self) -> None:
        shim, real = self, _socket.socket
        real_init, real_accept = socket.socket.__init__, socket.socket.accept

        def init(sock: Any, family: int = -1, type: int = -1, proto: int = -1, fileno: Any = None) -> None:
            if fileno is None:
                shim._fail(Knob.SOCKET_SHARE, SOCKET_ERRORS)
            real_init(sock, family, type, proto, fileno)
            shim.dialled.pop(sock.fileno(), None)

        def accept(sock: Any) -> Any:
            shim._fail(Knob.ACCEPT_SHARE, ACCEPT_ERRORS)
            return real_accept(sock)

        def connect(sock: Any, address: Any) -> None:
            shim._fail(Knob.CONNECT_SHARE, CONNECT_ERRORS)
            shim.dialled[sock.fileno()] = None
            real.connect(sock, address)

        def recv_into(sock: Any, buffer: Any, size: int = 0, flags: int = 0) -> int:
            if sock.fileno() in shim.dialled:
                shim._fail(Knob.BROKEN_SHARE, BROKEN_ERRORS)
            if shim._draw(Knob.SHORT_SHARE):
                size = shim._few(size or len(buffer))
            return real.recv_into(sock, buffer, size, flags)

        def send(sock: Any, data: Any, flags: int = 0) -> int:
            if shim._draw(Knob.SHORT_SHARE) and sock.type == socket.SOCK_STREAM:
                data = memoryview(data)[: shim._few(len(data))]
            return real.send(sock, data, flags)

        for name, call in (
            ("__init__", init),
            ("accept", accept),
            ("connect", connect),
            ("recv_into", recv_into),
            ("send", send),
        ):
            setattr(socket.socket, name, call)

    def _few(self, size: int) -> int:
        """So many bytes of them; BlockingIOError in place of none."""
        number = self.rng.randint(0, min(size, FEW_BYTES))
        if not number:
            raise BlockingIOError(errno.EAGAIN, os.strerror(errno.EAGAIN))
        return number

    # ---- the event loop's wait

    def _install_wait(self) -> None:
        shim, owner = self, selectors.DefaultSelector
        real = owner.select

        def select(selector: Any, timeout: float | None = None) -> Any:
            return [] if shim._draw(Knob.WAIT_SHARE) else real(selector, timeout)

        owner.select = select

    # ---- files in $TMPDIR

    def _inside(self, path: object) -> bool:
        return isinstance(path, str | Path) and os.path.realpath(path).startswith(self.folder + os.sep)

    def _install_files(self) -> None:
        shim = self
        real_open, real_replace, real_sync = builtins.open, os.replace, os.fsync

        def open_(path: Any, mode: str = "r", *more: Any, **named: Any) -> Any:
            if not shim._inside(path):
                return real_open(path, mode, *more, **named)
            if "r" in mode:
                shim._fail(Knob.READ_SHARE, READ_ERRORS)
                return real_open(path, mode, *more, **named)
            return FaultyFile(shim, real_open(path, mode, *more, **named))

        def replace(source: Any, target: Any) -> None:
            if shim._inside(target):
                shim._fail(Knob.WRITE_SHARE, WRITE_ERRORS)
            real_replace(source, target)

        def sync(number: int) -> None:
            shim._fail(Knob.WRITE_SHARE, WRITE_ERRORS)
            real_sync(number)

        builtins.open, os.replace, os.fsync = open_, replace, sync


class FaultyFile:
    """A file that is written in `$TMPDIR`."""

    def __init__(self, shim: Shim, file: Any) -> None:
        self._shim, self._file = shim, file

    def __enter__(self) -> FaultyFile:
        return self

    def __exit__(self, *what: object) -> None:
        self._file.close()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._file, name)

    def write(self, data: bytes) -> int:
        """Half of it where the process is killed in the middle, or the disk is full."""
        shim, half = self._shim, data[: len(data) // 2]
        if shim.control.get(Knob.KILL_IN_WRITE):
            shim.control.set(Knob.KILL_IN_WRITE, 0)
            self._file.write(half)
            self._file.flush()
            os.kill(os.getpid(), signal.SIGKILL)
        if shim._draw(Knob.WRITE_SHARE):
            self._file.write(half)
            number = shim.rng.choice(WRITE_ERRORS)
            raise OSError(number, os.strerror(number))
        return self._file.write(data)


def main(words: list[str]) -> int:
    """Installs the shim, then serves; returns the exit code."""
    Shim(ShimControl(Path(words[0])), os.environ.get("TMPDIR") or "/tmp").install()
    from ..serve import serve

    return serve()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
