"""What zone failover adds to the events that a policy handles and to the actions that it returns."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import ZoneMessage


@dataclass(slots=True)
class SendZoneMessage:
    """An action: send a message to one peer."""

    peer: int
    message: ZoneMessage


@dataclass(slots=True)
class ZoneMessageReceived:
    """An event: a message of a peer has come."""

    sender: int
    message: ZoneMessage


@dataclass(slots=True)
class ZoneOverridden:
    """An event: an operator has a zone drained, or its state frozen; with neither, an override ends."""

    zone: int
    drained: bool = False
    frozen: bool = False
