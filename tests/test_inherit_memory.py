"""State that a new process inherits from the old one: snapshot, validation, restore, and the last totals."""

import json
import math
from types import SimpleNamespace

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
from zincstile.net.host import HOST
from zincstile.net.limits import Limits
from zincstile.net.state_files import StateFiles

PLAN = CustomerPlan("p", rate=2.0, burst=12.0, ceiling_rate=4.0, ceiling_burst=24.0)
OVERRIDES = {"plans": [PLAN], "gateway_count": 3, "gossips": True}


def served_gateway():
    """A gateway with state: a customer near its quota, a slow endpoint, a limit, a report of a peer."""
    harness = PolicyHarness(dict(OVERRIDES), backends=4)
    harness.feed(GossipReceived(1, 77, [CustomerUsage(9, 0, 3.0, 9.0, 1)]))
    for _ in range(5):
        request_id, actions = harness.submit(units=2.0, spread=3)
        sent = actions_of_type(actions, ForwardRequest)
        if sent:
            harness.finish_attempt(
                request_id, 0, sent[0].endpoint, AttemptResult.OK, after=50 * MS, latency=50 * MS
            )
    harness.policy.parts.limit.limit, harness.policy.parts.slow_start.peak_endpoint_rate = 7.0, 21.0
    (
        harness.policy.parts.endpoints.ready[0].latency_ratio,
        harness.policy.parts.endpoints.ready[0].error_scores,
    ) = (
        2.5,
        {0: 0.6},
    )
    return harness


def snapshot_of(harness, max_customers=100):
    return json.loads(json.dumps(state_transfer.snapshot(harness.policy.parts, harness.now, max_customers)))


def new_process(table, harness):
    successor = PolicyHarness(dict(OVERRIDES), backends=0, start=False)
    validate(table, successor.policy.parts)
    successor.now = harness.now
    successor.feed(StateInherited(table))
    successor.feed(Started())
    successor.feed(
        EndpointList(
            EndpointListKind.FULL, 1, [s.entry for s in harness.policy.parts.endpoints.by_id.values()]
        )
    )
    return successor


def test_the_new_process_inherits_all_estimates():
    harness = served_gateway()
    successor = new_process(snapshot_of(harness), harness).policy.parts
    assert (successor.limit.limit, successor.slow_start.peak_endpoint_rate, successor.gossip.incarnation) == (
        7.0,
        21.0,
        harness.policy.parts.gossip.incarnation,
    )
    assert successor.latency.unit_ns == harness.policy.parts.latency.unit_ns
    assert successor.latency.unloaded_unit_ns == harness.policy.parts.latency.unloaded_unit_ns
    slow = successor.endpoints.by_id[harness.policy.parts.endpoints.ready[0].entry.id]
    assert (slow.latency_ratio, slow.error_scores) == (2.5, {0: 0.6})
    assert [x.arrival_rate for x in successor.budget.groups] == [
        x.arrival_rate for x in harness.policy.parts.budget.groups
    ]
    assert successor.peers.last_message == harness.policy.parts.peers.last_message


def test_scores_of_an_endpoint_that_restarted_are_not_inherited():
    harness = served_gateway()
    table = snapshot_of(harness)
    harness.policy.parts.endpoints.ready[0].entry.started_ns = harness.now
    successor = new_process(table, harness).policy.parts
    assert successor.endpoints.by_id[harness.policy.parts.endpoints.ready[0].entry.id].latency_ratio == 1.0


def test_the_new_process_inherits_the_used_quota():
    harness = served_gateway()
    successor = new_process(snapshot_of(harness), harness)
    for key, customer in harness.policy.parts.ledger.customers.items():
        inherited = successor.policy.parts.ledger.customers[key]
        assert inherited.level == pytest.approx(customer.level) and inherited.total == customer.total
        assert (
            inherited.ceiling_level == pytest.approx(customer.ceiling_level)
            and inherited.usage.keys() == customer.usage.keys()
        )


def test_running_totals_continue_so_that_a_peer_counts_each_unit_once():
    harness, peer = served_gateway(), PolicyHarness(dict(OVERRIDES) | {"gateway_index": 1}, backends=4)
    key = next(iter(harness.policy.parts.ledger.customers))
    customer, levels = harness.policy.parts.ledger.customers[key], []

    def report_to_peer(policy):
        usage = policy.parts.gossip.usage_of(policy.parts.ledger.customers[key])
        peer.feed(GossipReceived(0, policy.parts.gossip.incarnation, [usage]))
        levels.append(peer.policy.parts.ledger.customers[key].level)

    report_to_peer(harness.policy)
    successor = new_process(snapshot_of(harness), harness)
    successor.policy.parts.ledger.customers[key].charge(3.0, TOTAL_MODULUS)
    report_to_peer(successor.policy)
    # only what the new process sent, and not the units of the old one again
    assert levels[0] - levels[1] == pytest.approx(3.0)
    assert customer.total == successor.policy.parts.ledger.customers[key].total - 3.0


def test_units_that_the_old_process_sent_after_the_snapshot_are_added():
    harness = served_gateway()
    table = snapshot_of(harness)
    successor = new_process(table, harness)
    key = next(iter(harness.policy.parts.ledger.customers))
    harness.policy.parts.ledger.customers[key].charge(2.0, TOTAL_MODULUS)
    before = successor.policy.parts.ledger.customers[key].level
    totals = {c["key"]: c["total"] for c in table["customers"]}
    running_totals = json.loads(json.dumps(state_transfer.running_totals(harness.policy.parts)))
    assert state_transfer.apply_totals(successor.policy.parts, running_totals, totals, TOTAL_MODULUS) == 1
    assert successor.policy.parts.ledger.customers[key].level == pytest.approx(before - 2.0)
    assert (
        successor.policy.parts.ledger.customers[key].total == harness.policy.parts.ledger.customers[key].total
    )
    with pytest.raises(state_transfer.InheritedStateError):
        state_transfer.apply_totals(
            successor.policy.parts, running_totals | {"start": 5}, totals, TOTAL_MODULUS
        )


def test_a_snapshot_keeps_the_last_used_customers_if_there_are_too_many():
    harness = served_gateway()
    for key in range(100, 110):
        harness.submit(customer=key, after=10 * MS)
    assert [c["key"] for c in snapshot_of(harness, 3)["customers"]] == [107, 108, 109]


JUNK = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 5) | st.floats() | st.text(max_size=3),
    lambda x: st.lists(x, max_size=3) | st.dictionaries(st.text(max_size=3), x, max_size=2),
    max_leaves=5,
)


@given(st.data())
def test_a_damaged_table_is_rejected_or_does_no_harm(data):
    """A random value of a valid table is replaced by junk: validation fails, or the gateway works with it."""
    harness = served_gateway()
    table = snapshot_of(harness)
    node, path = table, []
    while isinstance(node, dict | list) and node and (not path or data.draw(st.booleans())):
        key = data.draw(st.sampled_from(sorted(node) if isinstance(node, dict) else range(len(node))))
        path.append((node, key))
        node = node[key]
    holder, key = path[-1]
    holder[key] = data.draw(JUNK)
    try:
        successor = new_process(table, harness)
    except state_transfer.InheritedStateError as err:
        assert str(err)
        return
    for _ in range(3):
        successor.submit(units=2.0, spread=3, after=SECOND)
        successor.tick()
    assert not math.isnan(successor.policy.parts.capacity.healthy_endpoints)


def test_the_descriptors_stay_shared_while_the_old_process_delivers_values(tmp_path):
    """Guards against two processes with more descriptors than one may have, after SIGTERM (review case 8)."""
    changes, deadlines, clock = [], [], SimpleNamespace(now_ns=0)
    dispatcher = SimpleNamespace(
        limits=Limits(),
        now_ns=lambda: clock.now_ns,
        wake=lambda: None,
        deadlines=SimpleNamespace(add=lambda at_ns, action: deadlines.append((at_ns, action))),
        log=SimpleNamespace(line=lambda _: None),
        policy=SimpleNamespace(
            parts=SimpleNamespace(
                gossip=SimpleNamespace(incarnation=5),
                ledger=SimpleNamespace(customers={7: SimpleNamespace(key=7, total=3.0)}),
            )
        ),
    )
    base_path = str(tmp_path / "zincstile-n0")
    old = StateFiles(dispatcher, HOST, base_path=base_path, process="old", set_limits_shared=lambda _: None)
    new = StateFiles(dispatcher, HOST, base_path=base_path, process="new", set_limits_shared=changes.append)
    old._successor, new._inherited_totals = "new", {7: 3.0}
    old.write_totals(ended=False)
    new.poll()
    assert changes == [True]
    old.write_totals(ended=True)
    new.poll()
    assert changes == [True, False]
    new._older_delivers = True
    old.write_totals(ended=False)
    new.poll()
    clock.now_ns, end_sharing = deadlines[-1]  # the old process is killed
    assert clock.now_ns <= 2 * SECOND
    end_sharing(None)
    assert changes == [True, False, True, False]
