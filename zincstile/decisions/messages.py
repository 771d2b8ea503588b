"""Settings, events and actions of the decision module. Nothing is decided here.

Times are integer nanoseconds of one monotonic clock; backends, customers and requests are plain integers.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any


class Effect(Enum):
    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which backends drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    STALE = "stale"  # the connection, kept from an earlier attempt, ended beneath it: it may have run
    SPOILT = "spoilt"  # it ran, and its answer can't be read


class Mode(Enum):
    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(Enum):
    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


@dataclass(slots=True)
class ClassSpec:
    name: str
    aim_ns: int
    deadline_ns: int
    effect: Effect
    worth: float
    late_worth: float = 0.0
    group: Group = Group.ALL
    window_ns: int = 0
    stream: bool = False


@dataclass(slots=True)
class PlanSpec:
    name: str
    price: float = 1.0
    rate: float = 0.0
    burst: float = 0.0
    open_limit: int = 0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0


@dataclass(slots=True)
class Settings:
    """What one gateway is told at its start. ValueError names a field that can't work."""

    me: int
    gateways: int
    classes: list[ClassSpec]
    plans: list[PlanSpec]
    zone: int = 0
    ask_for_list: bool = False
    peers: bool = False
    probes: bool = False
    cancel: bool = False
    second_copies: bool = False
    retry_after: bool = False
    max_attempts: int = 1
    max_retry_after_ns: int = 0
    peer_in_per_s: float = 0.0
    largest_units: float = 1.0
    settled_after: bool = False
    drain_grace_ns: int = 0
    cold_share: float = 1.0
    cold_ns: int = 0
    cold_multiple: float = 1.0
    cold_window_ns: int = 0
    cross_zone_price: float = 0.0
    report_fields: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: none given")
        if not self.plans:
            raise ValueError("plans: none given")
        if self.gateways < 1:
            raise ValueError("gateways: must be at least 1")
        if not 0 <= self.me < self.gateways:
            raise ValueError("me: outside the gateway count")
        for c in self.classes:
            if not 0 < c.aim_ns < float("inf") or not 0 < c.deadline_ns < float("inf"):
                raise ValueError(f"classes[{c.name}]: aim_ns and deadline_ns must be above 0")
            for key in ("worth", "late_worth", "window_ns"):
                if not 0 <= getattr(c, key) < float("inf"):
                    raise ValueError(f"classes[{c.name}].{key}: must be finite and not negative")
        for p in self.plans:
            for key in (
                "price",
                "rate",
                "burst",
                "open_limit",
                "over_worth",
                "over_cost",
                "ceiling_rate",
                "ceiling_burst",
                "ceiling_slack",
            ):
                if not 0 <= getattr(p, key) < float("inf"):
                    raise ValueError(f"plans[{p.name}].{key}: must be finite and not negative")
        for key in ("max_attempts", "largest_units"):
            if not 1 <= getattr(self, key) < float("inf"):
                raise ValueError(f"{key}: must be finite and at least 1")
        for key in (
            "max_retry_after_ns",
            "peer_in_per_s",
            "drain_grace_ns",
            "cold_ns",
            "cold_multiple",
            "cold_window_ns",
            "cross_zone_price",
        ):
            if not 0 <= getattr(self, key) < float("inf"):
                raise ValueError(f"{key}: must be finite and not negative")
        if not 0 < self.cold_share <= 1:
            raise ValueError("cold_share: must be above 0 and at most 1")

    def pair(self, cls: int, plan: int) -> int:
        """The number of a class and plan together, after those of the classes."""
        return len(self.classes) + cls * len(self.plans) + plan

    @property
    def longest_ns(self) -> int:
        return max(c.deadline_ns for c in self.classes)


# ---- events


@dataclass(slots=True)
class Started:
    """The instance starts; first event of all."""


@dataclass(slots=True)
class Inherited:
    """What an older process of this gateway left (`inherit.leave`), checked; before Started, or never."""

    table: dict[str, Any]


@dataclass(slots=True)
class Backend:
    id: int
    zone: int
    kind: int
    cell: int
    mode: Mode
    weight: float
    started_ns: int


@dataclass(slots=True)
class BackendList:
    kind: ListKind
    version: int
    entries: list[Backend]


@dataclass(slots=True)
class Request:
    id: int
    cls: int
    plan: int
    customer: int
    give_up_ns: int
    units: float
    spread: int
    first: int
    is_retry: bool = False


@dataclass(slots=True)
class Outcome:
    request: int
    attempt: int
    backend: int
    result: Result
    latency_ns: int
    finished: bool
    used: int = 0
    true_units: float = 0.0
    report: list[float] = field(default_factory=list)


@dataclass(slots=True)
class StreamStarted:
    request: int
    attempt: int
    backend: int
    latency_ns: int


@dataclass(slots=True)
class Probed:
    backend: int
    result: Result
    latency_ns: int
    report: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Share:
    """What a gateway tells of a customer: own units since its start, the quota's level, attempts out.

    With want above 0 it asks a relay for so many units, under a mark that the answer bears too; in the answer
    want is below 0 where they are not granted.
    """

    customer: int
    plan: int
    total: float
    level: float
    open: int
    want: float = 0.0
    mark: int = 0
    answer: bool = False


@dataclass(slots=True)
class Doubt:
    """How bad an attempt of a group of requests went at a backend (a hash of its id), 0 to 1."""

    backend: int
    group: int
    value: float


@dataclass(slots=True)
class PeerMessage:
    sender: int
    start: int
    shares: list[Share]
    figures: list[float] = field(default_factory=list)
    doubts: list[Doubt] = field(default_factory=list)


@dataclass(slots=True)
class Counted:
    name: int
    result: Result
    total: float
    latency_ns: int


@dataclass(slots=True)
class Gone:
    """The client left, or the request is over for another reason: nothing is owed any more."""

    request: int


@dataclass(slots=True)
class Timer:
    token: int


Event = (
    Started
    | Inherited
    | BackendList
    | Request
    | Outcome
    | StreamStarted
    | Probed
    | PeerMessage
    | Counted
    | Gone
    | Timer
)

# ---- actions


@dataclass(slots=True)
class Send:
    request: int
    backend: int
    until_ns: int
    fresh: bool = False  # on a connection that carried nothing before
    by_ns: int = 0  # above 0: written whole by then, or never; a repeat later would run twice


class RefusedFor(Enum):
    """Why the module refuses a request."""

    __hash__ = object.__hash__  # looked up at each refusal: an enum's own costs a call

    QUOTA = "beyond the quota, and not worth what it costs"
    CEILING = "beyond the ceiling"
    BUDGET = "the draw for the budget was lost"
    NO_SERVER = "no backend can take it"
    NO_RETRY = "its attempts never ran, and no further one is allowed"


@dataclass(slots=True)
class Refuse:
    request: int
    retry_in_ns: int
    why: RefusedFor = RefusedFor.NO_SERVER


@dataclass(slots=True)
class Fail:
    request: int


@dataclass(slots=True)
class Cancel:
    request: int
    attempt: int


@dataclass(slots=True)
class Probe:
    backend: int


@dataclass(slots=True)
class Close:
    """Close what connections to the backend are idle: the next attempt opens a new one."""

    backend: int


@dataclass(slots=True)
class SetTimer:
    at_ns: int
    token: int


@dataclass(slots=True)
class Tell:
    """For one peer; the host may part it into several messages."""

    peer: int
    start: int
    shares: list[Share]
    figures: list[float] = field(default_factory=list)
    doubts: list[Doubt] = field(default_factory=list)


@dataclass(slots=True)
class Watch:
    """Ask discovery for changes from now on."""


@dataclass(slots=True)
class Log:
    text: str


Action = Send | Refuse | Fail | Cancel | Probe | Close | SetTimer | Tell | Watch | Log
