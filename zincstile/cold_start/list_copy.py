"""This gateway's endpoint list in the form in which peers get it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Final

from .entry_lines import bucket_of, checksum, encode_entry
from .messages import BUCKETS, ListDigest, Provenance

MAX_COUNT: Final = 65535  # maximum entry count of a digest


def _empty_buckets() -> list[dict[str, bytes]]:
    return [{} for _ in range(BUCKETS)]


@dataclass(slots=True)
class ListCopy:
    """The endpoint list as encoded lines by endpoint name, in buckets."""

    version: int = 0
    provenance: Provenance = Provenance.PEERS
    confirmed_ns: int = 0  # when discovery last confirmed the list, as far as known
    buckets: list[dict[str, bytes]] = field(default_factory=_empty_buckets)
    complete: bool = False  # whether all entries could be encoded

    @property
    def count(self) -> int:
        """The number of entries."""
        return sum(len(bucket) for bucket in self.buckets)

    def replace(
        self, confirmed_ns: int, version: int, provenance: Provenance, entries: Iterable[dict[str, Any]]
    ) -> None:
        """Replaces the list by a complete one, with entries in discovery's format."""
        self.buckets = _empty_buckets()
        self.provenance = provenance
        self.complete = True
        self.apply(confirmed_ns, version, entries)

    def apply(self, confirmed_ns: int, version: int, entries: Iterable[dict[str, Any]]) -> None:
        """Applies new, changed and removed entries of discovery."""
        self.version = version
        self.confirmed_ns = confirmed_ns
        for entry in entries:
            name = str(entry.get("name", ""))
            bucket = self.buckets[bucket_of(name)]
            if entry.get("status") == "Gone":
                bucket.pop(name, None)
                continue
            line = encode_entry(entry)
            self.complete = self.complete and line is not None
            bucket[name] = line or b""

    def checksums(self) -> tuple[int, ...]:
        """Returns the checksum of each bucket."""
        return tuple(checksum(bucket.values()) for bucket in self.buckets)

    def digest(self, now: int) -> ListDigest | None:
        """Returns the digest of the list; None if it may not be passed on."""
        if not self.complete or not self.count or self.provenance is Provenance.PEERS:
            return None
        age_ns = max(0, now - self.confirmed_ns)
        count = min(MAX_COUNT, self.count)
        return ListDigest(self.version, count, age_ns, self.provenance, self.checksums())
