"""A measured gateway's configuration file, made from a fleet and the sizes of one measurement."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Final

from ..simulation import traffic
from ..simulation.plan import Plan
from .topology import Topology

PLAN: Final = "basic"  # of all emulated tenants
CLASS: Final = "sheet-read"  # of all emulated requests
QUOTA_PER_S: Final = 1000.0  # of a tenant: above what any emulated tenant asks for
SOCKETS: Final = 1024
LIST_LIMIT_BYTES: Final = 64 << 20  # for programs that bound it at 4 MiB: a list of 32,000 is longer


@dataclass(frozen=True)
class GatewaySpec:
    """One gateway's place among its emulated surroundings."""

    number: int
    listen: str
    peer_listen: str
    discovery: str
    peers: list[str]  # of all gateways, in the order of their numbers
    features: dict[str, str] = field(default_factory=dict)  # name: absolute path of the file


def settings(fleet: Topology, spec: GatewaySpec) -> dict[str, Any]:
    """The settings of the simulated worlds, with the fleet's zones and a quota that binds nobody."""
    table = traffic.settings(Plan(seed=1, gateways=len(spec.peers)), spec.number)
    zones = fleet.zones
    table["zones"] = zones
    table["zone"] = spec.number % len(zones)
    table["skus"] = ["std"]
    for plan in table["plans"]:
        if plan["name"] == PLAN:
            plan.update(refill=QUOTA_PER_S, burst=QUOTA_PER_S, never_over_rate=0.0, hard_burst=0.0)
    return table


def configuration(fleet: Topology, spec: GatewaySpec) -> dict[str, Any]:
    """The configuration file as a table."""
    return {
        "name": f"g{spec.number}",
        "listen": spec.listen,
        "discovery": spec.discovery,
        "seed": f"{spec.number + 1:x}",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": SOCKETS, "table_bytes": LIST_LIMIT_BYTES},
        "peer_listen": spec.peer_listen,
        "peers": spec.peers,
        "features": spec.features,
        "settings": settings(fleet, spec),
    }
