"""The result of a scale run, filled from the evidence that was gathered."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from ..checkers.history import Violation
from ..testbed.result import ViolationRow
from . import judge
from .emulators import Traffic
from .outcome import DayResult

MAX_VIOLATIONS: Final = 5  # that the result lists, with their histories


def fill(result: DayResult, evidence: judge.Evidence, began_s: float) -> None:
    """Writes the verdicts and what they stand on into `result`. `began_s`: the day's begin, unix seconds."""
    result.seconds = round(evidence.end_s - began_s, 1)
    result.machine_share = judge.machine_share(evidence.machine, began_s, evidence.end_s)
    seen = judge.gateways(evidence)
    result.verdicts = judge.verdicts(evidence, seen)
    result.delays = judge.delay_rows(evidence)
    result.gateways = [gateway.row() for gateway in seen]
    result.changes = len(evidence.changes)
    result.attempts = evidence.attempts
    result.cold_calls = evidence.cold.calls


def add_traffic(result: DayResult, watches: list[Traffic], datagrams: list[Traffic]) -> None:
    """Adds the control traffic of each gateway, in the order of the gateways' numbers."""
    for row, watched, relayed in zip(result.gateways, watches, datagrams, strict=True):
        row.watch_bytes = watched.bytes_in + watched.bytes_out
        row.peer_bytes = relayed.bytes_in + relayed.bytes_out
        row.datagrams = relayed.datagrams_in + relayed.datagrams_out


def violation_rows(violations: list[Violation], began_s: float) -> list[ViolationRow]:
    """The first violations, timed from `began_s`, in seconds of the monotonic clock."""
    return [
        ViolationRow(
            violation.rule,
            round(violation.at_ns / 1e9 - began_s, 3),
            violation.request,
            violation.text,
            violation.history,
        )
        for violation in violations[:MAX_VIOLATIONS]
    ]


def add_requests(result: DayResult, outcomes: Iterable[tuple[str, int]]) -> None:
    """Adds up the clients' requests by their outcome."""
    for outcome, count in outcomes:
        result.requests[outcome] = result.requests.get(outcome, 0) + count
