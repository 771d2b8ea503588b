"""The list of endpoints that this gateway has, as it may be passed on to others."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Final

from .entry_lines import bucket_of, checksum, encode_entry
from .messages import BUCKETS, ListDigest, Provenance

MAX_COUNT: Final = 65535  # entries that a digest can name


def _empty_buckets() -> list[dict[str, bytes]]:
    return [{} for _ in range(BUCKETS)]


@dataclass(slots=True)
class ListCopy:
    """The list as lines by endpoint name, in buckets."""

    version: int = 0
    provenance: Provenance = Provenance.PEERS
    confirmed_ns: int = 0  # when discovery confirmed it last, as far as is known
    buckets: list[dict[str, bytes]] = field(default_factory=_empty_buckets)
    complete: bool = False  # every entry has the form of a line

    @property
    def count(self) -> int:
        """Entries of the list."""
        return sum(len(bucket) for bucket in self.buckets)

    def replace(
        self, confirmed_ns: int, version: int, provenance: Provenance, entries: Iterable[dict[str, Any]]
    ) -> None:
        """Takes a complete list, with entries as discovery writes them."""
        self.buckets = _empty_buckets()
        self.provenance = provenance
        self.complete = True
        self.apply(confirmed_ns, version, entries)

    def apply(self, confirmed_ns: int, version: int, entries: Iterable[dict[str, Any]]) -> None:
        """Takes discovery's entries that are new, have changed, or are gone."""
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
        """Returns the digest of the list; None where there is nothing that may be passed on."""
        if not self.complete or not self.count or self.provenance is Provenance.PEERS:
            return None
        age_ns = max(0, now - self.confirmed_ns)
        count = min(MAX_COUNT, self.count)
        return ListDigest(self.version, count, age_ns, self.provenance, self.checksums())
