"""Cold starts of many real processes that poll a list service: the time until each is ready, and the load of
the service.

Readiness is read from each process's log, so that measuring it does not slow the process.
"""

from __future__ import annotations

import asyncio
import signal
import time
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Final

import msgspec

from ..emulators.list_service import ListService, ListServiceBehaviour
from ..simulation.plan import Plan
from . import places
from .members import Node
from .run import NotReadyError, Run

WAVES = ("all", "tenths", "seven-in-ten", "outage", "down", "empty")
TENTH_S: Final = 1.0  # between the starts of two tenths of the fleet
OUTAGE_S: Final = 20.0  # silence of the list service
KILLED_RATIO: Final = 0.7  # of the fleet, in the wave `seven-in-ten`
COUNTED_SPAN_S: Final = 0.1  # `calls_in_any`: the maximum number of calls within this time


class StartRow(msgspec.Struct):
    """One wave. Times are seconds from its begin; `least_s`: the lower bound, the time to serve the lists
    plus the start of the processes."""

    wave: str
    gateways: int
    lists: int
    per_s: float
    up_s: float  # until the last process listened
    half_s: float
    most_s: float  # 99 in 100
    all_s: float  # -1: not all were ready
    ready: int
    least_s: float
    calls_each: float
    calls_most: int  # of one gateway, maximum
    calls_in_any: int  # in any tenth of a second, maximum
    for_the_left: int  # lists served after the caller had disconnected
    megabytes: float
    memory_mb: float = 0.0
    cpu_ms: float = 0.0  # of one process until it was ready, median

    @property
    def times(self) -> float:
        """Time until all were ready, relative to the lower bound."""
        return self.all_s / self.least_s if self.all_s >= 0 else float("inf")


@dataclass(slots=True)
class ProcessStart:
    """One process's start."""

    begun_s: float
    up_s: float = -1.0
    ready_s: float = -1.0
    cpu_ms: float = 0.0


@dataclass(slots=True)
class Wave:
    """Processes that are started together."""

    begun_s: float
    starts: dict[str, ProcessStart] = field(default_factory=dict)


class StartRun(Run):
    """Plays waves of cold starts. `patience_s`: timeout of a wave."""

    def __init__(
        self,
        plan: Plan,
        folder: Path,
        behaviour: ListServiceBehaviour,
        patience_s: float = 60.0,
        features: dict[str, str] | None = None,
    ) -> None:
        """`behaviour`: how the list service behaves."""
        super().__init__(plan, folder, "start", features)
        self.behaviour = behaviour
        self.patience_s = patience_s
        self.rows: list[StartRow] = []
        self.wave: Wave | None = None

    async def waves(self, names: list[str]) -> list[StartRow]:
        """Plays the waves one after another, on one fleet. Raises AddressError or OSError."""
        self.loop = asyncio.get_running_loop()
        self.loop.set_exception_handler(self.report_loop_error)
        with places.reserve_block() as self.block:
            try:
                await self._build_services()
                for name in names:
                    await getattr(self, "_" + name.replace("-", "_"))(name)
                if self.checker.violations:
                    raise NotReadyError(self.checker.violations[0].text)
            finally:
                self.clean_up()
        return self.rows

    async def _build_services(self) -> None:
        self.service = ListService(self.loop, self.behaviour)
        await self.build(start=False)
        for node in self.nodes:
            node.agent.on_request = self.service.receive_call

    def known_list(self, node: Node) -> dict:
        """Returns no list: the waves measure starts without a cached list."""
        return {}

    # ---- the waves

    async def _start(self, nodes: list[Node], name: str, at_once: bool = True) -> None:
        self._begin()
        for k, node in enumerate(nodes):
            if not at_once and k and k % max(1, len(nodes) // 10) == 0:
                await asyncio.sleep(TENTH_S)
            self._start_one(node)
        await self._until_ready(nodes)
        self._add_row(name, nodes)

    def _begin(self) -> None:
        self.wave = Wave(time.time())
        self.service.reset_records()

    def _start_one(self, node: Node) -> None:
        self.wave.starts[node.name] = ProcessStart(time.time())
        self.start_gateway(node)

    def _kill(self, nodes: list[Node]) -> None:
        for node in nodes:
            self.kill(node)

    async def _all(self, name: str) -> None:
        self._kill(self.nodes)
        await self._start(self.nodes, name)

    async def _tenths(self, name: str) -> None:
        self._kill(self.nodes)
        await self._start(self.nodes, name, at_once=False)

    async def _seven_in_ten(self, name: str) -> None:
        chosen = self.rng.sample(self.nodes, int(len(self.nodes) * KILLED_RATIO))
        self._kill(chosen)
        await self._start(chosen, name)

    async def _outage(self, name: str) -> None:
        """The service falls silent in the middle of the start."""
        self._kill(self.nodes)
        middle_s = max(1.0, len(self.nodes) / self.behaviour.snapshots_per_s / 2)
        self.after(1000 * middle_s, self._silent, True)
        self.after(1000 * (middle_s + OUTAGE_S), self._silent, False)
        await self._start(self.nodes, name)

    async def _down(self, name: str) -> None:
        """All are restarted while the service is silent; `least_s` includes the silence."""
        self._kill(self.nodes)
        self._silent(True)
        self.after(1000 * OUTAGE_S, self._silent, False)
        await self._start(self.nodes, name)

    async def _empty(self, name: str) -> None:
        """The service returns with an empty list, which then fills."""
        self._kill(self.nodes)
        entries = list(self.endpoint_list.entries.values())
        for entry in entries:
            self.endpoint_list.put(replace(entry, status="Gone"))
        for k, entry in enumerate(entries):
            self.after(2000 + 10 * k, self.endpoint_list.put, entry)
        await self._start(self.nodes, name)

    def _silent(self, silent: bool) -> None:
        self.behaviour.silent = silent
        if not silent:
            self.service.resume()

    # ---- the measure

    async def _until_ready(self, nodes: list[Node]) -> None:
        until = time.monotonic() + self.patience_s
        while time.monotonic() < until:
            await asyncio.sleep(0.1)
            for node in nodes:
                self._read_readiness(node)
            if all(self.wave.starts[s.name].ready_s >= 0 for s in nodes):
                return

    def _read_readiness(self, node: Node) -> None:
        start = self.wave.starts[node.name]
        if start.ready_s >= 0:
            return
        for line in node.program.new_lines():
            at, _, rest = line.partition(" ")
            if " start listening on " in line:
                start.up_s = float(at) - self.wave.begun_s
                node.program.listening = True
            elif " ready with " in line:
                start.ready_s = float(at) - self.wave.begun_s
                start.cpu_ms = node.program.cpu_ms()
            elif " fault " in line:
                self.checker.report_fault(node.name, rest)

    def _add_row(self, name: str, nodes: list[Node]) -> None:
        starts = [self.wave.starts[s.name] for s in nodes]
        ready = sorted(m.ready_s for m in starts if m.ready_s >= 0)
        up = max((m.up_s for m in starts), default=0.0)
        service, count = self.service, len(nodes)
        service_s = count / self.behaviour.snapshots_per_s + (OUTAGE_S if name in ("outage", "down") else 0.0)
        memory = [s.program.memory_kb() / 1024 for s in nodes]
        self.rows.append(
            StartRow(
                name,
                count,
                len(self.endpoint_list.entries),
                self.behaviour.snapshots_per_s,
                round(up, 2),
                round(_at(ready, count, 0.5), 2),
                round(_at(ready, count, 0.99), 2),
                round(_at(ready, count, 1.0), 2),
                len(ready),
                round(service_s + up, 2),
                round(service.counts.calls / count, 3),
                max(service.calls_by_gateway.values(), default=0),
                service.max_calls_within(COUNTED_SPAN_S),
                service.counts.served_after_disconnect,
                round(service.counts.bytes / 1e6, 2),
                round(sorted(memory)[count // 2], 1),
                round(sorted(m.cpu_ms for m in starts)[count // 2]),
            )
        )


def _at(ready: list[float], count: int, part: float) -> float:
    """Returns when this part of all was ready; -1: never."""
    required = max(1, -(-int(count * part * 1000) // 1000))
    return ready[required - 1] if len(ready) >= required else -1.0


def play(
    plan: Plan,
    folder: Path,
    behaviour: ListServiceBehaviour,
    names: list[str],
    patience_s: float,
    features: dict[str, str] | None = None,
) -> list[StartRow]:
    """Plays the waves one after another; returns a row for each."""
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)
    return asyncio.run(StartRun(plan, folder, behaviour, patience_s, features).waves(names))


def table(rows: list[StartRow]) -> str:
    """Returns a text table with a line for each wave."""
    lines = [
        f"{'wave':14}{'n':>5}{'lists/s':>9}{'up':>7}{'half':>7}{'99%':>7}{'all':>7}{'ready':>7}"
        f"{'least':>7}{'times':>7}{'calls':>7}{'most':>6}{'in 0.1s':>9}"
        f"{'left':>6}{'MB':>7}{'CPU ms':>8}{'RSS':>6}"
    ]
    for r in rows:
        lines.append(
            f"{r.wave:14}{r.gateways:5}{r.per_s:9.0f}{r.up_s:7.1f}{r.half_s:7.1f}{r.most_s:7.1f}"
            f"{r.all_s:7.1f}{r.ready:7}{r.least_s:7.1f}{r.times:7.2f}{r.calls_each:7.2f}"
            f"{r.calls_most:6}{r.calls_in_any:9}{r.for_the_left:6}{r.megabytes:7.2f}{r.cpu_ms:8.0f}{r.memory_mb:6.1f}"
        )
    return "\n".join(lines)
