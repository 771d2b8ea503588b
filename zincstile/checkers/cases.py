"""What is known of one request and of a breach, and how it is told."""

from __future__ import annotations

from dataclasses import dataclass, field

NAMES = (
    "answer",
    "value",
    "repeat",
    "drain",
    "cold",
    "cold_calls",
    "ceiling",
    "foreign",
    "resources",
    "progress",
    "quota",
    "left",
    "deadline",
    "maintenance",
    "invariant",
    "ready",
)


@dataclass(slots=True)
class ClassRule:
    """What a class allows. `group`: which boxes drop a repeat of a key, `all`, `zone` or `cell`."""

    effect: str = "safe"  # or `keyed`, `unsafe`
    group: str = "cell"
    window_ns: int = 0


@dataclass(slots=True)
class PlanRule:
    """The ceiling of a plan, for each customer; rate 0: none."""

    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    slack: float = 0.0


@dataclass(slots=True)
class Figures:
    """The rules' figures, in nanoseconds and units; PROTOCOL's unless told otherwise."""

    classes: dict[str, ClassRule]
    plans: dict[str, PlanRule]
    answer_grace_ns: int = 58_000_000  # after the client's time; 8 ms, and 50 more on sockets
    drain_ns: int = 250_000_000
    left_ns: int = 100_000_000  # after its client's close, nothing of a request begins
    deadline_ns: int = 150_000_000  # by which the time told to a box may be over what the client has left
    told_at_most_ns: int = 6_000_000_000  # what discovery has to tell counts as told by then
    cold_multiple: float = 2.0
    cold_window_ns: int = 3_000_000_000
    cold_slack_ns: int = 0  # of work, for chance
    ceiling_late_ns: int = 150_000_000  # the ceiling's slack is wider by its rate in this time
    most_attempts: int = 6


@dataclass(slots=True)
class Try:
    """One attempt of a request, as it left a gateway."""

    gateway: str
    box: str
    first_ns: int
    whole_ns: int = -1
    turned_away: bool = False


@dataclass(slots=True)
class Case:
    """A request's whole history."""

    id: bytes
    cls: str
    plan: str
    customer: bytes
    units: float
    key: bytes
    gateway: str
    line: int
    asked_ns: int
    due_ns: int
    until_ns: int  # when its client has waited for long enough
    state: str = "open"  # then `served`, `denied`, `failed`, `void` or `late`
    left_ns: int = -1  # when its client closed the connection
    arrived: bool = False
    counted: bool = False  # against its quota
    crossed: bool = False  # its connection was ended before it was read, and it was not asked anew
    tries_before: int = 0  # attempts of the same request before it was asked anew
    tries: list[Try] = field(default_factory=list)
    history: list[tuple[int, int, str]] = field(default_factory=list)  # step, nanoseconds, what


@dataclass(slots=True)
class Breach:
    """A broken rule: which, at which step and time, by which request, and what led there."""

    rule: str
    step: int
    at_ns: int
    request: str
    text: str
    history: list[str] = field(default_factory=list)

    def line(self) -> str:
        return f"broken rule={self.rule} step={self.step} t={self.at_ns / 1e9:.6f} request={self.request}"
