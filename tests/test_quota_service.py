"""Leases from a quota service that fails: no unit has two owners, and what is sent stays under the bound."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from zincstile.decisions.quota_bounds import Quota
from zincstile.net import config
from zincstile.quota_service import codec
from zincstile.quota_service.accounts import Accounts
from zincstile.quota_service.failure_detector import FailureDetector, ServiceState
from zincstile.quota_service.messages import PeerHeartbeat
from zincstile.quota_service.overshoot_bound import max_carry_units, overshoot_bounds, refusal_reason
from zincstile.quota_service.peers import Peers
from zincstile.quota_service.settings import FAILURES, Failure, QuotaServiceSettings
from zincstile.simulation import traffic
from zincstile.simulation.plan import Fault, Plan
from zincstile.simulation.run import Run
from zincstile.simulation.trial import Trial
from zincstile.simulator import gossip_codec
from zincstile.virtual.clock import MS_NS, SECOND_NS

ROOT = Path(__file__).parent.parent
SETTINGS = QuotaServiceSettings()
QUOTA = Quota("plus", 10.0, 30.0, 2, 3.0)
START_NS = 3000 * SECOND_NS
INTO_EPOCH_NS = 300 * MS_NS  # when the totals of the epochs before stand


class Setup:
    """A quota service by hand, and gateways on it."""

    def __init__(self, gateways=2, quota=QUOTA, settings=SETTINGS):
        self.totals = {}
        self.now = START_NS
        self.quota = quota
        self.gateways = list(range(gateways))
        self.detectors = [FailureDetector(settings, gateway, START_NS) for gateway in self.gateways]
        self.accounts = [Accounts(settings, detector) for detector in self.detectors]

    def heartbeat(self):
        """Every gateway's heartbeat, answered, and its message to the others."""
        for detector in self.detectors:
            self.answer_heartbeat(detector)
        for sender in self.gateways:
            message = self.detectors[sender].peer_heartbeat(self.now)
            for other in self.gateways:
                if other != sender:
                    self.detectors[other].peers.receive(self.now, message)

    def answer_heartbeat(self, detector, total=None):
        """One gateway's heartbeat; `total`: the answer, where it isn't the counter's."""
        due = detector.heartbeat_call(self.now)
        if total is None:
            total = self.totals[due.name] = self.totals.get(due.name, 0) + 1
        detector.heartbeat_answered(self.now, due.counter_number, total)

    def lose_service(self, gateway):
        """As many heartbeats without an answer as it takes to lose the service."""
        for _ in range(SETTINGS.max_missed_heartbeats):
            self.detectors[gateway].heartbeat_answered(self.now, 0, None)

    def pass_time(self, ms):
        end = self.now + ms * MS_NS
        while self.now < end:
            self.now = min(end, self.now + SETTINGS.heartbeat_interval_ns)
            self.heartbeat()

    def account(self, gateway, key=1):
        return self.accounts[gateway].account(key, self.quota, self.gateways, self.now)

    def take(self, gateway, units=1.0):
        return self.accounts[gateway].reserve(self.now, self.account(gateway), units)

    def add(self, call):
        """Adds what a call asks for, and returns the total."""
        self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
        return self.totals[call.name]

    def answer(self, gateway, *, lose=False):
        """Carries out the gateway's calls until there are none; `lose`: they are added and not answered."""
        while calls := self.accounts[gateway].calls():
            for call in calls:
                total = self.add(call)
                call.on_answer(self.now, None if lose else total)

    def burst(self, gateway, attempts=60, units=1.0):
        """Units sent of so many attempts, each with one retry after an answer."""
        sent = 0.0
        for _ in range(attempts):
            if not self.take(gateway, units):
                self.answer(gateway)
                if not self.take(gateway, units):
                    self.answer(gateway)
                    continue
            sent += units
            self.answer(gateway)
        return sent

    def leased(self):
        """The sum of all counters of leased units."""
        return sum(total for name, total in self.totals.items() if ".q." in name)


@pytest.fixture
def setup():
    made = Setup()
    made.heartbeat()
    made.pass_time(10_000)
    made.now += INTO_EPOCH_NS
    return made


def test_two_gateways_together_get_what_one_may(setup):
    both = setup.burst(0) + setup.burst(1)
    carry = max_carry_units(QUOTA, SETTINGS)
    assert 0.8 * carry < both <= carry + QUOTA.rate * 0.3 + 1e-6
    more = sum(setup.burst(gateway) for gateway in setup.gateways)
    assert more < 1.0  # nothing is left


def test_what_is_leased_for_an_attempt_that_goes_away_is_returned(setup):
    assert not setup.take(0, 3.0)
    for call in setup.accounts[0].calls():
        call.on_answer(setup.now, setup.add(call))
    setup.answer(0)  # there is no retry
    assert setup.account(0).unspent_units <= setup.account(0).max_unspent_units + 1e-6
    assert setup.leased() == pytest.approx(setup.account(0).unspent_units)


def test_a_lease_that_is_not_answered_grants_nothing(setup):
    setup.take(0)
    setup.answer(0, lose=True)
    assert setup.account(0).unspent_units == 0 and not setup.take(0)
    setup.answer(0)
    assert setup.take(0)  # the next, which is answered, does


def test_totals_are_never_less_than_what_was_granted(setup):
    for gateway in (0, 1, 0, 1, 1, 0):
        setup.burst(gateway, attempts=9, units=2.0)
        setup.now += 70 * MS_NS
        counts = [accounts.counts for accounts in setup.accounts]
        assert setup.leased() >= sum(c.granted_units - c.returned_units for c in counts) - 1e-6


def test_a_lost_service_leaves_the_even_part_and_not_before_the_peers_know(setup):
    setup.lose_service(0)
    assert setup.detectors[0].state is ServiceState.LOST and not setup.take(0)
    begins = setup.detectors[0].fallback_from_ns()
    setup.now = begins - MS_NS
    assert not setup.take(0)
    # the other has stopped counting on it before it begins
    assert not setup.detectors[1].peers.on_same_service(setup.now, 0)
    setup.now = begins + SECOND_NS
    sent = sum(setup.take(0, 0.5) for _ in range(99)) * 0.5
    assert 0 < sent <= QUOTA.rate / 2 * 1.3


def test_what_was_sent_without_a_service_is_reported_to_it_once(setup):
    detector = setup.detectors[0]
    setup.lose_service(0)
    setup.now += SETTINGS.fallback_delay_ns + 2 * SECOND_NS
    setup.now -= setup.now % SETTINGS.epoch_ns - INTO_EPOCH_NS
    assert setup.take(0, 2.0)
    due = detector.heartbeat_call(setup.now)
    setup.answer_heartbeat(detector, setup.totals.setdefault(due.name, 50) + 1)
    assert detector.trusts_service and not setup.take(0, 1.0)
    calls = setup.accounts[0].calls()
    assert [call.amount for call in calls] == [2.0]
    calls[0].on_answer(setup.now, 2.0)
    setup.take(0, 1.0)
    assert all(call.amount != 2.0 for call in setup.accounts[0].calls())


def test_a_report_of_units_that_is_not_answered_closes_the_epoch(setup):
    epoch = setup.account(0).epoch(setup.now // SETTINGS.epoch_ns)
    epoch.unreported_units.append(2.0)
    setup.take(0, 1.0)
    setup.accounts[0].calls()[0].on_answer(setup.now, None)
    assert epoch.closed and not setup.take(0, 1.0) and not setup.accounts[0].calls()


def test_a_service_that_forgot_is_detected_by_a_heartbeat_or_by_any_lease(setup):
    detector, other = setup.detectors
    setup.answer_heartbeat(detector, 1)
    assert detector.state is ServiceState.NEW and not detector.may_lease(setup.now)
    setup.burst(1, attempts=3)
    setup.totals.clear()
    assert other.state is ServiceState.TRUSTED
    setup.burst(1, attempts=20)
    assert other.state is ServiceState.NEW
    assert setup.account(1).epochs[setup.now // SETTINGS.epoch_ns].closed


def test_the_same_total_given_twice_separates_two_gateways(setup):
    detector, other = setup.detectors
    assert detector.peers.on_same_service(setup.now, 1)
    now = setup.now + 1
    last_total = detector.peer_heartbeat(setup.now).totals[-1]
    counter_number = other.peer_heartbeat(now).counter_number
    detector.peers.receive(now, PeerHeartbeat(1, now, True, counter_number, (last_total,)))
    assert not detector.peers.on_same_service(now, 1)
    assert detector.service_part(now, [0, 1]) == 0.5


@pytest.mark.parametrize(("late_ms", "received"), [(0, True), (149, True), (170, False), (-30, False)])
def test_a_message_that_took_too_long_is_dropped(late_ms, received):
    detector = FailureDetector(SETTINGS, 0, START_NS)
    detector.peers.receive(START_NS, PeerHeartbeat(1, START_NS - late_ms * MS_NS, True, 0, ()))
    assert detector.peers.on_same_service(START_NS, 1) is received


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("seed", range(2))
def test_a_trial_stays_under_its_bound(failure, seed):
    outcome = Trial(failure, seed).play()
    assert outcome.overshoot <= outcome.bound + 1e-6 and outcome.served > 0.4


def test_without_separation_a_split_passes_its_bound(monkeypatch):
    """That the trial can fail: a gateway that counts on every peer."""
    monkeypatch.setattr(Peers, "on_same_service", lambda self, now, peer: True)
    monkeypatch.setattr(FailureDetector, "service_part_since", lambda self, now, gateways, since_ns: 1.0)
    outcomes = [Trial("split", seed).play() for seed in range(6)]
    assert any(o.overshoot > o.bound for o in outcomes)


def test_bounds_grow_with_their_terms_and_name_what_dominates():
    assert [bound.failure for bound in overshoot_bounds(QUOTA, SETTINGS)] == list(FAILURES)
    assert all(
        bound.overshoot_ratio <= SETTINGS.max_overshoot_ratio + 1e-9
        for bound in overshoot_bounds(QUOTA, SETTINGS)
    )
    tight = QuotaServiceSettings(max_overshoot_ratio=0.001)
    assert max_carry_units(QUOTA, tight) == 0.0
    assert "most of it by unnoticed" in refusal_reason(QUOTA, tight)
    lenient = QuotaServiceSettings(
        max_overshoot_ratio=0.001, tolerated_failures=(Failure.UNREACHABLE, Failure.SLOW)
    )
    assert refusal_reason(QUOTA, lenient) is None
    settings = QuotaServiceSettings(split_parts=3, max_overshoot_ratio=0.9)
    units = {bound.failure: bound.units for bound in overshoot_bounds(QUOTA, settings)}
    assert units[Failure.SPLIT] > units[Failure.REPLACED] > units[Failure.UNREACHABLE]


def test_failures_have_the_names_that_operators_write():
    names = ("none", "gone", "slow", "calls lost", "gateway dead", "split", "swapped")
    assert tuple(str(failure) for failure in FAILURES) == names


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("plans: []\nkeeper: {beat_ms: x}\n", "k.yaml:2: $.keeper.beat_ms"),
        ("plans: 3\n", "k.yaml:1: $.plans"),
        ("plans: []\nkeeper: {heard_ms: 10}\n", "heard_ns: must cover two heartbeats"),
        ("plans: []\nkeeper: {call_ms: 600}\n", "epoch_ns: must be at least twice call_ns"),
        ("plans: []\nkeeper: {ways: 1}\n", "ways: a split has at least 2 parts"),
        ("plans: [{name: a, rate: 0, burst: 1, spread: 1}]\n", "quota a: rate"),
        ("plans: []\nkeeper: {endured: [flood]}\n", "no failure is called 'flood'"),
        (
            "plans: [{name: a, rate: 1, burst: 1, spread: 2}]\nkeeper: {most_overshoot: 0.01}\n",
            "most of it by",
        ),
    ],
)
def test_a_file_that_cannot_be_held_is_refused_in_one_line(text, error, tmp_path):
    (tmp_path / "k.yaml").write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "zincstile", "bound", str(tmp_path / "k.yaml")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2 and error in done.stderr and len(done.stderr.splitlines()) == 1


# ---- whole gateways, on virtual time


def simulated(seed, *faults, **over):
    """A run of whole gateways that hold their quotas through a quota service."""
    usual = {"seed": seed, "keeper": True, "requests": 220, "last_ms": 5000, "faults": list(faults)}
    return Run(Plan(**(usual | over)))


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
def test_whole_gateways_hold_quotas_and_all_rules_whatever_the_service_does(faults):
    run = simulated(4, Fault("surge", 500, 3000, [], 8.0), *faults)
    result = run.play()
    assert result.breach is None, f"{result.line()}: {result.breach.text}"
    assert result.tally["served"] > 40 and result.nearest["quota"] < 1
    assert any(" bound plan plus: " in line for line in run.logs)
    for node in run.nodes:
        assert node.gateway.counters.quota_service_calls > 20


def test_gateways_that_trust_any_service_pass_the_stated_bound(monkeypatch):
    """That the rule can break: leases are granted whatever the total is."""

    def grant_all(accounts, now, request, total):
        request.account.requested_units = 0.0
        request.account.unspent_units += request.amount

    monkeypatch.setattr(Accounts, "_lease_answered", grant_all)
    rules = {
        run.breach.rule
        for run in (
            simulated(seed, Fault("surge", 500, 4000, [], 8.0), requests=600, last_ms=9000).play()
            for seed in range(4)
        )
        if run.breach
    }
    assert "quota" in rules


def test_messages_survive_packing_and_damaged_ones_are_dropped():
    last_answer_ns = 1_799_999_999 * SECOND_NS
    message = PeerHeartbeat(2, 1_800_000_000 * SECOND_NS, True, 60_000_000, (7, 8, 2**32 - 1), last_answer_ns)
    data = codec.pack(message)
    assert codec.unpack(2, data) == message and len(data) <= 64
    without = PeerHeartbeat(1, 5, False, -1, ())
    assert codec.unpack(1, codec.pack(without)) == PeerHeartbeat(1, 5, False, 0, ())
    for at in range(len(data)):
        assert codec.unpack(2, data[:at]) is None
        assert codec.unpack(2, data[:at] + bytes([data[at] ^ 4]) + data[at + 1 :]) is None
    assert gossip_codec.decode_gossip(2, data) is None


@pytest.fixture
def configuration(tmp_path):
    """A gateway's configuration that names a feature file, and the file's path."""
    peers = ["127.0.0.1:3"] * 3
    table = traffic.configuration(Plan(seed=1), 0, "127.0.0.1:1", "127.0.0.1:2", peers, 1, {})
    assert config.read(dict(table), {}).quota_service is None
    path = tmp_path / "keeper.yaml"
    return table | {"features": {"keeper": str(path)}, "counter": "127.0.0.1:6400"}, path


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("keeper: {beat_ms: 0}\n", "beat_ns: must be above 0"),
        ("keepr: {}\n", "k"),
        ("keeper: {most_overshoot: 0.001}\n", "most of it by"),
    ],
)
def test_a_bad_feature_file_is_an_error_of_the_configuration(configuration, text, error):
    table, path = configuration
    path.write_text(text)
    with pytest.raises(config.ConfigError, match=error) as caught:
        config.read(dict(table), {})
    assert str(path) in str(caught.value)


def test_a_feature_file_is_read_at_load(configuration):
    table, path = configuration
    path.write_text("keeper: {most_overshoot: 0.1}\n")
    found = config.read(dict(table), {})
    assert found.quota_service.max_overshoot_ratio == 0.1
    assert found.quota_service_address == ("127.0.0.1", 6400)
    with pytest.raises(config.ConfigError, match="no counter"):
        config.read(table | {"counter": None}, {})
