"""Virtual time: one heap of all scheduled calls.

Calls scheduled for the same nanosecond are made in the order in which they were scheduled, so a run depends
only on its seed. The clock does not advance during a call: code takes no virtual time, unless its process is
paused.
"""

from __future__ import annotations

import asyncio
import heapq
import math
from asyncio import _set_running_loop  # asyncio provides it for implementations of event loops
from collections.abc import Callable
from typing import Any, Final, Protocol

MICROSECOND_NS: Final = 1_000
MS_NS: Final = 1_000_000
SECOND_NS: Final = 1_000_000_000
# More calls at one instant mean code that keeps rescheduling itself; no plan needs as many.
MAX_STEPS_AT_ONE_INSTANT: Final = 20_000


class LivelockError(RuntimeError):
    """Virtual time does not advance, since some code keeps rescheduling itself for the present instant."""


class ScheduledProcess(Protocol):
    """The attributes of a process that the scheduler uses when it makes a call in it."""

    alive: bool
    paused_until_ns: int  # none of its calls is made before then
    loop: asyncio.AbstractEventLoop


class ScheduledCall:
    """A scheduled call, with the interface of an asyncio timer handle."""

    __slots__ = ("at_ns", "callback", "args", "process")

    def __init__(
        self,
        at_ns: int,
        callback: Callable[..., Any],
        args: tuple[Any, ...],
        process: ScheduledProcess | None,
    ) -> None:
        """Creates a call of callback(*args) at `at_ns`, in `process` or in no process."""
        self.at_ns = at_ns
        self.callback: Callable[..., Any] | None = callback
        self.args = args
        self.process = process

    def cancel(self) -> None:
        """Cancels the call; has no effect once it was made."""
        self.callback = None
        self.args = ()

    def cancelled(self) -> bool:
        """Returns whether the call was cancelled."""
        return self.callback is None

    def when(self) -> float:
        """Returns the time of the call in seconds, as asyncio's timer handles do."""
        return self.at_ns / 1e9


class Scheduler:
    """The virtual clock and its scheduled calls."""

    __slots__ = ("now_ns", "steps", "_heap", "_calls_scheduled", "_running_loop")

    def __init__(self, start_ns: int = 0) -> None:
        """Creates a clock at `start_ns` with no scheduled calls."""
        self.now_ns = start_ns
        self.steps = 0  # calls that were made
        self._heap: list[tuple[int, int, ScheduledCall]] = []
        self._calls_scheduled = 0
        self._running_loop: asyncio.AbstractEventLoop | None = None

    def __len__(self) -> int:
        """Returns the number of scheduled calls, including cancelled ones."""
        return len(self._heap)

    def call_at(
        self,
        at_ns: int,
        callback: Callable[..., Any],
        *args: Any,
        process: ScheduledProcess | None = None,
    ) -> ScheduledCall:
        """Schedules callback(*args) for `at_ns`, or for now if that has passed.

        The call is skipped if its process has died by then.
        """
        call = ScheduledCall(at_ns if at_ns > self.now_ns else self.now_ns, callback, args, process)
        self._calls_scheduled += 1
        heapq.heappush(self._heap, (call.at_ns, self._calls_scheduled, call))
        return call

    @property
    def next_call_ns(self) -> int | None:
        """The time of the next call, which may be a cancelled one; None if no call is scheduled."""
        return self._heap[0][0] if self._heap else None

    def step(self, until_ns: float = math.inf) -> bool:
        """Makes the next call due by `until_ns` and returns whether there was one.

        An exception raised in a process is passed to the exception handler of its loop.
        """
        heap = self._heap
        while heap and heap[0][0] <= until_ns:
            at_ns, number, call = heapq.heappop(heap)
            process = call.process
            if call.callback is None or process is not None and not process.alive:
                continue
            if process is not None and process.paused_until_ns > at_ns:
                # Keeping the number preserves the order of the calls that wait for the end of the same pause.
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

    def run(self, until_ns: int, should_stop: Callable[[int], bool] | None = None) -> bool:
        """Makes calls up to `until_ns`; returns True if `should_stop` ended the run early.

        `should_stop` is called with the time after each call. Raises LivelockError if more than
        MAX_STEPS_AT_ONE_INSTANT calls are made at one instant.
        """
        steps_before_instant = self.steps
        last_instant_ns = self.now_ns
        try:
            while self.step(until_ns):
                if should_stop is not None and should_stop(self.now_ns):
                    return True
                if self.now_ns != last_instant_ns:
                    steps_before_instant = self.steps
                    last_instant_ns = self.now_ns
                elif self.steps - steps_before_instant > MAX_STEPS_AT_ONE_INSTANT:
                    raise LivelockError(
                        f"virtual time did not advance during {MAX_STEPS_AT_ONE_INSTANT} calls"
                    )
        finally:
            self._running_loop = None
            _set_running_loop(None)
        self.now_ns = max(self.now_ns, until_ns)
        return False
