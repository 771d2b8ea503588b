"""Start of many gateways: endpoint lists from peers, readiness, the admission ramp, whole fleets."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from zincstile.cold_start import codec
from zincstile.cold_start.admission_ramp import AdmissionRamp, max_sent_units
from zincstile.cold_start.entry_lines import bucket_of, decode_entry, encode_entry
from zincstile.cold_start.messages import (
    BUCKETS,
    BucketPart,
    BucketRequest,
    ListDigest,
    ListQuery,
    Provenance,
)
from zincstile.cold_start.peer_lists import PeerLists
from zincstile.cold_start.readiness import ListTrust, Readiness
from zincstile.cold_start.settings import MS, SECOND, ColdStartSettings
from zincstile.net import features
from zincstile.net.config import ConfigError, read
from zincstile.serialization.errors import FileError
from zincstile.simulation import starts, traffic
from zincstile.simulation.plan import Plan

SETTINGS = ColdStartSettings(use_peer_lists=True)


def entries(count, version=1):
    return [
        {
            "name": f"s-{k:03x}",
            "address": f"10.1.{version}.{k}:6379",
            "zone": "a",
            "type": "std",
            "group": k % 3,
            "status": "Ready",
            "weight": 1.0,
            "since_ms": 7 * k,
        }
        for k in range(count)
    ]


class Fleet:
    """`PeerLists` of several gateways that exchange encoded datagrams, some of which are lost."""

    def __init__(self, count, loss=0.0, seed=1, settings=SETTINGS):
        self.rng, self.loss, self.now = random.Random(seed), loss, 0
        self.gateways = [
            PeerLists(settings, k, count, 60.0, random.Random(f"{seed} {k}")) for k in range(count)
        ]
        self.received_parts = [0] * count  # by gateway: number of received datagrams with lines
        self.corrupt = lambda sender, data: data

    def run(self, until_ns, step_ns=20 * MS):
        while self.now < until_ns:
            self.now += step_ns
            for gateway in self.gateways:
                gateway.search.update(self.now)
            for _ in range(3):
                for sender, gateway in enumerate(self.gateways):
                    for receiver, message in gateway.take_messages():
                        data = self.corrupt(sender, codec.pack(message))
                        if self.rng.random() >= self.loss and (decoded := codec.unpack(data)) is not None:
                            self.received_parts[receiver] += isinstance(decoded, BucketPart)
                            self.gateways[receiver].receive(self.now, sender, decoded)


@pytest.mark.parametrize(("count", "loss"), [(3, 0.0), (12, 0.3), (40, 0.073)])
def test_starting_gateways_get_the_list_from_peers_within_their_message_rate(count, loss):
    fleet, list_entries = Fleet(count, loss), entries(200)
    for gateway in fleet.gateways[: max(2, count // 3)]:
        gateway.receive_discovery_list(0, 41, list_entries, complete=True)
    searching = fleet.gateways[max(2, count // 3) :]
    for gateway in searching:
        gateway.search.start(0)
    fleet.run(12 * SECOND)
    for gateway in searching:
        result = gateway.take_result()
        assert (
            result.trust is ListTrust.PEERS_AGREE and result.version == 41 and gateway.take_result() is None
        )
        assert sorted(e["name"] for e in result.entries) == sorted(e["name"] for e in list_entries)
        assert {e["name"]: e["since_ms"] for e in result.entries} == {
            e["name"]: e["since_ms"] for e in list_entries
        }
        assert gateway.copy.digest(fleet.now) is None  # a list from peers is not passed on
    assert max(fleet.received_parts) <= 60 * 12


def test_the_newest_list_is_used_a_peer_with_wrong_lines_is_excluded_and_discovery_takes_precedence():
    fleet = Fleet(6)
    for k in range(4):
        fleet.gateways[k].receive_discovery_list(0, 40 + (k >= 2), entries(60, version=k // 2), complete=True)
    # one of the peers with the newest list sends lines that do not match its checksums
    fleet.corrupt = (
        lambda sender, data: codec.pack(
            BucketPart(41, part.bucket, part.part_index, part.part_count, (b"x",))
        )
        if (sender == 3 and isinstance(part := codec.unpack(data), BucketPart))
        else data
    )
    fleet.gateways[4].search.start(0)
    fleet.run(6 * SECOND)
    result = fleet.gateways[4].take_result()
    assert result.version == 41 and all(e["address"].startswith("10.1.1.") for e in result.entries)
    # discovery sends the changes since this list, which confirms it, so that it may be passed on
    fleet.gateways[4].receive_discovery_list(fleet.now, 42, entries(61, version=1)[60:], complete=False)
    assert fleet.gateways[4].copy.digest(fleet.now).version == 42 and fleet.gateways[4].copy.count == 61
    late_gateway = fleet.gateways[5]
    late_gateway.search.start(fleet.now)
    # a lower version than that of the peers
    late_gateway.receive_discovery_list(fleet.now, 7, entries(3), complete=True)
    fleet.run(fleet.now + SECOND)
    assert late_gateway.take_result() is None and late_gateway.copy.digest(fleet.now).version == 7
    assert late_gateway.fleet_is_serving() is False and fleet.gateways[0].search.active is False


def test_a_list_that_is_too_old_is_not_used_and_an_equal_list_confirms_the_cached_one():
    fleet = Fleet(3, settings=ColdStartSettings(use_peer_lists=True, max_list_age_ns=2 * SECOND))
    fleet.gateways[0].receive_discovery_list(0, 9, entries(5), complete=True)
    fleet.now = 3 * SECOND
    fleet.gateways[1].search.start(fleet.now)
    fleet.run(fleet.now + SECOND)
    assert fleet.gateways[1].take_result() is None
    fleet.gateways[0].record_discovery_contact(fleet.now)
    fleet.gateways[2].load_cached_list(fleet.now, 9, entries(5))
    fleet.gateways[2].search.start(fleet.now)
    fleet.run(fleet.now + SECOND)
    assert (
        fleet.gateways[2].search.cache_confirmed
        and fleet.gateways[1].take_result().trust is ListTrust.PEERS_AGREE
    )


@given(st.binary(max_size=300))
def test_arbitrary_data_decodes_to_nothing_or_to_a_message_that_round_trips(data):
    message = codec.unpack(data)
    assert message is None or codec.unpack(codec.pack(message)) == message
    entry = decode_entry(data)
    assert entry is None or encode_entry(entry) is not None


def test_messages_round_trip_and_fit_into_a_datagram():
    lines = [encode_entry(entry) for entry in entries(40)]
    pairs = zip(lines, entries(40), strict=True)
    assert all(decode_entry(line)["name"] == entry["name"] for line, entry in pairs)
    messages = [
        ListQuery(),
        BucketRequest(5, (0, 31)),
        *codec.split_bucket(5, 3, lines),
        ListDigest(5, 40, 20 * MS, Provenance.CACHED, tuple(range(BUCKETS)), True),
    ]
    for message in messages:
        data = codec.pack(message)
        assert len(data) <= 256 and codec.unpack(data) == message
        assert codec.unpack(data[:-1]) is None and codec.unpack(data[:2] + b"\0\0" + data[4:]) != message
    assert encode_entry(entries(1)[0] | {"name": "x" * 300}) is None


def test_a_list_with_buckets_of_more_than_255_datagrams_is_sent_completely():
    buckets = {number: [] for number in range(BUCKETS)}
    for entry in entries(40_000):
        buckets[bucket_of(entry["name"])].append(encode_entry(entry))
    sent = set()
    for number, lines in buckets.items():
        parts = codec.split_bucket(9, number, lines)
        assert len(parts) > 255
        for part in parts:
            data = codec.pack(part)
            assert len(data) <= 256 and codec.unpack(data) == part
            sent.update(part.lines)
    assert sent == {line for lines in buckets.values() for line in lines}


@pytest.mark.parametrize("gateways", [1, 8, 200, 1000])
def test_a_starting_fleet_of_any_size_stays_within_the_bound_under_overload(gateways):
    """Every gateway gets far more requests than it may send; every answer is in time, after 50 ms."""
    rng, endpoints, sent = random.Random(gateways), 40.0, 0.0
    fleet = [
        AdmissionRamp(SETTINGS, gateways, 6.0, random.Random(f"{gateways} {k}")) for k in range(gateways)
    ]
    for ramp in fleet:
        ramp.start(0)
    pending_answers, step = [], 10 * MS
    for now in range(0, 5 * SETTINGS.ramp_time_constant_ns, step):
        while pending_answers and pending_answers[0][0] <= now:
            _, ramp, units = pending_answers.pop(0)
            ramp.record_answer(units, in_time=True)
        for ramp in fleet:
            for _ in range(3):
                units = rng.choice((1.0, 2.0, 6.0))
                if ramp.admits(now, endpoints):
                    ramp.record_sent(units)
                    sent += units
                    pending_answers.append((now + 50 * MS, ramp, units))
        assert sent <= max_sent_units(SETTINGS, endpoints, now + step) + 3 * 6.0 * math.sqrt(gateways) / 2
    assert sent > 0 and not any(ramp.is_over(now) for ramp in fleet)
    assert all(ramp.is_over(SETTINGS.max_ramp_ns) for ramp in fleet)


def test_late_answers_do_not_raise_the_pace_but_the_rate_of_the_previous_process_does():
    ramp = AdmissionRamp(SETTINGS, 200, 6.0, random.Random(3))
    ramp.start(0)
    initial_pace = ramp.pace(10.0)
    ramp.record_answer(6.0, in_time=False)
    assert ramp.pace(10.0) == initial_pace
    ramp.inherit(50.0)
    assert ramp.pace(10.0) == initial_pace + 50.0 and ramp.is_over(2 * SECOND)


def test_readiness_depends_on_the_most_trusted_list():
    for trust, confirmed, ready_after_ns in (
        (ListTrust.DISCOVERY, False, 0),
        (ListTrust.PEERS_AGREE, False, 0),
        (ListTrust.ONE_PEER, False, SETTINGS.single_peer_wait_ns),
        (ListTrust.CACHED, False, SETTINGS.cached_list_wait_ns),
        (ListTrust.CACHED, True, 0),
        (ListTrust.NONE, True, None),
    ):
        readiness = Readiness(SETTINGS, 5 * SECOND)
        readiness.record_list(trust, cache_confirmed=confirmed)
        readiness.record_list(ListTrust.NONE)
        assert readiness.ready_ns() == (None if ready_after_ns is None else 5 * SECOND + ready_after_ns)
        assert readiness.is_ready(5 * SECOND) is (ready_after_ns == 0)


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("start: {wait_ms: 0}", "wait_ns: must be above 0"),
        ("start: {first_per_s: 0}", "first_per_s"),
        ("start: {lone_ms: 10}", "lone_ns"),
        ("start: {weight: 3}", "weight"),
        ("begin: {}", "begin"),
    ],
)
def test_invalid_files_give_an_error_and_peer_lists_need_messages_between_gateways(text, error, tmp_path):
    path = tmp_path / "start.yaml"
    path.write_text(text)
    with pytest.raises(FileError, match=error):
        features.read_cold_start(str(path))
    path.write_text("start: {peers: true}")
    plan = Plan(seed=1)
    table = traffic.configuration(plan, 0, "127.0.0.1:1", "127.0.0.1:2", ["127.0.0.1:3"] * 3, 5, {})
    table["features"] = {"start": str(path)}
    assert read(table, {}).cold_start.use_peer_lists
    table["settings"]["limits"]["peers"] = False
    with pytest.raises(ConfigError, match="no peer can be queried"):
        read(table, {})


def test_simulated_starts_break_no_rule_and_all_gateways_get_ready():
    """One start of each kind of wave; `sim starts` runs more."""
    rows = list(starts.play_all(range(18, 18 + len(starts.WAVES)), 5, True, 4))
    assert not [row.violation for row in rows if row.violation]
    assert min(row.ready_s for row in rows) >= 0 and len({row.wave for row in rows}) == len(starts.WAVES)
