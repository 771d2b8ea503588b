"""A failing plan made small: fewest faults, then requests, then the plainest network, by delta debugging.

A candidate counts when it breaks the same rule as the plan did, by whatever request. The search is
greedy and bounded in runs: what it gives fails for sure, and leaving out any one part that was still
tried does not. Reference: Zeller and Hildebrandt, "Simplifying and Isolating Failure-Inducing Input"
(2002), ddmin.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from ..checkers.rules import RULE_NAMES
from .plan import Plan
from .run import Result, Run

PLAIN = {
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
    """What was found: the plan, what comes of it, and the runs that it took."""

    plan: Plan
    result: Result
    runs: int


class _RunsSpent(Exception):  # noqa: N818 - no error: the search ends here
    """All runs that the search was given are spent."""


class _Search:
    """The smallest plan so far, and how many runs it took."""

    def __init__(self, plan: Plan, rule: str, max_runs: int) -> None:
        self.best = plan
        self.rule = rule
        self.max_runs = max_runs
        self.runs = 1  # the one that showed the rule
        self.result: Result | None = None

    def holds(self, candidate: Plan) -> bool:
        """True if it breaks the same rule: then it is the best so far. _RunsSpent where no run is left."""
        if self.runs >= self.max_runs:
            raise _RunsSpent
        self.runs += 1
        result = Run(candidate, rules=(self.rule,)).play()
        if result.breach is None:
            return False
        self.best, self.result = candidate, result
        return True

    def fewest(self, items: list[Any], put: Callable[[Plan, list[Any]], Plan]) -> None:
        """Leaves out parts of a list, coarse ones first (ddmin); `put` makes a plan with what is left."""
        parts = 2
        while items:
            size = max(1, len(items) // parts)
            for at in range(0, len(items), size):
                rest = items[:at] + items[at + size :]
                if self.holds(put(self.best, rest)):
                    items, parts = rest, max(2, parts - 1)
                    break
            else:
                if size == 1:
                    return
                parts = min(len(items), parts * 2)


def shrink_plan(
    plan: Plan, max_runs: int, report: Callable[[str], None], rules: tuple[str, ...] = RULE_NAMES
) -> ShrunkPlan | None:
    """A smallest plan that breaks the same rule, by `max_runs` runs at most; `report` gets a line a step.

    None where the plan breaks none of these rules.
    """
    first = Run(plan, rules=rules).play()
    if first.breach is None:
        return None
    search = _Search(plan, first.breach.rule, max_runs)
    search.result = first
    report(f"{first.line()}: {first.breach.text}")
    replace = msgspec.structs.replace
    try:
        search.fewest(list(plan.faults), lambda p, faults: replace(p, faults=faults))
        report(f"{len(search.best.faults)} faults are left after {search.runs} runs")
        for at in range(len(search.best.faults)):  # and each of them concerns as few as can be
            while len(search.best.faults[at].targets) > 1:
                now = search.best.faults[at]
                for one in now.targets:
                    fewer = replace(now, targets=[n for n in now.targets if n != one])
                    faults = [fewer if k == at else f for k, f in enumerate(search.best.faults)]
                    if search.holds(replace(search.best, faults=faults)):
                        break
                else:
                    break
        numbers = list(range(plan.requests)) if search.best.only is None else list(search.best.only)
        search.fewest(numbers, lambda p, only: replace(p, only=only))
        report(f"{len(search.best.only or numbers)} requests are left after {search.runs} runs")
        for name, plain in PLAIN.items():
            if getattr(search.best, name) != plain:
                search.holds(replace(search.best, **{name: plain}))
        search.fewest(list(search.best.faults), lambda p, faults: replace(p, faults=faults))
    except _RunsSpent:
        report(f"the {max_runs} runs are spent")
    return ShrunkPlan(search.best, search.result, search.runs)
