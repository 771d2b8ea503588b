"""The checkers of the rules: each is given events that just keep its rule, and events that violate it."""

from __future__ import annotations

import pytest

from zincstile.checkers.checker import Checker
from zincstile.checkers.rules import ClassRule, DeduplicationScope, Idempotency, PlanRule, RuleLimits
from zincstile.emulators.observer import ClientRequest

MS_NS, SECOND_NS = 1_000_000, 1_000_000_000


class CheckerHarness:
    """A checker with a manual clock, two gateways and three backends."""

    def __init__(self):
        self.now_ns, self.step = 0, 0
        self.limits = RuleLimits(
            classes={
                "read": ClassRule(Idempotency.ALWAYS),
                "order": ClassRule(Idempotency.BY_KEY, DeduplicationScope.CELL, 6 * SECOND_NS),
                "pin": ClassRule(Idempotency.NEVER),
            },
            plans={"plus": PlanRule(10.0, 20.0, 2.0), "basic": PlanRule()},
            answer_grace_ns=58 * MS_NS,
        )
        self.checker = Checker(self.limits, lambda: (self.step, self.now_ns))
        for name, zone, cell in (("b1", 0, 1), ("b2", 0, 1), ("b3", 0, 2)):
            self.checker.add_backend(name, zone, cell)
        for gateway in ("g0", "g1"):
            self.checker.gateway_started(gateway)

    def advance_to(self, ms):
        self.now_ns, self.step = int(ms * MS_NS), self.step + 1
        self.checker.check_due(self.now_ns)
        return self.checker

    def send_request(
        self,
        request_id=b"1",
        request_class="read",
        plan="basic",
        units=1.0,
        timeout_ms=1000,
        connection=1,
        gateway="g0",
    ):
        key = b"k" if request_class == "order" else b""
        self.checker.request_sent(
            ClientRequest(request_id, request_class, plan, b"c", units, key, timeout_ms, gateway, connection)
        )

    def send_attempt(self, backend, request_id=b"1", gateway="g0"):
        attempt = self.checker.attempt_started(gateway, backend, request_id, self.now_ns)
        self.checker.attempt_completed(request_id, attempt)

    def receive_attempt(self, backend, request_id=b"1", gateway="g0", work_ns=0):
        self.checker.attempt_received(
            backend, request_id, self.checker.histories[request_id].key, gateway, work_ns
        )

    @property
    def broken_rules(self):
        return [violation.rule for violation in self.checker.violations]


@pytest.fixture
def harness():
    return CheckerHarness()


def test_first_answer_in_time_is_allowed_and_a_second_answer_is_a_violation(harness):
    harness.send_request()
    harness.advance_to(1057).request_answered(b"1", "failed", b"")
    assert harness.broken_rules == []
    harness.advance_to(1058).request_answered(b"1", "failed", b"")
    assert harness.broken_rules == ["answer"]


def test_missing_answer_is_a_violation_with_request_and_history(harness):
    harness.send_request()
    harness.advance_to(1059)
    violation = harness.checker.violations[0]
    assert (violation.rule, violation.request, violation.step) == ("answer", "1", 1)
    assert "sent to g0" in str(violation.history) and "no answer before the deadline" in violation.text


def test_request_behind_others_on_a_connection_gets_their_deadline(harness):
    harness.send_request(b"1", timeout_ms=1000)
    harness.send_request(b"2", timeout_ms=10)
    harness.advance_to(900).request_answered(b"1", "failed", b"")
    harness.advance_to(900).request_answered(b"2", "failed", b"")
    assert harness.broken_rules == []


def test_pause_of_the_gateway_extends_the_deadline(harness):
    harness.send_request(timeout_ms=100)
    harness.advance_to(90).gateway_paused("g0", 50 * MS_NS)
    harness.advance_to(200).request_answered(b"1", "failed", b"")
    assert harness.broken_rules == []


def test_dropped_request_is_a_violation_only_if_the_gateway_runs(harness):
    harness.send_request(b"1", gateway="g0")
    harness.send_request(b"2", gateway="g1", connection=2)
    harness.checker.gateway_ended("g0")
    harness.checker.request_dropped(b"1")
    assert harness.broken_rules == []
    harness.checker.request_dropped(b"2")
    assert harness.broken_rules == ["answer"]


def test_request_unread_at_close_needs_no_answer_and_may_be_sent_again(harness):
    harness.send_request(b"1")
    harness.advance_to(1).request_unread(b"1")
    harness.send_request(b"1", connection=2)
    harness.send_attempt("b1")
    harness.advance_to(2).request_answered(b"1", "failed", b"")
    harness.send_request(b"2")
    harness.advance_to(3).request_unread(b"2")
    harness.advance_to(2000)
    assert harness.broken_rules == []


def test_forwarded_request_counts_as_read_before_or_after_the_close(harness):
    harness.send_request(b"1")
    harness.send_attempt("b1", b"1")
    harness.advance_to(1).request_unread(b"1")
    assert harness.broken_rules == ["answer"]
    harness.send_request(b"2")
    harness.advance_to(2).request_unread(b"2")
    harness.send_attempt("b1", b"2")
    assert harness.broken_rules == ["answer"] * 2
    harness.send_request(b"3")
    harness.send_attempt("b1", b"3")
    harness.checker.gateway_ended("g0")
    harness.advance_to(3).request_unread(b"3")
    assert harness.broken_rules == ["answer"] * 2


def test_served_value_must_be_produced_for_the_same_request(harness):
    harness.send_request(b"1")
    harness.send_request(b"2", connection=2)
    harness.checker.value_produced("b1", b"1", b"v1")
    harness.checker.request_answered(b"1", "served", b"v1")
    assert harness.broken_rules == []
    harness.checker.request_answered(b"2", "served", b"v1")
    assert harness.broken_rules == ["value"]


@pytest.mark.parametrize(
    ("request_class", "first", "second", "later_ms", "expected"),
    [
        ("read", "b1", "b3", 1, []),
        ("order", "b1", "b2", 1, []),
        ("order", "b1", "b3", 1, ["repeat"]),
        ("order", "b1", "b2", 6001, ["repeat"]),
        ("pin", "b1", "b2", 1, ["repeat"]),
    ],
)
def test_attempt_that_may_have_run_is_repeated_only_as_its_class_allows(
    harness, request_class, first, second, later_ms, expected
):
    harness.send_request(request_class=request_class, timeout_ms=9000)
    harness.send_attempt(first)
    harness.advance_to(later_ms)
    harness.send_attempt(second)
    assert harness.broken_rules == expected


def test_rejected_or_incomplete_attempt_may_be_repeated_at_any_backend(harness):
    harness.send_request(request_class="pin")
    harness.send_attempt("b1")
    harness.receive_attempt("b1")
    harness.checker.attempt_rejected("b1", b"1")
    harness.send_attempt("b3")
    assert harness.broken_rules == []
    harness.checker.attempt_started("g0", "b2", b"1", 0)  # begun but never completely sent
    harness.send_attempt("b2")
    assert harness.broken_rules == ["repeat"]  # because of the complete attempt at b3


def test_more_attempts_than_the_limit_are_a_violation(harness):
    harness.send_request()
    for _ in range(6):
        harness.send_attempt("b1")
    assert harness.broken_rules == []
    harness.send_attempt("b1")
    assert harness.broken_rules == ["repeat"]


@pytest.mark.parametrize(
    ("notified", "at_ms", "expected"),
    [(True, 250, []), (True, 251, ["drain"]), (False, 6250, []), (False, 6251, ["drain"])],
)
def test_new_attempt_at_a_draining_backend_after_the_grace_period_is_a_violation(
    harness, notified, at_ms, expected
):
    harness.send_request(timeout_ms=20_000)
    harness.checker.endpoint_changed("b1", "Terminating", 0)
    if notified:
        harness.checker.gateway_notified("g0", "b1", "Terminating", 0)
    harness.advance_to(at_ms)
    harness.send_attempt("b1")
    assert harness.broken_rules == expected


def test_restarted_gateway_does_not_count_as_notified(harness):
    harness.send_request(timeout_ms=20_000)
    harness.checker.gateway_notified("g0", "b1", "Terminating", 0)
    harness.checker.gateway_started("g0")
    harness.advance_to(1000)
    harness.send_attempt("b1")
    assert harness.broken_rules == []


def test_all_gateways_together_may_send_a_cold_backend_twice_its_capacity(harness):
    cold_starts = harness.checker.cold_starts
    cold_starts.backend_started("b1", 7, lambda: 0.25, lambda: False)
    for number in range(4):
        harness.send_request(b"%d" % number, connection=number)
    for gateway in ("g0", "g1"):
        harness.checker.gateway_notified(gateway, "b1", "Ready", 7)
    harness.receive_attempt("b1", b"0", "g0", 700 * MS_NS)  # the limit is 2 x 0.25 x 3 s = 1500 ms
    harness.receive_attempt("b1", b"1", "g1", 800 * MS_NS)
    assert harness.broken_rules == [] and cold_starts.peak_ratio == pytest.approx(1.0)
    harness.receive_attempt("b1", b"2", "g1", 1 * MS_NS)
    assert harness.broken_rules == ["cold"]


def test_overload_by_a_gateway_not_notified_of_a_start_is_allowed(harness):
    harness.checker.cold_starts.backend_started("b1", 7, lambda: 0.25, lambda: False)
    harness.send_request()
    harness.receive_attempt("b1", work_ns=5 * SECOND_NS)
    assert harness.broken_rules == []


def test_calls_at_a_cold_backend_are_counted_in_calls_of_mean_work_from_all_gateways(harness):
    """Allowed in 3 s are 12 calls of 125 ms, with the allowance below 30 calls 12 + 3 x sqrt(12) + 3 = 25.4;
    of 48 calls, 48 + 2 x sqrt(48) + 2 = 63.9. An overload does not count if gateways that were not notified
    of the start sent a third of the work or more."""
    cold_starts = harness.checker.cold_starts
    cold_starts.backend_started("b1", 7, lambda: 0.25, lambda: False)
    harness.checker.gateway_notified("g0", "b1", "Ready", 7)
    for _ in range(10):
        cold_starts.call_received(0, "b1", "g1", 125 * MS_NS)
    assert cold_starts.calls.peak_ratio == 0
    for _ in range(21):
        cold_starts.call_received(0, "b1", "g0", 125 * MS_NS)
    assert cold_starts.calls.peak_ratio == pytest.approx(31 / (12 + 3 * 12**0.5 + 3))
    cold_starts.call_received(3 * SECOND_NS, "b1", "g0", 125 * MS_NS)
    assert cold_starts.calls.peak_ratio == pytest.approx(31 / (12 + 3 * 12**0.5 + 3))
    cold_starts.backend_started("b2", 8, lambda: 1.0, lambda: False)
    harness.checker.gateway_notified("g0", "b2", "Ready", 8)
    for _ in range(96):
        cold_starts.call_received(10 * SECOND_NS, "b2", "g0", 125 * MS_NS)
    assert cold_starts.calls.peak_ratio == pytest.approx(96 / (48 + 2 * 48**0.5 + 2))


def test_work_older_than_the_window_does_not_count(harness):
    harness.checker.cold_starts.backend_started("b1", 7, lambda: 0.25, lambda: False)
    harness.checker.gateway_notified("g0", "b1", "Ready", 7)
    harness.send_request(b"1", timeout_ms=9000)
    harness.send_request(b"2", timeout_ms=9000, connection=2)
    harness.receive_attempt("b1", b"1", work_ns=1400 * MS_NS)
    harness.advance_to(3000)
    harness.receive_attempt("b1", b"2", work_ns=1400 * MS_NS)
    assert harness.broken_rules == []


def test_ceiling_covers_all_gateways_and_refills(harness):
    for number in range(9):
        harness.send_request(
            b"%d" % number,
            plan="plus",
            units=5.0,
            connection=number,
            timeout_ms=60_000,
            gateway=f"g{number % 2}",
        )
    for number in range(4):
        harness.receive_attempt("b1", b"%d" % number)
    assert harness.broken_rules == []  # the burst is used up; the slack is 2, plus 1.5 on sockets
    harness.advance_to(200)
    harness.receive_attempt("b1", b"4")
    assert harness.broken_rules == []
    harness.receive_attempt("b2", b"4")  # a further attempt is not charged
    assert harness.broken_rules == []
    harness.receive_attempt("b1", b"5")
    assert harness.broken_rules == ["ceiling"]


def test_request_without_a_client_and_unreleased_resources_are_violations(harness):
    unknown_attempt = harness.checker.attempt_started("g0", "b1", b"77", 0)
    assert unknown_attempt is None and harness.broken_rules == ["foreign"]
    harness.checker.check_resources_released("g0", {"sessions": 0, "attempts": 0})
    assert harness.broken_rules == ["foreign"]
    harness.checker.check_resources_released("g0", {"sessions": 2, "attempts": 0})
    assert harness.checker.violations[-1].text == "g0 still holds at the end: 2 sessions"
    harness.checker.check_descriptors("g1", 65, 64)
    assert len(harness.broken_rules) == 2  # one violation per rule and request; here, of no request


def test_more_calls_at_a_cold_backend_than_the_standing_test_allows_are_a_violation(harness):
    """The limit is 12 calls, 25.4 with the allowance for random variation: the 26th call exceeds it."""
    harness.checker.cold_starts.backend_started("b1", 7, lambda: 0.25, lambda: False)
    harness.checker.gateway_notified("g0", "b1", "Ready", 7)
    for number in range(25):
        harness.send_request(b"%d" % number, timeout_ms=9000, connection=number)
        harness.receive_attempt("b1", b"%d" % number, work_ns=125 * MS_NS)
    assert "cold_calls" not in harness.broken_rules
    harness.send_request(b"25", timeout_ms=9000, connection=25)
    harness.receive_attempt("b1", b"25", work_ns=125 * MS_NS)
    assert "cold_calls" in harness.broken_rules
