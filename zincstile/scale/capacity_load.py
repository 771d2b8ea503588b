"""What one gateway and the relay of the busiest tenant carry at a topology's sizes. No I/O, no clock.

The messages between gateways follow the decision module: a heartbeat and what changed to the direct
peers, a query and its answer for each request of a tenant whose set is wide. Requests and sets of tenants
are those of the topology; each gateway of a set gets the same part of the tenant's requests.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import Final

from ..decisions.gossip import HEARTBEAT_NS, INTAKE_SHARE
from ..decisions.outlier_detection import MAX_REPORTED_SAMPLES
from ..decisions.peers import MAX_DIRECT_PEERS
from ..decisions.relay_queries import MAX_QUERIES, QUERY_WAIT_NS
from ..decisions.units import SECOND_NS
from . import capacity_messages as messages
from .topology import Topology

PEER_IN_PER_S: Final = 60.0  # datagrams that a gateway takes, as its settings say (`domain.peer_intake`)
QUERY_WAIT_S: Final = (
    MAX_QUERIES * QUERY_WAIT_NS / SECOND_NS
)  # until a request whose relay is silent is decided on alone


@dataclass(frozen=True, slots=True)
class Flow:
    """Messages of one kind, each way, of the mean gateway."""

    name: str
    per_s: float
    size_bytes: float
    mechanism: str

    @property
    def bytes_per_s(self) -> float:
        """Bytes a second, each way."""
        return self.per_s * self.size_bytes


@dataclass(frozen=True, slots=True)
class Load:
    """Of the mean gateway."""

    topology: Topology
    tenants: float
    requests_per_s: float
    wide_tenants: int  # of the fleet: their quota is queried from a relay
    wide_per_s: float  # requests of such tenants
    neighbours: float  # direct peers
    heartbeats: Flow
    updates: Flow  # what changed, to neighbours
    relay_updates: Flow  # the same, to relays
    queries: Flow  # answers are as many and as large

    @property
    def datagrams_per_s(self) -> float:
        """In, and as many out."""
        return self.heartbeats.per_s + self.updates.per_s + self.relay_updates.per_s + 2 * self.queries.per_s


def load(topology: Topology) -> Load:
    """The mean gateway's load at the topology's sizes."""
    sets, weights = topology.tenant_sets(), _weights(topology)
    requests = topology.requests_of_gateway()
    narrow: Counter[int] = Counter()  # by the size of the set: part of all requests
    for size, weight in zip(sets, weights, strict=True):
        if size <= MAX_DIRECT_PEERS + 1:
            narrow[size] += weight
    wide = [(size, weight) for size, weight in zip(sets, weights, strict=True) if size > MAX_DIRECT_PEERS + 1]
    wide_per_s = requests * sum(weight for _, weight in wide)
    queries_per_s = requests * sum(
        weight * (size - 1) / size for size, weight in wide
    )  # one is the relay itself
    flushes = _flushes_per_s(requests, topology.gateways)
    neighbours = _neighbours(topology, Counter(size for size in sets if size <= MAX_DIRECT_PEERS + 1))
    return Load(
        topology=topology,
        tenants=topology.tenants_of_gateway(),
        requests_per_s=requests,
        wide_tenants=len(wide),
        wide_per_s=wide_per_s,
        neighbours=neighbours,
        heartbeats=Flow(
            "heartbeats to neighbours",
            neighbours * SECOND_NS / HEARTBEAT_NS,
            messages.gossip_bytes(0, error_samples=MAX_REPORTED_SAMPLES),
            "decisions/gossip.Gossip.flush",
        ),
        updates=_updates(requests, narrow, flushes),
        relay_updates=_relay_updates(topology, wide, flushes),
        queries=Flow(
            "queries to relays",
            queries_per_s,
            messages.gossip_bytes(1, figures=True, error_samples=MAX_REPORTED_SAMPLES),
            "decisions/relay_queries.RelayedQuotas.request_units",
        ),
    )


def hottest_per_s(topology: Topology) -> float:
    """Requests a second of the busiest tenant, at all gateways of its set."""
    return topology.requests_per_s * _weights(topology)[0]


def hot_relays(topology: Topology) -> int:
    """Wide tenants whose relay would be asked more often than a gateway takes datagrams."""
    return sum(
        size > MAX_DIRECT_PEERS + 1 and topology.requests_per_s * weight > PEER_IN_PER_S
        for size, weight in zip(topology.tenant_sets(), _weights(topology), strict=True)
    )


def spanning_tenants(topology: Topology) -> float:
    """Tenants with gateways in two regions, where the gateways are numbered region by region and a set is a
    row of numbers that begins anywhere."""
    if len(topology.regions) < 2:
        return 0.0
    borders = len(topology.regions)
    return sum(min(1.0, borders * (size - 1) / topology.gateways) for size in topology.tenant_sets())


def _weights(topology: Topology) -> list[float]:
    """Part of all requests, by the tenant's rank."""
    found = [1 / rank**topology.tenants.zipf for rank in range(1, topology.tenants.count + 1)]
    whole = math.fsum(found)
    return [weight / whole for weight in found]


def _flushes_per_s(requests: float, gateways: int) -> float:
    """How often changes are sent: a period after the last time, where a request has come by then."""
    receivers = min(MAX_DIRECT_PEERS, gateways - 1)
    period_s = receivers / max(1.0, INTAKE_SHARE * PEER_IN_PER_S)
    return 1 / (period_s + 1 / requests)


def _neighbours(topology: Topology, narrow: Counter[int]) -> float:
    """Peers that share a narrow tenant with a gateway. A set is a row, so that they stand close by on both
    sides."""
    found = 0.0
    for distance in range(1, MAX_DIRECT_PEERS + 1):
        shared = sum(count * max(0, size - distance) for size, count in narrow.items()) / topology.gateways
        found += 2 * -math.expm1(-shared)
    return min(found, topology.gateways - 1.0)


def _updates(requests: float, narrow: Counter[int], flushes: float) -> Flow:
    """At each flush, one message to each neighbour that shares a tenant whose request came since the last."""
    per_s = shares = 0.0
    for distance in range(1, MAX_DIRECT_PEERS + 1):
        rate = requests * sum(w * max(0, size - distance) / size for size, w in narrow.items())
        per_s += 2 * flushes * -math.expm1(-rate / flushes)
        shares += 2 * rate
    size = messages.gossip_bytes(shares / per_s) if per_s else 0.0
    return Flow("changes to neighbours", per_s, size, "decisions/gossip.Gossip.flush")


def _relay_updates(topology: Topology, wide: list[tuple[int, float]], flushes: float) -> Flow:
    """At each flush, one message for each wide tenant whose attempts out have changed."""
    per_s = 0.0
    for size, weight in wide:
        rate = topology.requests_per_s * weight / size  # at a gateway of its set
        per_s += (size - 1) / topology.gateways * flushes * -math.expm1(-rate / flushes)
    return Flow("changes to relays", per_s, messages.gossip_bytes(1), "decisions/gossip.Gossip.flush")
