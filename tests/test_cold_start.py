"""The start of many gateways: lists from peers, readiness, the admission ramp, whole fleets that start."""

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

SET = ColdStartSettings(use_peer_lists=True)


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
    """Lists that send each other datagrams, some lost, through their codec."""

    def __init__(self, count, loss=0.0, seed=1, settings=SET):
        self.rng, self.loss, self.now = random.Random(seed), loss, 0
        self.all = [PeerLists(settings, k, count, 60.0, random.Random(f"{seed} {k}")) for k in range(count)]
        self.came = [0] * count  # datagrams with lines
        self.spoil = lambda sender, data: data

    def run(self, until_ns, step_ns=20 * MS):
        while self.now < until_ns:
            self.now += step_ns
            for one in self.all:
                one.search.update(self.now)
            for _ in range(3):
                for sender, one in enumerate(self.all):
                    for to, message in one.take_messages():
                        data = self.spoil(sender, codec.pack(message))
                        if self.rng.random() >= self.loss and (found := codec.unpack(data)) is not None:
                            self.came[to] += isinstance(found, BucketPart)
                            self.all[to].receive(self.now, sender, found)


@pytest.mark.parametrize(("count", "loss"), [(3, 0.0), (12, 0.3), (40, 0.073)])
def test_who_starts_gets_the_list_from_those_that_have_it_within_the_intake(count, loss):
    fleet, listed = Fleet(count, loss), entries(200)
    for one in fleet.all[: max(2, count // 3)]:
        one.receive_discovery_list(0, 41, listed, complete=True)
    seekers = fleet.all[max(2, count // 3) :]
    for one in seekers:
        one.search.start(0)
    fleet.run(12 * SECOND)
    for one in seekers:
        found = one.take_result()
        assert found.trust is ListTrust.PEERS_AGREE and found.version == 41 and one.take_result() is None
        assert sorted(e["name"] for e in found.entries) == sorted(e["name"] for e in listed)
        assert {e["name"]: e["since_ms"] for e in found.entries} == {e["name"]: e["since_ms"] for e in listed}
        assert one.copy.digest(fleet.now) is None  # what came from peers is not told on
    assert max(fleet.came) <= 60 * 12


def test_the_newest_list_wins_one_that_lies_is_dropped_and_discovery_prevails():
    fleet = Fleet(6)
    for k in range(4):
        fleet.all[k].receive_discovery_list(0, 40 + (k >= 2), entries(60, version=k // 2), complete=True)
    # one teller of the newest list tells lines that don't give its sums
    fleet.spoil = (
        lambda sender, data: codec.pack(
            BucketPart(41, part.bucket, part.part_index, part.part_count, (b"x",))
        )
        if (sender == 3 and isinstance(part := codec.unpack(data), BucketPart))
        else data
    )
    fleet.all[4].search.start(0)
    fleet.run(6 * SECOND)
    found = fleet.all[4].take_result()
    assert found.version == 41 and all(e["address"].startswith("10.1.1.") for e in found.entries)
    # discovery tells it what has changed since: from here on the list is its word, and is told on
    fleet.all[4].receive_discovery_list(fleet.now, 42, entries(61, version=1)[60:], complete=False)
    assert fleet.all[4].copy.digest(fleet.now).version == 42 and fleet.all[4].copy.count == 61
    late = fleet.all[5]
    late.search.start(fleet.now)
    late.receive_discovery_list(fleet.now, 7, entries(3), complete=True)  # whatever its number
    fleet.run(fleet.now + SECOND)
    assert late.take_result() is None and late.copy.digest(fleet.now).version == 7
    assert late.fleet_is_serving() is False and fleet.all[0].search.active is False


def test_a_list_that_is_old_or_of_no_one_is_not_taken_and_an_equal_one_confirms():
    fleet = Fleet(3, settings=ColdStartSettings(use_peer_lists=True, max_list_age_ns=2 * SECOND))
    fleet.all[0].receive_discovery_list(0, 9, entries(5), complete=True)
    fleet.now = 3 * SECOND
    fleet.all[1].search.start(fleet.now)
    fleet.run(fleet.now + SECOND)
    assert fleet.all[1].take_result() is None
    fleet.all[0].record_discovery_contact(fleet.now)
    fleet.all[2].load_cached_list(fleet.now, 9, entries(5))
    fleet.all[2].search.start(fleet.now)
    fleet.run(fleet.now + SECOND)
    assert fleet.all[2].search.cache_confirmed and fleet.all[1].take_result().trust is ListTrust.PEERS_AGREE


@given(st.binary(max_size=300))
def test_no_datagram_is_read_for_another(data):
    message = codec.unpack(data)
    assert message is None or codec.unpack(codec.pack(message)) == message
    entry = decode_entry(data)
    assert entry is None or encode_entry(entry) is not None


def test_messages_survive_their_codec_and_nothing_is_longer_than_a_datagram():
    lines = [encode_entry(entry) for entry in entries(40)]
    pairs = zip(lines, entries(40), strict=True)
    assert all(decode_entry(line)["name"] == entry["name"] for line, entry in pairs)
    made = [
        ListQuery(),
        BucketRequest(5, (0, 31)),
        *codec.split_bucket(5, 3, lines),
        ListDigest(5, 40, 20 * MS, Provenance.CACHED, tuple(range(BUCKETS)), True),
    ]
    for message in made:
        data = codec.pack(message)
        assert len(data) <= 256 and codec.unpack(data) == message
        assert codec.unpack(data[:-1]) is None and codec.unpack(data[:2] + b"\0\0" + data[4:]) != message
    assert encode_entry(entries(1)[0] | {"name": "x" * 300}) is None


def test_a_list_whose_buckets_take_more_than_255_datagrams_is_sent_complete():
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
def test_no_fleet_sends_more_at_its_start_than_is_stated_whatever_is_asked(gateways):
    """Every gateway is asked far more than it may send; every answer comes in time, after a twentieth of a
    second."""
    rng, servers, sent = random.Random(gateways), 40.0, 0.0
    fleet = [AdmissionRamp(SET, gateways, 6.0, random.Random(f"{gateways} {k}")) for k in range(gateways)]
    for one in fleet:
        one.start(0)
    answers, step = [], 10 * MS
    for now in range(0, 5 * SET.ramp_time_constant_ns, step):
        while answers and answers[0][0] <= now:
            _, one, units = answers.pop(0)
            one.record_answer(units, in_time=True)
        for one in fleet:
            for _ in range(3):
                units = rng.choice((1.0, 2.0, 6.0))
                if one.admits(now, servers):
                    one.record_sent(units)
                    sent += units
                    answers.append((now + 50 * MS, one, units))
        assert sent <= max_sent_units(SET, servers, now + step) + 3 * 6.0 * math.sqrt(gateways) / 2
    assert sent > 0 and not any(one.is_over(now) for one in fleet)
    assert all(one.is_over(SET.max_ramp_ns) for one in fleet)


def test_late_answers_raise_no_pace_and_the_old_process_says_what_is_borne():
    one = AdmissionRamp(SET, 200, 6.0, random.Random(3))
    one.start(0)
    before = one.pace(10.0)
    one.record_answer(6.0, in_time=False)
    assert one.pace(10.0) == before
    one.inherit(50.0)
    assert one.pace(10.0) == before + 50.0 and one.is_over(2 * SECOND)


def test_a_gateway_is_ready_by_the_most_trusted_list_it_has():
    for trust, confirmed, at in (
        (ListTrust.DISCOVERY, False, 0),
        (ListTrust.PEERS_AGREE, False, 0),
        (ListTrust.ONE_PEER, False, SET.single_peer_wait_ns),
        (ListTrust.CACHED, False, SET.cached_list_wait_ns),
        (ListTrust.CACHED, True, 0),
        (ListTrust.NONE, True, None),
    ):
        one = Readiness(SET, 5 * SECOND)
        one.record_list(trust, cache_confirmed=confirmed)
        one.record_list(ListTrust.NONE)
        assert one.ready_ns() == (None if at is None else 5 * SECOND + at)
        assert one.is_ready(5 * SECOND) is (at == 0)


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("start: {wait_ms: 0}", "wait_ns: must be above 0"),
        ("start: {first_per_s: 0}", "first_per_s"),
        ("start: {lone_ms: 10}", "lone_ns"),
        ("start: {weight: 3}", "weight"),
        ("begin: {}", "begin"),
    ],
)
def test_a_bad_file_is_one_line_and_the_settings_have_to_allow_peers(text, said, tmp_path):
    path = tmp_path / "start.yaml"
    path.write_text(text)
    with pytest.raises(FileError, match=said):
        features.start(str(path))
    path.write_text("start: {peers: true}")
    plan = Plan(seed=1)
    table = traffic.configuration(plan, 0, "127.0.0.1:1", "127.0.0.1:2", ["127.0.0.1:3"] * 3, 5, {})
    table["features"] = {"start": str(path)}
    assert read(table, {}).start.use_peer_lists
    table["settings"]["limits"]["peers"] = False
    with pytest.raises(ConfigError, match="nobody could be asked"):
        read(table, {})


def test_worlds_of_starts_break_no_rule_and_all_come_back():
    """One of each wave; sim starts plays more."""
    rows = list(starts.play_all(range(18, 18 + len(starts.WAVES)), 5, True, 4))
    assert not [row.broken for row in rows if row.broken]
    assert min(row.ready_s for row in rows) >= 0 and len({row.wave for row in rows}) == len(starts.WAVES)
