"""A limit on messages a second."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from .settings import SECOND

BURST_S: Final = 0.25  # size of a burst, in seconds of the rate


@dataclass(slots=True)
class MessageRateLimit:
    """A token bucket of messages, which is full at first."""

    per_s: float
    tokens: float = field(init=False)
    refilled_ns: int = 0

    def __post_init__(self) -> None:
        """Fills the bucket."""
        self.tokens = self.per_s * BURST_S

    def available(self, now: int) -> float:
        """Returns how many messages may be sent now."""
        refilled = self.tokens + self.per_s * (now - self.refilled_ns) / SECOND
        self.tokens = min(self.per_s * BURST_S, refilled)
        self.refilled_ns = now
        return self.tokens

    def spend(self, messages: float) -> None:
        """Takes the tokens of messages that `available` permitted."""
        self.tokens -= messages
