from __future__ import annotations

import hypothesis
import pytest

from zincstile.decisions.messages import (
    AttemptOutcome,
    AttemptResult,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Request,
    Started,
    TimerFired,
)
from zincstile.decisions.policy import Policy
from zincstile.decisions.settings import CustomerPlan, DeduplicationScope, Idempotency, RequestClass, Settings

# Hypothesis' default deadline of 0.2 s per example is wall-clock time. On a busy machine it would fail tests
# that make no claim about their duration.
hypothesis.settings.register_profile("no deadline", deadline=None)
hypothesis.settings.load_profile("no deadline")

MS = 1_000_000
SECOND = 1000 * MS


def settings(**overrides):
    """A small service: one plan, and an idempotent, a non-idempotent and a keyed class."""
    base = {
        "gateway_index": 0,
        "gateway_count": 1,
        "gossips": True,
        "cancels_attempts": True,
        "hedges": True,
        "retry_after": True,
        "max_attempts": 3,
        "max_retry_after_ns": 400 * MS,
        "gossip_in_per_s": 50.0,
        "max_request_units": 4.0,
        "classes": [
            RequestClass("look", SECOND, 4 * SECOND, Idempotency.ALWAYS, 1.0),
            RequestClass("book", SECOND, 4 * SECOND, Idempotency.NEVER, 3.0),
            RequestClass(
                "put",
                SECOND,
                4 * SECOND,
                Idempotency.BY_KEY,
                2.0,
                deduplication_scope=DeduplicationScope.ZONE,
                deduplication_window_ns=500 * MS,
            ),
        ],
        "plans": [CustomerPlan("only", rate=1000.0, burst=2000.0)],
    }
    return Settings(**(base | overrides))


def backend(number, zone=0, state=EndpointState.READY, started_ns=0, cell=0):
    return EndpointEntry(number, zone, 0, cell, state, 1.0, started_ns)


class PolicyHarness:
    """A policy with a clock of its own, to which a test passes events one by one."""

    def __init__(self, overrides=None, backends=2, seed=1, now=10 * SECOND, start=True):
        self.policy = Policy(settings(**(overrides or {})), seed)
        self.now, self.last_request_id = now, 0
        self.start_actions = self.feed(Started()) if start else []
        if backends:
            self.update_endpoints([backend(n) for n in range(1, backends + 1)])

    def feed(self, event, after=0):
        self.now += after
        return self.policy.handle(self.now, event)

    def update_endpoints(self, entries, kind=EndpointListKind.FULL, after=0):
        return self.feed(EndpointList(kind, 1, entries), after)

    def submit(
        self, class_index=0, plan=0, customer=7, units=1.0, spread=1, first=0, timeout_ns=4 * SECOND, after=0
    ):
        self.now += after
        self.last_request_id += 1
        event = Request(
            self.last_request_id, class_index, plan, customer, self.now + timeout_ns, units, spread, first
        )
        return self.last_request_id, self.policy.handle(self.now, event)

    def finish_attempt(
        self, request_id, attempt, endpoint_id, result, after=10 * MS, finished=None, latency=None, units=0.0
    ):
        request_finished = result is AttemptResult.OK if finished is None else finished
        event = AttemptOutcome(
            request_id,
            attempt,
            endpoint_id,
            result,
            after if latency is None else latency,
            request_finished,
            actual_units=units,
        )
        return self.feed(event, after)

    def tick(self, after=100 * MS):
        return self.feed(TimerFired(2), after)


def actions_of_type(actions, action_type):
    return [action for action in actions if isinstance(action, action_type)]


@pytest.fixture
def policy_harness():
    return PolicyHarness
