"""State common to both sides of a gateway's leases, lessee and lessor."""

from __future__ import annotations

from dataclasses import dataclass, field

from .lease_messages import LeaseMessage, LeaseRelease
from .lease_records import PeerState
from .quota_account import QuotaAccount
from .running_clock import RunningClock
from .settings import LeaseSettings


@dataclass(slots=True)
class Outbox:
    """Messages to send. Releases are delayed until another message to the same gateway, or until a tick."""

    messages: list[LeaseMessage] = field(default_factory=list)
    releases: list[LeaseRelease] = field(default_factory=list)

    def flush_releases(self) -> None:
        """Makes the delayed releases due."""
        self.messages += self.releases
        self.releases = []

    def drain(self) -> list[LeaseMessage]:
        """Returns the messages that are due, and removes them from the queue."""
        drained = self.messages
        self.messages = []
        if self.releases and drained:
            recipients = {message.recipient for message in drained}
            drained += [release for release in self.releases if release.recipient in recipients]
            self.releases = [release for release in self.releases if release.recipient not in recipients]
        return drained


@dataclass(slots=True)
class LeaseCounters:
    """Counts of events since the start of the process, for the log."""

    grants: int = 0
    requests: int = 0
    overdue_requests: int = 0


@dataclass(slots=True)
class LeaseState:
    """The accounts, peers and queued messages of one gateway's leases."""

    settings: LeaseSettings
    gateway: int  # this gateway
    process: int  # a number that no other process of this gateway has used
    clock: RunningClock
    accounts: dict[int, QuotaAccount] = field(default_factory=dict)  # by customer
    peers: dict[int, PeerState] = field(default_factory=dict)  # by gateway
    outbox: Outbox = field(default_factory=Outbox)
    expiring: dict[int, None] = field(default_factory=dict)  # customers with leases or requests, in order
    counters: LeaseCounters = field(default_factory=LeaseCounters)

    def peer(self, gateway: int) -> PeerState:
        """Returns the state of a gateway, creating it if needed."""
        return self.peers.setdefault(gateway, PeerState())

    def peer_of_process(self, gateway: int, process: int) -> PeerState:
        """Returns the state of a gateway's process; resets it if the gateway has a new process."""
        peer = self.peer(gateway)
        if peer.process != process:
            peer = PeerState(process)
            self.peers[gateway] = peer
        return peer
