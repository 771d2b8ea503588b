"""The table of endpoints, kept by changes: a ring of the ready ones for each service and zone.

A change costs a search and an insertion in one ring; nothing here walks the table but a whole list, which is
as long as the table itself. Endpoints that drain are kept, and are in no ring.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable

from ..decisions.messages import EndpointEntry, EndpointState
from .placement import ID_MASK, ring_key

Place = tuple[int, int]  # service and zone


class Ring:
    """The ready endpoints of one service in one zone, in the order of their keys."""

    __slots__ = ("keys", "cells")

    def __init__(self, by_cell: bool) -> None:
        self.keys: list[int] = []
        self.cells: dict[int, list[int]] | None = {} if by_cell else None

    def __len__(self) -> int:
        return len(self.keys)

    def add(self, key: int, cell: int) -> None:
        insort(self.keys, key)
        if self.cells is not None:
            insort(self.cells.setdefault(cell, []), key)

    def remove(self, key: int, cell: int) -> None:
        del self.keys[bisect_left(self.keys, key)]
        if self.cells is not None:
            keys = self.cells[cell]
            del keys[bisect_left(keys, key)]
            if not keys:
                del self.cells[cell]

    def take(self, first: int, size: int) -> list[int]:
        """Keys of `size` endpoints from rank `first` on, round the ring; each once."""
        size, end = min(size, len(self.keys)), first + min(size, len(self.keys))
        return self.keys[first:end] + self.keys[: max(0, end - len(self.keys))]

    def partner(self, key: int, cell: int) -> int:
        """The endpoint of the same cell that follows, or itself where it is the only one."""
        keys = (self.cells or {})[cell]
        return keys[(bisect_left(keys, key) + 1) % len(keys)]


class EndpointTable:
    """All endpoints that discovery told of. `service_of` says of which service one is; `by_cell`: the rings
    know cells too."""

    def __init__(self, service_of: Callable[[EndpointEntry], int], by_cell: bool = False) -> None:
        self.service_of, self.by_cell = service_of, by_cell
        self.endpoints: dict[int, EndpointEntry] = {}
        self.rings: dict[Place, Ring] = {}
        self.ready = 0

    def apply(self, entries: Iterable[EndpointEntry]) -> set[int]:
        """Changes, in their order. The services of which a ring has changed."""
        changed: set[int] = set()
        for entry in entries:
            self._put(entry, changed)
        return changed

    def replace(self, entries: Iterable[EndpointEntry]) -> set[int]:
        """A whole list: what it leaves out has gone. The services of which a ring has changed."""
        listed = {entry.id: entry for entry in entries}
        changed: set[int] = set()
        for number in [n for n in self.endpoints if n not in listed]:
            self._leave(self.endpoints.pop(number), changed)
        for entry in listed.values():
            self._put(entry, changed)
        return changed

    def _put(self, entry: EndpointEntry, changed: set[int]) -> None:
        old = self.endpoints.get(entry.id)
        stays = old is not None and self._spot(old) == self._spot(entry)
        if entry.mode is EndpointState.REMOVED:
            self.endpoints.pop(entry.id, None)
        else:
            self.endpoints[entry.id] = entry
        if stays:
            return
        if old is not None:
            self._leave(old, changed)
        self._join(entry, changed)

    def _spot(self, entry: EndpointEntry) -> tuple[int, int, int] | None:
        """Where an endpoint stands; None: in no ring."""
        if entry.mode is not EndpointState.READY:
            return None
        return self.service_of(entry), entry.zone, entry.cell

    def _join(self, entry: EndpointEntry, changed: set[int]) -> None:
        spot = self._spot(entry)
        if spot is None:
            return
        service, zone, cell = spot
        if (service, zone) not in self.rings:
            self.rings[service, zone] = Ring(self.by_cell)
        self.rings[service, zone].add(ring_key(service, entry.id), cell)
        self.ready += 1
        changed.add(service)

    def _leave(self, entry: EndpointEntry, changed: set[int]) -> None:
        spot = self._spot(entry)
        if spot is None:
            return
        service, zone, cell = spot
        ring = self.rings[service, zone]
        ring.remove(ring_key(service, entry.id), cell)
        if not ring.keys:
            del self.rings[service, zone]
        self.ready -= 1
        changed.add(service)


def number_of(key: int) -> int:
    """The endpoint's number, from its key in a ring."""
    return key & ID_MASK
