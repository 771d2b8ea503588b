"""Discovery as one list service for the whole fleet, which gateways poll.

It serves calls one after another, also for callers that have left meanwhile. A snapshot costs its time;
changes cost their part of it. What goes wrong: it slows down after so many calls, sends half of a list and
stalls, sends an older version after a newer one, resets every so many calls, and rejects callers with 503 and
Retry-After where its queue is full.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from .discovery import DiscoveryConnection

SLOWDOWN: Final = 2  # by which the rate falls after `slows_after_calls`


@dataclass(slots=True)
class ListServiceBehaviour:
    """How the service behaves at present. Numbers of calls or answers; 0: never."""

    snapshots_per_s: float = 100.0
    queue_capacity: int = 100_000  # callers that wait; more are rejected
    slows_after_calls: int = 0  # from then on it is half as fast
    resets_every: int = 0  # each so-manieth call is reset
    truncates_every: int = 0  # each so-manieth snapshot is half of one, and nothing more
    stale_every: int = 0  # each so-manieth snapshot has an older index than one before it
    silent: bool = False  # takes calls, and answers none
    retry_after_s: int = 1


@dataclass(slots=True)
class ListServiceCounts:
    """What became of the calls to the service."""

    calls: int = 0
    snapshots: int = 0
    changes: int = 0
    served_after_disconnect: int = 0  # work for callers that had left
    rejected: int = 0
    reset: int = 0
    bytes: int = 0


@dataclass(slots=True)
class ListService:
    """The service: its queue, and records of the calls, with the loop's time at which each came."""

    loop: asyncio.AbstractEventLoop
    behaviour: ListServiceBehaviour
    call_times_s: list[float] = field(default_factory=list)
    counts: ListServiceCounts = field(default_factory=ListServiceCounts)
    calls_by_gateway: dict[str, int] = field(default_factory=dict)
    _queue: deque[DiscoveryConnection] = field(default_factory=deque)
    _busy: bool = False

    def receive_call(self, connection: DiscoveryConnection) -> None:
        """Queue the request of a connection, reset or reject it."""
        counts, behaviour = self.counts, self.behaviour
        gateway = connection.agent.gateway
        counts.calls += 1
        self.call_times_s.append(self.loop.time())
        self.calls_by_gateway[gateway] = self.calls_by_gateway.get(gateway, 0) + 1
        if behaviour.resets_every and counts.calls % behaviour.resets_every == 0:
            counts.reset += 1
            connection.transport.abort()
        elif len(self._queue) >= behaviour.queue_capacity:
            counts.rejected += 1
            connection.transport.write(
                b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\n"
                b"Content-Length: 0\r\n\r\n" % behaviour.retry_after_s
            )
            connection.transport.close()
        else:
            connection.queued = True
            self._queue.append(connection)
            self._begin_next()

    def reset_records(self) -> None:
        """Begin to count anew."""
        self.call_times_s.clear()
        self.calls_by_gateway.clear()
        self.counts = ListServiceCounts()

    def _begin_next(self) -> None:
        if self._busy or not self._queue or self.behaviour.silent:
            return
        self._busy = True
        per_s = self.behaviour.snapshots_per_s
        if 0 < self.behaviour.slows_after_calls < self.counts.calls:
            per_s /= SLOWDOWN
        self.loop.call_later(self._queue[0].cost() / per_s, self._serve)

    def _serve(self) -> None:
        self._busy = False
        connection = self._queue.popleft()
        connection.queued = False
        is_snapshot = connection.cost() >= 1
        if connection.transport is None or connection.transport.is_closing():
            self.counts.served_after_disconnect += 1
        elif is_snapshot:
            self.counts.snapshots += 1
            self.counts.bytes += self._send_snapshot(connection)
        else:
            self.counts.changes += 1
            self.counts.bytes += connection.send_news()
        self._begin_next()

    def _send_snapshot(self, connection: DiscoveryConnection) -> int:
        number, behaviour = self.counts.snapshots, self.behaviour
        if behaviour.truncates_every and number % behaviour.truncates_every == 0:
            return connection.send_half()
        if behaviour.stale_every and number % behaviour.stale_every == 0:
            return connection.send_stale()
        return connection.send_news()

    def resume(self) -> None:
        """Go on with the queue after the service was silent."""
        self._begin_next()

    def max_calls_within(self, span_s: float) -> int:
        """The most calls in any span of so many seconds."""
        times = sorted(self.call_times_s)
        most = first = 0
        for last, time_s in enumerate(times):
            while time_s - times[first] >= span_s:
                first += 1
            most = max(most, last - first + 1)
        return most
