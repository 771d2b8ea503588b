"""Discovery as one list service for the whole fleet, which gateways poll.

It serves calls one at a time, including those of callers that have disconnected. A snapshot takes a fixed
time; changes take a fraction of it. Its faults: it slows down after a number of calls, stalls after half of a
list, sends an older version after a newer one, and resets every n-th call. It rejects calls with 503 and
Retry-After when its queue is full.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Final

from .discovery import DiscoveryConnection

SLOWDOWN: Final = 2  # divides the rate after `slows_after_calls`


@dataclass(slots=True)
class ListServiceBehaviour:
    """Current behaviour of the service. Fault settings count calls or snapshots; 0 turns a fault off."""

    snapshots_per_s: float = 100.0
    queue_capacity: int = 100_000  # waiting callers; further ones are rejected
    slows_after_calls: int = 0  # it is half as fast after this many calls
    resets_every: int = 0  # every n-th call is reset
    truncates_every: int = 0  # every n-th snapshot is cut off in the middle, and the connection stalls
    stale_every: int = 0  # every n-th snapshot has an older index than its entries
    silent: bool = False  # queues calls and answers none
    retry_after_s: int = 1


@dataclass(slots=True)
class ListServiceCounts:
    """Counts of the calls to the service, by outcome."""

    calls: int = 0
    snapshots: int = 0
    changes: int = 0
    served_after_disconnect: int = 0  # calls served after their caller had disconnected
    rejected: int = 0
    reset: int = 0
    bytes: int = 0


@dataclass(slots=True)
class ListService:
    """The service: its queue, and records of the calls. `call_times_s` are on the loop's clock."""

    loop: asyncio.AbstractEventLoop
    behaviour: ListServiceBehaviour
    call_times_s: list[float] = field(default_factory=list)
    counts: ListServiceCounts = field(default_factory=ListServiceCounts)
    calls_by_gateway: dict[str, int] = field(default_factory=dict)
    _queue: deque[DiscoveryConnection] = field(default_factory=deque)
    _busy: bool = False

    def receive_call(self, connection: DiscoveryConnection) -> None:
        """Queues, resets or rejects the request of a connection."""
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
            self._start_next()

    def reset_records(self) -> None:
        """Clears the records and counts."""
        self.call_times_s.clear()
        self.calls_by_gateway.clear()
        self.counts = ListServiceCounts()

    def _start_next(self) -> None:
        if self._busy or not self._queue or self.behaviour.silent:
            return
        self._busy = True
        rate_per_s = self.behaviour.snapshots_per_s
        if 0 < self.behaviour.slows_after_calls < self.counts.calls:
            rate_per_s /= SLOWDOWN
        self.loop.call_later(self._queue[0].cost() / rate_per_s, self._serve)

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
            self.counts.bytes += connection.send_updates()
        self._start_next()

    def _send_snapshot(self, connection: DiscoveryConnection) -> int:
        number, behaviour = self.counts.snapshots, self.behaviour
        if behaviour.truncates_every and number % behaviour.truncates_every == 0:
            return connection.send_truncated_snapshot()
        if behaviour.stale_every and number % behaviour.stale_every == 0:
            return connection.send_stale_snapshot()
        return connection.send_updates()

    def resume(self) -> None:
        """Resumes serving the queue after the service was silent."""
        self._start_next()

    def max_calls_within(self, span_s: float) -> int:
        """Returns the maximum number of calls in any span of `span_s` seconds."""
        times = sorted(self.call_times_s)
        max_calls = first_index = 0
        for last_index, time_s in enumerate(times):
            while time_s - times[first_index] >= span_s:
                first_index += 1
            max_calls = max(max_calls, last_index - first_index + 1)
        return max_calls
