"""Discovery as one service for the whole fleet, which has to be asked: it works off calls one after
another, as fast as it is, also for callers that have left meanwhile.

A whole list costs its time; changes cost their part of it, and empty lines nothing. What goes wrong: it
slows down after so many calls, answers half of a list and stalls, tells an older version after a newer
one, resets every so many calls, turns callers away with 503 and Retry-After where its line is long.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from .discovery import Line


@dataclass(slots=True)
class Manners:
    """How the service is at present."""

    per_s: float = 100.0  # whole lists
    places: int = 100_000  # callers that wait; more are turned away
    slower_after: int = 0  # after so many calls it is half as fast; 0: never
    resets_every: int = 0  # each so-manieth call is reset; 0: none
    halves_every: int = 0  # each so-manieth answer is half of one, and nothing more
    older_every: int = 0  # each so-manieth answer is an older version's, told after a newer one
    silent: bool = False  # takes calls, and answers none
    retry_after_s: int = 1


@dataclass(slots=True)
class ListService:
    """`counts` of calls, and when each came, for the most in any tenth of a second."""

    loop: asyncio.AbstractEventLoop
    manners: Manners
    calls_s: list[float] = field(default_factory=list)
    counts: dict[str, int] = field(
        default_factory=lambda: {
            "calls": 0,
            "whole": 0,
            "changes": 0,
            "for the left": 0,
            "turned away": 0,
            "reset": 0,
            "bytes": 0,
        }
    )
    by: dict[str, int] = field(default_factory=dict)  # calls of each gateway
    queue: deque[Line] = field(default_factory=deque)
    _busy: bool = False

    def ask(self, line: Line) -> None:
        """A call is whole."""
        counts, manners = self.counts, self.manners
        counts["calls"] += 1
        self.calls_s.append(self.loop.time())
        self.by[line.agent.gateway] = self.by.get(line.agent.gateway, 0) + 1
        if manners.resets_every and counts["calls"] % manners.resets_every == 0:
            counts["reset"] += 1
            line.transport.abort()
        elif len(self.queue) >= manners.places:
            counts["turned away"] += 1
            line.transport.write(
                b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: %d\r\n"
                b"Content-Length: 0\r\n\r\n" % manners.retry_after_s
            )
            line.transport.close()
        else:
            line.queued = True
            self.queue.append(line)
            self._next()

    def _next(self) -> None:
        if self._busy or not self.queue or self.manners.silent:
            return
        self._busy = True
        manners, line = self.manners, self.queue[0]
        rate = manners.per_s
        if manners.slower_after and self.counts["calls"] > manners.slower_after:
            rate /= 2
        self.loop.call_later(line.cost() / rate, self._serve)

    def _serve(self) -> None:
        self._busy = False
        line = self.queue.popleft()
        line.queued = False
        whole = line.cost() >= 1
        if line.transport is None or line.transport.is_closing():
            self.counts["for the left"] += 1
        else:
            self.counts["whole" if whole else "changes"] += 1
            told = self.counts["whole"]
            manners = self.manners
            if whole and manners.halves_every and told % manners.halves_every == 0:
                self.counts["bytes"] += line.half()
            elif whole and manners.older_every and told % manners.older_every == 0:
                self.counts["bytes"] += line.older()
            else:
                self.counts["bytes"] += line.tell()
        self._next()

    def wake(self) -> None:
        """It was silent, and is no more."""
        self._next()

    def most_in(self, span_s: float) -> int:
        """Calls in any span of so long, at most."""
        times, most, first = sorted(self.calls_s), 0, 0
        for last, at in enumerate(times):
            while at - times[first] >= span_s:
                first += 1
            most = max(most, last - first + 1)
        return most
