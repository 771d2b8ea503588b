"""The names of the rules and their limits."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Final

MS_NS: Final = 1_000_000
SECOND_NS: Final = 1_000_000_000


class Rule(StrEnum):
    """The rules; command lines, plans and stored results use the values."""

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
    """Whether a request may be sent again after an attempt that may have run."""

    ALWAYS = "always"
    BY_KEY = "by key"  # within the deduplication window and scope of its key
    NEVER = "never"


class DeduplicationScope(Enum):
    """The set of backends that together drop repeats of a key."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(slots=True)
class ClassRule:
    """The repeats that a request class allows. `window_ns`: how long backends drop repeats of a key."""

    idempotency: Idempotency = Idempotency.ALWAYS
    scope: DeduplicationScope = DeduplicationScope.CELL
    window_ns: int = 0


@dataclass(slots=True)
class PlanRule:
    """A plan's ceiling per customer, in units and units per second; no ceiling if the rate is 0."""

    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    slack: float = 0.0


@dataclass(slots=True)
class RuleLimits:
    """The limits of the rules; the defaults are those of PROTOCOL."""

    classes: dict[str, ClassRule]
    plans: dict[str, PlanRule]
    answer_grace_ns: int = 58 * MS_NS  # after the client's timeout: 8 ms, plus 50 ms on sockets
    drain_grace_ns: int = 250 * MS_NS
    disconnect_grace_ns: int = 100 * MS_NS  # after the client's close, in which attempts may still begin
    # By how much a backend's timeout may exceed the client's remaining time.
    deadline_slack_ns: int = 150 * MS_NS
    # A gateway counts as notified of a status this long after discovery learned of it.
    max_notification_ns: int = 6 * SECOND_NS
    cold_multiple: float = 2.0
    cold_window_ns: int = 3 * SECOND_NS
    cold_slack_ns: int = 0  # of work; allowance for random variation
    ceiling_delay_ns: int = 150 * MS_NS  # adds the units that the rate grants in this time to the slack
    max_attempts: int = 6
