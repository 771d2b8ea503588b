"""The violations of one run, and its events that concern no single request."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

from .history import Event, RequestHistory, Violation
from .rules import Rule

MAX_HISTORY_LINES: Final = 40  # in a violation


class ViolationLog:
    """Records violations, each rule once per request."""

    def __init__(self, clock: Callable[[], tuple[int, int]], rules: tuple[str, ...]) -> None:
        """`rules`: those to record. `clock` returns the run's step and its time in nanoseconds."""
        self.clock = clock
        self.rules = rules
        self.violations: list[Violation] = []
        self._common_events: deque[Event] = deque(maxlen=MAX_HISTORY_LINES)

    def report(self, rule: Rule, text: str, history: RequestHistory | None) -> None:
        """Records a violation, by a request or, if `history` is None, by none in particular."""
        request = history.id.decode() if history else "-"
        if rule not in self.rules or self._is_reported(rule, request):
            return
        step, now_ns = self.clock()
        events = sorted([*(history.events if history else []), *self._common_events])[-MAX_HISTORY_LINES:]
        lines = [event.line() for event in events]
        self.violations.append(Violation(rule.value, step, now_ns, request, text, lines))

    def _is_reported(self, rule: Rule, request: str) -> bool:
        return any(violation.rule == rule and violation.request == request for violation in self.violations)

    def record_event(self, text: str) -> None:
        """Records an event that is part of the history of all requests."""
        self._common_events.append(self.event(text))

    def event(self, text: str) -> Event:
        """Returns an event at the current step and time."""
        step, now_ns = self.clock()
        return Event(step, now_ns, text)
