"""The thresholds and quotas by which the checkers judge a scale run."""

from __future__ import annotations

import math
import time
from dataclasses import replace

from ..checkers.quotas import Quotas
from ..net import features as feature_files
from ..simulation import shared, traffic
from ..simulation.plan import Fault, Plan
from ..testbed.testbed import SLACK_NS
from .topology import Topology


def thresholds():
    """The rules' thresholds, with the slack of a machine that runs everything at once."""
    figures = traffic.rule_limits()
    return replace(
        figures,
        answer_grace_ns=figures.answer_grace_ns + SLACK_NS,
        drain_grace_ns=figures.drain_grace_ns + SLACK_NS,
        max_notification_ns=figures.max_notification_ns + SLACK_NS,
        cold_slack_ns=2 * figures.cold_slack_ns,
    )


def quotas(fleet: Topology, features: dict[str, str]) -> Quotas:
    """The quota of every customer; with the bound stated for the widest set if gateways share state.

    `features`: paths of feature files by name; `shared` is the one that turns sharing on."""
    if "shared" not in features:
        return Quotas(traffic.quotas())
    widest = Plan(seed=1, gateways=fleet.tenant_sets()[0], faults=[Fault(kind="roll", at_ms=0)])
    stated, opening = shared.stated_bounds(widest, feature_files.read_leases(features["shared"])[0])
    return Quotas(stated, 0, opening, time.monotonic_ns())


def units_over_quota(measured: Quotas) -> dict[str, float]:
    """The most units beyond the quota, by plan, of the plans without a stated bound."""
    by_plan = measured.by_plan()
    return {plan: round(worst, 2) for plan, (worst, bound, _, _) in by_plan.items() if bound == math.inf}
