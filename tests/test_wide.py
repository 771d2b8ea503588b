"""Large sets of gateways: relays, the fleet's figures, doubts, cold backends."""

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
WIDE = 40


def sends(actions):
    return [a.endpoint for a in actions_of_type(actions, ForwardRequest)]


def gateway(me=0, seed=1, backends=8, **over):
    over = {"plans": [PLAN], "gateway_count": WIDE, "gateway_index": me} | over
    return PolicyHarness(over, backends=backends, seed=seed)


def asked(g, **more):
    rid, acts = g.submit(spread=WIDE, **more)
    return rid, acts, actions_of_type(acts, SendGossip)


def relay_of(customer=7):
    return asked(gateway(me=1), customer=customer)[2][0].peer


def pass_on(told, sender, to):
    return to.feed(GossipReceived(sender, told.incarnation, told.usages, told.estimates, told.error_samples))


def test_a_wide_set_asks_one_relay_and_waits():
    g = gateway()
    rid, acts, told = asked(g)
    assert not sends(acts) and len(told) == 1 and told[0].usages[0].requested_units == 1.0
    assert all(asked(gateway(me=m))[2][0].peer == told[0].peer for m in range(1, 5))


def test_what_a_relay_grants_two_get_once():
    relay = gateway(me=relay_of())
    peers = [gateway(me=m, seed=m) for m in range(WIDE) if m != relay.policy.settings.gateway_index][:12]
    taken = 0.0
    for g in peers:
        rid, _, told = asked(g, units=4.0)
        answer = actions_of_type(pass_on(told[0], g.policy.settings.gateway_index, relay), SendGossip)[0]
        assert answer.peer == g.policy.settings.gateway_index and answer.usages[0].is_answer
        taken += 4.0 * len(sends(pass_on(answer, relay.policy.settings.gateway_index, g)))
    assert taken == 12.0


def test_an_ask_without_answer_is_sent_again_then_the_even_part_decides():
    g = gateway()
    rid, acts, _ = asked(g)
    timer = next(t for t in actions_of_type(acts, SetTimer) if t.at_ns < g.now + SECOND)
    acts = g.feed(TimerFired(timer.token), after=100 * MS)
    assert len(actions_of_type(acts, SendGossip)) == 1 and not sends(acts)
    assert len(sends(g.feed(TimerFired(timer.token), after=100 * MS))) == 1
    let_in = sum(len(sends(asked(g, units=4.0)[1])) for _ in range(20))
    assert let_in <= 1  # the relay counts as silent: no more than the largest request


def test_an_overloaded_relay_does_not_open_the_quota():
    g = gateway()
    rid, acts, told = asked(g, units=4.0)
    no = CustomerUsage(7, 0, 0.0, 0.5, 0, -4.0, told[0].usages[0].query_id, True)
    assert actions_of_type(g.feed(GossipReceived(told[0].peer, 5, [no])), RejectRequest)
    sent = 0
    for _ in range(10):  # none of these is answered
        rid, acts, _ = asked(g, units=4.0, after=200 * MS)
        sent += len(sends(acts))
        for timer in actions_of_type(acts, SetTimer):
            if timer.at_ns < g.now + SECOND:
                sent += len(sends(g.feed(TimerFired(timer.token)))) + len(
                    sends(g.feed(TimerFired(timer.token)))
                )
    assert sent == 0


def test_a_total_on_its_way_beside_a_grant_gives_nothing_back():
    relay = gateway(me=relay_of())
    for mark in (1, 2):  # both were sent before the first answer came
        relay.feed(GossipReceived(1, 5, [CustomerUsage(7, 0, 0.0, 12.0, 0, 4.0, mark)]), after=MS)
    assert 3.9 < relay.policy.parts.ledger.customers[7].level < 4.1
    relay.feed(GossipReceived(1, 5, [CustomerUsage(7, 0, 0.0, 12.0, 0, 4.0, 2)]), after=MS)  # asked again
    assert 3.9 < relay.policy.parts.ledger.customers[7].level < 4.1


def test_messages_of_a_request_do_not_grow_with_the_gateways():
    for gateways in (40, 400):
        g = gateway(gateway_count=gateways)
        _, acts = g.submit(spread=gateways)
        more = g.tick() + g.tick(after=2 * SECOND) + g.feed(TimerFired(3))
        assert len(actions_of_type(acts, SendGossip)) + len(actions_of_type(more, SendGossip)) <= 2


def test_figures_of_the_fleet_meet_in_the_middle():
    g, told = gateway(), [3.0, 1.0, 2.0, 1.0, 8.0, 4.0, 0.6, 0.2, 0.0, 0.1, 0.1, 0.1]
    g.feed(GossipReceived(3, 5, [], told))
    assert (
        g.policy.parts.limit.answer_lateness,
        g.policy.parts.limit.answers,
        g.policy.parts.limit.units_in_flight,
        g.policy.parts.limit.completed_per_s,
    ) == (1.5, 0.5, 4.0, 2.0)
    assert (g.policy.parts.limit.timeout_lateness, g.policy.parts.limit.timeouts) == (
        1.0,
        0.5,
    ) and g.policy.parts.detector.connection_errors[:2] == [0.3, 0.1]
    for bad in ([float("nan")] * 12, [float("inf")] * 12, [-1.0] * 12, [1.0], []):
        g.feed(GossipReceived(3, 5, [], bad))
    assert g.policy.parts.limit.answer_lateness == 1.5


def name(number):
    return number * 2654435761 % 2**32 >> 16


def test_a_doubt_told_by_a_peer_moves_one_class_only():
    g = gateway(plans=[CustomerPlan("p", rate=1000.0, burst=2000.0)])
    told = [ErrorSample(name(1), 1, 0.9), ErrorSample(999999, 1, 0.9), ErrorSample(name(1), 99, 0.9)]
    g.feed(GossipReceived(3, 5, [], [], told))
    g.tick(after=MS)
    # one gateway's word is not enough
    assert 1 in [b for _ in range(60) for b in sends(g.submit(class_index=1)[1])]
    for peer in (4, 5):
        g.feed(GossipReceived(peer, 5, [], [], told))
    g.tick(after=MS)
    assert 1 not in [b for _ in range(60) for b in sends(g.submit(class_index=1)[1])]
    assert 1 in [b for _ in range(60) for b in sends(g.submit(class_index=0)[1])]


def test_a_doubt_of_most_of_the_fleet_is_not_believed():
    g = gateway(plans=[CustomerPlan("p", rate=1000.0, burst=2000.0)])
    for peer in (3, 4, 5):
        g.feed(GossipReceived(peer, 5, [], [], [ErrorSample(name(n), 1, 0.8) for n in range(1, 8)]))
    g.tick(after=MS)
    where = [b for _ in range(60) for b in sends(g.submit(class_index=1)[1])]
    assert len(set(where)) == 8


def test_a_doubt_fades():
    g = gateway(plans=[CustomerPlan("p", rate=1000.0, burst=2000.0)])
    for peer in (3, 4, 5):
        g.feed(GossipReceived(peer, 5, [], [], [ErrorSample(name(1), 1, 0.9)]))
    for _ in range(40):
        g.tick(after=SECOND)
    assert 1 in [b for _ in range(60) for b in sends(g.submit(class_index=1)[1])]


def test_full_for_one_plan_is_no_pressure_and_no_doubt_for_the_rest():
    plans = [CustomerPlan(n, rate=1000.0, burst=2000.0) for n in ("a", "b")]
    g = PolicyHarness({"plans": plans, "max_attempts": 1}, backends=4)
    for _ in range(60):
        rid, acts = g.submit(class_index=1, plan=0, customer=1)
        full = sends(acts) and sends(acts)[0] == 1
        g.finish_attempt(
            rid, 0, sends(acts)[0], AttemptResult.REJECTED if full else AttemptResult.OK, latency=20 * MS
        )
        g.tick(after=0)
    assert g.policy.parts.limit.limit == float("inf")
    rest = [g.submit(class_index=1, plan=1, customer=2) for _ in range(40)]
    assert 1 in [b for _, acts in rest for b in sends(acts)]


def test_two_hundred_gateways_do_not_push_a_cold_backend_over():
    over = {
        "slow_start_share": 0.05,
        "slow_start_ns": 100 * SECOND,
        "slow_start_overload_multiple": 2.0,
        "slow_start_window_ns": SECOND,
    }
    fleet = [gateway(gateway_index=m, seed=m, backends=0, gateway_count=200, **over) for m in range(200)]
    for g in fleet:
        g.update_endpoints([backend(1), backend(2), backend(3, started_ns=g.now)])
    rate, seconds = 133.0, [0.0] * 5  # units that a warm one is seen to do in a second
    for step in range(50):
        for g in fleet[step % 10 :: 10]:
            g.policy.parts.limit.completed_per_s, g.policy.parts.capacity.healthy_endpoints = (
                2 * rate / 200,
                2,
            )
            rid, acts = g.submit(
                class_index=1, units=2.0, after=SECOND if step >= 10 else (1 + step) * 100 * MS
            )
            seconds[step // 10] += 2.0 * sends(acts).count(3)
            if sends(acts):
                g.finish_attempt(rid, 0, sends(acts)[0], AttemptResult.OK, after=0, latency=50 * MS)
    assert sum(seconds) > 0 and max(seconds) <= 2.0 * 0.1 * rate


def answer(g, told, level, granted):
    """The relay's word on what was asked."""
    s = told.usages[0]
    want = s.requested_units if granted else -s.requested_units
    return g.feed(
        GossipReceived(told.peer, 1, [CustomerUsage(s.customer, 0, 0.0, level, 0, want, s.query_id, True)])
    )


def test_a_customer_whose_store_is_bare_is_not_asked_for_at_each_try():
    asks = let_in = 0
    for me in range(WIDE):  # the whole set, each with ten tries in a second, of a customer that all serve
        g = gateway(me=me, seed=me)
        if me == relay_of():
            continue
        for _ in range(10):
            g.now += 100 * MS
            _, acts, told = asked(g, units=2.0)
            asks += len(told)
            if told:
                let_in += len(sends(answer(g, told[0], 0.0, False)))
    assert let_in == 0 and asks <= 1.5 * WIDE  # a relay takes in 60 a second, of all customers


def test_no_relay_is_asked_where_the_budgets_draw_refuses():
    g = gateway()
    for row in g.policy.parts.budget.inside_quota:
        for leaf in row:
            leaf.admission_rate = 0.0
    _, acts, told = asked(g)
    assert not told and len(actions_of_type(acts, RejectRequest)) == 1


def test_another_relay_stands_in_for_a_silent_one_and_one_that_was_heard_is_not_silent():
    g = gateway()

    def unanswered():
        _, acts, told = asked(g)
        for _ in range(2):
            timer = next(t for t in actions_of_type(acts, SetTimer) if t.at_ns < g.now + SECOND)
            acts = g.feed(TimerFired(timer.token), after=100 * MS)
        return told[0].peer

    first = unanswered()
    second = asked(g)[2][0].peer
    assert second == (first + 1) % WIDE  # the next of its set, for every gateway alike
    other = gateway()
    other.feed(GossipReceived(first, 1, []))  # its words are lost now and then, but it lives
    g = other
    assert unanswered() == first == asked(g)[2][0].peer


def test_what_many_cold_backends_can_do_is_used_by_gateways_that_send_little():
    over = {
        "slow_start_share": 0.5,
        "slow_start_ns": 10**6 * SECOND,
        "slow_start_overload_multiple": 2.0,
        "slow_start_window_ns": 3 * SECOND,
        "plans": [CustomerPlan("p", rate=1e6, burst=1e6)],
    }
    got = sent = 0
    for me in range(WIDE):
        g = gateway(me=me, seed=me, backends=0, **over)
        g.update_endpoints(
            [backend(n) for n in range(1, 31)] + [backend(n, started_ns=g.now) for n in range(31, 61)]
        )
        for _ in range(60):  # two a second, of two units: as much as half a second of the whole fleet's
            g.policy.parts.limit.completed_per_s = 4.0
            g.tick(after=SECOND // 2)
            rid, acts = g.submit(class_index=1, units=2.0)
            sent, got = sent + 1, got + sum(b > 30 for b in sends(acts))
            g.finish_attempt(rid, 0, sends(acts)[0], AttemptResult.OK, after=0, latency=50 * MS)
    due = 15 / 45  # by what they can do
    assert 0.6 * due < got / sent <= 1.1 * due


def test_one_refused_connection_turns_every_class_away_and_costs_no_credit():
    g = gateway(backends=4, plans=[CustomerPlan("p", rate=1e6, burst=1e6)], max_attempts=4)
    g.policy.parts.admission.retry_budget, seen = 0.0, set()
    rid, acts = g.submit(class_index=0)
    for attempt in range(3):  # three of four don't listen any more, and no further attempt was earned
        seen.add(sends(acts)[0])
        acts = g.finish_attempt(rid, attempt, sends(acts)[0], AttemptResult.CONNECT_FAILED, latency=0)
    last = sends(acts)[0]
    assert len(seen) == 3 and last not in seen
    g.finish_attempt(rid, 3, last, AttemptResult.OK)
    assert {sends(g.submit(class_index=1 + k % 2)[1])[0] for k in range(12)} == {last}


def test_a_peers_word_of_a_refused_connection_counts_for_every_class():
    g = gateway(backends=2, plans=[CustomerPlan("p", rate=1e6, burst=1e6)])
    name = g.policy.parts.endpoints.by_id[1].hash
    for _ in range(4):
        g.feed(
            GossipReceived(
                3, 1, [], [], [ErrorSample(name, ANY_CLASS, 1.0), ErrorSample(name, ANY_CLASS - 1, 1.0)]
            )
        )
    assert {sends(g.submit(class_index=k % 3)[1])[0] for k in range(12)} == {2}


def test_words_of_peers_do_not_end_the_learning_of_the_calm_time():
    g = gateway()
    for _ in range(200):
        g.feed(GossipReceived(3, 1, [], g.policy.parts.estimates.own_values()))
    assert (
        g.policy.parts.latency.unloaded_unit_ns == [float("inf")] * 3
        and g.policy.parts.latency.samples == [0] * 3
    )


def test_a_plan_with_a_ceiling_is_served_at_the_start_of_a_tier_that_nobody_hears():
    plan = CustomerPlan(
        "plus",
        rate=7.0,
        burst=24.0,
        over_quota_cost=1.0,
        ceiling_rate=12.0,
        ceiling_burst=39.0,
        ceiling_slack=6.0,
    )
    let_in = 0.0
    for me in range(3):  # all of the customer's set
        g = gateway(gateway_index=me, seed=me, plans=[plan], max_request_units=6.0)
        let_in += sum(len(sends(g.submit(class_index=1, units=1.0, spread=3)[1])) for _ in range(30))
    assert 6 <= let_in <= 39.0 - 24.0 + 6.0  # what was sent before a restart held the quota, at most


def test_a_cold_backend_gets_its_part_among_many_warm_ones():
    over = {
        "slow_start_share": 0.5,
        "slow_start_ns": 1000 * SECOND,
        "slow_start_overload_multiple": 4.0,
        "slow_start_window_ns": SECOND,
    }
    g = gateway(backends=0, plans=[CustomerPlan("p", rate=1e6, burst=1e6)], **over)
    g.update_endpoints([backend(n) for n in range(1, 31)] + [backend(99, started_ns=g.now)])
    got = 0
    for _ in range(600):  # 3 a second on 30 warm ones: a cold one is due about 0.06 of them
        g.policy.parts.limit.completed_per_s, g.policy.parts.capacity.healthy_endpoints = 3.0, 30.5
        rid, acts = g.submit(class_index=1, after=SECOND // 3)
        got += sends(acts).count(99)
        g.finish_attempt(rid, 0, sends(acts)[0], AttemptResult.OK, after=0, latency=50 * MS)
    assert 5 <= got <= 30


def test_one_late_answer_does_not_keep_a_backend_out_for_good():
    g = gateway(plans=[CustomerPlan("p", rate=1e6, burst=1e6)])
    g.policy.parts.endpoints.track(g.policy.parts.endpoints.by_id[1]).latency_ratio = 5.0
    for _ in range(40):
        g.tick(after=SECOND)
    assert g.policy.parts.endpoints.by_id[1].latency_ratio < 1.1


def test_many_words_add_up_and_good_ones_outvote_a_bad_path():
    g = gateway()
    bad, good = ErrorSample(name(1), 1, 1.0), ErrorSample(name(1), 1, 0.0)
    for peer in range(3, 9):
        g.feed(GossipReceived(peer, 5, [], [], [bad]))
    assert g.policy.parts.endpoints.by_id[1].error_scores[1] > 0.7
    for _ in range(10):  # one gateway can't reach it, nine can
        g.feed(GossipReceived(3, 5, [], [], [bad]))
        for peer in range(4, 13):
            g.feed(GossipReceived(peer, 5, [], [], [good]))
    assert g.policy.parts.endpoints.by_id[1].error_scores[1] < 0.1


def test_own_samples_are_told_good_or_bad_and_not_for_long():
    g = gateway(plans=[CustomerPlan("p", rate=1e6, burst=1e6)])
    relay = actions_of_type(g.submit(spread=WIDE)[1], SendGossip)[0].peer
    for k in range(4):
        rid, acts = g.submit(class_index=1, customer=1)
        result = AttemptResult.ERROR if k == 3 else AttemptResult.OK
        g.finish_attempt(rid, 0, sends(acts)[0], result, latency=40 * MS)
    doubts = actions_of_type(g.submit(spread=WIDE)[1], SendGossip)[0].error_samples
    assert relay >= 0 and len(doubts) == 4 and [d.error == 1.0 for d in doubts] == [False] * 3 + [True]
    for _ in range(5):
        g.tick(after=SECOND)
    assert not actions_of_type(g.submit(spread=WIDE)[1], SendGossip)[0].error_samples


def test_backends_that_are_doubted_do_not_count_in_the_budget():
    g = gateway(plans=[CustomerPlan("p", rate=1e6, burst=1e6)])
    for leaf, units in zip(g.policy.parts.budget.groups, (30.0, 10.0), strict=False):
        leaf.sent_units = units  # three of four units are of the first class
    for peer in range(3, 9):
        bad = [ErrorSample(name(n), 0, 1.0) for n in (1, 2)] + [ErrorSample(name(3), 1, 1.0)]
        g.feed(GossipReceived(peer, 5, [], [], bad))
    g.tick(after=MS)
    assert abs(g.policy.parts.capacity.healthy_endpoints - (8 - 2 * 0.75 - 0.25)) < 0.01
    for peer in range(3, 9):  # when all look bad, none is believed to be
        g.feed(GossipReceived(peer, 5, [], [], [ErrorSample(name(n), 0, 1.0) for n in range(1, 9)]))
    g.tick(after=MS)
    assert g.policy.parts.capacity.healthy_endpoints > 7.7
