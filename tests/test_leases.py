"""Parts and loans: nothing has two owners, whatever is lost, late, doubled or out of order."""

from __future__ import annotations

import pickle
import random
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import settings as pace
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from zincstile.decisions.quota_bounds import Quota
from zincstile.leases import codec
from zincstile.leases.concurrency_budget import ConcurrencyBudget, ConcurrencyReport
from zincstile.leases.covered_plans import covered_plans
from zincstile.leases.failure_detector import ALL_CLASSES, FailureDetector, Suspicion
from zincstile.leases.lease_messages import LeaseGrant, LeaseRelease, LeaseRequest
from zincstile.leases.overshoot_bound import (
    batch_limit_units,
    gossip_bound,
    holder_count,
    initial_fill_ratio,
    overshoot_bounds,
    refusal_reason,
)
from zincstile.leases.rendezvous import choose_holders
from zincstile.leases.settings import FAILURES, MILLISECOND_NS, SECOND_NS, LeaseSettings
from zincstile.leases.slot_messages import SlotGrant, SlotRelease, SlotRequest
from zincstile.leases.slots import SlotManager
from zincstile.net import config, features
from zincstile.serialization.errors import FileError
from zincstile.simulation import mutants_shared, plan, search, shared, shared_trials, traffic
from zincstile.simulation.plan import Plan

ROOT = Path(__file__).parent.parent
SET = LeaseSettings()
BRIEF = (
    [Quota("basic", r, r * b, n, 6.0) for r in (1.6, 2.8) for b in (3.3, 5.0) for n in (2, 3, 4)]
    + [Quota("standard", r, r * b, n, 6.0) for r in (5.3, 9.2) for b in (3.3, 4.9) for n in (2, 3, 4)]
    + [Quota("plus", r, r * b, n, 6.0) for r in (16.0, 28.0) for b in (1.5, 2.7) for n in (2, 3, 4)]
    + [Quota("premium", r, r * b, n, 6.0) for r in (41.0, 71.0) for b in (1.3, 2.3) for n in (2, 3, 4)]
)


@pytest.mark.parametrize("name", search.OPENINGS)
def test_no_order_of_a_small_case_passes_a_quota(name):
    found = search.search(3, name)
    assert not found.broken and found.states > 400


class AnyOrder(RuleBasedStateMachine):
    """The same steps, far deeper, by chance."""

    @initialize()
    def begin(self):
        self.state = search.start()

    @rule(pick=st.integers(0, 10**6))
    def step(self, pick):
        can = search.actions(self.state)
        search.do(self.state, can[pick % len(can)])

    @rule(pick=st.integers(0, 10**6))
    def word(self, pick):
        if self.state.words:
            search.do(self.state, f"deliver {pick % len(self.state.words)}")

    @precondition(lambda self: len(self.state.words) < 2)
    @rule(gateway=st.integers(0, 2))
    def hungry(self, gateway):
        for _ in range(3):
            search.do(self.state, f"try {gateway} 0")

    @invariant()
    def it_survives_a_copy(self):
        assert search._key(self.state) == search._key(pickle.loads(pickle.dumps(self.state)))


TestAnyOrder = AnyOrder.TestCase
TestAnyOrder.settings = pace(max_examples=60, stateful_step_count=60, deadline=None, derandomize=True)


def test_each_deliberate_fault_is_named_and_nothing_where_there_is_none():
    found = dict(mutants_shared.try_all(tuple(mutants_shared.MUTANTS), 8))
    assert not [name for name, said in found.items() if not said]
    assert mutants_shared.by_suspicions(7) == mutants_shared.by_concurrency_budget(7) == ""


@pytest.mark.parametrize("quota", BRIEF, ids=lambda q: f"{q.name}-{q.rate:g}-{q.burst:g}-{q.spread}")
def test_every_plan_of_the_brief_is_held_within_five_percent_of_a_minute(quota):
    found = {b.failure: b for b in overshoot_bounds(quota, SET)}
    assert refusal_reason(quota, SET) is None and set(found) == set(FAILURES)
    assert found["cut"].units == found["none"].units == pytest.approx(quota.rate * 0.2)
    assert all(found[f].overshoot_ratio <= 0.05 + 1e-9 for f in SET.tolerated_failures)
    assert (
        batch_limit_units(quota, SET) + quota.burst / holder_count(quota, SET) >= 5.0
    )  # nearly the largest request
    assert 0.3 < initial_fill_ratio(quota, SET) <= 1.0 and gossip_bound(quota, 2, 10.0).overshoot_ratio > 0.08


def test_a_file_that_asks_for_too_much_is_refused_with_the_term_that_dominates():
    tight = LeaseSettings(max_send_delay_ns=5 * SECOND_NS)
    assert "most of it by flight" in refusal_reason(BRIEF[0], tight)
    for name, value in (
        ("max_tick_gap_ns", MILLISECOND_NS),
        ("lease_ns", MILLISECOND_NS),
        ("max_initial_fill_ratio", 2.0),
        ("min_unsuspected_ratio", 0.0),
        ("max_overshoot_ratio", 1.0),
        ("tolerated_failures", ("rain",)),
        ("paused_gateways", -1),
        ("units_per_endpoint", 0),
    ):
        with pytest.raises(ValueError, match=name):
            LeaseSettings(**{name: value})


def test_holders_are_the_same_wherever_they_are_asked_for_and_shared_out_evenly():
    row, count = tuple(range(24)), [0] * 24
    for key in range(3000):
        held_by = choose_holders(key, row, 4)
        assert held_by == choose_holders(key, row[::-1], 4) and len(set(held_by)) == 4
        for one in held_by:
            count[one] += 1
    assert min(count) > 400 and max(count) < 600


WORDS = [
    LeaseRequest(1, 2**33 - 1, 3, 24, 23, 2**32 - 1, 5.5, 1.25, 9),
    LeaseGrant(1, 7, 8, 2.5, 0.125, 3, 2**32 - 1),
    LeaseRelease(1, 7, 8, 1.5, 77),
    SlotRequest(1, 2**40, 2, 3, 1, 5),
    SlotGrant(1, 7, 8, True, 9),
    SlotRelease(1, 7, 8, 9),
    Suspicion(65535, ALL_CLASSES, 1.0, 199, 4, 30 * MILLISECOND_NS),
    ConcurrencyReport(9, 5, 6, 2.5, 8.0, 0),
]


def test_words_survive_the_way_and_damage_does_not():
    found = [codec.unpack(d) for d in codec.pack(5, WORDS * 9)]
    assert all(len(d) <= codec.MAX_DATAGRAM_BYTES for d in codec.pack(5, WORDS * 9)) and len(found) > 3
    read = [w for process, some in found for w in some]
    sent = [replace(w, recipient=-1) if hasattr(w, "recipient") else w for w in WORDS]
    assert read == sent * 9 and found[0][0] == 5
    data = codec.pack(5, WORDS)[0]
    assert all(codec.unpack(data[:k]) is None for k in range(len(data)))
    assert all(
        codec.unpack(data[:k] + bytes([data[k] ^ 1]) + data[k + 1 :]) is None for k in range(len(data))
    )


def test_units_never_grow_on_their_way():
    for units in (0.1, 1 / 3, 2.9999999, 5.0005):
        ((_, (grant,)),) = [codec.unpack(d) for d in codec.pack(1, [LeaseGrant(0, 1, 2, units, units, 1, 1)])]
        assert units - 0.001 < grant.units <= units


def test_a_gateway_that_is_cut_off_from_the_back_end_knows_it_and_accuses_nobody():
    detector, now = FailureDetector(SET, 0, 0), 10 * SECOND_NS
    for server in range(1, 7):
        for _ in range(3):
            detector.record_attempt(now, server, ALL_CLASSES, 1.0, 0.8, unreachable=True)
    detector.tick(now, range(1, 7))
    assert not detector.isolated and detector.suspicions_to_send(now)  # with nobody else heard, who knows
    detector.record_observer(now, 3, 1)
    detector.tick(now, range(1, 7))
    assert detector.isolated and not detector.suspicions_to_send(now)
    for peer, zone in ((3, 1), (4, 2)):  # others in two zones see it as well: it is no trouble of its own
        for server in range(1, 7):
            detector.merge(now, Suspicion(server, ALL_CLASSES, 1.0, peer, zone, 0))
            detector.record_observer(now, peer, zone)
    detector.tick(now, range(1, 7))
    assert not detector.isolated


@pytest.mark.parametrize("seed", range(12))
def test_no_more_requests_are_out_than_the_limit_whatever_becomes_of_the_words(seed):
    """Words lost, doubled, late by up to 5 s; requests that end; a gateway that starts anew."""
    rng, now, process = random.Random(seed), SECOND_NS, [100]
    limit, row, longest = rng.randint(1, 7), tuple(range(rng.randint(2, 4))), 3 * SECOND_NS

    def start(me):
        process[0] += 1
        return SlotManager(SET, me, process[0], longest, random.Random(process[0]))

    seats, words, requests, number = [start(g) for g in row], [], {}, 0
    spare, until, most = 0, 0, 0
    for _ in range(4000):
        now += rng.randint(1, 20) * MILLISECOND_NS
        g = rng.choice(row)
        seat = seats[g]
        account = seat.account(9, 0, limit, row)
        if seat.has_free_slot(account, now + longest):
            number += 1
            seat.acquire(account, number, now + longest)
            requests[number] = g, now + rng.randint(0, longest)
        else:
            seat.request_slot(now, account)
        for one, (at, end) in list(requests.items()):
            if end <= now:
                seats[at].release(one)
                del requests[one]
        if rng.random() < 0.001:  # what it had lent is in use until it ends; its own requests end with it
            spare, until = spare + account.leased_out_slots, now + seat.lease_ns
            requests = {k: v for k, v in requests.items() if v[0] != g}
            seats[g] = start(g)
        for k, one in enumerate(seats):
            if rng.random() < 0.3:
                one.tick(now)
            for word in one.drain_messages():
                words += [
                    (now + rng.choice((1, 5, 30, 80, 900, 5000)) * MILLISECOND_NS, k, one.process, word)
                    for _ in range(rng.choice((0, 1, 1, 1, 1, 2)))
                ]
        due = [w for w in words if w[0] <= now]
        words = [w for w in words if w[0] > now]
        rng.shuffle(due)
        for _, sender, by, word in due:
            to = seats[word.recipient]
            if isinstance(word, SlotRequest):
                to.on_request(now, sender, by, word, to.account(9, 0, limit, row))
            elif isinstance(word, SlotGrant):
                to.on_grant(now, sender, by, word)
            else:
                to.on_release(sender, by, word)
        spare = spare if now < until else 0
        most = max(most, len(requests))
        assert len(requests) <= limit + spare
    assert most >= limit and sum(s.granted_slots for s in seats) > 0


def test_parts_of_the_silent_are_taken_over_by_steps_and_given_back_at_once():
    one, now = ConcurrencyBudget(0, 10, 1, 40.0), SECOND_NS
    factors = {}
    for step in range(120):
        now += 100 * MILLISECOND_NS
        heard = range(1, 10) if step < 30 or step >= 90 else range(1, 3)
        for k in heard:
            one.merge(now, ConcurrencyReport(k, 5, step, 1.0, 1.0, 0))
        factors[step] = one.tick(now)
    assert factors[29] == 1.0 and factors[45] == 1.0  # not before its silence is over
    assert factors[60] == pytest.approx(10 / 3) and factors[90] == 1.0
    assert one.tick(now + 3 * SECOND_NS) == 1.0  # who was asleep begins with its own part


def test_the_module_begins_with_its_bound_stated_and_loads_by_a_file(tmp_path):
    table = traffic.configuration(Plan(seed=1), 0, "127.0.0.1:1", "127.0.0.1:2", ["127.0.0.1:3"] * 3, 1, {})
    table["features"] = {"shared": str(ROOT / "deploy" / "shared.yaml")}
    found = config.read(table, {})
    assert found.leases == features.leases(str(ROOT / "deploy" / "shared.yaml"))[0]
    plans = [p.name for p in found.settings.plans]
    covered = dict(zip(plans, covered_plans(found.settings, found.leases), strict=True))
    assert covered == dict.fromkeys(plans, False) | {"plus": True}  # its quota holds under its ceiling
    for text, said in (
        ("shared: {life_ms: fast}", "x.yaml:1: $.shared.life_ms"),
        ("shared: {hold: 1}", "x.yaml:1"),
        ("shared: {gap_ms: 10}", "gap_ns"),
        ("plans: []", "shared"),
        ("shared: [", "not YAML"),
        ("shared: {flight_ms: 4000}", "most of it by flight"),
    ):
        (tmp_path / "x.yaml").write_text(text + "\n")
        table["features"] = {"shared": str(tmp_path / "x.yaml")}
        with pytest.raises(config.ConfigError, match="x.yaml") as err:
            config.read(table, {})
        assert said in str(err.value) and "\n" not in str(err.value)
    table |= {"features": {"shared": "a", "keeper": str(ROOT / "deploy" / "keeper.yaml")}, "counter": "h:1"}
    with pytest.raises(config.ConfigError, match="name one of both"):
        config.read(table, {})


def test_the_command_states_the_bounds_and_refuses(tmp_path):
    def bound(path):
        return subprocess.run(
            [sys.executable, "-m", "zincstile", "bound", str(path)], cwd=ROOT, text=True, capture_output=True
        )

    done = bound(ROOT / "deploy" / "shared.yaml")
    assert done.returncode == 0 and "gossip, 2 parts for 10 s" in done.stdout and "premium" in done.stdout
    path = tmp_path / "much.yaml"
    path.write_text("shared: {flight_ms: 4000}\nplans: [{name: a, rate: 1, burst: 2, spread: 3}]\n")
    done = bound(path)
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and "flight" in done.stderr


def test_worlds_in_which_a_part_hears_nothing_keep_every_bound_and_gossip_would_not():
    rows = list(shared_trials.play_all(range(len(shared.FAILURES)), 4, shared.LAST_MS, False, 4))
    assert {r.failure for r in rows} == set(shared.FAILURES)
    assert not [r for r in rows if r.broken] and all(r.of_bound <= 1 for r in rows)
    worst = max(r.worst for r in shared_trials.play_all(range(1, 6), 4, shared.LAST_MS, True, 4))
    assert worst > 10 > max(r.worst for r in rows)
    with pytest.raises(ValueError, match="no such failure"):
        shared.draw(1, 3, "rain")


def test_a_plan_of_a_shared_world_survives_the_way_to_a_file(tmp_path):
    for kind in shared.FAILURES:
        drawn = shared.draw(3, 8, kind)
        (tmp_path / "p.yaml").write_text(plan.dump(drawn))
        assert plan.load(tmp_path / "p.yaml") == drawn
    (tmp_path / "p.yaml").write_text("seed: 1\nfaults:\n- {kind: peers_cut, at_ms: 1, way: up}\n")
    with pytest.raises(FileError, match=r"p.yaml:3: \$.faults\[0\].way"):
        plan.load(tmp_path / "p.yaml")
