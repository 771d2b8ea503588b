"""The other gateways of the tier: when each sent its last message, and to which messages go directly."""

from __future__ import annotations

from typing import Final

from .records import Customer
from .settings import Settings
from .units import SECOND_NS

MAX_DIRECT_PEERS: Final = 4  # a customer's set with more peers is relayed
SILENCE_NS: Final = 3 * SECOND_NS  # a peer without a message for so long is taken for unreachable
CEILING_SILENCE_NS: Final = (
    6 * SECOND_NS // 5
)  # the same, where ceilings are shared out: a bit over a heartbeat
NO_RELAY: Final = -1


class PeerTable:
    """Owner of what is known of the peers."""

    def __init__(self, settings: Settings) -> None:
        """Starts without a message of any peer."""
        self.own_index = settings.gateway_index
        small = settings.gateway_count <= MAX_DIRECT_PEERS + 1
        self.direct: dict[int, bool] = dict.fromkeys(range(settings.gateway_count if small else 0), True)
        self.last_message: dict[int, tuple[int, int]] = {}  # peer: incarnation, time of the last message
        self.unanswered_ns: dict[int, int] = {}  # relay: when it last left queries unanswered

    def record_message(self, peer: int, incarnation: int, now: int) -> bool:
        """A peer's message has come; True where it is the first one of its process."""
        known = self.last_message.get(peer)
        self.last_message[peer] = (incarnation, now)
        return known is None or known[0] != incarnation

    def relay_of(self, now: int, customer: Customer) -> int:
        """The first relay that is not silent, else NO_RELAY:

        else each gateway of a wide set would grant itself a part, in all many quotas.
        """
        for peer in customer.peers:
            if now - self.unanswered_ns.get(peer, -SILENCE_NS) >= SILENCE_NS:
                return peer
        return NO_RELAY
