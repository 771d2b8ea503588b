"""The endpoint table: stores what discovery lists, and publishes changes to the policy and the pool."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, Final, Protocol

from ...decisions.messages import EndpointEntry, EndpointList, EndpointListKind, EndpointState
from ..dispatcher import Dispatcher
from ..trace import Step
from .maintenance import MaintenanceOverrides
from .messages import ListedEndpoint, endpoint_id
from .reader import EndpointReader

# Maximum number of removed endpoints that operators can still name.
MAX_REMOVED: Final = 1024
NS_PER_S: Final = 1e9


class UpdateEndpoints(Protocol):
    """Applies a list (`complete`) or a change of it: `ConnectionPool.update`."""

    def __call__(self, endpoints: list[ListedEndpoint], *, complete: bool) -> None:
        """Called for each list or change, in order."""
        ...


class EndpointTable:
    """Stores the latest list of discovery, and publishes every change of it."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        reader: EndpointReader,
        update: UpdateEndpoints,
    ) -> None:
        """`update` is called with each list or change after it was posted to the policy."""
        self.dispatcher = dispatcher
        self.reader = reader
        self.update = update
        self.version = 0  # of the list, by discovery's counter; 0: the next watch requests a complete list
        self.endpoints: dict[int, ListedEndpoint] = {}  # by id, without overrides
        self.removed: dict[int, int] = {}  # start of recently removed endpoints, by id
        self.maintenance = MaintenanceOverrides()
        self._last_contact_ns: int | None = None  # when discovery last sent anything

    def __contains__(self, name: object) -> bool:
        """Whether discovery lists a name, or has recently removed it."""
        backend_id = endpoint_id(str(name))
        return backend_id in self.endpoints or backend_id in self.removed

    # ---- messages from discovery

    def record_contact(self) -> None:
        """Records that discovery has sent something, if only a keep-alive."""
        self._last_contact_ns = self.dispatcher.now_ns()

    def read_early(self, raw: dict[str, Any]) -> Any:
        """Parses an endpoint as soon as its JSON object is decoded; returns other or malformed objects as is.

        The JSON objects of a complete list would take several times the memory of the parsed endpoints, and
        an unchanged endpoint takes none.
        """
        if "endpoints" in raw:
            return raw
        try:
            listed = self.reader.read_endpoint(raw)
        except (ValueError, KeyError, TypeError, AttributeError, ArithmeticError):
            return raw
        known = self.endpoints.get(listed.entry.id)
        return known if known == listed else listed

    def apply_message(
        self, message: dict[str, Any], kind: EndpointListKind, *, record_version: bool = True
    ) -> None:
        """Applies a list or a change of it, as decoded from JSON.

        `record_version`: the next watch requests the changes since this version. If the message is malformed,
        raises what `EndpointReader.read` raises and changes nothing.
        """
        version, _, endpoints = self.reader.read(message)
        if record_version:
            self.version = version
        self.dispatcher.counters.tables += 1
        self.dispatcher.trace.record(
            self.dispatcher.now_ns(), Step.STATE, "list", (kind, version, len(endpoints))
        )
        endpoints = self._correct_starts(kind, endpoints)
        self._store(kind, endpoints)
        if self.maintenance.active:
            endpoints = [self.maintenance.apply(listed) for listed in endpoints]
        self._publish(kind, version, endpoints)

    def _correct_starts(
        self, kind: EndpointListKind, endpoints: list[ListedEndpoint]
    ) -> list[ListedEndpoint]:
        """Replaces the start of new endpoints by the present time if it is implausibly long ago.

        An endpoint that was not listed at the last contact with discovery started after that contact or
        shortly before. Otherwise a wall clock that is ahead would make a cold backend look warm.
        """
        if self._last_contact_ns is None or kind is EndpointListKind.CACHED:
            return endpoints
        earliest_ns = self._last_contact_ns - self.dispatcher.limits.listing_delay_ns
        return [
            self._with_start_now(listed)
            if listed.entry.started_ns < earliest_ns and self._has_new_start(listed.entry)
            else listed
            for listed in endpoints
        ]

    def _has_new_start(self, entry: EndpointEntry) -> bool:
        known = self.endpoints.get(entry.id)
        known_ns = known.entry.started_ns if known is not None else self.removed.get(entry.id)
        return entry.started_ns not in (0, known_ns) and entry.state is not EndpointState.REMOVED

    def _with_start_now(self, listed: ListedEndpoint) -> ListedEndpoint:
        entry, address = listed
        clock, now_ns = self.reader.clock, self.dispatcher.now_ns()
        age_s = (now_ns - entry.started_ns) / NS_PER_S
        self.dispatcher.log.line_limited(
            "clock", f"new backend has an implausible start {age_s:.0f} s ago: treated as cold"
        )
        clock.override_start(entry.id, clock.sent_start_ms(entry.id, entry.started_ns), now_ns)
        return ListedEndpoint(replace(entry, started_ns=now_ns), address)

    def _store(self, kind: EndpointListKind, endpoints: list[ListedEndpoint]) -> None:
        """Stores the listed endpoints, and the starts of a bounded number of removed ones."""
        if kind is not EndpointListKind.DELTA:
            received = {entry.id for entry, _ in endpoints}
            for backend_id in [known for known in self.endpoints if known not in received]:
                self._remove(backend_id)
        for listed in endpoints:
            if listed.entry.state is EndpointState.REMOVED:
                self._remove(listed.entry.id)
            else:
                self.endpoints[listed.entry.id] = listed

    def _remove(self, backend_id: int) -> None:
        known = self.endpoints.pop(backend_id, None)
        started_ns = known.entry.started_ns if known is not None else self.removed.get(backend_id, 0)
        self.removed.pop(backend_id, None)
        self.removed[backend_id] = started_ns
        if len(self.removed) > MAX_REMOVED:
            del self.removed[next(iter(self.removed))]

    def _publish(self, kind: EndpointListKind, version: int, endpoints: list[ListedEndpoint]) -> None:
        # The policy first: it then decides with the new list on attempts that the pool withdraws, and does
        # not send them to another backend that the same change removes.
        self.dispatcher.post(EndpointList(kind, version, [entry for entry, _ in endpoints]))
        self.update(endpoints, complete=kind is not EndpointListKind.DELTA)

    # ---- orders of operators

    def set_maintenance(self, name: str, *, enter: bool) -> bool:
        """Starts or ends the maintenance of an endpoint; returns False if it was never listed.

        The order also takes effect on an endpoint that is not listed yet, as another process of this gateway
        may know it. For a listed endpoint it is published as a change of the list, so that the policy and the
        pool apply it in the same batch, before the next decision on an attempt.
        """
        now_ns = self.dispatcher.now_ns()
        self.dispatcher.trace.record(now_ns, Step.STATE, name, "maintenance" if enter else "back")
        listed = self.endpoints.get(endpoint_id(name))
        if enter:
            self.maintenance.enter(name, now_ns)
        else:
            self.maintenance.leave(name, listed.entry if listed is not None else None, now_ns)
        if listed is not None:
            self._publish(EndpointListKind.DELTA, self.version, [self.maintenance.apply(listed)])
        return name in self

    def returned_at_ns(self) -> dict[str, int]:
        """Returns by name when maintenance ended, for listed endpoints that count as started then."""
        returned = self.maintenance.returned_at_ns()
        return {name: at_ns for name, at_ns in returned.items() if name in self}

    def restore_returned(self, returned_age_ns: dict[str, int]) -> None:
        """Restores from an earlier process of this gateway how long ago each endpoint's maintenance ended.

        The start that discovery lists may be from before the maintenance.
        """
        now_ns = self.dispatcher.now_ns()
        for name, age_ns in returned_age_ns.items():
            self.maintenance.restore_returned(name, now_ns - age_ns)
