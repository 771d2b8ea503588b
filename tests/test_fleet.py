"""A fleet on virtual time: the rules, and what its gateways do together."""

import pytest

from zincstile.simulation import fleet
from zincstile.simulation.run import Run


@pytest.mark.parametrize(("gateways", "seed"), [(4, 1), (10, 2), (40, 3)])
def test_a_fleet_keeps_the_rules_through_a_mass_kill_and_its_counts_stay_in_bounds(gateways, seed):
    run = Run(fleet.draw(seed, gateways))
    result = run.play()
    assert result.breach is None, f"{result.line()}: {result.breach.text}"
    found = fleet.counts(run)
    assert found["faults"] == found["messages_bad"] == 0 and found["replaced"] == gateways * 3 // 2 // 2
    assert result.tally["served"] > 0 and found["attempts"] > 0
    assert found["watches"] <= 2 * gateways  # nobody asks again and again
    assert found["messages_in"] <= 12 * result.requests  # not gateways times requests
    assert found["busiest"] <= 60 * result.seconds  # what one of them takes in


def test_the_plan_of_a_fleet_holds_what_it_says_at_every_size():
    for gateways in (3, 20, 60):
        plan = fleet.draw(5, gateways)
        killed = {g for f in plan.faults if f.kind == "crash" for g in f.who}
        assert len(killed) == gateways * 7 // 10 and plan == fleet.draw(5, gateways)
