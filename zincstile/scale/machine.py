"""What the system tells of this machine and of this process: core time, memory, descriptor limit."""

from __future__ import annotations

import os
import resource
import time
from pathlib import Path
from typing import Final, NamedTuple

IDLE_FIELD: Final = 3  # of the line `cpu` in /proc/stat (man 5 proc), counted after its name
IO_WAIT_FIELD: Final = 4
CPU_FIELDS: Final = slice(1, 9)  # user to steal; guest time is part of user time already


class CoreTimes(NamedTuple):
    """Time of all cores since the machine's start, in clock ticks, at a time in unix seconds."""

    at_s: float
    busy: int
    total: int


def core_times() -> CoreTimes:
    """Reads /proc/stat now."""
    first_line = Path("/proc/stat").read_text().splitlines()[0]
    ticks = [int(field) for field in first_line.split()[CPU_FIELDS]]
    total = sum(ticks)
    return CoreTimes(time.time(), total - ticks[IDLE_FIELD] - ticks[IO_WAIT_FIELD], total)


def resident_bytes() -> int:
    """Resident memory of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def raise_descriptor_limit() -> None:
    """Lets this process open as many files as the system allows."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
