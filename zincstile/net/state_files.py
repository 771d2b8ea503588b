"""The files in `$TMPDIR` by which a new process inherits the state of the running process of its gateway.

The new process writes its id to `.asks` and waits a little. The old one polls that file together with the
handover file, and writes its state to `.memory` for the process that asked. When it ends, it writes its
customers' totals to `.spent`, and the new one adds the difference. While the old one still delivers answers
after that, both share the descriptors of one. Each file is replaced atomically. Without
an older process the new one does not wait; if the old one doesn't answer, or the state is invalid, the new
one starts without state.

The keys in these files are stored data and must not change. `decisions.state_transfer` defines the state.
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

REQUEST_SUFFIX: Final = ".asks"  # a new process asks for the state
MEMORY_SUFFIX: Final = ".memory"  # the old process's answer
TOTALS_SUFFIX: Final = ".spent"  # the old process's final totals
DELIVERING_KEY: Final = "delivering"  # in the totals: the old process still delivers answers
# An old process that delivers and has not written for this long has ended: three reports
DELIVERY_SILENCE_NS: Final = 1_500_000_000
NS_PER_S: Final = 1e9
NS_PER_MS: Final = 1e6


class StateFiles:
    """Reads and writes these files for one process, which is first the new and later the old one.

    Owns the id of the process that inherits from this one, the totals that this one inherited, and until when
    both share the descriptors of one. The state itself belongs to the policy.
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
        set_limits_shared: called with True when another process runs as well, with False once it has ended.
        """
        self._dispatcher = dispatcher
        self._host = host
        self._base_path = base_path
        self._process = process
        self._set_limits_shared = set_limits_shared
        self._shared_until_ns = 0
        self._successor = ""  # the process that last asked for the state
        self._inherited_totals: dict[int, float] = {}  # by customer; empty once the final totals are added
        self._older_delivers = False  # the old process has stopped deciding, but still delivers answers
        self._last_stats: dict[str, FileStat | None] = {
            suffix: host.stat(base_path + suffix) for suffix in (REQUEST_SUFFIX, TOTALS_SUFFIX)
        }

    # ---- the new process

    async def inherit(self) -> str:
        """Asks the older process for its state and waits for it; returns the result for the log."""
        limits = self._dispatcher.limits
        request = json.dumps({"me": self._process}).encode()
        try:
            self._host.write_file(self._base_path + REQUEST_SUFFIX, request)
        except OSError as err:
            return f"can't write the request: {err.strerror or err}"
        self._last_stats[REQUEST_SUFFIX] = self._host.stat(self._base_path + REQUEST_SUFFIX)
        until_ns = self._dispatcher.now_ns() + limits.inherit_timeout_ns
        last_stat = None
        while self._dispatcher.now_ns() < until_ns:
            stat = self._host.stat(self._base_path + MEMORY_SUFFIX)
            if stat is not None and stat != last_stat:
                last_stat = stat
                table = self._read(MEMORY_SUFFIX)
                if table.get("for") == self._process:
                    return self._load_state(table)
            await asyncio.sleep(limits.inherit_poll_interval_ns / NS_PER_S)
        return "no older process answered"

    def _load_state(self, table: dict[str, Any]) -> str:
        memory: Any = table.get("memory")
        now_ns = self._dispatcher.now_ns()
        written_ns = table.get("written_monotonic_ns", now_ns)  # missing in files of earlier versions
        self._share_limits_for(
            self._dispatcher.limits.shutdown_ns + self._dispatcher.limits.admin_request_timeout_ns
        )
        try:
            validate(memory, self._dispatcher.policy.parts)
            if not isinstance(written_ns, int) or isinstance(written_ns, bool):
                raise state_transfer.InheritedStateError("key written_monotonic_ns: value is not an integer")
        except state_transfer.InheritedStateError as err:
            self._dispatcher.counters.handover_bad += 1
            return f"ignored: {self._base_path}{MEMORY_SUFFIX}: {err}"
        customers = memory["customers"]
        self._inherited_totals = {customer["key"]: customer["total"] for customer in customers}
        self._dispatcher.post(StateInherited(memory))
        age_ms = max(0, now_ns - written_ns) / NS_PER_MS
        return f"{len(customers)} customers, {len(memory['servers'])} servers, {age_ms:.0f} ms old"

    def _add_final_totals(self, table: dict[str, Any]) -> None:
        """Adds the units that the old process sent after it wrote its state."""
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

    def _write_state(self, successor: str) -> None:
        """Writes the state for a process that asked, reduced to the last used customers until it fits.

        `inherit_bytes` bounds it, since files in `$TMPDIR` count as memory of the machine.
        """
        max_customers = len(self._dispatcher.policy.parts.ledger.customers)
        data = self._encode_state(successor, max_customers)
        while len(data) > self._dispatcher.limits.inherit_bytes and max_customers:
            max_customers //= 2
            data = self._encode_state(successor, max_customers)
        self._write(MEMORY_SUFFIX, data)
        self._successor = successor
        self._share_limits_for(self._dispatcher.limits.handover_stale_ns)
        self._dispatcher.log.line(
            f"memory: wrote {len(data)} bytes for a new process, {max_customers} customers"
        )

    def _encode_state(self, successor: str, max_customers: int) -> bytes:
        return json.dumps(
            {
                "for": successor,
                "written_ns": self._host.unix_ns(),  # read by earlier versions
                "written_monotonic_ns": self._dispatcher.now_ns(),
                "memory": state_transfer.snapshot(
                    self._dispatcher.policy.parts, self._dispatcher.now_ns(), max_customers
                ),
            }
        ).encode()

    def write_totals(self, *, ended: bool) -> None:
        """Writes the final totals of this process for the one that inherited its state.

        ended: this process holds no more connections from now on.
        """
        if self._successor:
            totals = state_transfer.running_totals(self._dispatcher.policy.parts)
            table = {"for": self._successor, "spent": totals} | ({} if ended else {DELIVERING_KEY: True})
            self._write(TOTALS_SUFFIX, json.dumps(table).encode())

    # ---- both

    def poll(self) -> None:
        """Checks for files of the other process; called whenever the handover file is polled."""
        if self._has_changed(REQUEST_SUFFIX):
            successor = self._read(REQUEST_SUFFIX).get("me")
            if isinstance(successor, str) and successor not in ("", self._process):
                self._write_state(successor)
        if (self._inherited_totals or self._older_delivers) and self._has_changed(TOTALS_SUFFIX):
            table = self._read(TOTALS_SUFFIX)
            if table.get("for") == self._process:
                self._on_totals(table)

    def _on_totals(self, table: dict[str, Any]) -> None:
        """The old process has answered all its requests; it may still deliver answers."""
        if self._inherited_totals:
            self._add_final_totals(table)
        self._older_delivers = table.get(DELIVERING_KEY) is True
        if self._older_delivers:
            self._share_limits_for(DELIVERY_SILENCE_NS)
        else:
            self._shared_until_ns = 0
            self._set_limits_shared(False)

    def _share_limits_for(self, max_ns: int) -> None:
        """Shares the limits until the other process has ended, but for at most `max_ns`."""
        self._shared_until_ns = self._dispatcher.now_ns() + max_ns
        self._set_limits_shared(True)
        self._dispatcher.deadlines.add(self._shared_until_ns, self._stop_sharing)
        self._dispatcher.wake()

    def _stop_sharing(self, _: object) -> None:
        if self._dispatcher.now_ns() >= self._shared_until_ns:  # else another process extended it
            self._set_limits_shared(False)

    def _has_changed(self, suffix: str) -> bool:
        last_stat = self._last_stats[suffix]
        stat = self._host.stat(self._base_path + suffix)
        self._last_stats[suffix] = stat
        return stat is not None and stat != last_stat

    # ---- files

    def _read(self, suffix: str) -> dict[str, Any]:
        """Returns the JSON object in a file; an empty one if it can't be read or is invalid."""
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
