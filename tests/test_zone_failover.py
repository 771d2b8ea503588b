"""Zone failover: routing weights, agreement in any order, states with hysteresis, whole gateways."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from zincstile.admin.http import Request
from zincstile.admin.operator_state import OperatorChange, OperatorState
from zincstile.cli import main
from zincstile.net import features
from zincstile.serialization.errors import FileError
from zincstile.simulation import mutants_place, place_search
from zincstile.simulation.plan import Fault, Plan
from zincstile.simulation.run import Run
from zincstile.zone_failover import codec
from zincstile.zone_failover.events import ZoneOverridden
from zincstile.zone_failover.feature import ZoneRoutingFeature
from zincstile.zone_failover.messages import (
    Generation,
    RoutingTable,
    VoteReply,
    VoteRequest,
    ZoneObservation,
    ZoneReport,
)
from zincstile.zone_failover.routing_weights import WEIGHT_TOTAL, ZoneLoad, route, to_weights
from zincstile.zone_failover.settings import ZoneFailoverSettings, parse_duration
from zincstile.zone_failover.zone_view import ZoneView

NEAR = [[0, 1, 40], [1, 0, 40], [40, 40, 0]]


def zone(demand, capacity, good=1.0, reachable_from=(True, True, True)):
    return ZoneLoad(demand, capacity, good, reachable_from=reachable_from)


def test_near_first_then_the_nearest_with_room_and_the_headroom_stays_free():
    calm = route([zone(80, 100), zone(70, 100), zone(60, 100)], NEAR, 0.15)
    assert calm == [[80, 0, 0], [0, 70, 0], [0, 0, 60]]
    lost = route([zone(80, 0, good=0.0), zone(70, 100), zone(60, 100)], NEAR, 0.15)
    assert lost[0] == [0, pytest.approx(15), pytest.approx(25)]  # 85 of 100 at most; 40 have no place
    full = route([zone(120, 100), zone(100, 100), zone(20, 100)], NEAR, 0.1)
    assert full[0] == [100, 0, pytest.approx(20)] and full[1] == [0, 100, 0]
    alone = route(
        [
            zone(50, 100, reachable_from=(True, False, False)),
            zone(10, 100, reachable_from=(False, True, True)),
            zone(10, 100, reachable_from=(False, True, True)),
        ],
        NEAR,
        0.1,
    )
    assert alone[0] == [50, 0, 0]  # cut off from the others, and well by itself
    free = route(
        [zone(50, 0, good=0.0), zone(10, math.inf, good=3.0), zone(10, math.inf, good=9.0)],
        [[0, 1, 1], [1, 0, 1], [1, 1, 0]],
        0.1,
    )
    assert free[0] == [0, pytest.approx(12.5), pytest.approx(37.5)]


@given(
    st.lists(
        st.tuples(st.floats(0, 500), st.floats(0, 500), st.booleans(), st.booleans()), min_size=1, max_size=6
    ),
    st.integers(0, 10**6),
    st.floats(0, 0.9),
)
def test_no_view_sends_a_zone_more_than_it_bears_or_others_into_its_headroom(rows, seed, headroom):
    rng, n = random.Random(seed), len(rows)
    reach = [tuple(rng.random() < 0.8 for _ in rows) for _ in rows]
    zones = [
        ZoneLoad(
            demand,
            capacity,
            1.0 if alive else 0.0,
            accepts_traffic=accepts,
            usable_ratio=float(accepts),
            reachable_from=reach[k],
        )
        for k, (demand, capacity, alive, accepts) in enumerate(rows)
    ]
    distance = [[0 if a == b else 1 + (a + b) % 3 for b in range(n)] for a in range(n)]
    made = route(zones, distance, headroom)
    assert made == route(zones, distance, headroom)
    for b, view in enumerate(zones):
        bears = view.capacity * view.usable_ratio if view.healthy_endpoints else 0.0
        assert sum(row[b] for row in made) <= bears + 1e-6
        others = sum(made[a][b] for a in range(n) if a != b)
        assert others <= max(0.0, bears * (1 - headroom) - made[b][b]) + 1e-6
        for a in range(n):
            assert not made[a][b] or zones[b].reachable_from[a]
        assert sum(made[b]) <= view.demand + 1e-6
    parts = to_weights(made, zones)
    assert all(sum(row) <= WEIGHT_TOTAL and min(row) >= 0 for row in parts)
    before = [[WEIGHT_TOTAL if a == b else 0 for b in range(n)] for a in range(n)]
    assert all(sum(row) <= WEIGHT_TOTAL and min(row) >= 0 for row in to_weights(made, zones, before, 0.25))


def test_what_is_short_moves_in_steps_and_what_is_lost_at_once():
    well, short = zone(80, 100), zone(80, 20)
    views = [short, well, well]
    local = [[WEIGHT_TOTAL, 0, 0], [0, WEIGHT_TOTAL, 0], [0, 0, WEIGHT_TOTAL]]
    first = to_weights(route(views, NEAR, 0.1), views, local, 0.25)
    assert first[0][1] + first[0][2] <= WEIGHT_TOTAL * 0.25 + 1 and first[0][0] > WEIGHT_TOTAL / 2
    gone = [zone(80, 0, good=0.0), zone(10, 200), zone(10, 200)]
    moved = to_weights(route(gone, NEAR, 0.1), gone, local, 0.25)
    assert moved[0] == [0, WEIGHT_TOTAL, 0]


@pytest.mark.parametrize("case", place_search.CASES)
def test_in_no_order_two_hold_a_term_or_tables_of_one_generation_differ(case):
    """sim place-search goes deeper."""
    for opening in place_search.OPENINGS:
        found = place_search.search(case, 2, opening, settle=20)
        assert not found.broken and found.states > 10, found


def test_each_deliberate_fault_is_named_and_nothing_where_there_is_none():
    found = mutants_place.try_all(tuple(mutants_place.MUTANTS), 8)
    assert not [name for name, said in found if not said]
    assert not [said for check in mutants_place.CHECKERS[1:] if (said := check())]


def test_messages_survive_their_codec_and_nothing_else_is_read():
    rng = random.Random(3)
    observations = tuple(
        ZoneObservation(k, k / 2, -1.0 if k % 3 else 0.5, math.inf if k % 2 else 7.5) for k in range(12)
    )
    made = [
        VoteRequest(7, 9),
        VoteReply(7, 9, True),
        ZoneReport(3, 9, 12, 2, 31.5, observations, 5, 2),
        RoutingTable(Generation(4, 2, 1, 99), tuple((20,) * 12 for _ in range(12)), (0, 3) * 6, 120_000_000),
    ]
    for message in made:
        data = codec.pack(message)
        assert len(data) <= 256 and codec.unpack(data) == message and codec.unpack(data[:-1]) is None
        for _ in range(50):
            spoilt = bytearray(data)
            spoilt[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
            codec.unpack(bytes(spoilt))  # nothing, or a message: no exception
    overfull = RoutingTable(Generation(1, 1, 1, 1), ((200, 200), (0, 250)), (0, 0))
    assert codec.unpack(codec.pack(overfull)) is None


def test_a_process_that_was_followed_by_another_says_nothing_more():
    view = ZoneView(ZoneFailoverSettings(), 3, 1)
    seen = (ZoneObservation(1, 1.0, 0.0, math.inf),)
    assert view.record(0, ZoneReport(1, 5, 9, 0, 1.0, seen))
    assert not view.record(0, ZoneReport(1, 5, 8, 0, 2.0, seen))
    assert view.record(1, ZoneReport(1, 6, 1, 0, 3.0, seen))
    assert not view.record(2, ZoneReport(1, 5, 99, 0, 4.0, seen))
    assert not view.record(2, ZoneReport(7, 1, 1, 0, 1.0, seen))
    assert not view.record(2, ZoneReport(2, 1, 1, 4, 1.0, seen))
    assert view.reports[1].report.demand == 3.0


def test_operators_drain_a_zone_and_see_the_table():
    state = OperatorState(zones=["a", "b"], describe_zones=lambda: "table 1")
    assert state.handle(Request("GET", "/place", b""), ready=True).text == "table 1"
    assert state.handle(Request("POST", "/place/drain", b"b"), ready=True).change is OperatorChange.ZONE_DRAIN
    assert state.handle(Request("POST", "/place/hold", b"c"), ready=True).status == 404
    assert OperatorState().handle(Request("GET", "/place", b""), ready=True).status == 404


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("place: {regions: {x: [a], y: [a]}}", "zone a is in x and in y"),
        ("place: {regions: {x: [a], y: [b]}, distances: [{between: [x, y], is: '40'}]}", "with its unit"),
        ("place: {regions: {x: [a]}, distances: [{between: [x, z], is: 4ms}]}", "no region is called 'z'"),
        ("place: {headroom: 0.9}", "there is no more room"),
        ("place: {electors: many}", "electors"),
        ("place: {regions: {x: [q]}}", "no zone is called q"),
    ],
)
def test_a_bad_file_is_one_line(text, said, tmp_path, capsys):
    path = tmp_path / "place.yaml"
    path.write_text(text + "\nzones: [{name: a, demand: 1, room: 2}, {name: b, demand: 1, room: 2}]\n")
    with pytest.raises(FileError, match=said):
        features.check_place(str(path), features.place(str(path)), ["a", "b"])
    assert main(["zones", "plan", str(path)]) == 2
    assert len(capsys.readouterr().err.strip().splitlines()) == 1
    assert parse_duration("40ms") == 40_000_000 and parse_duration("1.5 s") == 1_500_000_000


def test_the_dry_run_tells_what_has_no_place(capsys):
    assert main(["zones", "plan", "deploy/place.yaml", "--lose", "zone-03"]) == 0
    assert main(["zones", "plan", "deploy/place.yaml", "--lose", "north"]) == 1
    assert "82.5 of 210.0 units a second have no place" in capsys.readouterr().out


def agreement(node):
    """A gateway's part in the agreement on zones."""
    features = node.gateway.dispatcher.policy.features
    [zones] = [feature for feature in features if isinstance(feature, ZoneRoutingFeature)]
    return zones.agreement


@pytest.mark.parametrize(("seed", "share"), [(5, False), (6, True)])
def test_a_lost_zone_is_left_by_all_in_one_step_and_got_back_slowly(seed, share):
    lost = [k for k in range(18) if k % 3 == 1]
    run = Run(
        Plan(
            seed=seed,
            gateways=6,
            boxes=18,
            requests=1500,
            last_ms=17000,
            place=True,
            greedy=0.1,
            anchored=False,
            share=share,
            faults=[Fault("unreachable", 2500, 4000, lost)],
        )
    )
    sent = []  # seconds, crossed
    went = run.checker.attempt_started

    def heard(gateway, box, request, first_ns):
        at = (run.scheduler.now_ns - run.began_ns) / 1e9
        sent.append((at, run.checker.locations[box][0], int(gateway[1:]) % 3))
        return went(gateway, box, request, first_ns)

    run.checker.attempt_started = heard
    result = run.play()
    assert result.breach is None, result.breach
    calm = [z != home for at, z, home in sent if at < 2.4]
    assert sum(calm) <= 0.02 * len(calm) + 1
    after = [z == 1 for at, z, _ in sent if 3.9 < at < 6.5]
    assert sum(after) <= 0.08 * len(after)
    back = [z == 1 for at, z, home in sent if at > 14.5 and home == 1]
    assert sum(back) >= 0.8 * len(back)
    tables = {agreement(s).table(run.scheduler.now_ns).weights for s in run.nodes}
    assert len(tables) == 1


def test_a_zone_that_one_gateway_is_told_to_drain_is_left_by_all_until_it_is_told_back():
    run = Run(
        Plan(
            seed=8, gateways=6, boxes=18, requests=1300, last_ms=15000, place=True, greedy=0.1, anchored=False
        )
    )
    sent = []
    went = run.checker.attempt_started

    def heard(gateway, box, request, first_ns):
        sent.append(((run.scheduler.now_ns - run.began_ns) / 1e9, run.checker.locations[box][0]))
        return went(gateway, box, request, first_ns)

    run.checker.attempt_started = heard
    for at, drained in ((3, True), (8, False)):
        run.scheduler.call_at(
            run.began_ns + at * 10**9,
            lambda drained=drained: run.nodes[0].gateway.dispatcher.post(ZoneOverridden(1, drained=drained)),
        )
    assert run.play().breach is None

    def part(begin, end):
        chosen = [zone == 1 for at, zone in sent if begin <= at < end]
        return sum(chosen) / len(chosen)

    assert part(0, 3) > 0.2 and part(4.5, 8) == 0.0 and part(12, 15) > 0.2
    assert {agreement(s).trackers[1].state.name for s in run.nodes} == {"WELL"}
