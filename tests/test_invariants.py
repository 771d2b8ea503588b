"""The gateway's invariant checks, its trace, and the corresponding rules of the external checker; each is
tested with an input that violates it and one that just does not."""

from __future__ import annotations

import json
from pathlib import Path
from types import SimpleNamespace

import pytest
from scenario import ROOT
from stored_gateway import COUNTERS_SINCE_STORED
from test_checker import MS_NS, SECOND_NS, CheckerHarness

from zincstile.decisions.messages import AttemptResult, EndpointEntry, EndpointState, RejectionReason
from zincstile.decisions.settings import DeduplicationScope, Idempotency, RequestClass
from zincstile.net.counters import Counters
from zincstile.net.invariants import DEADLINE_SLACK_NS, InvariantGuard
from zincstile.net.log import Log
from zincstile.net.reasons import CloseReason, GatewayRejection, RetryReason
from zincstile.net.session import Call, Session
from zincstile.net.trace import DESCRIBED_ENTRIES, RING_ENTRIES, Step, Trace
from zincstile.testbed.counter_names import by_stored_name

GIVE_UP = 10 * SECOND_NS


def server(number: int = 1, zone: int = 0, cell: int = 0, ready: bool = True):
    listed = EndpointEntry(number, zone, 0, cell, EndpointState.READY, 1.0, 0)
    return SimpleNamespace(address=("10.0.0.1", number), ready=ready, entry=listed)


def session(
    effect: Idempotency = Idempotency.ALWAYS, group: DeduplicationScope = DeduplicationScope.CELL
) -> Session:
    spec = RequestClass(
        "x", SECOND_NS, GIVE_UP, effect, 1.0, deduplication_scope=group, deduplication_window_ns=6 * SECOND_NS
    )
    return Session(1, Call(True, b"c", b"id", [], 0, None), None, GIVE_UP, spec)


def attempt(owner, where, sent_ns: int = 0, may_have_run: bool = False, until_ns: int = GIVE_UP):
    return SimpleNamespace(
        session=owner, backend=where, sent_ns=sent_ns, may_have_run=may_have_run, until_ns=until_ns
    )


@pytest.fixture
def guard():
    return InvariantGuard(Counters(), Log("n0"), Trace())


def counted(guard) -> dict[str, int]:
    names = [n for n in Counters.__slots__ if n.startswith("violated_")]
    return {n.removeprefix("violated_"): v for n in names if (v := getattr(guard._counters, n))}


def test_allowed_sends_closes_and_readiness_are_no_violations(guard):
    owner = session()
    assert guard.may_send(0, attempt(owner, server()))
    assert guard.may_send(0, attempt(None, server(ready=False)))  # a health check
    assert guard.may_close(0, 0, "c1") and guard.may_end(0, 0)
    assert guard.may_be_ready(0, 0, list_received=True) and guard.may_be_ready(0, 1, list_received=False)
    assert counted(guard) == {}


def test_sends_for_an_ended_request_to_an_unready_server_or_past_the_deadline_are_violations(guard, capsys):
    ended = session()
    ended.ended = True
    assert not guard.may_send(0, attempt(ended, server()))
    assert not guard.may_send(0, attempt(session(), server(ready=False)))
    longest = GIVE_UP + DEADLINE_SLACK_NS
    assert guard.may_send(0, attempt(session(), server(), until_ns=longest))
    assert not guard.may_send(0, attempt(session(), server(), until_ns=longest + 1))
    assert counted(guard) == {"send": 3}
    assert "violated send id: its request has ended" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("idempotency", "backend", "now", "allowed"),
    [
        (Idempotency.ALWAYS, server(2, cell=1), 7 * SECOND_NS, True),
        (Idempotency.NEVER, server(2), 0, False),
        (Idempotency.BY_KEY, server(2), 6 * SECOND_NS, True),
        (Idempotency.BY_KEY, server(2), 6 * SECOND_NS + 1, False),
        (Idempotency.BY_KEY, server(2, cell=1), 0, False),
    ],
)
def test_a_request_that_may_have_run_is_repeated_only_as_its_class_allows(
    guard, idempotency, backend, now, allowed
):
    owner = session(idempotency)
    owner.sent_attempts.append(attempt(owner, server(1), may_have_run=False))  # rejected: does not count
    assert guard.may_send(now, attempt(owner, backend))
    owner.sent_attempts.append(attempt(owner, server(1), may_have_run=True))
    assert guard.may_send(now, attempt(owner, backend)) is allowed
    assert counted(guard) == ({} if allowed else {"repeat": 1})


@pytest.mark.parametrize(
    ("scope", "allowed"), [(DeduplicationScope.ALL, True), (DeduplicationScope.ZONE, False)]
)
def test_the_deduplication_scope_may_be_all_servers_or_a_zone(guard, scope, allowed):
    owner = session(Idempotency.BY_KEY, scope)
    owner.sent_attempts.append(attempt(owner, server(1, zone=0), may_have_run=True))
    assert guard.may_send(0, attempt(owner, server(2, zone=1))) is allowed


def test_closing_with_open_requests_and_readiness_without_a_list_are_violations(guard):
    reported = []
    guard.observer = lambda invariant, text: reported.append((invariant.value, text))
    assert not guard.may_close(0, 2, "c1")
    assert not guard.may_end(0, 1)
    assert not guard.may_be_ready(0, 0, list_received=False)
    assert counted(guard) == {"close": 2, "start": 1}
    assert reported[0] == ("close", "c1: 2 requests without an answer")


def test_a_violation_logs_the_trace_of_its_request(guard, capsys):
    guard._trace.record(0, Step.RECEIVED, b"id")
    guard._trace.record(2 * MS_NS, Step.SENT, b"other", ("10.0.0.1", 1))
    guard._trace.record(3 * MS_NS, Step.OUTCOME, b"id", AttemptResult.RESET)
    owner = session()
    owner.ended = True
    guard.may_send(5 * MS_NS, attempt(owner, server()))
    logged = capsys.readouterr().err
    assert "trace -5.000ms received id" in logged and "trace -2.000ms outcome id reset" in logged
    assert "other" not in logged


def test_the_trace_is_bounded_and_describes_the_latest_entries():
    trace = Trace()
    for n in range(RING_ENTRIES + 5):
        trace.record(n, Step.RECEIVED, n)
    assert len(trace) == RING_ENTRIES
    described = trace.describe(RING_ENTRIES + 5)
    assert len(described) == DESCRIBED_ENTRIES and described[-1].endswith(f"received {RING_ENTRIES + 4}")


def test_every_reason_has_a_counter():
    counters = Counters()
    for reason in CloseReason:
        counters.count_close(reason)
    for reason in GatewayRejection:
        counters.count_rejection(reason)
    for reason in RetryReason:
        counters.count_retry(reason)
    named = [n for n in Counters.__slots__ if n.startswith(("close_", "reject_", "retry_"))]
    assert len(named) == len(CloseReason) + len(GatewayRejection) + len(RetryReason)
    assert all(getattr(counters, n) == 1 for n in named)
    assert {why.name for why in RejectionReason} <= {r.name for r in GatewayRejection}


def test_stored_results_of_the_testbed_have_all_counters_under_their_stored_names():
    result = json.loads((Path(ROOT) / "tests/data/stored/field-result.json").read_text(encoding="utf-8"))
    stored = by_stored_name(json.loads(Counters().line().removeprefix("counters ")))
    assert result["rows"]
    for row in result["rows"]:
        assert stored.keys() == row["counters"].keys() | COUNTERS_SINCE_STORED


# ---- the external checker


@pytest.fixture
def bench():
    return CheckerHarness()


def test_an_attempt_later_than_0_1_s_after_the_client_disconnected_is_a_breach(bench):
    bench.send_request(timeout_ms=3000)
    bench.advance_to(500).client_disconnected(b"1")
    bench.advance_to(600)
    bench.send_attempt("b1")
    assert bench.broken_rules == []
    bench.advance_to(601)
    bench.send_attempt("b2")
    assert bench.broken_rules == ["left"]


def test_an_attempt_with_a_later_deadline_than_its_client_is_a_breach(bench):
    bench.send_request(timeout_ms=1000)
    bench.advance_to(300)
    one = bench.checker.attempt_started("g0", "b1", b"1", bench.now_ns)
    bench.checker.attempt_completed(b"1", one, 850)
    assert bench.broken_rules == []
    one = bench.checker.attempt_started("g0", "b2", b"1", bench.now_ns)
    bench.checker.attempt_completed(b"1", one, 851)
    assert bench.broken_rules == ["deadline"]


def test_the_deadline_of_a_request_that_a_paused_gateway_read_late_counts_from_the_read(bench):
    bench.checker.gateway_paused("g0", 400 * MS_NS)
    bench.send_request(timeout_ms=1000)
    bench.advance_to(450)
    one = bench.checker.attempt_started("g0", "b1", b"1", bench.now_ns)
    bench.checker.attempt_completed(b"1", one, 990)
    assert bench.broken_rules == []


def test_maintenance_applies_from_its_confirmation_until_its_end_even_after_a_restart(bench):
    maintenance = bench.checker.maintenance
    maintenance.confirmed(bench.now_ns, "g0", "b1")
    bench.send_request(timeout_ms=9000)
    bench.advance_to(250)
    bench.send_attempt("b1")
    assert bench.broken_rules == []
    bench.checker.gateway_ended("g0")
    bench.checker.gateway_started("g0")
    bench.advance_to(251)
    bench.send_attempt("b1")
    assert bench.broken_rules == ["maintenance"]
    maintenance.ended("g0", "b1")
    bench.send_request(b"2", connection=2, timeout_ms=9000)
    bench.send_attempt("b1", b"2")
    assert bench.broken_rules == ["maintenance"]


def test_a_violation_that_a_gateway_reports_is_a_breach(bench):
    bench.checker.report_invariant("g0", "close c1: 2 requests without an answer")
    assert bench.broken_rules == ["invariant"]


def test_only_requests_of_an_excused_gateway_may_be_answered_late_or_never(bench):
    bench.send_request(timeout_ms=100)
    bench.send_request(b"2", timeout_ms=100, connection=2, gateway="g1")
    bench.checker.waive_answer_deadlines("g0")
    bench.advance_to(100).request_answered(b"2", "failed", b"")
    bench.advance_to(500).request_answered(b"1", "failed", b"")
    bench.send_request(b"3", timeout_ms=100, connection=3)
    bench.advance_to(700)
    assert bench.broken_rules == ["answer"]
