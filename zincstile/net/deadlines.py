"""All deadlines of the process in one sorted list."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable
from typing import Any, Protocol

DeadlineKey = tuple[int, int]  # time in ns and number of a deadline: what cancels it
DueDeadline = tuple[int, int, Callable[[Any], None], Any]  # its key, what to call, and with what


class Deadlines:
    """Calls that are due at a time of the monotonic clock; whoever owns the clock pops and makes them."""

    __slots__ = ("_items", "_number")

    def __init__(self) -> None:
        """There are none."""
        self._items: list[DueDeadline] = []
        self._number = 0

    def __len__(self) -> int:
        """How many are not due yet."""
        return len(self._items)

    def add(self, at_ns: int, callback: Callable[[Any], None], argument: Any = None) -> DeadlineKey:
        """Calls `callback(argument)` at that time or soon after; the key that is returned cancels it."""
        self._number += 1
        insort(self._items, (at_ns, self._number, callback, argument))
        return at_ns, self._number

    def cancel(self, key: DeadlineKey | None) -> None:
        """Cancels a deadline; nothing happens where it has passed, or where there is none."""
        if key is not None:
            at = bisect_left(self._items, key)
            if at < len(self._items) and self._items[at][:2] == key:
                del self._items[at]

    @property
    def next_ns(self) -> int | None:
        """Time of the earliest deadline."""
        return self._items[0][0] if self._items else None

    def pop_due(self, now: int) -> list[DueDeadline]:
        """Removes all that are due and returns them in their order, for the caller to call."""
        items = self._items
        if not items or items[0][0] > now:
            return []
        end = bisect_left(items, (now + 1,))
        due = items[:end]
        del items[:end]
        return due


class Scheduler(Protocol):
    """Who makes the calls that are due: `dispatcher.Dispatcher`."""

    deadlines: Deadlines

    def now_ns(self) -> int:
        """The monotonic clock."""
        ...

    def wake(self) -> None:
        """Looks at the deadlines soon: one was added."""
        ...


def run_every(scheduler: Scheduler, period_ns: int, action: Callable[[], None]) -> None:
    """Calls `action()` soon and then once in each period, for as long as the process lives.

    The next time is set before the call, so that a round that fails does not end the series.
    """

    def run_round(_: object) -> None:
        scheduler.deadlines.add(scheduler.now_ns() + period_ns, run_round)
        action()

    run_round(None)
    scheduler.wake()
