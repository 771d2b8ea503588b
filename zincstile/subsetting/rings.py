"""All endpoints of discovery's list, and a ring of the ready ones for each service and zone.

A change of an endpoint takes a search and an insertion in one ring; only a full list is compared with all
endpoints. Draining endpoints are kept, but are in no ring.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..decisions.messages import EndpointEntry, EndpointState
from .placement import ring_key


class RingId(NamedTuple):
    """Identifies the ring of one service in one zone."""

    service: int
    zone: int


class RingMembership(NamedTuple):
    """The ring of an endpoint, and its cell."""

    ring: RingId
    cell: int


class Ring:
    """The ready endpoints of one service in one zone, in the order of their keys (`placement.ring_key`)."""

    __slots__ = ("keys", "keys_by_cell")

    def __init__(self, *, by_cell: bool) -> None:
        """Starts empty; with `by_cell`, the ring indexes its keys by cell too."""
        self.keys: list[int] = []
        self.keys_by_cell: dict[int, list[int]] | None = {} if by_cell else None

    def __len__(self) -> int:
        """The number of endpoints."""
        return len(self.keys)

    def add(self, key: int, cell: int) -> None:
        """Inserts an endpoint."""
        insort(self.keys, key)
        if self.keys_by_cell is not None:
            insort(self.keys_by_cell.setdefault(cell, []), key)

    def remove(self, key: int, cell: int) -> None:
        """Removes an endpoint."""
        del self.keys[bisect_left(self.keys, key)]
        if self.keys_by_cell is not None:
            keys = self.keys_by_cell[cell]
            del keys[bisect_left(keys, key)]
            if not keys:
                del self.keys_by_cell[cell]

    def take(self, first: int, size: int) -> list[int]:
        """Returns the keys of `size` endpoints from rank `first` on, wrapping around; each key once."""
        size = min(size, len(self.keys))
        end = first + size
        return self.keys[first:end] + self.keys[: max(0, end - len(self.keys))]

    def partner(self, key: int, cell: int) -> int:
        """Returns the key that follows in the same cell, or `key` itself if it is the only one."""
        keys = (self.keys_by_cell or {})[cell]
        return keys[(bisect_left(keys, key) + 1) % len(keys)]


class EndpointRings:
    """All endpoints by id, and the rings of the ready ones."""

    def __init__(self, service_of: Callable[[EndpointEntry], int], *, by_cell: bool = False) -> None:
        """Starts empty; `service_of` returns an endpoint's service; with `by_cell`, rings index cells too."""
        self.service_of = service_of
        self.by_cell = by_cell
        self.endpoints: dict[int, EndpointEntry] = {}
        self.rings: dict[RingId, Ring] = {}
        self.ready_count = 0

    def apply(self, entries: Iterable[EndpointEntry]) -> set[int]:
        """Applies changes in their order. Returns the services with a changed ring."""
        changed: set[int] = set()
        for entry in entries:
            self._put(entry, changed)
        return changed

    def replace(self, entries: Iterable[EndpointEntry]) -> set[int]:
        """Applies a full list; endpoints that it does not contain are removed.

        Returns the services with a changed ring.
        """
        listed = {entry.id: entry for entry in entries}
        changed: set[int] = set()
        for endpoint_id in [existing_id for existing_id in self.endpoints if existing_id not in listed]:
            self._leave_ring(self.endpoints.pop(endpoint_id), changed)
        for entry in listed.values():
            self._put(entry, changed)
        return changed

    def _put(self, entry: EndpointEntry, changed: set[int]) -> None:
        old = self.endpoints.get(entry.id)
        same_membership = old is not None and self._membership(old) == self._membership(entry)
        if entry.state is EndpointState.REMOVED:
            self.endpoints.pop(entry.id, None)
        else:
            self.endpoints[entry.id] = entry
        if same_membership:
            return
        if old is not None:
            self._leave_ring(old, changed)
        self._join_ring(entry, changed)

    def _membership(self, entry: EndpointEntry) -> RingMembership | None:
        """Returns the ring and cell of an endpoint; None if it belongs to no ring."""
        if entry.state is not EndpointState.READY:
            return None
        return RingMembership(RingId(self.service_of(entry), entry.zone), entry.cell)

    def _join_ring(self, entry: EndpointEntry, changed: set[int]) -> None:
        membership = self._membership(entry)
        if membership is None:
            return
        ring_id = membership.ring
        if ring_id not in self.rings:
            self.rings[ring_id] = Ring(by_cell=self.by_cell)
        self.rings[ring_id].add(ring_key(ring_id.service, entry.id), membership.cell)
        self.ready_count += 1
        changed.add(ring_id.service)

    def _leave_ring(self, entry: EndpointEntry, changed: set[int]) -> None:
        membership = self._membership(entry)
        if membership is None:
            return
        ring_id = membership.ring
        ring = self.rings[ring_id]
        ring.remove(ring_key(ring_id.service, entry.id), membership.cell)
        if not ring.keys:
            del self.rings[ring_id]
        self.ready_count -= 1
        changed.add(ring_id.service)
