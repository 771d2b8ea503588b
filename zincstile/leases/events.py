"""Events and actions that the leases add to those of a policy."""

from __future__ import annotations

from dataclasses import dataclass, field

from .codec import SharedMessage


@dataclass(slots=True)
class SendSharedMessages:
    """Action: send messages of this process to one peer."""

    peer: int
    process: int
    messages: list[SharedMessage]


@dataclass(slots=True)
class SharedMessagesReceived:
    """Event: messages have arrived from a process of a peer."""

    sender: int
    process: int
    messages: list[SharedMessage] = field(default_factory=list)
