"""The settings of one gateway's shim while it runs: a small file that testbed and shim map into memory.

The testbed writes, the shim in the gateway's process reads at each call. All values are floating-point
numbers at fixed places; what is not set is 0, which disturbs nothing.
"""

from __future__ import annotations

import mmap
import struct
from enum import IntEnum
from pathlib import Path
from typing import Final


class Knob(IntEnum):
    """The place of each value."""

    WALL_OFFSET_S = 0  # the wall clock is ahead of the machine's by so much
    ACCEPT_SHARE = 1  # part of the calls of accept that fail
    CONNECT_SHARE = 2  # of connect
    SOCKET_SHARE = 3  # of socket
    SHORT_SHARE = 4  # part of the reads and writes that take a few bytes, or none for now
    BROKEN_SHARE = 5  # part of the reads from backends by which the connection shows as broken
    WAIT_SHARE = 6  # part of the waits that end with nothing
    WRITE_SHARE = 7  # part of the writes, syncs and renames in $TMPDIR that fail
    READ_SHARE = 8  # part of the reads in $TMPDIR that fail
    KILL_IN_WRITE = 9  # 1: the next write in $TMPDIR is left half done, and the process is killed
    SEED = 10  # of the draws above; a whole number


VALUE: Final = struct.Struct("<d")  # one value: a double, in the same byte order on every machine
FILE_BYTES: Final = VALUE.size * len(Knob)


class ShimControl:
    """The mapped file. OSError where it can't be opened."""

    def __init__(self, path: Path) -> None:
        """Maps the file, which is created with every value at 0 where there is none."""
        if not path.exists():
            path.write_bytes(bytes(FILE_BYTES))
        with open(path, "r+b") as file:
            self._map = mmap.mmap(file.fileno(), FILE_BYTES)

    def get(self, knob: Knob) -> float:
        """The value at present."""
        return VALUE.unpack_from(self._map, knob * VALUE.size)[0]

    def set(self, knob: Knob, value: float) -> None:
        """Holds from the next call in the gateway on, and for its later processes."""
        VALUE.pack_into(self._map, knob * VALUE.size, value)

    def close(self) -> None:
        """Takes the file out of this process's memory."""
        self._map.close()
