"""Leases between gateways: units have one owner, even if messages are lost, delayed or duplicated."""

from __future__ import annotations

import pickle
import random
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import settings as hypothesis_settings
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
SETTINGS = LeaseSettings()
PLAN_QUOTAS = (
    [Quota("basic", r, r * b, n, 6.0) for r in (1.6, 2.8) for b in (3.3, 5.0) for n in (2, 3, 4)]
    + [Quota("standard", r, r * b, n, 6.0) for r in (5.3, 9.2) for b in (3.3, 4.9) for n in (2, 3, 4)]
    + [Quota("plus", r, r * b, n, 6.0) for r in (16.0, 28.0) for b in (1.5, 2.7) for n in (2, 3, 4)]
    + [Quota("premium", r, r * b, n, 6.0) for r in (41.0, 71.0) for b in (1.3, 2.3) for n in (2, 3, 4)]
)


@pytest.mark.parametrize("name", search.OPENINGS)
def test_no_sequence_of_steps_exceeds_a_quota(name):
    result = search.search(3, name)
    assert not result.violation and result.states > 400


class RandomSteps(RuleBasedStateMachine):
    """Takes random steps of the exhaustive search, in much longer sequences."""

    @initialize()
    def begin(self):
        self.state = search.initial_state()

    @rule(pick=st.integers(0, 10**6))
    def step(self, pick):
        possible = search.possible_actions(self.state)
        search.apply_action(self.state, possible[pick % len(possible)])

    @rule(pick=st.integers(0, 10**6))
    def deliver_message(self, pick):
        if self.state.messages:
            search.apply_action(self.state, f"deliver {pick % len(self.state.messages)}")

    @precondition(lambda self: len(self.state.messages) < 2)
    @rule(gateway=st.integers(0, 2))
    def exhaust_own_units(self, gateway):
        for _ in range(3):
            search.apply_action(self.state, f"try {gateway} 0")

    @invariant()
    def copy_has_the_same_key(self):
        assert search._state_key(self.state) == search._state_key(pickle.loads(pickle.dumps(self.state)))


TestRandomSteps = RandomSteps.TestCase
TestRandomSteps.settings = hypothesis_settings(
    max_examples=60, stateful_step_count=60, deadline=None, derandomize=True
)


def test_every_mutant_is_found_and_the_original_code_passes_the_checkers():
    findings = dict(mutants_shared.try_all(tuple(mutants_shared.MUTANTS), 8))
    assert not [name for name, finding in findings.items() if not finding]
    assert mutants_shared.check_suspicions(7) == mutants_shared.check_concurrency_budget(7) == ""


@pytest.mark.parametrize(
    "quota", PLAN_QUOTAS, ids=lambda case: f"{case.name}-{case.rate:g}-{case.burst:g}-{case.spread}"
)
def test_the_overshoot_of_every_plan_is_within_five_percent_of_a_minute(quota):
    bounds = {bound.failure: bound for bound in overshoot_bounds(quota, SETTINGS)}
    assert refusal_reason(quota, SETTINGS) is None and set(bounds) == set(FAILURES)
    assert bounds["cut"].units == bounds["none"].units == pytest.approx(quota.rate * 0.2)
    assert all(bounds[failure].overshoot_ratio <= 0.05 + 1e-9 for failure in SETTINGS.tolerated_failures)
    # a gateway can send a request of 5 units, nearly the largest, from its part and its leases in one batch
    assert batch_limit_units(quota, SETTINGS) + quota.burst / holder_count(quota, SETTINGS) >= 5.0
    assert (
        0.3 < initial_fill_ratio(quota, SETTINGS) <= 1.0
        and gossip_bound(quota, 2, 10.0).overshoot_ratio > 0.08
    )


def test_a_refusal_names_the_largest_term_and_invalid_settings_are_rejected():
    tight = LeaseSettings(max_send_delay_ns=5 * SECOND_NS)
    assert "most of it by flight" in refusal_reason(PLAN_QUOTAS[0], tight)
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


def test_holders_do_not_depend_on_the_order_of_gateways_and_are_evenly_distributed():
    gateways, counts = tuple(range(24)), [0] * 24
    for customer in range(3000):
        holders = choose_holders(customer, gateways, 4)
        assert holders == choose_holders(customer, gateways[::-1], 4) and len(set(holders)) == 4
        for holder in holders:
            counts[holder] += 1
    assert min(counts) > 400 and max(counts) < 600


MESSAGES = [
    LeaseRequest(1, 2**33 - 1, 3, 24, 23, 2**32 - 1, 5.5, 1.25, 9),
    LeaseGrant(1, 7, 8, 2.5, 0.125, 3, 2**32 - 1),
    LeaseRelease(1, 7, 8, 1.5, 77),
    SlotRequest(1, 2**40, 2, 3, 1, 5),
    SlotGrant(1, 7, 8, True, 9),
    SlotRelease(1, 7, 8, 9),
    Suspicion(65535, ALL_CLASSES, 1.0, 199, 4, 30 * MILLISECOND_NS),
    ConcurrencyReport(9, 5, 6, 2.5, 8.0, 0),
]


def test_messages_are_decoded_as_encoded_and_damaged_datagrams_are_dropped():
    datagrams = [codec.unpack(packed) for packed in codec.pack(5, MESSAGES * 9)]
    assert (
        all(len(packed) <= codec.MAX_DATAGRAM_BYTES for packed in codec.pack(5, MESSAGES * 9))
        and len(datagrams) > 3
    )
    received = [message for process, messages in datagrams for message in messages]
    sent = [
        replace(message, recipient=-1) if hasattr(message, "recipient") else message for message in MESSAGES
    ]
    assert received == sent * 9 and datagrams[0][0] == 5
    data = codec.pack(5, MESSAGES)[0]
    assert all(codec.unpack(data[:length]) is None for length in range(len(data)))
    assert all(
        codec.unpack(data[:at] + bytes([data[at] ^ 1]) + data[at + 1 :]) is None for at in range(len(data))
    )


def test_encoding_never_increases_units():
    for units in (0.1, 1 / 3, 2.9999999, 5.0005):
        ((_, (grant,)),) = [
            codec.unpack(data) for data in codec.pack(1, [LeaseGrant(0, 1, 2, units, units, 1, 1)])
        ]
        assert units - 0.001 < grant.units <= units


def test_an_isolated_gateway_detects_it_and_sends_no_suspicions():
    detector, now = FailureDetector(SETTINGS, 0, 0), 10 * SECOND_NS
    for endpoint in range(1, 7):
        for _ in range(3):
            detector.record_attempt(now, endpoint, ALL_CLASSES, 1.0, 0.8, unreachable=True)
    detector.tick(now, range(1, 7))
    assert not detector.isolated and detector.suspicions_to_send(now)  # no other gateway to compare with
    detector.record_observer(now, 3, 1)
    detector.tick(now, range(1, 7))
    assert detector.isolated and not detector.suspicions_to_send(now)
    for peer, zone in ((3, 1), (4, 2)):  # gateways in two zones observe the same, so it is not isolated
        for endpoint in range(1, 7):
            detector.merge(now, Suspicion(endpoint, ALL_CLASSES, 1.0, peer, zone, 0))
            detector.record_observer(now, peer, zone)
    detector.tick(now, range(1, 7))
    assert not detector.isolated


@pytest.mark.parametrize("seed", range(12))
def test_requests_in_flight_stay_within_the_slot_limit_under_message_faults(seed):
    """Messages are lost, duplicated and delayed by up to 5 s, requests end, and gateways restart."""
    rng, now, last_process = random.Random(seed), SECOND_NS, [100]
    limit, gateways, longest_ns = rng.randint(1, 7), tuple(range(rng.randint(2, 4))), 3 * SECOND_NS

    def start(gateway):
        last_process[0] += 1
        return SlotManager(SETTINGS, gateway, last_process[0], longest_ns, random.Random(last_process[0]))

    managers, messages, in_flight, last_request = [start(gateway) for gateway in gateways], [], {}, 0
    excess, excess_until, max_in_flight = 0, 0, 0
    for _ in range(4000):
        now += rng.randint(1, 20) * MILLISECOND_NS
        gateway = rng.choice(gateways)
        manager = managers[gateway]
        account = manager.account(9, 0, limit, gateways)
        if manager.has_free_slot(account, now + longest_ns):
            last_request += 1
            manager.acquire(account, last_request, now + longest_ns)
            in_flight[last_request] = gateway, now + rng.randint(0, longest_ns)
        else:
            manager.request_slot(now, account)
        for request, (owner, end_ns) in list(in_flight.items()):
            if end_ns <= now:
                managers[owner].release(request)
                del in_flight[request]
        # The gateway restarts. Slots that it had leased out stay in use until their leases end, and the
        # requests of its old process end at once.
        if rng.random() < 0.001:
            excess, excess_until = excess + account.leased_out_slots, now + manager.lease_ns
            in_flight = {key: value for key, value in in_flight.items() if value[0] != gateway}
            managers[gateway] = start(gateway)
        for number, sender_manager in enumerate(managers):
            if rng.random() < 0.3:
                sender_manager.tick(now)
            for message in sender_manager.drain_messages():
                messages += [
                    (
                        now + rng.choice((1, 5, 30, 80, 900, 5000)) * MILLISECOND_NS,
                        number,
                        sender_manager.process,
                        message,
                    )
                    for _ in range(rng.choice((0, 1, 1, 1, 1, 2)))
                ]
        due = [delivery for delivery in messages if delivery[0] <= now]
        messages = [delivery for delivery in messages if delivery[0] > now]
        rng.shuffle(due)
        for _, sender, process, message in due:
            recipient = managers[message.recipient]
            if isinstance(message, SlotRequest):
                recipient.on_request(now, sender, process, message, recipient.account(9, 0, limit, gateways))
            elif isinstance(message, SlotGrant):
                recipient.on_grant(now, sender, process, message)
            else:
                recipient.on_release(sender, process, message)
        excess = excess if now < excess_until else 0
        max_in_flight = max(max_in_flight, len(in_flight))
        assert len(in_flight) <= limit + excess
    assert max_in_flight >= limit and sum(slots.granted_slots for slots in managers) > 0


def test_parts_of_silent_gateways_are_taken_over_gradually_and_given_back_at_once():
    budget, now = ConcurrencyBudget(0, 10, 1, 40.0), SECOND_NS
    factors = {}
    for step in range(120):
        now += 100 * MILLISECOND_NS
        reporting = range(1, 10) if step < 30 or step >= 90 else range(1, 3)
        for gateway in reporting:
            budget.merge(now, ConcurrencyReport(gateway, 5, step, 1.0, 1.0, 0))
        factors[step] = budget.tick(now)
    assert factors[29] == 1.0 and factors[45] == 1.0  # the others are not yet silent for `silence_ns`
    assert factors[60] == pytest.approx(10 / 3) and factors[90] == 1.0
    assert budget.tick(now + 3 * SECOND_NS) == 1.0  # a gateway that was suspended starts with its own part


def test_the_feature_file_is_read_with_the_configuration_and_its_errors_name_it(tmp_path):
    table = traffic.configuration(Plan(seed=1), 0, "127.0.0.1:1", "127.0.0.1:2", ["127.0.0.1:3"] * 3, 1, {})
    table["features"] = {"shared": str(ROOT / "deploy" / "shared.yaml")}
    loaded = config.read(table, {})
    assert loaded.leases == features.read_leases(str(ROOT / "deploy" / "shared.yaml"))[0]
    plans = [customer_plan.name for customer_plan in loaded.settings.plans]
    covered = dict(zip(plans, covered_plans(loaded.settings, loaded.leases), strict=True))
    assert covered == dict.fromkeys(plans, False) | {"plus": True}  # its quota alone enforces its ceiling
    for text, message in (
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
        assert message in str(err.value) and "\n" not in str(err.value)
    table |= {"features": {"shared": "a", "keeper": str(ROOT / "deploy" / "keeper.yaml")}, "counter": "h:1"}
    with pytest.raises(config.ConfigError, match="set only one of the two"):
        config.read(table, {})


def test_the_bound_command_prints_bounds_and_rejects_excessive_ones(tmp_path):
    def bound(path):
        return subprocess.run(
            [sys.executable, "-m", "zincstile", "bound", str(path)], cwd=ROOT, text=True, capture_output=True
        )

    completed = bound(ROOT / "deploy" / "shared.yaml")
    assert (
        completed.returncode == 0
        and "gossip, 2 parts for 10 s" in completed.stdout
        and "premium" in completed.stdout
    )
    path = tmp_path / "much.yaml"
    path.write_text("shared: {flight_ms: 4000}\nplans: [{name: a, rate: 1, burst: 2, spread: 3}]\n")
    completed = bound(path)
    assert completed.returncode == 2 and completed.stderr.count("\n") == 1 and "flight" in completed.stderr


def test_simulated_partitions_keep_every_bound_but_not_with_quotas_by_gossip():
    results = list(shared_trials.play_all(range(len(shared.FAILURES)), 4, shared.LOAD_MS, False, 4))
    assert {result.failure for result in results} == set(shared.FAILURES)
    assert not [result for result in results if result.violation] and all(
        result.bound_ratio <= 1 for result in results
    )
    worst = max(
        result.max_overshoot for result in shared_trials.play_all(range(1, 6), 4, shared.LOAD_MS, True, 4)
    )
    assert worst > 10 > max(result.max_overshoot for result in results)
    with pytest.raises(ValueError, match="no such failure"):
        shared.draw(1, 3, "rain")


def test_a_simulation_plan_is_the_same_after_saving_and_loading(tmp_path):
    for failure in shared.FAILURES:
        drawn = shared.draw(3, 8, failure)
        (tmp_path / "p.yaml").write_text(plan.dump(drawn))
        assert plan.load(tmp_path / "p.yaml") == drawn
    (tmp_path / "p.yaml").write_text("seed: 1\nfaults:\n- {kind: peers_cut, at_ms: 1, way: up}\n")
    with pytest.raises(FileError, match=r"p.yaml:3: \$.faults\[0\].way"):
        plan.load(tmp_path / "p.yaml")
