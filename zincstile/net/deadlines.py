"""All deadlines of the process in one sorted list."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable
from typing import Any, Protocol

Key = tuple[int, int]


class Deadlines:
    __slots__ = ("_items", "_number")

    def __init__(self) -> None:
        self._items: list[tuple[int, int, Callable[[Any], None], Any]] = []
        self._number = 0

    def __len__(self) -> int:
        return len(self._items)

    def add(self, at_ns: int, then: Callable[[Any], None], about: Any = None) -> Key:
        """Calls then(about) in the first sweep at or past that time; the key takes it back."""
        self._number += 1
        insort(self._items, (at_ns, self._number, then, about))
        return at_ns, self._number

    def drop(self, key: Key | None) -> None:
        """Takes a deadline back; one that has passed, or none, is no fault."""
        if key is not None:
            at = bisect_left(self._items, key)
            if at < len(self._items) and self._items[at][:2] == key:
                del self._items[at]

    @property
    def next_ns(self) -> int | None:
        return self._items[0][0] if self._items else None

    def sweep(self, now: int) -> list[tuple[int, int, Callable[[Any], None], Any]]:
        """Takes out all that are due, in order; the caller runs them."""
        items = self._items
        if not items or items[0][0] > now:
            return []
        end = bisect_left(items, (now + 1,))
        due = items[:end]
        del items[:end]
        return due


class Sweeper(Protocol):
    """Who has the deadlines swept: `dispatcher.Dispatcher`."""

    deadlines: Deadlines

    def now_ns(self) -> int: ...

    def wake(self) -> None: ...


def every(dispatcher: Sweeper, period_ns: int, act: Callable[[], None]) -> None:
    """Calls act() now and then in each period, for good. The next time is set before the call: guards what is
    done again and again against ending for good with one round that fails."""

    def again(_: object) -> None:
        dispatcher.deadlines.add(dispatcher.now_ns() + period_ns, again)
        act()

    again(None)
    dispatcher.wake()
