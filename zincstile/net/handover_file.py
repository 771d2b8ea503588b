"""The file in `$TMPDIR` by which processes of one gateway share what operators said (`control.handover`).

It is written whole on each change and well within `handover_stale_ns`, and read where another process wrote
it since. What another process wrote is read before anything is written over it; where it can't be read,
nothing is. A write that fails is tried again at every look.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from ..admin import handover as ho
from ..admin.operator import Operator
from .deadlines import every
from .dispatcher import Dispatcher
from .host import Host

Stat = tuple[int, int, int]  # inode, mtime in ns, size


class HandoverFile:
    """Of one process."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        operator: Operator,
        gateway: str,
        path: str,
        host: Host,
        adopt: Callable[[set[str], set[str]], None],
    ) -> None:
        """adopt: told what another process heard of operators: names taken out, names put back."""
        self.dispatcher, self.operator, self.gateway, self.path, self.host = (
            dispatcher,
            operator,
            gateway,
            path,
            host,
        )
        self.adopt = adopt
        self.me = ""  # this process, as `ready_by` names it
        self.ready_by = ""  # the process that said last that it takes clients
        self.taken_over: Callable[[], None] | None = None  # called once another has said so
        self.back: Callable[[], dict[str, int]] = dict  # put back from maintenance and cold since, monotonic
        self.apart_ns: Callable[[], int | None] = (
            lambda: None
        )  # of this process's clock for discovery's times
        self.found: ho.Handover | None = None  # at the start, another process's file that is trusted
        self.also: Callable[[], None] = lambda: None  # looked at as often
        self.on_kept: Callable[[], None] = lambda: None  # called when all that was said is in the file
        self._seen: Stat | None = None  # the file as last read or written
        self._written_ns = 0
        self._unkept = False  # something that was said is not in the file

    @property
    def kept(self) -> bool:
        """All that operators said is in the file, and outlasts this process."""
        return not self._unkept

    @property
    def other_ready(self) -> bool:
        """Another process said last that it takes clients."""
        return self.ready_by not in ("", self.me)

    # ---- reading

    async def first(self) -> str:
        """At the start: takes what an earlier or older process left, and takes away what its writes left half
        done. One that can't be read is tried again for a while. The log line says what was found."""
        limits = self.dispatcher.limits
        self.host.remove_parts(self.path)
        until = self.dispatcher.now_ns() + limits.handover_read_ns
        while True:
            try:
                return self._first()
            except OSError as err:
                if self.dispatcher.now_ns() >= until:
                    return f"can't be read for now: {self.path}: {err.strerror or err}"
            await asyncio.sleep(limits.inherit_look_ns / 1e9)

    def _first(self) -> str:
        found = self._read()
        if found is None:
            return "none"
        if isinstance(found, ho.HandoverError):
            return f"ignored: {self.path}: {found}"
        self.operator.adopt(set(found.banned), found.version)
        self.found = found
        return f"{len(found.banned)} under maintenance, version {found.version}"

    def _read(self) -> ho.Handover | ho.HandoverError | None:
        """The file as it is: None where there is none, an error (counted) where it can't be trusted. OSError
        where it can't be read: then it counts as not seen."""
        seen = self.host.stat(self.path)
        data = self.host.read_file(self.path)
        if data is None:
            self._seen = None
            return None
        try:
            stale_ns, dated_ns = self.dispatcher.limits.handover_stale_ns, seen[1] if seen else 0
            found = ho.unpack(data, self.gateway, self.host.moment(), stale_ns, dated_ns)
        except ho.HandoverError as err:
            self._seen = seen
            self.dispatcher.counters.handover_bad += 1
            return err
        self._seen = seen
        self.ready_by = found.ready_by
        return found

    def refresh(self) -> bool:
        """Takes what another process wrote since the last look. False: it can't be read for now."""
        seen = self.host.stat(self.path)
        if seen is None or seen == self._seen:
            return True
        try:
            found = self._read()
        except OSError as err:
            self.dispatcher.log.often("handover", f"can't read {self.path}: {err.strerror or err}")
            return False
        if isinstance(found, ho.HandoverError):
            self.dispatcher.log.often("handover", f"ignored: {self.path}: {found}")
            self._unkept = True  # what is trusted here goes over it
        elif found is not None:
            self._take(found)
        return True

    def _take(self, found: ho.Handover) -> None:
        """What another process wrote. Guards against its writing what it knew before a call to this one: the
        older word goes out of the file again."""
        newly, back = self.operator.adopt(set(found.banned), found.version)
        if newly or back:
            self.adopt(newly, back)
        if found.version < self.operator.version:
            self._unkept = True
        if self.taken_over is not None and self.other_ready:
            self.taken_over()

    # ---- writing

    def write(self) -> bool:
        """Writes what holds by now. False: it is not in the file, and is tried again at every look."""
        self._unkept = True
        return self._write()

    def _write(self) -> bool:
        if not self.refresh():
            return False
        try:
            self.host.write_file(self.path, self._packed(), sync=self._unkept)
        except OSError as err:
            self.dispatcher.log.often("handover", f"can't write {self.path}: {err.strerror or err}")
            self._show_life()
            return False
        self._seen, self._written_ns = self.host.stat(self.path), self.dispatcher.now_ns()
        was_unkept, self._unkept = self._unkept, False
        if was_unkept:
            self.on_kept()
        return True

    def _show_life(self) -> None:
        """What the file says holds on, though it can't be written anew: it must not grow stale meanwhile."""
        with contextlib.suppress(OSError):
            self.host.touch(self.path)
            self._seen = self.host.stat(self.path)

    def _packed(self) -> bytes:
        operator, now = self.operator, self.host.moment()
        ages = {name: max(0, now.monotonic_ns - at) for name, at in self.back().items()}
        return ho.pack(
            ho.Handover(
                self.gateway,
                operator.version,
                now,
                frozenset(operator.banned),
                self.ready_by,
                ages,
                self.apart_ns(),
            )
        )

    def say_ready(self) -> None:
        """This process takes clients from now on."""
        self.refresh()
        self.ready_by = self.me
        self.write()

    # ---- at every look

    def watch(self) -> None:
        """Reads the file where it changed, and keeps it fresh, from now on."""
        every(self.dispatcher, self.dispatcher.limits.handover_poll_ns, self._look)

    def _look(self) -> None:
        self.refresh()
        due = self.dispatcher.now_ns() - self._written_ns >= self.dispatcher.limits.handover_keep_ns
        if due or self._unkept:
            self._write()
        self.also()
