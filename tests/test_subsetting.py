"""Subsets of endpoints: comparison with a simple model, properties, and difficult cases."""

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


def gateway(index=0, gateways=12, zone=0, classes=None, zones=ZONES, **subset):
    """Returns a policy with subsetting; by default its only class is always idempotent."""
    own = gateway_settings(
        gateway_index=index, gateway_count=gateways, zone=zone, classes=classes or IDEMPOTENT
    )
    feature = SubsettingFeature(own, SubsetSettings(**subset), zones, [])
    policy = Policy(own, 1, [feature])
    policy.handle(NOW, Started())
    return policy


def apply_list(policy, entries, kind=DELTA, now=NOW):
    return policy.handle(now, EndpointList(kind, 1, entries))


def ready_ids(policy):
    return {s.entry.id for s in policy.parts.endpoints.ready}


def backends(count, first=1, zone=None, state=READY, started=0):
    return [backend(n, n % 3 if zone is None else zone, state, started) for n in range(first, first + count)]


def tick(policy, now):
    return policy.handle(now, TimerFired(2))


def fail(policy, endpoint_ids, now, bad=1.0):
    """Records failed attempts of these endpoints in the outlier detector, and ticks the policy."""
    for failed_id in endpoint_ids:
        policy.parts.detector.apply_sample(policy.parts.endpoints.by_id[failed_id], 255, bad, 1.0)
    return tick(policy, now)


# ---- placement


@given(st.integers(1, 300), st.integers(1, 400), st.integers(1, 30), st.integers(1, 8), st.integers(0, 10**6))
def test_the_gateways_use_all_endpoints_evenly(gateways, total, min_endpoints, min_gateways, offset):
    size = slice_size(total, min_endpoints, min_gateways, gateways)
    assert size >= min(min_endpoints, total)
    uses = Counter()
    for index in range(gateways):
        first = first_rank(index, gateways, total, offset)
        uses.update((first + k) % total for k in range(size))
    mean = gateways * size / total
    assert {uses[k] for k in range(total)} <= {math.floor(mean), math.ceil(mean)}
    if min_gateways >= 4:
        assert max(uses.values()) <= 1.25 * mean and min(uses.values()) >= 0.75 * mean


@given(st.integers(1, 60), st.integers(1, 200), st.integers(1, 20), st.data())
def test_removing_one_endpoint_exchanges_at_most_one_other_of_a_slice(gateways, total, min_endpoints, data):
    keys = sorted(ring_key(7, n) for n in range(total))
    removed = data.draw(st.sampled_from(keys))
    for index in range(gateways):
        slices = []
        for ring in (keys, [k for k in keys if k != removed]):
            size = slice_size(len(ring), min_endpoints, 4, gateways) if ring else 0
            first = first_rank(index, gateways, len(ring), 5) if ring else 0
            slices.append({ring[(first + k) % len(ring)] for k in range(size)})
        before, after = slices
        assert len(before - after - {removed}) <= 1 + (len(before) > len(after))
        assert len(after - before) <= 1 + (removed in before)


@pytest.mark.parametrize("gateways", [2100, 300])
def test_blocks_and_regular_selections_of_gateways_spread_evenly_over_the_endpoints(gateways):
    """In a large fleet with all zones in reach, the gateways of one zone may be busier than the others."""
    fifth = gateways // 5
    for chosen in (range(2 * fifth, 3 * fifth), range(2, gateways, 5)):
        for total in (20, fifth, 2 * fifth):
            size = slice_size(total, 3, 4, fifth)
            uses = Counter()
            for index in chosen:
                uses.update((first_rank(index, gateways, total, 5) + k) % total for k in range(size))
            mean = len(chosen) * size / total
            assert max(uses.values()) <= 1.6 * mean and min(uses[k] for k in range(total)) >= 0.4 * mean


# ---- rings and subset compared with a simple model

ENTRY = st.builds(
    lambda number, zone, machine_type, cell, state, started: EndpointEntry(
        number, zone, machine_type, cell, state, 1.0, started
    ),
    st.integers(1, 40),
    st.integers(0, 3),
    st.integers(0, 2),
    st.integers(0, 3),
    st.sampled_from([READY, READY, READY, DRAINING, REMOVED]),
    st.sampled_from([0, 5 * SECOND]),
)
LISTS = st.lists(st.tuples(st.sampled_from([DELTA, DELTA, FULL]), st.lists(ENTRY, max_size=30)), max_size=8)


def model_members(table, index, gateways, tiers, min_endpoints, max_growth):
    """Computes the whole subset from scratch, for services by type and only healthy endpoints."""
    rings = defaultdict(list)
    for b in table.values():
        if b.state is READY:
            rings[b.machine_type, b.zone].append(b.id)
    members = set()
    for service in {s for s, _ in rings}:
        tier = next(t for t in tiers if any((service, z) in rings for z in t))
        zones_with_endpoints = [z for z in tier if (service, z) in rings]
        scale = min(max_growth, max(1, len([z for z in tier if z < 3]) / len(zones_with_endpoints)))
        for zone in zones_with_endpoints:
            ring = sorted(rings[service, zone], key=lambda n: ring_key(service, n))
            fleet = Fleet(
                SubsetSettings(reach=Reach.ZONE, layout=INTERLEAVED), index, gateways, index % 3, ZONES
            )
            position = fleet.position(zone) if len(tiers) > 1 else fleet.position_in_fleet
            size = min(len(ring), max(min_endpoints, math.ceil(4 * len(ring) / position.count)))
            offset = stable_hash(service, fleet.zone_name(zone)) % position.count
            first = first_rank(index, position.count, len(ring), offset)
            members |= {ring[(first + k) % len(ring)] for k in range(min(len(ring), math.ceil(size * scale)))}
    return members


@settings(max_examples=200, deadline=None)
@given(LISTS, st.integers(1, 9), st.sampled_from([Reach.ALL, Reach.ZONE]), st.data())
def test_subset_and_rings_equal_those_of_a_simple_model_for_any_lists(lists, count, reach, data):
    index = data.draw(st.integers(0, count - 1))
    policy = gateway(
        index, count, index % 3, service_by=ServiceBy.TYPE, reach=reach, min_endpoints=2, layout=INTERLEAVED
    )
    tiers = [(index % 3,), (0, 1, 2, 3)] if reach is Reach.ZONE else [(0, 1, 2, 3)]
    table = {}
    for kind, entries in lists:
        apply_list(policy, entries, kind)
        table = {} if kind is FULL else table
        for b in entries:
            table[b.id] = b
        table = {n: b for n, b in table.items() if b.state is not REMOVED}
        assert policy.features[0].rings.endpoints == table
        assert {
            ring_id: [k & (2**64 - 1) for k in ring.keys]
            for ring_id, ring in policy.features[0].rings.rings.items()
        } == model_rings(table)
        assert ready_ids(policy) == model_members(table, index, count, tiers, 2, 3)
        assert all(s.entry == table[n] for n, s in policy.parts.endpoints.by_id.items())


def model_rings(table):
    rings = defaultdict(list)
    for b in table.values():
        if b.state is READY:
            rings[b.machine_type, b.zone].append(b.id)
    return {p: sorted(r, key=lambda n: ring_key(p[0], n)) for p, r in rings.items()}


# ---- cold endpoints


@settings(max_examples=40, deadline=None)
@given(st.integers(2, 24), st.integers(4, 60), st.integers(2, 10), st.integers(0, 59), st.floats(1, 1000))
def test_all_gateways_together_limit_a_cold_endpoint_to_its_share(gateways, total, min_endpoints, cold, rate):
    """The sum over a fleet is bounded by the rate of the busiest warm endpoint, and before any rate was
    observed, by one initial rate for all gateways together."""
    now, cold, observed, initial, warm_rates = 10 * SECOND, 1 + cold % total, 0.0, 0.0, Counter()
    for index in range(gateways):
        own = gateway_settings(
            gateway_index=index,
            gateway_count=gateways,
            slow_start_share=0.2,
            slow_start_ns=30 * SECOND,
            slow_start_overload_multiple=2.0,
        )
        policy = Policy(own, 1, [SubsettingFeature(own, SubsetSettings(min_endpoints=min_endpoints), [], [])])
        policy.handle(now, Started())
        apply_list(policy, [backend(n, started_ns=now if n == cold else 0) for n in range(1, total + 1)])
        policy.parts.budget.groups[0].arrival_rate = rate / gateways
        sent_per_s = sum(x.arrival_rate * x.admission_rate for x in policy.parts.budget.groups)
        policy.parts.capacity.classify(now)
        initial += (
            policy.parts.slow_start.cumulative_shares[0]
            * policy.parts.slow_start.max_share_multiple
            * sent_per_s
            if policy.parts.slow_start.cumulative_shares
            else 0.0
        )
        policy.parts.limit.completed_per_s = rate / gateways
        policy.parts.capacity.classify(now)
        observed += (
            policy.parts.slow_start.cumulative_shares[0]
            * policy.parts.slow_start.max_share_multiple
            * sent_per_s
            if policy.parts.slow_start.cumulative_shares
            else 0.0
        )
        warm_rates.update(
            {
                s.entry.id: policy.parts.limit.completed_per_s / policy.parts.capacity.healthy_endpoints
                for s in policy.parts.endpoints.warm
            }
        )
    multiple = 0.2 * OVERLOAD_SHARE * 2.0
    assert initial <= multiple * 4.0 / INITIAL_RATE_DIVISOR * 1.000001
    assert observed <= multiple * max(1.25 * max(warm_rates.values()), 4.0 / INITIAL_RATE_DIVISOR) * 1.000001


def test_the_observed_rate_of_an_endpoint_stays_when_all_others_drain():
    """Without `Capacity.working`, the last, cold endpoint is credited with the work of all (seed 4174)."""
    policy = gateway(gateways=3, zones=[])
    apply_list(policy, backends(12, zone=0))
    tick(policy, 10 * SECOND)
    policy.parts.limit.completed_per_s = 24.0
    policy.parts.capacity.classify(10 * SECOND)
    apply_list(policy, [*backends(12, zone=0, state=DRAINING), backend(13, started_ns=10 * SECOND)])
    policy.parts.capacity.classify(10 * SECOND)
    assert policy.parts.slow_start.peak_endpoint_rate == 2.0 and policy.parts.limit.completed_per_s == 24.0


# ---- difficult cases


def test_a_slice_of_failing_endpoints_is_widened_up_to_its_limit_and_shrinks_once():
    """Without `Widening.review` on each tick, a gateway has no other endpoints to use."""
    policy = gateway(
        gateways=60, min_endpoints=4, min_usable=2, max_growth=3, recovery_ns=2 * SECOND, zones=[]
    )
    apply_list(policy, backends(60, zone=0))
    regular, now = ready_ids(policy), 11 * SECOND
    assert len(regular) == 4
    fail(policy, regular, now)
    widened = ready_ids(policy)
    assert len(widened) == 8 and regular < widened and policy.state_values()["widened"] == 1
    for _ in range(4):
        now += SECOND
        fail(policy, ready_ids(policy), now)
    assert len(ready_ids(policy)) == 12  # the maximum size, though all endpoints fail
    sizes = []
    for _ in range(60):  # the scores decay
        now += SECOND
        tick(policy, now)
        sizes.append(len(ready_ids(policy)))
    assert ready_ids(policy) == regular and sizes == sorted(sizes, reverse=True)
    assert sizes.count(12) >= 15  # until the endpoints were healthy for `recovery_ns`
    fail(policy, regular, now)
    assert policy.features[0].selection.widenings[0, 0].recovery_ns == 4 * SECOND  # doubled by the relapse


@pytest.mark.parametrize("state", [DRAINING, REMOVED])
def test_draining_and_removed_endpoints_are_replaced_at_once_and_return_to_the_same_slice(state):
    """Rings contain only ready endpoints."""
    policy = gateway(gateways=60, min_endpoints=4, zones=[])
    apply_list(policy, backends(60, zone=0))
    regular = ready_ids(policy)
    apply_list(policy, [backend(n, state=state) for n in regular])
    assert len(ready_ids(policy)) == 4 and not ready_ids(policy) & regular
    assert (
        regular <= set(policy.parts.endpoints.by_id)
        if state is DRAINING
        else not regular & set(policy.parts.endpoints.by_id)
    )
    apply_list(policy, [backend(n) for n in regular])
    assert ready_ids(policy) == regular == set(policy.parts.endpoints.by_id)


def test_subsets_from_lists_of_different_age_differ_only_by_the_changes():
    """Slices depend only on endpoint ids, and each change exchanges at most one other endpoint."""
    old_uses, mixed_uses = Counter(), Counter()
    for index in range(40):
        policy = gateway(index, 40, min_endpoints=5, zones=[])
        apply_list(policy, backends(100, zone=0))
        old = ready_ids(policy)
        old_uses.update(old)
        apply_list(policy, [backend(101), backend(102), backend(7, state=DRAINING)])
        mixed_uses.update(ready_ids(policy) if index % 2 else old)
        assert len(ready_ids(policy) ^ old) <= 2 * 3
    assert set(old_uses) == set(range(1, 101)) and set(old_uses.values()) == {4}
    assert all(mixed_uses[n] >= 2 for n in range(1, 101) if n != 7)


def test_a_returning_endpoint_keeps_its_slice_and_keeps_its_scores_unless_restarted():
    """The position on a ring depends on the name alone, but scores are only kept for the same start time."""
    policy = gateway(gateways=60, min_endpoints=4, zones=[])
    apply_list(policy, backends(60, zone=0, started=SECOND))
    regular = ready_ids(policy)
    returning_id = min(regular)
    policy.parts.endpoints.track(policy.parts.endpoints.by_id[returning_id]).latency_ratio = 3.0
    apply_list(policy, [backend(returning_id, state=REMOVED, started_ns=SECOND)])
    apply_list(policy, [backend(returning_id, started_ns=SECOND)])
    assert ready_ids(policy) == regular and policy.parts.endpoints.by_id[returning_id].latency_ratio == 3.0
    apply_list(policy, [backend(returning_id, state=REMOVED, started_ns=SECOND)])
    apply_list(policy, [backend(returning_id, started_ns=9 * SECOND)])
    assert ready_ids(policy) == regular and policy.parts.endpoints.by_id[returning_id].latency_ratio == 1.0


def test_the_result_of_an_attempt_in_flight_counts_after_its_endpoint_left_the_subset():
    """`DepartedEndpoints` keeps the endpoint, and its attempt goes on."""
    policy = gateway(index=30, gateways=600, min_endpoints=4, zones=[])
    apply_list(policy, backends(60, zone=0))
    actions = policy.handle(10 * SECOND, Request(1, 0, 0, 7, 14 * SECOND, 1.0, 1, 0))
    chosen_id = next(a for a in actions if isinstance(a, ForwardRequest)).endpoint
    others = [b for b in backends(60, zone=0) if b.id in ready_ids(policy) - {chosen_id}]
    for added in range(61, 300):  # until the endpoint leaves the slice
        apply_list(policy, [backend(added)])
        if chosen_id not in ready_ids(policy):
            break
    assert chosen_id not in policy.parts.endpoints.by_id and not [
        a for a in policy.parts.actions if isinstance(a, CancelAttempt)
    ]
    policy.handle(10 * SECOND + MS, AttemptOutcome(1, 0, chosen_id, AttemptResult.ERROR, MS, True))
    assert not policy.parts.attempts.in_flight
    apply_list(policy, [backend(n, state=REMOVED) for n in range(61, added + 1)])
    assert (
        chosen_id in ready_ids(policy)
        and policy.parts.endpoints.by_id[chosen_id].error_scores
        and not policy.parts.endpoints.by_id[chosen_id].in_flight
    )
    assert {b.id for b in others} < ready_ids(policy)


@pytest.mark.parametrize("reach", [Reach.ALL, Reach.ZONE])
def test_other_zones_replace_a_lost_zone_until_it_returns(reach):
    """Slices are scaled for zones in reach without endpoints; without any, the next tier is used."""
    policy = gateway(gateways=90, min_endpoints=4, reach=reach, layout=INTERLEAVED)
    apply_list(policy, backends(180))
    regular = ready_ids(policy)
    zones = Counter(n % 3 for n in regular)
    assert zones == ({0: 4, 1: 4, 2: 4} if reach is Reach.ALL else {0: 8})
    apply_list(policy, backends(180)[2::3], FULL)
    assert (
        Counter(n % 3 for n in ready_ids(policy)) == {0: 12}
        if reach is Reach.ALL
        else ready_ids(policy) == regular
    )
    apply_list(policy, [b for b in backends(180) if b.zone != 0], FULL)
    assert Counter(n % 3 for n in ready_ids(policy)) == {1: 6, 2: 6}
    apply_list(policy, backends(180), FULL)
    assert ready_ids(policy) == regular


def test_other_zones_are_used_while_all_listed_endpoints_of_a_zone_fail():
    """The slices set `Widening.needs_further_zones`, and the next tier is used."""
    policy = gateway(gateways=90, min_endpoints=4, reach=Reach.ZONE, layout=INTERLEAVED, recovery_ns=SECOND)
    apply_list(policy, backends(180))
    regular, now = ready_ids(policy), 10 * SECOND
    for _ in range(6):
        now += SECOND
        fail(policy, [n for n in ready_ids(policy) if n % 3 == 0], now)
    assert {n % 3 for n in ready_ids(policy)} == {0, 1, 2} and regular < ready_ids(policy)
    for _ in range(60):
        now += SECOND
        tick(policy, now)
    assert ready_ids(policy) == regular


def test_replacing_a_whole_service_keeps_its_slice_size_and_no_other_service_changes():
    """Rings contain only ready endpoints, and a change recomputes only the slices of its own service."""
    policy = gateway(gateways=30, min_endpoints=4, service_by=ServiceBy.TYPE, zones=[])
    apply_list(policy, [EndpointEntry(n, 0, n % 2, 0, READY, 1.0, 0) for n in range(1, 121)])
    other = {n for n in ready_ids(policy) if n % 2 == 0}
    for batch in range(4):
        old = range(1 + 30 * batch, 31 + 30 * batch, 2)
        now = 10 * SECOND + batch * 8 * SECOND
        apply_list(policy, [EndpointEntry(n + 1000, 0, 1, 0, READY, 1.0, now) for n in old])
        apply_list(policy, [EndpointEntry(n, 0, 1, 0, DRAINING, 1.0, 0) for n in old])
        assert len(ready_ids(policy) - other) == 8 and other <= ready_ids(policy)
        apply_list(policy, [EndpointEntry(n, 0, 1, 0, REMOVED, 1.0, 0) for n in old])
        assert len(ready_ids(policy) - other) == 8
    assert min(ready_ids(policy) - other) > 1000
    assert policy.features[0].departed.count <= 3 * 60 and set(policy.parts.endpoints.by_id) == ready_ids(
        policy
    )


def test_all_gateways_use_the_only_endpoint_of_a_service_even_if_it_fails():
    """The size of a slice and its required usable endpoints are bounded by the size of the ring."""
    for index in range(5):
        policy = gateway(
            index, 5, service_by=ServiceBy.TYPE, reach=Reach.ZONE, zone=index % 3, layout=INTERLEAVED
        )
        apply_list(policy, [*backends(30), EndpointEntry(99, 2, 9, 0, READY, 1.0, 0)])
        assert 99 in ready_ids(policy)
        fail(policy, [99], 11 * SECOND, bad=0.2)
        assert policy.state_values()["widened"] == 0
        fail(policy, [99], 11 * SECOND)
        assert 99 in ready_ids(policy)
        apply_list(policy, [EndpointEntry(99, 2, 9, 0, DRAINING, 1.0, 0)])
        tick(policy, 12 * SECOND)
        assert 99 not in ready_ids(policy) and policy.state_values()["widened"] == 0


@pytest.mark.parametrize(("gateways", "total", "size"), [(3, 30, 30), (8, 100, 50), (200, 6, 3), (200, 2, 2)])
def test_load_is_even_with_more_or_fewer_gateways_than_endpoints(gateways, total, size):
    """`slice_size` grows if there are few gateways for many endpoints."""
    uses = Counter()
    for index in range(gateways):
        policy = gateway(index, gateways, zones=[])
        apply_list(policy, backends(total, zone=0))
        assert len(ready_ids(policy)) == size
        uses.update(ready_ids(policy))
    assert len(uses) == total and max(uses.values()) <= 1.25 * gateways * size / total


@pytest.mark.parametrize("group", [DeduplicationScope.ZONE, DeduplicationScope.CELL])
def test_a_deduplication_scope_has_a_second_endpoint_in_the_slice(group):
    """Retries stay in the scope: `Ring.partner` adds a second endpoint of a cell; a zone has at least two."""
    put = RequestClass(
        "put",
        SECOND,
        4 * SECOND,
        Idempotency.BY_KEY,
        2.0,
        deduplication_scope=group,
        deduplication_window_ns=500 * MS,
    )
    for index in range(20):
        policy = gateway(index, 40, classes=[put], min_endpoints=1, min_usable=1, min_gateways=1)
        entries_by_id = {n: backend(n, n % 3, cell=n // 2 % 30) for n in range(1, 121)}
        apply_list(policy, list(entries_by_id.values()))
        assert len(ready_ids(policy)) < 60
        actions = policy.handle(10 * SECOND, Request(1, 0, 0, 7, 14 * SECOND, 1.0, 1, 0))
        failed = next(a for a in actions if isinstance(a, ForwardRequest)).endpoint
        retry = policy.handle(10 * SECOND + MS, AttemptOutcome(1, 0, failed, AttemptResult.ERROR, MS, False))
        retried = next(a for a in retry if isinstance(a, ForwardRequest)).endpoint
        first, second = entries_by_id[failed], entries_by_id[retried]
        assert failed != retried
        assert first.zone == second.zone if group is DeduplicationScope.ZONE else first.cell == second.cell


def test_a_change_that_the_next_one_reverts_leaves_subset_and_scores_unchanged():
    """Endpoints that the first change removed from the slice return with their scores."""
    policy = gateway(gateways=60, min_endpoints=4, zones=[])
    apply_list(policy, backends(60, zone=0))
    old = ready_ids(policy)
    for n in old:
        policy.parts.endpoints.track(policy.parts.endpoints.by_id[n]).latency_ratio = 2.0
    apply_list(
        policy,
        [backend(n, state=DRAINING) for n in range(1, 61) if n not in old] + [backend(n) for n in (61, 62)],
    )
    apply_list(policy, backends(60, zone=0) + [backend(n, state=REMOVED) for n in (61, 62)])
    assert ready_ids(policy) == old == set(policy.parts.endpoints.by_id)
    assert {policy.parts.endpoints.by_id[n].latency_ratio for n in old} == {2.0}


def test_a_full_list_without_half_of_the_endpoints_is_applied_and_scores_are_kept():
    """`EndpointRings.replace` removes endpoints that are not listed from the rings."""
    policy = gateway(gateways=60, min_endpoints=4, zones=[])
    apply_list(policy, backends(60, zone=0), FULL)
    old = ready_ids(policy)
    for n in old:
        policy.parts.endpoints.track(policy.parts.endpoints.by_id[n]).latency_ratio = 2.0
    apply_list(policy, backends(30, first=31, zone=0), FULL)
    assert (
        len(ready_ids(policy)) == 4
        and min(ready_ids(policy)) > 30
        and policy.features[0].rings.ready_count == 30
    )
    apply_list(policy, backends(60, zone=0), FULL)
    assert ready_ids(policy) == old and {policy.parts.endpoints.by_id[n].latency_ratio for n in old} == {2.0}


def test_budgets_are_divided_among_the_gateways_that_use_an_endpoint():
    """Otherwise smaller subsets would detect overload with fewer attempts in flight for each endpoint."""
    policy = gateway(gateways=60, min_endpoints=4, zones=[])
    assert policy.parts.capacity.sharing_gateways == 60
    apply_list(policy, backends(60, zone=0))
    assert policy.parts.capacity.subset_ratio == 15.0 and policy.parts.capacity.sharing_gateways == 4.0


def test_machine_types_that_the_settings_do_not_name_are_different_services():
    """Otherwise 920 services would be a single one. A type has the same service number at all gateways."""
    raw_entries = [
        {"name": f"s{n}", "address": "h:1", "zone": "a", "type": t, "status": "Ready"}
        for n, t in enumerate("xyzx")
    ]
    services = []
    for configured_types in (["x"], []):
        _, _, entries = EndpointReader(["a"], configured_types, HOST).read(
            {"index": 1, "snapshot": True, "endpoints": raw_entries}
        )
        type_ids = [endpoint_id(name) for name in configured_types]
        feature = SubsettingFeature(gateway_settings(), SubsetSettings(ServiceBy.TYPE), ["a"], type_ids)
        services.append([feature.service_of(b) for b, _ in entries])
    assert services[0] == services[1] and len(set(services[0])) == 3 and services[0][0] == services[0][3]


# ---- configuration files and whole gateways


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
def test_an_invalid_file_gives_a_one_line_error(text, error, tmp_path):
    path = tmp_path / "subset.yaml"
    path.write_text(text)
    with pytest.raises(FileError, match=error) as caught:
        features.check_subset(
            str(path), features.read_subset(str(path)), ZONES, gateway_settings(gateway_count=6, zone=1)
        )
    assert len(str(caught.value).splitlines()) == 1


def test_the_file_in_deploy_is_only_read_if_configured():
    table = traffic.configuration(Plan(seed=1), 0, "127.0.0.1:1", "127.0.0.1:2", ["127.0.0.1:3"] * 3, 5, {})
    assert config.read(table, {}).subset is None
    table["features"] = {"subset": "deploy/subset.yaml"}
    assert config.read(table, {}).subset.service_by is ServiceBy.TYPE


@pytest.mark.parametrize("layout", [Layout.BLOCKS, Layout.INTERLEAVED])
def test_with_a_known_layout_the_endpoints_of_a_zone_are_evenly_used_by_its_gateways(layout):
    uses = Counter()
    for index in range(30):
        zone = zone_of(layout, index, 30, 3)
        policy = gateway(index, 30, zone, layout=layout, reach=Reach.ZONE)
        apply_list(policy, backends(75))
        assert {n % 3 for n in ready_ids(policy)} == {zone}
        uses.update(ready_ids(policy))
    assert len(uses) == 75 and set(uses.values()) == {4}


@pytest.mark.parametrize("seed", [*range(40, 46), 4174])
def test_simulated_gateways_with_subsets_break_no_rule(seed):
    plan = draw(seed)
    plan.subset = True
    run = Run(plan)
    result = run.play()
    assert result.breach is None, result.breach
