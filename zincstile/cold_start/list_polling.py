"""Polling of the list service: backoff after a failed call, and timeout of a pending call.

No I/O and no clock. To abandon a call that the service is working on is worse than not to make it: the
service wastes its work on a caller that is gone, so that all other callers wait longer and time out too. So a
pending call is kept while there is any sign that the service is alive. A failed call is retried after a
random backoff from a span that grows with the size of the fleet and with each failure.

Bound on the calls of a fleet: each gateway has at most one pending call, and its mean backoff after a failure
is half of a span of at least `first_backoff_ns`, which the settings make proportional to the number of
gateways. So if the calls of `n` gateways fail, they make at most `n / (first_backoff / 2)` calls a second,
which is the same for every `n`, and fewer over time, down to `n / (max_backoff / 2)`.

This holds up to about 90 gateways. A change at discovery has to arrive within 6 s after discovery becomes
reachable, regardless of previous failures and of any Retry-After, so no wait is longer than `max_wait_ns`.
Larger fleets therefore make `n / (max_wait / 2)` calls a second right after a failure and
`n / (11 / 12 max_wait)` later, which is close to the lower bound of any design, `n / 6`.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Final

MAX_DOUBLINGS: Final = 16  # limits the bit shift; spans have an upper bound of their own
# Minimum of the longest wait after a silent call, so that the gateways of a fleet do not call in step.
MIN_LONGEST_WAIT_NS: Final = 1_000_000_000
# Maximum span before the first answer, as a multiple of the first span: without a list a gateway can't serve.
FIRST_LIST_SPANS: Final = 4
# The timeout of a pending call, as a multiple of the mean response time.
TIMEOUT_ANSWERS: Final = 4
# Maximum number of times that the timeout is doubled after calls that timed out.
MAX_TIMEOUT_DOUBLINGS: Final = 4


@dataclass(slots=True)
class ListPolling:
    """Backoff and timeouts of one gateway's calls to the list service."""

    rng: random.Random
    first_backoff_ns: int  # span of the backoff after the first failure
    max_backoff_ns: int  # maximum span
    min_timeout_ns: int  # minimum timeout of a silent call
    max_wait_ns: int  # upper bound of any wait
    failures: int = 0  # failed calls since the last answer
    timeouts: int = 0  # calls that timed out since the last answer
    mean_answer_ns: float = 0.0  # moving average of the response time; 0 before the first answer
    answered_before: bool = False  # whether the service has answered since the process started

    def record_failure(self, retry_after_ns: int = 0, silent_ns: int = 0) -> int:
        """Records a failed call and returns the wait before the next one.

        The wait is at least `retry_after_ns`, which the service requested, unless that exceeds the longest
        wait. `silent_ns`, the silence before the call was abandoned, is deducted from the longest wait.
        """
        max_span_ns = self.max_backoff_ns
        if not self.answered_before:
            max_span_ns = min(max_span_ns, FIRST_LIST_SPANS * self.first_backoff_ns)
        span_ns = min(max_span_ns, self.first_backoff_ns << min(self.failures, MAX_DOUBLINGS))
        max_wait_ns_left = max(MIN_LONGEST_WAIT_NS, self.max_wait_ns - silent_ns)
        latest_ns = min(span_ns, max_wait_ns_left)
        # If the end of a span is cut off, its beginning is delayed by as much, so that the rate of calls of a
        # fleet does not rise. Not after the first failure, which many gateways may have had at the same time.
        earliest_ns = min(span_ns - latest_ns, latest_ns * 5 // 6) if self.failures else 0
        self.failures += 1
        if retry_after_ns:
            earliest_ns = min(retry_after_ns, max_wait_ns_left * 5 // 6)
            latest_ns = min(earliest_ns + span_ns, max_wait_ns_left)
        return self.rng.randint(earliest_ns + 1, max(earliest_ns + 1, latest_ns))

    def record_answer(self, response_time_ns: int) -> None:
        """Records an answer: resets the backoff, and adapts the timeout to the response time."""
        self.failures = 0
        self.timeouts = 0
        self.answered_before = True
        self.mean_answer_ns += (response_time_ns - self.mean_answer_ns) / (2 if self.mean_answer_ns else 1)

    def reset_backoff(self) -> None:
        """Resets the backoff when the address of discovery has changed."""
        self.failures = 0

    def timeout_ns(self) -> int:
        """Returns the timeout of a pending call, which doubles with each call that timed out."""
        base_timeout_ns = max(self.min_timeout_ns, int(TIMEOUT_ANSWERS * self.mean_answer_ns))
        return base_timeout_ns << min(self.timeouts, MAX_TIMEOUT_DOUBLINGS)

    def keeps_waiting(self, pending_ns: int) -> bool:
        """Returns whether to keep a silent call while the service accepts connections.

        Otherwise the call counts as timed out.
        """
        if pending_ns < self.timeout_ns():
            return True
        self.timeouts += 1
        return False
