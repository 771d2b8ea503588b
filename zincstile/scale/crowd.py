"""The gateways of a scale run: real processes, and hollow ones many to a process, with what their logs and
the system show of them.

Only processes started here are signalled. Times are unix seconds, as in the gateways' logs.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
from pathlib import Path
from typing import Any, Final

from ..testbed import places
from ..testbed.programs import Program
from .configuration import GatewaySpec, configuration
from .members import Member
from .records import Kind
from .subjects import HOLLOW_PROCESS
from .topology import Topology
from .verdicts import Incarnation, Seen, Use

NS: Final = 1e-9
GATEWAYS_OF_BLOCK: Final = places.MAX_NUMBER


class GatewayProcess:
    """One process: a real gateway, or hollow ones of one zone."""

    def __init__(self, kind: Kind, members: list[Member], folder: Path) -> None:
        """Starts nothing; `folder` takes the log and the temporary files."""
        self.kind, self.members, self.folder = kind, members, folder
        self.zone = members[0].zone
        self.faults: list[str] = []
        self.program: Program | None = None
        self._by_name = {member.name: member for member in members}
        self._baseline_bytes = 0
        (folder / "tmp").mkdir(parents=True)

    @property
    def log(self) -> Path:
        """Its standard error, over all starts."""
        return self.folder / "gateway.log"

    @property
    def alive(self) -> bool:
        """Started and not ended."""
        return self.program is not None and self.program.alive

    def start(self) -> None:
        """By the line `run` of the deploy file, or as a process of hollow gateways."""
        env = {"TMPDIR": str(self.folder / "tmp")}
        if self.kind is Kind.REAL:
            env["RELAY_CONFIG"] = str(self.members[0].config)
            arguments = ["-m", "zincstile"]
        else:
            arguments = ["-P", str(HOLLOW_PROCESS), *(str(member.config) for member in self.members)]
        for member in self.members:
            member.starts += 1
            member.ready, member.thread, member.counters = False, 0, {}
        self.program = Program(arguments, env, self.log, self.folder)

    def ended(self, at_s: float, sent_indexes: list[list[int]], watches_opened: list[int]) -> None:
        """Its process is no more: what it logged last is taken in, and its gateways can't be reached."""
        self.read(sent_indexes, watches_opened)
        for member in self.members:
            if member.incarnation is not None:
                member.incarnation.down_s = at_s

    def ask_counters(self) -> None:
        """Has every gateway print its counters; not before all know their signals."""
        if self.alive and all(member.incarnation is not None for member in self.members):
            self.program.signal(signal.SIGUSR1)

    # ---- its log and what it used

    def read(self, sent_indexes: list[list[int]], watches_opened: list[int]) -> None:
        """Takes in what was logged since the last time.

        `sent_indexes`: by gateway, the index that each line of its watch led to. A count of lines taken gives
        the index in force there, but not after the gateway opened another watch (`watches_opened`, by
        gateway): lines of the first may have been taken or not."""
        while self.program is not None and (lines := self.program.new_lines()):
            for line in lines:
                self._take(line, sent_indexes, watches_opened)

    def _take(self, line: str, sent_indexes: list[list[int]], watches_opened: list[int]) -> None:
        parts = line.split(" ", 3)
        if len(parts) < 4:
            return
        time, name, event, rest = parts
        member = self._by_name.get(name)
        if event == "baseline":
            self._baseline_bytes = json.loads(rest)["resident_bytes"]
        elif member is None:
            return
        elif event == "thread":
            member.thread = json.loads(rest)["tid"]
        elif event == "start":
            member.incarnations.append(Incarnation(float(time)))
        elif event == "ready":
            member.ready = True
        elif event == "fault":
            self.faults.append(f"{name}: {rest[:160]}")
        elif event == "counters":
            exact = sent_indexes[member.number] if watches_opened[member.number] == 1 else []
            self._counted(member, float(time), json.loads(rest), exact)

    def _counted(self, member: Member, at_s: float, counters: dict[str, Any], indexes: list[int]) -> None:
        member.counters = counters
        taken = min(counters["tables"], len(indexes))
        if taken and member.incarnation is not None:
            member.incarnation.seen.append(Seen(at_s, indexes[taken - 1]))

    def memory_bytes(self) -> float:
        """Resident memory of one gateway: of a hollow one, what its process held before the first, and the
        mean of what it grew by since, as a process of its own would hold."""
        grown = self.program.memory_kb() * 1024 - self._baseline_bytes
        return self._baseline_bytes + grown / len(self.members)

    def cpu_s(self, member: Member) -> float | None:
        """Processor time so far of that gateway; None where its process is not there."""
        pid = self.program.process.pid
        with contextlib.suppress(OSError, ValueError, IndexError):
            threads = [member.thread] if self.kind is Kind.HOLLOW else os.listdir(f"/proc/{pid}/task")
            return sum(_thread_ns(pid, thread) for thread in threads) * NS
        return None

    def sample(self, at_s: float, control_bytes: list[int]) -> None:
        """Notes what each gateway used until now."""
        if not self.alive:
            return
        memory = self.memory_bytes()
        for member in self.members:
            used = self.cpu_s(member)
            if member.incarnation is not None and used is not None:
                member.incarnation.uses.append(Use(at_s, used, control_bytes[member.number], memory))


def _thread_ns(pid: int, thread: int | str) -> int:
    return int(Path(f"/proc/{pid}/task/{thread}/schedstat").read_text().split()[0])


def place_of(blocks: list[int], number: int) -> str:
    """A gateway's address, on blocks of addresses that no other run uses."""
    return places.gateway_address(blocks[number // GATEWAYS_OF_BLOCK], number % GATEWAYS_OF_BLOCK)


def write_configuration(fleet: Topology, spec: GatewaySpec, settings: dict[str, Any], path: Path) -> None:
    """One gateway's configuration file, with the settings in place of those of a measured gateway."""
    table = configuration(fleet, spec) | {"settings": settings}
    path.write_text(json.dumps(table), encoding="utf-8")
