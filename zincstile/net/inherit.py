"""The files in `$TMPDIR` by which a new process takes over the memory of the one that serves beside it.

The new one names itself in `.asks` and waits a little; the old one looks for that file as often as for the
hand-over file, and writes its memory to `.memory` for the one that asked. At its end it writes to `.spent`
how far its customers' totals have come, which the new one adds. Each file is written whole and renamed. Where
no older process is, nothing is waited for; where it doesn't answer, or what it wrote can't be trusted, the
new one starts as it always did.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from ..decisions import state_transfer
from ..decisions.messages import StateInherited
from ..decisions.policy import TOTALS
from .dispatcher import Dispatcher
from .host import Host


class Heritage:
    def __init__(
        self, dispatcher: Dispatcher, host: Host, base: str, me: str, share: Callable[[bool], None]
    ) -> None:
        """base: the files' path without their endings; me: this process, by its seed; share: told when
        the limits are shared with another process, and when no more."""
        self.dispatcher, self.host, self.base, self.me, self.share = dispatcher, host, base, me, share
        self._until_ns = 0  # the limits are shared
        self.heir = ""  # the process that asked for the memory last
        self.left: dict[int, float] = {}  # totals that were taken over, by customer
        self._seen = {end: host.stat(base + end) for end in (".asks", ".spent")}

    # ---- the new process

    async def take(self) -> str:
        """Asks the older process and waits for its answer. The log line says what came of it."""
        limits = self.dispatcher.limits
        try:
            self.host.write_file(self.base + ".asks", json.dumps({"me": self.me}).encode())
        except OSError as err:
            return f"can't ask for it: {err.strerror or err}"
        self._seen[".asks"] = self.host.stat(self.base + ".asks")
        until = self.dispatcher.now_ns() + limits.inherit_wait_ns
        seen = None
        while self.dispatcher.now_ns() < until:
            at = self.host.stat(self.base + ".memory")
            if at is not None and at != seen:
                seen = at
                table = self._read(".memory")
                if table.get("for") == self.me:
                    return self._took(table)
            await asyncio.sleep(limits.inherit_look_ns / 1e9)
        return "no older process answered"

    def _took(self, table: dict[str, Any]) -> str:
        memory, now_ns = table.get("memory"), self.dispatcher.now_ns()
        since_ns = table.get("written_monotonic_ns", now_ns)  # a version of before tells none
        self._share_for(self.dispatcher.limits.drain_most_ns + self.dispatcher.limits.control_call_ns)
        try:
            state_transfer.check(memory, self.dispatcher.policy)
            if not isinstance(since_ns, int) or isinstance(since_ns, bool):
                raise state_transfer.TableError("key written_monotonic_ns: not a whole number")
        except state_transfer.TableError as err:
            self.dispatcher.counters.handover_bad += 1
            return f"ignored: {self.base}.memory: {err}"
        self.left = {c["key"]: c["total"] for c in memory["customers"]}
        self.dispatcher.post(StateInherited(memory))
        age_ms = max(0, now_ns - since_ns) / 1e6
        return f"{len(memory['customers'])} customers, {len(memory['servers'])} servers, {age_ms:.0f} ms old"

    def _read(self, ending: str) -> dict[str, Any]:
        try:
            table = json.loads(self.host.read_file(self.base + ending) or b"")
        except (OSError, ValueError, RecursionError):
            return {}
        return table if isinstance(table, dict) else {}

    # ---- looked at by both, as often as the hand-over file

    def look(self) -> None:
        if self._changed(".asks"):
            heir = self._read(".asks").get("me")
            if isinstance(heir, str) and heir not in ("", self.me):
                self._leave(heir)
        if self.left and self._changed(".spent"):
            table = self._read(".spent")
            if table.get("for") == self.me:
                self._add(table)
                self._until_ns = 0
                self.share(False)

    def _share_for(self, most_ns: int) -> None:
        """Until the other has ended, and no longer than it may live."""
        self._until_ns = self.dispatcher.now_ns() + most_ns
        self.share(True)
        self.dispatcher.deadlines.add(self._until_ns, self._alone)
        self.dispatcher.wake()

    def _alone(self, _: object) -> None:
        if self.dispatcher.now_ns() >= self._until_ns:  # else another came meanwhile
            self.share(False)

    def _changed(self, ending: str) -> bool:
        seen, self._seen[ending] = self._seen[ending], self.host.stat(self.base + ending)
        return self._seen[ending] is not None and self._seen[ending] != seen

    def _add(self, table: dict[str, Any]) -> None:
        try:
            count = state_transfer.take_spent(self.dispatcher.policy, table.get("spent"), self.left, TOTALS)
        except state_transfer.TableError as err:
            self.dispatcher.counters.handover_bad += 1
            self.dispatcher.log.line(f"memory: ignored: {self.base}.spent: {err}")
            return
        self.left = {}
        self.dispatcher.log.line(
            f"memory: the old process ended; it had sent for {count} customers meanwhile"
        )

    # ---- the old process

    def _leave(self, heir: str) -> None:
        """Guards the memory that files count as: with fewer customers, the last used, until it fits."""
        limits, most = self.dispatcher.limits, len(self.dispatcher.policy.customers)
        while True:
            data = json.dumps(
                {
                    "for": heir,
                    "written_ns": self.host.unix_ns(),  # for versions that know no other
                    "written_monotonic_ns": self.dispatcher.now_ns(),
                    "memory": state_transfer.leave(self.dispatcher.policy, self.dispatcher.now_ns(), most),
                }
            ).encode()
            if len(data) <= limits.inherit_bytes or not most:
                break
            most //= 2
        self._write(".memory", data)
        self.heir = heir
        self._share_for(limits.handover_stale_ns)
        self.dispatcher.log.line(f"memory: {len(data)} bytes left for a new process, {most} customers")

    def end(self) -> None:
        """What was sent since a new process took the memory."""
        if self.heir:
            self._write(
                ".spent",
                json.dumps(
                    {"for": self.heir, "spent": state_transfer.spent(self.dispatcher.policy)}
                ).encode(),
            )

    def _write(self, ending: str, data: bytes) -> None:
        try:
            self.host.write_file(self.base + ending, data)
        except OSError as err:
            self.dispatcher.log.often("memory", f"can't write {self.base}{ending}: {err.strerror or err}")
