"""Discovery's JSON, read into endpoints."""

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
DEFAULT_WEIGHT: Final = 1.0  # one object for all endpoints that have it
NO_ADDRESS: Final = ("", 0)  # of an endpoint that is gone


class EndpointReader:
    """Reads messages and single endpoints.

    Raises ValueError, KeyError, TypeError, AttributeError or ArithmeticError where one is not of its form.
    """

    def __init__(self, zones: list[str], kinds: list[str], host: Host) -> None:
        """`zones` and `kinds`: the names that the settings know, whose places are their numbers."""
        self.zones = {name: number for number, name in enumerate(zones)}
        self.machine_types = {name: number for number, name in enumerate(kinds)}
        self.now_ns = host.monotonic_ns
        self.clock = DiscoveryClock(host.monotonic_ns() - host.unix_ns())
        self._ports: dict[int, int] = {}  # one object for all that are alike

    def read(self, message: dict[str, Any]) -> EndpointListMessage:
        """Reads a message, whose endpoints may have been read before (`read_endpoint`)."""
        endpoints = message["endpoints"]
        starts = [raw.get("since_ms") for raw in endpoints if isinstance(raw, dict)]
        self.clock.choose_offset([start for start in starts if type(start) is int], self.now_ns())
        listed = [raw if type(raw) is ListedEndpoint else self.read_endpoint(raw) for raw in endpoints]
        return EndpointListMessage(int(message["index"]), bool(message["snapshot"]), listed)

    def _machine_type(self, raw: dict[str, Any]) -> int:
        """A type that the settings don't name has the id of its name: else all such were one."""
        known = self.machine_types.get(raw.get("type"))
        return endpoint_id(str(raw.get("type") or "")) if known is None else known

    def read_endpoint(self, raw: dict[str, Any]) -> ListedEndpoint:
        """Reads one endpoint of a message."""
        state = ENDPOINT_STATES[raw["status"]]
        weight = float(raw.get("weight") or DEFAULT_WEIGHT)
        unknown = state is EndpointState.REMOVED and not raw.get("address")
        host, port = NO_ADDRESS if unknown else parse_address(raw["address"])
        backend_id = endpoint_id(str(raw["name"]))
        start_ms, now_ns = int(raw.get("since_ms") or 0), self.now_ns()
        if start_ms and not self.clock.offset_chosen:  # read as its text came, before the list is complete
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
