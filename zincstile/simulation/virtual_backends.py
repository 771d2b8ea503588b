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

MAX_SPEED_RATIO: Final = 1.3  # maximum factor by which a backend's cores are faster or slower than usual
HOSTS_PER_NETWORK: Final = 200  # backend addresses that differ only in their last number
QUOTA_SERVICE_NETWORK: Final = "10.2.0"
QUOTA_SERVICE_PORT: Final = 6400


def quota_service_host(number: int) -> str:
    """Returns the address of the quota service of that number."""
    return f"{QUOTA_SERVICE_NETWORK}.{number + 1}"


class VirtualBackends(VirtualEnvironment):
    """Starts and stops the emulated services and injects faults into them."""

    _backends_created = 0

    # ---- backends

    def add_backend(
        self, zone: int, cold: bool, group: int | None = None, at: Backend | None = None
    ) -> Backend:
        """Adds a listening backend of random speed and queue size, at the address of `at` if given."""
        self._backends_created += 1
        number = self._backends_created
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
        """Starts a backend, and the checks of its rules."""
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
        """Restarts a backend, cold."""
        zone, group = self.checker.locations[old.entry.name]
        model = replace(old.model, hangs=False)
        return self._start_backend(old.entry.name, old.host, old.port, zone, group, model, True)

    def backend_is_running(self, backend: Backend) -> bool:
        """Returns True until the backend is killed."""
        return backend.process.alive

    def kill_backend(self, backend: Backend) -> None:
        """Breaks all connections and stops listening."""
        backend.process.kill()

    def resume_listening(self, backend: Backend) -> None:
        """Accepts connections again if it had stopped."""
        if backend.process.alive and (backend.host, backend.port) not in self.network.listeners:
            self.spawn(backend.process, backend.emulator.start(backend.host, backend.port))

    def reset_backend(self, backend: Backend) -> None:
        """Breaks its connections; the backend keeps running."""
        for endpoint in list(backend.process.connections):
            endpoint.reset_both_sides()

    def set_backend_unreachable(self, backend: Backend, unreachable: bool) -> None:
        """Cuts the backend off from all gateways, or reconnects it."""
        self._set_unreachable(backend.host, unreachable)

    def set_backend_delay(self, backend: Backend, ms: float) -> None:
        """Delays all traffic between the backend and the gateways by this time; 0 ends it."""
        self.network.extra_delay_ns.pop(backend.host, None)
        if ms:
            self.network.extra_delay_ns[backend.host] = int(ms * MS_NS)

    def set_partitioned(self, node: Node, backend: Backend, partitioned: bool) -> None:
        """Cuts the path between a gateway and a backend, or restores it."""
        change = self.network.disconnect if partitioned else self.network.reconnect
        change(node.host, backend.host)

    def _set_unreachable(self, host: str, unreachable: bool) -> None:
        change = self.network.isolate if unreachable else self.network.reconnect
        change(host)

    # ---- quota services

    def quota_service(self, number: int) -> QuotaService:
        """Returns the quota service of that number."""
        return self.quota_services[number][1]

    def start_quota_service(self, number: int) -> None:
        """Starts a quota service with empty state, at the address of its predecessor."""
        process = Process(self.network, f"counter{number}", quota_service_host(number), 0)
        service = QuotaService(process.loop)
        service.accepts_calls = True
        self.spawn(process, service.start(process.host, QUOTA_SERVICE_PORT))
        self.quota_services[number] = process, service

    def kill_quota_service(self, number: int) -> None:
        """Breaks all connections and stops listening."""
        self.quota_services[number][0].kill()

    def set_quota_service_unreachable(self, unreachable: bool) -> None:
        """Cuts the first quota service off from all gateways, or reconnects it."""
        self._set_unreachable(quota_service_host(0), unreachable)
