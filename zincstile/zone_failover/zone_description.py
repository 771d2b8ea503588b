"""Describes the routing table and this gateway's observations of each zone, for operators."""

from __future__ import annotations

from typing import Final

from .agreement import Agreement
from .messages import RoutingTable
from .routing_weights import WEIGHT_TOTAL
from .zone_health import ZoneHealth
from .zone_states import ZoneState

NS_PER_MS: Final = 1_000_000


def describe_zones(now: int, zone_names: list[str], agreement: Agreement, health: ZoneHealth) -> str:
    """Returns a line for the table, and one for each zone that has endpoints or is this gateway's own."""
    table = agreement.table(now)
    lines = [_table_line(now, agreement, table)]
    for zone in range(len(zone_names)):
        if health.ready[zone] or zone == agreement.own_zone:
            lines.append(_zone_line(zone, zone_names, table, health))
    return "\n".join(lines)


def _table_line(now: int, agreement: Agreement, table: RoutingTable | None) -> str:
    if table is None or agreement.terms is None:
        return "no table: each gateway by its stated part"
    generation = table.generation
    age_ms = (now - agreement.terms.table_renewed_ns) // NS_PER_MS
    return f"table {generation.term}.{generation.number} by gateway {generation.leader}, {age_ms} ms old"


def _zone_line(zone: int, zone_names: list[str], table: RoutingTable | None, health: ZoneHealth) -> str:
    state = ZoneState(table.states[zone]).name.lower() if table else "-"
    weights = _weights_text(table.weights[zone], zone_names) if table else ""
    return (
        f"{zone_names[zone]} {state} ready={health.ready[zone]} good={health.healthy[zone]:.1f} "
        f"dead={health.connections[zone].failed_ratio:.2f} sends {weights or 'nothing'}"
    )


def _weights_text(weights: tuple[int, ...], zone_names: list[str]) -> str:
    """Formats the share of the traffic of each zone that gets some."""
    parts = [
        f"{zone_names[target]}:{100 * weight / WEIGHT_TOTAL:.0f}%"
        for target, weight in enumerate(weights)
        if weight
    ]
    return " ".join(parts)
