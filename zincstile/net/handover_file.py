"""The file in `$TMPDIR` by which processes of one gateway share operators' requests (`admin.handover`).

It is replaced on each change and at least every `handover_rewrite_interval_ns`, and read when another process
has written it. A process reads what another one wrote before it overwrites the file; if it can't read the
file, it does not write. A failed write is retried at every poll.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Final

from ..admin.handover import Handover, HandoverError, decode, encode
from ..admin.operator_state import MaintenanceChange, OperatorState
from .dispatcher import Dispatcher
from .host import FileStat, Host

NS_PER_S: Final = 1e9


class HandoverFile:
    """Reads and writes the handover file for one process, and owns the state that only the file has.

    This is the process that last announced that it is ready, and whether the file holds all requests of
    operators. Maintenance itself belongs to `OperatorState`.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        state: OperatorState,
        host: Host,
        *,
        path: str,
        gateway: str,
        process: str,
        on_maintenance: Callable[[MaintenanceChange], None],
        returned_at_ns: Callable[[], dict[str, int]],
        discovery_offset_ns: Callable[[], int | None],
    ) -> None:
        """process: this process's id in the file. on_maintenance: called with changes requested at another
        process. returned_at_ns: when servers in slow start returned from maintenance, on the monotonic clock.
        discovery_offset_ns: from discovery's times to that clock.
        """
        self._dispatcher = dispatcher
        self._state = state
        self._host = host
        self.path = path
        self._gateway = gateway
        self._process = process
        self._on_maintenance = on_maintenance
        self._returned_at_ns = returned_at_ns
        self._discovery_offset_ns = discovery_offset_ns
        self.loaded: Handover | None = None  # what another process left, if valid
        self.on_saved: Callable[[], None] = lambda: None  # called once the file holds all requests
        self.on_successor_ready: Callable[[], None] | None = None  # called when another is ready
        self._ready_process = ""  # the process that last announced that it is ready
        self._last_stat: FileStat | None = None  # when the file was last read or written
        self._written_ns = 0
        self._unsaved = False  # the file lacks a request of operators

    @property
    def saved(self) -> bool:
        """Whether the file holds all requests of operators, so that they outlast this process."""
        return not self._unsaved

    @property
    def successor_ready(self) -> bool:
        """Whether another process was the last to announce that it is ready."""
        return self._ready_process not in ("", self._process)

    # ---- reading

    async def load(self) -> str:
        """Loads at the start what an earlier process left; returns the result for the log.

        Removes temporary files of ended processes. If the file can't be read, retries for
        `handover_read_timeout_ns`.
        """
        limits = self._dispatcher.limits
        self._host.remove_temporary_files(self.path)
        until_ns = self._dispatcher.now_ns() + limits.handover_read_timeout_ns
        while True:
            try:
                return self._load_once()
            except OSError as err:
                if self._dispatcher.now_ns() >= until_ns:
                    return f"can't read {self.path}: {err.strerror or err}"
            await asyncio.sleep(limits.inherit_poll_interval_ns / NS_PER_S)

    def _load_once(self) -> str:
        try:
            content = self._read()
        except HandoverError as err:
            return f"ignored: {self.path}: {err}"
        if content is None:
            return "none"
        self._state.adopt(set(content.under_maintenance), content.version)
        self.loaded = content
        return f"{len(content.under_maintenance)} under maintenance, version {content.version}"

    def _read(self) -> Handover | None:
        """Returns the file's content, or None if there is no file.

        Raises OSError if it can't be read: the next poll then reads it again. Raises HandoverError, and
        counts it, if the content is invalid.
        """
        stat = self._host.stat(self.path)
        data = self._host.read_file(self.path)
        if data is None:
            self._last_stat = None
            return None
        stale_ns = self._dispatcher.limits.handover_stale_ns
        modified_ns = stat.modified_ns if stat else 0
        self._last_stat = stat
        try:
            content = decode(data, self._gateway, self._host.timestamp(), stale_ns, modified_ns)
        except HandoverError:
            self._dispatcher.counters.handover_bad += 1
            raise
        self._ready_process = content.ready_process
        return content

    def refresh(self) -> bool:
        """Adopts what another process wrote since the last poll; returns False if the file can't be read."""
        stat = self._host.stat(self.path)
        if stat is None or stat == self._last_stat:
            return True
        try:
            content = self._read()
        except OSError as err:
            self._dispatcher.log.line_limited("handover", f"can't read {self.path}: {err.strerror or err}")
            return False
        except HandoverError as err:
            self._dispatcher.log.line_limited("handover", f"ignored: {self.path}: {err}")
            self._unsaved = True  # the next write replaces it
            return True
        if content is not None:
            self._adopt(content)
        return True

    def _adopt(self, content: Handover) -> None:
        """Adopts what another process wrote.

        A version older than this process's, written before that process saw a request made here, is
        overwritten.
        """
        change = self._state.adopt(set(content.under_maintenance), content.version)
        if change.entered or change.exited:
            self._on_maintenance(change)
        if content.version < self._state.version:
            self._unsaved = True
        if self.on_successor_ready is not None and self.successor_ready:
            self.on_successor_ready()

    # ---- writing

    def save(self) -> bool:
        """Writes the current state; returns False if that fails: each poll retries."""
        self._unsaved = True
        return self._write()

    def announce_ready(self) -> None:
        """Announces in the file that this process accepts clients."""
        self.refresh()
        self._ready_process = self._process
        self.save()

    def _write(self) -> bool:
        if not self.refresh():
            return False
        try:
            self._host.write_file(self.path, encode(self._content()), sync=self._unsaved)
        except OSError as err:
            self._dispatcher.log.line_limited("handover", f"can't write {self.path}: {err.strerror or err}")
            self._touch()
            return False
        self._last_stat = self._host.stat(self.path)
        self._written_ns = self._dispatcher.now_ns()
        was_unsaved = self._unsaved
        self._unsaved = False
        if was_unsaved:
            self.on_saved()
        return True

    def _touch(self) -> None:
        """Updates the modification time of a file that can't be rewritten, as its content is still valid."""
        with contextlib.suppress(OSError):
            self._host.touch(self.path)
            self._last_stat = self._host.stat(self.path)

    def _content(self) -> Handover:
        now = self._host.timestamp()
        returned = self._returned_at_ns()
        return Handover(
            gateway=self._gateway,
            version=self._state.version,
            written_at=now,
            under_maintenance=frozenset(self._state.under_maintenance),
            ready_process=self._ready_process,
            returned_age_ns={name: max(0, now.monotonic_ns - at_ns) for name, at_ns in returned.items()},
            discovery_offset_ns=self._discovery_offset_ns(),
        )

    # ---- polling

    def poll(self) -> None:
        """Reads the file if it changed and rewrites it in time; called every `handover_poll_interval_ns`."""
        self.refresh()
        is_due = (
            self._dispatcher.now_ns() - self._written_ns
            >= self._dispatcher.limits.handover_rewrite_interval_ns
        )
        if is_due or self._unsaved:
            self._write()
