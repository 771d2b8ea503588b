"""The tick: estimates decay, silent attempts are found, concurrency limit and budget are taken anew.

It comes every tenth of a second, half as often where little is going on; once a second there is a heartbeat.
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

IDLE_TICKS: Final = 2  # period of the tick, in periods, with few attempts in flight
ARRIVALS_MEMORY_S: Final = 1.0  # time constant of the arrivals
EARNINGS_KEEP: Final = 0.99  # of the memory of payoffs, a tick
SILENT_RATIO: Final = 5.0  # multiple of the expected latency from which an attempt counts as failed


class Ticker:
    """Drives what goes by time."""

    def __init__(self, parts: DecisionParts) -> None:
        """Takes the parts that it works with."""
        self.parts = parts
        self.ticked_ns = 0
        # features: called with the factor by which scores decayed
        self.decayed: list[Callable[[float], None]] = []
        self.limited: list[Callable[[int], None]] = []  # features: called when the limit was taken anew
        self.ticked: list[Callable[[int], None]] = []  # features: called at the end of each tick
        self._heartbeat_ns = 0

    def start(self, now: int) -> None:
        """The gateway starts; the first tick is asked for."""
        self._set_ticked(now)
        self._heartbeat_ns = now
        self.parts.actions.set_timer(now + TICK_NS, TICK_TIMER)

    def timer_fired(self, now: int) -> None:
        """One tick, and the timer of the next."""
        self.tick(now)
        parts = self.parts
        busy = max(parts.limit.samples, len(parts.attempts.in_flight)) >= RELIABLE_SAMPLES
        parts.actions.set_timer(now + TICK_NS * (1 if busy else IDLE_TICKS), TICK_TIMER)

    def tick(self, now: int) -> None:
        """Everything that goes by time, in its order."""
        span_s = max(1, now - self.ticked_ns) / SECOND_NS
        self._set_ticked(now)
        ticks = span_s * SECOND_NS / TICK_NS
        self._decay(span_s, ticks)
        self._find_silent_attempts(now)
        self.parts.slow_start.peak_endpoint_rate *= math.exp(-span_s / CONNECTION_DECAY_S)
        self._update_limit(now, span_s, ticks)
        if now - self._heartbeat_ns > HEARTBEAT_NS:
            self._heartbeat_ns = now
            self._forget_idle_customers(now)
            self.parts.gossip.flush(now, heartbeat=True)
        for listener in self.ticked:
            listener(now)

    def _set_ticked(self, now: int) -> None:
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
        for listener in self.decayed:
            listener(keep_scores)

    def _find_silent_attempts(self, now: int) -> None:
        """Hung endpoints show before the outcomes of their attempts."""
        parts = self.parts
        silent = [
            (request_id, attempt)
            for (request_id, _), attempt in parts.attempts.in_flight.items()
            if not attempt.late and now - attempt.sent_ns > SILENT_RATIO * attempt.expected_ns
        ]
        for request_id, attempt in silent:
            attempt.late = True
            parts.detector.record_sample(now, attempt, attempt.class_index, 1.0, TIMING_WEIGHT)
            parts.limit.record_latency(now - attempt.sent_ns, attempt, timed_out=True)
            pending = parts.requests.pending.get(request_id)
            if pending is not None:
                parts.retries.hedge(now, pending, attempt)

    def _update_limit(self, now: int, span_s: float, ticks: float) -> None:
        """The budget follows the back end: a limit of units in flight, and the rate that leads to it."""
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
        for listener in self.limited:
            listener(now)

    def _forget_idle_customers(self, now: int) -> None:
        idle = self.parts.ledger.idle_customers(now)
        self.parts.ledger.forget(idle)
        self.parts.admission.quotas.customers_forgotten(idle)
