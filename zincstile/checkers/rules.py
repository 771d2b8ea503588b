"""The rules by name, and their limits."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Final

MS_NS: Final = 1_000_000
SECOND_NS: Final = 1_000_000_000


class Rule(StrEnum):
    """The rules; the values are those of command lines, plans and stored results."""

    ANSWER = "answer"
    VALUE = "value"
    REPEAT = "repeat"
    DRAIN = "drain"
    COLD = "cold"
    COLD_CALLS = "cold_calls"
    CEILING = "ceiling"
    FOREIGN = "foreign"
    RESOURCES = "resources"
    PROGRESS = "progress"
    QUOTA = "quota"
    LEFT = "left"
    DEADLINE = "deadline"
    MAINTENANCE = "maintenance"
    INVARIANT = "invariant"
    READY = "ready"


RULE_NAMES: Final = tuple(rule.value for rule in Rule)


class Idempotency(Enum):
    """Whether an attempt that may have run may be sent again."""

    ALWAYS = "always"
    BY_KEY = "by key"  # within the window and the group that drop repeats of a key
    NEVER = "never"


class DeduplicationScope(Enum):
    """Which backends drop repeats of a key together."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class ClassRule:
    """What a request class allows. `window_ns`: how long repeats of a key are dropped."""

    idempotency: Idempotency = Idempotency.ALWAYS
    scope: DeduplicationScope = DeduplicationScope.CELL
    window_ns: int = 0


@dataclass(slots=True)
class PlanRule:
    """The ceiling of a plan for each customer, in units and units a second; rate 0: none."""

    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    slack: float = 0.0


@dataclass(slots=True)
class RuleLimits:
    """The limits of the rules; PROTOCOL's unless others are given."""

    classes: dict[str, ClassRule]
    plans: dict[str, PlanRule]
    answer_grace_ns: int = 58 * MS_NS  # after the client's time; 8 ms, and 50 more on sockets
    drain_grace_ns: int = 250 * MS_NS
    disconnect_grace_ns: int = 100 * MS_NS  # after its client's close, nothing of a request begins
    deadline_slack_ns: int = 150 * MS_NS  # by which a backend's time may exceed what the client has left
    max_notification_ns: int = 6 * SECOND_NS  # what discovery knows counts as notified by then
    cold_multiple: float = 2.0
    cold_window_ns: int = 3 * SECOND_NS
    cold_slack_ns: int = 0  # of work, for chance
    ceiling_delay_ns: int = 150 * MS_NS  # the ceiling's slack is wider by its rate in this time
    max_attempts: int = 6
