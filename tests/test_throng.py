"""Many gateways before cold backends, and many that start at once: terms of the standing test."""

from __future__ import annotations

from pathlib import Path

import pytest
from conftest import MS, PolicyHarness, backend

from zincstile.decisions.messages import EndpointListKind, EndpointState
from zincstile.emulators.list_service import ListServiceBehaviour
from zincstile.net.limits import SECOND, Limits
from zincstile.simulation import plan
from zincstile.simulation.plan import Plan
from zincstile.simulation.run import Run
from zincstile.testbed import start

PLANS = Path(__file__).parent / "plans" / "throng"
RESTARTED, READY_S = 30, 10.0


@pytest.mark.parametrize("gateways", [20, 30])
@pytest.mark.parametrize("seed", range(20, 40))
def test_all_gateways_together_send_a_cold_backend_no_more_than_chance_beyond_its_budget(gateways, seed):
    """Under a burst, with no warm one left for a while: N calls, and 2 x root of N + 2 for chance. The plans
    on virtual time; `field run` plays them with real processes."""
    drawn = plan.load(PLANS / f"throng-{gateways}.yaml")
    drawn.seed = seed
    run = Run(drawn)
    breach, run.checker.report_violation = (
        run.checker.report_violation,
        lambda rule, *more: rule == "cold" or breach(rule, *more),
    )
    found = run.play()  # the house's own rule is narrower than the term, and tested elsewhere
    assert found.breach is None, found.breach.text
    assert found.tally["served"] > 100
    assert 0.2 < run.checker.cold.calls.peak_ratio <= 1


def test_what_servers_did_that_drain_is_not_taken_for_what_those_left_can_do():
    """The rate at which work is done follows late, and goes on while servers drain: divided by those left, it
    let six times as much go to cold ones."""
    g = PolicyHarness(backends=6)
    for _ in range(50):
        g.policy.parts.limit.completed_units = 6.0  # 10 units a second of each
        g.tick(100 * MS)
    known = g.policy.parts.slow_start.peak_endpoint_rate
    g.update_endpoints(
        [backend(n, state=EndpointState.DRAINING) for n in range(2, 7)], EndpointListKind.DELTA
    )
    for _ in range(10):
        g.policy.parts.limit.completed_units = 6.0  # they finish what they have
        g.tick(100 * MS)
    assert 9 < known < 11 and g.policy.parts.slow_start.peak_endpoint_rate < 1.5 * known


def test_nine_in_ten_of_thirty_processes_restarted_at_once_are_ready_in_10_s(tmp_path):
    """Killed at one stroke and back with nothing known."""
    drawn = Plan(seed=5, gateways=RESTARTED, boxes=24, requests=0)
    _, again = start.play(drawn, tmp_path, ListServiceBehaviour(1000.0), ["all", "all"], 2 * READY_S)
    assert again.ready == RESTARTED and 0 <= again.most_s <= READY_S  # 99 in 100
    assert (
        again.calls_each <= 1 + again.most_s * SECOND / Limits().watch_answer_timeout_ns
    )  # one is out at a time
