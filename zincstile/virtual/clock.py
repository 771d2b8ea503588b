"""Virtual time: one heap of all that will happen.

Two things asked for the same nanosecond happen in the order in which they were asked for, so a run depends on
nothing but its seed. The clock stands still while something happens: code costs no virtual time, unless its
process is paused.
"""

from __future__ import annotations

import asyncio
import heapq
import math
from collections.abc import Callable
from typing import Any, Protocol

MICROSECOND, MS, SECOND = 1_000, 1_000_000, 1_000_000_000
STUCK_STEPS = 20_000  # steps at one instant: code that asks for itself again and again


class StuckError(RuntimeError):
    """Time stands still: something asks to be called at once, for ever."""


class Owner(Protocol):
    """What the scheduler has to know of the process in which something happens."""

    alive: bool
    paused_ns: int  # nothing of it happens before then
    loop: asyncio.AbstractEventLoop


class ScheduledCall:
    """Something that will happen. It has what asyncio's handles have, so it may stand for one."""

    __slots__ = ("at_ns", "then", "args", "process")

    def __init__(
        self, at_ns: int, then: Callable[..., Any], args: tuple[Any, ...], process: Owner | None
    ) -> None:
        self.at_ns, self.then, self.args, self.process = at_ns, then, args, process

    def cancel(self) -> None:
        """It won't happen; once it has, this says nothing."""
        self.then, self.args = None, ()

    def cancelled(self) -> bool:
        """It was cancelled."""
        return self.then is None

    def when(self) -> float:
        """Seconds, as asyncio's timers tell it."""
        return self.at_ns / 1e9


class Scheduler:
    """The clock, and what will happen by it."""

    __slots__ = ("now_ns", "steps", "_heap", "_number", "_loop")

    def __init__(self, start_ns: int = 0) -> None:
        self.now_ns = start_ns
        self.steps = 0  # things that have happened
        self._heap: list[tuple[int, int, ScheduledCall]] = []
        self._number = 0
        self._loop: asyncio.AbstractEventLoop | None = None  # whose code runs at present

    def __len__(self) -> int:
        return len(self._heap)

    def at(
        self, at_ns: int, then: Callable[..., Any], *args: Any, process: Owner | None = None
    ) -> ScheduledCall:
        """then(*args) at that time, or now where it has passed; in that process, which may have died by
        then."""
        entry = ScheduledCall(at_ns if at_ns > self.now_ns else self.now_ns, then, args, process)
        self._number += 1
        heapq.heappush(self._heap, (entry.at_ns, self._number, entry))
        return entry

    @property
    def next_ns(self) -> int | None:
        """When the next thing happens, cancelled ones included."""
        return self._heap[0][0] if self._heap else None

    def step(self, until_ns: float = math.inf) -> bool:
        """The next thing happens; False where there is none by then. What a process raises goes to its
        loop."""
        heap = self._heap
        while heap and heap[0][0] <= until_ns:
            at_ns, number, entry = heapq.heappop(heap)
            then, process = entry.then, entry.process
            if then is None or process is not None and not process.alive:
                continue
            if process is None:
                self.now_ns = at_ns
                self.steps += 1
                then(*entry.args)
                return True
            if process.paused_ns > at_ns:  # keeps its place among what waits for the end of the same pause
                heapq.heappush(heap, (process.paused_ns, number, entry))
                continue
            self.now_ns = at_ns
            self.steps += 1
            if self._loop is not process.loop:
                self._loop = process.loop
                asyncio._set_running_loop(process.loop)
            try:
                then(*entry.args)
            except Exception as err:
                process.loop.call_exception_handler(
                    {
                        "message": f"Exception in callback {getattr(then, '__qualname__', then)}",
                        "exception": err,
                    }
                )
            return True
        return False

    def run(self, until_ns: int, watch: Callable[[int], bool] | None = None) -> bool:
        """Step by step up to that time. True where `watch`, told the time after each step, ended it before.
        StuckError where so much happens at one instant that time will not go on."""
        before, instant = self.steps, self.now_ns
        try:
            while self.step(until_ns):
                if watch is not None and watch(self.now_ns):
                    return True
                if self.now_ns != instant:
                    before, instant = self.steps, self.now_ns
                elif self.steps - before > STUCK_STEPS:
                    raise StuckError(f"{STUCK_STEPS} steps at one instant")
        finally:
            self._loop = None
            asyncio._set_running_loop(None)
        self.now_ns = max(self.now_ns, until_ns)
        return False
