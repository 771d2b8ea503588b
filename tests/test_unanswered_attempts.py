"""Attempts without an answer though backends are well: idle connections, no time left, overload signal."""

from conftest import MS, SECOND, PolicyHarness, actions_of_type

from zincstile.decisions.messages import AttemptResult, CloseIdleConnections, ForwardRequest, RejectRequest


def request_after_pause(harness, result, latency=50 * MS):
    """One request after a pause of three seconds; whether its backend's connections were closed before."""
    request, actions = harness.submit(class_index=1, after=3 * SECOND)
    kinds = [type(a) for a in actions if isinstance(a, CloseIdleConnections | ForwardRequest)]
    harness.finish_attempt(
        request, 0, actions_of_type(actions, ForwardRequest)[0].endpoint, result, after=0, latency=latency
    )
    assert kinds in ([ForwardRequest], [CloseIdleConnections, ForwardRequest])
    return kinds[0] is CloseIdleConnections


def test_idle_connections_are_closed_where_reused_ones_stay_without_an_answer():
    harness = PolicyHarness(backends=1)
    assert request_after_pause(harness, AttemptResult.OK)  # the first is new in any case
    assert not request_after_pause(harness, AttemptResult.OK)
    assert not request_after_pause(harness, AttemptResult.TIMEOUT, SECOND)  # a path forgot it
    assert [request_after_pause(harness, AttemptResult.OK) for _ in range(4)] == [True] * 4
    for _ in range(10):
        harness.tick(after=10 * SECOND)
    assert not request_after_pause(harness, AttemptResult.OK)  # it does not latch


def test_idle_connections_are_kept_where_new_ones_fail():
    harness = PolicyHarness(backends=1)
    request_after_pause(harness, AttemptResult.OK)
    for _ in range(3):
        harness.policy.parts.detector.connection_errors = [0.3, 0.5, 0.0]
        assert not request_after_pause(harness, AttemptResult.OK)
    harness = PolicyHarness(backends=40)
    for _ in range(12):  # nothing but new connections, and all fail
        request_after_pause(harness, AttemptResult.CONNECT_FAILED)
    assert (
        harness.policy.parts.detector.connection_errors[1] > 0.5
        and harness.policy.parts.detector.connection_errors[0] == 0.0
    )


def test_a_connection_in_use_is_not_closed():
    harness = PolicyHarness(backends=1)
    request_after_pause(harness, AttemptResult.OK)
    harness.policy.parts.detector.connection_errors = [0.9, 0.0, 0.0]
    assert not actions_of_type(harness.submit(after=300 * MS)[1], CloseIdleConnections)


def test_no_retry_once_the_time_is_up():
    harness = PolicyHarness(backends=4)  # class 0 earns nothing after its aim of 1 s
    request, actions = harness.submit(class_index=0)
    first = actions_of_type(actions, ForwardRequest)[0]
    actions = harness.finish_attempt(
        request, 0, first.endpoint, AttemptResult.TIMEOUT, after=first.give_up_ns - harness.now
    )
    assert not actions_of_type(actions, ForwardRequest) and [
        a.request for a in actions_of_type(actions, RejectRequest)
    ] == [request]
    request, actions = harness.submit(class_index=0)
    actions = harness.finish_attempt(
        request, 0, actions_of_type(actions, ForwardRequest)[0].endpoint, AttemptResult.RESET, after=300 * MS
    )
    assert [a.give_up_ns for a in actions_of_type(actions, ForwardRequest)] == [harness.now + 700 * MS]


def play_requests(harness, count=12, latency=50 * MS, silent=0):
    """A stretch of requests, the last few of which nobody answers."""
    for index in range(count):
        request, actions = harness.submit(class_index=1, after=20 * MS)
        for send in actions_of_type(actions, ForwardRequest):
            result = AttemptResult.TIMEOUT if index >= count - silent else AttemptResult.OK
            took = SECOND if index >= count - silent else latency
            harness.finish_attempt(request, 0, send.endpoint, result, after=0, latency=took)
    harness.tick(after=0)


def test_timeouts_beside_fast_answers_are_no_overload_signal():
    harness = PolicyHarness(backends=12)
    for _ in range(20):
        play_requests(harness)
    for _ in range(10):  # now a quarter gets no answer, anywhere
        play_requests(harness, silent=3)
    assert harness.policy.parts.limit.overload_signal < 1 and harness.policy.parts.limit.limit == float("inf")


def test_timeouts_beside_late_answers_and_timeouts_alone_are_an_overload_signal():
    for latency, silent in ((700 * MS, 3), (50 * MS, 11)):
        harness = PolicyHarness(backends=12)
        for _ in range(20):
            play_requests(harness)
        for _ in range(10):
            play_requests(harness, latency=latency, silent=silent)
        assert harness.policy.parts.limit.overload_signal > 1 and harness.policy.parts.limit.limit < float(
            "inf"
        )


def test_a_few_attempts_above_the_limit_do_not_reject_all():
    harness = PolicyHarness({"gateway_count": 200}, backends=8)
    policy = harness.policy
    policy.parts.limit.limit, policy.parts.limit.overload_signal = (
        0.25,
        0.9,
    )  # an even part of the level: two units out
    for leaf in policy.parts.budget.groups[:2]:
        leaf.arrival_rate = 1.5
    policy.parts.limit.units_in_flight, policy.parts.limit.completed_per_s = 3.0, 2.0
    harness.tick()
    # the best group; 2 a second may go, as many as were done
    assert policy.parts.budget.groups[1].admission_rate > 0.5


def test_the_budget_does_not_sink_with_the_rate_of_answers():
    rates = []
    for part in (1.0, 0.5):  # half as much sent, half as much out and done: the same time in the back end
        harness = PolicyHarness({"gateway_count": 200}, backends=8)
        policy = harness.policy
        (
            policy.parts.limit.limit,
            policy.parts.limit.overload_signal,
            policy.parts.budget.groups[1].arrival_rate,
        ) = 0.25, 0.9, 60.0
        policy.parts.limit.units_in_flight, policy.parts.limit.completed_per_s = 1.0 * part, 10.0 * part
        harness.tick()
        rates.append(policy.parts.budget.groups[1].admission_rate)
    assert 0 < rates[0] < 1 and rates[1] > 0.9 * rates[0]
