"""Leases from a quota service under failures: units have one owner, and overshoot stays within its bound."""

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
INTO_EPOCH_NS = 300 * MS_NS  # late enough in an epoch that the totals of earlier epochs are final


class Fleet:
    """Gateways that use a quota service whose calls the test answers itself."""

    def __init__(self, gateways=2, quota=QUOTA, settings=SETTINGS):
        self.totals = {}
        self.now = START_NS
        self.quota = quota
        self.gateways = list(range(gateways))
        self.detectors = [FailureDetector(settings, gateway, START_NS) for gateway in self.gateways]
        self.accounts = [Accounts(settings, detector) for detector in self.detectors]

    def heartbeat(self):
        """Answers a heartbeat of each gateway, and delivers the gateways' messages to each other."""
        for detector in self.detectors:
            self.answer_heartbeat(detector)
        for sender in self.gateways:
            message = self.detectors[sender].peer_heartbeat(self.now)
            for other in self.gateways:
                if other != sender:
                    self.detectors[other].peers.receive(self.now, message)

    def answer_heartbeat(self, detector, total=None):
        """Answers one gateway's heartbeat with `total`; the default is the counter's new total."""
        due = detector.heartbeat_call(self.now)
        if total is None:
            total = self.totals[due.name] = self.totals.get(due.name, 0) + 1
        detector.heartbeat_answered(self.now, due.counter_number, total)

    def lose_service(self, gateway):
        """Leaves heartbeats unanswered until the gateway considers the service lost."""
        for _ in range(SETTINGS.max_missed_heartbeats):
            self.detectors[gateway].heartbeat_answered(self.now, 0, None)

    def advance(self, ms):
        end = self.now + ms * MS_NS
        while self.now < end:
            self.now = min(end, self.now + SETTINGS.heartbeat_interval_ns)
            self.heartbeat()

    def account(self, gateway, key=1):
        return self.accounts[gateway].account(key, self.quota, self.gateways, self.now)

    def reserve(self, gateway, units=1.0):
        return self.accounts[gateway].reserve(self.now, self.account(gateway), units)

    def add_to_counter(self, call):
        """Adds the amount of a call to its counter and returns the total."""
        self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
        return self.totals[call.name]

    def answer_calls(self, gateway, *, lose_answers=False):
        """Executes the gateway's calls until there are none; with `lose_answers` they get no answer."""
        while calls := self.accounts[gateway].calls():
            for call in calls:
                total = self.add_to_counter(call)
                call.on_answer(self.now, None if lose_answers else total)

    def send_attempts(self, gateway, attempts=60, units=1.0):
        """Makes attempts, each with one retry after the calls are answered; returns the units sent."""
        sent = 0.0
        for _ in range(attempts):
            if not self.reserve(gateway, units):
                self.answer_calls(gateway)
                if not self.reserve(gateway, units):
                    self.answer_calls(gateway)
                    continue
            sent += units
            self.answer_calls(gateway)
        return sent

    def leased_units(self):
        """Returns the sum of all counters of leased units."""
        return sum(total for name, total in self.totals.items() if ".q." in name)


@pytest.fixture
def fleet():
    fleet = Fleet()
    fleet.heartbeat()
    fleet.advance(10_000)
    fleet.now += INTO_EPOCH_NS
    return fleet


def test_two_gateways_together_send_no_more_than_the_quota(fleet):
    sent = fleet.send_attempts(0) + fleet.send_attempts(1)
    carry = max_carry_units(QUOTA, SETTINGS)
    assert 0.8 * carry < sent <= carry + QUOTA.rate * 0.3 + 1e-6
    sent_later = sum(fleet.send_attempts(gateway) for gateway in fleet.gateways)
    assert sent_later < 1.0  # the quota is used up


def test_units_leased_for_an_attempt_that_is_not_retried_are_returned(fleet):
    assert not fleet.reserve(0, 3.0)
    for call in fleet.accounts[0].calls():
        call.on_answer(fleet.now, fleet.add_to_counter(call))
    fleet.answer_calls(0)  # without a retry of the attempt
    assert fleet.account(0).unspent_units <= fleet.account(0).max_unspent_units + 1e-6
    assert fleet.leased_units() == pytest.approx(fleet.account(0).unspent_units)


def test_an_unanswered_lease_grants_nothing(fleet):
    fleet.reserve(0)
    fleet.answer_calls(0, lose_answers=True)
    assert fleet.account(0).unspent_units == 0 and not fleet.reserve(0)
    fleet.answer_calls(0)
    assert fleet.reserve(0)  # the next lease, which was answered, grants units


def test_counter_totals_are_never_below_the_granted_units(fleet):
    for gateway in (0, 1, 0, 1, 1, 0):
        fleet.send_attempts(gateway, attempts=9, units=2.0)
        fleet.now += 70 * MS_NS
        counts = [accounts.counts for accounts in fleet.accounts]
        assert fleet.leased_units() >= sum(c.granted_units - c.returned_units for c in counts) - 1e-6


def test_a_gateway_falls_back_to_its_part_only_after_its_peers_stop_counting_it(fleet):
    fleet.lose_service(0)
    assert fleet.detectors[0].state is ServiceState.LOST and not fleet.reserve(0)
    fallback_from_ns = fleet.detectors[0].fallback_from_ns()
    fleet.now = fallback_from_ns - MS_NS
    assert not fleet.reserve(0)
    # the peer stopped counting this gateway before the fallback begins
    assert not fleet.detectors[1].peers.on_same_service(fleet.now, 0)
    fleet.now = fallback_from_ns + SECOND_NS
    sent = sum(fleet.reserve(0, 0.5) for _ in range(99)) * 0.5
    assert 0 < sent <= QUOTA.rate / 2 * 1.3


def test_units_sent_without_a_service_are_reported_once_when_it_is_trusted_again(fleet):
    detector = fleet.detectors[0]
    fleet.lose_service(0)
    fleet.now += SETTINGS.fallback_delay_ns + 2 * SECOND_NS
    fleet.now -= fleet.now % SETTINGS.epoch_ns - INTO_EPOCH_NS
    assert fleet.reserve(0, 2.0)
    due = detector.heartbeat_call(fleet.now)
    fleet.answer_heartbeat(detector, fleet.totals.setdefault(due.name, 50) + 1)
    assert detector.trusts_service and not fleet.reserve(0, 1.0)
    calls = fleet.accounts[0].calls()
    assert [call.amount for call in calls] == [2.0]
    calls[0].on_answer(fleet.now, 2.0)
    fleet.reserve(0, 1.0)
    assert all(call.amount != 2.0 for call in fleet.accounts[0].calls())


def test_an_unanswered_report_of_units_closes_the_epoch(fleet):
    epoch = fleet.account(0).epoch(fleet.now // SETTINGS.epoch_ns)
    epoch.unreported_units.append(2.0)
    fleet.reserve(0, 1.0)
    fleet.accounts[0].calls()[0].on_answer(fleet.now, None)
    assert epoch.closed and not fleet.reserve(0, 1.0) and not fleet.accounts[0].calls()


def test_lost_counters_are_detected_by_a_heartbeat_or_by_a_lease(fleet):
    detector, other = fleet.detectors
    fleet.answer_heartbeat(detector, 1)
    assert detector.state is ServiceState.NEW and not detector.may_lease(fleet.now)
    fleet.send_attempts(1, attempts=3)
    fleet.totals.clear()
    assert other.state is ServiceState.TRUSTED
    fleet.send_attempts(1, attempts=20)
    assert other.state is ServiceState.NEW
    assert fleet.account(1).epochs[fleet.now // SETTINGS.epoch_ns].closed


def test_two_gateways_with_the_same_total_are_separated(fleet):
    detector, other = fleet.detectors
    assert detector.peers.on_same_service(fleet.now, 1)
    now = fleet.now + 1
    last_total = detector.peer_heartbeat(fleet.now).totals[-1]
    counter_number = other.peer_heartbeat(now).counter_number
    detector.peers.receive(now, PeerHeartbeat(1, now, True, counter_number, (last_total,)))
    assert not detector.peers.on_same_service(now, 1)
    assert detector.service_part(now, [0, 1]) == 0.5


@pytest.mark.parametrize(("delay_ms", "accepted"), [(0, True), (149, True), (170, False), (-30, False)])
def test_a_heartbeat_that_is_too_old_or_from_the_future_is_dropped(delay_ms, accepted):
    detector = FailureDetector(SETTINGS, 0, START_NS)
    detector.peers.receive(START_NS, PeerHeartbeat(1, START_NS - delay_ms * MS_NS, True, 0, ()))
    assert detector.peers.on_same_service(START_NS, 1) is accepted


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("seed", range(2))
def test_the_overshoot_of_a_random_trial_is_within_the_bound(failure, seed):
    outcome = Trial(failure, seed).play()
    assert outcome.overshoot <= outcome.bound + 1e-6 and outcome.served_ratio > 0.4


def test_a_split_exceeds_the_bound_if_gateways_count_every_peer(monkeypatch):
    """Shows that the trial detects a fault: gateways that count every peer as on the same service."""
    monkeypatch.setattr(Peers, "on_same_service", lambda self, now, peer: True)
    monkeypatch.setattr(FailureDetector, "service_part_since", lambda self, now, gateways, since_ns: 1.0)
    outcomes = [Trial("split", seed).play() for seed in range(6)]
    assert any(o.overshoot > o.bound for o in outcomes)


def test_bounds_follow_the_settings_and_a_refusal_names_the_largest_term():
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


def test_failures_have_the_names_used_in_operators_files():
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
def test_the_bound_command_rejects_an_invalid_file_with_a_one_line_error(text, error, tmp_path):
    (tmp_path / "k.yaml").write_text(text)
    completed = subprocess.run(
        [sys.executable, "-m", "zincstile", "bound", str(tmp_path / "k.yaml")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 2 and error in completed.stderr and len(completed.stderr.splitlines()) == 1


# ---- complete gateways, on virtual time


def gateway_run(seed, *faults, **overrides):
    """Returns a run of complete gateways that enforce their quotas through a quota service."""
    defaults = {"seed": seed, "quota_service": True, "requests": 220, "last_ms": 5000, "faults": list(faults)}
    return Run(Plan(**(defaults | overrides)))


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
def test_simulated_gateways_keep_quotas_and_all_rules_under_service_failures(faults):
    run = gateway_run(4, Fault("surge", 500, 3000, [], 8.0), *faults)
    result = run.play()
    assert result.breach is None, f"{result.line()}: {result.breach.text}"
    assert result.tally["served"] > 40 and result.nearest["quota"] < 1
    assert any(" bound plan plus: " in line for line in run.logs)
    for node in run.nodes:
        assert node.gateway.counters.quota_service_calls > 20


def test_the_quota_rule_is_violated_if_every_lease_is_granted(monkeypatch):
    """Shows that the rule can be violated: leases are granted regardless of the total."""

    def grant_all(accounts, now, request, total):
        request.account.requested_units = 0.0
        request.account.unspent_units += request.amount

    monkeypatch.setattr(Accounts, "_lease_answered", grant_all)
    rules = {
        run.breach.rule
        for run in (
            gateway_run(seed, Fault("surge", 500, 4000, [], 8.0), requests=600, last_ms=9000).play()
            for seed in range(4)
        )
        if run.breach
    }
    assert "quota" in rules


def test_heartbeats_are_decoded_as_encoded_and_damaged_ones_are_dropped():
    last_answer_ns = 1_799_999_999 * SECOND_NS
    message = PeerHeartbeat(2, 1_800_000_000 * SECOND_NS, True, 60_000_000, (7, 8, 2**32 - 1), last_answer_ns)
    data = codec.pack(message)
    assert codec.unpack(2, data) == message and len(data) <= 64
    without_totals = PeerHeartbeat(1, 5, False, -1, ())
    assert codec.unpack(1, codec.pack(without_totals)) == PeerHeartbeat(1, 5, False, 0, ())
    for at in range(len(data)):
        assert codec.unpack(2, data[:at]) is None
        assert codec.unpack(2, data[:at] + bytes([data[at] ^ 4]) + data[at + 1 :]) is None
    assert gossip_codec.decode_gossip(2, data) is None


@pytest.fixture
def configuration(tmp_path):
    """Returns a gateway's configuration that names a feature file, and the path of that file."""
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
def test_an_invalid_feature_file_is_a_configuration_error(configuration, text, error):
    table, path = configuration
    path.write_text(text)
    with pytest.raises(config.ConfigError, match=error) as caught:
        config.read(dict(table), {})
    assert str(path) in str(caught.value)


def test_the_feature_file_is_read_with_the_configuration(configuration):
    table, path = configuration
    path.write_text("keeper: {most_overshoot: 0.1}\n")
    loaded = config.read(dict(table), {})
    assert loaded.quota_service.max_overshoot_ratio == 0.1
    assert loaded.quota_service_address == ("127.0.0.1", 6400)
    with pytest.raises(config.ConfigError, match=r"address of the quota service \(counter\) is missing"):
        config.read(table | {"counter": None}, {})
