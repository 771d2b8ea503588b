"""Maintenance of endpoints, as ordered by operators: overrides what discovery lists."""

from __future__ import annotations

from dataclasses import replace

from ...decisions.messages import EndpointEntry, EndpointState
from .messages import ListedEndpoint, endpoint_id


class MaintenanceOverrides:
    """Which endpoints drain regardless of discovery, and which count as started when maintenance ended.

    Times are monotonic, in nanoseconds.
    """

    def __init__(self) -> None:
        """Creates an empty set of overrides."""
        self._since_ns: dict[int, int] = {}  # start of maintenance by id
        # By id: name and end of maintenance. An earlier start from discovery is replaced by the end.
        self._returned: dict[int, tuple[str, int]] = {}

    @property
    def active(self) -> bool:
        """Whether there are any overrides."""
        return bool(self._since_ns or self._returned)

    def apply(self, listed: ListedEndpoint) -> ListedEndpoint:
        """Returns a listed endpoint with its override applied."""
        entry, address = listed
        if entry.id in self._since_ns and entry.state is EndpointState.READY:
            return ListedEndpoint(replace(entry, state=EndpointState.DRAINING), address)
        returned = self._returned.get(entry.id)
        if returned is not None:
            if entry.started_ns < returned[1]:
                return ListedEndpoint(replace(entry, started_ns=returned[1]), address)
            del self._returned[entry.id]  # discovery now lists a later start, which is used again
        return listed

    def enter(self, name: str, now_ns: int) -> None:
        """Puts an endpoint under maintenance; has no effect if it already is."""
        backend_id = endpoint_id(name)
        since_ns = self._since_ns.pop(backend_id, None)
        self._since_ns[backend_id] = since_ns or now_ns

    def leave(self, name: str, entry: EndpointEntry | None, now_ns: int) -> None:
        """Ends the maintenance of an endpoint; `entry`: its listed entry, if any."""
        backend_id = endpoint_id(name)
        since_ns = self._since_ns.pop(backend_id, None)
        if since_ns is not None and (entry is None or entry.started_ns < since_ns):
            # Assume a restart during maintenance, even if discovery lists no new start. The endpoint counts
            # as started now, so that slow start warms it up instead of overloading it.
            self._returned[backend_id] = name, now_ns

    def returned_at_ns(self) -> dict[str, int]:
        """Returns by name when maintenance ended, for endpoints that count as started then."""
        return dict(self._returned.values())

    def restore_returned(self, name: str, at_ns: int) -> None:
        """Restores the end of an endpoint's maintenance, as known to an earlier process of this gateway."""
        self._returned[endpoint_id(name)] = name, at_ns
