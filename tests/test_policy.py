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


def sends(actions):
    return [a.endpoint for a in actions_of_type(actions, ForwardRequest)]


def group(arrivals, worth):
    return [TrafficGroup(worth, arrival_rate=arrivals)]


def test_split_favours_payoff_caps_at_arrivals_and_hands_on():
    given = split(10.0, [group(8.0, 3.0), group(8.0, 1.0)])
    assert given[0] == 8.0 and abs(given[1] - 2.0) < 1e-9
    assert split(100.0, [group(8.0, 3.0), group(8.0, 1.0)]) == [8.0, 8.0]
    given = split(4.0, [group(8.0, 3.0), group(8.0, 1.0)])
    assert abs(sum(given) - 4.0) < 1e-9 and given[0] > given[1] > 0
    given = split(6.0, [group(8.0, 2.0), group(8.0, 2.0)])
    assert abs(given[0] - given[1]) < 1e-9


def test_split_means_the_same_in_any_unit_of_worth():
    a = split(5.0, [group(8.0, 3.0), group(8.0, 1.0)])
    b = split(5.0, [group(8.0, 300.0), group(8.0, 100.0)])
    assert all(abs(x - y) < 1e-9 for x, y in zip(a, b, strict=True))


def test_same_events_same_actions():
    def run():
        g, seen = PolicyHarness(backends=5, seed=9), []
        for k in range(50):
            rid, acts = g.submit(class_index=k % 3, customer=k % 4, after=5 * MS)
            seen.append(acts)
            seen.append(g.finish_attempt(rid, 0, sends(acts)[0], AttemptResult.OK) if sends(acts) else [])
        return seen

    assert run() == run()


def jam(g, seconds):
    """Requests that are answered only after the aim."""
    for _ in range(seconds * 10):
        ids = [g.submit(class_index=k % 2, units=1.0) for k in range(4)]
        g.tick()
        for rid, acts in ids:
            if sends(acts):
                g.finish_attempt(rid, 0, sends(acts)[0], AttemptResult.OK, after=0, latency=1500 * MS)


def refused(g, cls, count=100):
    lost = 0
    for _ in range(count):
        rid, acts = g.submit(class_index=cls)
        if sends(acts):
            g.finish_attempt(rid, 0, sends(acts)[0], AttemptResult.OK, after=0, latency=50 * MS)
        else:
            lost += 1
    return lost


def test_pressure_refuses_low_worth_first_and_does_not_latch():
    g = PolicyHarness(backends=4)
    assert refused(g, 0) == 0
    jam(g, 5)
    low, high = refused(g, 0), refused(g, 1)
    assert low > 0 and low > high
    for _ in range(100):  # the trouble is over: all of it is let in again within seconds
        for k in range(2):
            rid, acts = g.submit(class_index=k)
            if sends(acts):
                g.finish_attempt(rid, 0, sends(acts)[0], AttemptResult.OK, after=0, latency=50 * MS)
        g.tick()
    assert refused(g, 0) == 0


def test_late_answers_of_one_round_trip_cut_once():
    g = PolicyHarness(backends=4)
    ids = [g.submit() for _ in range(200)]
    g.tick(after=900 * MS)
    for rid, acts in ids:
        g.finish_attempt(rid, 0, sends(acts)[0], AttemptResult.OK, after=0, latency=1500 * MS)
    levels = []
    for _ in range(6):  # within half an aim of the cut, before anything sent since can be late
        g.tick()
        levels.append(g.policy.parts.limit.limit)
    assert sum(b < a for a, b in zip(levels, levels[1:], strict=False)) <= 1


def test_a_slow_backend_is_left_but_not_when_most_look_slow():
    g = PolicyHarness(backends=4)
    for _ in range(40):
        rid, acts = g.submit(class_index=1, after=20 * MS)
        slow = sends(acts)[0] == 1
        g.finish_attempt(
            rid, 0, sends(acts)[0], AttemptResult.OK, after=0, latency=(2000 if slow else 50) * MS
        )
        g.tick(after=0)
    # of 10 that stay out at three others
    assert [sends(g.submit(class_index=1)[1])[0] for _ in range(10)].count(1) <= 1


def test_a_silent_backend_is_left_while_its_request_is_out():
    g = PolicyHarness(backends=2)
    rid, acts = g.submit(class_index=1)
    hung = sends(acts)[0]
    for _ in range(30):
        rid, acts = g.submit(class_index=1, after=100 * MS)
        if sends(acts)[0] != hung:
            g.finish_attempt(rid, 0, sends(acts)[0], AttemptResult.OK, after=0, latency=50 * MS)
        g.tick(after=0)
    assert sends(g.submit(class_index=1)[1]) == [3 - hung]


def test_a_backend_that_fails_a_class_is_left_by_it():
    g = PolicyHarness(backends=4)
    for _ in range(6):
        for rid, acts in [g.submit(class_index=1, after=MS) for _ in range(12)]:
            bad = sends(acts)[0] == 1
            result = AttemptResult.ERROR if bad else AttemptResult.OK
            g.finish_attempt(rid, 0, sends(acts)[0], result, after=0, latency=20 * MS)
        g.tick(after=20 * MS)
    assert g.policy.parts.endpoints.by_id[1].error_scores[1] >= 0.3
    assert [sends(g.submit(class_index=1)[1])[0] for _ in range(10)].count(1) == 0


def test_a_new_process_starts_without_the_old_ones_record():
    g = PolicyHarness(backends=2)
    g.policy.parts.endpoints.track(g.policy.parts.endpoints.by_id[1]).error_scores[0] = 1.0
    g.update_endpoints([backend(1, started_ns=g.now)], EndpointListKind.DELTA)
    assert not g.policy.parts.endpoints.by_id[1].error_scores


def test_lists_are_asked_for_again_after_failure():
    g = PolicyHarness({"polls_endpoint_list": True})
    assert actions_of_type(g.start_actions, WatchEndpoints)
    assert actions_of_type(g.update_endpoints([], EndpointListKind.FAILED), WatchEndpoints)


def test_streams_are_not_failed_at_the_deadline():
    g = PolicyHarness(
        {"classes": [RequestClass("s", SECOND, 2 * SECOND, Idempotency.ALWAYS, 1.0, streaming=True)]}
    )
    rid, acts = g.submit(timeout_ns=2 * SECOND)
    g.feed(StreamStarted(rid, 0, sends(acts)[0], MS), after=MS)
    for timer in actions_of_type(acts, SetTimer):
        later = g.feed(TimerFired(timer.token), after=max(0, timer.at_ns - g.now))
        assert not actions_of_type(later, FailRequest) and not sends(later)


def test_unknown_and_repeated_events_are_ignored():
    g = PolicyHarness()
    rid, acts = g.submit()
    g.finish_attempt(rid, 0, sends(acts)[0], AttemptResult.OK)
    assert g.finish_attempt(rid, 0, sends(acts)[0], AttemptResult.OK) == []
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
        assert g.feed(event) == []


def test_a_burst_at_the_start_is_bounded_before_any_answer():
    g = PolicyHarness(backends=4)
    sent = 0
    for _ in range(20):
        sent += sum(len(sends(g.submit(class_index=1)[1])) for _ in range(10))
        g.tick(after=10 * MS)
    assert 6 * 4 <= sent < 80


def test_the_level_rises_warily_where_pressure_last_began():
    g = PolicyHarness(backends=4)
    limit = g.policy.parts.limit
    limit.limit = 8.0

    def tick(strain):
        limit.answer_lateness, limit.answers = 50.0 * strain, 50.0
        limit.overload_signal, limit.units_in_flight = strain, 100.0
        before = limit.limit
        g.tick(after=500 * MS)
        return limit.limit / before

    assert tick(0.5) > 1.15  # nothing known: half a second of rise
    top = limit.limit
    for _ in range(6):
        tick(1.5)  # one episode of pressure, several cuts
    assert limit.limit < 0.6 * top and limit.high_water_mark == top
    while limit.limit < top:
        assert tick(0.5) > 1.15
    assert 1.0 < tick(0.5) < 1.1


def test_a_fleet_wide_slowdown_well_within_the_aim_is_no_pressure():
    """It makes every answer late against the calm time, and shedding does not make it quicker."""
    g = PolicyHarness(backends=4)

    def strain(latency, count):
        for _ in range(count):
            rid, acts = g.submit(class_index=1)
            if sends(acts):
                g.finish_attempt(rid, 0, sends(acts)[0], AttemptResult.OK, after=0, latency=latency)
            g.tick(after=20 * MS)
        return g.policy.parts.limit.overload_signal

    assert strain(60 * MS, 200) < 0.5
    assert strain(156 * MS, 100) < 1  # 2.6 times as long, a sixth of the aim
    assert g.policy.parts.limit.limit == float("inf")
    assert strain(1500 * MS, 50) > 1


@pytest.mark.parametrize(
    ("cls", "over", "copies"), [(0, {}, 1), (1, {}, 0), (2, {}, 1), (0, {"hedges": False}, 0)]
)
def test_a_second_copy_beside_a_silent_attempt_where_the_class_allows_it(policy_harness, cls, over, copies):
    g = policy_harness(over, backends=3)
    rid, acts = g.submit(class_index=cls)
    first = actions_of_type(acts, ForwardRequest)[0]
    seconds = []
    for _ in range(30):
        seconds += actions_of_type(g.tick(), ForwardRequest)
    assert [s.request for s in seconds] == [rid] * copies
    assert first.endpoint not in [s.endpoint for s in seconds]
    if copies:  # either answer ends it
        acts = g.finish_attempt(rid, 1, seconds[0].endpoint, AttemptResult.OK)
        assert [(c.request, c.attempt) for c in actions_of_type(acts, CancelAttempt)] == [(rid, 0)]


def test_no_second_copies_under_pressure(policy_harness):
    g = policy_harness(backends=3)
    g.policy.parts.budget.groups[-1].admission_rate = 0.5
    g.policy.parts.limit.limit, g.policy.parts.limit.high_water_mark = 1.0, 1.0
    g.policy.parts.limit.overload_signal = 2.0
    g.submit()
    seconds = []
    for _ in range(5):
        g.policy.parts.limit.overload_signal = 2.0
        seconds += actions_of_type(g.tick(), ForwardRequest)
    assert not seconds


def test_one_spoilt_answer_is_no_reason_to_leave_a_backend(policy_harness):
    """An error is: the two weigh differently."""
    for result, left in (
        (AttemptResult.MALFORMED, False),
        (AttemptResult.STALE_CONNECTION, False),
        (AttemptResult.ERROR, True),
    ):
        g = policy_harness(backends=2)
        rid, acts = g.submit(class_index=1)
        where = actions_of_type(acts, ForwardRequest)[0].endpoint
        assert actions_of_type(g.finish_attempt(rid, 0, where, result), FailRequest)
        server = g.policy.parts.endpoints.by_id[where]
        assert (g.policy.parts.detector.excess_score(server, 1, 0) >= 0.3) is left


def test_what_may_not_run_again_gets_a_new_connection_where_kept_ones_end(policy_harness):
    g = policy_harness(backends=8)
    sends = []
    for cls in (1, 0, 1):
        rid, acts = g.submit(class_index=cls)
        sends += actions_of_type(acts, ForwardRequest)
        g.finish_attempt(rid, 0, sends[-1].endpoint, AttemptResult.STALE_CONNECTION, finished=True)
    assert [s.new_connection for s in sends] == [False, False, True]


@pytest.mark.parametrize(("asked", "pressed"), [(9, False), (16, True)])
def test_the_first_burst_is_pressure_only_from_ten_out_per_backend(policy_harness, asked, pressed):
    g = policy_harness(backends=1)
    for _ in range(asked):
        g.submit(timeout_ns=60 * SECOND)
    for _ in range(20):
        g.policy.parts.limit.overload_signal = g.policy.parts.limit.timeout_lateness = 0.0
        g.tick()
    assert (g.policy.parts.limit.limit < float("inf")) is pressed


def test_one_late_answer_does_not_leave_a_backend_out(policy_harness):
    g = policy_harness(backends=2)
    rid, acts = g.submit()
    where = actions_of_type(acts, ForwardRequest)[0].endpoint
    g.finish_attempt(rid, 0, where, AttemptResult.OK, after=0, latency=4 * SECOND)
    assert 1.0 < g.policy.parts.endpoints.by_id[where].latency_ratio < 2.0


def test_a_cold_backend_gets_its_part_of_a_good_one_where_others_are_left_for_their_doubts():
    """Two of three warm ones are doubted: the third and one that is about half warm carry all."""
    g = PolicyHarness(
        {"slow_start_share": 0.25, "slow_start_ns": 18 * SECOND, "slow_start_overload_multiple": 2.0},
        backends=0,
        now=100 * SECOND,
    )
    g.update_endpoints([backend(n) for n in (1, 2, 3)] + [backend(4, started_ns=96 * SECOND)])
    sent = dict.fromkeys((1, 2, 3, 4), 0)
    for k in range(600):
        if k % 10 == 0:
            for s in g.policy.parts.endpoints.ready[:2]:
                g.policy.parts.endpoints.track(s).error_scores = {0: 1.0}
            g.tick(0)
        rid, acts = g.submit(after=10 * MS)
        for where in [a.endpoint for a in actions_of_type(acts, ForwardRequest)]:
            sent[where] += k >= 200
            g.finish_attempt(rid, 0, where, AttemptResult.OK, latency=20 * MS, after=0)
    assert sent[1] + sent[2] == 0 and 0.4 * sent[3] < sent[4] < 0.8 * sent[3]  # 0.5 to 0.67 as warm


def test_a_cold_backend_that_is_less_busy_relieves_the_only_warm_one_up_to_its_most():
    """All that goes to the one warm server stays out; a cold one answers at once. It gets more than its due,
    and no more than the warm one was seen to work, by its warmth."""

    def shares(seen: float) -> float:
        g = PolicyHarness(
            {"slow_start_share": 0.5, "slow_start_ns": 10**6 * SECOND, "slow_start_overload_multiple": 2.0},
            backends=0,
            now=100 * SECOND,
        )
        g.update_endpoints([backend(1), backend(2, started_ns=99 * SECOND)])
        for leaf in g.policy.parts.budget.groups:
            leaf.arrival_rate = 10.0 / len(g.policy.parts.budget.groups)
        g.policy.parts.slow_start.peak_endpoint_rate = seen
        g.policy.parts.capacity.classify(g.now)
        cold = 0
        for _ in range(400):
            rid, acts = g.submit()
            if actions_of_type(acts, ForwardRequest)[0].endpoint == 2:
                cold += 1
                g.finish_attempt(rid, 0, 2, AttemptResult.OK, after=0, latency=20 * MS)
        return cold / 400

    # Sent: 10 units a second. Its due: half of 1 / 1.5 of that; its most: half of what a warm one did.
    assert abs(shares(seen=4.0) - 0.2) < 0.07
    assert abs(shares(seen=15.0) - 0.75) < 0.07
