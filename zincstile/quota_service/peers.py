"""Which peers use the same quota service, by the totals that each gateway's heartbeats were answered with.

On one service each total of the heartbeat counter goes to one gateway only, and a later one is larger. So two
gateways whose totals contradict that use different services. Peers send each other their latest totals, and
whether they trust their service.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Final

from .messages import PeerHeartbeat
from .settings import QuotaServiceSettings

REMEMBERED_TOTALS: Final = 64  # of each gateway: 16 s at the usual heartbeat interval


def _remembered() -> deque[int]:
    return deque(maxlen=REMEMBERED_TOTALS)


@dataclass(slots=True)
class HeartbeatTotals:
    """This gateway's own answered heartbeats: the totals of one counter, in order, and when each came."""

    counter_number: int = -1
    last: int = 0
    _totals: deque[int] = field(default_factory=_remembered, init=False)
    _answered_ns: deque[int] = field(default_factory=_remembered, init=False)

    def begin_counter(self, counter_number: int) -> None:
        """Forgets the totals of the counter before."""
        self.counter_number = counter_number
        self.last = 0
        self.clear()

    def record(self, now: int, total: int) -> None:
        """Adds an answer that came now."""
        self.last = total
        self._totals.append(total)
        self._answered_ns.append(now)

    def clear(self) -> None:
        """Forgets all totals but the last: they are of a service that is no more."""
        self._totals.clear()
        self._answered_ns.clear()

    def latest(self, count: int) -> tuple[int, ...]:
        """The latest totals, `count` at most, in order."""
        return tuple(self._totals)[-count:]

    @property
    def last_answer_ns(self) -> int:
        """When the last total came; 0 where there is none."""
        return self._answered_ns[-1] if self._answered_ns else 0

    def contradicted_by(self, message: PeerHeartbeat, slack_ns: int) -> bool:
        """Whether a peer's totals and these can't come from one service.

        They can't where one total was given twice, or a later one is less. An answer comes within `slack_ns`
        of the addition that it tells of.
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
    """The state of one peer, by its heartbeats."""

    sent_ns: int  # of its latest heartbeat
    trusts_service: bool
    since_ns: int  # on the same service without a gap since then
    counter_number: int = -1
    totals: deque[int] = field(default_factory=_remembered)

    def shares_total(self, message: PeerHeartbeat) -> bool:
        """Whether a total of another peer's message was given to this peer too."""
        return any(total in self.totals for total in message.totals)


class Peers:
    """All peers that sent a heartbeat, and which of them contradict this gateway's totals or each other's."""

    def __init__(self, settings: QuotaServiceSettings, own_totals: HeartbeatTotals) -> None:
        """Starts without peers; `own_totals` are kept up to date by the failure detector."""
        self.settings = settings
        self._own_totals = own_totals
        self._peers: dict[int, Peer] = {}
        self._separated_until_ns: dict[int, int] = {}  # peers on another service, and until when that holds

    def receive(self, now: int, message: PeerHeartbeat) -> None:
        """Takes a peer's heartbeat. One that took too long, or is older than the last one, is dropped."""
        known = self._peers.get(message.sender)
        if not self._in_time(now, message) or known is not None and message.sent_ns <= known.sent_ns:
            return
        self._separate_contradicting(now, message)
        gap_free = (
            known is not None
            and known.trusts_service
            and message.sent_ns - known.sent_ns < self.settings.peer_timeout_ns
            and not self._separated(now, message.sender)
        )
        same_counter = known is not None and known.counter_number == message.counter_number
        totals = known.totals if same_counter else _remembered()
        totals.extend(total for total in message.totals if total not in totals)
        self._peers[message.sender] = Peer(
            message.sent_ns,
            message.trusts_service,
            known.since_ns if gap_free else now,
            message.counter_number,
            totals,
        )

    def on_same_service(self, now: int, peer: int) -> bool:
        """Whether that peer uses the same service, as far as its last messages show."""
        found = self._peers.get(peer)
        return (
            found is not None
            and found.trusts_service
            and now - found.sent_ns < self.settings.peer_timeout_ns
            and not self._separated(now, peer)
        )

    def on_same_service_since(self, now: int, peer: int, since_ns: int) -> bool:
        """Whether it has done so without a gap since then."""
        return self.on_same_service(now, peer) and self._peers[peer].since_ns <= since_ns

    def counts(self, now: int) -> tuple[int, int]:
        """How many peers use the same service, and how many are known."""
        return sum(self.on_same_service(now, peer) for peer in self._peers), len(self._peers)

    def _in_time(self, now: int, message: PeerHeartbeat) -> bool:
        skew_ns = self.settings.clock_skew_ns
        age_ns = now - message.sent_ns + skew_ns
        return 0 <= age_ns <= self.settings.max_message_delay_ns + 2 * skew_ns

    def _separated(self, now: int, peer: int) -> bool:
        return now < self._separated_until_ns.get(peer, 0)

    def _separate_contradicting(self, now: int, message: PeerHeartbeat) -> None:
        """Separates the sender where its totals contradict this gateway's.

        Where they contradict another peer's, either may be on another service: both are separated.
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
