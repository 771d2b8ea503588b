"""The file in `$TMPDIR` by which two processes of a gateway share the request ids that they have accepted.

During an upgrade a client of the old process may come again at the new one under the same id, or the reverse.
Each process appends a line with its own id and the request's for each request that must not run twice, and
reads the lines of the other before it accepts such a request. Outside of an upgrade nothing is written.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from .dispatcher import Dispatcher
from .host import MAX_FILE_BYTES, FileStat, Host

SUFFIX: Final = ".ids"


class RequestIdFile:
    """Implements `clients.request_ids.OtherProcess`. Owns the ids read from the file."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        host: Host,
        *,
        base_path: str,
        process: str,
        current_ids: Callable[[], list[bytes]],
    ) -> None:
        """base_path: the path without its suffix. process: this process's id.
        current_ids: returns the ids that this process has accepted so far.
        """
        self._dispatcher = dispatcher
        self._host = host
        self._path = base_path + SUFFIX
        self._process = process.encode()
        self._current_ids = current_ids
        self._shared = False
        self._last_stat: FileStat | None = None
        self._other_ids: frozenset[bytes] = frozenset()

    def clear(self) -> None:
        """Empties the file; called by a new process before the old one may write to it."""
        try:
            self._host.write_file(self._path, b"")
        except OSError as err:
            self._log_problem(err)

    def share(self, shared: bool) -> None:
        """Begins to publish ids when another process runs as well, all current ones first; or ends it."""
        if shared and not self._shared:
            self._append(self._current_ids())
        elif self._shared and not shared:
            self._read()  # what the other process has accepted last
        self._shared = shared

    def publish(self, request_id: bytes) -> None:
        """Announces an id that this process has accepted."""
        if self._shared:
            self._append([request_id])

    def has_accepted(self, request_id: bytes) -> bool:
        """Whether the other process has announced this id."""
        if self._shared:
            self._read()
        return request_id.hex().encode() in self._other_ids

    def _append(self, request_ids: list[bytes]) -> None:
        if not request_ids:
            return
        lines = b"".join(b"%b %b\n" % (self._process, one.hex().encode()) for one in request_ids)
        stat = self._host.stat(self._path)
        if stat is not None and stat.size_bytes + len(lines) > MAX_FILE_BYTES:
            return
        try:
            self._host.append_file(self._path, lines)
        except OSError as err:
            self._log_problem(err)

    def _read(self) -> None:
        stat = self._host.stat(self._path)
        if stat is None or stat == self._last_stat:
            return
        try:
            data = self._host.read_file(self._path) or b""
        except OSError as err:
            self._log_problem(err)
            return
        self._last_stat = stat
        rows = [line.split(b" ") for line in data.splitlines()]
        self._other_ids = frozenset(row[1] for row in rows if len(row) == 2 and row[0] != self._process)

    def _log_problem(self, err: OSError) -> None:
        self._dispatcher.log.line_limited("ids", f"{self._path}: {err.strerror or err}")
