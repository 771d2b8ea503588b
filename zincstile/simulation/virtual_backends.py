"""The emulated services of a run on virtual time: backends with their list entries, and quota services."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Final

from ..emulators.backend import BackendEmulator, BackendModel
from ..emulators.discovery import EndpointEntry
from ..emulators.quota_service import QuotaService
from ..virtual.clock import MS_NS
from ..virtual.process import Process
from . import traffic
from .leftovers import SERVICE_PORT
from .members import Backend, Node
from .observation import peer_process_name
from .virtual_environment import GROUPS, UNIX_OFFSET_NS, VirtualEnvironment

MAX_SPEED_RATIO: Final = 1.3  # by which cores are faster or slower than the usual at most
HOSTS_PER_NETWORK: Final = 200  # addresses of backends that differ in their last number alone
QUOTA_SERVICE_NETWORK: Final = "10.2.0"
QUOTA_SERVICE_PORT: Final = 6400


def quota_service_host(number: int) -> str:
    """The address of the quota service of that number."""
    return f"{QUOTA_SERVICE_NETWORK}.{number + 1}"


class VirtualBackends(VirtualEnvironment):
    """Starts, stops and disturbs the emulated services, as a plan's faults ask for it."""

    _backends_made = 0

    # ---- backends

    def add_backend(
        self, zone: int, cold: bool, group: int | None = None, at: Backend | None = None
    ) -> Backend:
        """A new backend of drawn speed and size, listening at once; at the address of `at` where given."""
        self._backends_made += 1
        number = self._backends_made
        if at is None:
            host = f"10.1.{number // HOSTS_PER_NETWORK}.{number % HOSTS_PER_NETWORK + 1}"
            port = SERVICE_PORT
        else:
            host, port = at.host, at.port
        group = number % GROUPS if group is None else group
        return self._start_backend(f"s-{number:02x}", host, port, zone, group, self._draw_model(number), cold)

    def _draw_model(self, number: int) -> BackendModel:
        rng = random.Random(f"box {self.plan.seed} {number}")
        return BackendModel(
            cores=1 + (number % 3 == 0),
            speed=rng.uniform(1 / MAX_SPEED_RATIO, MAX_SPEED_RATIO),
            queue_capacity=rng.randint(8, 24),
            work_ns={name: ms * MS_NS for name, ms in traffic.WORK_MS.items()},
            cold_share=0.25,
            warm_up_s=traffic.WARM_UP_MS / 1000,
            drops_on_disconnect=self.plan.drops_left,
        )

    def _start_backend(
        self, name: str, host: str, port: int, zone: int, group: int, model: BackendModel, cold: bool
    ) -> Backend:
        """A backend begins to listen, and its rules begin to be checked."""
        process = Process(self.network, name, host, zone)
        rng = random.Random(f"{name} {self.plan.seed} {self.scheduler.now_ns}")
        emulator = BackendEmulator(process.loop, name, model, self.racks[group], rng, self.checker, cold=cold)
        emulator.identify_gateway = peer_process_name
        self.spawn(process, emulator.start(host, port))
        since_ms = (self.scheduler.now_ns + UNIX_OFFSET_NS) // MS_NS if cold else 0
        entry = EndpointEntry(
            name, f"{host}:{port}", traffic.ZONES[zone], "std", group, "Ready", 1.0, since_ms
        )
        self.checker.add_backend(name, zone, group)
        self.checker.cold_starts.backend_started(
            name, since_ms, emulator.capacity, lambda: emulator.warmth() >= 1
        )
        self.backends[name] = Backend(entry, process, emulator, host, port, zone, model)
        return self.backends[name]

    def restart_backend(self, old: Backend) -> Backend:
        """The same backend, started again and cold."""
        zone, group = self.checker.locations[old.entry.name]
        model = replace(old.model, hangs=False)
        return self._start_backend(old.entry.name, old.host, old.port, zone, group, model, True)

    def backend_is_running(self, backend: Backend) -> bool:
        """True until it is killed."""
        return backend.process.alive

    def kill_backend(self, backend: Backend) -> None:
        """Its connections break, and it takes no new ones."""
        backend.process.kill()

    def resume_listening(self, backend: Backend) -> None:
        """It takes connections again, if it took none."""
        if backend.process.alive and (backend.host, backend.port) not in self.network.listeners:
            self.spawn(backend.process, backend.emulator.start(backend.host, backend.port))

    def reset_backend(self, backend: Backend) -> None:
        """Its connections break; it goes on."""
        for endpoint in list(backend.process.connections):
            endpoint.reset_both_sides()

    def set_backend_unreachable(self, backend: Backend, silent: bool) -> None:
        """No gateway reaches it any more, or all do again."""
        self._set_unreachable(backend.host, silent)

    def set_backend_delay(self, backend: Backend, ms: float) -> None:
        """What passes between it and the gateways is late by so much; 0: no more."""
        self.network.extra_delay_ns.pop(backend.host, None)
        if ms:
            self.network.extra_delay_ns[backend.host] = int(ms * MS_NS)

    def set_partitioned(self, node: Node, backend: Backend, apart: bool) -> None:
        """One gateway and this backend reach each other no more, or do again."""
        change = self.network.disconnect if apart else self.network.reconnect
        change(node.host, backend.host)

    def _set_unreachable(self, host: str, unreachable: bool) -> None:
        change = self.network.isolate if unreachable else self.network.reconnect
        change(host)

    # ---- quota services

    def quota_service(self, number: int) -> QuotaService:
        """The quota service of that number."""
        return self.quota_services[number][1]

    def start_quota_service(self, number: int) -> None:
        """Starts a quota service that knows nothing yet, at the address of the one before it."""
        process = Process(self.network, f"counter{number}", quota_service_host(number), 0)
        service = QuotaService(process.loop)
        service.accepts_calls = True
        self.spawn(process, service.start(process.host, QUOTA_SERVICE_PORT))
        self.quota_services[number] = process, service

    def kill_quota_service(self, number: int) -> None:
        """Its connections break, and it takes no new ones."""
        self.quota_services[number][0].kill()

    def set_quota_service_unreachable(self, silent: bool) -> None:
        """No gateway reaches the first quota service any more, or all do again."""
        self._set_unreachable(quota_service_host(0), silent)
