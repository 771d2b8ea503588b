"""A limit on messages in a second, as a token bucket."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Final

from .settings import SECOND

BURST_S: Final = 0.25  # so many seconds' worth of messages may come at once


@dataclass(slots=True)
class MessageRateLimit:
    """A token bucket of messages; it is full at first."""

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
        """Takes messages that `available` allowed."""
        self.tokens -= messages
