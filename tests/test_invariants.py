"""The gateway's own checks of what it sends, repeats, closes and starts, its trace, and the rules from
outside that go with them: each fed with what breaks it and with what only just does not."""

from __future__ import annotations

import json
from pathlib import Path
from types import SimpleNamespace

import pytest
from scenario import ROOT
from test_checker import MS, SECOND, Bench

from zincstile.decisions.messages import AttemptResult, EndpointEntry, EndpointState, RejectionReason
from zincstile.decisions.settings import DeduplicationScope, Idempotency, RequestClass
from zincstile.net.counters import Counters
from zincstile.net.invariants import DEADLINE_SLACK_NS, InvariantGuard
from zincstile.net.log import Log
from zincstile.net.reasons import CloseReason, GatewayRejection, RetryReason
from zincstile.net.session import Call, Session
from zincstile.net.trace import DESCRIBED_ENTRIES, RING_ENTRIES, Step, Trace
from zincstile.testbed.counter_names import by_stored_name

GIVE_UP = 10 * SECOND


def server(number: int = 1, zone: int = 0, cell: int = 0, ready: bool = True):
    listed = EndpointEntry(number, zone, 0, cell, EndpointState.READY, 1.0, 0)
    return SimpleNamespace(address=("10.0.0.1", number), ready=ready, entry=listed)


def session(
    effect: Idempotency = Idempotency.ALWAYS, group: DeduplicationScope = DeduplicationScope.CELL
) -> Session:
    spec = RequestClass(
        "x", SECOND, GIVE_UP, effect, 1.0, deduplication_scope=group, deduplication_window_ns=6 * SECOND
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


def test_what_is_sent_in_order_is_no_violation(guard):
    owner = session()
    assert guard.may_send(0, attempt(owner, server()))
    assert guard.may_send(0, attempt(None, server(ready=False)))  # a probe
    assert guard.may_close(0, 0, "c1") and guard.may_end(0, 0)
    assert guard.may_be_ready(0, 0, list_received=True) and guard.may_be_ready(0, 1, list_received=False)
    assert counted(guard) == {}


def test_sends_for_nobody_to_nobody_or_for_too_long_are_named(guard, capsys):
    over = session()
    over.ended = True
    assert not guard.may_send(0, attempt(over, server()))
    assert not guard.may_send(0, attempt(session(), server(ready=False)))
    longest = GIVE_UP + DEADLINE_SLACK_NS
    assert guard.may_send(0, attempt(session(), server(), until_ns=longest))
    assert not guard.may_send(0, attempt(session(), server(), until_ns=longest + 1))
    assert counted(guard) == {"send": 3}
    assert "violated send id: its request has ended" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("effect", "where", "now", "may"),
    [
        (Idempotency.ALWAYS, server(2, cell=1), 7 * SECOND, True),
        (Idempotency.NEVER, server(2), 0, False),
        (Idempotency.BY_KEY, server(2), 6 * SECOND, True),
        (Idempotency.BY_KEY, server(2), 6 * SECOND + 1, False),
        (Idempotency.BY_KEY, server(2, cell=1), 0, False),
    ],
)
def test_repeats_of_what_may_have_run_are_by_its_class(guard, effect, where, now, may):
    owner = session(effect)
    owner.sent_attempts.append(attempt(owner, server(1), may_have_run=False))  # turned away: no matter
    assert guard.may_send(now, attempt(owner, where))
    owner.sent_attempts.append(attempt(owner, server(1), may_have_run=True))
    assert guard.may_send(now, attempt(owner, where)) is may
    assert counted(guard) == ({} if may else {"repeat": 1})


@pytest.mark.parametrize(("group", "may"), [(DeduplicationScope.ALL, True), (DeduplicationScope.ZONE, False)])
def test_a_group_may_be_all_servers_or_a_zone(guard, group, may):
    owner = session(Idempotency.BY_KEY, group)
    owner.sent_attempts.append(attempt(owner, server(1, zone=0), may_have_run=True))
    assert guard.may_send(0, attempt(owner, server(2, zone=1))) is may


def test_closing_ending_and_being_ready_are_checked(guard):
    heard = []
    guard.observer = lambda which, text: heard.append((which.value, text))
    assert not guard.may_close(0, 2, "c1")
    assert not guard.may_end(0, 1)
    assert not guard.may_be_ready(0, 0, list_received=False)
    assert counted(guard) == {"close": 2, "start": 1}
    assert heard[0] == ("close", "c1: 2 requests without an answer")


def test_a_violation_tells_what_its_request_went_through(guard, capsys):
    guard._trace.record(0, Step.RECEIVED, b"id")
    guard._trace.record(2 * MS, Step.SENT, b"other", ("10.0.0.1", 1))
    guard._trace.record(3 * MS, Step.OUTCOME, b"id", AttemptResult.RESET)
    owner = session()
    owner.ended = True
    guard.may_send(5 * MS, attempt(owner, server()))
    told = capsys.readouterr().err
    assert "trace -5.000ms received id" in told and "trace -2.000ms outcome id reset" in told
    assert "other" not in told


def test_the_trace_is_bounded_and_tells_the_last():
    trace = Trace()
    for n in range(RING_ENTRIES + 5):
        trace.record(n, Step.RECEIVED, n)
    assert len(trace) == RING_ENTRIES
    told = trace.describe(RING_ENTRIES + 5)
    assert len(told) == DESCRIBED_ENTRIES and told[-1].endswith(f"received {RING_ENTRIES + 4}")


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


def test_results_of_the_testbed_hold_all_counters_by_the_names_of_those_stored_before():
    result = json.loads((Path(ROOT) / "tests/data/stored/field-result.json").read_text(encoding="utf-8"))
    stored = by_stored_name(json.loads(Counters().line().removeprefix("counters ")))
    assert result["rows"]
    for row in result["rows"]:
        assert stored.keys() == row["counters"].keys()


# ---- from outside


@pytest.fixture
def bench():
    return Bench()


def test_nothing_begins_0_1_s_after_the_client_left(bench):
    bench.ask(wait=3000)
    bench.at(500).client_disconnected(b"1")
    bench.at(600)
    bench.send("b1")
    assert bench.broken == []
    bench.at(601)
    bench.send("b2")
    assert bench.broken == ["left"]


def test_a_backend_is_given_no_later_deadline_than_its_client(bench):
    bench.ask(wait=1000)
    bench.at(300)
    one = bench.checker.attempt_started("g0", "b1", b"1", bench.now)
    bench.checker.attempt_complete(b"1", one, 850)
    assert bench.broken == []
    one = bench.checker.attempt_started("g0", "b2", b"1", bench.now)
    bench.checker.attempt_complete(b"1", one, 851)
    assert bench.broken == ["deadline"]


def test_what_a_paused_gateway_reads_late_is_timed_by_its_own_clock(bench):
    bench.checker.gateway_paused("g0", 400 * MS)
    bench.ask(wait=1000)
    bench.at(450)
    one = bench.checker.attempt_started("g0", "b1", b"1", bench.now)
    bench.checker.attempt_complete(b"1", one, 990)
    assert bench.broken == []


def test_maintenance_holds_from_the_yes_until_the_call_back_over_a_restart(bench):
    maintenance = bench.checker.maintenance
    maintenance.confirmed(bench.now, "g0", "b1")
    bench.ask(wait=9000)
    bench.at(250)
    bench.send("b1")
    assert bench.broken == []
    bench.checker.gateway_ended("g0")
    bench.checker.gateway_started("g0")
    bench.at(251)
    bench.send("b1")
    assert bench.broken == ["maintenance"]
    maintenance.ended("g0", "b1")
    bench.ask(b"2", line=2, wait=9000)
    bench.send("b1", b"2")
    assert bench.broken == ["maintenance"]


def test_what_a_gateway_counts_itself_is_a_breach(bench):
    bench.checker.report_invariant("g0", "close c1: 2 requests without an answer")
    assert bench.broken == ["invariant"]


def test_what_waited_for_a_process_may_be_answered_late_or_never_and_only_that(bench):
    bench.ask(wait=100)
    bench.ask(b"2", wait=100, line=2, gateway="g1")
    bench.checker.excuse_gateway("g0")
    bench.at(100).request_answered(b"2", "failed", b"")
    bench.at(500).request_answered(b"1", "failed", b"")
    bench.ask(b"3", wait=100, line=3)
    bench.at(700)
    assert bench.broken == ["answer"]
