"""The result of a run with real processes, as values that are stored as JSON."""

from __future__ import annotations

from pathlib import Path
from typing import Final

import msgspec
from hdrh.histogram import HdrHistogram

from ..serialization import typed_json

HIGHEST_US: Final = 60_000_000  # longer latencies are recorded as this value
DIGITS: Final = 3  # significant digits of the latency histogram


class PlanRow(msgspec.Struct):
    """One plan's quota over all gateways, in units: of the worst customer, and summed over all customers."""

    plan: str
    worst: float  # maximum beyond a quota
    bound: float  # stated for `worst`; 0: none
    sent: float
    best: float  # units that a single central store would admit


class GatewayRow(msgspec.Struct):
    """One gateway, summed over its processes."""

    name: str
    zone: str
    starts: int
    datagrams: int  # sent by it
    datagram_bytes: int
    counters: dict[str, float]
    memory_kb: int


class ViolationRow(msgspec.Struct):
    """One violation of a rule."""

    rule: str
    at_s: float
    request: str
    text: str
    history: list[str] = []


class RunResult(msgspec.Struct):
    """One run. `ok`: every rule held, every process ran or ended as asked, every request was answered."""

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
    nearest: dict[str, float]  # peak use of a rule's limit; 1: at the limit
    rows: list[GatewayRow]
    breaches: list[ViolationRow]
    latency_ms: dict[str, float]
    links: dict[str, int]
    series: list[dict[str, float | str]]
    events: list[tuple[float, str]]
    ready_s: dict[str, float] = {}  # from the start of the first process until PING succeeded
    version: str = ""

    @property
    def goodput(self) -> float:
        """Units sent, relative to those that a single central store would have admitted."""
        best = sum(p.best for p in self.plans)
        return sum(p.sent for p in self.plans) / best if best else 1.0

    def line(self) -> str:
        """Returns the result in one line."""
        max_bound_use = max((p.worst / p.bound for p in self.plans if p.bound), default=0.0)
        text = (
            f"ok={'yes' if self.ok else 'no'} requests={self.requests} goodput={self.goodput:.3f} "
            f"nearest_bound={max_bound_use:.2f}"
        )
        if self.breaches:
            text += f" broken={self.breaches[0].rule}"
        return f"field seed={self.seed} {text}"


def latency_percentiles(seconds: list[float]) -> dict[str, float]:
    """Returns latency percentiles in milliseconds, from a histogram with three significant digits."""
    if not seconds:
        return {}
    histogram = HdrHistogram(1, HIGHEST_US, DIGITS)
    for latency_s in seconds:
        histogram.record_value(max(1, min(HIGHEST_US, int(latency_s * 1e6))))
    return {
        name: histogram.get_value_at_percentile(at) / 1000
        for name, at in (("p50", 50.0), ("p90", 90.0), ("p99", 99.0), ("most", 100.0))
    }


def write(result: RunResult, path: str | Path) -> None:
    """Writes the result as JSON. Raises FileError if that fails."""
    typed_json.write(result, path)


def read(path: str | Path) -> RunResult:
    """Reads a result of `write`. FileError names file, position and reason."""
    return typed_json.read(path, RunResult, "a field run")
