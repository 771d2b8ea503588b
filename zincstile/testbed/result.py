"""What came of a run with real processes, as values that go to JSON and back."""

from __future__ import annotations

from pathlib import Path
from typing import Final

import msgspec
from hdrh.histogram import HdrHistogram

from ..serialization import typed_json

HIGHEST_US: Final = 60_000_000  # the longest latency that the histogram of latencies tells apart
DIGITS: Final = 3  # its precision


class PlanRow(msgspec.Struct):
    """One plan's quota over all gateways. Units, for the worst customer and over all of them."""

    plan: str
    worst: float  # beyond a quota, at most
    bound: float  # the stated one; 0: none is stated
    sent: float
    best: float  # what one store that sees every try would let in


class GatewayRow(msgspec.Struct):
    """One gateway, over all of its processes."""

    name: str
    zone: str
    starts: int
    datagrams: int  # that it sent
    datagram_bytes: int
    counters: dict[str, float]
    memory_kb: int


class ViolationRow(msgspec.Struct):
    """One broken rule."""

    rule: str
    at_s: float
    request: str
    text: str
    history: list[str] = []


class RunResult(msgspec.Struct):
    """One run. `ok`: every rule held, every process lived or ended as it was told to, all was answered."""

    plan: str
    seed: int
    gateways: int
    boxes: int
    faults: list[str]
    seconds: float  # from the first request to the last answer
    ok: bool
    requests: int
    attempts: int
    tally: dict[str, int]
    plans: list[PlanRow]
    nearest: dict[str, float]  # to the rules that have a measure: 1 is at it
    rows: list[GatewayRow]
    breaches: list[ViolationRow]
    latency_ms: dict[str, float]
    links: dict[str, int]
    series: list[dict[str, float | str]]
    events: list[tuple[float, str]]
    ready_s: dict[str, float] = {}  # from the start of the first process until PING said yes
    version: str = ""

    @property
    def goodput(self) -> float:
        """Units sent, in what one all-seeing store would have let in."""
        best = sum(p.best for p in self.plans)
        return sum(p.sent for p in self.plans) / best if best else 1.0

    def line(self) -> str:
        """The result in one line."""
        near = max((p.worst / p.bound for p in self.plans if p.bound), default=0.0)
        said = (
            f"ok={'yes' if self.ok else 'no'} requests={self.requests} goodput={self.goodput:.3f} "
            f"nearest_bound={near:.2f}"
        )
        if self.breaches:
            said += f" broken={self.breaches[0].rule}"
        return f"field seed={self.seed} {said}"


def latency_percentiles(seconds: list[float]) -> dict[str, float]:
    """Milliseconds at some percentiles, by a histogram of three digits."""
    if not seconds:
        return {}
    found = HdrHistogram(1, HIGHEST_US, DIGITS)
    for one in seconds:
        found.record_value(max(1, min(HIGHEST_US, int(one * 1e6))))
    return {
        name: found.get_value_at_percentile(at) / 1000
        for name, at in (("p50", 50.0), ("p90", 90.0), ("p99", 99.0), ("most", 100.0))
    }


def write(result: RunResult, path: str | Path) -> None:
    """The result as JSON. FileError where the file can't be written."""
    typed_json.write(result, path)


def read(path: str | Path) -> RunResult:
    """A result of `write`. FileError names file, place and reason."""
    return typed_json.read(path, RunResult, "a field run")
