"""Events and actions that the quota service adds to those of a policy."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import PeerHeartbeat


@dataclass(slots=True)
class CallQuotaService:
    """Action: add `amount` to the counter `name`. A `QuotaServiceAnswered` with the same id has to follow."""

    call_id: int
    name: str
    amount: float
    ttl_ms: int


@dataclass(slots=True)
class QuotaServiceAnswered:
    """Event: the total that a call returned; None if there was no answer in time or it was not a number."""

    call_id: int
    total: float | None


@dataclass(slots=True)
class SendPeerHeartbeat:
    """Action: send a heartbeat to one peer."""

    peer: int
    heartbeat: PeerHeartbeat


@dataclass(slots=True)
class PeerHeartbeatReceived:
    """Event: a heartbeat has arrived from a peer."""

    heartbeat: PeerHeartbeat
