"""Calls of the system that fail for a moment, and are made again.

A machine may lack descriptors, memory or buffers for a moment (ENFILE and its like): that is no reason for a
process to end, or for a word to be lost. What stays wrong, as an address that is taken, fails at once.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from typing import Any, Final

LACKS: Final = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
MOMENTARY: Final = (*LACKS, errno.EIO)  # of a file that is there
AGAIN_S: Final = 0.02  # between two tries
TRIES: Final = 400  # 8 s: a process is ready within 10 s


def is_lack(err: BaseException | None) -> bool:
    """The machine, or this process, has none left for now."""
    return isinstance(err, OSError) and err.errno in LACKS


def is_momentary(err: BaseException | None) -> bool:
    """A file that is there can't be read for now."""
    return isinstance(err, OSError) and err.errno in MOMENTARY


async def patiently(make: Callable[[], Any]) -> Any:
    """make() as often as it takes; it may give an awaitable. OSError where it fails otherwise, or for too
    long."""
    for _ in range(TRIES):
        try:
            made = make()
            return await made if isinstance(made, Awaitable) else made
        except OSError as err:
            if not is_lack(err):
                raise
        await asyncio.sleep(AGAIN_S)
    return make()
