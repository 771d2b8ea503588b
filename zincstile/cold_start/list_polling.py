"""Polling of the list service: backoff after a failed call, and the timeout of a pending one.

No I/O and no clock. A call that is given up while the service works on it is worse than one that is never
made: the service goes on working for a caller that has left, every other caller waits longer and gives up in
turn. So a pending call is kept as long as there is any sign that the service is alive, and a failed call is
repeated at a random moment of a span that grows with the fleet and with every failure.

Bound on the calls of a whole fleet: each gateway has one call pending at a time, and after a failure waits on
average for half of a span of at least `first_backoff_ns`, which the settings make proportional to the number
of gateways. So `n` gateways that all fail make at most `n / (first_backoff / 2)` calls a second, the same for
every `n`, and fewer the longer it lasts, down to `n / (max_backoff / 2)`.

That holds up to some 90 gateways. A change at discovery has to arrive within 6 s after discovery can be
reached, whatever calls failed before and whatever Retry-After it sent: no wait is longer than `max_wait_ns`.
Larger fleets therefore make `n / (max_wait / 2)` calls a second right after a failure and
`n / (11 / 12 max_wait)` later, not much more than the `n / 6` that no design can go below.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

MAX_DOUBLINGS: Final = 16  # of a span; the spans are bounded besides, this bounds the shift
MIN_LONGEST_WAIT_NS: Final = 1_000_000_000  # after any silence, so that a fleet does not call at once
FIRST_LIST_SPANS: Final = 4  # longest span without a list, in first ones: such a gateway serves nobody
TIMEOUT_ANSWERS: Final = 4  # a pending call is kept for so many times what an answer took lately
MAX_TIMEOUT_DOUBLINGS: Final = 4  # of the timeout, by calls that ran into it


@dataclass(slots=True)
class ListPolling:
    """When one gateway polls the list service. All durations are in nanoseconds."""

    rng: random.Random
    first_backoff_ns: int  # span of the wait after a first failure
    max_backoff_ns: int  # longest span
    min_timeout_ns: int  # a silent call is kept for this long at least
    max_wait_ns: int  # no wait is longer
    failures: int = 0  # since the last answer
    timeouts: int = 0  # since the last answer, of calls that were silent for the whole timeout
    mean_answer_ns: float = 0.0  # from a call to its answer, lately; 0: there was none
    answered_before: bool = False  # the service has answered since the process started

    def record_failure(self, retry_after_ns: int = 0, silent_ns: int = 0) -> int:
        """Notes a failed call and returns the wait before the next one.

        The wait is not shorter than `retry_after_ns`, what the service asked for, unless that is longer than
        the longest wait. `silent_ns`, the silence before the call was given up, counts as waited for.
        """
        max_span_ns = self.max_backoff_ns
        if not self.answered_before:
            max_span_ns = min(max_span_ns, FIRST_LIST_SPANS * self.first_backoff_ns)
        span_ns = min(max_span_ns, self.first_backoff_ns << min(self.failures, MAX_DOUBLINGS))
        longest_ns = max(MIN_LONGEST_WAIT_NS, self.max_wait_ns - silent_ns)
        latest_ns = min(span_ns, longest_ns)
        # What is cut off the end of a span is made up for at its begin, so that a fleet calls no more often.
        # Not after the first failure, which many gateways may have had at the same moment.
        earliest_ns = min(span_ns - latest_ns, latest_ns * 5 // 6) if self.failures else 0
        self.failures += 1
        if retry_after_ns:
            earliest_ns = min(retry_after_ns, longest_ns * 5 // 6)
            latest_ns = min(earliest_ns + span_ns, longest_ns)
        return self.rng.randint(earliest_ns + 1, max(earliest_ns + 1, latest_ns))

    def record_answer(self, took_ns: int) -> None:
        """Notes an answer: spans begin anew, and the timeout follows what the answer took."""
        self.failures = 0
        self.timeouts = 0
        self.answered_before = True
        self.mean_answer_ns += (took_ns - self.mean_answer_ns) / (2 if self.mean_answer_ns else 1)

    def reset_backoff(self) -> None:
        """Forgets the failures, as discovery is at another address now."""
        self.failures = 0

    def timeout_ns(self) -> int:
        """Returns how long a pending call is kept; twice as long after each that ran into the timeout."""
        base_timeout_ns = max(self.min_timeout_ns, int(TIMEOUT_ANSWERS * self.mean_answer_ns))
        return base_timeout_ns << min(self.timeouts, MAX_TIMEOUT_DOUBLINGS)

    def keeps_waiting(self, pending_ns: int) -> bool:
        """Returns whether to keep a silent call, while the service accepts connections.

        A call that is not kept counts as a timeout.
        """
        if pending_ns < self.timeout_ns():
            return True
        self.timeouts += 1
        return False
