"""Deliberate faults of the decisions: retries, hedged requests, slow start, ceilings, late outcomes.

Each function injects one fault into the code and returns a function that removes it. `mutants.MUTANTS` lists
the rules that have to detect it.
"""

from __future__ import annotations

from ..decisions.capacity import Capacity
from ..decisions.load_balancing import LoadBalancer
from ..decisions.outcomes import Outcomes
from ..decisions.quotas import QuotaLedger
from ..decisions.retries import Retries
from ..decisions.settings import Idempotency
from ..decisions.slow_start import SlowStart
from .mutation import Undo, replace_attribute


def keyed_retry_in_any_group() -> Undo:
    """A request whose idempotency key may have run is sent to any group of endpoints."""
    return replace_attribute(
        LoadBalancer, "may_use", lambda self, pending, endpoint: endpoint not in pending.attempted_endpoints
    )


def everything_retried() -> Undo:
    """A request that may not run twice is retried like any other."""
    old = Retries.__dict__["retry_or_end"]

    def retry_or_end(self, now, pending, cost):
        pending.may_have_run_at = None
        old(self, now, pending, cost)

    return replace_attribute(Retries, "retry_or_end", retry_or_end)


def deduplication_window_forgotten() -> Undo:
    """A keyed request is retried however long ago its first attempt was, and at any endpoint."""
    old = Retries.__dict__["retry"]

    def retry(self, now, pending, cost):
        if pending.request_class.idempotency is Idempotency.BY_KEY:
            pending.may_have_run_at = None
        return old(self, now, pending, cost)

    return replace_attribute(Retries, "retry", retry)


def everything_hedged() -> Undo:
    """A hedged request is sent whatever the request class allows."""

    def hedge(self, now, pending, first):
        if pending.in_flight <= 1:
            self.retry(now, pending, 1)

    return replace_attribute(Retries, "hedge", hedge)


def cold_endpoints_unlimited() -> Undo:
    """Endpoints that are warming up get all the load, whatever their capacity."""

    def compute_shares(self, warmths, healthy, most):
        return [(k + 1) / len(warmths) for k in range(len(warmths))]

    return replace_attribute(SlowStart, "compute_shares", compute_shares)


def cold_taken_for_warm() -> Undo:
    """The start time of an endpoint is ignored: a cold one is taken for a warm one."""
    return replace_attribute(Capacity, "warmth", lambda self, now, endpoint: 1.0)


def ceiling_not_divided() -> Undo:
    """Each gateway takes the whole of every ceiling for itself."""
    return replace_attribute(QuotaLedger, "ceiling_part", lambda self, now, customer, plan: 1.0)


def late_outcome_fails() -> Undo:
    """The outcome of an attempt whose request has ended raises an error."""
    old = Outcomes.__dict__["on_attempt_outcome"]

    def on_attempt_outcome(self, now, outcome):
        _ = self.requests.pending[outcome.request]
        old(self, now, outcome)

    return replace_attribute(Outcomes, "on_attempt_outcome", on_attempt_outcome)
