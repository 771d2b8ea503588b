"""A simulated fleet in virtual time: the rules, and message counts of all gateways together."""

import pytest

from zincstile.simulation import fleet
from zincstile.simulation.run import Run


@pytest.mark.parametrize(("gateways", "seed"), [(4, 1), (10, 2), (40, 3)])
def test_a_fleet_keeps_all_rules_and_its_message_counts_stay_bounded_in_a_mass_failure(gateways, seed):
    run = Run(fleet.draw(seed, gateways))
    result = run.play()
    assert result.breach is None, f"{result.line()}: {result.breach.text}"
    counts = fleet.counter_totals(run)
    assert counts["faults"] == counts["messages_bad"] == 0 and counts["replaced"] == gateways * 3 // 2 // 2
    assert result.tally["served"] > 0 and counts["attempts"] > 0
    assert counts["watches"] <= 2 * gateways  # no gateway opens watches over and over
    assert counts["messages_in"] <= 12 * result.requests  # does not grow as gateways times requests
    assert counts["busiest"] <= 60 * result.seconds  # messages to the gateway that receives the most


def test_the_plan_kills_seven_of_ten_gateways_and_is_reproducible_at_every_size():
    for gateways in (3, 20, 60):
        plan = fleet.draw(5, gateways)
        killed = {g for f in plan.faults if f.kind == "crash" for g in f.targets}
        assert len(killed) == gateways * 7 // 10 and plan == fleet.draw(5, gateways)
