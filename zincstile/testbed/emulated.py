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
from .members import Backend, Node
from .probe import CommandTap
from .testbed import MS, RACKS, Testbed

MAX_SPEED_FACTOR = 1.3  # core speeds are drawn from 1 / this factor to this factor


class _BackendConnection(ProxiedConnection):
    """A connection to a fake backend whose incoming data is also read by a `CommandTap`."""

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.tap = CommandTap(self.proxy.probe, self.gateway, self.proxy.place)

    def data_received(self, data: bytes) -> None:
        self.tap.feed(data)
        super().data_received(data)


class EmulatedServices(Testbed):
    """Starts, stops and disturbs the emulated services, as a plan's faults ask for it."""

    # ---- backends and their list

    def entry_for(self, entry: EndpointEntry, gateway: int) -> EndpointEntry:
        """Returns the entry with the address that this gateway uses for the backend."""
        backend = self.backends.get(entry.name)
        address_user = places.ALL_GATEWAYS if self.plan.one_address else gateway
        return entry if backend is None else replace(entry, address=backend.proxy.address(address_user))

    def add_backend(
        self, zone: int, cold: bool, group: int | None = None, at: Backend | None = None
    ) -> Backend:
        """Adds a backend of drawn speed and size, at the address of `at` if that is given."""
        self.backends_made += 1
        number, name = self.backends_made, f"s-{self.backends_made:02x}"
        rng = random.Random(f"box {self.plan.seed} {number}")
        group = number % RACKS if group is None else group
        model = BackendModel(
            cores=1 + (number % 3 == 0),
            speed=rng.uniform(1 / MAX_SPEED_FACTOR, MAX_SPEED_FACTOR),
            queue_capacity=rng.randint(8, 24),
            work_ns={n: ms * MS for n, ms in traffic.WORK_MS.items()},
            cold_share=0.25,
            warm_up_s=traffic.WARM_UP_MS / 1000,
            drops_on_disconnect=self.plan.drops_left,
        )
        return self._start_backend(name, zone, group, model, cold, at)

    def _start_backend(
        self, name: str, zone: int, group: int, model: BackendModel, cold: bool, at: Backend | None
    ) -> Backend:
        """Starts a backend and registers it with the checker."""
        number = at.number if at else (self.backends_made - 1) % places.MAX_NUMBER
        proxy = FaultProxy(self.loop, self.links, name, places.BACKEND, number, self.names)
        proxy.make_connection, proxy.probe, proxy.keeps_port = _BackendConnection, self.probe, True
        if at is not None:
            proxy.port = at.proxy.port
        rng = random.Random(f"{name} {self.plan.seed} {self.backends_made}")
        emulator = BackendEmulator(proxy, name, model, self.racks[group], rng, self.probe, cold=cold)  # type: ignore[arg-type]
        emulator.identify_gateway = lambda connection: connection.gateway  # type: ignore[attr-defined]
        self.spawn(emulator.start(""))
        since = int(time.time() * 1000) if cold else 0
        entry = EndpointEntry(name, "", traffic.ZONES[zone], "std", group, "Ready", 1.0, since)
        self.checker.add_backend(name, zone, group)
        self.checker.cold_starts.backend_started(
            name, since, emulator.capacity, lambda: emulator.warmth() >= 1
        )
        self.backends[name] = Backend(entry, emulator, proxy, zone, model, number)
        return self.backends[name]

    def restart_backend(self, old: Backend) -> Backend:
        """Starts the same backend again, cold."""
        zone, group = self.checker.locations[old.entry.name]
        return self._start_backend(old.entry.name, zone, group, replace(old.model, hangs=False), True, old)

    def backend_is_running(self, backend: Backend) -> bool:
        """Returns whether the backend has not been killed."""
        return backend.alive

    def kill_backend(self, backend: Backend) -> None:
        """Resets its connections and stops accepting new ones."""
        backend.alive = False
        backend.proxy.close()

    def resume_listening(self, backend: Backend) -> None:
        """Starts accepting connections again, if it had stopped."""
        if backend.alive and not backend.proxy.listens:
            self.spawn(backend.emulator.start(""))

    def reset_backend(self, backend: Backend) -> None:
        """Resets its connections; the backend keeps running."""
        backend.proxy.break_all()

    def set_backend_unreachable(self, backend: Backend, silent: bool) -> None:
        """Cuts the paths between all gateways and this backend, or restores them."""
        self.set_network_fault(
            ("hush", backend), paths_between(self.names, [backend.entry.name]), PathFault(cut=True), silent
        )

    def set_backend_delay(self, backend: Backend, ms: float) -> None:
        """Delays the data between this backend and all gateways; 0 removes the delay."""
        self.set_network_fault(
            ("lag", backend),
            paths_between(self.names, [backend.entry.name]),
            PathFault(delay_s=ms / 1000),
            ms > 0,
        )

    def set_partitioned(self, node: Node, backend: Backend, apart: bool) -> None:
        """Cuts the path between one gateway and this backend, or restores it."""
        self.set_network_fault(
            (node, backend), paths_between([node.name], [backend.entry.name]), PathFault(cut=True), apart
        )

    # ---- quota services

    def quota_service(self, number: int) -> QuotaService:
        """Returns the quota service of this number."""
        return self.quota_services[number][0]

    def start_quota_service(self, number: int) -> None:
        """Starts a quota service with empty state, at the address of its predecessor if there was one."""
        proxy = FaultProxy(self.loop, self.links, "keeper", places.QUOTA_SERVICE, number, self.names)
        proxy.keeps_port = True
        if number in self.quota_services:
            proxy.port = self.quota_services[number][1].port
        service = QuotaService(proxy)  # type: ignore[arg-type]
        service.accepts_calls = True
        self.quota_services[number] = service, proxy
        self.spawn(service.start(""))

    def kill_quota_service(self, number: int) -> None:
        """Resets its connections and stops accepting new ones."""
        self.quota_services[number][1].close()

    def set_quota_service_unreachable(self, silent: bool) -> None:
        """Cuts the paths between all gateways and the quota services, or restores them."""
        self.set_network_fault("keeper", paths_between(self.names, ["keeper"]), PathFault(cut=True), silent)
