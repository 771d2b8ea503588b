import pytest
from conftest import MS, SECOND, PolicyHarness, actions_of_type, backend

from zincstile.decisions.budget_split import split
from zincstile.decisions.messages import (
    AttemptOutcome,
    AttemptResult,
    CancelAttempt,
    CounterAnswer,
    CustomerUsage,
    EndpointListKind,
    FailRequest,
    ForwardRequest,
    GossipReceived,
    HealthCheckResult,
    RequestAbandoned,
    SetTimer,
    StreamStarted,
    TimerFired,
    WatchEndpoints,
)
from zincstile.decisions.records import TrafficGroup
from zincstile.decisions.settings import Idempotency, RequestClass


def forwarded_to(actions):
    return [a.endpoint for a in actions_of_type(actions, ForwardRequest)]


def single_group(arrival_rate, prior_value):
    return [TrafficGroup(prior_value, arrival_rate=arrival_rate)]


def test_split_favours_payoff_and_redistributes_what_exceeds_the_arrivals():
    parts = split(10.0, [single_group(8.0, 3.0), single_group(8.0, 1.0)])
    assert parts[0] == 8.0 and abs(parts[1] - 2.0) < 1e-9
    assert split(100.0, [single_group(8.0, 3.0), single_group(8.0, 1.0)]) == [8.0, 8.0]
    parts = split(4.0, [single_group(8.0, 3.0), single_group(8.0, 1.0)])
    assert abs(sum(parts) - 4.0) < 1e-9 and parts[0] > parts[1] > 0
    parts = split(6.0, [single_group(8.0, 2.0), single_group(8.0, 2.0)])
    assert abs(parts[0] - parts[1]) < 1e-9


def test_split_does_not_depend_on_the_scale_of_values():
    a = split(5.0, [single_group(8.0, 3.0), single_group(8.0, 1.0)])
    b = split(5.0, [single_group(8.0, 300.0), single_group(8.0, 100.0)])
    assert all(abs(x - y) < 1e-9 for x, y in zip(a, b, strict=True))


def test_same_events_and_seed_give_the_same_actions():
    def run():
        harness, seen = PolicyHarness(backends=5, seed=9), []
        for k in range(50):
            request_id, actions = harness.submit(class_index=k % 3, customer=k % 4, after=5 * MS)
            seen.append(actions)
            seen.append(
                harness.finish_attempt(request_id, 0, forwarded_to(actions)[0], AttemptResult.OK)
                if forwarded_to(actions)
                else []
            )
        return seen

    assert run() == run()


def answer_late(harness, seconds):
    """Plays requests that are answered only after the latency objective."""
    for _ in range(seconds * 10):
        ids = [harness.submit(class_index=k % 2, units=1.0) for k in range(4)]
        harness.tick()
        for request_id, actions in ids:
            if forwarded_to(actions):
                harness.finish_attempt(
                    request_id, 0, forwarded_to(actions)[0], AttemptResult.OK, after=0, latency=1500 * MS
                )


def count_rejected(harness, class_index, count=100):
    rejected = 0
    for _ in range(count):
        request_id, actions = harness.submit(class_index=class_index)
        if forwarded_to(actions):
            harness.finish_attempt(
                request_id, 0, forwarded_to(actions)[0], AttemptResult.OK, after=0, latency=50 * MS
            )
        else:
            rejected += 1
    return rejected


def test_overload_rejects_low_value_requests_first_and_ends_with_the_late_answers():
    harness = PolicyHarness(backends=4)
    assert count_rejected(harness, 0) == 0
    answer_late(harness, 5)
    low, high = count_rejected(harness, 0), count_rejected(harness, 1)
    assert low > 0 and low > high
    for _ in range(100):  # answers are fast again: within seconds, every request is admitted
        for k in range(2):
            request_id, actions = harness.submit(class_index=k)
            if forwarded_to(actions):
                harness.finish_attempt(
                    request_id, 0, forwarded_to(actions)[0], AttemptResult.OK, after=0, latency=50 * MS
                )
        harness.tick()
    assert count_rejected(harness, 0) == 0


def test_late_answers_of_one_round_trip_lower_the_limit_only_once():
    harness = PolicyHarness(backends=4)
    ids = [harness.submit() for _ in range(200)]
    harness.tick(after=900 * MS)
    for request_id, actions in ids:
        harness.finish_attempt(
            request_id, 0, forwarded_to(actions)[0], AttemptResult.OK, after=0, latency=1500 * MS
        )
    levels = []
    for _ in range(6):  # within half the latency objective of the cut: nothing sent since can be late yet
        harness.tick()
        levels.append(harness.policy.parts.limit.limit)
    assert sum(b < a for a, b in zip(levels, levels[1:], strict=False)) <= 1


def test_a_slow_endpoint_gets_at_most_one_of_ten_requests():
    harness = PolicyHarness(backends=4)
    for _ in range(40):
        request_id, actions = harness.submit(class_index=1, after=20 * MS)
        slow = forwarded_to(actions)[0] == 1
        harness.finish_attempt(
            request_id,
            0,
            forwarded_to(actions)[0],
            AttemptResult.OK,
            after=0,
            latency=(2000 if slow else 50) * MS,
        )
        harness.tick(after=0)
    # of 10 requests that stay in flight
    assert [forwarded_to(harness.submit(class_index=1)[1])[0] for _ in range(10)].count(1) <= 1


def test_an_endpoint_with_a_silent_attempt_in_flight_is_avoided():
    harness = PolicyHarness(backends=2)
    request_id, actions = harness.submit(class_index=1)
    hung = forwarded_to(actions)[0]
    for _ in range(30):
        request_id, actions = harness.submit(class_index=1, after=100 * MS)
        if forwarded_to(actions)[0] != hung:
            harness.finish_attempt(
                request_id, 0, forwarded_to(actions)[0], AttemptResult.OK, after=0, latency=50 * MS
            )
        harness.tick(after=0)
    assert forwarded_to(harness.submit(class_index=1)[1]) == [3 - hung]


def test_an_endpoint_that_fails_requests_of_a_class_gets_no_more_of_them():
    harness = PolicyHarness(backends=4)
    for _ in range(6):
        for request_id, actions in [harness.submit(class_index=1, after=MS) for _ in range(12)]:
            bad = forwarded_to(actions)[0] == 1
            result = AttemptResult.ERROR if bad else AttemptResult.OK
            harness.finish_attempt(request_id, 0, forwarded_to(actions)[0], result, after=0, latency=20 * MS)
        harness.tick(after=20 * MS)
    assert harness.policy.parts.endpoints.by_id[1].error_scores[1] >= 0.3
    assert [forwarded_to(harness.submit(class_index=1)[1])[0] for _ in range(10)].count(1) == 0


def test_a_restarted_endpoint_loses_its_error_scores():
    harness = PolicyHarness(backends=2)
    harness.policy.parts.endpoints.track(harness.policy.parts.endpoints.by_id[1]).error_scores[0] = 1.0
    harness.update_endpoints([backend(1, started_ns=harness.now)], EndpointListKind.DELTA)
    assert not harness.policy.parts.endpoints.by_id[1].error_scores


def test_a_failed_endpoint_list_is_requested_again():
    harness = PolicyHarness({"polls_endpoint_list": True})
    assert actions_of_type(harness.start_actions, WatchEndpoints)
    assert actions_of_type(harness.update_endpoints([], EndpointListKind.FAILED), WatchEndpoints)


def test_a_streaming_request_is_not_failed_at_its_deadline():
    harness = PolicyHarness(
        {"classes": [RequestClass("s", SECOND, 2 * SECOND, Idempotency.ALWAYS, 1.0, streaming=True)]}
    )
    request_id, actions = harness.submit(timeout_ns=2 * SECOND)
    harness.feed(StreamStarted(request_id, 0, forwarded_to(actions)[0], MS), after=MS)
    for timer in actions_of_type(actions, SetTimer):
        later = harness.feed(TimerFired(timer.token), after=max(0, timer.at_ns - harness.now))
        assert not actions_of_type(later, FailRequest) and not forwarded_to(later)


def test_unknown_and_repeated_events_are_ignored():
    harness = PolicyHarness()
    request_id, actions = harness.submit()
    harness.finish_attempt(request_id, 0, forwarded_to(actions)[0], AttemptResult.OK)
    assert harness.finish_attempt(request_id, 0, forwarded_to(actions)[0], AttemptResult.OK) == []
    for event in (
        RequestAbandoned(99),
        TimerFired(99 * 4),
        AttemptOutcome(5, 0, 1, AttemptResult.OK, 1, True),
        StreamStarted(5, 0, 1, 1),
        HealthCheckResult(1, AttemptResult.OK, 1),
        CounterAnswer(1, AttemptResult.OK, 1.0, 1),
        GossipReceived(77, 1, []),
        GossipReceived(0, 1, [CustomerUsage(1, 9, 1.0, 1.0, 0)]),
    ):
        assert harness.feed(event) == []


def test_a_burst_at_the_start_is_bounded_before_any_answer():
    harness = PolicyHarness(backends=4)
    sent = 0
    for _ in range(20):
        sent += sum(len(forwarded_to(harness.submit(class_index=1)[1])) for _ in range(10))
        harness.tick(after=10 * MS)
    assert 6 * 4 <= sent < 80


def test_the_limit_rises_slowly_above_the_level_at_which_overload_began():
    harness = PolicyHarness(backends=4)
    limit = harness.policy.parts.limit
    limit.limit = 8.0

    def tick(overload_signal):
        limit.answer_lateness, limit.answers = 50.0 * overload_signal, 50.0
        limit.overload_signal, limit.units_in_flight = overload_signal, 100.0
        before = limit.limit
        harness.tick(after=500 * MS)
        return limit.limit / before

    assert tick(0.5) > 1.15  # no level of overload is known: the usual rise in half a second
    level_before_overload = limit.limit
    for _ in range(6):
        tick(1.5)  # one episode of overload lowers the limit several times
    assert limit.limit < 0.6 * level_before_overload and limit.high_water_mark == level_before_overload
    while limit.limit < level_before_overload:
        assert tick(0.5) > 1.15
    assert 1.0 < tick(0.5) < 1.1


def test_a_slowdown_of_all_endpoints_within_the_latency_objective_is_no_overload():
    """Every answer is slower than without load, but load shedding would not make any of them faster."""
    harness = PolicyHarness(backends=4)

    def overload_signal_after(latency, count):
        for _ in range(count):
            request_id, actions = harness.submit(class_index=1)
            if forwarded_to(actions):
                harness.finish_attempt(
                    request_id, 0, forwarded_to(actions)[0], AttemptResult.OK, after=0, latency=latency
                )
            harness.tick(after=20 * MS)
        return harness.policy.parts.limit.overload_signal

    assert overload_signal_after(60 * MS, 200) < 0.5
    assert overload_signal_after(156 * MS, 100) < 1  # 2.6 times as long, and a sixth of the latency objective
    assert harness.policy.parts.limit.limit == float("inf")
    assert overload_signal_after(1500 * MS, 50) > 1


@pytest.mark.parametrize(
    ("class_index", "overrides", "hedge_count"),
    [(0, {}, 1), (1, {}, 0), (2, {}, 1), (0, {"hedges": False}, 0)],
)
def test_a_silent_attempt_is_hedged_if_the_class_and_the_settings_allow_it(
    policy_harness, class_index, overrides, hedge_count
):
    harness = policy_harness(overrides, backends=3)
    request_id, actions = harness.submit(class_index=class_index)
    first = actions_of_type(actions, ForwardRequest)[0]
    hedged = []
    for _ in range(30):
        hedged += actions_of_type(harness.tick(), ForwardRequest)
    assert [s.request for s in hedged] == [request_id] * hedge_count
    assert first.endpoint not in [s.endpoint for s in hedged]
    if hedge_count:  # either answer finishes the request, and the other attempt is cancelled
        actions = harness.finish_attempt(request_id, 1, hedged[0].endpoint, AttemptResult.OK)
        assert [(c.request, c.attempt) for c in actions_of_type(actions, CancelAttempt)] == [(request_id, 0)]


def test_no_hedged_request_is_sent_under_overload(policy_harness):
    harness = policy_harness(backends=3)
    harness.policy.parts.budget.groups[-1].admission_rate = 0.5
    harness.policy.parts.limit.limit, harness.policy.parts.limit.high_water_mark = 1.0, 1.0
    harness.policy.parts.limit.overload_signal = 2.0
    harness.submit()
    hedged = []
    for _ in range(5):
        harness.policy.parts.limit.overload_signal = 2.0
        hedged += actions_of_type(harness.tick(), ForwardRequest)
    assert not hedged


def test_one_error_excludes_an_endpoint_but_one_malformed_answer_does_not(policy_harness):
    """Errors weigh more than malformed answers and stale connections."""
    for result, excluded in (
        (AttemptResult.MALFORMED, False),
        (AttemptResult.STALE_CONNECTION, False),
        (AttemptResult.ERROR, True),
    ):
        harness = policy_harness(backends=2)
        request_id, actions = harness.submit(class_index=1)
        where = actions_of_type(actions, ForwardRequest)[0].endpoint
        assert actions_of_type(harness.finish_attempt(request_id, 0, where, result), FailRequest)
        server = harness.policy.parts.endpoints.by_id[where]
        assert (harness.policy.parts.detector.excess_score(server, 1, 0) >= 0.3) is excluded


def test_a_non_idempotent_request_uses_a_new_connection_after_stale_ones(policy_harness):
    harness = policy_harness(backends=8)
    attempts = []
    for class_index in (1, 0, 1):
        request_id, actions = harness.submit(class_index=class_index)
        attempts += actions_of_type(actions, ForwardRequest)
        harness.finish_attempt(
            request_id, 0, attempts[-1].endpoint, AttemptResult.STALE_CONNECTION, finished=True
        )
    assert [forwarded.new_connection for forwarded in attempts] == [False, False, True]


@pytest.mark.parametrize(("request_count", "overloaded"), [(9, False), (16, True)])
def test_a_first_burst_is_overload_only_from_ten_attempts_in_flight_per_endpoint(
    policy_harness, request_count, overloaded
):
    harness = policy_harness(backends=1)
    for _ in range(request_count):
        harness.submit(timeout_ns=60 * SECOND)
    for _ in range(20):
        harness.policy.parts.limit.overload_signal = harness.policy.parts.limit.timeout_lateness = 0.0
        harness.tick()
    assert (harness.policy.parts.limit.limit < float("inf")) is overloaded


def test_one_late_answer_does_not_exclude_an_endpoint(policy_harness):
    harness = policy_harness(backends=2)
    request_id, actions = harness.submit()
    where = actions_of_type(actions, ForwardRequest)[0].endpoint
    harness.finish_attempt(request_id, 0, where, AttemptResult.OK, after=0, latency=4 * SECOND)
    assert 1.0 < harness.policy.parts.endpoints.by_id[where].latency_ratio < 2.0


def test_a_warming_endpoint_gets_its_share_if_other_endpoints_are_suspected():
    """Two of three warm endpoints are suspected: the third and a half warm one get the load."""
    harness = PolicyHarness(
        {"slow_start_share": 0.25, "slow_start_ns": 18 * SECOND, "slow_start_overload_multiple": 2.0},
        backends=0,
        now=100 * SECOND,
    )
    harness.update_endpoints([backend(n) for n in (1, 2, 3)] + [backend(4, started_ns=96 * SECOND)])
    sent = dict.fromkeys((1, 2, 3, 4), 0)
    for k in range(600):
        if k % 10 == 0:
            for s in harness.policy.parts.endpoints.ready[:2]:
                harness.policy.parts.endpoints.track(s).error_scores = {0: 1.0}
            harness.tick(0)
        request_id, actions = harness.submit(after=10 * MS)
        for where in [a.endpoint for a in actions_of_type(actions, ForwardRequest)]:
            sent[where] += k >= 200
            harness.finish_attempt(request_id, 0, where, AttemptResult.OK, latency=20 * MS, after=0)
    assert sent[1] + sent[2] == 0 and 0.4 * sent[3] < sent[4] < 0.8 * sent[3]  # its warmth is 0.5 to 0.67


def test_a_warming_endpoint_relieves_the_only_warm_one_up_to_its_capacity():
    """The only warm endpoint never answers, the warming one answers at once.

    It gets more than its share by warmth, but no more than its warmth times the rate that a warm endpoint was
    seen to complete.
    """

    def shares(seen: float) -> float:
        harness = PolicyHarness(
            {"slow_start_share": 0.5, "slow_start_ns": 10**6 * SECOND, "slow_start_overload_multiple": 2.0},
            backends=0,
            now=100 * SECOND,
        )
        harness.update_endpoints([backend(1), backend(2, started_ns=99 * SECOND)])
        for leaf in harness.policy.parts.budget.groups:
            leaf.arrival_rate = 10.0 / len(harness.policy.parts.budget.groups)
        harness.policy.parts.slow_start.peak_endpoint_rate = seen
        harness.policy.parts.capacity.classify(harness.now)
        cold = 0
        for _ in range(400):
            request_id, actions = harness.submit()
            if actions_of_type(actions, ForwardRequest)[0].endpoint == 2:
                cold += 1
                harness.finish_attempt(request_id, 0, 2, AttemptResult.OK, after=0, latency=20 * MS)
        return cold / 400

    # Of 10 units per second, its share by warmth is 0.5 / 1.5. Its maximum is half the rate of a warm one.
    assert abs(shares(seen=4.0) - 0.2) < 0.07
    assert abs(shares(seen=15.0) - 0.75) < 0.07
