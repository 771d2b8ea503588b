"""The checkers of the rules, each fed by hand with what breaks it and with what only just does not."""

from __future__ import annotations

import pytest

from zincstile.checkers.checker import Checker
from zincstile.checkers.rules import ClassRule, DeduplicationScope, Idempotency, PlanRule, RuleLimits
from zincstile.emulators.observer import ClientRequest

MS, SECOND = 1_000_000, 1_000_000_000


class Bench:
    """A checker and its clock."""

    def __init__(self):
        self.now, self.step = 0, 0
        self.limits = RuleLimits(
            classes={
                "read": ClassRule(Idempotency.ALWAYS),
                "order": ClassRule(Idempotency.BY_KEY, DeduplicationScope.CELL, 6 * SECOND),
                "pin": ClassRule(Idempotency.NEVER),
            },
            plans={"plus": PlanRule(10.0, 20.0, 2.0), "basic": PlanRule()},
            answer_grace_ns=58 * MS,
        )
        self.checker = Checker(self.limits, lambda: (self.step, self.now))
        for name, zone, cell in (("b1", 0, 1), ("b2", 0, 1), ("b3", 0, 2)):
            self.checker.add_backend(name, zone, cell)
        for gateway in ("g0", "g1"):
            self.checker.gateway_started(gateway)

    def at(self, ms):
        self.now, self.step = int(ms * MS), self.step + 1
        self.checker.check_due(self.now)
        return self.checker

    def ask(self, number=b"1", cls="read", plan="basic", units=1.0, wait=1000, line=1, gateway="g0"):
        key = b"k" if cls == "order" else b""
        self.checker.request_sent(ClientRequest(number, cls, plan, b"c", units, key, wait, gateway, line))

    def send(self, backend, number=b"1", gateway="g0"):
        attempt = self.checker.attempt_started(gateway, backend, number, self.now)
        self.checker.attempt_completed(number, attempt)

    def arrive(self, backend, number=b"1", gateway="g0", work=0):
        self.checker.attempt_received(backend, number, self.checker.histories[number].key, gateway, work)

    @property
    def broken(self):
        return [violation.rule for violation in self.checker.violations]


@pytest.fixture
def bench():
    return Bench()


def test_an_answer_in_time_is_right_and_one_too_many_is_not(bench):
    bench.ask()
    bench.at(1057).request_answered(b"1", "failed", b"")
    assert bench.broken == []
    bench.at(1058).request_answered(b"1", "failed", b"")
    assert bench.broken == ["answer"]


def test_no_answer_in_time_names_the_request_and_its_history(bench):
    bench.ask()
    bench.at(1059)
    violation = bench.checker.violations[0]
    assert (violation.rule, violation.request, violation.step) == ("answer", "1", 1)
    assert "asked of g0" in str(violation.history) and "no answer in its time" in violation.text


def test_what_waits_behind_others_has_their_time_too(bench):
    bench.ask(b"1", wait=1000)
    bench.ask(b"2", wait=10)
    bench.at(900).request_answered(b"1", "failed", b"")
    bench.at(900).request_answered(b"2", "failed", b"")
    assert bench.broken == []


def test_a_pause_of_the_gateway_is_not_its_fault(bench):
    bench.ask(wait=100)
    bench.at(90).gateway_paused("g0", 50 * MS)
    bench.at(200).request_answered(b"1", "failed", b"")
    assert bench.broken == []


def test_a_dead_gateway_owes_nothing_and_a_living_one_that_drops_does(bench):
    bench.ask(b"1", gateway="g0")
    bench.ask(b"2", gateway="g1", line=2)
    bench.checker.gateway_ended("g0")
    bench.checker.request_dropped(b"1")
    assert bench.broken == []
    bench.checker.request_dropped(b"2")
    assert bench.broken == ["answer"]


def test_what_was_unread_at_the_end_of_its_connection_is_owed_nothing_and_may_be_sent_anew(bench):
    bench.ask(b"1")
    bench.at(1).request_unread(b"1")
    bench.ask(b"1", line=2)
    bench.send("b1")
    bench.at(2).request_answered(b"1", "failed", b"")
    bench.ask(b"2")
    bench.at(3).request_unread(b"2")
    bench.at(2000)
    assert bench.broken == []


def test_what_was_forwarded_was_read_whenever_its_connection_ended(bench):
    bench.ask(b"1")
    bench.send("b1", b"1")
    bench.at(1).request_unread(b"1")
    assert bench.broken == ["answer"]
    bench.ask(b"2")
    bench.at(2).request_unread(b"2")
    bench.send("b1", b"2")
    assert bench.broken == ["answer"] * 2
    bench.ask(b"3")
    bench.send("b1", b"3")
    bench.checker.gateway_ended("g0")
    bench.at(3).request_unread(b"3")
    assert bench.broken == ["answer"] * 2


def test_a_value_has_to_be_made_for_that_request(bench):
    bench.ask(b"1")
    bench.ask(b"2", line=2)
    bench.checker.value_produced("b1", b"1", b"v1")
    bench.checker.request_answered(b"1", "served", b"v1")
    assert bench.broken == []
    bench.checker.request_answered(b"2", "served", b"v1")
    assert bench.broken == ["value"]


@pytest.mark.parametrize(
    ("cls", "first", "second", "later_ms", "rule"),
    [
        ("read", "b1", "b3", 1, []),
        ("order", "b1", "b2", 1, []),
        ("order", "b1", "b3", 1, ["repeat"]),
        ("order", "b1", "b2", 6001, ["repeat"]),
        ("pin", "b1", "b2", 1, ["repeat"]),
    ],
)
def test_what_may_have_run_goes_out_again_only_as_its_class_allows(bench, cls, first, second, later_ms, rule):
    bench.ask(cls=cls, wait=9000)
    bench.send(first)
    bench.at(later_ms)
    bench.send(second)
    assert bench.broken == rule


def test_what_never_ran_may_go_anywhere(bench):
    bench.ask(cls="pin")
    bench.send("b1")
    bench.arrive("b1")
    bench.checker.attempt_rejected("b1", b"1")
    bench.send("b3")
    assert bench.broken == []
    bench.checker.attempt_started("g0", "b2", b"1", 0)  # begun and never complete
    bench.send("b2")
    assert bench.broken == ["repeat"]  # by the complete one at b3


def test_more_attempts_than_the_settings_allow(bench):
    bench.ask()
    for _ in range(6):
        bench.send("b1")
    assert bench.broken == []
    bench.send("b1")
    assert bench.broken == ["repeat"]


@pytest.mark.parametrize(
    ("notified", "at_ms", "rule"),
    [(True, 250, []), (True, 251, ["drain"]), (False, 6250, []), (False, 6251, ["drain"])],
)
def test_nothing_new_goes_to_a_backend_that_drains(bench, notified, at_ms, rule):
    bench.ask(wait=20_000)
    bench.checker.endpoint_changed("b1", "Terminating", 0)
    if notified:
        bench.checker.gateway_notified("g0", "b1", "Terminating", 0)
    bench.at(at_ms)
    bench.send("b1")
    assert bench.broken == rule


def test_a_gateway_that_starts_knows_nothing_of_the_last_ones_notifications(bench):
    bench.ask(wait=20_000)
    bench.checker.gateway_notified("g0", "b1", "Terminating", 0)
    bench.checker.gateway_started("g0")
    bench.at(1000)
    bench.send("b1")
    assert bench.broken == []


def test_a_cold_backend_is_sent_no_more_than_it_can_do_by_all_together(bench):
    cold = bench.checker.cold_starts
    cold.backend_started("b1", 7, lambda: 0.25, lambda: False)
    for number in range(4):
        bench.ask(b"%d" % number, line=number)
    for gateway in ("g0", "g1"):
        bench.checker.gateway_notified(gateway, "b1", "Ready", 7)
    bench.arrive("b1", b"0", "g0", 700 * MS)  # it can do 2 x 0.25 x 3 s
    bench.arrive("b1", b"1", "g1", 800 * MS)
    assert bench.broken == [] and cold.peak_ratio == pytest.approx(1.0)
    bench.arrive("b1", b"2", "g1", 1 * MS)
    assert bench.broken == ["cold"]


def test_a_gateway_that_does_not_know_of_a_start_breaks_no_rule(bench):
    bench.checker.cold_starts.backend_started("b1", 7, lambda: 0.25, lambda: False)
    bench.ask()
    bench.arrive("b1", work=5 * SECOND)
    assert bench.broken == []


def test_calls_at_a_cold_backend_are_counted_by_the_mean_call_whoever_sent_them(bench):
    """12 calls of 125 ms may come in 3 s: under 30 these are 12 + 3 x root of 12 + 3, 25.4; 48 calls are 48 +
    2 x root of 48 + 2, 63.9. A fall is nobody's fault where a third or more came from gateways that did not
    know of the start."""
    cold = bench.checker.cold_starts
    cold.backend_started("b1", 7, lambda: 0.25, lambda: False)
    bench.checker.gateway_notified("g0", "b1", "Ready", 7)
    for _ in range(10):
        cold.call_received(0, "b1", "g1", 125 * MS)
    assert cold.calls.peak_ratio == 0
    for _ in range(21):
        cold.call_received(0, "b1", "g0", 125 * MS)
    assert cold.calls.peak_ratio == pytest.approx(31 / (12 + 3 * 12**0.5 + 3))
    cold.call_received(3 * SECOND, "b1", "g0", 125 * MS)
    assert cold.calls.peak_ratio == pytest.approx(31 / (12 + 3 * 12**0.5 + 3))
    cold.backend_started("b2", 8, lambda: 1.0, lambda: False)
    bench.checker.gateway_notified("g0", "b2", "Ready", 8)
    for _ in range(96):
        cold.call_received(10 * SECOND, "b2", "g0", 125 * MS)
    assert cold.calls.peak_ratio == pytest.approx(96 / (48 + 2 * 48**0.5 + 2))


def test_work_of_long_ago_weighs_no_more(bench):
    bench.checker.cold_starts.backend_started("b1", 7, lambda: 0.25, lambda: False)
    bench.checker.gateway_notified("g0", "b1", "Ready", 7)
    bench.ask(b"1", wait=9000)
    bench.ask(b"2", wait=9000, line=2)
    bench.arrive("b1", b"1", work=1400 * MS)
    bench.at(3000)
    bench.arrive("b1", b"2", work=1400 * MS)
    assert bench.broken == []


def test_a_ceiling_holds_over_all_gateways_and_fills_again(bench):
    for number in range(9):
        bench.ask(b"%d" % number, plan="plus", units=5.0, line=number, wait=60_000, gateway=f"g{number % 2}")
    for number in range(4):
        bench.arrive("b1", b"%d" % number)
    assert bench.broken == []  # the burst is spent; the slack is 2, and 1.5 for sockets
    bench.at(200)
    bench.arrive("b1", b"4")
    assert bench.broken == []
    bench.arrive("b2", b"4")  # a further attempt takes nothing
    assert bench.broken == []
    bench.arrive("b1", b"5")
    assert bench.broken == ["ceiling"]


def test_what_no_client_asked_and_what_is_left_over(bench):
    unknown = bench.checker.attempt_started("g0", "b1", b"77", 0)
    assert unknown is None and bench.broken == ["foreign"]
    bench.checker.check_resources_released("g0", {"sessions": 0, "attempts": 0})
    assert bench.broken == ["foreign"]
    bench.checker.check_resources_released("g0", {"sessions": 2, "attempts": 0})
    assert bench.checker.violations[-1].text == "g0 holds at the end: 2 sessions"
    bench.checker.check_descriptors("g1", 65, 64)
    assert len(bench.broken) == 2  # one violation of a rule for each request, here none


def test_more_calls_at_a_cold_backend_than_the_standing_test_allows_are_named(bench):
    """12 calls are allowed, 25.4 with chance: the 26th of notified gateways is one too many."""
    bench.checker.cold_starts.backend_started("b1", 7, lambda: 0.25, lambda: False)
    bench.checker.gateway_notified("g0", "b1", "Ready", 7)
    for number in range(25):
        bench.ask(b"%d" % number, wait=9000, line=number)
        bench.arrive("b1", b"%d" % number, work=125 * MS)
    assert "cold_calls" not in bench.broken
    bench.ask(b"25", wait=9000, line=25)
    bench.arrive("b1", b"25", work=125 * MS)
    assert "cold_calls" in bench.broken
