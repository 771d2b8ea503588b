"""Events and actions that zone failover adds to the policy."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import ZoneMessage


@dataclass(slots=True)
class SendZoneMessage:
    """Action: sends a message to one peer."""

    peer: int
    message: ZoneMessage


@dataclass(slots=True)
class ZoneMessageReceived:
    """Event: a message was received from a peer."""

    sender: int
    message: ZoneMessage


@dataclass(slots=True)
class ZoneOverridden:
    """Event: an operator drains a zone or freezes its state; with neither flag, the override ends."""

    zone: int
    drained: bool = False
    frozen: bool = False
