"""Settings of a gateway's shim, in a small file that the testbed and the shim map into memory.

The testbed writes the values, and the shim in the gateway's process reads them at each call. All values are
floating-point numbers at fixed positions; the default 0 has no effect.
"""

from __future__ import annotations

import mmap
import struct
from enum import IntEnum
from pathlib import Path
from typing import Final


class Knob(IntEnum):
    """The position of each value."""

    WALL_OFFSET_S = 0  # offset of the wall clock from the machine's
    ACCEPT_SHARE = 1  # share of calls of accept that fail
    CONNECT_SHARE = 2  # share of calls of connect that fail
    SOCKET_SHARE = 3  # share of calls that create a socket that fail
    SHORT_SHARE = 4  # share of reads and writes that transfer a few bytes, or would block
    BROKEN_SHARE = 5  # share of reads on outgoing connections that find them broken
    WAIT_SHARE = 6  # share of waits that end without events
    WRITE_SHARE = 7  # share of writes, syncs and renames in $TMPDIR that fail
    READ_SHARE = 8  # share of reads in $TMPDIR that fail
    KILL_IN_WRITE = 9  # 1: the process is killed halfway through its next write in $TMPDIR
    SEED = 10  # of the random draws; a whole number


VALUE: Final = struct.Struct("<d")  # a little-endian double
FILE_BYTES: Final = VALUE.size * len(Knob)


class ShimControl:
    """The mapped file. Raises OSError if it can't be opened."""

    def __init__(self, path: Path) -> None:
        """Maps the file; creates it with all values 0 if it does not exist."""
        if not path.exists():
            path.write_bytes(bytes(FILE_BYTES))
        with open(path, "r+b") as file:
            self._map = mmap.mmap(file.fileno(), FILE_BYTES)

    def get(self, knob: Knob) -> float:
        """Returns the current value."""
        return VALUE.unpack_from(self._map, knob * VALUE.size)[0]

    def set(self, knob: Knob, value: float) -> None:
        """Sets the value for later calls of the gateway, also in its later processes."""
        VALUE.pack_into(self._map, knob * VALUE.size, value)

    def close(self) -> None:
        """Unmaps the file."""
        self._map.close()
