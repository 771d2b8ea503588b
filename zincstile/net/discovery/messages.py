"""What discovery sends, as the rest of the gateway takes it, and the ids of backends and types."""

from __future__ import annotations

import hashlib
from typing import Final, NamedTuple

from ...decisions.messages import EndpointEntry
from ..config import Address

ID_BYTES: Final = 6  # the gossip between gateways has no room for more


class ListedEndpoint(NamedTuple):
    """One endpoint of the list."""

    entry: EndpointEntry
    address: Address


class EndpointListMessage(NamedTuple):
    """One message of the watch."""

    version: int  # as this discovery counts
    complete: bool  # a whole list, not changes of it
    endpoints: list[ListedEndpoint]


def endpoint_id(name: str) -> int:
    """The id for a name, the same at every gateway and after restarts: peers use it."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=ID_BYTES).digest(), "big")
