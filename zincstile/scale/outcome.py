"""What came of a scale run, as typed records that go to JSON and back."""

from __future__ import annotations

import enum
from pathlib import Path

import msgspec

from ..serialization import typed_json
from ..testbed.result import ViolationRow
from .records import Kind, Machine


class Check(enum.Enum):
    """What a run is judged by."""

    IN_FORCE = "in_force"  # every change at each gateway that could be reached, within the time
    CONTROL_CPU = "control_cpu"  # over any window
    CONTROL_MEMORY = "control_memory"
    CONTROL_BYTES = "control_bytes"  # over any window
    COLD = "cold"  # calls of all gateways together to each cold backend
    QUOTA = "quota"  # units sent on beyond a stated bound
    RULES = "rules"  # the checkers of `zincstile/checkers`, at the real gateways
    PROCESSES = "processes"  # none ended by itself, none reported a fault or a bad message


class Verdict(msgspec.Struct):
    """One judgement. `kept` is None where nothing was seen that it could rest on."""

    check: Check
    given_by: list[Kind]  # the gateways that it rests on
    kept: bool | None
    figure: float  # the worst, in the unit that the text names
    limit: float
    text: str
    worst: list[str] = []  # gateways, backends or rules that broke it, or came nearest; the worst first


class DelayRow(msgspec.Struct):
    """Delays of one event's changes, or of all other ones, at the gateways of one kind. Seconds; upper
    bounds, as a gateway is asked once in the plan's sample_s."""

    event: str = msgspec.field(name="moment")  # "churn" for changes outside of the events
    kind: Kind
    changes: int
    p50_s: float
    p99_s: float
    last_s: float
    late: int
    never: int
    machine_share: float  # of all cores, meanwhile and until its changes were due


class GatewayRow(msgspec.Struct):
    """One gateway."""

    name: str
    kind: Kind
    zone: str
    loaded: bool  # with requests of clients
    starts: int
    changes: int  # that were judged
    worst_s: float | None  # the longest delay that was seen
    late: int
    never: int
    undecided: int
    cpu_share: float  # the most over any window; of a loaded one its requests' cost is in it
    bytes_per_s: float
    memory_bytes: float
    window_s: float  # the longest that was looked at
    watch_bytes: int = 0  # of discovery, in and out, since its first start
    peer_bytes: int = 0  # of datagrams between gateways, in and out
    datagrams: int = 0


class DayResult(msgspec.Struct):
    """One run of `scale run`."""

    commit: str
    machine: Machine
    started_unix_s: float
    topology: str
    factor: str
    sizes: dict[str, float]
    plan: str
    events: list[str] = msgspec.field(name="moments")
    estimated_bytes: float
    estimated_rest_cores: float  # that all gateways take at rest
    features: dict[str, str]
    processes: int
    seconds: float = 0.0  # of the day, as far as it was played
    complete: bool = False  # False: stopped half way
    measured_bytes: float = 0.0  # the most that all processes held at once
    machine_share: float = 0.0  # of its cores in use over the day, by whatever ran on it
    driver_lag_s: float = 0.0  # the longest that the driving process itself stood still
    changes: int = 0
    requests: dict[str, int] = {}  # by what became of them; of the loaded real gateways
    attempts: int = 0
    cold_calls: int = 0
    verdicts: list[Verdict] = []
    delays: list[DelayRow] = []
    gateways: list[GatewayRow] = []
    breaches: list[ViolationRow] = []  # the first rules that broke, with what led there
    notes: list[str] = []

    @property
    def ok(self) -> bool:
        """Nothing broke."""
        return all(verdict.kept is not False for verdict in self.verdicts)


def write(result: DayResult, path: str | Path) -> None:
    """The result as JSON. FileError where the file can't be written."""
    typed_json.write(result, path)


def read(path: str | Path) -> DayResult:
    """A result of `write`. FileError names file, place and reason."""
    return typed_json.read(path, DayResult, "scale run")
