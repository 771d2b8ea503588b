"""What the quota service adds to the events that a policy handles and to the actions that it returns."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import PeerHeartbeat


@dataclass(slots=True)
class CallQuotaService:
    """An action: add the amount to the counter `name`; a `QuotaServiceAnswered` of this id has to follow."""

    call_id: int
    name: str
    amount: float
    ttl_ms: int


@dataclass(slots=True)
class QuotaServiceAnswered:
    """An event: the counter's total by a call; None where none came in time, or no number."""

    call_id: int
    total: float | None


@dataclass(slots=True)
class SendPeerHeartbeat:
    """An action: send a heartbeat to one peer."""

    peer: int
    heartbeat: PeerHeartbeat


@dataclass(slots=True)
class PeerHeartbeatReceived:
    """An event: a heartbeat of a peer has come."""

    heartbeat: PeerHeartbeat
