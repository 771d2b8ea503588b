"""The files in `$TMPDIR` by which a new process takes over the memory of the one that serves beside it.

The new process names itself in `.asks` and waits a little. The old one looks for that file as often as for
the hand-over file, and writes its memory to `.memory` for the process that asked. At its end it writes to
`.spent` how far its customers' totals have come, which the new one adds. Each file is written whole and
renamed. Where there is no older process, nothing is waited for; where it doesn't answer, or what it wrote
can't be trusted, the new one starts with an empty memory.

The keys in these files are stored data and stay as they are. What the memory consists of is
`decisions.state_transfer`'s.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, Final

from ..decisions import state_transfer
from ..decisions.gossip import TOTAL_MODULUS
from ..decisions.messages import StateInherited
from ..decisions.state_validation import validate
from .dispatcher import Dispatcher
from .host import FileStat, Host

REQUEST_SUFFIX: Final = ".asks"  # a new process asks for the memory
MEMORY_SUFFIX: Final = ".memory"  # the old process's answer
TOTALS_SUFFIX: Final = ".spent"  # the old process's totals at its end
NS_PER_S: Final = 1e9
NS_PER_MS: Final = 1e6


class StateFiles:
    """Reads and writes these files for one process, which may be the new one first and the old one later.

    Owns which process inherits from this one, the totals that this one took over, and until when both share
    one process's descriptors. The memory itself is the policy's.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        host: Host,
        *,
        base_path: str,
        process: str,
        set_limits_shared: Callable[[bool], None],
    ) -> None:
        """base_path: the files' path without their suffixes. process: this process's id in them.
        set_limits_shared: called with True while another process serves beside this one, with False after.
        """
        self._dispatcher = dispatcher
        self._host = host
        self._base_path = base_path
        self._process = process
        self._set_limits_shared = set_limits_shared
        self._shared_until_ns = 0
        self._successor = ""  # the process that asked for the memory last
        self._inherited_totals: dict[int, float] = {}  # by customer, until the old process's last are added
        self._last_stats: dict[str, FileStat | None] = {
            suffix: host.stat(base_path + suffix) for suffix in (REQUEST_SUFFIX, TOTALS_SUFFIX)
        }

    # ---- the new process

    async def inherit(self) -> str:
        """Asks the older process for its memory and waits for it; returns what came of it, for the log."""
        limits = self._dispatcher.limits
        request = json.dumps({"me": self._process}).encode()
        try:
            self._host.write_file(self._base_path + REQUEST_SUFFIX, request)
        except OSError as err:
            return f"can't ask for it: {err.strerror or err}"
        self._last_stats[REQUEST_SUFFIX] = self._host.stat(self._base_path + REQUEST_SUFFIX)
        until_ns = self._dispatcher.now_ns() + limits.inherit_timeout_ns
        last_stat = None
        while self._dispatcher.now_ns() < until_ns:
            stat = self._host.stat(self._base_path + MEMORY_SUFFIX)
            if stat is not None and stat != last_stat:
                last_stat = stat
                table = self._read(MEMORY_SUFFIX)
                if table.get("for") == self._process:
                    return self._take_memory(table)
            await asyncio.sleep(limits.inherit_poll_interval_ns / NS_PER_S)
        return "no older process answered"

    def _take_memory(self, table: dict[str, Any]) -> str:
        memory: Any = table.get("memory")
        now_ns = self._dispatcher.now_ns()
        written_ns = table.get("written_monotonic_ns", now_ns)  # earlier versions don't write it
        self._share_limits_for(
            self._dispatcher.limits.shutdown_ns + self._dispatcher.limits.admin_request_timeout_ns
        )
        try:
            validate(memory, self._dispatcher.policy.parts)
            if not isinstance(written_ns, int) or isinstance(written_ns, bool):
                raise state_transfer.InheritedStateError("key written_monotonic_ns: not a whole number")
        except state_transfer.InheritedStateError as err:
            self._dispatcher.counters.handover_bad += 1
            return f"ignored: {self._base_path}{MEMORY_SUFFIX}: {err}"
        customers = memory["customers"]
        self._inherited_totals = {customer["key"]: customer["total"] for customer in customers}
        self._dispatcher.post(StateInherited(memory))
        age_ms = max(0, now_ns - written_ns) / NS_PER_MS
        return f"{len(customers)} customers, {len(memory['servers'])} servers, {age_ms:.0f} ms old"

    def _add_totals(self, table: dict[str, Any]) -> None:
        """Adds what the old process sent between its answer and its end."""
        totals: Any = table.get("spent")
        try:
            count = state_transfer.apply_totals(
                self._dispatcher.policy.parts, totals, self._inherited_totals, TOTAL_MODULUS
            )
        except state_transfer.InheritedStateError as err:
            self._dispatcher.counters.handover_bad += 1
            self._dispatcher.log.line(f"memory: ignored: {self._base_path}{TOTALS_SUFFIX}: {err}")
            return
        self._inherited_totals = {}
        self._dispatcher.log.line(
            f"memory: the old process ended; it had sent for {count} customers meanwhile"
        )

    # ---- the old process

    def _leave_memory(self, successor: str) -> None:
        """Writes the memory for a process that asked; with fewer customers, the last used, until it fits.

        The bound guards the machine's memory, which files in `$TMPDIR` count as.
        """
        max_customers = len(self._dispatcher.policy.parts.ledger.customers)
        data = self._encode_memory(successor, max_customers)
        while len(data) > self._dispatcher.limits.inherit_bytes and max_customers:
            max_customers //= 2
            data = self._encode_memory(successor, max_customers)
        self._write(MEMORY_SUFFIX, data)
        self._successor = successor
        self._share_limits_for(self._dispatcher.limits.handover_stale_ns)
        self._dispatcher.log.line(
            f"memory: {len(data)} bytes left for a new process, {max_customers} customers"
        )

    def _encode_memory(self, successor: str, max_customers: int) -> bytes:
        return json.dumps(
            {
                "for": successor,
                "written_ns": self._host.unix_ns(),  # for versions that know no other
                "written_monotonic_ns": self._dispatcher.now_ns(),
                "memory": state_transfer.snapshot(
                    self._dispatcher.policy.parts, self._dispatcher.now_ns(), max_customers
                ),
            }
        ).encode()

    def write_totals(self) -> None:
        """Writes at the end of this process what it sent since a new one took its memory."""
        if self._successor:
            totals = state_transfer.running_totals(self._dispatcher.policy.parts)
            self._write(TOTALS_SUFFIX, json.dumps({"for": self._successor, "spent": totals}).encode())

    # ---- both

    def poll(self) -> None:
        """Looks for what the other process wrote; called as often as the hand-over file is polled."""
        if self._has_changed(REQUEST_SUFFIX):
            successor = self._read(REQUEST_SUFFIX).get("me")
            if isinstance(successor, str) and successor not in ("", self._process):
                self._leave_memory(successor)
        if self._inherited_totals and self._has_changed(TOTALS_SUFFIX):
            table = self._read(TOTALS_SUFFIX)
            if table.get("for") == self._process:
                self._add_totals(table)
                self._shared_until_ns = 0
                self._set_limits_shared(False)

    def _share_limits_for(self, max_ns: int) -> None:
        """Shares the limits until the other process has ended, and no longer than it may live."""
        self._shared_until_ns = self._dispatcher.now_ns() + max_ns
        self._set_limits_shared(True)
        self._dispatcher.deadlines.add(self._shared_until_ns, self._stop_sharing)
        self._dispatcher.wake()

    def _stop_sharing(self, _: object) -> None:
        if self._dispatcher.now_ns() >= self._shared_until_ns:  # else another process came meanwhile
            self._set_limits_shared(False)

    def _has_changed(self, suffix: str) -> bool:
        last_stat = self._last_stats[suffix]
        stat = self._host.stat(self._base_path + suffix)
        self._last_stats[suffix] = stat
        return stat is not None and stat != last_stat

    # ---- files

    def _read(self, suffix: str) -> dict[str, Any]:
        """Returns a file's object; an empty one where it can't be read, or holds none."""
        try:
            table = json.loads(self._host.read_file(self._base_path + suffix) or b"")
        except (OSError, ValueError, RecursionError):
            return {}
        return table if isinstance(table, dict) else {}

    def _write(self, suffix: str, data: bytes) -> None:
        try:
            self._host.write_file(self._base_path + suffix, data)
        except OSError as err:
            self._dispatcher.log.line_limited(
                "memory", f"can't write {self._base_path}{suffix}: {err.strerror or err}"
            )
