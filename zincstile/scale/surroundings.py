"""Emulated surroundings of a scale run: discovery whose every line is known by gateway, backends that warm up
and are watched by checkers, and the way of datagrams between gateways.

All of a kind stand behind one socket, each at a loopback address of its own. Control traffic is counted by
gateway: payload bytes of watches and datagrams.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Final

from ..emulators.backend import BackendEmulator, BackendModel, Rack
from ..emulators.backend import GatewayConnection as BackendGatewayConnection
from ..emulators.discovery import EndpointEntry
from ..simulation import traffic
from ..testbed.places import loopback_socket
from ..testbed.probe import CommandTap, Probe
from .emulators import (
    BACKENDS_NETWORK,
    Discovery,
    EndpointTable,
    FakePeers,
    Traffic,
    WatchConnection,
    address,
)
from .topology import Topology
from .verdicts import Change, ColdBudgets

CALL_S: Final = 0.02  # work of one call on a warm core, on average
CORES: Final = 2
QUEUE: Final = 24  # calls that wait at a backend; more are rejected
INDEX_HEAD: Final = b'{"index":'


class DayTable(EndpointTable):
    """Discovery's list, changed entry by entry as the run needs it."""

    def put(self, entry: EndpointEntry) -> None:
        """An entry is new or has changed; `Gone` takes it off the list."""
        self.index += 1
        if entry.status == "Gone":
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry

    def replacement(self, old: EndpointEntry, since_ms: int) -> EndpointEntry:
        """The entry that takes over from one that goes: its zone and rack, a new name and address."""
        number = self._made
        self._made += 1
        return replace(
            old,
            name=f"{old.name.partition('-')[0]}-{number:06x}",
            address=f"{address(BACKENDS_NETWORK, number)}:{self.port}",
            status="Ready",
            since_ms=since_ms,
        )


class DayWatch(WatchConnection):
    """One watch of a gateway; what it is sent is kept by the index that it leads to."""

    def data_received(self, data: bytes) -> None:
        """Counts the watches that the gateway opened."""
        self.discovery.watches_opened[self.gateway] += b"\r\n\r\n" in data  # type: ignore[attr-defined]
        super().data_received(data)

    def send_line(self, line: bytes) -> None:
        """Sends a line, unless the gateway is cut off, and notes the index that it leads to."""
        discovery: DayDiscovery = self.discovery  # type: ignore[assignment]
        if self.gateway in discovery.cut or self.transport.is_closing():
            return
        super().send_line(line)
        if line.startswith(INDEX_HEAD):
            index = int(line[len(INDEX_HEAD) : line.index(b",")])
            discovery.sent_indexes[self.gateway].append(index)


class DayDiscovery(Discovery):
    """The list service of a run."""

    table: DayTable

    def __init__(self, loop: asyncio.AbstractEventLoop, gateways: int, clock: Callable[[], float]) -> None:
        """`clock`: unix seconds, by which changes are timed."""
        super().__init__(loop, gateways)
        self._clock = clock
        self.changes: list[Change] = []
        # Of each gateway's present process:
        self.sent_indexes: list[list[int]] = [[] for _ in range(gateways)]  # the index that each line led to
        self.watches_opened = [0] * gateways  # watches that it opened
        self.cut: set[int] = set()  # gateways whose watches are sent nothing any more
        self.on_change_sent: Callable[[int, EndpointEntry], None] = lambda gateway, entry: None

    async def start(self) -> None:
        """Listens on all addresses of the loopback interface."""
        sock = loopback_socket(socket.SOCK_STREAM)
        self.port = sock.getsockname()[1]
        await self.loop.create_server(lambda: DayWatch(self), sock=sock, backlog=1024)

    def put(self, entry: EndpointEntry) -> None:
        """Makes one change and sends it to all watches."""
        self.table.put(entry)
        line = self.table.delta(entry)
        self._changes[self.table.index] = line
        self.changes.append(Change(self.table.index, self._clock()))
        for watch in list(self.watches):
            watch.send_line(line)
            self.on_change_sent(watch.gateway, entry)

    def restarted(self, gateway: int) -> None:
        """A process of that gateway has ended: the next one is sent everything anew."""
        for watch in [w for w in self.watches if w.gateway == gateway]:
            self.watches.pop(watch)
            watch.transport.abort()
        self.sent_indexes[gateway], self.watches_opened[gateway] = [], 0

    def passed_on(self, gateway: int) -> int | None:
        """The index that it was sent last; None while a part of that waits here to be sent."""
        watches = [w for w in self.watches if w.gateway == gateway]
        if not self.sent_indexes[gateway] or any(w.transport.get_write_buffer_size() for w in watches):
            return None
        return self.sent_indexes[gateway][-1]


class PeerRelay(FakePeers):
    """Passes datagrams on between gateways, each of which knows the others by their addresses here."""

    def __init__(self, loop: asyncio.AbstractEventLoop, traffic: list[Traffic]) -> None:
        """Knows no gateway before `add`; `traffic` is counted by gateway."""
        super().__init__(loop, traffic, 0)
        self.gateways: list[tuple[str, int]] = []  # where each gateway receives from its peers, by number

    def add(self, host: str, port: int) -> None:
        """The next gateway."""
        self.places[host, port] = len(self.gateways)
        self.gateways.append((host, port))

    def _answer(self, sender: tuple[str, int], peer: int, data: bytes) -> None:
        if peer < len(self.gateways):
            self.send(self.gateways[peer], self.places[sender], data)


class DayProbe(Probe):
    """Observes backends and clients for the checkers of the rules and for the budgets of cold backends."""

    def __init__(self, *arguments: Any, cold: ColdBudgets, clock: Callable[[], float]) -> None:
        """`clock`: of the cold budgets, in seconds; all else goes to the probe."""
        super().__init__(*arguments)
        self.cold, self._clock = cold, clock

    def attempt_received(self, backend: str, request: bytes, key: bytes, gateway: str, work_ns: int) -> None:
        """Counts a call to a backend that may be cold, and hands it on to the checkers."""
        self.cold.take(backend, self._clock())
        super().attempt_received(backend, request, key, gateway, work_ns)


class DayBackends:
    """All backends of a run. An address where none runs breaks each connection at once."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        fleet: Topology,
        probe: DayProbe,
        seed: int,
        clock: Callable[[], float],
    ) -> None:
        """Listens nowhere before `start`; `clock`: unix seconds."""
        self.loop, self.fleet, self.probe, self._clock = loop, fleet, probe, clock
        self.port = 0
        self.by_address: dict[str, BackendEmulator] = {}
        self.connections = 0
        self._rng = random.Random(f"backends {seed}")
        self._racks: dict[int, Rack] = {}
        self._settings = traffic.settings(traffic.Plan(seed=1, gateways=1), 0)["obligations"]

    async def start(self) -> None:
        """Listens on all addresses of the loopback interface."""
        sock = loopback_socket(socket.SOCK_STREAM)
        self.port = sock.getsockname()[1]
        await self.loop.create_server(lambda: BackendConnection(self), sock=sock, backlog=1024)

    def add(self, entry: EndpointEntry, cold: bool) -> None:
        """A backend starts."""
        model = BackendModel(
            cores=CORES,
            queue_capacity=QUEUE,
            work_ns=dict.fromkeys(traffic.CLASSES, int(CALL_S * 1e9)),
            cold_share=self._settings["start_capacity"],
            warm_up_s=self._settings["warm_up_ns"] / 1e9,
        )
        rack = self._racks.setdefault(entry.group, Rack(traffic.DEDUPLICATION_WINDOW_MS / 1000))
        backend = BackendEmulator(self.loop, entry.name, model, rack, self._rng, self.probe, cold=cold)
        self.by_address[_host(entry)] = backend
        checker = self.probe.checker
        checker.add_backend(entry.name, self.fleet.zones.index(entry.zone), entry.group)
        if cold:
            self.probe.cold.began(entry.name, self.budget(self._clock()))
            checker.cold_starts.backend_started(
                entry.name, entry.since_ms, backend.capacity, lambda: backend.warmth() >= 1
            )

    def budget(self, began_s: float) -> Callable[[float], float | None]:
        """Calls that a backend started then bears in a window of the settings, by its age."""
        settings = self._settings
        warm_s, window_s = settings["warm_up_ns"] / 1e9, settings["fall_ns"] / 1e9
        cold_share, factor = settings["start_capacity"], settings["overload_factor"]

        def calls(at_s: float) -> float | None:
            age = at_s - began_s
            if age >= warm_s:
                return None
            share = cold_share + (1 - cold_share) * age / warm_s
            return factor * share * CORES * window_s / CALL_S

        return calls

    @property
    def window_s(self) -> float:
        """Over which the budget of a cold backend holds."""
        return self._settings["fall_ns"] / 1e9

    def kill(self, entry: EndpointEntry) -> None:
        """A backend ends: its connections break, and it takes no new ones."""
        backend = self.by_address.pop(_host(entry), None)
        for connection in list(backend.connections) if backend is not None else ():
            connection.transport.abort()


def _host(entry: EndpointEntry) -> str:
    return entry.address.rpartition(":")[0]


class BackendConnection(asyncio.Protocol):
    """One connection of a gateway to one backend, which a tap of the checkers reads too."""

    def __init__(self, backends: DayBackends) -> None:
        """The backend is known once the connection is made."""
        self.backends = backends
        self._line: BackendGatewayConnection | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Finds the backend of the local address; breaks the connection where none runs."""
        backend = self.backends.by_address.get(transport.get_extra_info("sockname")[0])
        if backend is None:
            transport.abort()  # type: ignore[attr-defined]
            return
        self.backends.connections += 1
        self._line = BackendGatewayConnection(backend)
        self._tap = CommandTap(self.backends.probe, "?", backend.name)
        self._line.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Hands bytes to the tap first, then to the backend."""
        if self._line is not None:
            self._tap.feed(data)
            self._line.data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the backend's side."""
        if self._line is not None:
            self._line.connection_lost(exc)
