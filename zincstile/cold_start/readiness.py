"""When a gateway answers `PING` that it is ready, by the endpoint list that it has. No I/O and no clock.

| list | ready |
| --- | --- |
| from discovery | at once |
| from peers, of which `agree` have the same one | at once |
| from one peer alone | `lone` after the start |
| cached, and a peer's newest list equals it | at once |
| cached | `known` after the start |
| none | never: a gateway without endpoints could only reject |

So with a list service that is down, a gateway with a cached list is ready `known` after its start at the
latest. One without is ready once it has reached a peer that has a list, and not before `lone` after its start
where only one peer has one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .settings import ColdStartSettings


class ListTrust(Enum):
    """By which list a gateway serves, from the least trusted to the most. The texts are for log lines."""

    NONE = "no list"
    CACHED = "cached"
    ONE_PEER = "one peer's list"
    PEERS_AGREE = "a list that peers agree on"
    DISCOVERY = "from discovery"

    @property
    def rank(self) -> int:
        """Greater for a list that is trusted more."""
        return RANKS[self]


RANKS = {trust: rank for rank, trust in enumerate(ListTrust)}


@dataclass(slots=True)
class Readiness:
    """From when on one process is ready. Times are in nanoseconds of its own clock."""

    settings: ColdStartSettings
    started_ns: int
    trust: ListTrust = ListTrust.NONE
    cache_confirmed: bool = False  # the newest list of peers equals the cached one

    def record_list(self, trust: ListTrust, *, cache_confirmed: bool = False) -> None:
        """Notes a list; one that is trusted less than the present one changes nothing."""
        self.cache_confirmed = self.cache_confirmed or cache_confirmed
        if trust.rank > self.trust.rank:
            self.trust = trust

    def ready_ns(self) -> int | None:
        """Returns from when on the process is ready by the list that it has; None where it has none."""
        if self.trust is ListTrust.NONE:
            return None
        if self.trust in (ListTrust.DISCOVERY, ListTrust.PEERS_AGREE) or self.cache_confirmed:
            return self.started_ns
        if self.trust is ListTrust.ONE_PEER:
            return self.started_ns + self.settings.single_peer_wait_ns
        return self.started_ns + self.settings.cached_list_wait_ns

    def is_ready(self, now: int) -> bool:
        """Returns whether the process is ready."""
        ready_ns = self.ready_ns()
        return ready_ns is not None and now >= ready_ns
