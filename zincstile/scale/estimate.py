"""What a scale run will need of the machine, worked out before anything is started. Pure.

The figures of one gateway were measured on the program at rest, 100 to 32,000 backends: 21.4 MB and 1.7 KB a
backend, 0.3% of a core and 6.2 millionths of one a backend. Hollow gateways of one process share what the
interpreter takes.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from .plan import DayPlan
from .topology import Topology

MEMORY_MOST_BYTES: Final = 12 << 30
PROCESSES_MOST: Final = 299
INTERPRETER_BYTES: Final = 20_000_000  # of a process, whatever it holds
GATEWAY_BYTES: Final = 1_500_000  # of a gateway beside that
BACKEND_BYTES: Final = 1_700  # of a gateway, for each backend
REST_SHARE: Final = 0.003  # of a core
REST_SHARE_OF_BACKEND: Final = 6.2e-6
PEER_BYTES: Final = 300  # of a gateway, for each other gateway
DRIVER_BYTES: Final = 80_000_000  # of the process that drives the run
EMULATED_BACKEND_BYTES: Final = 6_000  # of it, for each backend
WATCH_BYTES: Final = 40_000  # of it, for each gateway
REQUEST_BYTES: Final = 4_000  # of it, for each request that is remembered
REMEMBERED_S: Final = 60.0
HOLLOW_BACKENDS: Final = 10_000  # entries in all tables of one process: a core has to carry its changes
HOLLOW_MOST: Final = 40  # gateways of one process


class Estimate(NamedTuple):
    """Memory of all processes, their number, and cores that all gateways take at rest. Where the last is near
    what the machine has, delays are the machine's."""

    memory_bytes: float
    processes: int
    rest_cores: float


def hollow_of_process(fleet: Topology) -> int:
    """Hollow gateways that share one process."""
    return max(1, min(HOLLOW_MOST, HOLLOW_BACKENDS // fleet.backends))


def estimate(fleet: Topology, plan: DayPlan) -> Estimate:
    """What a run of that plan needs."""
    real = plan.real.loaded + plan.real.unloaded
    of_zone = [0] * len(fleet.zones)
    for number in range(real, fleet.gateways):
        of_zone[number % len(of_zone)] += 1
    processes = real + sum(-(-count // hollow_of_process(fleet)) for count in of_zone)
    gateway = GATEWAY_BYTES + BACKEND_BYTES * fleet.backends + PEER_BYTES * fleet.gateways
    requests = fleet.requests_of_gateway() * plan.real.loaded * REMEMBERED_S
    driver = DRIVER_BYTES + EMULATED_BACKEND_BYTES * fleet.backends + WATCH_BYTES * fleet.gateways
    memory = processes * INTERPRETER_BYTES + fleet.gateways * gateway + driver + REQUEST_BYTES * requests
    rest_cores = fleet.gateways * (REST_SHARE + REST_SHARE_OF_BACKEND * fleet.backends)
    return Estimate(memory, processes + 1, rest_cores)


def refused(found: Estimate) -> str | None:
    """Why a run that needs so much is not started; None where it may."""
    if found.memory_bytes > MEMORY_MOST_BYTES:
        gib = found.memory_bytes / (1 << 30)
        return (
            f"needs some {gib:.1f} GiB of memory, {MEMORY_MOST_BYTES >> 30} GiB at most: take fewer gateways"
        )
    if found.processes > PROCESSES_MOST:
        return f"needs {found.processes} processes, {PROCESSES_MOST} at most: take fewer gateways"
    return None
