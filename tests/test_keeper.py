"""Leases from a keeper that fails: nothing has two owners, and what is sent stays under the bound."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from zincstile.decisions.quota_bounds import Quota
from zincstile.net import config
from zincstile.quota_service import words
from zincstile.quota_service.accounts import Accounts
from zincstile.quota_service.bound import bounds, carry_most, refused
from zincstile.quota_service.settings import FAILURES, MS, SECOND, KeeperSettings
from zincstile.quota_service.view import State, View, Word
from zincstile.simulation import traffic
from zincstile.simulation.plan import Fault, Plan
from zincstile.simulation.trial import Trial
from zincstile.simulation.world import Run
from zincstile.simulator import codec

ROOT = Path(__file__).parent.parent
SET = KeeperSettings()
QUOTA = Quota("plus", 10.0, 30.0, 2, 3.0)
T0 = 3000 * SECOND


class Desk:
    """A keeper by hand, and gateways on it."""

    def __init__(self, gateways=2, quota=QUOTA, settings=SET):
        self.totals, self.now, self.quota, self.settings = {}, T0, quota, settings
        self.views = [View(settings, k, T0) for k in range(gateways)]
        self.accounts = [Accounts(settings, v, k) for k, v in enumerate(self.views)]
        self.row = list(range(gateways))
        self.granted = 0.0

    def beat(self, *numbers, words=True):
        for k in numbers or self.row:
            name, period = self.views[k].beat(self.now)
            self.totals[name] = self.totals.get(name, 0) + 1
            self.views[k].beaten(self.now, period, self.totals[name])
        for k in self.row if words else ():
            word = self.views[k].word(self.now)
            for other in self.row:
                if other != k:
                    self.views[other].hear(self.now, word)

    def pass_time(self, ms, beats=True):
        end = self.now + ms * MS
        while self.now < end:
            self.now = min(end, self.now + SET.beat_ns)
            if beats:
                self.beat()

    def account(self, k, key=1):
        return self.accounts[k].account(key, self.quota, self.row, self.now)

    def take(self, k, units=1.0):
        return self.accounts[k].take(self.now, self.account(k), units)

    def answer(self, k, lose=(), spoil=()):
        """Carries out what gateway k calls; `lose`: places of calls that are added and not answered."""
        at = 0
        while calls := self.accounts[k].calls():
            for call in calls:
                self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
                call.answered(self.now, None if at in lose else self.totals[call.name])
                at += 1

    def burst(self, k, tries=60, units=1.0):
        sent = 0.0
        for _ in range(tries):
            if not self.take(k, units):
                self.answer(k)
                if not self.take(k, units):
                    self.answer(k)
                    continue
            sent += units
            self.answer(k)
        return sent


@pytest.fixture
def desk():
    made = Desk()
    made.beat()
    made.pass_time(10_000)
    made.now += 300 * MS  # into an epoch, when what was before stands
    return made


def test_two_gateways_together_get_what_one_may(desk):
    both = desk.burst(0) + desk.burst(1)
    carry = carry_most(QUOTA, SET)
    assert 0.8 * carry < both <= carry + QUOTA.rate * 0.3 + 1e-6
    more = sum(desk.burst(k) for k in (0, 1))
    assert more < 1.0  # nothing is left


def test_what_is_leased_for_a_try_that_goes_away_is_given_back(desk):
    assert not desk.take(0, 3.0)
    for call in desk.accounts[0].calls():
        desk.totals[call.name] = desk.totals.get(call.name, 0.0) + call.amount
        call.answered(desk.now, desk.totals[call.name])
    desk.answer(0)  # nobody tries again
    assert desk.account(0).hand <= desk.account(0).hand_most + 1e-6
    assert sum(v for n, v in desk.totals.items() if ".q." in n) == pytest.approx(desk.account(0).hand)


def test_a_lease_that_is_not_answered_grants_nothing(desk):
    desk.take(0)
    desk.answer(0, lose=range(99))
    assert desk.account(0).hand == 0 and not desk.take(0)
    desk.answer(0)
    assert desk.take(0)  # the next, which is answered, does


def test_totals_are_never_less_than_what_was_granted(desk):
    for k in (0, 1, 0, 1, 1, 0):
        desk.burst(k, tries=9, units=2.0)
        desk.now += 70 * MS
        granted = sum(a.counts["granted"] - a.counts["given back"] for a in desk.accounts)
        assert sum(v for n, v in desk.totals.items() if ".q." in n) >= granted - 1e-6


def test_a_lost_keeper_leaves_the_even_part_and_not_before_the_peers_know(desk):
    for _ in range(SET.missed):
        desk.views[0].beaten(desk.now, 0, None)
    assert desk.views[0].state is State.LOST and not desk.take(0)
    begins = desk.views[0].even_from_ns()
    desk.now = begins - MS
    assert not desk.take(0)
    assert not desk.views[1].same(desk.now, 0)  # the other has stopped counting it before it begins
    desk.now = begins + SECOND
    sent = sum(desk.take(0, 0.5) for _ in range(99)) * 0.5
    assert 0 < sent <= QUOTA.rate / 2 * 1.3


def test_what_was_sent_without_a_keeper_is_told_to_it_once(desk):
    view = desk.views[0]
    for _ in range(SET.missed):
        view.beaten(desk.now, 0, None)
    desk.now += SET.quarantine_ns + 2 * SECOND
    desk.now -= desk.now % SET.epoch_ns - 300 * MS
    assert desk.take(0, 2.0)
    name, period = view.beat(desk.now)
    view.beaten(desk.now, period, desk.totals.setdefault(name, 50) + 1)
    assert view.trusts and not desk.take(0, 1.0)
    calls = desk.accounts[0].calls()
    assert [c.amount for c in calls] == [2.0]
    calls[0].answered(desk.now, 2.0)
    desk.take(0, 1.0)
    assert all(c.amount != 2.0 for c in desk.accounts[0].calls())


def test_a_call_that_tells_late_sends_and_is_not_answered_shuts_the_epoch(desk):
    epoch = desk.accounts[0]._epoch(desk.now, desk.account(0))
    epoch.late.append(2.0)
    desk.take(0, 1.0)
    desk.accounts[0].calls()[0].answered(desk.now, None)
    assert epoch.shut and not desk.take(0, 1.0) and not desk.accounts[0].calls()


def test_a_keeper_that_forgot_is_seen_by_a_beat_or_by_any_lease(desk):
    view = desk.views[0]
    name, period = view.beat(desk.now)
    view.beaten(desk.now, period, 1)
    assert view.state is State.NEW and not view.may_lease(desk.now)
    other = desk.views[1]
    desk.burst(1, tries=3)
    desk.totals.clear()
    assert other.state is State.TRUSTED
    desk.burst(1, tries=20)
    assert other.state is State.NEW and desk.account(1).epochs[desk.now // SET.epoch_ns].shut


def test_the_same_total_told_twice_parts_two_gateways(desk):
    a, b = desk.views
    assert a.same(desk.now, 1)
    word = b.word(desk.now + 1)
    a.hear(desk.now + 1, Word(1, desk.now + 1, True, word.period, (a._totals[-1],)))
    assert not a.same(desk.now + 1, 1) and a.part(desk.now + 1, [0, 1]) == 0.5


@pytest.mark.parametrize(("late_ms", "heard"), [(0, True), (149, True), (170, False), (-30, False)])
def test_a_word_that_took_too_long_says_nothing(late_ms, heard):
    view = View(SET, 0, T0)
    view.hear(T0, Word(1, T0 - late_ms * MS, True, 0, ()))
    assert view.same(T0, 1) is heard


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("seed", range(2))
def test_a_trial_stays_under_its_bound(failure, seed):
    outcome = Trial(failure, seed).play()
    assert outcome.overshoot <= outcome.bound + 1e-6 and outcome.served > 0.4


def test_without_parting_a_split_passes_its_bound(monkeypatch):
    """That the trial can fail: a gateway that counts everybody as on its own keeper."""
    monkeypatch.setattr(View, "same", lambda self, now, peer: True)
    monkeypatch.setattr(View, "part_since", lambda self, now, row, since_ns: 1.0)
    outcomes = [Trial("split", seed).play() for seed in range(6)]
    assert any(o.overshoot > o.bound for o in outcomes)


def test_bounds_grow_with_their_terms_and_name_what_dominates():
    assert [b.failure for b in bounds(QUOTA, SET)] == list(FAILURES)
    assert all(b.share <= SET.most_overshoot + 1e-9 for b in bounds(QUOTA, SET))
    tight = KeeperSettings(most_overshoot=0.001)
    assert carry_most(QUOTA, tight) == 0.0 and "most of it by unnoticed" in refused(QUOTA, tight)
    assert refused(QUOTA, KeeperSettings(most_overshoot=0.001, endured=("gone", "slow"))) is None
    wide = {b.failure: b.units for b in bounds(QUOTA, KeeperSettings(ways=3, most_overshoot=0.9))}
    assert wide["split"] > wide["swapped"] > wide["gone"]


@pytest.mark.parametrize(
    ("text", "said"),
    [
        ("plans: []\nkeeper: {beat_ms: x}\n", "k.yaml:2: $.keeper.beat_ms"),
        ("plans: 3\n", "k.yaml:1: $.plans"),
        ("plans: []\nkeeper: {heard_ms: 10}\n", "heard_ns: must cover two beats"),
        ("plans: [{name: a, rate: 0, burst: 1, spread: 1}]\n", "quota a: rate"),
        ("plans: []\nkeeper: {endured: [flood]}\n", "no failure is called 'flood'"),
        (
            "plans: [{name: a, rate: 1, burst: 1, spread: 2}]\nkeeper: {most_overshoot: 0.01}\n",
            "most of it by",
        ),
    ],
)
def test_a_file_that_cannot_be_held_is_refused_in_one_line(text, said, tmp_path):
    (tmp_path / "k.yaml").write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "zincstile", "bound", str(tmp_path / "k.yaml")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2 and said in done.stderr and len(done.stderr.splitlines()) == 1


# ---- whole gateways, on virtual time


def kept(seed, *faults, **over):
    return Run(
        Plan(
            **(
                {"seed": seed, "keeper": True, "requests": 220, "last_ms": 5000, "faults": list(faults)}
                | over
            )
        )
    )


@pytest.mark.parametrize(
    "faults",
    [
        [],
        [Fault("keeper_gone", 1000, 2500)],
        [Fault("keeper_swapped", 1000, 300)],
        [Fault("keeper_slow", 500, 3000, [], 20.0)],
        [Fault("keeper_split", 800, 3000, [0])],
        [Fault("keeper_split", 800, 3000, [0]), Fault("peers_cut", 800, 3000, [0])],
        [Fault("keeper_gone", 1000, 2500), Fault("crash", 1200, 600, [1]), Fault("shift", 1300, 0, [], 0.6)],
    ],
    ids=lambda faults: "+".join(f.kind for f in faults) or "calm",
)
def test_whole_gateways_hold_quotas_and_all_rules_whatever_the_keeper_does(faults):
    run = kept(4, Fault("surge", 500, 3000, [], 8.0), *faults)
    result = run.play()
    assert result.breach is None, f"{result.line()}: {result.breach.text}"
    assert result.tally["served"] > 40 and result.nearest["quota"] < 1
    assert any(" bound plan plus: " in line for line in run.logs)
    for seat in run.seats:
        assert seat.gateway.counters.keeper_calls > 20


def test_gateways_that_trust_any_keeper_pass_the_stated_bound(monkeypatch):
    """That the rule can break: leases are granted whatever the total, and nobody is parted."""
    monkeypatch.setattr(
        Accounts,
        "_leased",
        lambda self, now, account, number, amount, asked_ns, total: (
            setattr(account, "asked", 0.0),
            setattr(account, "hand", account.hand + amount),
        ),
    )
    rules = {
        run.breach.rule
        for run in (
            kept(seed, Fault("surge", 500, 4000, [], 8.0), requests=600, last_ms=9000).play()
            for seed in range(4)
        )
        if run.breach
    }
    assert "quota" in rules


def test_words_survive_the_trip_and_damage_is_dropped():
    word = Word(2, 1_800_000_000 * SECOND, True, 60_000_000, (7, 8, 2**32 - 1), 1_799_999_999 * SECOND)
    data = words.pack(word)
    assert words.unpack(2, data) == word and len(data) <= 64
    assert words.unpack(1, words.pack(Word(1, 5, False, -1, ()))) == Word(1, 5, False, 0, ())
    for at in range(len(data)):
        assert words.unpack(2, data[:at]) is None
        assert words.unpack(2, data[:at] + bytes([data[at] ^ 4]) + data[at + 1 :]) is None
    assert codec.unpack_tell(2, data) is None


def test_a_feature_file_is_read_at_load_and_a_bad_one_is_told(tmp_path):
    path, number = tmp_path / "keeper.yaml", 0
    peers = ["127.0.0.1:3"] * 3
    table = traffic.configuration(Plan(seed=1), number, "127.0.0.1:1", "127.0.0.1:2", peers, 1, {})
    assert config.read(dict(table), {}).keeper is None
    table |= {"features": {"keeper": str(path)}, "counter": "127.0.0.1:6400"}
    for text, said in (
        ("keeper: {beat_ms: 0}\n", "beat_ns: must be above 0"),
        ("keepr: {}\n", "k"),
        ("keeper: {most_overshoot: 0.001}\n", "most of it by"),
    ):
        path.write_text(text)
        with pytest.raises(config.ConfigError, match=said) as err:
            config.read(dict(table), {})
        assert str(path) in str(err.value)
    path.write_text("keeper: {most_overshoot: 0.1}\n")
    found = config.read(dict(table), {})
    assert found.keeper.most_overshoot == 0.1 and found.counter == ("127.0.0.1", 6400)
    with pytest.raises(config.ConfigError, match="no counter"):
        config.read(table | {"counter": None}, {})
