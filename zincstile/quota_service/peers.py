"""Decides which peers use the same quota service, by comparing the totals of the gateways' heartbeats.

A single service returns each total of the heartbeat counter to one gateway only, and its totals grow with
time. Two gateways whose totals contradict this use different services. Peers send each other their latest
totals and whether they trust their service.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from .messages import PeerHeartbeat
from .settings import QuotaServiceSettings

REMEMBERED_TOTALS: Final = 64  # for each gateway: 16 s at the default heartbeat interval


def _new_history() -> deque[int]:
    return deque(maxlen=REMEMBERED_TOTALS)


@dataclass(slots=True)
class HeartbeatTotals:
    """The totals that this gateway's heartbeats returned from one counter, and when each arrived."""

    counter_number: int = -1
    last: int = 0
    _totals: deque[int] = field(default_factory=_new_history, init=False)
    _answered_ns: deque[int] = field(default_factory=_new_history, init=False)

    def begin_counter(self, counter_number: int) -> None:
        """Drops the totals of the previous counter and starts with a new one."""
        self.counter_number = counter_number
        self.last = 0
        self.clear()

    def record(self, now: int, total: int) -> None:
        """Adds a total that arrived at `now`."""
        self.last = total
        self._totals.append(total)
        self._answered_ns.append(now)

    def clear(self) -> None:
        """Drops the history of totals, which came from a service that has lost its counters; keeps `last`."""
        self._totals.clear()
        self._answered_ns.clear()

    def latest(self, count: int) -> tuple[int, ...]:
        """Returns up to `count` of the latest totals, in order."""
        return tuple(self._totals)[-count:]

    @property
    def last_answer_ns(self) -> int:
        """When the last total arrived; 0 if there is none."""
        return self._answered_ns[-1] if self._answered_ns else 0

    def contradicted_by(self, message: PeerHeartbeat, slack_ns: int) -> bool:
        """Returns whether a peer's totals and these can't come from one service.

        That is so if both have the same total, or if a later total is smaller. An answer arrives at most
        `slack_ns` after the service computed its total.
        """
        if message.counter_number != self.counter_number or not message.totals or not self._totals:
            return False
        if not set(message.totals).isdisjoint(self._totals):
            return True
        last, last_ns = message.totals[-1], message.last_answer_ns
        return any(
            total > last if at < last_ns - slack_ns else total < last and at > last_ns + slack_ns
            for at, total in zip(self._answered_ns, self._totals, strict=True)
        )


@dataclass(slots=True)
class Peer:
    """The state of one peer according to its heartbeats."""

    sent_ns: int  # when its latest heartbeat was sent
    trusts_service: bool
    same_service_since_ns: int  # has been on the same service without interruption since then
    counter_number: int = -1
    totals: deque[int] = field(default_factory=_new_history)

    def shares_total(self, message: PeerHeartbeat) -> bool:
        """Returns whether this peer and the sender of the message got the same total."""
        return any(total in self.totals for total in message.totals)


class Peers:
    """The peers that sent a heartbeat, and which of them are known to use another service."""

    def __init__(self, settings: QuotaServiceSettings, own_totals: HeartbeatTotals) -> None:
        """Starts without peers; the failure detector keeps `own_totals` up to date."""
        self.settings = settings
        self._own_totals = own_totals
        self._peers: dict[int, Peer] = {}
        # by peer: until when it counts as using another service
        self._separated_until_ns: dict[int, int] = {}

    def receive(self, now: int, message: PeerHeartbeat) -> None:
        """Handles a peer's heartbeat; ignores one that was delayed too long or is older than the last one."""
        known = self._peers.get(message.sender)
        if not self._in_time(now, message) or known is not None and message.sent_ns <= known.sent_ns:
            return
        self._separate_contradicting(now, message)
        is_uninterrupted = (
            known is not None
            and known.trusts_service
            and message.sent_ns - known.sent_ns < self.settings.peer_timeout_ns
            and not self._separated(now, message.sender)
        )
        same_counter = known is not None and known.counter_number == message.counter_number
        totals = known.totals if same_counter else _new_history()
        totals.extend(total for total in message.totals if total not in totals)
        self._peers[message.sender] = Peer(
            message.sent_ns,
            message.trusts_service,
            known.same_service_since_ns if is_uninterrupted else now,
            message.counter_number,
            totals,
        )

    def on_same_service(self, now: int, peer: int) -> bool:
        """Returns whether the peer uses the same service, according to its latest heartbeats."""
        known = self._peers.get(peer)
        return (
            known is not None
            and known.trusts_service
            and now - known.sent_ns < self.settings.peer_timeout_ns
            and not self._separated(now, peer)
        )

    def on_same_service_since(self, now: int, peer: int, since_ns: int) -> bool:
        """Returns whether the peer has used the same service without interruption since `since_ns`."""
        return self.on_same_service(now, peer) and self._peers[peer].same_service_since_ns <= since_ns

    def counts(self, now: int) -> tuple[int, int]:
        """Returns how many peers use the same service, and how many have ever sent a heartbeat."""
        return sum(self.on_same_service(now, peer) for peer in self._peers), len(self._peers)

    def _in_time(self, now: int, message: PeerHeartbeat) -> bool:
        skew_ns = self.settings.clock_skew_ns
        age_ns = now - message.sent_ns + skew_ns
        return 0 <= age_ns <= self.settings.max_message_delay_ns + 2 * skew_ns

    def _separated(self, now: int, peer: int) -> bool:
        return now < self._separated_until_ns.get(peer, 0)

    def _separate_contradicting(self, now: int, message: PeerHeartbeat) -> None:
        """Marks the sender as separated if its totals contradict those of this gateway.

        If they contradict another peer's, either of the two may be on another service, so both are marked.
        """
        until_ns = now + self.settings.separation_ns
        slack_ns = self.settings.call_timeout_ns + self.settings.clock_skew_ns
        if self._own_totals.contradicted_by(message, slack_ns):
            self._separated_until_ns[message.sender] = until_ns
            return
        if self._separated(now, message.sender):
            return
        for number, peer in self._peers.items():
            if (
                number != message.sender
                and peer.counter_number == message.counter_number
                and not self._separated(now, number)
                and peer.shares_total(message)
            ):
                self._separated_until_ns[number] = until_ns
                self._separated_until_ns[message.sender] = until_ns
