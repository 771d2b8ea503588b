import pytest
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
from zincstile.decisions.quotas import MAX_ESTABLISHED_CUSTOMERS, MAX_NEW_CUSTOMERS
from zincstile.decisions.settings import CustomerPlan

PLAN = CustomerPlan("p", rate=2.0, burst=12.0)


def send_requests(harness, count, units=2.0, spread=3, class_index=0):
    total = 0.0
    for _ in range(count):
        request_id, actions = harness.submit(class_index=class_index, units=units, spread=spread)
        sent = actions_of_type(actions, ForwardRequest)
        if sent:
            total += units
            harness.finish_attempt(
                request_id, 0, sent[0].endpoint, AttemptResult.OK, after=0, latency=10 * MS
            )
    return total


def gateway(**overrides):
    return PolicyHarness({"plans": [PLAN], "gateway_count": 3, **overrides}, backends=8)


def receive_gossip(harness, usages=(), sender=1, incarnation=5, after=0):
    return harness.feed(GossipReceived(sender, incarnation, list(usages)), after)


def test_without_messages_of_peers_only_the_even_share_is_sent():
    assert 2.0 <= send_requests(gateway(), 40) <= 12.0 / 3 + 2.0


def test_with_reachable_peers_the_whole_bucket_is_available():
    harness = gateway()
    receive_gossip(harness)
    assert send_requests(harness, 1) == 2.0
    harness.tick()
    harness.feed(TimerFired(3), after=100 * MS)
    assert send_requests(harness, 40) >= 2.0
    receive_gossip(harness)
    assert send_requests(harness, 1, units=4.0) in (0.0, 4.0)


def test_units_for_one_request_are_not_sent_by_all_gateways_at_once():
    """If peers use the quota as well, each of three gateways sends the request in a third of the cases."""
    harness = gateway()
    receive_gossip(harness, [CustomerUsage(k, 0, 0.0, 6.5, 0) for k in range(300)])
    receive_gossip(harness, [CustomerUsage(k, 0, 4.0, 2.5, 0) for k in range(300)], after=MS)
    sent = [
        k
        for k in range(300)
        if actions_of_type(harness.submit(customer=k, units=2.0, spread=3)[1], ForwardRequest)
    ]
    assert 75 <= len(sent) <= 165


def test_the_only_user_of_a_quota_is_always_admitted():
    harness = gateway()
    receive_gossip(harness, [CustomerUsage(k, 0, 0.0, 4.5, 0) for k in range(50)])
    assert all(
        actions_of_type(harness.submit(customer=k, units=4.0, spread=3)[1], ForwardRequest) for k in range(50)
    )


def test_units_that_peers_may_have_sent_without_a_report_are_kept_back():
    """Peers sent 40 of 45 units recently. They may have sent part of the last 5 by now, so 4 are too many."""
    harness = gateway(plans=[CustomerPlan("p", rate=2.0, burst=45.0)])
    receive_gossip(harness, [CustomerUsage(k, 0, 0.0, 45.0, 0) for k in range(100)])
    receive_gossip(harness, [CustomerUsage(k, 0, 40.0, 5.0, 0) for k in range(100)], after=MS)
    assert not [
        k
        for k in range(100)
        if actions_of_type(harness.submit(customer=k, units=4.0, spread=3)[1], ForwardRequest)
    ]
    assert [
        k
        for k in range(100)
        if actions_of_type(harness.submit(customer=k, units=1.0, spread=3)[1], ForwardRequest)
    ]


def test_units_reported_by_peers_leave_the_bucket():
    harness = gateway()
    receive_gossip(harness, [CustomerUsage(7, 0, 0.0, 12.0, 0)])
    receive_gossip(harness, [CustomerUsage(7, 0, 11.0, 1.0, 0)], after=20 * MS)
    assert send_requests(harness, 5) == 0.0


def test_running_totals_are_counted_once_whichever_messages_arrive():
    harness = gateway()
    receive_gossip(harness, [CustomerUsage(7, 0, 0.0, 12.0, 0)])
    receive_gossip(harness, [CustomerUsage(7, 0, 10.0, 2.0, 0)], after=20 * MS)
    receive_gossip(harness, [CustomerUsage(7, 0, 10.0, 2.0, 0)], after=20 * MS)
    assert 1.9 < harness.policy.parts.ledger.customers[7].level < 2.2


def test_a_restarted_peer_gets_a_report_and_its_new_total_is_not_counted():
    harness = gateway()
    receive_gossip(harness, [CustomerUsage(7, 0, 0.0, 12.0, 0)])
    assert send_requests(harness, 1) == 2.0
    messages = actions_of_type(receive_gossip(harness, [], incarnation=6, after=MS), SendGossip)
    assert [s.customer for t in messages for s in t.usages] == [7]
    level = harness.policy.parts.ledger.customers[7].level
    receive_gossip(harness, [CustomerUsage(7, 0, 1.0, 11.0, 0)], incarnation=6)
    assert abs(harness.policy.parts.ledger.customers[7].level - level) < 0.1


def test_silent_peers_reduce_the_quota_to_the_even_share():
    harness = gateway()
    receive_gossip(harness, [CustomerUsage(7, 0, 0.0, 12.0, 0)])
    send_requests(harness, 1)
    harness.now += 5 * SECOND
    assert send_requests(harness, 40) <= 12.0 / 3 + 2.0


def test_actual_units_are_charged_and_reported():
    harness = gateway(settles_actual_units=True)
    receive_gossip(harness)
    request_id, actions = harness.submit(units=2.0, spread=3)
    before = harness.policy.parts.ledger.customers[7].level
    harness.finish_attempt(
        request_id,
        0,
        actions_of_type(actions, ForwardRequest)[0].endpoint,
        AttemptResult.OK,
        after=0,
        latency=10 * MS,
        units=5.0,
    )
    assert abs(before - 3.0 - harness.policy.parts.ledger.customers[7].level) < 1e-9
    messages = actions_of_type(harness.feed(TimerFired(3), after=100 * MS), SendGossip)
    assert messages[0].usages[0].total == 5.0


def test_the_limit_of_attempts_in_flight_includes_those_of_peers():
    plan = CustomerPlan("o", max_in_flight=2)
    harness = PolicyHarness({"plans": [plan], "gateway_count": 3}, backends=4)
    receive_gossip(harness, [CustomerUsage(7, 0, 0.0, 0.0, 1)])
    assert actions_of_type(harness.submit(spread=3)[1], ForwardRequest)
    assert not actions_of_type(harness.submit(spread=3)[1], ForwardRequest)
    receive_gossip(harness, [CustomerUsage(7, 0, 0.0, 0.0, 0)], after=MS)
    assert actions_of_type(harness.submit(spread=3)[1], ForwardRequest)


def gateway_with_ceiling():
    """One of two gateways. The even share of the ceiling is 2 units per second; the quota would allow 4."""
    plan = CustomerPlan("c", rate=4.0, burst=8.0, ceiling_rate=4.0, ceiling_burst=8.0)
    harness = PolicyHarness({"plans": [plan], "gateway_count": 2}, backends=8)
    harness.now += 10 * SECOND  # the ceiling has filled since the start
    return harness


def test_the_ceiling_is_divided_by_recent_use_while_all_peers_send_messages():
    for peer_sends, min_value, max_value in ((True, 26.0, 44.0), (False, 16.0, 24.0)):
        harness, sent = gateway_with_ceiling(), 0.0
        for k in range(8 * 10):
            if peer_sends:
                receive_gossip(harness, [CustomerUsage(7, 0, 0.0, 8.0, 0)])
            harness.now += 100 * MS
            sent += send_requests(harness, 1, units=1.0, spread=2)
            if k % 10 == 9:
                harness.tick(after=0)
                harness.feed(TimerFired(3))
        assert min_value <= sent <= max_value, (peer_sends, sent)


def test_the_ceiling_starts_empty_unless_all_peers_report_no_usage():
    plan = CustomerPlan("c", rate=2.0, burst=60.0, ceiling_rate=2.0, ceiling_burst=60.0)
    for senders, usages, min_value, max_value in (
        ((1, 2), [], 18.0, 60.0),
        ((1,), [], 0.0, 4.0),
        ((1, 2), [CustomerUsage(8, 0, 1.0, 60.0, 0)], 0.0, 4.0),
    ):
        harness = PolicyHarness({"plans": [plan], "gateway_count": 3}, backends=8)
        for sender in senders:
            messages = actions_of_type(
                receive_gossip(harness, usages, sender=sender, after=10 * MS), SendGossip
            )
            assert sender in [t.peer for t in messages]  # the reply makes this gateway known to the peer
        harness.now += 300 * MS
        assert min_value <= send_requests(harness, 30, units=1.0) <= max_value


def test_shares_of_the_ceiling_add_up_to_one():
    first, second = gateway_with_ceiling(), gateway_with_ceiling()
    for harness in (first, second):
        receive_gossip(harness, [CustomerUsage(7, 0, 0.0, 8.0, 0)])
    sent = send_requests(first, 3, units=1.0, spread=2)
    assert sent == 3.0
    receive_gossip(second, [CustomerUsage(7, 0, sent, 8.0 - sent, 0)], after=MS)
    send_requests(second, 0)
    ceiling_shares = []
    for harness in (first, second):
        customer = harness.policy.parts.ledger.customers[7]
        customer.gateway_set_size, customer.peers = 2, [1]
        ceiling_shares.append(
            harness.policy.parts.ledger.ceiling_part(harness.now, customer, harness.policy.settings.plans[0])
        )
    assert ceiling_shares[0] > 0.6 and abs(sum(ceiling_shares) - 1) < 0.05


def test_requests_beyond_the_quota_are_sent_only_if_their_weight_exceeds_the_cost():
    for over_quota_weight, cost, sent in ((0.0, 0.5, False), (0.3, 0.0, True), (0.3, 0.3, False)):
        plan = CustomerPlan(
            "p", rate=0.001, burst=2.0, over_quota_weight=over_quota_weight, over_quota_cost=cost
        )
        harness = PolicyHarness({"plans": [plan]}, backends=4)
        assert actions_of_type(harness.submit(units=2.0)[1], ForwardRequest)
        assert bool(actions_of_type(harness.submit(units=2.0)[1], ForwardRequest)) is sent


def test_a_rejection_states_when_the_bucket_will_have_refilled():
    for overrides in ({}, {"retry_after": False}):
        plan = CustomerPlan("p", rate=20.0, burst=4.0)
        harness = PolicyHarness({"plans": [plan], **overrides}, backends=4)
        assert actions_of_type(harness.submit(units=4.0)[1], ForwardRequest)
        rejections = actions_of_type(harness.submit(units=2.0)[1], RejectRequest)
        assert [r.retry_after_ns for r in rejections] == [100 * MS]  # two units at twenty a second
        rejections = actions_of_type(harness.submit(units=4.0, after=20 * MS)[1], RejectRequest)
        assert [r.retry_after_ns for r in rejections] == [180 * MS]
        assert actions_of_type(harness.submit(units=3.6, after=180 * MS)[1], ForwardRequest)


def test_an_idle_customer_is_forgotten_once_its_bucket_is_full():
    """The bucket refills by a third of 2 units per second: 2 units are back after 15 s, 100 units are not."""
    for units, remains in ((2.0, False), (100.0, True)):
        harness = gateway(plans=[CustomerPlan("p", rate=2.0, burst=120.0)])
        receive_gossip(harness, [CustomerUsage(7, 0, 0.0, 120.0, 0)])
        receive_gossip(harness, [CustomerUsage(7, 0, units, 120.0 - units, 0)], after=MS)
        harness.tick(after=10 * SECOND)
        assert 7 in harness.policy.parts.ledger.customers
        harness.tick(after=7 * SECOND)
        assert (7 in harness.policy.parts.ledger.customers) is remains
        harness.tick(after=150 * SECOND)
        assert 7 not in harness.policy.parts.ledger.customers


def test_shares_of_the_ceiling_are_even_if_requests_beyond_the_quota_are_admitted():
    """Guards the ceiling while reports are on their way: beyond the quota nothing else limits the total."""
    for over_quota_weight, min_value, max_value in ((0.0, 0.6, 1.0), (0.5, 0.5, 0.5)):
        plan = CustomerPlan(
            "c",
            rate=4.0,
            burst=8.0,
            over_quota_weight=over_quota_weight,
            over_quota_cost=0.1,
            ceiling_rate=8.0,
            ceiling_burst=16.0,
        )
        harness = PolicyHarness({"plans": [plan], "gateway_count": 2}, backends=8)
        harness.now += 10 * SECOND
        receive_gossip(harness, [CustomerUsage(7, 0, 0.0, 8.0, 0)])
        send_requests(harness, 3, units=1.0, spread=2)
        assert (
            min_value
            <= harness.policy.parts.ledger.ceiling_part(
                harness.now, harness.policy.parts.ledger.customers[7], plan
            )
            <= max_value
        )


@pytest.mark.parametrize("set_size", [1, 8])
def test_ever_new_customers_take_a_bounded_number_of_records(set_size):
    """Guards against memory that grows while one client sends ever new customer names (issue 55, b)."""
    harness = PolicyHarness({"gateway_count": 8}, backends=0)  # so that nothing is in flight
    harness.submit(customer=1, spread=set_size)
    harness.submit(customer=1, spread=set_size, after=2 * SECOND)
    established = harness.policy.parts.ledger.customers[1]
    for customer in range(2, MAX_NEW_CUSTOMERS + 2000):
        harness.submit(customer=customer, spread=set_size)
        if not customer % 500:
            harness.tick(after=10 * MS)
    ledger = harness.policy.parts.ledger
    assert len(ledger.customers) <= MAX_NEW_CUSTOMERS + 1
    assert ledger.customers[1] is established  # seen again later than a flood of names is
    for customer in range(2, MAX_NEW_CUSTOMERS + 2000):
        usage = CustomerUsage(10**6 + customer, 0, 1.0, 1.0, 0, 0.0, 0)
        harness.feed(GossipReceived(2, 5, [usage], [], []))
    assert len(ledger.customers) <= MAX_NEW_CUSTOMERS + 1
    for round_number in range(2):  # each name comes again after some seconds, so that all are established
        for customer in range(10**7, 10**7 + MAX_ESTABLISHED_CUSTOMERS + 4000):
            ledger.get_or_create(customer, 0, 1.0, harness.now + round_number * SECOND)
            ledger.get_or_create(customer, 0, 1.0, harness.now + (round_number + 1) * SECOND)
    assert len(ledger.customers) <= MAX_ESTABLISHED_CUSTOMERS + MAX_NEW_CUSTOMERS
