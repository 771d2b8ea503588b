"""Changes of listed endpoints that operators have ordered: under maintenance, and back from it."""

from __future__ import annotations

from dataclasses import replace

from ...decisions.messages import EndpointEntry, EndpointState
from .messages import ListedEndpoint, endpoint_id


class MaintenanceOverrides:
    """Which endpoints drain whatever discovery lists, and which count as started when they came back.

    Times are monotonic, in nanoseconds.
    """

    def __init__(self) -> None:
        """No endpoint is changed."""
        self._since_ns: dict[int, int] = {}  # under maintenance, by id: since when
        # Back from maintenance: the name, and when; started then, where discovery says earlier.
        self._returned: dict[int, tuple[str, int]] = {}

    @property
    def active(self) -> bool:
        """Whether any endpoint may have to be changed."""
        return bool(self._since_ns or self._returned)

    def apply(self, listed: ListedEndpoint) -> ListedEndpoint:
        """An endpoint as discovery lists it, changed as operators have ordered."""
        entry, address = listed
        if entry.id in self._since_ns and entry.state is EndpointState.READY:
            return ListedEndpoint(replace(entry, state=EndpointState.DRAINING), address)
        returned = self._returned.get(entry.id)
        if returned is not None:
            if entry.started_ns < returned[1]:
                return ListedEndpoint(replace(entry, started_ns=returned[1]), address)
            del self._returned[entry.id]  # discovery has a later start: its own holds again
        return listed

    def enter(self, name: str, now_ns: int) -> None:
        """Puts an endpoint under maintenance; again is harmless."""
        backend_id = endpoint_id(name)
        since_ns = self._since_ns.pop(backend_id, None)
        self._since_ns[backend_id] = since_ns or now_ns

    def leave(self, name: str, entry: EndpointEntry | None, now_ns: int) -> None:
        """Takes an endpoint back from maintenance; `entry`: as it is listed, if it is."""
        backend_id = endpoint_id(name)
        since_ns = self._since_ns.pop(backend_id, None)
        if since_ns is not None and (entry is None or entry.started_ns < since_ns):
            # It was restarted while out, whether or not discovery has a new start, and is cold. Started now
            # as the decisions count, it is warmed up and not pushed over.
            self._returned[backend_id] = name, now_ns

    def returned_at_ns(self) -> dict[str, int]:
        """Those back from maintenance that count as started then, by name, and when."""
        return dict(self._returned.values())

    def restore_returned(self, name: str, at_ns: int) -> None:
        """Counts an endpoint as started when it came back, as an older process of this gateway knew."""
        self._returned[endpoint_id(name)] = name, at_ns
