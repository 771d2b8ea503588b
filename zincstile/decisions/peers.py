"""The other gateways of the tier: the last message of each, and the peers that are sent messages directly."""

from __future__ import annotations

from typing import Final

from .records import Customer
from .settings import Settings
from .units import SECOND_NS

MAX_DIRECT_PEERS: Final = 4  # customers shared with more peers than this use a relay
SILENCE_NS: Final = 3 * SECOND_NS  # a peer counts as unreachable after this time without a message
# The same where ceilings are divided; slightly longer than the heartbeat interval.
CEILING_SILENCE_NS: Final = 6 * SECOND_NS // 5
NO_RELAY: Final = -1


class PeerTable:
    """Owns the state of the peers."""

    def __init__(self, settings: Settings) -> None:
        """Starts without messages. In a small tier all peers are direct ones."""
        self.own_index = settings.gateway_index
        small = settings.gateway_count <= MAX_DIRECT_PEERS + 1
        self.direct: dict[int, bool] = dict.fromkeys(range(settings.gateway_count if small else 0), True)
        self.last_message: dict[int, tuple[int, int]] = {}  # by peer: incarnation, time
        self.unanswered_ns: dict[int, int] = {}  # by relay: when it last left queries unanswered

    def record_message(self, peer: int, incarnation: int, now: int) -> bool:
        """Records a message of a peer; returns whether it is the first one of that process."""
        last = self.last_message.get(peer)
        self.last_message[peer] = (incarnation, now)
        return last is None or last[0] != incarnation

    def relay_of(self, now: int, customer: Customer) -> int:
        """Returns the first relay of a customer that has not recently left queries unanswered, or NO_RELAY.

        The other relays replace a silent one, because without a relay each gateway of a wide set admits its
        own part of the quota, and these parts can add up to several quotas.
        """
        for peer in customer.peers:
            if now - self.unanswered_ns.get(peer, -SILENCE_NS) >= SILENCE_NS:
                return peer
        return NO_RELAY
