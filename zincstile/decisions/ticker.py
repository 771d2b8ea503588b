"""The periodic tick: decays estimates, finds silent attempts, updates the concurrency limit and the budget.

Its period is a tenth of a second, and twice that under little load. Once a second it sends a heartbeat.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

from .concurrency_limit import RELIABLE_SAMPLES, SAMPLE_MEMORY_S, TICK_NS
from .gossip import HEARTBEAT_NS
from .outlier_detection import CONNECTION_DECAY_S, SCORE_DECAY_S, TIMING_WEIGHT
from .parts import DecisionParts
from .timers import TICK_TIMER
from .units import SECOND_NS

IDLE_TICKS: Final = 2  # multiple of the usual period under little load
ARRIVALS_MEMORY_S: Final = 1.0  # time constant of the arrival rates
EARNINGS_KEEP: Final = 0.99  # factor by which sent units and earned value decay per tick
SILENT_RATIO: Final = 5.0  # an attempt unanswered for this multiple of its expected latency counts as failed


class Ticker:
    """Runs the periodic tasks."""

    def __init__(self, parts: DecisionParts) -> None:
        """Stores the parts that it uses."""
        self.parts = parts
        self.ticked_ns = 0
        # Listeners are registered by features.
        self.decay_listeners: list[Callable[[float], None]] = []  # called with the decay factor of the scores
        self.limit_listeners: list[Callable[[int], None]] = []  # called after each update of the limit
        self.tick_listeners: list[Callable[[int], None]] = []  # called at the end of each tick
        self._heartbeat_ns = 0

    def start(self, now: int) -> None:
        """Sets the timer of the first tick, when the gateway starts."""
        self._record_tick_time(now)
        self._heartbeat_ns = now
        self.parts.actions.set_timer(now + TICK_NS, TICK_TIMER)

    def timer_fired(self, now: int) -> None:
        """Runs one tick and sets the timer of the next."""
        self.tick(now)
        parts = self.parts
        busy = max(parts.limit.samples, len(parts.attempts.in_flight)) >= RELIABLE_SAMPLES
        parts.actions.set_timer(now + TICK_NS * (1 if busy else IDLE_TICKS), TICK_TIMER)

    def tick(self, now: int) -> None:
        """Runs all periodic tasks, in order."""
        span_s = max(1, now - self.ticked_ns) / SECOND_NS
        self._record_tick_time(now)
        ticks = span_s * SECOND_NS / TICK_NS
        self._decay(span_s, ticks)
        self._find_silent_attempts(now)
        self.parts.slow_start.peak_endpoint_rate *= math.exp(-span_s / CONNECTION_DECAY_S)
        self._update_limit(now, span_s, ticks)
        if now - self._heartbeat_ns > HEARTBEAT_NS:
            self._heartbeat_ns = now
            self._forget_idle_customers(now)
            self.parts.gossip.flush(now, heartbeat=True)
        for listener in self.tick_listeners:
            listener(now)

    def _record_tick_time(self, now: int) -> None:
        self.ticked_ns = now
        self.parts.gossip.last_tick_ns = now

    def _decay(self, span_s: float, ticks: float) -> None:
        parts = self.parts
        keep = math.exp(-span_s / ARRIVALS_MEMORY_S)
        parts.budget.decay(span_s, keep, EARNINGS_KEEP**ticks)
        parts.limit.decay(span_s, keep, math.exp(-span_s / SAMPLE_MEMORY_S))
        parts.capacity.decay(span_s)
        keep_scores = math.exp(-span_s / SCORE_DECAY_S)
        parts.detector.decay(keep_scores)
        for listener in self.decay_listeners:
            listener(keep_scores)

    def _find_silent_attempts(self, now: int) -> None:
        """Counts attempts that have been unanswered for long as failed, without waiting for their outcomes.

        This shows hung endpoints earlier. The requests may be hedged.
        """
        parts = self.parts
        silent_attempts = [
            (request_id, attempt)
            for (request_id, _), attempt in parts.attempts.in_flight.items()
            if not attempt.silence_recorded and now - attempt.sent_ns > SILENT_RATIO * attempt.expected_ns
        ]
        for request_id, attempt in silent_attempts:
            attempt.silence_recorded = True
            parts.detector.record_sample(now, attempt, attempt.class_index, 1.0, TIMING_WEIGHT)
            parts.limit.record_latency(now - attempt.sent_ns, attempt, timed_out=True)
            pending = parts.requests.pending.get(request_id)
            if pending is not None:
                parts.retries.hedge(now, pending, attempt)

    def _update_limit(self, now: int, span_s: float, ticks: float) -> None:
        """Adapts the limit of units in flight to the endpoints, and the budget, a rate, to that limit."""
        parts = self.parts
        capacity = parts.capacity
        capacity.classify(now)
        parts.limit.update(
            now,
            span_s,
            ticks,
            parts.attempts.units(),
            capacity.healthy_endpoints,
            capacity.sharing_gateways,
        )
        if parts.limit.limit < math.inf:
            parts.budget.assign_rates(parts.limit.budget_per_s(capacity.healthy_endpoints))
        for listener in self.limit_listeners:
            listener(now)

    def _forget_idle_customers(self, now: int) -> None:
        idle = self.parts.ledger.idle_customers(now)
        self.parts.ledger.forget(idle)
        self.parts.admission.quotas.customers_forgotten(idle)
