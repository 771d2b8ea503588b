"""The file in `$TMPDIR` by which processes of one gateway share what operators asked for (`admin.handover`).

It is written whole on each change and well within `handover_stale_ns`, and read where another process wrote
it since. What another process wrote is read before anything is written over it; where it can't be read,
nothing is. A write that fails is tried again at every poll.
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
    """Reads and writes the hand-over file for one process, and owns what is only in the file.

    That is: which process said last that it takes clients, and whether all that operators asked for is in the
    file. Maintenance itself is the `OperatorState`'s.
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
        """process: this process's id, as the file names the one that is ready. on_maintenance: called with
        what another process was asked for. returned_at_ns: servers that came back from maintenance and warm
        up since, on the monotonic clock. discovery_offset_ns: from discovery's times to that clock.
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
        self.loaded: Handover | None = None  # at the start, what another process left, where it is trusted
        self.on_saved: Callable[[], None] = lambda: None  # called when all that was asked for is in the file
        self.on_successor_ready: Callable[[], None] | None = None  # called once another process says so
        self._ready_process = ""  # the process that said last that it takes clients
        self._last_stat: FileStat | None = None  # the file as last read or written
        self._written_ns = 0
        self._unsaved = False  # something that was asked for is not in the file

    @property
    def saved(self) -> bool:
        """All that operators asked for is in the file, and outlasts this process."""
        return not self._unsaved

    @property
    def successor_ready(self) -> bool:
        """Another process said last that it takes clients."""
        return self._ready_process not in ("", self._process)

    # ---- reading

    async def load(self) -> str:
        """Takes at the start what an earlier or older process left; returns what was found, for the log.

        Removes what writes of ended processes left half done. A file that can't be read is tried again for
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
                    return f"can't be read for now: {self.path}: {err.strerror or err}"
            await asyncio.sleep(limits.inherit_poll_interval_ns / NS_PER_S)

    def _load_once(self) -> str:
        try:
            found = self._read()
        except HandoverError as err:
            return f"ignored: {self.path}: {err}"
        if found is None:
            return "none"
        self._state.adopt(set(found.under_maintenance), found.version)
        self.loaded = found
        return f"{len(found.under_maintenance)} under maintenance, version {found.version}"

    def _read(self) -> Handover | None:
        """Returns the file's content, or None where there is no file.

        Raises OSError where it can't be read: then it counts as not seen. Raises HandoverError (counted)
        where it can't be trusted.
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
            found = decode(data, self._gateway, self._host.timestamp(), stale_ns, modified_ns)
        except HandoverError:
            self._dispatcher.counters.handover_bad += 1
            raise
        self._ready_process = found.ready_process
        return found

    def refresh(self) -> bool:
        """Takes what another process wrote since the last poll; False where it can't be read for now."""
        stat = self._host.stat(self.path)
        if stat is None or stat == self._last_stat:
            return True
        try:
            found = self._read()
        except OSError as err:
            self._dispatcher.log.line_limited("handover", f"can't read {self.path}: {err.strerror or err}")
            return False
        except HandoverError as err:
            self._dispatcher.log.line_limited("handover", f"ignored: {self.path}: {err}")
            self._unsaved = True  # what is trusted here goes over it
            return True
        if found is not None:
            self._adopt(found)
        return True

    def _adopt(self, found: Handover) -> None:
        """Takes what another process wrote.

        Where that process wrote what it knew before a request to this one, the older version is overwritten.
        """
        change = self._state.adopt(set(found.under_maintenance), found.version)
        if change.entered or change.exited:
            self._on_maintenance(change)
        if found.version < self._state.version:
            self._unsaved = True
        if self.on_successor_ready is not None and self.successor_ready:
            self.on_successor_ready()

    # ---- writing

    def save(self) -> bool:
        """Writes what holds by now; False where that fails: it is tried again at every poll."""
        self._unsaved = True
        return self._write()

    def announce_ready(self) -> None:
        """Says in the file that this process takes clients from now on."""
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
        """Dates a file that can't be written anew: what it says still holds, and must not grow stale."""
        with contextlib.suppress(OSError):
            self._host.touch(self.path)
            self._last_stat = self._host.stat(self.path)

    def _content(self) -> Handover:
        now = self._host.timestamp()
        returned = self._returned_at_ns()
        return Handover(
            gateway=self._gateway,
            version=self._state.version,
            written=now,
            under_maintenance=frozenset(self._state.under_maintenance),
            ready_process=self._ready_process,
            returned_age_ns={name: max(0, now.monotonic_ns - at_ns) for name, at_ns in returned.items()},
            discovery_offset_ns=self._discovery_offset_ns(),
        )

    # ---- polling

    def poll(self) -> None:
        """Reads the file where it changed, and keeps it fresh; called every `handover_poll_interval_ns`."""
        self.refresh()
        due = (
            self._dispatcher.now_ns() - self._written_ns
            >= self._dispatcher.limits.handover_rewrite_interval_ns
        )
        if due or self._unsaved:
            self._write()
