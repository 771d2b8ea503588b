"""Subsets of endpoints: properties against a plain model, and the hard cases."""

from __future__ import annotations

import math
from collections import Counter, defaultdict

import pytest
from conftest import MS, SECOND, backend
from conftest import settings as gateway_settings
from hypothesis import given, settings
from hypothesis import strategies as st

from zincstile.decisions.messages import (
    AttemptOutcome,
    AttemptResult,
    CancelAttempt,
    EndpointEntry,
    EndpointList,
    EndpointListKind,
    EndpointState,
    ForwardRequest,
    Request,
    Started,
    TimerFired,
)
from zincstile.decisions.policy import Policy
from zincstile.decisions.settings import DeduplicationScope, Idempotency, RequestClass
from zincstile.decisions.slow_start import INITIAL_RATE_DIVISOR, OVERLOAD_SHARE
from zincstile.net import config, features
from zincstile.net.discovery.messages import endpoint_id
from zincstile.net.discovery.reader import EndpointReader
from zincstile.net.host import HOST
from zincstile.serialization.errors import FileError
from zincstile.simulation import traffic
from zincstile.simulation.plan import Plan, draw
from zincstile.simulation.run import Run
from zincstile.subsetting.feature import SubsettingFeature
from zincstile.subsetting.fleet import Fleet, zone_of
from zincstile.subsetting.placement import first_rank, ring_key, slice_size, stable_hash
from zincstile.subsetting.settings import Layout, Reach, ServiceBy, SubsetSettings

ZONES = ["a", "b", "c"]
INTERLEAVED = Layout.INTERLEAVED
READY = EndpointState.READY
DRAINING = EndpointState.DRAINING
REMOVED = EndpointState.REMOVED
DELTA = EndpointListKind.DELTA
FULL = EndpointListKind.FULL
NOW = 10 * SECOND
IDEMPOTENT = [RequestClass("look", SECOND, 4 * SECOND, Idempotency.ALWAYS, 1.0)]


def gateway(me=0, gateways=12, zone=0, classes=None, zones=ZONES, **subset):
    """A decision module with a subset, in which no class is bound to a group unless given."""
    own = gateway_settings(gateway_index=me, gateway_count=gateways, zone=zone, classes=classes or IDEMPOTENT)
    feature = SubsettingFeature(own, SubsetSettings(**subset), zones, [])
    policy = Policy(own, 1, [feature])
    policy.handle(NOW, Started())
    return policy


def feed(policy, entries, kind=DELTA, now=NOW):
    return policy.handle(now, EndpointList(kind, 1, entries))


def ready(policy):
    return {s.entry.id for s in policy.parts.endpoints.ready}


def many(count, first=1, zone=None, mode=READY, started=0):
    return [backend(n, n % 3 if zone is None else zone, mode, started) for n in range(first, first + count)]


def tick(policy, now):
    return policy.handle(now, TimerFired(2))


def fail(policy, numbers, now, bad=1.0):
    """Records failed attempts of these endpoints, by the module's own rule."""
    for endpoint in numbers:
        policy.parts.detector.apply_sample(policy.parts.endpoints.by_id[endpoint], 255, bad, 1.0)
    return tick(policy, now)


# ---- placement


@given(st.integers(1, 300), st.integers(1, 400), st.integers(1, 30), st.integers(1, 8), st.integers(0, 10**6))
def test_each_endpoint_is_taken_by_an_even_part_of_the_gateways(gateways, total, least, holders, offset):
    size = slice_size(total, least, holders, gateways)
    assert size >= min(least, total)
    taken = Counter()
    for me in range(gateways):
        first = first_rank(me, gateways, total, offset)
        taken.update((first + k) % total for k in range(size))
    even = gateways * size / total
    assert {taken[k] for k in range(total)} <= {math.floor(even), math.ceil(even)}
    if holders >= 4:
        assert max(taken.values()) <= 1.25 * even and min(taken.values()) >= 0.75 * even


@given(st.integers(1, 60), st.integers(1, 200), st.integers(1, 20), st.data())
def test_a_change_of_one_endpoint_exchanges_at_most_one_other_of_a_slice(gateways, total, least, data):
    keys = sorted(ring_key(7, n) for n in range(total))
    gone = data.draw(st.sampled_from(keys))
    for me in range(gateways):
        slices = []
        for ring in (keys, [k for k in keys if k != gone]):
            size = slice_size(len(ring), least, 4, gateways) if ring else 0
            first = first_rank(me, gateways, len(ring), 5) if ring else 0
            slices.append({ring[(first + k) % len(ring)] for k in range(size)})
        before, after = slices
        assert len(before - after - {gone}) <= 1 + (len(before) > len(after))
        assert len(after - before) <= 1 + (gone in before)


@pytest.mark.parametrize("gateways", [2100, 300])
def test_blocks_and_regular_selections_of_gateways_are_spread_out(gateways):
    """Of a large fleet with all zones in reach, as the gateways of one zone may be busier than others."""
    fifth = gateways // 5
    for chosen in (range(2 * fifth, 3 * fifth), range(2, gateways, 5)):
        for total in (20, fifth, 2 * fifth):
            size = slice_size(total, 3, 4, fifth)
            taken = Counter()
            for me in chosen:
                taken.update((first_rank(me, gateways, total, 5) + k) % total for k in range(size))
            even = len(chosen) * size / total
            assert max(taken.values()) <= 1.6 * even and min(taken[k] for k in range(total)) >= 0.4 * even


# ---- the table and the module against a plain model

ENTRY = st.builds(
    lambda number, zone, kind, cell, mode, started: EndpointEntry(
        number, zone, kind, cell, mode, 1.0, started
    ),
    st.integers(1, 40),
    st.integers(0, 3),
    st.integers(0, 2),
    st.integers(0, 3),
    st.sampled_from([READY, READY, READY, DRAINING, REMOVED]),
    st.sampled_from([0, 5 * SECOND]),
)
LISTS = st.lists(st.tuples(st.sampled_from([DELTA, DELTA, FULL]), st.lists(ENTRY, max_size=30)), max_size=8)


def plain_members(table, me, gateways, tiers, least, most):
    """All of it from scratch, for service by type, without trouble."""
    rings = defaultdict(list)
    for b in table.values():
        if b.state is READY:
            rings[b.machine_type, b.zone].append(b.id)
    found = set()
    for service in {s for s, _ in rings}:
        tier = next(t for t in tiers if any((service, z) in rings for z in t))
        inside = [z for z in tier if (service, z) in rings]
        scale = min(most, max(1, len([z for z in tier if z < 3]) / len(inside)))
        for zone in inside:
            ring = sorted(rings[service, zone], key=lambda n: ring_key(service, n))
            fleet = Fleet(SubsetSettings(reach=Reach.ZONE, layout=INTERLEAVED), me, gateways, me % 3, ZONES)
            position = fleet.position(zone) if len(tiers) > 1 else fleet.position_in_fleet
            size = min(len(ring), max(least, math.ceil(4 * len(ring) / position.count)))
            offset = stable_hash(service, fleet.zone_name(zone)) % position.count
            first = first_rank(me, position.count, len(ring), offset)
            found |= {ring[(first + k) % len(ring)] for k in range(min(len(ring), math.ceil(size * scale)))}
    return found


@settings(max_examples=200, deadline=None)
@given(LISTS, st.integers(1, 9), st.sampled_from([Reach.ALL, Reach.ZONE]), st.data())
def test_subset_and_rings_are_what_a_plain_model_makes_of_any_lists(lists, gateways, reach, data):
    me = data.draw(st.integers(0, gateways - 1))
    policy = gateway(
        me, gateways, me % 3, service_by=ServiceBy.TYPE, reach=reach, min_endpoints=2, layout=INTERLEAVED
    )
    tiers = [(me % 3,), (0, 1, 2, 3)] if reach is Reach.ZONE else [(0, 1, 2, 3)]
    table = {}
    for kind, entries in lists:
        feed(policy, entries, kind)
        table = {} if kind is FULL else table
        for b in entries:
            table[b.id] = b
        table = {n: b for n, b in table.items() if b.state is not REMOVED}
        assert policy.features[0].rings.endpoints == table
        assert {
            place: [k & (2**64 - 1) for k in ring.keys]
            for place, ring in policy.features[0].rings.rings.items()
        } == _rings(table)
        assert ready(policy) == plain_members(table, me, gateways, tiers, 2, 3)
        assert all(s.entry == table[n] for n, s in policy.parts.endpoints.by_id.items())


def _rings(table):
    rings = defaultdict(list)
    for b in table.values():
        if b.state is READY:
            rings[b.machine_type, b.zone].append(b.id)
    return {p: sorted(r, key=lambda n: ring_key(p[0], n)) for p, r in rings.items()}


# ---- cold endpoints


@settings(max_examples=40, deadline=None)
@given(st.integers(2, 24), st.integers(4, 60), st.integers(2, 10), st.integers(0, 59), st.floats(1, 1000))
def test_a_cold_endpoint_gets_no_more_by_all_than_its_share_of_a_warm_one(gateways, total, least, cold, rate):
    """Rule 4 by the sum over whole fleets: against the work of the busiest warm endpoint by the same
    gateways, and before any was seen against one first rate for all gateways together."""
    now, cold, seen, first, warm = 10 * SECOND, 1 + cold % total, 0.0, 0.0, Counter()
    for me in range(gateways):
        own = gateway_settings(
            gateway_index=me,
            gateway_count=gateways,
            slow_start_share=0.2,
            slow_start_ns=30 * SECOND,
            slow_start_overload_multiple=2.0,
        )
        policy = Policy(own, 1, [SubsettingFeature(own, SubsetSettings(min_endpoints=least), [], [])])
        policy.handle(now, Started())
        feed(policy, [backend(n, started_ns=now if n == cold else 0) for n in range(1, total + 1)])
        policy.parts.budget.groups[0].arrival_rate = rate / gateways
        sending = sum(x.arrival_rate * x.admission_rate for x in policy.parts.budget.groups)
        policy.parts.capacity.classify(now)
        first += (
            policy.parts.slow_start.cumulative_shares[0]
            * policy.parts.slow_start.max_share_multiple
            * sending
            if policy.parts.slow_start.cumulative_shares
            else 0.0
        )
        policy.parts.limit.completed_per_s = rate / gateways
        policy.parts.capacity.classify(now)
        seen += (
            policy.parts.slow_start.cumulative_shares[0]
            * policy.parts.slow_start.max_share_multiple
            * sending
            if policy.parts.slow_start.cumulative_shares
            else 0.0
        )
        warm.update(
            {
                s.entry.id: policy.parts.limit.completed_per_s / policy.parts.capacity.healthy_endpoints
                for s in policy.parts.endpoints.warm
            }
        )
    multiple = 0.2 * OVERLOAD_SHARE * 2.0
    assert first <= multiple * 4.0 / INITIAL_RATE_DIVISOR * 1.000001
    assert seen <= multiple * max(1.25 * max(warm.values()), 4.0 / INITIAL_RATE_DIVISOR) * 1.000001


def test_a_cold_endpoint_left_alone_is_not_taken_to_do_what_all_did():
    """Handling: `Capacity.working`. Seen on seed 4174, where all others drained."""
    policy = gateway(gateways=3, zones=[])
    feed(policy, many(12, zone=0))
    tick(policy, 10 * SECOND)
    policy.parts.limit.completed_per_s = 24.0
    policy.parts.capacity.classify(10 * SECOND)
    feed(policy, [*many(12, zone=0, mode=DRAINING), backend(13, started_ns=10 * SECOND)])
    policy.parts.capacity.classify(10 * SECOND)
    assert policy.parts.slow_start.peak_endpoint_rate == 2.0 and policy.parts.limit.completed_per_s == 24.0


# ---- hard cases


def test_a_slice_whose_every_member_fails_is_widened_within_its_bound_and_shrinks_back_once():
    """Handling: `Widening.review` on a tick; without it the gateway knows nobody else."""
    policy = gateway(
        gateways=60, min_endpoints=4, min_usable=2, max_growth=3, recovery_ns=2 * SECOND, zones=[]
    )
    feed(policy, many(60, zone=0))
    usual, now = ready(policy), 11 * SECOND
    assert len(usual) == 4
    fail(policy, usual, now)
    wider = ready(policy)
    assert len(wider) == 8 and usual < wider and policy.state_values()["widened"] == 1
    for _ in range(4):
        now += SECOND
        fail(policy, ready(policy), now)
    assert len(ready(policy)) == 12  # its bound, though all of them fail
    sizes = []
    for _ in range(60):  # doubts fade by and by
        now += SECOND
        tick(policy, now)
        sizes.append(len(ready(policy)))
    assert ready(policy) == usual and sizes == sorted(sizes, reverse=True)
    assert sizes.count(12) >= 15  # until they were healthy for `recovery_ns`
    fail(policy, usual, now)
    assert policy.features[0].selection.widenings[0, 0].recovery_ns == 4 * SECOND  # relapsed: it waits longer


@pytest.mark.parametrize("mode", [DRAINING, REMOVED])
def test_members_that_drain_or_go_are_replaced_at_once_and_come_back_to_their_places(mode):
    """Handling: only ready endpoints stand in a ring."""
    policy = gateway(gateways=60, min_endpoints=4, zones=[])
    feed(policy, many(60, zone=0))
    usual = ready(policy)
    feed(policy, [backend(n, state=mode) for n in usual])
    assert len(ready(policy)) == 4 and not ready(policy) & usual
    assert (
        usual <= set(policy.parts.endpoints.by_id)
        if mode is DRAINING
        else not usual & set(policy.parts.endpoints.by_id)
    )
    feed(policy, [backend(n) for n in usual])
    assert ready(policy) == usual == set(policy.parts.endpoints.by_id)


def test_gateways_with_tables_of_different_age_differ_by_the_changes_they_have_not_heard():
    """Handling: places depend on numbers alone, and each change exchanges one endpoint at most."""
    late, early = Counter(), Counter()
    for me in range(40):
        policy = gateway(me, 40, min_endpoints=5, zones=[])
        feed(policy, many(100, zone=0))
        old = ready(policy)
        late.update(old)
        feed(policy, [backend(101), backend(102), backend(7, state=DRAINING)])
        early.update(ready(policy) if me % 2 else old)
        assert len(ready(policy) ^ old) <= 2 * 3
    assert set(late) == set(range(1, 101)) and set(late.values()) == {4}
    assert all(early[n] >= 2 for n in range(1, 101) if n != 7)


def test_an_endpoint_back_under_its_name_is_the_same_member_and_new_to_the_module_if_it_was_restarted():
    """Handling: rings by name alone; evidence only for the same start (`_seen_before`)."""
    policy = gateway(gateways=60, min_endpoints=4, zones=[])
    feed(policy, many(60, zone=0, started=SECOND))
    usual = ready(policy)
    one = min(usual)
    policy.parts.endpoints.track(policy.parts.endpoints.by_id[one]).latency_ratio = 3.0
    feed(policy, [backend(one, state=REMOVED, started_ns=SECOND)])
    feed(policy, [backend(one, started_ns=SECOND)])
    assert (
        ready(policy) == usual and policy.parts.endpoints.by_id[one].latency_ratio == 3.0
    )  # undone by the next change
    feed(policy, [backend(one, state=REMOVED, started_ns=SECOND)])
    feed(policy, [backend(one, started_ns=9 * SECOND)])
    assert ready(policy) == usual and policy.parts.endpoints.by_id[one].latency_ratio == 1.0


def test_an_attempt_out_at_an_endpoint_that_leaves_the_subset_is_learned_from_and_remembered():
    """Handling: `left` keeps what was learned of it; the attempt goes on and is no other's."""
    policy = gateway(me=30, gateways=600, min_endpoints=4, zones=[])
    feed(policy, many(60, zone=0))
    actions = policy.handle(10 * SECOND, Request(1, 0, 0, 7, 14 * SECOND, 1.0, 1, 0))
    sent = next(a for a in actions if isinstance(a, ForwardRequest)).endpoint
    others = [b for b in many(60, zone=0) if b.id in ready(policy) - {sent}]
    for more in range(61, 300):  # until the ring has shifted it out
        feed(policy, [backend(more)])
        if sent not in ready(policy):
            break
    assert sent not in policy.parts.endpoints.by_id and not [
        a for a in policy.parts.actions if isinstance(a, CancelAttempt)
    ]
    policy.handle(10 * SECOND + MS, AttemptOutcome(1, 0, sent, AttemptResult.ERROR, MS, True))
    assert not policy.parts.attempts.in_flight
    feed(policy, [backend(n, state=REMOVED) for n in range(61, more + 1)])
    assert (
        sent in ready(policy)
        and policy.parts.endpoints.by_id[sent].error_scores
        and not policy.parts.endpoints.by_id[sent].in_flight
    )
    assert {b.id for b in others} < ready(policy)


@pytest.mark.parametrize("reach", [Reach.ALL, Reach.ZONE])
def test_a_zone_lost_is_made_good_by_the_others_and_taken_back(reach):
    """Handling: `scale` for zones in reach without endpoints; further tiers where none in reach has any."""
    policy = gateway(gateways=90, min_endpoints=4, reach=reach, layout=INTERLEAVED)
    feed(policy, many(180))
    usual = ready(policy)
    zones = Counter(n % 3 for n in usual)
    assert zones == ({0: 4, 1: 4, 2: 4} if reach is Reach.ALL else {0: 8})
    feed(policy, many(180)[2::3], FULL)
    assert Counter(n % 3 for n in ready(policy)) == {0: 12} if reach is Reach.ALL else ready(policy) == usual
    feed(policy, [b for b in many(180) if b.zone != 0], FULL)
    assert Counter(n % 3 for n in ready(policy)) == {1: 6, 2: 6}
    feed(policy, many(180), FULL)
    assert ready(policy) == usual


def test_a_zone_that_nobody_called_lost_and_whose_endpoints_all_fail_is_helped_by_others():
    """Handling: `Widening.needs_further_zones` and the next tier."""
    policy = gateway(gateways=90, min_endpoints=4, reach=Reach.ZONE, layout=INTERLEAVED, recovery_ns=SECOND)
    feed(policy, many(180))
    usual, now = ready(policy), 10 * SECOND
    for _ in range(6):
        now += SECOND
        fail(policy, [n for n in ready(policy) if n % 3 == 0], now)
    assert {n % 3 for n in ready(policy)} == {0, 1, 2} and usual < ready(policy)
    for _ in range(60):
        now += SECOND
        tick(policy, now)
    assert ready(policy) == usual


def test_a_service_replaced_whole_never_leaves_a_slice_short_and_moves_no_other_service():
    """Handling: only ready endpoints stand in a ring; changes of one service choose anew for that alone."""
    policy = gateway(gateways=30, min_endpoints=4, service_by=ServiceBy.TYPE, zones=[])
    feed(policy, [EndpointEntry(n, 0, n % 2, 0, READY, 1.0, 0) for n in range(1, 121)])
    other = {n for n in ready(policy) if n % 2 == 0}
    for batch in range(4):
        old = range(1 + 30 * batch, 31 + 30 * batch, 2)
        now = 10 * SECOND + batch * 8 * SECOND
        feed(policy, [EndpointEntry(n + 1000, 0, 1, 0, READY, 1.0, now) for n in old])
        feed(policy, [EndpointEntry(n, 0, 1, 0, DRAINING, 1.0, 0) for n in old])
        assert len(ready(policy) - other) == 8 and other <= ready(policy)
        feed(policy, [EndpointEntry(n, 0, 1, 0, REMOVED, 1.0, 0) for n in old])
        assert len(ready(policy) - other) == 8
    assert min(ready(policy) - other) > 1000
    assert policy.features[0].departed.count <= 3 * 60 and set(policy.parts.endpoints.by_id) == ready(policy)


def test_a_service_of_one_endpoint_is_used_by_all_and_stays_used_in_trouble():
    """Handling: slices and what is needed of them are bounded by the ring."""
    for me in range(5):
        policy = gateway(me, 5, service_by=ServiceBy.TYPE, reach=Reach.ZONE, zone=me % 3, layout=INTERLEAVED)
        feed(policy, [*many(30), EndpointEntry(99, 2, 9, 0, READY, 1.0, 0)])
        assert 99 in ready(policy)
        fail(policy, [99], 11 * SECOND, bad=0.2)
        assert policy.state_values()["widened"] == 0
        fail(policy, [99], 11 * SECOND)
        assert 99 in ready(policy)
        feed(policy, [EndpointEntry(99, 2, 9, 0, DRAINING, 1.0, 0)])
        tick(policy, 12 * SECOND)
        assert 99 not in ready(policy) and policy.state_values()["widened"] == 0


@pytest.mark.parametrize(("gateways", "total", "size"), [(3, 30, 30), (8, 100, 50), (200, 6, 3), (200, 2, 2)])
def test_more_gateways_than_endpoints_and_fewer(gateways, total, size):
    """Handling: `slice_size` grows where few gateways have to carry many endpoints."""
    taken = Counter()
    for me in range(gateways):
        policy = gateway(me, gateways, zones=[])
        feed(policy, many(total, zone=0))
        assert len(ready(policy)) == size
        taken.update(ready(policy))
    assert len(taken) == total and max(taken.values()) <= 1.25 * gateways * size / total


@pytest.mark.parametrize("group", [DeduplicationScope.ZONE, DeduplicationScope.CELL])
def test_a_key_that_may_repeat_in_one_group_only_has_a_second_endpoint_there(group):
    """Handling: `Ring.partner`, and at least a pair for each zone, where a class is bound to such a group."""
    put = RequestClass(
        "put",
        SECOND,
        4 * SECOND,
        Idempotency.BY_KEY,
        2.0,
        deduplication_scope=group,
        deduplication_window_ns=500 * MS,
    )
    for me in range(20):
        policy = gateway(me, 40, classes=[put], min_endpoints=1, min_usable=1, min_gateways=1)
        listed = {n: backend(n, n % 3, cell=n // 2 % 30) for n in range(1, 121)}
        feed(policy, list(listed.values()))
        assert len(ready(policy)) < 60
        sent = policy.handle(10 * SECOND, Request(1, 0, 0, 7, 14 * SECOND, 1.0, 1, 0))
        first = next(a for a in sent if isinstance(a, ForwardRequest)).endpoint
        again = policy.handle(10 * SECOND + MS, AttemptOutcome(1, 0, first, AttemptResult.ERROR, MS, False))
        second = next(a for a in again if isinstance(a, ForwardRequest)).endpoint
        one, other = listed[first], listed[second]
        assert first != second
        assert one.zone == other.zone if group is DeduplicationScope.ZONE else one.cell == other.cell


def test_a_change_undone_by_the_next_in_the_same_turn_leaves_all_as_it_was():
    """Handling: `left`; what the first change shifted out comes back with what was learned of it."""
    policy = gateway(gateways=60, min_endpoints=4, zones=[])
    feed(policy, many(60, zone=0))
    usual = ready(policy)
    for n in usual:
        policy.parts.endpoints.track(policy.parts.endpoints.by_id[n]).latency_ratio = 2.0
    feed(
        policy,
        [backend(n, state=DRAINING) for n in range(1, 61) if n not in usual] + [backend(n) for n in (61, 62)],
    )
    feed(policy, many(60, zone=0) + [backend(n, state=REMOVED) for n in (61, 62)])
    assert ready(policy) == usual == set(policy.parts.endpoints.by_id)
    assert {policy.parts.endpoints.by_id[n].latency_ratio for n in usual} == {2.0}


def test_a_whole_list_that_leaves_out_half_is_followed_and_its_evidence_kept():
    """Handling: `EndpointRings.replace` takes what is not listed out of the rings."""
    policy = gateway(gateways=60, min_endpoints=4, zones=[])
    feed(policy, many(60, zone=0), FULL)
    usual = ready(policy)
    for n in usual:
        policy.parts.endpoints.track(policy.parts.endpoints.by_id[n]).latency_ratio = 2.0
    feed(policy, many(30, first=31, zone=0), FULL)
    assert len(ready(policy)) == 4 and min(ready(policy)) > 30 and policy.features[0].rings.ready_count == 30
    feed(policy, many(60, zone=0), FULL)
    assert ready(policy) == usual and {policy.parts.endpoints.by_id[n].latency_ratio for n in usual} == {2.0}


def test_budgets_are_shared_out_among_those_that_use_an_endpoint():
    """Else pressure is seen with fewer attempts out for each endpoint, the smaller the subset."""
    policy = gateway(gateways=60, min_endpoints=4, zones=[])
    assert policy.parts.capacity.sharing_gateways == 60
    feed(policy, many(60, zone=0))
    assert policy.parts.capacity.subset_ratio == 15.0 and policy.parts.capacity.sharing_gateways == 4.0


def test_types_that_the_settings_do_not_name_are_told_apart():
    """Else 920 services would be one. A known type is the same service at a gateway that does not name it."""
    listed = [
        {"name": f"s{n}", "address": "h:1", "zone": "a", "type": t, "status": "Ready"}
        for n, t in enumerate("xyzx")
    ]
    found = []
    for named in (["x"], []):
        _, _, entries = EndpointReader(["a"], named, HOST).read(
            {"index": 1, "snapshot": True, "endpoints": listed}
        )
        services = [endpoint_id(name) for name in named]
        feature = SubsettingFeature(gateway_settings(), SubsetSettings(ServiceBy.TYPE), ["a"], services)
        found.append([feature.service_of(b) for b, _ in entries])
    assert found[0] == found[1] and len(set(found[0])) == 3 and found[0][0] == found[0][3]


# ---- files, and whole gateways


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("subset: {service_by: name}", "service_by"),
        ("subset: {service_by: type, least: 0}", "least: must be above 0"),
        ("subset: {service_by: type, least_good: 9}", r"least_good: must be at most least \(3\)"),
        ("subset: {service_by: none, reach: region, layout: blocks}", "no regions are given"),
        ("subset: {service_by: none, reach: zone}", "used by no gateway"),
        ("subset: {service_by: none, regions: {x: [q]}}", "no zone is called q"),
        ("subset: {service_by: none, regions: {x: [a], y: [a]}}", "zone a is in x and in y"),
        ("subset: {service_by: none, layout: blocks}", "puts gateway 0 of 6 in zone a"),
        ("subset: {}", "service_by"),
    ],
)
def test_a_bad_file_is_one_line(text, error, tmp_path):
    path = tmp_path / "subset.yaml"
    path.write_text(text)
    with pytest.raises(FileError, match=error) as caught:
        features.check_subset(
            str(path), features.subset(str(path)), ZONES, gateway_settings(gateway_count=6, zone=1)
        )
    assert len(str(caught.value).splitlines()) == 1


def test_the_file_under_deploy_is_read_where_it_is_named():
    table = traffic.configuration(Plan(seed=1), 0, "127.0.0.1:1", "127.0.0.1:2", ["127.0.0.1:3"] * 3, 5, {})
    assert config.read(table, {}).subset is None
    table["features"] = {"subset": "deploy/subset.yaml"}
    assert config.read(table, {}).subset.service_by is ServiceBy.TYPE


@pytest.mark.parametrize("layout", [Layout.BLOCKS, Layout.INTERLEAVED])
def test_with_a_known_layout_each_zone_is_even_over_its_own_gateways(layout):
    taken = Counter()
    for me in range(30):
        zone = zone_of(layout, me, 30, 3)
        policy = gateway(me, 30, zone, layout=layout, reach=Reach.ZONE)
        feed(policy, many(75))
        assert {n % 3 for n in ready(policy)} == {zone}
        taken.update(ready(policy))
    assert len(taken) == 75 and set(taken.values()) == {4}


@pytest.mark.parametrize("seed", [*range(40, 46), 4174])
def test_whole_gateways_with_subsets_break_no_rule(seed):
    plan = draw(seed)
    plan.subset = True
    run = Run(plan)
    result = run.play()
    assert result.breach is None, result.breach
