"""Requests that still owe their final answer, attempts in flight, and the deadlines of both."""

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


class AttemptObserver(Protocol):
    """Counts what is in flight, for a limit that gateways share (`leases`)."""

    def launched(self, attempt: Attempt) -> None:
        """An attempt was sent."""

    def settled(self, attempt: Attempt, *, last: bool) -> None:
        """The outcome of an attempt is known; `last`: no other is in flight."""


class AttemptTable:
    """Owner of the attempts in flight, by request id and number of the attempt."""

    def __init__(self) -> None:
        """Starts without any attempt."""
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        self.observer: AttemptObserver | None = None

    def launch(self, pending: PendingRequest, attempt: Attempt) -> None:
        """An attempt is sent."""
        self.in_flight[pending.request.id, len(pending.attempted_endpoints)] = attempt
        attempt.endpoint.in_flight += 1
        pending.attempted_endpoints.append(attempt.endpoint)
        pending.in_flight += 1
        pending.customer.in_flight += 1
        if self.observer is not None:
            self.observer.launched(attempt)

    def settle(self, request_id: int, number: int, pending: PendingRequest | None) -> Attempt | None:
        """The outcome of an attempt is known; None where it is no attempt of ours."""
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
        """Units of each attempt in flight."""
        return [attempt.units for attempt in self.in_flight.values()]


class RequestTable:
    """Owner of the requests that owe their final answer, by id."""

    def __init__(self, settings: Settings, actions: ActionQueue, attempts: AttemptTable) -> None:
        """Takes the parts that it works with."""
        self.settings = settings
        self.actions = actions
        self.attempts = attempts
        self.pending: dict[int, PendingRequest] = {}
        # Called with each request that is over: `QuotaSource.request_closed`.
        self.close_listener: Callable[[PendingRequest], None] | None = None
        self._deadlines: list[tuple[int, int]] = []  # heap of times and request ids, ended ones too
        self._timer_ns = math.inf  # when the first of them is looked at

    def add(self, pending: PendingRequest) -> None:
        """A request has come. Most end long before their deadline, so that one timer, for the first deadline
        that may still matter, does for all."""
        request = pending.request
        self.pending[request.id] = pending
        heapq.heappush(self._deadlines, (request.deadline_ns, request.id))
        if request.deadline_ns < self._timer_ns:
            self._timer_ns = request.deadline_ns
            self.actions.set_timer(request.deadline_ns, DEADLINE_TIMER)

    def pop_overdue(self, now: int) -> list[PendingRequest]:
        """Requests whose deadline has come, but for streams; asks for the next timer where the last is
        spent."""
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
        """The request is over; where the settings allow it, so are its attempts that are still in flight."""
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
