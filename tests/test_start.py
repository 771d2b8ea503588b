"""The start of many gateways: lists from peers, readiness by right, the pace at first, worlds of starts."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from zincstile.cold_start import words
from zincstile.cold_start.lists import Lists
from zincstile.cold_start.opening import Opening, stated
from zincstile.cold_start.ready import Readiness, Right
from zincstile.cold_start.settings import MS, SECOND, StartSettings
from zincstile.net import features
from zincstile.net.config import ConfigError, read
from zincstile.serialization.typed_yaml import FileError
from zincstile.simulation import starts, traffic
from zincstile.simulation.plan import Plan

SET = StartSettings(peers=True)


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
        self.all = [Lists(settings, k, count, 60.0, random.Random(f"{seed} {k}")) for k in range(count)]
        self.came = [0] * count  # datagrams with lines
        self.spoil = lambda sender, data: data

    def run(self, until_ns, step_ns=20 * MS):
        while self.now < until_ns:
            self.now += step_ns
            for one in self.all:
                one.look(self.now)
            for _ in range(3):
                for sender, one in enumerate(self.all):
                    for to, word in one.told():
                        data = self.spoil(sender, words.pack(word))
                        if self.rng.random() >= self.loss and (found := words.unpack(data)) is not None:
                            self.came[to] += isinstance(found, words.Lines)
                            self.all[to].hear(self.now, sender, found)


@pytest.mark.parametrize(("count", "loss"), [(3, 0.0), (12, 0.3), (40, 0.073)])
def test_who_starts_gets_the_list_from_those_that_have_it_within_the_intake(count, loss):
    fleet, listed = Fleet(count, loss), entries(200)
    for one in fleet.all[: max(2, count // 3)]:
        one.told_by_discovery(0, 41, listed, True)
    seekers = fleet.all[max(2, count // 3) :]
    for one in seekers:
        one.seek(0)
    fleet.run(12 * SECOND)
    for one in seekers:
        found = one.take_found()
        assert found.right is Right.AGREED and found.version == 41 and one.take_found() is None
        assert sorted(e["name"] for e in found.entries) == sorted(e["name"] for e in listed)
        assert {e["name"]: e["since_ms"] for e in found.entries} == {e["name"]: e["since_ms"] for e in listed}
        assert one.book.digest(fleet.now) is None  # what came from peers is not told on
    assert max(fleet.came) <= 60 * 12


def test_the_newest_list_wins_one_that_lies_is_dropped_and_discovery_prevails():
    fleet = Fleet(6)
    for k in range(4):
        fleet.all[k].told_by_discovery(0, 40 + (k >= 2), entries(60, version=k // 2), True)
    # one teller of the newest list tells lines that don't give its sums
    fleet.spoil = (
        lambda sender, data: words.pack(words.Lines(41, w.bucket, w.part, w.parts, (b"x",)))
        if (sender == 3 and isinstance(w := words.unpack(data), words.Lines))
        else data
    )
    fleet.all[4].seek(0)
    fleet.run(6 * SECOND)
    found = fleet.all[4].take_found()
    assert found.version == 41 and all(e["address"].startswith("10.1.1.") for e in found.entries)
    # discovery tells it what has changed since: from here on the list is its word, and is told on
    fleet.all[4].told_by_discovery(fleet.now, 42, entries(61, version=1)[60:], False)
    assert fleet.all[4].book.digest(fleet.now).version == 42 and fleet.all[4].book.count == 61
    late = fleet.all[5]
    late.seek(fleet.now)
    late.told_by_discovery(fleet.now, 7, entries(3), True)  # whatever its number
    fleet.run(fleet.now + SECOND)
    assert late.take_found() is None and late.book.digest(fleet.now).version == 7
    assert late.running() is False and fleet.all[0].seeking is False


def test_a_list_that_is_old_or_of_no_one_is_not_taken_and_an_equal_one_confirms():
    fleet = Fleet(3, settings=StartSettings(peers=True, oldest_ns=2 * SECOND))
    fleet.all[0].told_by_discovery(0, 9, entries(5), True)
    fleet.now = 3 * SECOND
    fleet.all[1].seek(fleet.now)
    fleet.run(fleet.now + SECOND)
    assert fleet.all[1].take_found() is None
    fleet.all[0].alive(fleet.now)
    fleet.all[2].known(fleet.now, 9, entries(5))
    fleet.all[2].seek(fleet.now)
    fleet.run(fleet.now + SECOND)
    assert fleet.all[2].confirmed and fleet.all[1].take_found().right is Right.AGREED


@given(st.binary(max_size=300))
def test_no_datagram_is_read_for_another(data):
    word = words.unpack(data)
    assert word is None or words.unpack(words.pack(word)) == word
    assert words.entry(data) is None or words.line(words.entry(data)) is not None


def test_words_survive_their_codec_and_nothing_is_longer_than_a_datagram():
    lines = [words.line(e) for e in entries(40)]
    assert all(words.entry(x)["name"] == e["name"] for x, e in zip(lines, entries(40), strict=True))
    made = [
        words.What(),
        words.Want(5, (0, 31)),
        *words.parted(5, 3, lines),
        words.Digest(5, 40, 20 * MS, 1, tuple(range(words.BUCKETS)), True),
    ]
    for word in made:
        data = words.pack(word)
        assert len(data) <= 256 and words.unpack(data) == word
        assert words.unpack(data[:-1]) is None and words.unpack(data[:2] + b"\0\0" + data[4:]) != word
    assert words.line(entries(1)[0] | {"name": "x" * 300}) is None


def test_a_list_whose_buckets_take_more_than_255_datagrams_is_told_whole():
    buckets = {number: [] for number in range(words.BUCKETS)}
    for entry in entries(40_000):
        buckets[words.bucket(entry["name"])].append(words.line(entry))
    told = set()
    for number, lines in buckets.items():
        parts = words.parted(9, number, lines)
        assert len(parts) > 255
        for part in parts:
            data = words.pack(part)
            assert len(data) <= 256 and words.unpack(data) == part
            told.update(part.lines)
    assert told == {line for lines in buckets.values() for line in lines}


@pytest.mark.parametrize("gateways", [1, 8, 200, 1000])
def test_no_fleet_sends_more_at_its_start_than_is_stated_whatever_is_asked(gateways):
    """Every gateway is asked far more than it may send; every answer comes in time, after a twentieth of a
    second."""
    rng, servers, sent = random.Random(gateways), 40.0, 0.0
    fleet = [Opening(SET, gateways, 6.0, random.Random(f"{gateways} {k}")) for k in range(gateways)]
    for one in fleet:
        one.begin(0)
    answers, step = [], 10 * MS
    for now in range(0, 5 * SET.double_ns, step):
        while answers and answers[0][0] <= now:
            _, one, units = answers.pop(0)
            one.answered(units, True)
        for one in fleet:
            for _ in range(3):
                units = rng.choice((1.0, 2.0, 6.0))
                if one.may(now, servers):
                    one.took(units)
                    sent += units
                    answers.append((now + 50 * MS, one, units))
        assert sent <= stated(SET, servers, now + step) + 3 * 6.0 * math.sqrt(gateways) / 2
    assert sent > 0 and not any(one.over(now) for one in fleet)
    assert all(one.over(SET.open_ns) for one in fleet)


def test_late_answers_raise_no_pace_and_the_old_process_tells_what_is_borne():
    one = Opening(SET, 200, 6.0, random.Random(3))
    one.begin(0)
    before = one.pace(10.0)
    one.answered(6.0, False)
    assert one.pace(10.0) == before
    one.known(50.0)
    assert one.pace(10.0) == before + 50.0 and one.over(2 * SECOND)


def test_a_gateway_is_ready_by_the_best_right_it_has():
    for right, confirmed, at in (
        (Right.TOLD, False, 0),
        (Right.AGREED, False, 0),
        (Right.LONE, False, SET.lone_ns),
        (Right.KNOWN, False, SET.known_ns),
        (Right.KNOWN, True, 0),
        (Right.NONE, True, None),
    ):
        one = Readiness(SET, 5 * SECOND)
        one.has(right, confirmed)
        one.has(Right.NONE)
        assert one.at_ns() == (None if at is None else 5 * SECOND + at)
        assert one.ready(5 * SECOND) is (at == 0)


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
    assert read(table, {}).start.peers
    table["settings"]["limits"]["peers"] = False
    with pytest.raises(ConfigError, match="nobody could be asked"):
        read(table, {})


def test_worlds_of_starts_break_no_rule_and_all_come_back():
    """One of each wave; sim starts plays more."""
    rows = list(starts.play_all(range(18, 18 + len(starts.WAVES)), 5, True, 4))
    assert not [row.broken for row in rows if row.broken]
    assert min(row.ready_s for row in rows) >= 0 and len({row.wave for row in rows}) == len(starts.WAVES)
