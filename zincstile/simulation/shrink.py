"""Minimizes a failing plan by delta debugging: its faults, then its requests, then its network settings.

A candidate is accepted if it breaks the same rule as the original plan, with any request. The search is
greedy and limited to a number of runs: its result is known to fail, and removing any single part that the
search still had runs to try makes it pass. Reference: Zeller and Hildebrandt, "Simplifying and Isolating
Failure-Inducing Input" (2002), ddmin.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from ..checkers.rules import RULE_NAMES
from .plan import Plan
from .run import Result, Run

SIMPLEST_SETTINGS = {
    "quantum_us": 0,
    "split": 0.0,
    "read_bytes": 0,
    "window_bytes": 65536,
    "udp_loss": 0.0,
    "udp_twice": 0.0,
    "drops_left": True,
    "sockets": 256,
    "plus_beyond": False,
    "connect_ms": 250,
}


@dataclass(slots=True)
class ShrunkPlan:
    """The result of a search: the plan, the result of playing it, and the number of runs."""

    plan: Plan
    result: Result
    runs: int


class _RunsExhausted(Exception):  # noqa: N818 - not an error: it ends the search
    """The search has used all its runs."""


class _Search:
    """The smallest failing plan so far, and the number of runs."""

    def __init__(self, plan: Plan, rule: str, max_runs: int) -> None:
        self.best = plan
        self.rule = rule
        self.max_runs = max_runs
        self.runs = 1  # the first one, which broke the rule
        self.result: Result | None = None

    def breaks_rule(self, candidate: Plan) -> bool:
        """Returns True if the candidate breaks the same rule, and keeps it as the best so far.

        _RunsExhausted if no run is left.
        """
        if self.runs >= self.max_runs:
            raise _RunsExhausted
        self.runs += 1
        result = Run(candidate, rules=(self.rule,)).play()
        if result.breach is None:
            return False
        self.best, self.result = candidate, result
        return True

    def minimize(self, items: list[Any], make_plan: Callable[[Plan, list[Any]], Plan]) -> None:
        """Removes parts of a list, large ones first (ddmin); `make_plan` makes a plan of the others."""
        parts = 2
        while items:
            size = max(1, len(items) // parts)
            for at in range(0, len(items), size):
                remaining = items[:at] + items[at + size :]
                if self.breaks_rule(make_plan(self.best, remaining)):
                    items, parts = remaining, max(2, parts - 1)
                    break
            else:
                if size == 1:
                    return
                parts = min(len(items), parts * 2)


def shrink_plan(
    plan: Plan, max_runs: int, report: Callable[[str], None], rules: tuple[str, ...] = RULE_NAMES
) -> ShrunkPlan | None:
    """Returns a minimal plan that breaks the same rule, after at most `max_runs` runs.

    Calls `report` with a line for each step. Returns None if the plan breaks none of these rules.
    """
    first = Run(plan, rules=rules).play()
    if first.breach is None:
        return None
    search = _Search(plan, first.breach.rule, max_runs)
    search.result = first
    report(f"{first.line()}: {first.breach.text}")
    replace = msgspec.structs.replace
    try:
        search.minimize(list(plan.faults), lambda p, faults: replace(p, faults=faults))
        report(f"{len(search.best.faults)} faults are left after {search.runs} runs")
        for at in range(len(search.best.faults)):  # minimize the targets of each fault
            while len(search.best.faults[at].targets) > 1:
                fault = search.best.faults[at]
                for removed in fault.targets:
                    fewer = replace(fault, targets=[n for n in fault.targets if n != removed])
                    faults = [fewer if k == at else f for k, f in enumerate(search.best.faults)]
                    if search.breaks_rule(replace(search.best, faults=faults)):
                        break
                else:
                    break
        numbers = list(range(plan.requests)) if search.best.only is None else list(search.best.only)
        search.minimize(numbers, lambda p, only: replace(p, only=only))
        report(f"{len(search.best.only or numbers)} requests are left after {search.runs} runs")
        for name, simplest in SIMPLEST_SETTINGS.items():
            if getattr(search.best, name) != simplest:
                search.breaks_rule(replace(search.best, **{name: simplest}))
        search.minimize(list(search.best.faults), lambda p, faults: replace(p, faults=faults))
    except _RunsExhausted:
        report(f"all {max_runs} runs are used")
    return ShrunkPlan(search.best, search.result, search.runs)
