"""Parses discovery's JSON into endpoints."""

from __future__ import annotations

from typing import Any, Final

from ...decisions.messages import EndpointEntry, EndpointState
from ..config import parse_address
from ..host import Host
from .clock import DiscoveryClock
from .messages import EndpointListMessage, ListedEndpoint, endpoint_id

ENDPOINT_STATES: Final = {  # by the status on the wire
    "Ready": EndpointState.READY,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.REMOVED,
}
DEFAULT_WEIGHT: Final = 1.0  # one shared object, to save memory
NO_ADDRESS: Final = ("", 0)  # address of a removed endpoint


class EndpointReader:
    """Parses messages and single endpoints.

    Malformed input raises ValueError, KeyError, TypeError, AttributeError or ArithmeticError.
    """

    def __init__(self, zones: list[str], kinds: list[str], host: Host) -> None:
        """`zones` and `kinds`: the configured zones and machine types, in the order of their numbers."""
        self.zones = {name: number for number, name in enumerate(zones)}
        self.machine_types = {name: number for number, name in enumerate(kinds)}
        self.now_ns = host.monotonic_ns
        self.clock = DiscoveryClock(host.monotonic_ns() - host.unix_ns())
        self._ports: dict[int, int] = {}  # one shared object per port, to save memory

    def read(self, message: dict[str, Any]) -> EndpointListMessage:
        """Parses a message; `read_endpoint` may already have parsed its endpoints."""
        endpoints = message["endpoints"]
        starts = [raw.get("since_ms") for raw in endpoints if isinstance(raw, dict)]
        self.clock.choose_offset([start for start in starts if type(start) is int], self.now_ns())
        listed = [raw if type(raw) is ListedEndpoint else self.read_endpoint(raw) for raw in endpoints]
        return EndpointListMessage(int(message["index"]), bool(message["snapshot"]), listed)

    def _machine_type(self, raw: dict[str, Any]) -> int:
        """Returns the number of a machine type.

        A type that is not configured gets the id of its name: otherwise all such types would count as one.
        """
        known = self.machine_types.get(raw.get("type"))
        return endpoint_id(str(raw.get("type") or "")) if known is None else known

    def read_endpoint(self, raw: dict[str, Any]) -> ListedEndpoint:
        """Parses one endpoint of a message."""
        state = ENDPOINT_STATES[raw["status"]]
        weight = float(raw.get("weight") or DEFAULT_WEIGHT)
        without_address = state is EndpointState.REMOVED and not raw.get("address")
        host, port = NO_ADDRESS if without_address else parse_address(raw["address"])
        backend_id = endpoint_id(str(raw["name"]))
        start_ms, now_ns = int(raw.get("since_ms") or 0), self.now_ns()
        if start_ms and not self.clock.offset_chosen:  # parsed before the list is complete
            self.clock.choose_offset([start_ms], now_ns)
        entry = EndpointEntry(
            backend_id,
            self.zones.get(raw.get("zone"), len(self.zones)),
            self._machine_type(raw),
            int(raw.get("group") or 0),
            state,
            DEFAULT_WEIGHT if weight == DEFAULT_WEIGHT else weight,
            self.clock.started_ns(backend_id, start_ms, now_ns),
        )
        return ListedEndpoint(entry, (host, self._ports.setdefault(port, port)))
