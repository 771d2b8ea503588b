"""When a gateway asks the list service, and how long it waits for an answer. No I/O, no clock.

A call that is given up while the service works for it is worse than one that is never made: the service
goes on working for a caller that has left, everyone else waits the longer, and gives up too. So a call
that is out is left out as long as there is any sign that the service lives, and a call that failed is
made again at a moment drawn from a span that grows with the fleet and with every failure.

The most calls of a whole fleet: each gateway has one call out at a time, and after a failure waits on
the average for half of a span of at least `again` (which the settings make proportional to the number
of gateways). So `n` gateways that all fail make at most `n / (again / 2)` calls a second, the same for
every `n`, and the fewer the longer it lasts, down to `n / (again_most / 2)`.

That holds up to some 90 gateways. What discovery has counts as told 6 s after it could be reached, whatever
calls failed before, and whatever it said on when to come again: no wait is longer than `longest`, so that
larger fleets make `n / (longest / 2)` calls a second right after a failure and `n / (11 / 12 longest)` later,
not much more than the `n / 6` that nobody can go below.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

GROWTH = 16  # doublings of a span, at most
LEAST_NS = 1_000_000_000  # a longest wait is no shorter, however long nothing was heard
UNTOLD = 4  # spans after a first failure that the span of one without a list grows to


@dataclass(slots=True)
class Asking:
    """One gateway's. Times in nanoseconds; `again_ns` is the span after a first failure, `again_most_ns` the
    longest; `patience_ns`: how long a silent call is left out at most, at first; `longest_ns`: no wait is
    longer."""

    rng: random.Random
    again_ns: int
    again_most_ns: int
    patience_ns: int
    longest_ns: int
    tries: int = 0  # failures since the last answer
    silences: int = 0  # calls since then that were left out for the whole of their patience
    took_ns: float = 0.0  # an answer, lately
    told: bool = False  # it has had an answer since its start: until then it serves nobody, and waits less

    def failed(self, retry_after_ns: int = 0, unheard_ns: int = 0) -> int:
        """A call came to nothing: wait so long. Not before the service said, unless that is past the longest
        wait. `unheard_ns`: how long nothing was heard before it was given up, which counts as waited for."""
        most = self.again_most_ns if self.told else min(self.again_most_ns, UNTOLD * self.again_ns)
        span = min(most, self.again_ns << min(self.tries, GROWTH))
        longest = max(LEAST_NS, self.longest_ns - unheard_ns)
        latest = min(span, longest)
        # What is cut off a span's end is made up for at its begin, so that a fleet calls no more often. Not
        # after the first failure, which many may have had at one stroke.
        earliest = min(span - latest, latest * 5 // 6) if self.tries else 0
        self.tries += 1
        if retry_after_ns:
            earliest = min(retry_after_ns, longest * 5 // 6)
            latest = min(earliest + span, longest)
        return self.rng.randint(earliest + 1, max(earliest + 1, latest))

    def answered(self, took_ns: int) -> None:
        """The service has spoken: spans begin anew, and patience follows what it needed."""
        self.tries, self.silences, self.told = 0, 0, True
        self.took_ns += (took_ns - self.took_ns) / (2 if self.took_ns else 1)

    def patience(self) -> int:
        """How long a call that is out is left out: what the fleet's calls may need, or four times what the
        last answers took; twice as long after each that was given up."""
        least = max(self.patience_ns, int(4 * self.took_ns))
        return least << min(self.silences, 4)

    def silent(self, out_ns: int) -> bool:
        """A call has been out so long without a word, and the service still takes connections. True: wait
        on."""
        if out_ns < self.patience():
            return True
        self.silences += 1
        return False
