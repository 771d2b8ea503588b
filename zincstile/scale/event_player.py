"""What the events of a day, and its churn, do to the backends and gateways of a run."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import replace
from typing import Final

from ..emulators.discovery import EndpointEntry
from .crowd import GatewayProcess
from .day_gateways import DayGateways
from .plan import GatewaysRestarted, PlannedEvent, Rollout, ZoneLost
from .surroundings import DayBackends, DayDiscovery

CHURN_DRAIN_S: Final = 2.0  # of a backend that is replaced on an ordinary day


class EventPlayer:
    """Plays the events and the churn of a plan on the backends and gateways of a run."""

    def __init__(
        self,
        discovery: DayDiscovery,
        backends: DayBackends,
        gateways: DayGateways,
        seed: int,
    ) -> None:
        """`seed`: of the backends that churn replaces."""
        self.discovery = discovery
        self.backends = backends
        self.gateways = gateways
        self._rng = random.Random(f"churn {seed}")
        self._lost: dict[str, None] = {}  # zones that are away
        self._leaving: dict[str, None] = {}  # backends that are being replaced

    async def play(self, event: PlannedEvent) -> None:
        """Plays one event, from now on."""
        if isinstance(event, Rollout):
            await self._roll_out(event)
        elif isinstance(event, ZoneLost):
            await self._lose_zone(event)
        elif isinstance(event, GatewaysRestarted):
            await asyncio.gather(*(self._restart(process) for process in self.gateways.in_zone(event.zone)))

    async def churn(self, replacements_per_s: float) -> None:
        """Replaces backends drawn at random, for ever."""
        async with asyncio.TaskGroup() as tasks:
            while replacements_per_s:
                await asyncio.sleep(1 / replacements_per_s)
                entries = [e for e in self._entries() if self._free(e)]
                if entries:
                    tasks.create_task(self._replace(self._rng.choice(entries), CHURN_DRAIN_S))

    def _entries(self) -> list[EndpointEntry]:
        return list(self.discovery.table.entries.values())

    def _free(self, entry: EndpointEntry) -> bool:
        return entry.name not in self._leaving and entry.zone not in self._lost

    # ---- backends

    async def _replace(self, entry: EndpointEntry, drain_s: float) -> None:
        """One backend drains and goes; another starts in its place, cold."""
        self._leaving[entry.name] = None
        self.discovery.put(replace(entry, status="Terminating"))
        await asyncio.sleep(drain_s)
        del self._leaving[entry.name]
        if entry.zone in self._lost or entry.name not in self.discovery.table.entries:
            return  # its zone was lost meanwhile
        self.discovery.put(replace(entry, status="Gone"))
        self.backends.kill(entry)
        newer = self.discovery.table.replacement(entry, int(time.time() * 1000))
        self.backends.add(newer, cold=True)
        self.discovery.put(newer)

    async def _roll_out(self, event: Rollout) -> None:
        head = f"s{event.service:03d}-"
        old = [e for e in self._entries() if e.name.startswith(head) and self._free(e)]
        async with asyncio.TaskGroup() as tasks:
            for entry in old:
                if self._free(entry):
                    tasks.create_task(self._replace(entry, event.drain_s))
                await asyncio.sleep(event.over_s / len(old))

    async def _lose_zone(self, event: ZoneLost) -> None:
        """Everything there dies at once; discovery announces it later, and in the end all is back."""
        self._lost[event.zone] = None
        gone = [e for e in self._entries() if e.zone == event.zone]
        for entry in gone:
            self.backends.kill(entry)
        processes = self.gateways.in_zone(event.zone)
        await asyncio.gather(*(self.gateways.stop(process, at_once=True) for process in processes))
        began_s = asyncio.get_running_loop().time()
        await asyncio.sleep(event.noticed_s)
        await self._put_all([replace(e, status="Gone") for e in gone], event.over_s)
        await asyncio.sleep(began_s + event.for_s - asyncio.get_running_loop().time())
        for process in processes:
            self.gateways.start(process)
        since_ms = int(time.time() * 1000)
        back = [replace(e, status="Ready", since_ms=since_ms) for e in gone]
        for entry in back:
            self.backends.add(entry, cold=True)
        await self._put_all(back, event.over_s)
        del self._lost[event.zone]

    async def _put_all(self, entries: list[EndpointEntry], over_s: float) -> None:
        """One change after the other, evenly over that time."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for number, entry in enumerate(entries):
            await asyncio.sleep(max(0.0, began_s + number * over_s / len(entries) - loop.time()))
            self.discovery.put(entry)

    # ---- gateways

    async def _restart(self, process: GatewayProcess) -> None:
        await self.gateways.stop(process, at_once=False)
        self.gateways.start(process)
