"""The emulated services of a run: backends with their entries in discovery's list, and quota services."""

from __future__ import annotations

import random
import time
from dataclasses import replace
from typing import Any

from ..emulators.backend import BackendEmulator, BackendModel
from ..emulators.discovery import EndpointEntry
from ..emulators.quota_service import QuotaService
from ..simulation import traffic
from ..virtual.network_faults import PathFault, paths_between
from . import places
from .fault_proxy import FaultProxy, ProxiedConnection
from .members import Place, Seat
from .probe import CommandTap
from .testbed import MS, RACKS, Testbed

MOST_SPEED_FACTOR = 1.3  # by which the cores' speed differs at most


class _BackendConnection(ProxiedConnection):
    """A connection to a fake backend: what comes is also read by a tap."""

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.tap = CommandTap(self.proxy.probe, self.gateway, self.proxy.place)

    def data_received(self, data: bytes) -> None:
        self.tap.feed(data)
        super().data_received(data)


class EmulatedServices(Testbed):
    """Starts, stops and disturbs the emulated services, as a plan's faults ask for it."""

    # ---- backends and their list

    def _entry_for(self, entry: EndpointEntry, gateway: int) -> EndpointEntry:
        """With the address by which that gateway finds it, on its clock."""
        place = self.places.get(entry.name)
        seer = places.ALL if self.plan.one_address else gateway
        return entry if place is None else replace(entry, address=place.proxy.address(seer))

    def box(self, zone: int, cold: bool, cell: int | None = None, at: Place | None = None) -> Place:
        """A new backend of drawn speed and size; at another's address where one is given."""
        self._backends_made += 1
        number, name = self._backends_made, f"s-{self._backends_made:02x}"
        rng = random.Random(f"box {self.plan.seed} {number}")
        cell = number % RACKS if cell is None else cell
        model = BackendModel(
            cores=1 + (number % 3 == 0),
            speed=rng.uniform(1 / MOST_SPEED_FACTOR, MOST_SPEED_FACTOR),
            queue_capacity=rng.randint(8, 24),
            work_ns={n: ms * MS for n, ms in traffic.WORK_MS.items()},
            cold_share=0.25,
            warm_up_s=traffic.WARM_MS / 1000,
            drops_on_disconnect=self.plan.drops_left,
        )
        return self._start_backend(name, zone, cell, model, cold, at)

    def _start_backend(
        self, name: str, zone: int, cell: int, model: BackendModel, cold: bool, at: Place | None
    ) -> Place:
        """A backend begins to listen, and its invariants begin to be watched."""
        number = at.number if at else (self._backends_made - 1) % places.MOST
        proxy = FaultProxy(self.loop, self.links, name, places.BOX, number, self.names)
        proxy.make_connection, proxy.probe, proxy.keeps_port = _BackendConnection, self.probe, True
        if at is not None:
            proxy.port = at.proxy.port
        rng = random.Random(f"{name} {self.plan.seed} {self._backends_made}")
        box = BackendEmulator(proxy, name, model, self.racks[cell], rng, self.probe, cold=cold)  # type: ignore[arg-type]
        box.identify_gateway = lambda connection: connection.gateway  # type: ignore[attr-defined]
        self._spawn(box.start(""))
        since = int(time.time() * 1000) if cold else 0
        entry = EndpointEntry(name, "", traffic.ZONES[zone], "std", cell, "Ready", 1.0, since)
        self.checker.add_backend(name, zone, cell)
        self.checker.cold.backend_started(name, since, box.capacity, lambda: box.warmth() >= 1)
        self.places[name] = Place(entry, box, proxy, zone, model, number)
        return self.places[name]

    def box_again(self, old: Place) -> Place:
        """The same backend, started again and cold."""
        zone, cell = self.checker.locations[old.entry.name]
        return self._start_backend(old.entry.name, zone, cell, replace(old.model, hangs=False), True, old)

    def box_runs(self, place: Place) -> bool:
        """It was not killed."""
        return place.alive

    def kill_box(self, place: Place) -> None:
        """Its connections break, and it takes no new ones."""
        place.alive = False
        place.proxy.close()

    def accept_box(self, place: Place) -> None:
        """It takes connections again, if it took none."""
        if place.alive and not place.proxy.listens:
            self._spawn(place.box.start(""))

    def reset_box(self, place: Place) -> None:
        """Its connections break; it goes on."""
        place.proxy.break_all()

    def hush_box(self, place: Place, silent: bool) -> None:
        """No gateway reaches it any more, or all do again."""
        self._set_trouble(
            ("hush", place), paths_between(self.names, [place.entry.name]), PathFault(cut=True), silent
        )

    def lag_box(self, place: Place, ms: float) -> None:
        """What passes between it and the gateways is late by so much; 0: no more."""
        self._set_trouble(
            ("lag", place),
            paths_between(self.names, [place.entry.name]),
            PathFault(delay_s=ms / 1000),
            ms > 0,
        )

    def part(self, seat: Seat, place: Place, apart: bool) -> None:
        """One gateway and this backend reach each other no more, or do again."""
        self._set_trouble(
            (seat, place), paths_between([seat.name], [place.entry.name]), PathFault(cut=True), apart
        )

    # ---- quota services

    def counter(self, number: int) -> QuotaService:
        """The quota service of that number."""
        return self.counters[number][0]

    def start_counter(self, number: int) -> None:
        """Starts a quota service that knows nothing yet, at the address of the one before it."""
        proxy = FaultProxy(self.loop, self.links, "keeper", places.KEEPER, number, self.names)
        proxy.keeps_port = True
        if number in self.counters:
            proxy.port = self.counters[number][1].port
        counter = QuotaService(proxy)  # type: ignore[arg-type]
        counter.open = True
        self.counters[number] = counter, proxy
        self._spawn(counter.start(""))

    def kill_counter(self, number: int) -> None:
        """Its connections break, and it takes no new ones."""
        self.counters[number][1].close()

    def hush_counter(self, silent: bool) -> None:
        """No gateway reaches a quota service any more, or all do again."""
        self._set_trouble("keeper", paths_between(self.names, ["keeper"]), PathFault(cut=True), silent)
