from conftest import MS, SECOND, PolicyHarness, actions_of_type

from zincstile.decisions.messages import (
    AttemptResult,
    CustomerUsage,
    ForwardRequest,
    GossipReceived,
    RejectRequest,
    SendGossip,
    TimerFired,
)
from zincstile.decisions.settings import CustomerPlan

PLAN = CustomerPlan("p", rate=2.0, burst=12.0)


def taken(g, count, units=2.0, spread=3, cls=0):
    total = 0.0
    for _ in range(count):
        rid, acts = g.submit(class_index=cls, units=units, spread=spread)
        sent = actions_of_type(acts, ForwardRequest)
        if sent:
            total += units
            g.finish_attempt(rid, 0, sent[0].endpoint, AttemptResult.OK, after=0, latency=10 * MS)
    return total


def gateway(**over):
    return PolicyHarness({"plans": [PLAN], "gateway_count": 3, **over}, backends=8)


def hear(g, shares=(), sender=1, start=5, after=0):
    return g.feed(GossipReceived(sender, start, list(shares)), after)


def test_unheard_peers_leave_the_even_part():
    assert 2.0 <= taken(gateway(), 40) <= 12.0 / 3 + 2.0


def test_heard_peers_give_the_whole_store():
    g = gateway()
    hear(g)
    assert taken(g, 1) == 2.0
    g.tick()
    g.feed(TimerFired(3), after=100 * MS)
    assert taken(g, 40) >= 2.0
    hear(g)
    assert taken(g, 1, units=4.0) in (0.0, 4.0)


def test_a_bare_store_is_not_given_out_by_all_gateways_at_once():
    """Each of three that see units for one request sends it in a third of the cases, if peers use it too."""
    g = gateway()
    hear(g, [CustomerUsage(k, 0, 0.0, 6.5, 0) for k in range(300)])
    hear(g, [CustomerUsage(k, 0, 4.0, 2.5, 0) for k in range(300)], after=MS)
    sent = [
        k for k in range(300) if actions_of_type(g.submit(customer=k, units=2.0, spread=3)[1], ForwardRequest)
    ]
    assert 75 <= len(sent) <= 165


def test_who_alone_uses_a_customer_s_quota_is_not_drawn_for():
    g = gateway()
    hear(g, [CustomerUsage(k, 0, 0.0, 4.5, 0) for k in range(50)])
    assert all(
        actions_of_type(g.submit(customer=k, units=4.0, spread=3)[1], ForwardRequest) for k in range(50)
    )


def test_what_peers_send_and_have_not_told_yet_is_left_to_them():
    """They sent 40 of 45 units lately; of the 5 left, so much may be gone by now that 4 are too many."""
    g = gateway(plans=[CustomerPlan("p", rate=2.0, burst=45.0)])
    hear(g, [CustomerUsage(k, 0, 0.0, 45.0, 0) for k in range(100)])
    hear(g, [CustomerUsage(k, 0, 40.0, 5.0, 0) for k in range(100)], after=MS)
    assert not [
        k for k in range(100) if actions_of_type(g.submit(customer=k, units=4.0, spread=3)[1], ForwardRequest)
    ]
    assert [
        k for k in range(100) if actions_of_type(g.submit(customer=k, units=1.0, spread=3)[1], ForwardRequest)
    ]


def test_sends_of_peers_leave_the_store():
    g = gateway()
    hear(g, [CustomerUsage(7, 0, 0.0, 12.0, 0)])
    hear(g, [CustomerUsage(7, 0, 11.0, 1.0, 0)], after=20 * MS)
    assert taken(g, 5) == 0.0


def test_a_lost_message_is_made_good_by_the_next():
    g = gateway()
    hear(g, [CustomerUsage(7, 0, 0.0, 12.0, 0)])
    hear(g, [CustomerUsage(7, 0, 10.0, 2.0, 0)], after=20 * MS)
    hear(g, [CustomerUsage(7, 0, 10.0, 2.0, 0)], after=20 * MS)
    assert 1.9 < g.policy.parts.ledger.customers[7].level < 2.2


def test_a_peer_that_starts_again_is_told_and_not_counted_twice():
    g = gateway()
    hear(g, [CustomerUsage(7, 0, 0.0, 12.0, 0)])
    assert taken(g, 1) == 2.0
    told = actions_of_type(hear(g, [], start=6, after=MS), SendGossip)
    assert [s.customer for t in told for s in t.usages] == [7]
    level = g.policy.parts.ledger.customers[7].level
    hear(g, [CustomerUsage(7, 0, 1.0, 11.0, 0)], start=6)
    assert abs(g.policy.parts.ledger.customers[7].level - level) < 0.1


def test_silence_brings_the_even_part_back():
    g = gateway()
    hear(g, [CustomerUsage(7, 0, 0.0, 12.0, 0)])
    taken(g, 1)
    g.now += 5 * SECOND
    assert taken(g, 40) <= 12.0 / 3 + 2.0


def test_true_units_are_settled_and_told():
    g = gateway(settles_actual_units=True)
    hear(g)
    rid, acts = g.submit(units=2.0, spread=3)
    before = g.policy.parts.ledger.customers[7].level
    g.finish_attempt(
        rid,
        0,
        actions_of_type(acts, ForwardRequest)[0].endpoint,
        AttemptResult.OK,
        after=0,
        latency=10 * MS,
        units=5.0,
    )
    assert abs(before - 3.0 - g.policy.parts.ledger.customers[7].level) < 1e-9
    told = actions_of_type(g.feed(TimerFired(3), after=100 * MS), SendGossip)
    assert told[0].usages[0].total == 5.0


def test_open_limit_counts_the_peers_attempts():
    plan = CustomerPlan("o", max_in_flight=2)
    g = PolicyHarness({"plans": [plan], "gateway_count": 3}, backends=4)
    hear(g, [CustomerUsage(7, 0, 0.0, 0.0, 1)])
    assert actions_of_type(g.submit(spread=3)[1], ForwardRequest)
    assert not actions_of_type(g.submit(spread=3)[1], ForwardRequest)
    hear(g, [CustomerUsage(7, 0, 0.0, 0.0, 0)], after=MS)
    assert actions_of_type(g.submit(spread=3)[1], ForwardRequest)


def under_a_ceiling():
    """Two gateways have a ceiling that lets each send 2 a second in even parts; the quota would let 4."""
    plan = CustomerPlan("c", rate=4.0, burst=8.0, ceiling_rate=4.0, ceiling_burst=8.0)
    g = PolicyHarness({"plans": [plan], "gateway_count": 2}, backends=8)
    g.now += 10 * SECOND  # the ceiling has filled since the start
    return g


def test_the_ceiling_is_parted_by_recent_use_while_all_peers_are_heard():
    for heard, least, most in ((True, 26.0, 44.0), (False, 16.0, 24.0)):
        g, sent = under_a_ceiling(), 0.0
        for k in range(8 * 10):
            if heard:
                hear(g, [CustomerUsage(7, 0, 0.0, 8.0, 0)])
            g.now += 100 * MS
            sent += taken(g, 1, units=1.0, spread=2)
            if k % 10 == 9:
                g.tick(after=0)
                g.feed(TimerFired(3))
        assert least <= sent <= most, (heard, sent)


def test_the_ceiling_is_empty_at_the_start_unless_all_peers_were_quiet():
    plan = CustomerPlan("c", rate=2.0, burst=60.0, ceiling_rate=2.0, ceiling_burst=60.0)
    for senders, shares, least, most in (
        ((1, 2), [], 18.0, 60.0),
        ((1,), [], 0.0, 4.0),
        ((1, 2), [CustomerUsage(8, 0, 1.0, 60.0, 0)], 0.0, 4.0),
    ):
        g = PolicyHarness({"plans": [plan], "gateway_count": 3}, backends=8)
        for sender in senders:
            told = actions_of_type(hear(g, shares, sender=sender, after=10 * MS), SendGossip)
            assert sender in [t.peer for t in told]  # so that it hears of this one too
        g.now += 300 * MS
        assert least <= taken(g, 30, units=1.0) <= most


def test_parts_of_the_ceiling_sum_up_to_one():
    one, other = under_a_ceiling(), under_a_ceiling()
    for g in (one, other):
        hear(g, [CustomerUsage(7, 0, 0.0, 8.0, 0)])
    sent = taken(one, 3, units=1.0, spread=2)
    assert sent == 3.0
    hear(other, [CustomerUsage(7, 0, sent, 8.0 - sent, 0)], after=MS)
    taken(other, 0)
    parts = []
    for g in (one, other):
        c = g.policy.parts.ledger.customers[7]
        c.gateway_set_size, c.peers = 2, [1]
        parts.append(g.policy.parts.ledger.ceiling_part(g.now, c, g.policy.settings.plans[0]))
    assert parts[0] > 0.6 and abs(sum(parts) - 1) < 0.05


def test_beyond_the_quota_only_where_it_earns():
    for over_quota_weight, cost, sent in ((0.0, 0.5, False), (0.3, 0.0, True), (0.3, 0.3, False)):
        plan = CustomerPlan(
            "p", rate=0.001, burst=2.0, over_quota_weight=over_quota_weight, over_quota_cost=cost
        )
        g = PolicyHarness({"plans": [plan]}, backends=4)
        assert actions_of_type(g.submit(units=2.0)[1], ForwardRequest)
        assert bool(actions_of_type(g.submit(units=2.0)[1], ForwardRequest)) is sent


def test_a_refusal_says_when_the_store_has_filled():
    for over in ({}, {"retry_after": False}):
        plan = CustomerPlan("p", rate=20.0, burst=4.0)
        g = PolicyHarness({"plans": [plan], **over}, backends=4)
        assert actions_of_type(g.submit(units=4.0)[1], ForwardRequest)
        refused = actions_of_type(g.submit(units=2.0)[1], RejectRequest)
        assert [r.retry_after_ns for r in refused] == [100 * MS]  # two units at twenty a second
        refused = actions_of_type(g.submit(units=4.0, after=20 * MS)[1], RejectRequest)
        assert [r.retry_after_ns for r in refused] == [180 * MS]
        assert actions_of_type(g.submit(units=3.6, after=180 * MS)[1], ForwardRequest)


def test_a_customer_is_forgotten_once_its_store_is_full():
    """What was spent comes back by 2 units a second, or their third: 2 are back after 15 s, 100 are not."""
    for units, left in ((2.0, False), (100.0, True)):
        g = gateway(plans=[CustomerPlan("p", rate=2.0, burst=120.0)])
        hear(g, [CustomerUsage(7, 0, 0.0, 120.0, 0)])
        hear(g, [CustomerUsage(7, 0, units, 120.0 - units, 0)], after=MS)
        g.tick(after=10 * SECOND)
        assert 7 in g.policy.parts.ledger.customers
        g.tick(after=7 * SECOND)
        assert (7 in g.policy.parts.ledger.customers) is left
        g.tick(after=150 * SECOND)
        assert 7 not in g.policy.parts.ledger.customers


def test_parts_of_the_ceiling_are_even_where_more_than_the_quota_is_let_in():
    """Guards the ceiling while words travel: beyond the quota nothing else holds what all send together."""
    for over_quota_weight, least, most in ((0.0, 0.6, 1.0), (0.5, 0.5, 0.5)):
        plan = CustomerPlan(
            "c",
            rate=4.0,
            burst=8.0,
            over_quota_weight=over_quota_weight,
            over_quota_cost=0.1,
            ceiling_rate=8.0,
            ceiling_burst=16.0,
        )
        g = PolicyHarness({"plans": [plan], "gateway_count": 2}, backends=8)
        g.now += 10 * SECOND
        hear(g, [CustomerUsage(7, 0, 0.0, 8.0, 0)])
        taken(g, 3, units=1.0, spread=2)
        assert (
            least
            <= g.policy.parts.ledger.ceiling_part(g.now, g.policy.parts.ledger.customers[7], plan)
            <= most
        )
