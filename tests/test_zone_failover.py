"""Zone failover: routing weights, agreement under reordered messages, zone states, whole gateways."""

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

DISTANCE = [[0, 1, 40], [1, 0, 40], [40, 40, 0]]


def zone(demand, capacity, good=1.0, reachable_from=(True, True, True)):
    return ZoneLoad(demand, capacity, good, reachable_from=reachable_from)


def test_traffic_stays_local_then_goes_to_the_nearest_zone_and_leaves_headroom_free():
    before_loss = route([zone(80, 100), zone(70, 100), zone(60, 100)], DISTANCE, 0.15)
    assert before_loss == [[80, 0, 0], [0, 70, 0], [0, 0, 60]]
    lost = route([zone(80, 0, good=0.0), zone(70, 100), zone(60, 100)], DISTANCE, 0.15)
    # at most 85 of 100 are used; 40 are not routed
    assert lost[0] == [0, pytest.approx(15), pytest.approx(25)]
    full = route([zone(120, 100), zone(100, 100), zone(20, 100)], DISTANCE, 0.1)
    assert full[0] == [100, 0, pytest.approx(20)] and full[1] == [0, 100, 0]
    separated = route(
        [
            zone(50, 100, reachable_from=(True, False, False)),
            zone(10, 100, reachable_from=(False, True, True)),
            zone(10, 100, reachable_from=(False, True, True)),
        ],
        DISTANCE,
        0.1,
    )
    assert separated[0] == [50, 0, 0]  # cut off from the other zones, but serves its own traffic
    unbounded = route(
        [zone(50, 0, good=0.0), zone(10, math.inf, good=3.0), zone(10, math.inf, good=9.0)],
        [[0, 1, 1], [1, 0, 1], [1, 1, 0]],
        0.1,
    )
    assert unbounded[0] == [0, pytest.approx(12.5), pytest.approx(37.5)]


@given(
    st.lists(
        st.tuples(st.floats(0, 500), st.floats(0, 500), st.booleans(), st.booleans()), min_size=1, max_size=6
    ),
    st.integers(0, 10**6),
    st.floats(0, 0.9),
)
def test_routing_never_exceeds_a_zones_capacity_or_uses_its_headroom_for_other_zones(rows, seed, headroom):
    rng, n = random.Random(seed), len(rows)
    reach = [tuple(rng.random() < 0.8 for _ in rows) for _ in rows]
    zones = [
        ZoneLoad(
            demand,
            capacity,
            1.0 if healthy else 0.0,
            accepts_traffic=accepts,
            usable_ratio=float(accepts),
            reachable_from=reach[k],
        )
        for k, (demand, capacity, healthy, accepts) in enumerate(rows)
    ]
    distance = [[0 if a == b else 1 + (a + b) % 3 for b in range(n)] for a in range(n)]
    rates = route(zones, distance, headroom)
    assert rates == route(zones, distance, headroom)
    for b, view in enumerate(zones):
        usable = view.capacity * view.usable_ratio if view.healthy_endpoints else 0.0
        assert sum(row[b] for row in rates) <= usable + 1e-6
        from_other_zones = sum(rates[a][b] for a in range(n) if a != b)
        assert from_other_zones <= max(0.0, usable * (1 - headroom) - rates[b][b]) + 1e-6
        for a in range(n):
            assert not rates[a][b] or zones[b].reachable_from[a]
        assert sum(rates[b]) <= view.demand + 1e-6
    weights = to_weights(rates, zones)
    assert all(sum(row) <= WEIGHT_TOTAL and min(row) >= 0 for row in weights)
    before = [[WEIGHT_TOTAL if a == b else 0 for b in range(n)] for a in range(n)]
    assert all(sum(row) <= WEIGHT_TOTAL and min(row) >= 0 for row in to_weights(rates, zones, before, 0.25))


def test_traffic_leaves_a_short_zone_in_steps_and_a_lost_zone_at_once():
    well_zone, short_zone = zone(80, 100), zone(80, 20)
    loads = [short_zone, well_zone, well_zone]
    local = [[WEIGHT_TOTAL, 0, 0], [0, WEIGHT_TOTAL, 0], [0, 0, WEIGHT_TOTAL]]
    first = to_weights(route(loads, DISTANCE, 0.1), loads, local, 0.25)
    assert first[0][1] + first[0][2] <= WEIGHT_TOTAL * 0.25 + 1 and first[0][0] > WEIGHT_TOTAL / 2
    lost_loads = [zone(80, 0, good=0.0), zone(10, 200), zone(10, 200)]
    moved = to_weights(route(lost_loads, DISTANCE, 0.1), lost_loads, local, 0.25)
    assert moved[0] == [0, WEIGHT_TOTAL, 0]


@pytest.mark.parametrize("case", place_search.CASES)
def test_no_message_order_gives_two_leaders_or_different_tables_of_one_generation(case):
    """`sim place-search` searches to a greater depth."""
    for opening in place_search.OPENINGS:
        result = place_search.search(case, 2, opening, states_to_settle=20)
        assert not result.violation and result.states > 10, result


def test_checkers_report_each_deliberate_fault_and_nothing_without_one():
    results = mutants_place.try_all(tuple(mutants_place.MUTANTS), 8)
    assert not [name for name, error in results if not error]
    assert not [error for check in mutants_place.CHECKERS[1:] if (error := check())]


def test_messages_round_trip_and_damaged_datagrams_are_not_decoded():
    rng = random.Random(3)
    observations = tuple(
        ZoneObservation(k, k / 2, -1.0 if k % 3 else 0.5, math.inf if k % 2 else 7.5) for k in range(12)
    )
    messages = [
        VoteRequest(7, 9),
        VoteReply(7, 9, True),
        ZoneReport(3, 9, 12, 2, 31.5, observations, 5, 2),
        RoutingTable(Generation(4, 2, 1, 99), tuple((20,) * 12 for _ in range(12)), (0, 3) * 6, 120_000_000),
    ]
    for message in messages:
        data = codec.pack(message)
        assert len(data) <= 256 and codec.unpack(data) == message and codec.unpack(data[:-1]) is None
        for _ in range(50):
            corrupted = bytearray(data)
            corrupted[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
            codec.unpack(bytes(corrupted))  # returns None or a message, but raises nothing
    overfull = RoutingTable(Generation(1, 1, 1, 1), ((200, 200), (0, 250)), (0, 0))
    assert codec.unpack(codec.pack(overfull)) is None


def test_reports_of_a_replaced_process_and_invalid_reports_are_ignored():
    view = ZoneView(ZoneFailoverSettings(), 3, 1)
    observations = (ZoneObservation(1, 1.0, 0.0, math.inf),)
    assert view.record(0, ZoneReport(1, 5, 9, 0, 1.0, observations))
    assert not view.record(0, ZoneReport(1, 5, 8, 0, 2.0, observations))
    assert view.record(1, ZoneReport(1, 6, 1, 0, 3.0, observations))
    assert not view.record(2, ZoneReport(1, 5, 99, 0, 4.0, observations))
    assert not view.record(2, ZoneReport(7, 1, 1, 0, 1.0, observations))
    assert not view.record(2, ZoneReport(2, 1, 1, 4, 1.0, observations))
    assert view.reports[1].report.demand == 3.0


def test_operators_can_drain_a_zone_and_read_the_routing_table():
    state = OperatorState(zones=["a", "b"], describe_zones=lambda: "table 1")
    assert state.handle(Request("GET", "/place", b""), ready=True).text == "table 1"
    assert state.handle(Request("POST", "/place/drain", b"b"), ready=True).change is OperatorChange.ZONE_DRAIN
    assert state.handle(Request("POST", "/place/hold", b"c"), ready=True).status == 404
    assert OperatorState().handle(Request("GET", "/place", b""), ready=True).status == 404


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("place: {regions: {x: [a], y: [a]}}", "zone a is in x and in y"),
        ("place: {regions: {x: [a], y: [b]}, distances: [{between: [x, y], is: '40'}]}", "with its unit"),
        ("place: {regions: {x: [a]}, distances: [{between: [x, z], is: 4ms}]}", "no region is called 'z'"),
        ("place: {headroom: 0.9}", "there is no more room"),
        ("place: {electors: many}", "electors"),
        ("place: {regions: {x: [q]}}", "no zone is called q"),
    ],
)
def test_an_invalid_file_gives_a_one_line_error(text, error, tmp_path, capsys):
    path = tmp_path / "place.yaml"
    path.write_text(text + "\nzones: [{name: a, demand: 1, room: 2}, {name: b, demand: 1, room: 2}]\n")
    with pytest.raises(FileError, match=error):
        features.check_zone_failover(str(path), features.read_zone_failover(str(path)), ["a", "b"])
    assert main(["zones", "plan", str(path)]) == 2
    assert len(capsys.readouterr().err.strip().splitlines()) == 1
    assert parse_duration("40ms") == 40_000_000 and parse_duration("1.5 s") == 1_500_000_000


def test_the_dry_run_reports_traffic_that_is_not_routed(capsys):
    assert main(["zones", "plan", "deploy/place.yaml", "--lose", "zone-03"]) == 0
    assert main(["zones", "plan", "deploy/place.yaml", "--lose", "north"]) == 1
    assert "82.5 of 210.0 units a second have no place" in capsys.readouterr().out


def agreement(node):
    """Returns the `Agreement` of a gateway."""
    features = node.gateway.dispatcher.policy.features
    [zones] = [feature for feature in features if isinstance(feature, ZoneRoutingFeature)]
    return zones.agreement


@pytest.mark.parametrize(("seed", "share"), [(5, False), (6, True)])
def test_all_gateways_leave_a_lost_zone_at_once_and_return_gradually(seed, share):
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
    attempts = []  # seconds since the start, zone of the endpoint, zone of the gateway
    record_attempt = run.checker.attempt_started

    def record(gateway, box, request, first_ns):
        seconds = (run.scheduler.now_ns - run.began_ns) / 1e9
        attempts.append((seconds, run.checker.locations[box][0], int(gateway[1:]) % 3))
        return record_attempt(gateway, box, request, first_ns)

    run.checker.attempt_started = record
    result = run.play()
    assert result.breach is None, result.breach
    before_loss = [zone != own_zone for seconds, zone, own_zone in attempts if seconds < 2.4]
    assert sum(before_loss) <= 0.02 * len(before_loss) + 1
    during_loss = [zone == 1 for seconds, zone, _ in attempts if 3.9 < seconds < 6.5]
    assert sum(during_loss) <= 0.08 * len(during_loss)
    after_return = [zone == 1 for seconds, zone, own_zone in attempts if seconds > 14.5 and own_zone == 1]
    assert sum(after_return) >= 0.8 * len(after_return)
    tables = {agreement(node).table(run.scheduler.now_ns).weights for node in run.nodes}
    assert len(tables) == 1


def test_a_drain_at_one_gateway_applies_to_all_until_it_is_ended():
    run = Run(
        Plan(
            seed=8, gateways=6, boxes=18, requests=1300, last_ms=15000, place=True, greedy=0.1, anchored=False
        )
    )
    attempts = []
    record_attempt = run.checker.attempt_started

    def record(gateway, box, request, first_ns):
        attempts.append(((run.scheduler.now_ns - run.began_ns) / 1e9, run.checker.locations[box][0]))
        return record_attempt(gateway, box, request, first_ns)

    run.checker.attempt_started = record
    for seconds, drained in ((3, True), (8, False)):
        run.scheduler.call_at(
            run.began_ns + seconds * 10**9,
            lambda drained=drained: run.nodes[0].gateway.dispatcher.post(ZoneOverridden(1, drained=drained)),
        )
    assert run.play().breach is None

    def share_of_zone_1(begin, end):
        chosen = [zone == 1 for seconds, zone in attempts if begin <= seconds < end]
        return sum(chosen) / len(chosen)

    assert share_of_zone_1(0, 3) > 0.2 and share_of_zone_1(4.5, 8) == 0.0 and share_of_zone_1(12, 15) > 0.2
    assert {agreement(node).trackers[1].state.name for node in run.nodes} == {"WELL"}
