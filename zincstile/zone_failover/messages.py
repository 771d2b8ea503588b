"""Messages by which gateways elect a leader, distribute its routing table and report on zones."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Generation:
    """Identity of a routing table; a later table has a greater generation."""

    term: int
    number: int  # of the table within its term
    leader: int  # the gateway that proposed it
    process: int  # the leader's process


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """A candidate's request for an elector's vote."""

    term: int
    process: int  # of the candidate


@dataclass(frozen=True, slots=True)
class VoteReply:
    """An elector's answer to a vote request."""

    term: int  # the requested term if the vote was granted, else the latest term that the elector knows of
    process: int  # of the candidate
    granted: bool


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """The agreed routing weights.

    `weights[origin][target]` is the share of a zone's traffic that goes to a target zone, in parts of
    `routing_weights.WEIGHT_TOTAL`; `states` are the states of the zones as numbers of
    `zone_states.ZoneState`.
    """

    generation: Generation
    weights: tuple[tuple[int, ...], ...]
    states: tuple[int, ...]
    age_ns: int = 0  # time since the leader proposed or renewed it


@dataclass(frozen=True, slots=True)
class ZoneObservation:
    """What one gateway observes of one zone."""

    ready_endpoints: int  # endpoints that discovery lists as ready
    healthy_endpoints: float  # endpoints that are no outliers, weighted by their warmth and speed
    failed_ratio: float  # ratio of recent connection attempts that failed; negative if there were none
    capacity: float  # units a second by this gateway's own budget; infinite while that has no bound


@dataclass(frozen=True, slots=True)
class ZoneReport:
    """One gateway's observations of all zones, and the newest operator overrides that it knows of."""

    gateway: int
    process: int
    number: int  # sequence number of the report within the process
    zone: int  # the zone of the gateway
    demand: float  # units a second that clients request from the gateway
    observations: tuple[ZoneObservation, ...]
    overrides: int = 0  # bit set of drained zones; the bits from `zone_view.FROZEN_BIT` on are frozen zones
    override_number: int = 0  # increases with each override, so that the newest is kept


LeaderMessage = VoteRequest | VoteReply | RoutingTable
ZoneMessage = LeaderMessage | ZoneReport
