"""Starts the program as the platform does, and signals and ends its processes.

The kernel kills each process when this one dies (PR_SET_PDEATHSIG), so that none is left behind. Only
processes started here are signalled, through the handle that started them.
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
MAX_READ_BYTES: Final = 1 << 16  # of a log in one call


def _die_with(parent: int):
    """Returns the function that the child runs before exec."""

    def prepare() -> None:
        LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
        for number in (signal.SIGHUP, signal.SIGUSR1):  # as `run` in deploy/balancer.toml has it
            signal.signal(number, signal.SIG_IGN)
        if os.getppid() != parent:  # the parent died before prctl
            os._exit(1)

    return prepare


class Program:
    """One process. `log` is its standard error, a file."""

    def __init__(
        self,
        arguments: list[str],
        env: dict[str, str],
        log: Path,
        folder: Path,
        inherited_fd: int | None = None,
    ) -> None:
        """Starts it in `folder`. `arguments`: for Python; `inherited_fd`: a descriptor to pass on."""
        self.log = log
        self._read = log.stat().st_size if log.exists() else 0
        self._partial_line = b""
        self.asked_to_end = False
        self.listening = False  # as its log says; from then on it handles signals
        # Bytecode is used as in a deployment, where `build` writes it; test environments may disable it.
        inherited = {
            k: v
            for k, v in os.environ.items()
            if not k.startswith("RELAY_") and k != "PYTHONDONTWRITEBYTECODE"
        }
        inherited["PYTHONPATH"] = str(ROOT)
        with open(log, "ab") as out:
            self.process = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=subprocess.DEVNULL,
                stderr=out,
                stdin=subprocess.DEVNULL,
                cwd=folder,
                env=inherited | env,
                preexec_fn=_die_with(os.getpid()),
                pass_fds=() if inherited_fd is None else (inherited_fd,),
            )

    @property
    def alive(self) -> bool:
        """Whether the process has not exited."""
        return self.process.poll() is None

    def signal(self, number: int) -> None:
        """Sends a signal, if the process is alive."""
        if self.alive:
            self.process.send_signal(number)

    def terminate(self) -> None:
        """Sends SIGTERM; its exit is expected from now on."""
        self.asked_to_end = True
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kills the process and waits for its exit."""
        self.asked_to_end = True
        if self.alive:
            self.process.kill()
        self.process.wait()

    def wait(self, seconds: float) -> bool:
        """Waits for its exit; returns False if it still runs after this time."""
        try:
            self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return False
        return True

    def new_lines(self) -> list[str]:
        """Returns the complete log lines written since the last call."""
        with open(self.log, "rb") as file:
            file.seek(self._read)
            data = file.read(MAX_READ_BYTES)
        self._read += len(data)
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        return [line.decode("utf-8", "replace") for line in lines]

    def cpu_ms(self) -> float:
        """Returns the CPU time used so far; 0 if the process has exited."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
            return (int(fields[11]) + int(fields[12])) * 1000 / os.sysconf("SC_CLK_TCK")
        return 0.0

    def memory_kb(self) -> int:
        """Returns the resident memory; 0 if the process has exited."""
        with contextlib.suppress(OSError, ValueError, IndexError):
            for text in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if text.startswith("VmRSS:"):
                    return int(text.split()[1])
        return 0


def parse_log_line(line: str, event: str) -> dict[str, Any] | None:
    """Returns the object of a log line `TIME NAME EVENT {...}`; None if the line is not of this event."""
    parts = line.split(" ", 3)
    if len(parts) < 4 or parts[2] != event:
        return None
    try:
        value = json.loads(parts[3])
    except ValueError:
        return None
    return value if isinstance(value, dict) else None
