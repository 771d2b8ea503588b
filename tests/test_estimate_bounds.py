"""Estimates can't run away, can't spread to other gateways, and can't reject everything for ever."""

from __future__ import annotations

import math

import pytest
from conftest import MS, SECOND, PolicyHarness, actions_of_type
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from zincstile.decisions import state_transfer
from zincstile.decisions.messages import (
    AttemptResult,
    CustomerUsage,
    ForwardRequest,
    GossipReceived,
    RejectRequest,
)
from zincstile.decisions.settings import CustomerPlan

UNBOUNDED_QUOTA = {"plans": [CustomerPlan("only", rate=1e6, burst=1e6)]}
WORK_NS = 150 * MS
TICK_NS = 100 * MS
OBJECTIVE_NS = SECOND  # the latency objective of each class of `PolicyHarness`
DEADLINE_NS = 4 * SECOND
CLASSES = 3
PEER = 1


def harness_of(gateways: int = 1, backends: int = 12, **overrides) -> PolicyHarness:
    return PolicyHarness(UNBOUNDED_QUOTA | {"gateway_count": gateways} | overrides, backends)


def is_forwarded(actions: list) -> bool:
    return bool(actions_of_type(actions, ForwardRequest))


class Traffic:
    """Requests to a gateway at a rate, one by one, each answered after `work_ns`, with a tick each 0.1 s."""

    def __init__(self, harness: PolicyHarness, work_ns: int = WORK_NS) -> None:
        """Starts without requests."""
        self.harness, self.work_ns = harness, work_ns
        self.next_tick_ns = harness.now + TICK_NS
        self.in_flight: list[tuple[int, int, int]] = []  # time of the answer, request and endpoint

    def serve(self, per_s: float, seconds: float) -> int:
        """Returns how many requests were admitted."""
        admitted = 0
        for _ in range(round(per_s * seconds)):
            self._advance(self.harness.now + round(SECOND / per_s))
            request_id, actions = self.harness.submit()
            for action in actions_of_type(actions, ForwardRequest):
                self.in_flight.append((self.harness.now + self.work_ns, request_id, action.endpoint))
                admitted += 1
        return admitted

    def _advance(self, until_ns: int) -> None:
        while True:
            answer_ns = self.in_flight[0][0] if self.in_flight else until_ns + 1
            at_ns = min(answer_ns, self.next_tick_ns)
            if at_ns > until_ns:
                break
            self.harness.now = at_ns
            if at_ns == answer_ns:
                _, request_id, endpoint = self.in_flight.pop(0)
                self.harness.finish_attempt(
                    request_id, 0, endpoint, AttemptResult.OK, after=0, latency=self.work_ns
                )
            else:
                self.harness.tick(after=0)
                self.next_tick_ns += TICK_NS
        self.harness.now = until_ns


# ---- learning


@hypothesis_settings(max_examples=25)
@given(st.data())
def test_the_latency_estimate_stays_within_what_was_measured(data):
    """Guards against an estimate that runs away as many answers share one expectation (review case 6)."""
    harness = harness_of()
    latency = harness.policy.parts.latency
    bounds = [[unit_ns, unit_ns] for unit_ns in latency.unit_ns]
    rng = data.draw(st.randoms(use_true_random=False))
    classes = data.draw(st.sets(st.integers(0, CLASSES - 1), min_size=1).map(sorted))
    ratio = data.draw(st.floats(0.01, 100))  # of the latencies to the first expectation
    for in_flight in data.draw(st.lists(st.sampled_from([1, 3, 30, 300, 5000]), min_size=1, max_size=2)):
        sent = []
        for _ in range(in_flight):
            class_index, units = rng.choice(classes), rng.choice([0.25, 1.0, 4.0])
            request_id, actions = harness.submit(class_index, units=units)
            for action in actions_of_type(actions, ForwardRequest):
                sent.append((request_id, class_index, units, action.endpoint))
        rng.shuffle(sent)
        for request_id, class_index, units, endpoint in sent:
            unit_ns = bounds[class_index][0] * ratio * rng.uniform(0.5, 2)
            latency_ns = max(1, round(unit_ns * max(units, 0.5)))
            bounds[class_index].append(max(1.0, latency_ns / max(units, 0.5)))
            harness.finish_attempt(request_id, 0, endpoint, AttemptResult.OK, after=0, latency=latency_ns)
    for unit_ns, measured in zip(latency.unit_ns, bounds, strict=True):
        assert min(measured) * 0.999 <= unit_ns <= max(measured) * 1.001


@pytest.mark.parametrize("work_ns", [50 * MS, 150 * MS, 250 * MS])
def test_after_a_burst_at_the_start_single_requests_are_served(work_ns):
    """Guards against a budget of nothing after one burst, with idle endpoints (review case 6)."""
    harness = harness_of()
    sent = [harness.submit() for _ in range(288)]
    harness.tick(after=work_ns)
    for request_id, actions in sent:
        for action in actions_of_type(actions, ForwardRequest):
            harness.finish_attempt(request_id, 0, action.endpoint, AttemptResult.OK, after=0, latency=work_ns)
    traffic = Traffic(harness, work_ns)
    traffic.serve(10, 3.0)
    assert traffic.serve(10, 10.0) == 100


# ---- the probe


def rejecting_harness(gateways: int = 1, backends: int = 12) -> PolicyHarness:
    """A gateway whose estimates let its budget admit nothing, as if they had run away."""
    harness = harness_of(gateways, backends)
    parts = harness.policy.parts
    parts.latency.unit_ns = [1e15] * CLASSES
    parts.latency.samples = [1000] * CLASSES
    parts.limit.limit = parts.limit.high_water_mark = 1e-9
    parts.limit.overload_signal = 1.5
    return harness


@pytest.mark.parametrize(("gateways", "backends"), [(1, 1), (1, 12), (8, 12), (200, 200), (40, 8)])
def test_a_gateway_that_rejects_everything_returns_to_full_service(gateways, backends):
    """Whatever made its estimates wrong; the bound is the one of docs/design.md."""
    harness = rejecting_harness(gateways, backends)
    rate = min(10.0, 2.0 * backends / gateways)  # a fifth of what its share of the endpoints can serve
    per_endpoint = max(1.0, gateways / backends)
    probe_s = DEADLINE_NS / SECOND * per_endpoint
    answer_s = OBJECTIVE_NS / SECOND
    limit_rise_s = 0.1 * math.log(10) / math.log(1.04)
    signal_s = 3.0
    traffic = Traffic(harness)
    traffic.serve(rate, probe_s + answer_s + limit_rise_s + signal_s)
    assert traffic.serve(rate, 100 / rate) >= 95


def test_probes_of_an_overloaded_endpoint_become_rarer():
    """At most one probe is in flight, and each that is not served in time doubles the wait for the next."""
    harness = rejecting_harness(gateways=8, backends=4)
    for groups in harness.policy.parts.budget.inside_quota:
        for group in groups:
            group.admission_rate = 0.0
    sent_ns = []
    in_flight = None
    for _ in range(4000):
        harness.now += 20 * MS
        if in_flight is not None and harness.now - sent_ns[-1] >= 2 * OBJECTIVE_NS:
            harness.finish_attempt(
                in_flight[0], 0, in_flight[1], AttemptResult.OK, after=0, latency=2 * OBJECTIVE_NS
            )
            in_flight = None
        request_id, actions = harness.submit()
        for action in actions_of_type(actions, ForwardRequest):
            assert in_flight is None
            in_flight = (request_id, action.endpoint)
            sent_ns.append(harness.now)
    waits = [later - earlier for earlier, later in zip(sent_ns, sent_ns[1:], strict=False)]
    assert waits[0] >= 2 * 2 * OBJECTIVE_NS  # two gateways for each endpoint, one failure
    assert min(waits[2:]) >= 2 * DEADLINE_NS  # so that the fleet has at most one out at each endpoint


def test_no_probe_is_sent_while_an_attempt_is_in_flight_unless_its_outcome_is_lost():
    harness = rejecting_harness()
    for groups in harness.policy.parts.budget.inside_quota:
        for group in groups:
            group.admission_rate = 0.0
    assert is_forwarded(harness.submit()[1])
    assert actions_of_type(harness.submit(after=DEADLINE_NS)[1], RejectRequest)
    assert is_forwarded(harness.submit(after=1)[1])


# ---- what peers and earlier processes carry


def estimates_of(harness: PolicyHarness) -> list[float]:
    return harness.policy.parts.estimates.own_values()


@hypothesis_settings(max_examples=40)
@given(
    values=st.lists(st.sampled_from([0.0, 1e-6, 1.0, 60000.0, 1e300]), min_size=18, max_size=18),
    exchanges=st.integers(1, 50),
)
def test_a_peer_whose_estimates_have_run_away_does_not_stop_this_gateway(values, exchanges):
    """Guards against one gateway that takes the others with it by its answers (review case 6)."""
    harness = harness_of(gateways=8)
    traffic = Traffic(harness)
    assert traffic.serve(20, 3.0) == 60
    parts = harness.policy.parts
    before = list(parts.latency.unit_ns)
    for _ in range(exchanges):
        harness.feed(GossipReceived(PEER, 5, [], list(values), []))
    for unit_ns, earlier_ns in zip(parts.latency.unit_ns[:1], before[:1], strict=True):
        assert earlier_ns / 4 <= unit_ns <= earlier_ns * 4
    traffic.serve(10, 9.0)  # the wait and the rise of docs/design.md
    assert traffic.serve(10, 5.0) >= 45


def test_a_report_with_an_impossible_level_or_total_does_not_stop_a_customer():
    """Guards against a customer that is rejected for minutes as a peer has reported nonsense once."""
    plan = CustomerPlan("only", rate=100.0, burst=200.0)
    harness = PolicyHarness({"gateway_count": 2, "plans": [plan]}, 12)
    assert is_forwarded(harness.submit(spread=2)[1])
    for total in (0.0, 1e8):
        usage = CustomerUsage(7, 0, total, -2048.0, 0, 0.0, 0)
        harness.feed(GossipReceived(PEER, 5, [usage], [], []), after=100 * MS)
    harness.tick(after=20 * SECOND)
    harness.feed(GossipReceived(PEER, 5, [], [], []))
    assert Traffic(harness).serve(10, 3.0) >= 27


def test_an_earlier_process_whose_estimates_have_run_away_hands_over_none_of_them():
    """Guards against a new version that rejects everything as the old one did."""
    old = rejecting_harness()
    new = harness_of()
    old_parts, parts = old.policy.parts, new.policy.parts
    table = state_transfer.snapshot(old_parts, old.now, 100)
    for group in table["leaves"]:
        group[3] = 0.0
    state_transfer.restore(parts, new.now, table)
    assert max(parts.latency.unit_ns) <= DEADLINE_NS
    traffic = Traffic(new)
    traffic.serve(10, 12.0)
    assert traffic.serve(10, 5.0) == 50


def test_inherited_rates_without_a_limit_admit_everything():
    """Without a limit no tick computes the rates anew, so that a rate of 0 would stay for ever."""
    old, new = harness_of(), harness_of()
    table = state_transfer.snapshot(old.policy.parts, old.now, 100)
    for group in table["leaves"]:
        group[3] = 0.0
    state_transfer.restore(new.policy.parts, new.now, table)
    assert new.policy.parts.limit.limit == math.inf
    assert Traffic(new).serve(10, 1.0) == 10
