"""Attempts that stay unanswered though endpoints are healthy: idle connections, deadlines, overload."""

from conftest import MS, SECOND, PolicyHarness, actions_of_type

from zincstile.decisions.messages import AttemptResult, CloseIdleConnections, ForwardRequest, RejectRequest


def request_after_pause(harness, result, latency=50 * MS):
    """Plays a request after a pause of 3 s. Returns whether idle connections to its endpoint were closed."""
    request, actions = harness.submit(class_index=1, after=3 * SECOND)
    kinds = [type(a) for a in actions if isinstance(a, CloseIdleConnections | ForwardRequest)]
    harness.finish_attempt(
        request, 0, actions_of_type(actions, ForwardRequest)[0].endpoint, result, after=0, latency=latency
    )
    assert kinds in ([ForwardRequest], [CloseIdleConnections, ForwardRequest])
    return kinds[0] is CloseIdleConnections


def test_idle_connections_are_closed_after_reused_ones_timed_out():
    harness = PolicyHarness(backends=1)
    assert request_after_pause(harness, AttemptResult.OK)  # the first connection is always a new one
    assert not request_after_pause(harness, AttemptResult.OK)
    assert not request_after_pause(harness, AttemptResult.TIMEOUT, SECOND)  # the network path dropped it
    assert [request_after_pause(harness, AttemptResult.OK) for _ in range(4)] == [True] * 4
    for _ in range(10):
        harness.tick(after=10 * SECOND)
    assert not request_after_pause(harness, AttemptResult.OK)  # the error rate has decayed


def test_idle_connections_are_kept_if_new_ones_fail():
    harness = PolicyHarness(backends=1)
    request_after_pause(harness, AttemptResult.OK)
    for _ in range(3):
        harness.policy.parts.detector.connection_errors = [0.3, 0.5, 0.0]
        assert not request_after_pause(harness, AttemptResult.OK)
    harness = PolicyHarness(backends=40)
    for _ in range(12):  # all connections are new, and all fail
        request_after_pause(harness, AttemptResult.CONNECT_FAILED)
    assert (
        harness.policy.parts.detector.connection_errors[1] > 0.5
        and harness.policy.parts.detector.connection_errors[0] == 0.0
    )


def test_a_recently_used_connection_is_not_closed():
    harness = PolicyHarness(backends=1)
    request_after_pause(harness, AttemptResult.OK)
    harness.policy.parts.detector.connection_errors = [0.9, 0.0, 0.0]
    assert not actions_of_type(harness.submit(after=300 * MS)[1], CloseIdleConnections)


def test_a_request_is_not_retried_once_it_can_earn_no_value():
    harness = PolicyHarness(backends=4)  # class 0 earns nothing after its latency objective of 1 s
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
    """Plays requests, of which the last `silent` get no answer."""
    for index in range(count):
        request, actions = harness.submit(class_index=1, after=20 * MS)
        for send in actions_of_type(actions, ForwardRequest):
            result = AttemptResult.TIMEOUT if index >= count - silent else AttemptResult.OK
            latency_ns = SECOND if index >= count - silent else latency
            harness.finish_attempt(request, 0, send.endpoint, result, after=0, latency=latency_ns)
    harness.tick(after=0)


def test_timeouts_beside_fast_answers_raise_no_overload_signal():
    harness = PolicyHarness(backends=12)
    for _ in range(20):
        play_requests(harness)
    for _ in range(10):  # now a quarter of the attempts gets no answer, at any endpoint
        play_requests(harness, silent=3)
    assert harness.policy.parts.limit.overload_signal < 1 and harness.policy.parts.limit.limit == float("inf")


def test_timeouts_beside_late_answers_or_alone_raise_the_overload_signal():
    for latency, silent in ((700 * MS, 3), (50 * MS, 11)):
        harness = PolicyHarness(backends=12)
        for _ in range(20):
            play_requests(harness)
        for _ in range(10):
            play_requests(harness, latency=latency, silent=silent)
        assert harness.policy.parts.limit.overload_signal > 1 and harness.policy.parts.limit.limit < float(
            "inf"
        )


def test_a_few_attempts_above_the_limit_do_not_lead_to_rejection_of_all_requests():
    harness = PolicyHarness({"gateway_count": 200}, backends=8)
    policy = harness.policy
    # 0.25 for each of 8 endpoints: an even share of the limit is two units in flight
    policy.parts.limit.limit, policy.parts.limit.overload_signal = 0.25, 0.9
    for leaf in policy.parts.budget.groups[:2]:
        leaf.arrival_rate = 1.5
    policy.parts.limit.units_in_flight, policy.parts.limit.completed_per_s = 3.0, 2.0
    harness.tick()
    # the group with the highest payoff; as many units are admitted as were completed, 2 per second
    assert policy.parts.budget.groups[1].admission_rate > 0.5


def test_the_budget_does_not_fall_with_the_rate_of_answers():
    rates = []
    for load_ratio in (1.0, 0.5):  # half the units sent, in flight and completed: the same latency
        harness = PolicyHarness({"gateway_count": 200}, backends=8)
        policy = harness.policy
        (
            policy.parts.limit.limit,
            policy.parts.limit.overload_signal,
            policy.parts.budget.groups[1].arrival_rate,
        ) = 0.25, 0.9, 60.0
        policy.parts.limit.units_in_flight, policy.parts.limit.completed_per_s = (
            1.0 * load_ratio,
            10.0 * load_ratio,
        )
        harness.tick()
        rates.append(policy.parts.budget.groups[1].admission_rate)
    assert 0 < rates[0] < 1 and rates[1] > 0.9 * rates[0]
