"""Processes of the program: started as the platform starts them, signalled, ended, and none left behind.

Each is asked of the system to die with this process, however that ends; only processes started here are
ever signalled, by the handle that started them.
"""

from __future__ import annotations

import contextlib
import ctypes
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any, Final

ROOT = Path(__file__).resolve().parents[2]
PR_SET_PDEATHSIG: Final = 1  # linux/prctl.h
LIBC = ctypes.CDLL(None, use_errno=True)
MAX_READ_BYTES: Final = 1 << 16  # of a log in one go


def _die_with(parent: int):
    """Run in the child before it becomes the program."""

    def prepare() -> None:
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
        for number in (signal.SIGHUP, signal.SIGUSR1):  # as `run` in deploy/balancer.toml has it
            signal.signal(number, signal.SIG_IGN)
        if os.getppid() != parent:  # it died before that was asked
            os._exit(1)

    return prepare


class Program:
    """One process. `log` is its standard error, a file."""

    def __init__(
        self, arguments: list[str], env: dict[str, str], log: Path, folder: Path, listening: int | None = None
    ) -> None:
        """Starts it in `folder`. `arguments`: Python's; `listening`: a descriptor that it inherits."""
        self.log = log
        self._read = log.stat().st_size if log.exists() else 0
        self._partial_line = b""
        self.asked_to_end = False
        self.up = False  # its log says that it listens: from here on it knows its signals
        # as deployed: `build` leaves bytecode, which an environment for tests may tell Python not to write
        kept = {
            k: v
            for k, v in os.environ.items()
            if not k.startswith("RELAY_") and k != "PYTHONDONTWRITEBYTECODE"
        }
        kept["PYTHONPATH"] = str(ROOT)
        with open(log, "ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=subprocess.DEVNULL,
                stderr=out,
                stdin=subprocess.DEVNULL,
                cwd=folder,
                env=kept | env,
                preexec_fn=_die_with(os.getpid()),
                pass_fds=() if listening is None else (listening,),
            )

    @property
    def alive(self) -> bool:
        """The process has not ended."""
        return self.process.poll() is None

    def signal(self, number: int) -> None:
        """Sends a signal, if the process is alive."""
        if self.alive:
            self.process.send_signal(number)

    def terminate(self) -> None:
        """SIGTERM; its end is expected from now on."""
        self.asked_to_end = True
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        """At once, and waited for."""
        self.asked_to_end = True
        if self.alive:
            self.process.kill()
        self.process.wait()

    def wait(self, seconds: float) -> bool:
        """False: it runs on."""
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return False
        return True

    def new_lines(self) -> list[str]:
        """Complete lines of the log since the last call."""
        with open(self.log, "rb") as file:
            file.seek(self._read)
            data = file.read(MAX_READ_BYTES)
        self._read += len(data)
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        return [line.decode("utf-8", "replace") for line in lines]

    def cpu_ms(self) -> float:
        """Processor time so far; 0 where it has ended."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
            return (int(fields[11]) + int(fields[12])) * 1000 / os.sysconf("SC_CLK_TCK")
        return 0.0

    def memory_kb(self) -> int:
        """Resident, at present; 0 where it has ended."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            for text in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if text.startswith("VmRSS:"):
                    return int(text.split()[1])
        return 0


def parse_log_line(line: str, event: str) -> dict[str, Any] | None:
    """The object of a log line `TIME NAME EVENT {...}` of this event; None where the line is another."""
    parts = line.split(" ", 3)
    if len(parts) < 4 or parts[2] != event:
        return None
    try:
        found = json.loads(parts[3])
    except ValueError:
        return None
    return found if isinstance(found, dict) else None
