"""Tables of a topology and of measured slopes, as text."""

from __future__ import annotations

import io

from rich.console import Console
from rich.table import Table

from .topology import Topology

WIDTH = 110


def text(table: Table) -> str:
    """A table as plain text, the same in a pipe and on a terminal."""
    out = io.StringIO()
    Console(file=out, width=WIDTH, color_system=None).print(table)
    return out.getvalue()


def topology(fleet: Topology) -> str:
    """The sizes of a fleet, and what follows from them for one gateway."""
    table = Table(title="fleet")
    table.add_column("size")
    table.add_column("in all", justify="right")
    table.add_column("of it", justify="left")
    services, churn = fleet.service_sizes(), fleet.churn_per_day
    sets, zones = fleet.tenant_sets(), len(fleet.zones)
    rows = [
        ("regions", len(fleet.regions), ", ".join(f"{r.name}: {len(r.zones)} zones" for r in fleet.regions)),
        ("racks", zones * fleet.racks_per_zone, f"{fleet.racks_per_zone} in each zone"),
        ("gateways", fleet.gateways, f"{fleet.gateways / zones:.0f} in each zone"),
        ("backends", fleet.backends, f"{fleet.backends / zones:.0f} in each zone"),
        ("services", len(services), f"{services[0]} backends in the largest, {services[-1]} in the smallest"),
        ("routes", fleet.routes.count, "" if fleet.routes.in_program else "not in the program"),
        ("tenants", fleet.tenants.count, f"{fleet.tenants_of_gateway():.0f} of one gateway"),
        ("sets of tenants", sum(sets), f"{sets[0]} gateways in the widest, {sets[-1]} in the smallest"),
        ("requests a second", fleet.requests_per_s, f"{fleet.requests_of_gateway():.1f} of one gateway"),
        (
            "replacements a day",
            churn.backend_replacements,
            f"{fleet.table_changes_per_s():.3f} changes a second",
        ),
        ("configuration changes a day", churn.configuration_changes, ""),
        ("machine failures a day", churn.machine_failures, ""),
    ]
    for name, number, note in rows:
        table.add_row(name, f"{number:,g}" if number < 1000 else f"{number:,.0f}", note)
    return text(table)
