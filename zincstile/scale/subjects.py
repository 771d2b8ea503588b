"""Measured processes: one real gateway, or many hollow ones, with what the system shows of them.

Processor time is that of /proc/PID/task/TID/schedstat (nanoseconds on a processor), memory is VmRSS of
/proc/PID/status. A hollow gateway is measured by its thread, and by its part of what the process grew.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from ..testbed.programs import Program, parse_log_line
from .records import Kind

HOLLOW_PROCESS: Final = Path(__file__).with_name("hollow_process.py")
NS: Final = 1e-9
ANSWER_S: Final = 10.0  # for counters to be printed


class SubjectError(RuntimeError):
    """The measured process ended, or does not answer; one line with the end of its log."""


class Subject:
    """The gateways of one process. `files`: their configurations; `tree`: the measured sources."""

    def __init__(self, kind: Kind, files: list[Path], tree: Path, folder: Path) -> None:
        """Starts the process at once."""
        self.kind, self.files, self.folder = kind, files, folder
        self.log = folder / "gateway.log"
        self.threads: list[int] = []
        self.baseline_bytes = 0
        self._lines: list[str] = []
        env = {"PYTHONPATH": str(tree), "TMPDIR": str(folder)}
        if kind is Kind.REAL:
            env["RELAY_CONFIG"] = str(files[0])
            arguments = ["-m", "zincstile"]
        else:
            arguments = ["-P", str(HOLLOW_PROCESS), *map(str, files)]
        self.program = Program(arguments, env, self.log, folder)

    @property
    def pid(self) -> int:
        """Process id of the gateways' process."""
        return self.program.process.pid

    def check(self) -> None:
        """SubjectError where the process has ended."""
        if not self.program.alive:
            tail = self.log.read_text(errors="replace").strip().splitlines()[-1:] or ["nothing in its log"]
            raise SubjectError(f"the {self.kind.value} gateway ended: {tail[0][:200]}")

    async def _log_lines(self, event: str, count: int) -> list[dict[str, Any]]:
        """The next `count` log lines of that event, as their figures."""
        loop = asyncio.get_running_loop()
        until, found = loop.time() + ANSWER_S, []
        while len(found) < count:
            self._lines += self.program.new_lines()
            kept = []
            for line in self._lines:
                figures = parse_log_line(line, event)
                if figures is None:
                    kept.append(line)
                else:
                    found.append(figures)
            self._lines = kept[-1000:]
            self.check()
            if loop.time() > until:
                raise SubjectError(f"the {self.kind.value} gateway printed no {event} within {ANSWER_S:g} s")
            await asyncio.sleep(0.01)
        return found

    async def started(self) -> None:
        """Once the threads of hollow gateways are known."""
        if self.kind is Kind.HOLLOW:
            self.baseline_bytes = (await self._log_lines("baseline", 1))[0]["resident_bytes"]
            self.threads = [figures["tid"] for figures in await self._log_lines("thread", len(self.files))]

    async def counters(self) -> list[dict[str, Any]]:
        """Counters of each gateway, printed now."""
        self.program.signal(signal.SIGUSR1)
        return await self._log_lines("counters", len(self.files))

    def reload(self, change: Callable[[dict[str, Any]], None]) -> None:
        """Changes every configuration file and has it read again."""
        for path in self.files:
            table = json.loads(path.read_bytes())
            change(table)
            part = path.with_suffix(".part")
            part.write_text(json.dumps(table), encoding="utf-8")
            os.replace(part, path)
        self.program.signal(signal.SIGHUP)

    def cpu_s(self) -> float:
        """Processor time so far of one gateway, the mean of all."""
        threads = self.threads or [int(t) for t in os.listdir(f"/proc/{self.pid}/task")]
        used = sum(self._thread_ns(tid) for tid in threads)
        return used * NS / len(self.files)

    def _thread_ns(self, tid: int) -> int:
        with contextlib.suppress(OSError):
            return int(Path(f"/proc/{self.pid}/task/{tid}/schedstat").read_text().split()[0])
        return 0

    def memory_bytes(self) -> float:
        """Resident memory of one gateway at present."""
        return (self.program.memory_kb() * 1024 - self.baseline_bytes) / len(self.files)

    def end(self) -> None:
        """At once."""
        self.program.kill()
