"""The violations of one run, and the events that concern all of its requests."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

from .history import Event, RequestHistory, Violation
from .rules import Rule

HISTORY_LINES: Final = 40  # that a violation shows


class ViolationLog:
    """Records a violation once for each rule and request."""

    def __init__(self, clock: Callable[[], tuple[int, int]], rules: tuple[str, ...]) -> None:
        """Record violations of these rules. `clock` gives the run's step and its time in nanoseconds."""
        self.clock = clock
        self.rules = rules
        self.violations: list[Violation] = []
        self._common_events: deque[Event] = deque(maxlen=HISTORY_LINES)

    def report(self, rule: Rule, text: str, history: RequestHistory | None) -> None:
        """Record that a rule is broken, by that request or by none."""
        request = history.id.decode() if history else "-"
        if rule not in self.rules or self._is_known(rule, request):
            return
        step, now_ns = self.clock()
        events = sorted([*(history.events if history else []), *self._common_events])[-HISTORY_LINES:]
        lines = [event.line() for event in events]
        self.violations.append(Violation(rule.value, step, now_ns, request, text, lines))

    def _is_known(self, rule: Rule, request: str) -> bool:
        return any(v.rule == rule and v.request == request for v in self.violations)

    def record_event(self, text: str) -> None:
        """Record what concerns all requests."""
        self._common_events.append(self.event(text))

    def event(self, text: str) -> Event:
        """An event at the present step and time."""
        step, now_ns = self.clock()
        return Event(step, now_ns, text)
