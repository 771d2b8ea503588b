"""Virtual time: one heap of all calls that are scheduled.

Two calls that are scheduled for the same nanosecond happen in the order in which they were scheduled, so a
run depends on nothing but its seed. The clock stands still during a call: code costs no virtual time, unless
its process is paused.
"""

from __future__ import annotations

import asyncio
import heapq
import math
from asyncio import _set_running_loop  # asyncio's own means for an event loop's implementation
from collections.abc import Callable
from typing import Any, Final, Protocol

MICROSECOND_NS: Final = 1_000
MS_NS: Final = 1_000_000
SECOND_NS: Final = 1_000_000_000
MAX_STEPS_AT_ONE_INSTANT: Final = 20_000  # code that schedules itself again and again, whatever the plan


class LivelockError(RuntimeError):
    """Time stands still: something asks to be called at once, for ever."""


class ScheduledProcess(Protocol):
    """What the scheduler has to know of the process in which a call happens."""

    alive: bool
    paused_until_ns: int  # nothing happens in it before then
    loop: asyncio.AbstractEventLoop


class ScheduledCall:
    """A call that will happen. It has what asyncio's handles have, so it may stand for one."""

    __slots__ = ("at_ns", "callback", "args", "process")

    def __init__(
        self,
        at_ns: int,
        callback: Callable[..., Any],
        args: tuple[Any, ...],
        process: ScheduledProcess | None,
    ) -> None:
        """Plan callback(*args) for that time, in that process or in none."""
        self.at_ns = at_ns
        self.callback: Callable[..., Any] | None = callback
        self.args = args
        self.process = process

    def cancel(self) -> None:
        """Drop the call; once it has happened, this does nothing."""
        self.callback = None
        self.args = ()

    def cancelled(self) -> bool:
        """Whether it was cancelled."""
        return self.callback is None

    def when(self) -> float:
        """The time of the call in seconds, as asyncio's timers give it."""
        return self.at_ns / 1e9


class Scheduler:
    """The clock, and the calls that are scheduled by it."""

    __slots__ = ("now_ns", "steps", "_heap", "_calls_scheduled", "_running_loop")

    def __init__(self, start_ns: int = 0) -> None:
        """Begin at that time, with nothing scheduled."""
        self.now_ns = start_ns
        self.steps = 0  # calls that have happened
        self._heap: list[tuple[int, int, ScheduledCall]] = []
        self._calls_scheduled = 0
        self._running_loop: asyncio.AbstractEventLoop | None = None

    def __len__(self) -> int:
        """Calls that are scheduled, cancelled ones included."""
        return len(self._heap)

    def call_at(
        self,
        at_ns: int,
        callback: Callable[..., Any],
        *args: Any,
        process: ScheduledProcess | None = None,
    ) -> ScheduledCall:
        """Schedule callback(*args) for that time, or for now where it has passed.

        A call of a process that has died by then does not happen.
        """
        call = ScheduledCall(at_ns if at_ns > self.now_ns else self.now_ns, callback, args, process)
        self._calls_scheduled += 1
        heapq.heappush(self._heap, (call.at_ns, self._calls_scheduled, call))
        return call

    @property
    def next_ns(self) -> int | None:
        """The time of the next call, cancelled ones included; None where there is none."""
        return self._heap[0][0] if self._heap else None

    def step(self, until_ns: float = math.inf) -> bool:
        """Make the next call; False where there is none by then. What a process raises goes to its loop."""
        heap = self._heap
        while heap and heap[0][0] <= until_ns:
            at_ns, number, call = heapq.heappop(heap)
            process = call.process
            if call.callback is None or process is not None and not process.alive:
                continue
            if process is not None and process.paused_until_ns > at_ns:
                # It keeps its place among what waits for the end of the same pause.
                heapq.heappush(heap, (process.paused_until_ns, number, call))
                continue
            self.now_ns = at_ns
            self.steps += 1
            if process is None:
                call.callback(*call.args)
            else:
                self._call_in(process, call.callback, call.args)
            return True
        return False

    def _call_in(
        self, process: ScheduledProcess, callback: Callable[..., Any], args: tuple[Any, ...]
    ) -> None:
        if self._running_loop is not process.loop:
            self._running_loop = process.loop
            _set_running_loop(process.loop)
        try:
            callback(*args)
        except Exception as err:
            message = f"Exception in callback {getattr(callback, '__qualname__', callback)}"
            process.loop.call_exception_handler({"message": message, "exception": err})

    def run(self, until_ns: int, watch: Callable[[int], bool] | None = None) -> bool:
        """Step up to that time; True where `watch`, given the time after each step, ended the run before.

        Raises LivelockError where so many calls happen at one instant that time will not go on.
        """
        steps_before = self.steps
        instant_ns = self.now_ns
        try:
            while self.step(until_ns):
                if watch is not None and watch(self.now_ns):
                    return True
                if self.now_ns != instant_ns:
                    steps_before = self.steps
                    instant_ns = self.now_ns
                elif self.steps - steps_before > MAX_STEPS_AT_ONE_INSTANT:
                    raise LivelockError(f"{MAX_STEPS_AT_ONE_INSTANT} steps at one instant")
        finally:
            self._running_loop = None
            _set_running_loop(None)
        self.now_ns = max(self.now_ns, until_ns)
        return False
