"""The deadlines of the process, in one sorted list."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable
from typing import Any, Protocol

DeadlineKey = tuple[int, int]  # time in ns and number of a deadline, used to cancel it
DueDeadline = tuple[int, int, Callable[[Any], None], Any]  # time in ns, number, callback, argument


class Deadlines:
    """Callbacks by the monotonic time at which they are due; the dispatcher calls them."""

    __slots__ = ("_items", "_last_number")

    def __init__(self) -> None:
        """Starts without deadlines."""
        self._items: list[DueDeadline] = []
        self._last_number = 0

    def __len__(self) -> int:
        """Returns the number of pending deadlines."""
        return len(self._items)

    def add(self, at_ns: int, callback: Callable[[Any], None], argument: Any = None) -> DeadlineKey:
        """Schedules `callback(argument)` and returns the key that cancels it."""
        self._last_number += 1
        insort(self._items, (at_ns, self._last_number, callback, argument))
        return at_ns, self._last_number

    def cancel(self, key: DeadlineKey | None) -> None:
        """Cancels a deadline; does nothing if it has passed or `key` is None."""
        if key is not None:
            index = bisect_left(self._items, key)
            if index < len(self._items) and self._items[index][:2] == key:
                del self._items[index]

    @property
    def next_ns(self) -> int | None:
        """The time of the earliest deadline; None without deadlines."""
        return self._items[0][0] if self._items else None

    def pop_due(self, now: int) -> list[DueDeadline]:
        """Removes the deadlines that are due and returns them in order; the caller calls them."""
        items = self._items
        if not items or items[0][0] > now:
            return []
        end = bisect_left(items, (now + 1,))
        due = items[:end]
        del items[:end]
        return due


class Scheduler(Protocol):
    """Calls the deadlines that are due: `dispatcher.Dispatcher`."""

    deadlines: Deadlines

    def now_ns(self) -> int:
        """Returns the monotonic time."""
        ...

    def wake(self) -> None:
        """Schedules a check of the deadlines, as one was added."""
        ...


def run_every(scheduler: Scheduler, period_ns: int, action: Callable[[], None]) -> None:
    """Calls `action()` at once and then once per period until the process ends.

    The next call is scheduled before the action runs, so that an exception does not end the series.
    """

    def run_round(_: object) -> None:
        scheduler.deadlines.add(scheduler.now_ns() + period_ns, run_round)
        action()

    run_round(None)
    scheduler.wake()
