"""Determines when a gateway answers `PING` that it is ready, by its endpoint list. No I/O and no clock.

| list | ready |
| --- | --- |
| from discovery | at once |
| from peers, of which `min_agreeing_peers` have the same one | at once |
| from one peer only | `single_peer_wait_ns` after the start |
| cached, and the newest list of peers equals it | at once |
| cached | `cached_list_wait_ns` after the start |
| none | never, as a gateway without endpoints can only reject requests |

If the list service is down, a gateway with a cached list is therefore ready at the latest
`cached_list_wait_ns` after its start. A gateway without one is ready when it has a list from peers, but not
before `single_peer_wait_ns` after its start if only one peer has the list.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .settings import ColdStartSettings


class ListTrust(Enum):
    """Trust in a gateway's list, in increasing order. The values are texts for log lines."""

    NONE = "no list"
    CACHED = "cached"
    ONE_PEER = "one peer's list"
    PEERS_AGREE = "a list that peers agree on"
    DISCOVERY = "from discovery"

    @property
    def rank(self) -> int:
        """A number that is greater for a list that is trusted more."""
        return RANKS[self]


RANKS = {trust: rank for rank, trust in enumerate(ListTrust)}


@dataclass(slots=True)
class Readiness:
    """Readiness of one process. Times are in nanoseconds on its own clock."""

    settings: ColdStartSettings
    started_ns: int
    trust: ListTrust = ListTrust.NONE
    cache_confirmed: bool = False  # whether the newest list of peers equals the cached one

    def record_list(self, trust: ListTrust, *, cache_confirmed: bool = False) -> None:
        """Records a list; one that is trusted less than the current one is ignored."""
        self.cache_confirmed = self.cache_confirmed or cache_confirmed
        if trust.rank > self.trust.rank:
            self.trust = trust

    def ready_ns(self) -> int | None:
        """Returns the time from which the process is ready with its current list; None without a list."""
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
