"""The other gateways of the tier: when each was heard last, and which are told directly."""

from __future__ import annotations

from typing import Final

from .records import Customer
from .settings import Settings
from .units import SECOND_NS

MAX_DIRECT_PEERS: Final = 4  # a customer's set with more peers is relayed
SILENCE_NS: Final = 3 * SECOND_NS  # a peer not heard for so long is taken for unreachable
CEILING_SILENCE_NS: Final = (
    6 * SECOND_NS // 5
)  # the same, where ceilings are shared out: a bit over a heartbeat
NO_RELAY: Final = -1


class PeerTable:
    """Owner of what is known of the peers."""

    def __init__(self, settings: Settings) -> None:
        """Starts without any peer heard."""
        self.own = settings.gateway_index
        small = settings.gateway_count <= MAX_DIRECT_PEERS + 1
        self.direct: dict[int, bool] = dict.fromkeys(range(settings.gateway_count if small else 0), True)
        self.heard: dict[int, tuple[int, int]] = {}  # peer: incarnation, when it was heard last
        self.unanswered_ns: dict[int, int] = {}  # relay: when it last left queries unanswered

    def record(self, peer: int, incarnation: int, now: int) -> bool:
        """A peer was heard; True where its process is one that was not heard before."""
        known = self.heard.get(peer)
        self.heard[peer] = (incarnation, now)
        return known is None or known[0] != incarnation

    def heard_within(self, peer: int, now: int, span_ns: int) -> bool:
        """The peer was heard less than `span_ns` ago."""
        known = self.heard.get(peer)
        return known is not None and now - known[1] < span_ns

    def relay_of(self, now: int, customer: Customer) -> int:
        """The first relay that is not silent, else NO_RELAY:

        else each gateway of a wide set would grant itself a part, in all many quotas.
        """
        for peer in customer.peers:
            if now - self.unanswered_ns.get(peer, -SILENCE_NS) >= SILENCE_NS:
                return peer
        return NO_RELAY
