"""Messages by which gateways send each other their list of endpoints.

The entries of a list are divided into a fixed number of buckets by the endpoint's name, so that only buckets
that differ need to be sent.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Final

BUCKETS: Final = 32  # of a list: the checksums of all of them fit into one datagram


class Provenance(IntEnum):
    """By whom a gateway has its list; a lower number is nearer to discovery. The numbers travel."""

    DISCOVERY = 0
    CACHED = 1  # it was there before the process started
    PEERS = 2


@dataclass(frozen=True, slots=True)
class ListQuery:
    """Asks a gateway which list it has."""


@dataclass(frozen=True, slots=True)
class ListDigest:
    """Which list the sender has, or that it has none to pass on."""

    version: int
    entry_count: int  # of the entries; 0: there is no list to pass on
    age_ns: int  # since discovery confirmed the list
    provenance: Provenance
    checksums: tuple[int, ...]  # of the buckets
    admission_open: bool = False  # the sender's own admission ramp is over

    @property
    def identity(self) -> tuple[int, int, tuple[int, ...]]:
        """Equal for equal lists."""
        return self.version, self.entry_count, self.checksums


@dataclass(frozen=True, slots=True)
class BucketRequest:
    """Asks for the lines of some buckets, if the list still has that version."""

    version: int
    buckets: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class BucketPart:
    """A part of a bucket's lines."""

    version: int
    bucket: int
    part_index: int  # index
    part_count: int  # of the bucket
    lines: tuple[bytes, ...]


ListMessage = ListQuery | ListDigest | BucketRequest | BucketPart
