"""Wide sets of gateways: relays, exchanged estimates, error samples of peers, warming endpoints."""

from conftest import MS, SECOND, PolicyHarness, actions_of_type, backend

from zincstile.decisions.messages import (
    AttemptResult,
    CustomerUsage,
    ErrorSample,
    ForwardRequest,
    GossipReceived,
    RejectRequest,
    SendGossip,
    SetTimer,
    TimerFired,
)
from zincstile.decisions.outlier_detection import ANY_CLASS
from zincstile.decisions.settings import CustomerPlan

PLAN = CustomerPlan("p", rate=2.0, burst=12.0)
GATEWAY_COUNT = 40


def forwarded_to(actions):
    return [a.endpoint for a in actions_of_type(actions, ForwardRequest)]


def gateway(index=0, seed=1, backends=8, **overrides):
    overrides = {"plans": [PLAN], "gateway_count": GATEWAY_COUNT, "gateway_index": index} | overrides
    return PolicyHarness(overrides, backends=backends, seed=seed)


def submit_wide(harness, **options):
    request_id, actions = harness.submit(spread=GATEWAY_COUNT, **options)
    return request_id, actions, actions_of_type(actions, SendGossip)


def relay_index(customer=7):
    return submit_wide(gateway(index=1), customer=customer)[2][0].peer


def deliver(message, sender, receiver):
    return receiver.feed(
        GossipReceived(sender, message.incarnation, message.usages, message.estimates, message.error_samples)
    )


def test_a_request_of_a_wide_set_queries_one_relay_and_waits():
    harness = gateway()
    request_id, actions, messages = submit_wide(harness)
    assert not forwarded_to(actions) and len(messages) == 1 and messages[0].usages[0].requested_units == 1.0
    assert all(submit_wide(gateway(index=m))[2][0].peer == messages[0].peer for m in range(1, 5))


def test_a_relay_grants_no_more_than_the_quota_to_all_gateways_together():
    relay = gateway(index=relay_index())
    peers = [
        gateway(index=m, seed=m) for m in range(GATEWAY_COUNT) if m != relay.policy.settings.gateway_index
    ][:12]
    sent_units = 0.0
    for harness in peers:
        request_id, _, messages = submit_wide(harness, units=4.0)
        answer = actions_of_type(
            deliver(messages[0], harness.policy.settings.gateway_index, relay), SendGossip
        )[0]
        assert answer.peer == harness.policy.settings.gateway_index and answer.usages[0].is_answer
        sent_units += 4.0 * len(forwarded_to(deliver(answer, relay.policy.settings.gateway_index, harness)))
    assert sent_units == 12.0


def test_an_unanswered_query_is_repeated_then_the_even_share_decides():
    harness = gateway()
    request_id, actions, _ = submit_wide(harness)
    timer = next(t for t in actions_of_type(actions, SetTimer) if t.at_ns < harness.now + SECOND)
    actions = harness.feed(TimerFired(timer.token), after=100 * MS)
    assert len(actions_of_type(actions, SendGossip)) == 1 and not forwarded_to(actions)
    assert len(forwarded_to(harness.feed(TimerFired(timer.token), after=100 * MS))) == 1
    admitted = sum(len(forwarded_to(submit_wide(harness, units=4.0)[1])) for _ in range(20))
    assert admitted <= 1  # the relay counts as silent: at most the largest request


def test_unanswered_queries_after_a_rejection_admit_nothing():
    harness = gateway()
    request_id, actions, messages = submit_wide(harness, units=4.0)
    rejection = CustomerUsage(7, 0, 0.0, 0.5, 0, -4.0, messages[0].usages[0].query_id, True)
    assert actions_of_type(harness.feed(GossipReceived(messages[0].peer, 5, [rejection])), RejectRequest)
    sent = 0
    for _ in range(10):  # no query of these is answered
        request_id, actions, _ = submit_wide(harness, units=4.0, after=200 * MS)
        sent += len(forwarded_to(actions))
        for timer in actions_of_type(actions, SetTimer):
            if timer.at_ns < harness.now + SECOND:
                sent += len(forwarded_to(harness.feed(TimerFired(timer.token)))) + len(
                    forwarded_to(harness.feed(TimerFired(timer.token)))
                )
    assert sent == 0


def test_a_total_sent_before_a_grant_arrived_returns_no_units():
    relay = gateway(index=relay_index())
    for query_id in (1, 2):  # both sent before the first answer arrived
        relay.feed(GossipReceived(1, 5, [CustomerUsage(7, 0, 0.0, 12.0, 0, 4.0, query_id)]), after=MS)
    assert 3.9 < relay.policy.parts.ledger.customers[7].level < 4.1
    # A repetition of the second query.
    relay.feed(GossipReceived(1, 5, [CustomerUsage(7, 0, 0.0, 12.0, 0, 4.0, 2)]), after=MS)
    assert 3.9 < relay.policy.parts.ledger.customers[7].level < 4.1


def test_the_number_of_messages_is_independent_of_the_number_of_gateways():
    for gateways in (40, 400):
        harness = gateway(gateway_count=gateways)
        _, actions = harness.submit(spread=gateways)
        further_actions = harness.tick() + harness.tick(after=2 * SECOND) + harness.feed(TimerFired(3))
        assert (
            len(actions_of_type(actions, SendGossip)) + len(actions_of_type(further_actions, SendGossip)) <= 2
        )


def test_estimates_of_a_peer_are_averaged_and_invalid_ones_ignored():
    harness, estimates = gateway(), [3.0, 1.0, 2.0, 1.0, 8.0, 4.0, 0.6, 0.2, 0.0, 0.1, 0.1, 0.1]
    harness.feed(GossipReceived(3, 5, [], estimates))
    assert (
        harness.policy.parts.limit.answer_lateness,
        harness.policy.parts.limit.answers,
        harness.policy.parts.limit.units_in_flight,
        harness.policy.parts.limit.completed_per_s,
    ) == (1.5, 0.5, 4.0, 2.0)
    assert (harness.policy.parts.limit.timeout_lateness, harness.policy.parts.limit.timeouts) == (
        1.0,
        0.5,
    ) and harness.policy.parts.detector.connection_errors[:2] == [0.3, 0.1]
    for bad in ([float("nan")] * 12, [float("inf")] * 12, [-1.0] * 12, [1.0], []):
        harness.feed(GossipReceived(3, 5, [], bad))
    assert harness.policy.parts.limit.answer_lateness == 1.5


def endpoint_hash(number):
    return number * 2654435761 % 2**32 >> 16


def test_error_samples_of_peers_affect_only_their_class():
    harness = gateway(plans=[CustomerPlan("p", rate=1000.0, burst=2000.0)])
    samples = [
        ErrorSample(endpoint_hash(1), 1, 0.9),
        ErrorSample(999999, 1, 0.9),
        ErrorSample(endpoint_hash(1), 99, 0.9),
    ]
    harness.feed(GossipReceived(3, 5, [], [], samples))
    harness.tick(after=MS)
    # the samples of one gateway are not enough
    assert 1 in [b for _ in range(60) for b in forwarded_to(harness.submit(class_index=1)[1])]
    for peer in (4, 5):
        harness.feed(GossipReceived(peer, 5, [], [], samples))
    harness.tick(after=MS)
    assert 1 not in [b for _ in range(60) for b in forwarded_to(harness.submit(class_index=1)[1])]
    assert 1 in [b for _ in range(60) for b in forwarded_to(harness.submit(class_index=0)[1])]


def test_errors_at_most_endpoints_make_none_of_them_an_outlier():
    harness = gateway(plans=[CustomerPlan("p", rate=1000.0, burst=2000.0)])
    for peer in (3, 4, 5):
        harness.feed(
            GossipReceived(peer, 5, [], [], [ErrorSample(endpoint_hash(n), 1, 0.8) for n in range(1, 8)])
        )
    harness.tick(after=MS)
    endpoints = [b for _ in range(60) for b in forwarded_to(harness.submit(class_index=1)[1])]
    assert len(set(endpoints)) == 8


def test_error_scores_decay():
    harness = gateway(plans=[CustomerPlan("p", rate=1000.0, burst=2000.0)])
    for peer in (3, 4, 5):
        harness.feed(GossipReceived(peer, 5, [], [], [ErrorSample(endpoint_hash(1), 1, 0.9)]))
    for _ in range(40):
        harness.tick(after=SECOND)
    assert 1 in [b for _ in range(60) for b in forwarded_to(harness.submit(class_index=1)[1])]


def test_rejections_of_one_plan_affect_neither_the_limit_nor_other_plans():
    plans = [CustomerPlan(n, rate=1000.0, burst=2000.0) for n in ("a", "b")]
    harness = PolicyHarness({"plans": plans, "max_attempts": 1}, backends=4)
    for _ in range(60):
        request_id, actions = harness.submit(class_index=1, plan=0, customer=1)
        is_full = forwarded_to(actions) and forwarded_to(actions)[0] == 1
        harness.finish_attempt(
            request_id,
            0,
            forwarded_to(actions)[0],
            AttemptResult.REJECTED if is_full else AttemptResult.OK,
            latency=20 * MS,
        )
        harness.tick(after=0)
    assert harness.policy.parts.limit.limit == float("inf")
    outcomes = [harness.submit(class_index=1, plan=1, customer=2) for _ in range(40)]
    assert 1 in [b for _, actions in outcomes for b in forwarded_to(actions)]


def test_two_hundred_gateways_do_not_overload_a_warming_endpoint():
    overrides = {
        "slow_start_share": 0.05,
        "slow_start_ns": 100 * SECOND,
        "slow_start_overload_multiple": 2.0,
        "slow_start_window_ns": SECOND,
    }
    fleet = [gateway(gateway_index=m, seed=m, backends=0, gateway_count=200, **overrides) for m in range(200)]
    for harness in fleet:
        harness.update_endpoints([backend(1), backend(2), backend(3, started_ns=harness.now)])
    rate, units_by_second = 133.0, [0.0] * 5  # rate of a warm endpoint, in units per second
    for step in range(50):
        for harness in fleet[step % 10 :: 10]:
            harness.policy.parts.limit.completed_per_s, harness.policy.parts.capacity.healthy_endpoints = (
                2 * rate / 200,
                2,
            )
            request_id, actions = harness.submit(
                class_index=1, units=2.0, after=SECOND if step >= 10 else (1 + step) * 100 * MS
            )
            units_by_second[step // 10] += 2.0 * forwarded_to(actions).count(3)
            if forwarded_to(actions):
                harness.finish_attempt(
                    request_id, 0, forwarded_to(actions)[0], AttemptResult.OK, after=0, latency=50 * MS
                )
    assert sum(units_by_second) > 0 and max(units_by_second) <= 2.0 * 0.1 * rate


def answer_query(harness, message, level, granted):
    """Delivers the relay's answer to a query."""
    query = message.usages[0]
    requested_units = query.requested_units if granted else -query.requested_units
    return harness.feed(
        GossipReceived(
            message.peer,
            1,
            [CustomerUsage(query.customer, 0, 0.0, level, 0, requested_units, query.query_id, True)],
        )
    )


def test_requests_of_a_customer_with_an_empty_bucket_do_not_all_query_the_relay():
    query_count = admitted = 0
    for index in range(GATEWAY_COUNT):  # each gateway has ten requests in a second
        harness = gateway(index=index, seed=index)
        if index == relay_index():
            continue
        for _ in range(10):
            harness.now += 100 * MS
            _, actions, messages = submit_wide(harness, units=2.0)
            query_count += len(messages)
            if messages:
                admitted += len(forwarded_to(answer_query(harness, messages[0], 0.0, False)))
    # A relay takes in 60 queries per second, of all customers together.
    assert admitted == 0 and query_count <= 1.5 * GATEWAY_COUNT


def test_a_request_that_the_budget_rejects_sends_no_query():
    harness = gateway()
    for groups in harness.policy.parts.budget.inside_quota:
        for group in groups:
            group.admission_rate = 0.0
    _, actions, messages = submit_wide(harness)  # the probe of an idle gateway
    assert not messages and len(forwarded_to(actions)) == 1
    _, actions, messages = submit_wide(harness)
    assert not messages and len(actions_of_type(actions, RejectRequest)) == 1


def test_a_silent_relay_is_replaced_but_not_one_whose_messages_still_arrive():
    harness = gateway()

    def leave_query_unanswered():
        _, actions, messages = submit_wide(harness)
        for _ in range(2):
            timer = next(t for t in actions_of_type(actions, SetTimer) if t.at_ns < harness.now + SECOND)
            actions = harness.feed(TimerFired(timer.token), after=100 * MS)
        return messages[0].peer

    first_relay = leave_query_unanswered()
    second_relay = submit_wide(harness)[2][0].peer
    assert second_relay == (first_relay + 1) % GATEWAY_COUNT  # the next gateway of the set
    other_harness = gateway()
    other_harness.feed(GossipReceived(first_relay, 1, []))  # some messages are lost, but it is running
    harness = other_harness
    assert leave_query_unanswered() == first_relay == submit_wide(harness)[2][0].peer


def test_gateways_with_little_traffic_use_the_capacity_of_many_warming_endpoints():
    overrides = {
        "slow_start_share": 0.5,
        "slow_start_ns": 10**6 * SECOND,
        "slow_start_overload_multiple": 2.0,
        "slow_start_window_ns": 3 * SECOND,
        "plans": [CustomerPlan("p", rate=1e6, burst=1e6)],
    }
    sent_to_warming = sent = 0
    for index in range(GATEWAY_COUNT):
        harness = gateway(index=index, seed=index, backends=0, **overrides)
        harness.update_endpoints(
            [backend(n) for n in range(1, 31)] + [backend(n, started_ns=harness.now) for n in range(31, 61)]
        )
        for _ in range(60):  # two requests per second of two units each, so 4 units per second are completed
            harness.policy.parts.limit.completed_per_s = 4.0
            harness.tick(after=SECOND // 2)
            request_id, actions = harness.submit(class_index=1, units=2.0)
            sent, sent_to_warming = sent + 1, sent_to_warming + sum(b > 30 for b in forwarded_to(actions))
            harness.finish_attempt(
                request_id, 0, forwarded_to(actions)[0], AttemptResult.OK, after=0, latency=50 * MS
            )
    share = 15 / 45  # the share of warming endpoints in the whole capacity
    assert 0.6 * share < sent_to_warming / sent <= 1.1 * share


def test_a_refused_connection_diverts_every_class_and_uses_no_retry_budget():
    harness = gateway(backends=4, plans=[CustomerPlan("p", rate=1e6, burst=1e6)], max_attempts=4)
    harness.policy.parts.admission.retry_budget, refused_by = 0.0, set()
    request_id, actions = harness.submit(class_index=0)
    for attempt in range(3):  # three of four refuse connections; the retry budget is empty
        refused_by.add(forwarded_to(actions)[0])
        actions = harness.finish_attempt(
            request_id, attempt, forwarded_to(actions)[0], AttemptResult.CONNECT_FAILED, latency=0
        )
    last = forwarded_to(actions)[0]
    assert len(refused_by) == 3 and last not in refused_by
    harness.finish_attempt(request_id, 3, last, AttemptResult.OK)
    assert {forwarded_to(harness.submit(class_index=1 + k % 2)[1])[0] for k in range(12)} == {last}


def test_a_refused_connection_reported_by_a_peer_counts_for_every_class():
    harness = gateway(backends=2, plans=[CustomerPlan("p", rate=1e6, burst=1e6)])
    endpoint_hash = harness.policy.parts.endpoints.by_id[1].hash
    for _ in range(4):
        harness.feed(
            GossipReceived(
                3,
                1,
                [],
                [],
                [ErrorSample(endpoint_hash, ANY_CLASS, 1.0), ErrorSample(endpoint_hash, ANY_CLASS - 1, 1.0)],
            )
        )
    assert {forwarded_to(harness.submit(class_index=k % 3)[1])[0] for k in range(12)} == {2}


def test_estimates_of_peers_do_not_end_the_learning_of_the_unloaded_latency():
    harness = gateway()
    for _ in range(200):
        harness.feed(GossipReceived(3, 1, [], harness.policy.parts.estimates.own_values()))
    assert (
        harness.policy.parts.latency.unloaded_unit_ns == [float("inf")] * 3
        and harness.policy.parts.latency.samples == [0] * 3
    )


def test_a_plan_with_a_ceiling_is_served_at_the_start_without_messages_of_peers():
    plan = CustomerPlan(
        "plus",
        rate=7.0,
        burst=24.0,
        over_quota_cost=1.0,
        ceiling_rate=12.0,
        ceiling_burst=39.0,
        ceiling_slack=6.0,
    )
    admitted = 0.0
    for index in range(3):  # the whole set of the customer
        harness = gateway(gateway_index=index, seed=index, plans=[plan], max_request_units=6.0)
        admitted += sum(
            len(forwarded_to(harness.submit(class_index=1, units=1.0, spread=3)[1])) for _ in range(30)
        )
    assert 6 <= admitted <= 39.0 - 24.0 + 6.0  # use before a restart was at most the burst of the quota


def test_a_warming_endpoint_gets_its_share_among_many_warm_ones():
    overrides = {
        "slow_start_share": 0.5,
        "slow_start_ns": 1000 * SECOND,
        "slow_start_overload_multiple": 4.0,
        "slow_start_window_ns": SECOND,
    }
    harness = gateway(backends=0, plans=[CustomerPlan("p", rate=1e6, burst=1e6)], **overrides)
    harness.update_endpoints([backend(n) for n in range(1, 31)] + [backend(99, started_ns=harness.now)])
    sent_to_warming = 0
    for _ in range(600):  # 3 per second on 30 warm endpoints: about 0.06 are for the warming one
        harness.policy.parts.limit.completed_per_s, harness.policy.parts.capacity.healthy_endpoints = (
            3.0,
            30.5,
        )
        request_id, actions = harness.submit(class_index=1, after=SECOND // 3)
        sent_to_warming += forwarded_to(actions).count(99)
        harness.finish_attempt(
            request_id, 0, forwarded_to(actions)[0], AttemptResult.OK, after=0, latency=50 * MS
        )
    assert 5 <= sent_to_warming <= 30


def test_the_latency_ratio_of_an_endpoint_decays_after_a_late_answer():
    harness = gateway(plans=[CustomerPlan("p", rate=1e6, burst=1e6)])
    harness.policy.parts.endpoints.track(harness.policy.parts.endpoints.by_id[1]).latency_ratio = 5.0
    for _ in range(40):
        harness.tick(after=SECOND)
    assert harness.policy.parts.endpoints.by_id[1].latency_ratio < 1.1


def test_error_samples_of_peers_add_up_and_good_ones_outweigh_a_bad_path():
    harness = gateway()
    bad, good = ErrorSample(endpoint_hash(1), 1, 1.0), ErrorSample(endpoint_hash(1), 1, 0.0)
    for peer in range(3, 9):
        harness.feed(GossipReceived(peer, 5, [], [], [bad]))
    assert harness.policy.parts.endpoints.by_id[1].error_scores[1] > 0.7
    for _ in range(10):  # one gateway can't reach the endpoint, nine can
        harness.feed(GossipReceived(3, 5, [], [], [bad]))
        for peer in range(4, 13):
            harness.feed(GossipReceived(peer, 5, [], [], [good]))
    assert harness.policy.parts.endpoints.by_id[1].error_scores[1] < 0.1


def test_good_and_bad_samples_are_reported_while_they_are_recent():
    harness = gateway(plans=[CustomerPlan("p", rate=1e6, burst=1e6)])
    relay = actions_of_type(harness.submit(spread=GATEWAY_COUNT)[1], SendGossip)[0].peer
    for k in range(4):
        request_id, actions = harness.submit(class_index=1, customer=1)
        result = AttemptResult.ERROR if k == 3 else AttemptResult.OK
        harness.finish_attempt(request_id, 0, forwarded_to(actions)[0], result, latency=40 * MS)
    samples = actions_of_type(harness.submit(spread=GATEWAY_COUNT)[1], SendGossip)[0].error_samples
    assert relay >= 0 and len(samples) == 4 and [d.error == 1.0 for d in samples] == [False] * 3 + [True]
    for _ in range(5):
        harness.tick(after=SECOND)
    assert not actions_of_type(harness.submit(spread=GATEWAY_COUNT)[1], SendGossip)[0].error_samples


def test_an_outlier_counts_as_healthy_only_for_the_classes_that_it_serves():
    harness = gateway(plans=[CustomerPlan("p", rate=1e6, burst=1e6)])
    for group, units in zip(harness.policy.parts.budget.groups, (30.0, 10.0), strict=False):
        group.sent_units = units  # three of four units are in the first class
    for peer in range(3, 9):
        bad = [ErrorSample(endpoint_hash(n), 0, 1.0) for n in (1, 2)] + [
            ErrorSample(endpoint_hash(3), 1, 1.0)
        ]
        harness.feed(GossipReceived(peer, 5, [], [], bad))
    harness.tick(after=MS)
    assert abs(harness.policy.parts.capacity.healthy_endpoints - (8 - 2 * 0.75 - 0.25)) < 0.01
    for peer in range(3, 9):  # errors at all endpoints raise the baseline
        harness.feed(
            GossipReceived(peer, 5, [], [], [ErrorSample(endpoint_hash(n), 0, 1.0) for n in range(1, 9)])
        )
    harness.tick(after=MS)
    assert harness.policy.parts.capacity.healthy_endpoints > 7.7
