"""What a new version takes over of the old one's memory: written, checked, taken, and added to at the end."""

import json
import math

import pytest
from conftest import MS, SECOND, PolicyHarness, actions_of_type
from hypothesis import given
from hypothesis import strategies as st

from zincstile.decisions import state_transfer
from zincstile.decisions.gossip import TOTAL_MODULUS
from zincstile.decisions.messages import (
    AttemptResult,
    CustomerUsage,
    EndpointList,
    EndpointListKind,
    ForwardRequest,
    GossipReceived,
    Started,
    StateInherited,
)
from zincstile.decisions.settings import CustomerPlan
from zincstile.decisions.state_validation import validate

PLAN = CustomerPlan("p", rate=2.0, burst=12.0, ceiling_rate=4.0, ceiling_burst=24.0)
OVER = {"plans": [PLAN], "gateway_count": 3, "gossips": True}


def old_process():
    """A gateway that has served a while: a customer near its quota, a slow server, a budget, peers' words."""
    g = PolicyHarness(dict(OVER), backends=4)
    g.feed(GossipReceived(1, 77, [CustomerUsage(9, 0, 3.0, 9.0, 1)]))
    for _ in range(5):
        rid, acts = g.submit(units=2.0, spread=3)
        sent = actions_of_type(acts, ForwardRequest)
        if sent:
            g.finish_attempt(rid, 0, sent[0].endpoint, AttemptResult.OK, after=50 * MS, latency=50 * MS)
    g.policy.parts.limit.limit, g.policy.parts.slow_start.peak_endpoint_rate = 7.0, 21.0
    g.policy.parts.endpoints.ready[0].latency_ratio, g.policy.parts.endpoints.ready[0].error_scores = (
        2.5,
        {0: 0.6},
    )
    return g


def left(g, most=100):
    return json.loads(json.dumps(state_transfer.snapshot(g.policy.parts, g.now, most)))


def new_process(table, g):
    heir = PolicyHarness(dict(OVER), backends=0, start=False)
    validate(table, heir.policy.parts)
    heir.now = g.now
    heir.feed(StateInherited(table))
    heir.feed(Started())
    heir.feed(
        EndpointList(EndpointListKind.FULL, 1, [s.entry for s in g.policy.parts.endpoints.by_id.values()])
    )
    return heir


def test_what_was_learnt_goes_along():
    g = old_process()
    heir = new_process(left(g), g).policy.parts
    assert (heir.limit.limit, heir.slow_start.peak_endpoint_rate, heir.gossip.incarnation) == (
        7.0,
        21.0,
        g.policy.parts.gossip.incarnation,
    )
    assert heir.latency.unit_ns == g.policy.parts.latency.unit_ns
    assert heir.latency.unloaded_unit_ns == g.policy.parts.latency.unloaded_unit_ns
    slow = heir.endpoints.by_id[g.policy.parts.endpoints.ready[0].entry.id]
    assert (slow.latency_ratio, slow.error_scores) == (2.5, {0: 0.6})
    assert [x.arrival_rate for x in heir.budget.groups] == [
        x.arrival_rate for x in g.policy.parts.budget.groups
    ]
    assert heir.peers.last_message == g.policy.parts.peers.last_message


def test_a_server_that_started_anew_brings_no_evidence():
    g = old_process()
    table = left(g)
    g.policy.parts.endpoints.ready[0].entry.started_ns = g.now
    heir = new_process(table, g).policy.parts
    assert heir.endpoints.by_id[g.policy.parts.endpoints.ready[0].entry.id].latency_ratio == 1.0


def test_a_quota_is_not_had_twice():
    g = old_process()
    heir = new_process(left(g), g)
    for key, c in g.policy.parts.ledger.customers.items():
        mine = heir.policy.parts.ledger.customers[key]
        assert mine.level == pytest.approx(c.level) and mine.total == c.total
        assert mine.ceiling_level == pytest.approx(c.ceiling_level) and mine.usage.keys() == c.usage.keys()


def test_a_peer_counts_across_both_processes_by_one_running_total():
    g, peer = old_process(), PolicyHarness(dict(OVER) | {"gateway_index": 1}, backends=4)
    key = next(iter(g.policy.parts.ledger.customers))
    c, level = g.policy.parts.ledger.customers[key], []

    def told(p):
        usage = p.parts.gossip.usage_of(p.parts.ledger.customers[key])
        peer.feed(GossipReceived(0, p.parts.gossip.incarnation, [usage]))
        level.append(peer.policy.parts.ledger.customers[key].level)

    told(g.policy)
    heir = new_process(left(g), g)
    heir.policy.parts.ledger.customers[key].charge(3.0, TOTAL_MODULUS)
    told(heir.policy)
    assert level[0] - level[1] == pytest.approx(3.0)  # its own sends alone, and the old one's not again
    assert c.total == heir.policy.parts.ledger.customers[key].total - 3.0


def test_what_the_old_one_sent_meanwhile_is_added_once_it_has_ended():
    g = old_process()
    table = left(g)
    heir = new_process(table, g)
    key = next(iter(g.policy.parts.ledger.customers))
    g.policy.parts.ledger.customers[key].charge(2.0, TOTAL_MODULUS)
    before = heir.policy.parts.ledger.customers[key].level
    totals = {c["key"]: c["total"] for c in table["customers"]}
    t = json.loads(json.dumps(state_transfer.running_totals(g.policy.parts)))
    assert state_transfer.apply_totals(heir.policy.parts, t, totals, TOTAL_MODULUS) == 1
    assert heir.policy.parts.ledger.customers[key].level == pytest.approx(before - 2.0)
    assert heir.policy.parts.ledger.customers[key].total == g.policy.parts.ledger.customers[key].total
    with pytest.raises(state_transfer.InheritedStateError):
        state_transfer.apply_totals(heir.policy.parts, t | {"start": 5}, totals, TOTAL_MODULUS)


def test_of_more_customers_than_fit_the_last_used_are_left():
    g = old_process()
    for key in range(100, 110):
        g.submit(customer=key, after=10 * MS)
    assert [c["key"] for c in left(g, 3)["customers"]] == [107, 108, 109]


JUNK = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 5) | st.floats() | st.text(max_size=3),
    lambda x: st.lists(x, max_size=3) | st.dictionaries(st.text(max_size=3), x, max_size=2),
    max_leaves=5,
)


@given(st.data())
def test_a_spoilt_table_is_refused_or_does_no_harm(data):
    """One place of a good table is replaced by junk: it is refused by its key, or it can be worked with."""
    g = old_process()
    table = left(g)
    at, path = table, []
    while isinstance(at, dict | list) and at and (not path or data.draw(st.booleans())):
        key = data.draw(st.sampled_from(sorted(at) if isinstance(at, dict) else range(len(at))))
        path.append((at, key))
        at = at[key]
    holder, key = path[-1]
    holder[key] = data.draw(JUNK)
    try:
        heir = new_process(table, g)
    except state_transfer.InheritedStateError as err:
        assert str(err)
        return
    for _ in range(3):
        heir.submit(units=2.0, spread=3, after=SECOND)
        heir.tick()
    assert not math.isnan(heir.policy.parts.capacity.healthy_endpoints)
