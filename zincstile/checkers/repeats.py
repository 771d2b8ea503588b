"""Rule on repeats: a request whose attempt may have run is sent again only as its class allows."""

from __future__ import annotations

from typing import Final

from .history import Attempt, Location, RequestHistory
from .rules import MS_NS, ClassRule, DeduplicationScope, Idempotency, RuleLimits

UNKNOWN_LOCATION: Final = Location(-1, -1)


class Repeats:
    """Checks attempts against earlier attempts of the request that may have run."""

    def __init__(self, limits: RuleLimits, locations: dict[str, Location]) -> None:
        """`locations`: of the backends by name; the caller may add to it later."""
        self.limits = limits
        self.locations = locations

    def violation(self, history: RequestHistory, attempt: Attempt) -> str:
        """Returns why a completely sent attempt was not allowed, or an empty string."""
        rule = self.limits.classes.get(history.request_class)
        earlier = [other for other in history.attempts if other is not attempt and other.may_have_run]
        if rule is None or rule.idempotency is Idempotency.ALWAYS or not earlier:
            return ""
        first = min(earlier, key=lambda other: other.complete_ns or 0)
        if rule.idempotency is Idempotency.NEVER:
            return f"sent to {attempt.backend}, but an earlier attempt at {first.backend} may have run"
        return self._violation_by_key(rule, first, attempt)

    def _violation_by_key(self, rule: ClassRule, first: Attempt, attempt: Attempt) -> str:
        if self._deduplication_group(rule.scope, first.backend) != self._deduplication_group(
            rule.scope, attempt.backend
        ):
            return f"key sent to {attempt.backend}, which does not share deduplication with {first.backend}"
        elapsed_ns = attempt.first_byte_ns - first.first_byte_ns
        if elapsed_ns > rule.window_ns:
            return f"key sent again {elapsed_ns / MS_NS:.0f} ms after the first attempt that may have run"
        return ""

    def _deduplication_group(self, scope: DeduplicationScope, backend: str) -> int:
        location = self.locations.get(backend, UNKNOWN_LOCATION)
        if scope is DeduplicationScope.ALL:
            return 0
        return location.zone if scope is DeduplicationScope.ZONE else location.cell
