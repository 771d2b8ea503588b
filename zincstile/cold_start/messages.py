"""Messages by which gateways exchange endpoint lists.

The entries of a list are distributed to a fixed number of buckets by endpoint name, so that only buckets that
differ need to be sent.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Final

BUCKETS: Final = 32  # the checksums of all buckets have to fit into one datagram


class Provenance(IntEnum):
    """The source of a gateway's list; a lower number is preferred. Gateways send each other the numbers."""

    DISCOVERY = 0
    CACHED = 1  # from before the start of the process
    PEERS = 2


@dataclass(frozen=True, slots=True)
class ListQuery:
    """Asks a gateway for the digest of its list."""


@dataclass(frozen=True, slots=True)
class ListDigest:
    """Digest of the sender's list."""

    version: int
    entry_count: int  # 0 if the sender has no list that it may pass on
    age_ns: int  # time since discovery confirmed the list
    provenance: Provenance
    checksums: tuple[int, ...]  # by bucket
    admission_open: bool = False  # whether the sender's admission ramp is over

    @property
    def identity(self) -> tuple[int, int, tuple[int, ...]]:
        """A value that is equal for equal lists."""
        return self.version, self.entry_count, self.checksums


@dataclass(frozen=True, slots=True)
class BucketRequest:
    """Asks for the lines of some buckets, if the receiver's list still has this version."""

    version: int
    buckets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class BucketPart:
    """A part of a bucket's lines."""

    version: int
    bucket: int
    part_index: int
    part_count: int  # number of parts of the bucket
    lines: tuple[bytes, ...]


ListMessage = ListQuery | ListDigest | BucketRequest | BucketPart
