"""What the leases add to the events that a policy handles and to the actions that it returns."""

from __future__ import annotations

from dataclasses import dataclass, field

from .codec import SharedMessage


@dataclass(slots=True)
class SendSharedMessages:
    """An action: send messages of this process to one peer."""

    peer: int
    process: int
    messages: list[SharedMessage]


@dataclass(slots=True)
class SharedMessagesReceived:
    """An event: messages of one process of a peer have come."""

    sender: int
    process: int
    messages: list[SharedMessage] = field(default_factory=list)
