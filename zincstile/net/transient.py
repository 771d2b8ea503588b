"""System calls that fail for a moment and are made again.

A machine may lack descriptors, memory or buffers for a moment (ENFILE and its like): that is no reason for a
process to end or for a message to be lost. An error that stays, such as an address in use, is raised at once.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from typing import Any, Final

EXHAUSTION_ERRNOS: Final = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
TRANSIENT_FILE_ERRNOS: Final = (*EXHAUSTION_ERRNOS, errno.EIO)  # of reading a file that exists
RETRY_INTERVAL_S: Final = 0.02  # short against the 10 s in which a process has to be ready
MAX_ATTEMPTS: Final = 400  # 8 s in all: a process is ready within 10 s, or ends with the error


def is_exhaustion(err: BaseException | None) -> bool:
    """Whether the machine, or this process, has no descriptor, buffer or memory left for now."""
    return isinstance(err, OSError) and err.errno in EXHAUSTION_ERRNOS


def is_transient_file_error(err: BaseException | None) -> bool:
    """Whether a file that exists can't be read for now."""
    return isinstance(err, OSError) and err.errno in TRANSIENT_FILE_ERRNOS


async def retry_while_exhausted(make: Callable[[], Any]) -> Any:
    """Calls `make()` until the machine has what it needs, and awaits the result where it is awaitable.

    Raises the OSError of `make` where it is of another kind, or the machine lacks resources for 8 s.
    """
    for _ in range(MAX_ATTEMPTS):
        try:
            made = make()
            return await made if isinstance(made, Awaitable) else made
        except OSError as err:
            if not is_exhaustion(err):
                raise
        await asyncio.sleep(RETRY_INTERVAL_S)
    return make()
