"""Retries of system calls that fail while the machine is out of a resource.

Descriptors, memory or buffers may be exhausted for a moment (such as ENFILE). That must not end the process
or lose a message. Other errors, such as an address in use, are raised at once.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from typing import Any, Final

EXHAUSTION_ERRNOS: Final = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
TRANSIENT_FILE_ERRNOS: Final = (*EXHAUSTION_ERRNOS, errno.EIO)  # when reading a file that exists
RETRY_INTERVAL_S: Final = 0.02  # short compared with the 10 s within which a process has to be ready
MAX_ATTEMPTS: Final = 400  # 8 s in total, as a process has to be ready within 10 s or end with the error


def is_exhaustion(err: BaseException | None) -> bool:
    """Whether the machine or this process is out of descriptors, buffers or memory."""
    return isinstance(err, OSError) and err.errno in EXHAUSTION_ERRNOS


def is_transient_file_error(err: BaseException | None) -> bool:
    """Whether an existing file can't be read for the moment."""
    return isinstance(err, OSError) and err.errno in TRANSIENT_FILE_ERRNOS


async def retry_while_exhausted(operation: Callable[[], Any]) -> Any:
    """Calls `operation()` until no resource is exhausted, and awaits its result if it is awaitable.

    Raises the OSError of `operation` at once if it has another cause, or after 8 s of exhaustion.
    """
    for _ in range(MAX_ATTEMPTS):
        try:
            result = operation()
            return await result if isinstance(result, Awaitable) else result
        except OSError as err:
            if not is_exhaustion(err):
                raise
        await asyncio.sleep(RETRY_INTERVAL_S)
    return operation()
