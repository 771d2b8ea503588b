"""Requests without a final answer, their deadlines, and their attempts in flight."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Protocol

from .actions import ActionQueue
from .messages import CancelAttempt
from .records import Attempt, PendingRequest
from .settings import Settings
from .timers import DEADLINE_TIMER
from .units import NEVER_NS


class AttemptObserver(Protocol):
    """Observes the attempts in flight, for a limit that gateways share (`leases`)."""

    def launched(self, attempt: Attempt) -> None:
        """Called when an attempt was sent."""

    def settled(self, attempt: Attempt, *, last: bool) -> None:
        """Called when the outcome of an attempt is known. `last`: no other attempt is in flight."""


class AttemptTable:
    """Owns the attempts in flight, by request id and number of the attempt."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        self.last_launched_ns = NEVER_NS
        self.observer: AttemptObserver | None = None

    def launch(self, pending: PendingRequest, attempt: Attempt) -> None:
        """Adds an attempt that is being sent."""
        self.in_flight[pending.request.id, len(pending.attempted_endpoints)] = attempt
        self.last_launched_ns = attempt.sent_ns
        attempt.endpoint.in_flight += 1
        pending.attempted_endpoints.append(attempt.endpoint)
        pending.in_flight += 1
        pending.customer.in_flight += 1
        if self.observer is not None:
            self.observer.launched(attempt)

    def settle(self, request_id: int, number: int, pending: PendingRequest | None) -> Attempt | None:
        """Removes an attempt whose outcome is known and returns it; None if there is no such attempt."""
        attempt = self.in_flight.pop((request_id, number), None)
        if attempt is None:
            return None
        attempt.endpoint.in_flight -= 1
        if pending is not None:
            pending.in_flight -= 1
            pending.customer.in_flight -= 1
        if self.observer is not None:
            self.observer.settled(attempt, last=not self.in_flight)
        return attempt

    def units(self) -> list[float]:
        """Returns the units of each attempt in flight."""
        return [attempt.units for attempt in self.in_flight.values()]


class RequestTable:
    """Owns the requests without a final answer, by id."""

    def __init__(self, settings: Settings, actions: ActionQueue, attempts: AttemptTable) -> None:
        """Stores the parts that it uses."""
        self.settings = settings
        self.actions = actions
        self.attempts = attempts
        self.pending: dict[int, PendingRequest] = {}
        # Called with each request that is over: `QuotaSource.request_closed`.
        self.close_listener: Callable[[PendingRequest], None] | None = None
        # Heap of deadlines and request ids, also of requests that are closed by now.
        self._deadlines: list[tuple[int, int]] = []
        self._timer_ns = math.inf  # when the timer expires that checks the deadlines

    def add(self, pending: PendingRequest) -> None:
        """Adds a new request.

        Most requests end long before their deadline, so one timer serves all: it is set for the earliest.
        """
        request = pending.request
        self.pending[request.id] = pending
        heapq.heappush(self._deadlines, (request.deadline_ns, request.id))
        if request.deadline_ns < self._timer_ns:
            self._timer_ns = request.deadline_ns
            self.actions.set_timer(request.deadline_ns, DEADLINE_TIMER)

    def pop_overdue(self, now: int) -> list[PendingRequest]:
        """Returns the requests whose deadline has passed, except streaming ones. Sets the next timer."""
        due = []
        deadlines = self._deadlines
        while deadlines and (deadlines[0][0] <= now or deadlines[0][1] not in self.pending):
            pending = self.pending.get(heapq.heappop(deadlines)[1])
            if pending is not None and not pending.streaming:
                due.append(pending)
        if self._timer_ns <= now:
            self._timer_ns = math.inf
            if deadlines:
                self._timer_ns = deadlines[0][0]
                self.actions.set_timer(deadlines[0][0], DEADLINE_TIMER)
        return due

    def close(self, pending: PendingRequest) -> None:
        """Removes a request that is over, and cancels its attempts in flight if the settings allow it."""
        if self.close_listener is not None:
            self.close_listener(pending)
        request_id = pending.request.id
        del self.pending[request_id]
        pending.customer.in_flight -= pending.in_flight
        if not self.settings.cancels_attempts:
            return
        for number in range(len(pending.attempted_endpoints)):
            if (request_id, number) in self.attempts.in_flight:
                self.actions.append(CancelAttempt(request_id, number))
