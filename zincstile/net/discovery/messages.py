"""Parsed messages of discovery, and the ids of backends and machine types."""

from __future__ import annotations

import hashlib
from typing import Final, NamedTuple

from ...decisions.messages import EndpointEntry
from ..config import Address

ID_BYTES: Final = 6  # limited by the size of gossip messages


class ListedEndpoint(NamedTuple):
    """One listed endpoint."""

    entry: EndpointEntry
    address: Address


class EndpointListMessage(NamedTuple):
    """One message of a watch."""

    version: int  # discovery's own counter
    complete: bool  # a complete list rather than changes
    endpoints: list[ListedEndpoint]


def endpoint_id(name: str) -> int:
    """Returns the id of a name, the same at every gateway and after restarts, since peers exchange ids."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=ID_BYTES).digest(), "big")
