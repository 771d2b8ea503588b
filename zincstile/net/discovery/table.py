"""The endpoint table: what discovery lists, and each change of it for the decisions and the pool."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, Final, Protocol

from ...decisions.messages import EndpointEntry, EndpointList, EndpointListKind, EndpointState
from ..dispatcher import Dispatcher
from ..trace import Step
from .maintenance import MaintenanceOverrides
from .messages import ListedEndpoint, endpoint_id
from .reader import EndpointReader

# Endpoints that were listed and are gone: so many may still be named by operators.
MAX_REMOVED: Final = 1024
NS_PER_S: Final = 1e9


class UpdateEndpoints(Protocol):
    """Takes over a list (`complete`), or a change of it: `ConnectionPool.update`."""

    def __call__(self, endpoints: list[ListedEndpoint], *, complete: bool) -> None:
        """Called in the order in which lists come."""
        ...


class EndpointTable:
    """Holds the last list of discovery, and passes every change of it on."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        reader: EndpointReader,
        update: UpdateEndpoints,
    ) -> None:
        """`update` gets each list or change after the decisions have."""
        self.dispatcher = dispatcher
        self.reader = reader
        self.update = update
        self.version = 0  # of the list, as discovery counts; 0: the next watch asks for a complete list
        self.endpoints: dict[int, ListedEndpoint] = {}  # by id, as discovery lists them
        self.removed: dict[int, int] = {}  # listed before, by id: when it had started; the last of these
        self.maintenance = MaintenanceOverrides()
        self._last_contact_ns: int | None = None  # when discovery last sent anything; none: not yet

    def __contains__(self, name: object) -> bool:
        """Whether discovery lists a name, or did not long ago."""
        backend_id = endpoint_id(str(name))
        return backend_id in self.endpoints or backend_id in self.removed

    # ---- what discovery sends

    def record_contact(self) -> None:
        """Discovery has sent something, be it that nothing has changed."""
        self._last_contact_ns = self.dispatcher.now_ns()

    def read_early(self, raw: dict[str, Any]) -> Any:
        """Reads an endpoint as soon as its own text is here; what is none, or malformed, stays as it is.

        The objects of a complete list take several times the memory that is kept of them, and an endpoint
        that is known already takes none.
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
        """Takes over a list or a change of it, as its JSON has it.

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
        """Counts endpoints that are new as started now, where their start is too long ago to be true.

        One that was not listed when discovery last sent something has started since then, or not long
        before. A wall clock that is ahead would make a cold backend warm.
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
            "clock", f"a backend listed just now had started {age_s:.0f} s ago: taken as cold"
        )
        clock.override_start(entry.id, clock.sent_start_ms(entry.id, entry.started_ns), now_ns)
        return ListedEndpoint(replace(entry, started_ns=now_ns), address)

    def _store(self, kind: EndpointListKind, endpoints: list[ListedEndpoint]) -> None:
        """Remembers what is listed, and of what is gone only that it was, and not for ever."""
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
        # The decisions first: what the pool withdraws by the same change is then decided on by the new list,
        # and not sent to the next backend that the change takes out.
        self.dispatcher.post(EndpointList(kind, version, [entry for entry, _ in endpoints]))
        self.update(endpoints, complete=kind is not EndpointListKind.DELTA)

    # ---- what operators order

    def set_maintenance(self, name: str, *, enter: bool) -> bool:
        """Puts an endpoint under maintenance, or takes it back; False where it was never listed.

        Where it is listed, that is published as a change of the list, so that the decisions and the pool
        get it in the same batch, before any further attempt is decided on. Another process of this gateway
        may know of endpoints that are not listed here yet.
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
        """The listed ones back from maintenance that count as started then, by name, and when."""
        returned = self.maintenance.returned_at_ns()
        return {name: at_ns for name, at_ns in returned.items() if name in self}

    def restore_returned(self, returned_age_ns: dict[str, int]) -> None:
        """Takes over how long ago endpoints came back, by name, from an older process of this gateway.

        Discovery's own start of them may be of before they were taken out.
        """
        now_ns = self.dispatcher.now_ns()
        for name, age_ns in returned_age_ns.items():
            self.maintenance.restore_returned(name, now_ns - age_ns)
