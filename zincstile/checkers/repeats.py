"""Rule on repeats: an attempt that may have run is sent again only as its request class allows."""

from __future__ import annotations

from typing import Final

from .history import Attempt, Location, RequestHistory
from .rules import MS_NS, ClassRule, DeduplicationScope, Idempotency, RuleLimits

UNKNOWN_LOCATION: Final = Location(-1, -1)


class Repeats:
    """Judges attempts by what may have run before them."""

    def __init__(self, limits: RuleLimits, locations: dict[str, Location]) -> None:
        """Judge by the classes of the limits; `locations` of backends may grow."""
        self.limits = limits
        self.locations = locations

    def violation(self, history: RequestHistory, attempt: Attempt) -> str:
        """Why a complete attempt was not allowed; empty where it was."""
        rule = self.limits.classes.get(history.request_class)
        earlier = [one for one in history.attempts if one is not attempt and one.may_have_run]
        if rule is None or rule.idempotency is Idempotency.ALWAYS or not earlier:
            return ""
        first = min(earlier, key=lambda one: one.complete_ns or 0)
        if rule.idempotency is Idempotency.NEVER:
            return f"sent to {attempt.backend} while it may have run at {first.backend}"
        return self._violation_by_key(rule, first, attempt)

    def _violation_by_key(self, rule: ClassRule, first: Attempt, attempt: Attempt) -> str:
        if self._group(rule.scope, first.backend) != self._group(rule.scope, attempt.backend):
            return f"its key went to {attempt.backend}, out of the group of {first.backend}"
        apart_ns = attempt.first_byte_ns - first.first_byte_ns
        if apart_ns > rule.window_ns:
            return f"its key went out {apart_ns / MS_NS:.0f} ms after the first attempt that may have run"
        return ""

    def _group(self, scope: DeduplicationScope, backend: str) -> int:
        location = self.locations.get(backend, UNKNOWN_LOCATION)
        if scope is DeduplicationScope.ALL:
            return 0
        return location.zone if scope is DeduplicationScope.ZONE else location.cell
