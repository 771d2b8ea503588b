"""Messages by which gateways elect a leader, distribute its routing table and report on zones."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Generation:
    """Identity of a routing table, in the order of age: a later table has a greater generation."""

    term: int
    number: int  # of the table within its term
    leader: int  # the gateway that proposed it
    process: int  # the leader's process


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """A candidate asks an elector for its vote."""

    term: int
    process: int  # of the candidate


@dataclass(frozen=True, slots=True)
class VoteReply:
    """An elector's answer: its vote for the term, or the latest term that it knows of."""

    term: int
    process: int  # of the candidate
    granted: bool


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """The agreed routing weights.

    `weights[origin][target]` is the part of one zone's traffic that goes to another, out of
    `routing_weights.WEIGHT_TOTAL`; `states` are the zones' states as numbers of `zone_states.ZoneState`.
    """

    generation: Generation
    weights: tuple[tuple[int, ...], ...]
    states: tuple[int, ...]
    age_ns: int = 0  # since the leader made or renewed it


@dataclass(frozen=True, slots=True)
class ZoneObservation:
    """What one gateway observes of one zone."""

    ready_endpoints: int  # endpoints listed as ready
    healthy_endpoints: float  # endpoints that serve well; one that is warming up counts by its warmth
    failed_ratio: float  # of the connections tried lately; below 0: none was tried
    capacity: float  # units a second by this gateway's budget alone; inf: no bound was seen


@dataclass(frozen=True, slots=True)
class ZoneReport:
    """What one gateway observes of all zones, and the newest overrides by an operator that it knows of."""

    gateway: int
    process: int
    number: int  # of the report, growing within a process
    zone: int  # of the gateway
    demand: float  # units a second that clients ask of it
    observations: tuple[ZoneObservation, ...]
    overrides: int = 0  # a bit for each drained zone, and from `zone_view.FROZEN_BIT` on for each frozen one
    override_number: int = 0  # a greater number is a newer override


LeaderMessage = VoteRequest | VoteReply | RoutingTable
ZoneMessage = LeaderMessage | ZoneReport
